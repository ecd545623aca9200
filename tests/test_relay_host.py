"""Test the start of an entry host on the platform."""

from __future__ import annotations

import subprocess
import sys
from types import SimpleNamespace

import pytest

from ryelever import relay_application
from ryelever.exit_codes import ExitCode
from ryelever.relay_application import RelayApplication
from ryelever.relay_host import METRICS_VARIABLE
from ryelever.state.routes import RouteKind

from .test_coordination.test_relaying.relay_fakes import Relaying

#: Modules that relaying requests doesn't need.  After a power failure of all hosts,
#: callers wait for the hosts' imports.  On half a core, the modules of the command
#: line, the metrics library and the OpenAI interface take as long as all others
#: together.
UNNEEDED = (
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
    "ryelever.coordination.admission",
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
    """Guard against callers that are refused for 1.3 s after all hosts lost power.

    Hosts start on half a core each, and listen only when all imports are done.  A third
    of the imported modules would be unneeded (613 are imported where 410 suffice): the
    command line parser, the OpenAI interface and modules that libraries import without
    need.
    """
    imported = set(_started(IMPORT_ALL).stdout.split())
    assert "ryelever.relay_application" in imported
    assert not imported & set(UNNEEDED)


@pytest.mark.parametrize("port", ["x", "-1", "65536"])
def test_invalid_metrics_port_is_reported(port: str) -> None:
    code = "import sys; from ryelever.relay_host import main; sys.exit(main())"
    ended = _started(code, **{METRICS_VARIABLE: port})
    assert ended.returncode == ExitCode.FAULTY_INPUT
    assert METRICS_VARIABLE in ended.stderr


def test_final_answers_leave_before_the_deadlines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against callers that leave without an answer as the last tick was late."""
    late = []
    for arrived_at in (index * 0.01 for index in range(10)):
        relaying = Relaying()
        relaying.arrive(RouteKind.IDEMPOTENT, now=arrived_at, time_limit=0.5)
        application = SimpleNamespace(relay=SimpleNamespace(requests=relaying.requests))
        now = 0.1
        while not relaying.out:
            # The timers read the interval before they dispatch the tick.
            clock = SimpleNamespace(monotonic=lambda now=now: now)
            monkeypatch.setattr(relay_application, "time", clock)
            interval = RelayApplication._serving_interval(application)
            relaying.requests.tick(now=now)
            if relaying.out and now > arrived_at + 0.5:
                late.append((arrived_at, now))
            now += interval
    assert late == []
