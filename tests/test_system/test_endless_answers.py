"""Test entry hosts before backend servers that send bytes without end."""

from __future__ import annotations

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from ..processes import wait_until
from ..relay_zone import RelayHost, RelayZone, running_relay_zone

#: Forms of ``ENDLESS_FORMS``; ``test_http_client.py`` tests all.
FORMS = ("interim-heads", "body-until-close", "chunks-of-a-byte", "comments")

#: As many as one server has slots for: nobody waits beside the faulty one.
N_CALLERS = 12

#: Bytes that a process may use on the platform's machines.
MEMORY_LIMIT = 300 << 20


@pytest.fixture
def zone(tmp_path: Path) -> Iterator[RelayZone]:
    with running_relay_zone(tmp_path) as running:
        running.start_platform()
        yield running


def _peak_memory(host: RelayHost) -> int:
    """Return the largest resident size of a host so far, in bytes."""
    status = Path(f"/proc/{host.process.pid}/status").read_text().splitlines()
    line = next(line for line in status if line.startswith("VmHWM"))
    return 1024 * int(line.split()[1])


def _none_open(zone: RelayZone) -> bool:
    return not any(server["n_open_endless"] for server in zone.servers().values())


@pytest.mark.parametrize("form", FORMS)
def test_callers_are_served_beside_a_server_that_never_ends_its_answer(
    zone: RelayZone, form: str
) -> None:
    """Guard against hosts that read bytes without end until memory or time is used up.

    One of two servers answers each request with such bytes until its connection is
    closed. What may be repeated is served by the other one, and the rest is answered.
    """
    host = zone.start_host("e1")
    zone.control(plain_0={"endless": form})

    def call(number: int) -> int:
        method, path = ("POST", "/once/1") if number % 4 == 0 else ("GET", "/look/1")
        return host.call(path, request_id=f"i{number}", method=method).status_code

    with ThreadPoolExecutor(N_CALLERS) as threads:
        statuses = list(threads.map(call, range(N_CALLERS)))
    wait_until(lambda: _none_open(zone), what="the host closes all connections")
    assert zone.servers()["plain-0"]["n_endless"] > 0
    assert set(statuses[::4]) <= {200, 502}
    assert {status for index, status in enumerate(statuses) if index % 4} == {200}
    assert _peak_memory(host) < MEMORY_LIMIT


@pytest.mark.parametrize("form", FORMS)
def test_streams_and_groups_go_on_beside_a_server_that_never_ends_its_answer(
    zone: RelayZone, form: str
) -> None:
    """Guard against orders, checks and streams that such a server keeps for ever."""
    host = zone.start_host("e1")
    head = zone.head_of(1)
    zone.control(**{head.replace("-", "_"): {"endless": form}})
    with ThreadPoolExecutor(N_CALLERS) as threads:
        calls = [
            threads.submit(host.chat, request_id=f"s{number}", model="small")
            for number in range(N_CALLERS)
        ]
        assert {call.result().status_code for call in calls} <= {200, 502, 503}
    assert zone.servers()[head]["n_endless"] > 0
    wait_until(
        lambda: host.chat(request_id="s-last", model="small").status_code == 200,
        what="another group serves the model",
    )
    zone.control(**{head.replace("-", "_"): {"endless": ""}})
    wait_until(lambda: _none_open(zone), what="the host closes all connections")
    assert _peak_memory(host) < MEMORY_LIMIT
