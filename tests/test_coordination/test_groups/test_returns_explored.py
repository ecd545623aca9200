"""Explore what a store that comes back from older copies does to replica groups.

Planners of an emulated zone form, mend and end groups by way of a log that is copied
and put back at drawn moments, while servers are lost, planners are replaced and appends
are carried out late.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ryelever.coordination.groups import (
    AppendGroups,
    GroupOrder,
    OrderKind,
    ZonePlanner,
)
from ryelever.coordination.groups.records import GroupRecord
from ryelever.emulator import Deployment, EmulatedModel, Fleet
from ryelever.state.directory import GroupState

DEPLOYMENT = Deployment(
    n_zones=1,
    n_domains=1,
    domain_size=8,
    models_by_name={
        "large": EmulatedModel(
            size=3, demand=1.2, share=0.6, load_time=3.0, warm_time=0.6
        ),
        "small": EmulatedModel(
            size=1, demand=1.2, share=0.4, load_time=2.0, warm_time=0.4
        ),
    },
    stall_time=1.0,
    loads_per_second=10.0,
    loads_at_once=8.0,
)

ZONE = "z0"

#: Seconds of one run, and after its last event until all must be as it should.
LENGTH = 20.0
SETTLED = 12.0

#: Seconds until a planner has read the log that came back, or reads it at its start.
READ_AFTER = 0.3

#: Seconds by which an append is late that its planner gets no answer to.
LATE = 2.0

EVENTS = ("copy", "come-back", "lose", "replace-planner", "late-append")


@dataclass(slots=True, kw_only=True)
class _Log:
    """Hold the groups' topic of one zone."""

    era: int = 1
    end: int = 0
    record_by_name: dict[str, GroupRecord] = field(default_factory=dict)

    def copied(self) -> _Log:
        return _Log(
            era=self.era, end=self.end, record_by_name=dict(self.record_by_name)
        )


class ReturningFleet(Fleet):
    """Play a zone before a store that comes back from older copies.

    Attributes
    ----------
    faults : list of str
        What must never be, with its moment.
    """

    def __init__(self, *, seed: int, knows_eras: bool = True) -> None:
        self._knows_eras = knows_eras
        self._log = _Log()
        self._copy = self._log.copied()
        self._read_at = float("inf")
        self._is_append_late = False
        self._late: list[tuple[float, AppendGroups]] = []
        self._members_by_epoch: dict[int, set[tuple[str, ...]]] = defaultdict(set)
        self.faults: list[str] = []
        super().__init__(deployment=DEPLOYMENT, seed=seed)

    def befall(self, event: str) -> None:
        """Let something happen."""
        if event == "copy":
            self._copy = self._log.copied()
        elif event == "come-back":
            era = self._log.era + 1
            self._log = self._copy.copied()
            self._log.era = era
            self._read_at = self.now + READ_AFTER
        elif event == "lose":
            self.lose(self.random.choice(self.living), back_after=1.0)
        elif event == "replace-planner":
            self.planners_by_zone[ZONE] = self._new_planner(ZONE)
            self._read_at = self.now + READ_AFTER
        elif event == "late-append":
            self._is_append_late = True

    def advance(self) -> None:
        """Let one step pass."""
        if self.now >= self._read_at:
            self._read_at = float("inf")
            self._list(self.planners_by_zone[ZONE])
        due = [append for at, append in self._late if at <= self.now]
        self._late = [item for item in self._late if item[0] > self.now]
        for append in due:
            self._carry_out_append(append)
        super().advance()

    def open_groups(self) -> set[str]:
        """Return the names of the groups that serve whole."""
        return {
            server.entry.group.name
            for server in self.living
            if server.is_open_head and self.is_complete(server)
        }

    def recorded_groups(self) -> set[str]:
        """Return the names of the groups that the log holds."""
        return set(self._log.record_by_name)

    def _list(self, planner: ZonePlanner) -> None:
        era = self._log.era if self._knows_eras else 0
        records = list(self._log.record_by_name.values())
        planner.listed(records, end=self._log.end, era=era, now=self.now)

    def _append(self, zone: str, append: AppendGroups) -> None:
        planner = self.planners_by_zone[zone]
        if self._is_append_late:
            self._is_append_late = False
            self._late.append((self.now + LATE, append))
            planner.append_failed(end=None)
            return
        end = self._carry_out_append(append)
        if end is None:
            planner.append_failed(end=self._log.end)
            return
        era = self._log.era if self._knows_eras else append.era
        planner.appended(append, end=end, era=era, now=self.now)

    def _carry_out_append(self, append: AppendGroups) -> int | None:
        """Append if the log ends where it is expected to; return its end then."""
        if append.at != self._log.end:
            return None
        for record in (*append.formed, *append.restored):
            self._log.record_by_name[record.name] = record
        for name in append.dropped:
            self._log.record_by_name.pop(name, None)
        n_records = len(append.formed) + len(append.restored) + len(append.dropped)
        self._log.end += n_records
        # Whoever follows the topic reads it a moment later.
        self._read_at = min(self._read_at, self.now + READ_AFTER)
        return self._log.end

    def _carry_out(self, zone: str, order: GroupOrder) -> None:
        if order.kind is OrderKind.JOIN:
            self._check_join(order)
        super()._carry_out(zone, order)

    def _check_join(self, order: GroupOrder) -> None:
        """Note an epoch that two groups have, or a member of one that serves."""
        lists = self._members_by_epoch[order.epoch]
        lists.add(order.members)
        if len(lists) > 1:
            self.faults.append(f"{self.now}: epoch {order.epoch} of two groups")
        server = self.servers_by_id.get(order.server_id)
        if server is None or server.lost_at is not None:
            return
        if order.epoch < server.newest_epoch:
            # It refuses.
            return
        report = server.entry.group
        if report is None or report.epoch == order.epoch:
            return
        for head in self.living:
            theirs = head.entry.group
            if theirs is None or theirs.rank or theirs.epoch != report.epoch:
                continue
            if theirs.state in (GroupState.OPEN, GroupState.CLOSING):
                self.faults.append(f"{self.now}: {server.id} joins from {report.name}")


