"""Start an entry host on the platform without parsing a command line.

The platform's settings file contains all options.  ``ryelever serve`` runs the same
host, but reading its arguments takes longer than importing all that a host needs to
serve, and after a power failure callers arrive as soon as the host listens.
"""

from __future__ import annotations

import gc
import importlib
import os
import sys
import types

__all__ = ["METRICS_VARIABLE", "main"]

#: Environment variable that contains the separate port for metrics.  If it is 0 or
#: unset, metrics are served only on the address of the readiness probe.
METRICS_VARIABLE = "RYELEVER_METRICS_PORT"


def main() -> int:
    """Run an entry host until it is signalled to stop; return its exit code."""
    _import_circuits()
    from .wiring import run

    text = os.environ.get(METRICS_VARIABLE, "0")
    if not (text.isdecimal() and int(text) < 65536):
        from .exit_codes import ExitCode

        print(f"{METRICS_VARIABLE}: expected 0 to 65535, found {text}", file=sys.stderr)
        return ExitCode.FAULTY_INPUT
    # Imported objects live as long as the process.  If they weren't frozen, each full
    # garbage collection would traverse them all, some hundred thousand objects.
    gc.freeze()
    return run(None, metrics_port=int(text))


def _import_circuits() -> None:
    """Import circuits with a stub for ``pkg_resources``.

    circuits uses ``pkg_resources`` only to declare its namespace, which nothing here
    extends.  Importing the real package reads the metadata of every installed package,
    which takes a third of a host's start time and 10 MB of its 50 MB of memory.
    """
    stub = types.ModuleType("pkg_resources")
    stub.declare_namespace = lambda name: None
    registered = sys.modules.setdefault("pkg_resources", stub)
    importlib.import_module("circuits")
    if registered is stub:
        del sys.modules["pkg_resources"]


if __name__ == "__main__":
    sys.exit(main())
