"""Start an entry host on the platform, which has no command line to read.

Its settings file says all that a command line would.  ``ryelever serve`` runs the same
host; reading its own arguments takes longer than all that a host imports to serve, and
a host that lost its power is called as soon as it listens.
"""

from __future__ import annotations

import gc
import importlib
import os
import sys
import types

__all__ = ["METRICS_VARIABLE", "main"]

#: Name of the variable that holds the port of the metrics; 0 or none serves them only
#: beside readiness.
METRICS_VARIABLE = "RYELEVER_METRICS_PORT"


def main() -> int:
    """Run an entry host until it is told to stop; return its exit code."""
    _import_circuits()
    from .wiring import run

    text = os.environ.get(METRICS_VARIABLE, "0")
    if not (text.isdecimal() and int(text) < 65536):
        from .exit_codes import ExitCode

        print(f"{METRICS_VARIABLE}: expected 0 to 65535, found {text}", file=sys.stderr)
        return ExitCode.FAULTY_INPUT
    # What was imported lives as long as the process: without this each full collection
    # goes over all of it, some hundred thousand objects.
    gc.freeze()
    return run(None, metrics_port=int(text))


def _import_circuits() -> None:
    """Import circuits without the package that it declares its namespace with.

    ``pkg_resources`` reads what every installed package says of itself, which took a
    third of a host's start and 10 MB of its 50.  Nothing here extends the namespace.
    """
    standin = types.ModuleType("pkg_resources")
    standin.declare_namespace = lambda name: None
    had = sys.modules.setdefault("pkg_resources", standin)
    importlib.import_module("circuits")
    if had is standin:
        del sys.modules["pkg_resources"]


if __name__ == "__main__":
    sys.exit(main())