def _play(
    events: list[tuple[float, str]], *, knows_eras: bool = True
) -> ReturningFleet:
    """Play events at their moments, and some time after the last one."""
    fleet = ReturningFleet(seed=1, knows_eras=knows_eras)
    waiting = sorted(events)
    while fleet.now < LENGTH + SETTLED:
        while waiting and waiting[0][0] <= fleet.now:
            fleet.befall(waiting.pop(0)[1])
        fleet.advance()
    return fleet


def _assert_sound(fleet: ReturningFleet) -> None:
    assert fleet.faults == []
    serving = fleet.open_groups()
    assert serving
    assert serving <= fleet.recorded_groups()


@settings(max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.integers(0, int(LENGTH * 10)).map(lambda tenth: tenth / 10),
            st.sampled_from(EVENTS),
        ),
        max_size=12,
    )
)
def test_returns_put_no_server_into_two_groups(
    events: list[tuple[float, str]],
) -> None:
    """Guard against epochs given out twice and members taken from a group that serves.

    At the end groups serve, and each of them has a record.
    """
    _assert_sound(_play(events))


#: A return with a planner that knows better, and one that starts with the copy.
WITH_PLANNER = [(2.0, "copy"), (3.0, "lose"), (7.0, "come-back"), (8.0, "lose")]
REPLACED = [*WITH_PLANNER, (7.1, "replace-planner")]

#: The same after a copy from before the first groups.
EMPTY = [(-11.5, "copy"), (5.0, "come-back"), (6.0, "lose")]
EMPTY_REPLACED = [*EMPTY, (5.1, "replace-planner")]


@pytest.mark.parametrize(
    "events",
    [
        pytest.param(WITH_PLANNER, id="planner-stays"),
        pytest.param(REPLACED, id="planner-is-replaced"),
        pytest.param(EMPTY, id="empty-copy"),
        pytest.param(EMPTY_REPLACED, id="empty-copy-and-planner-is-replaced"),
        pytest.param(
            [*WITH_PLANNER, (9.0, "come-back"), (10.0, "lose"), (11.0, "come-back")],
            id="three-in-series",
        ),
        pytest.param([*WITH_PLANNER, (6.9, "late-append")], id="late-append"),
        pytest.param([(-11.0, "come-back"), (-9.0, "come-back")], id="at-the-start"),
    ],
)
def test_groups_go_on_after_returns(events: list[tuple[float, str]]) -> None:
    """Guard against a zone without groups, or with unrecorded ones, after a return."""
    _assert_sound(_play(events))


@pytest.mark.parametrize("events", [EMPTY, EMPTY_REPLACED], ids=["stays", "replaced"])
def test_the_exploration_notices_planners_that_know_no_eras(
    events: list[tuple[float, str]],
) -> None:
    """Show that the checks fail where offsets are taken to name one thing for ever."""
    fleet = _play(events, knows_eras=False)
    with pytest.raises(AssertionError):
        _assert_sound(fleet)
