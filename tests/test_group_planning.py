"""Test in simulated time which silences of backend servers end their group."""

from __future__ import annotations

import math
from collections.abc import Callable
from types import SimpleNamespace

import pytest

from ryelever import group_planning
from ryelever.coordination.groups.managed_group import GroupPhase
from ryelever.coordination.groups.orders import OrderOutcome
from ryelever.coordination.relaying.server_paths import ServerPaths
from ryelever.errors import Category, RyeleverError
from ryelever.events import OutboundAnswer, OutboundFailure, OutboundRequest
from ryelever.transport.http_client import REFUSED

from .test_coordination.test_groups.group_fakes import Members, record

GROUP = record(5, "a", "b", "c")

#: Seconds of a step, and from the last event of a group to the report of its stall, by
#: the planner's own host and by another one.
STEP = 0.05
STALL_REPORTED_AFTER = 0.5
PEER_STALL_REPORTED_AFTER = 0.85


class PlannedGroup:
    """A group of three members, and its planner without other hosts.

    Attributes
    ----------
    silence_by_id : dict of str to tuple of (float, float)
        Begin and end of each member's last silence.
    connects : bool
        Whether silent members complete connections.
    error : Category
        Error of a request to a silent member, which may be a refusal or a reset.
    stall_reported_after : float
        Seconds from the last event of the group to the report of its stall.
    others_answer : bool
        Whether servers of other groups answer meanwhile.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 0.0
        self.silence_by_id: dict[str, tuple[float, float]] = {}
        self.connects, self.error = False, Category.TIMEOUT
        self.others_answer = True
        self.stall_reported_after = STALL_REPORTED_AFTER
        self._stalled_since = math.inf
        self._replies: list[tuple[float, Callable[[], None]]] = []
        self.members = Members("a", "b", "c")
        self.members.serve(GROUP)
        manager = self.members.manager
        planner = SimpleNamespace(
            manager=manager,
            run_planning_pass=lambda now: (manager.due_orders(now=now), None),
        )
        self._paths = ServerPaths(servers_by_id={}, log=lambda event, **fields: None)
        self._planning = group_planning.GroupPlanning(
            settings=SimpleNamespace(zones=("z",), store_partitions=1),
            log=None,
            documents=SimpleNamespace(groups_topic="groups"),
            groups=SimpleNamespace(
                order=lambda order: SimpleNamespace(method="GET", path="/", body=b""),
                order_headers=lambda order: (),
                outcome=lambda order, status, body: OrderOutcome.APPLIED,
            ),
            store=SimpleNamespace(follow=lambda follower, apply: None),
            plans_for=lambda zone, planning: True,
            still=lambda: {"a"} if self._is_stalled() else set(),
            new_planner=lambda zone: planner,
            directory=self.members.directory,
            paths=self._paths,
            forwarders=SimpleNamespace(witnesses=lambda now: []),
        )
        clock = SimpleNamespace(monotonic=lambda: self.now)
        monkeypatch.setattr(group_planning, "time", clock)
        monkeypatch.setattr(self._planning, "fire", self._receive)

    def silence(self, server_ids: str, seconds: float = math.inf) -> None:
        """Make members silent from now on."""
        until = self.now + seconds
        self.silence_by_id.update(dict.fromkeys(server_ids, (self.now, until)))

    def ends_within(self, seconds: float) -> bool:
        """Advance time until the group is ended; return whether it is."""
        end = self.now + seconds
        while self.now < end and self.serves():
            self.now = round(self.now + STEP, 3)
            if self.others_answer or not self._silent_since():
                self._paths.heard("d", now=self.now)
            due = [reply for at, reply in self._replies if at <= self.now]
            self._replies = [item for item in self._replies if item[0] > self.now]
            for reply in due:
                reply()
            self._planning._on_tick()
        return not self.serves()

    def serves(self) -> bool:
        """Return whether the planner has not begun to end the group."""
        return self.members.manager.phase_of(GROUP.name) is GroupPhase.SERVING

    def _silent_since(self) -> list[float]:
        """Return since when each silent member has been silent."""
        return [
            since for since, until in self.silence_by_id.values() if self.now < until
        ]

    def _is_stalled(self) -> bool:
        silent_since = self._silent_since()
        if not silent_since:
            self._stalled_since = math.inf
            return False
        self._stalled_since = min(self._stalled_since, *silent_since)
        return self._stalled_since + self.stall_reported_after <= self.now

    def _receive(self, event: object, channel: str) -> None:
        request = event.args[0]
        if not isinstance(request, OutboundRequest):
            return
        _, until = self.silence_by_id.get(request.address[0], (0.0, 0.0))
        if self.now >= until:
            self._replies.append((self.now, lambda: self._answer(request)))
            return
        timeout = request.progress_timeout if self.connects else request.connect_timeout
        at = self.now + (timeout if self.error is Category.TIMEOUT else 0.0)
        if self.connects and until <= at:
            self._replies.append((until, lambda: self._answer(request)))
        else:
            self._replies.append((at, lambda: self._fail(request)))

    def _answer(self, request: OutboundRequest) -> None:
        answer = OutboundAnswer(
            id=request.id,
            status=204,
            headers={},
            body=b"",
            address=request.address,
            sent_at=self.now,
        )
        self._planning._on_answer(answer)

    def _fail(self, request: OutboundRequest) -> None:
        code = REFUSED if self.error is Category.UNAVAILABLE else ""
        error = RyeleverError("failed", category=self.error, step="order", code=code)
        failure = OutboundFailure(
            id=request.id,
            address=request.address,
            error=error,
            bytes_sent=self.connects,
        )
        self._planning._on_failed(failure)


@pytest.fixture
def group(monkeypatch: pytest.MonkeyPatch) -> PlannedGroup:
    return PlannedGroup(monkeypatch)


@pytest.mark.parametrize("seconds", [1.0, 1.5])
@pytest.mark.parametrize(
    ("server_ids", "others_answer"),
    [("c", True), ("a", True), ("abc", True), ("abc", False)],
    ids=["member", "head", "domain", "service"],
)
def test_paused_servers_keep_their_group(
    group: PlannedGroup,
    server_ids: str,
    others_answer: bool,
    seconds: float,
) -> None:
    """Guard against streams that are cut because a server was silent for a second."""
    group.connects, group.others_answer = True, others_answer
    group.silence(server_ids, seconds)
    assert not group.ends_within(5.0)
    manager = group.members.manager
    assert not any(manager.is_presumed_lost(item, now=group.now) for item in "abc")


@pytest.mark.parametrize("apart", [0.3, 0.5, 0.6, 0.7, 0.85, 1.0, 1.3])
@pytest.mark.parametrize("server_ids", ["ab", "ba", "bc"])
@pytest.mark.parametrize(
    "reported_after", [STALL_REPORTED_AFTER, PEER_STALL_REPORTED_AFTER]
)
def test_overlapping_pauses_do_not_add_up(
    group: PlannedGroup, reported_after: float, server_ids: str, apart: float
) -> None:
    """Guard against a paused member that is blamed for the silence of another one."""
    group.connects, group.stall_reported_after = True, reported_after
    group.silence(server_ids[0], 1.5)
    assert not group.ends_within(apart)
    group.silence(server_ids[1], 1.5)
    assert not group.ends_within(5.0)


@pytest.mark.parametrize(("server_ids", "seconds"), [("c", 1.7), ("ab", 2.2)])
def test_members_that_hang_end_their_group(
    group: PlannedGroup, server_ids: str, seconds: float
) -> None:
    """Guard against members that never answer but accept connections."""
    group.connects = True
    group.silence(server_ids)
    assert group.ends_within(seconds)


def test_separate_pauses_do_not_add_up(group: PlannedGroup) -> None:
    """Guard against a group that is ended after one unanswered probe in its pause."""
    for _ in range(2):
        group.silence("c", 0.7)
        assert not group.ends_within(10.0)


@pytest.mark.parametrize(
    ("error", "seconds"),
    [(Category.UNAVAILABLE, 0.6), (Category.BROKEN, 1.0), (Category.TIMEOUT, 1.6)],
    ids=["refuses", "resets", "is dark"],
)
def test_lost_member_ends_its_group(
    group: PlannedGroup, error: Category, seconds: float
) -> None:
    """Guard against a lost member that is taken for a paused one."""
    group.error = error
    group.silence("c")
    assert group.ends_within(seconds)
