"""Test entry hosts before callers that don't keep to limits, beside ordinary ones."""

from __future__ import annotations

import http.client
import socket
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping

import pytest

from ..abusive_callers import (
    BEHAVIOURS,
    MACHINE,
    NOT_RUN,
    Door,
    Machine,
    OrdinaryCallers,
    ReadinessProbe,
    play_beside_ordinary_callers,
    request_of,
)
from ..processes import wait_until
from ..relay_zone import HEADERS, RelayHost, RelayZone, running_relay_zone

#: Limits of the machine, as in its settings.
LIMITS = {"memory_mb": 300, "max_fds": 4100}

#: Limits of the operator's configuration.
MAX_HEAD = 64 * 1024
MAX_BODY = 4 << 20

#: Seconds and pieces in which a slow request arrives; its limit is 10 s.
SLOW_TIME, SLOW_PIECES = 8.0, 80

DOORS = ("route", "no-route", "ready", "metrics")


@pytest.fixture(scope="module")
def platform(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RelayZone]:
    with running_relay_zone(tmp_path_factory.mktemp("abusive")) as zone:
        zone.start_platform()
        sizes = {"max_header_bytes": MAX_HEAD, "max_body_bytes": MAX_BODY}
        zone.control(configuration={"version": 2, "limits": sizes})
        yield zone


@pytest.fixture
def host(platform: RelayZone) -> Iterator[RelayHost]:
    name = f"e{len(platform.processes)}"
    running = platform.start_host(name, limits=LIMITS)
    yield running
    running.process.kill()


def _door(host: RelayHost, name: str) -> Door:
    if name in ("ready", "metrics"):
        return Door(
            address=host.ready_address,
            target=f"/{name}",
            headers=(("Host", "calls.example"),),
        )
    headers = HEADERS | {"Deadline-Ms": "3000"}
    target = "/look/1" if name == "route" else "/nowhere/1"
    return Door(
        address=host.callers_address, target=target, headers=tuple(headers.items())
    )


def _ordinary_callers(host: RelayHost) -> OrdinaryCallers:
    def call(request_id: str, timeout: float) -> tuple[int, Mapping[str, str]]:
        return request_of(
            host.callers_address,
            "POST",
            "/look/1",
            timeout=timeout,
            headers=HEADERS | {"Request-Id": request_id},
            body=b"x" * 6000,
        )

    return OrdinaryCallers(call=call)


def _runs_of(zone: RelayZone, request_ids: set[str]) -> set[str]:
    return request_ids & zone.n_runs().keys()


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_ordinary_callers_are_served_beside_a_crowd(
    platform: RelayZone,
    host: RelayHost,
    behaviour: str,
    door: str,
    record_property: Callable[[str, object], None],
) -> None:
    """Guard against callers that use up a host's memory, time, places or descriptors.

    The host's process must live within its machine's limits and stay ready, and whoever
    is refused must not have been run.
    """
    status_by_id = play_beside_ordinary_callers(
        behaviour,
        door=_door(host, door),
        process=host.process,
        machine=MACHINE,
        addresses=[host.callers_address, host.ready_address],
        ordinary=_ordinary_callers(host),
        probe=ReadinessProbe(address=host.ready_address, target="/ready"),
        record=record_property,
    )
    refused = {name for name, status in status_by_id.items() if status in NOT_RUN}
    assert _runs_of(platform, refused) == set()
    wait_until(host.is_ready, what="the host is ready after the crowd")


@pytest.mark.parametrize("behaviour", ["whole-bodies", "half-bodies", "short-fields"])
def test_small_machine_bears_a_crowd(
    platform: RelayZone,
    behaviour: str,
    record_property: Callable[[str, object], None],
) -> None:
    """Guard against limits that don't follow from the memory of the machine."""
    name = f"e{len(platform.processes)}"
    host = platform.start_host(name, limits={"memory_mb": 160, "max_fds": 4100})
    try:
        play_beside_ordinary_callers(
            behaviour,
            door=_door(host, "route"),
            process=host.process,
            machine=Machine(memory=160_000_000, max_sockets=MACHINE.max_sockets),
            addresses=[host.callers_address, host.ready_address],
            ordinary=_ordinary_callers(host),
            probe=ReadinessProbe(address=host.ready_address, target="/ready"),
            record=record_property,
        )
    finally:
        host.process.kill()


def _status_in_calm(host: RelayHost, *, framing: str, pieces: Iterable[bytes]) -> int:
    """Return the status of the only request that a host receives."""
    name, _, port = host.callers_address.rpartition(":")
    with socket.create_connection((name, int(port)), timeout=30) as sock:
        sock.sendall(_door(host, "route").head("calm", framing))
        for piece in pieces:
            sock.sendall(piece)
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        answer.read()
        return answer.status


def test_largest_body_is_served_in_calm(host: RelayHost) -> None:
    """Guard against limits that refuse a body of the largest size that is allowed."""
    framing = f"Content-Length: {MAX_BODY}"
    assert _status_in_calm(host, framing=framing, pieces=[b"x" * MAX_BODY]) == 200


def test_largest_body_in_chunks_of_a_byte_is_served_in_calm(host: RelayHost) -> None:
    """Guard against parsing that takes longer than a request may take to arrive."""
    pieces = [b"1\r\nx\r\n" * 8192] * (MAX_BODY // 8192) + [b"0\r\n\r\n"]
    framing = "Transfer-Encoding: chunked"
    assert _status_in_calm(host, framing=framing, pieces=pieces) == 200


def test_head_full_of_short_fields_is_served_in_calm(host: RelayHost) -> None:
    """Guard against a limit on the number of fields beside that on the head's size."""
    head = _door(host, "route").head("calm", method="GET")
    n_fields = (MAX_HEAD - len(head)) // 4
    framing = "\r\n".join([*["a:"] * (n_fields - 8), "Content-Length: 0"])
    assert _status_in_calm(host, framing=framing, pieces=[]) == 200


def test_slow_request_that_arrives_in_time_is_served_in_calm(host: RelayHost) -> None:
    """Guard against closing connections whose requests take long, but not too long."""

    def pieces() -> Iterator[bytes]:
        pause = threading.Event()
        for _ in range(SLOW_PIECES):
            pause.wait(SLOW_TIME / SLOW_PIECES)
            yield b"x" * 100

    framing = f"Content-Length: {100 * SLOW_PIECES}"
    assert _status_in_calm(host, framing=framing, pieces=pieces()) == 200
