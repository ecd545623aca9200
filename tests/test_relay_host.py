"""Test how an entry host on the platform is started."""

from __future__ import annotations

import subprocess
import sys

import pytest

from ryelever.exit_codes import ExitCode
from ryelever.relay_host import METRICS_VARIABLE

#: Modules that no relayed request needs.  After all hosts lost their power, callers
#: wait for their imports: on half a core those of the command line, of the metrics'
#: library and of the other interface took as long as all others together.
NEEDLESS = (
    "pkg_resources",
    "defopt",
    "docutils",
    "sphinxcontrib.napoleon",
    "pockets",
    "prometheus_client",
    "json5",
    "jinja2",
    "http.server",
    "http.client",
    "urllib.request",
    "wsgiref",
    "statistics",
    "ryelever.cli",
    "ryelever.settings",
    "ryelever.application",
    "ryelever.state.records",
    "ryelever.coordination.actions",
    "ryelever.coordination.routing",
    "ryelever.protocol.openai",
    "ryelever.console",
)

IMPORT_ALL = """
import sys
from ryelever.relay_host import main
main()
print(*sys.modules)
"""


def _started(code: str, **environment: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-c", code],
        env={"RYELEVER_NODE_FILE": "/missing"} | environment,
        capture_output=True,
        text=True,
        check=False,
    )


def test_host_imports_only_what_it_needs() -> None:
    """Show that callers don't wait for modules that nobody uses.

    Symptom: after all hosts lost their power, callers are refused for 1.3 s.
    Sequence: hosts start on half a core each, and listen once all is imported.
    Cause: the command line's parser, the other interface and what libraries ask for
    in vain were half of the modules, 613 where 410 do.
    """
    imported = set(_started(IMPORT_ALL).stdout.split())
    assert "ryelever.relay_application" in imported
    assert not imported & set(NEEDLESS)


@pytest.mark.parametrize("port", ["x", "-1", "65536"])
def test_invalid_metrics_port_is_reported(port: str) -> None:
    code = "import sys; from ryelever.relay_host import main; sys.exit(main())"
    ended = _started(code, **{METRICS_VARIABLE: port})
    assert ended.returncode == ExitCode.FAULTY_INPUT
    assert METRICS_VARIABLE in ended.stderr
