"""Test what a host concludes about its paths to backend servers."""

from __future__ import annotations

import pytest

from ryelever.coordination.relaying.server_paths import (
    PROBE_INTERVAL,
    STALL_CHECK_TIME,
    ServerPaths,
)
from ryelever.state.directory import BackendServer, Directory


class Paths(ServerPaths):
    """Paths under test, to two servers of each of two services in each of two zones."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.asked: list[tuple[str, str]] = []
        self.lost: list[str] = []
        self.directory = Directory()
        super().__init__(
            servers_by_id=self.directory.by_id,
            log=lambda event, **fields: self.lines.append(event),
        )
        self.has_witness = True
        self.ask_directly = lambda server_id: self._ask("directly", server_id)
        self.ask_others = lambda server_id: self._ask("others", server_id)
        self.on_lost = self.lost.append
        for zone in ("x", "y"):
            for service in ("engines", "plain"):
                for index in range(2):
                    server = _server(f"{zone}-{service}-{index}", service, zone)
                    self.directory.put(server, now=0.0)

    def _ask(self, whom: str, server_id: str) -> bool:
        self.asked.append((whom, server_id))
        return self.has_witness

    def lose(self, server_id: str, *, now: float) -> None:
        """Find that only other hosts reach a server."""
        self.unreached(server_id, now=now)
        self.reached_by_other(server_id, now=now)

    def forwarded(self) -> set[str]:
        """Return the servers that get requests by way of other hosts."""
        return {item for item in self.directory.by_id if self.is_out_of_reach(item)}


def _server(server_id: str, service: str, zone: str) -> BackendServer:
    return BackendServer(
        id=server_id,
        service=service,
        address=f"{server_id}:80",
        availability_zone=zone,
        slots=2,
        draining=False,
    )


@pytest.fixture
def paths() -> Paths:
    return Paths()


def test_server_that_no_host_reaches_is_not_out_of_reach(paths: Paths) -> None:
    """Guard against requests by way of other hosts to a server that has ended."""
    paths.unreached("x-plain-0", now=1.0)
    paths.tick(now=5.0)
    assert paths.asked == [("others", "x-plain-0")]
    assert paths.forwarded() == set()


def test_server_that_only_another_host_reaches_is_out_of_reach(paths: Paths) -> None:
    paths.lose("x-plain-0", now=1.0)
    assert paths.forwarded() == {"x-plain-0"}
    assert paths.lost == ["x-plain-0"]
    paths.answered("x-plain-0", now=2.0)
    assert paths.forwarded() == set()
    assert paths.lines == ["path_lost", "path_regained"]


@pytest.mark.parametrize(
    ("lost", "forwarded"),
    [
        pytest.param(
            ("x-plain-0", "x-engines-0"),
            {"x-plain-0", "x-plain-1", "x-engines-0", "x-engines-1"},
            id="zone",
        ),
        pytest.param(
            ("x-plain-0", "y-plain-0"),
            {"x-plain-0", "x-plain-1", "y-plain-0", "y-plain-1"},
            id="service",
        ),
    ],
)
def test_two_lost_paths_stand_for_those_of_a_zone_or_service(
    paths: Paths, lost: tuple[str, str], forwarded: set[str]
) -> None:
    """Guard against first attempts that are lost at one server after the other."""
    for server_id in lost:
        paths.lose(server_id, now=1.0)
    other = next(iter(paths.directory.by_id.keys() - forwarded))
    assert paths.is_cut_off
    paths.answered(other, now=1.1)
    assert paths.forwarded() == forwarded
    assert not paths.is_cut_off


def test_path_of_all_is_back_when_one_server_answers(paths: Paths) -> None:
    """Guard against requests that go on taking a detour after a partition."""
    paths.lose("x-plain-0", now=1.0)
    paths.lose("y-engines-0", now=1.0)
    assert len(paths.forwarded()) == 8
    paths.answered("x-plain-0", now=9.0)
    assert paths.forwarded() == {"y-engines-0"}
    assert paths.due_probes(now=9.0) == ["y-engines-0"]


def test_lost_paths_are_probed_in_turn(paths: Paths) -> None:
    """Guard against a path that is back and that no one tries."""
    paths.lose("x-plain-0", now=1.0)
    paths.lose("y-plain-0", now=1.0)
    now = 1.0
    probed = []
    for _ in range(4):
        probed += paths.due_probes(now=now)
        assert paths.due_probes(now=now) == []
        now += PROBE_INTERVAL
    assert probed == ["x-plain-0", "y-plain-0"] * 2


def test_lost_path_to_a_server_that_is_gone_is_forgotten(paths: Paths) -> None:
    paths.lose("x-plain-0", now=1.0)
    paths.lose("x-plain-1", now=1.0)
    paths.directory.remove("x-plain-0", last_renewed_at=1.0)
    paths.tick(now=2.0)
    assert not paths.is_cut_off
    assert paths.forwarded() == {"x-plain-1"}


def test_path_is_regained_after_another_server_is_gone(paths: Paths) -> None:
    """Guard against a fault when a server leaves the list while its path is lost."""
    paths.lose("x-plain-0", now=1.0)
    paths.lose("x-plain-1", now=1.0)
    paths.directory.remove("x-plain-0", last_renewed_at=1.0)
    paths.answered("x-plain-1", now=1.05)
    assert paths.forwarded() == set()


def test_stall_of_a_head_that_answers_is_announced_at_once(paths: Paths) -> None:
    """Guard against stalled groups that other hosts learn of too late."""
    paths.stalled("x-engines-0", now=1.0)
    assert paths.explains_stall("x-engines-0", now=1.01)
    paths.answered("x-engines-0", now=1.01)
    assert not paths.explains_stall("x-engines-0", now=1.01)
    paths.tick(now=1.2)
    assert paths.asked == [("directly", "x-engines-0")]


def test_stall_of_a_head_that_no_host_reaches_is_announced(paths: Paths) -> None:
    """Guard against lost heads that are never announced."""
    paths.stalled("x-engines-0", now=1.0)
    paths.tick(now=1.2)
    assert paths.asked[1:] == [("others", "x-engines-0")]
    assert paths.explains_stall("x-engines-0", now=1.2)
    assert not paths.explains_stall("x-engines-0", now=1.01 + STALL_CHECK_TIME)
    paths.tick(now=1.4)
    assert len(paths.asked) == 2


def test_stall_behind_a_lost_path_is_not_announced(paths: Paths) -> None:
    """Guard against hosts that shun sound groups for what a partitioned host says."""
    paths.stalled("x-engines-0", now=1.0)
    paths.tick(now=1.2)
    paths.reached_by_other("x-engines-0", now=1.21)
    assert paths.forwarded() == {"x-engines-0"}
    assert paths.explains_stall("x-engines-0", now=2.0)


def test_stall_without_another_host_is_announced_at_once(paths: Paths) -> None:
    paths.has_witness = False
    paths.stalled("x-engines-0", now=1.0)
    assert not paths.explains_stall("x-engines-0", now=1.0)


def test_silence_of_a_service_is_told_apart_from_that_of_another(paths: Paths) -> None:
    """Guard against direct attempts after one service alone fell silent."""
    paths.heard("x-plain-0", now=1.0)
    assert not paths.hears_nothing("y-plain-1", now=1.1)
    assert paths.hears_nothing("x-engines-0", now=1.1)
    assert paths.hears_nothing("x-plain-0", now=2.0)
