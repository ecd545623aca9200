"""Test replica groups with a store that returns from older copies of its log.

The planner of an emulated zone forms, repairs and ends groups by a log that is copied
and restored at random times, while servers are lost, planners are replaced and appends
are executed late.
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

#: Seconds in which events occur, and seconds after them until groups must serve again.
EVENTS_LENGTH = 20.0
RECOVERY_TIME = 12.0

#: Seconds until a planner reads the log after its start, a restore or a late append.
READ_AFTER = 0.3

#: Seconds by which an append without an answer is executed late.
APPEND_DELAY = 2.0

EVENTS = ("copy", "apply-copy", "lose", "replace-planner", "late-append")


@dataclass(slots=True, kw_only=True)
class _Log:
    """The records of one zone's groups in the store."""

    era: int = 1
    end: int = 0
    record_by_name: dict[str, GroupRecord] = field(default_factory=dict)

    def copy(self) -> _Log:
        return _Log(
            era=self.era, end=self.end, record_by_name=dict(self.record_by_name)
        )


class FleetWithStoreReturns(Fleet):
    """An emulated zone with a store that can be restored from an older copy.

    Attributes
    ----------
    faults : list of str
        Violated invariants, each with its time.
    """

    def __init__(self, *, seed: int, knows_eras: bool = True) -> None:
        self._knows_eras = knows_eras
        self._log = _Log()
        self._copy = self._log.copy()
        self._read_at = float("inf")
        self._delays_next_append = False
        self._late_appends: list[tuple[float, AppendGroups]] = []
        self._members_by_epoch: dict[int, set[tuple[str, ...]]] = defaultdict(set)
        self.faults: list[str] = []
        super().__init__(deployment=DEPLOYMENT, seed=seed)

    def apply_event(self, event: str) -> None:
        """Apply one of ``EVENTS`` now."""
        if event == "copy":
            self._copy = self._log.copy()
        elif event == "apply-copy":
            era = self._log.era + 1
            self._log = self._copy.copy()
            self._log.era = era
            self._read_at = self.now + READ_AFTER
        elif event == "lose":
            self.lose(self.random.choice(self.running_servers), restart_after=1.0)
        elif event == "replace-planner":
            self.planners_by_zone[ZONE] = self._new_planner(ZONE)
            self._read_at = self.now + READ_AFTER
        elif event == "late-append":
            self._delays_next_append = True

    def advance(self) -> None:
        """Advance the emulation by one step."""
        if self.now >= self._read_at:
            self._read_at = float("inf")
            self._send_full_list(self.planners_by_zone[ZONE])
        due = [append for at, append in self._late_appends if at <= self.now]
        self._late_appends = [item for item in self._late_appends if item[0] > self.now]
        for append in due:
            self._execute_append(append)
        super().advance()

    def open_groups(self) -> set[str]:
        """Return the names of the groups that are open and complete."""
        return {
            server.entry.group.name
            for server in self.running_servers
            if server.is_open_head and self.is_complete(server)
        }

    def recorded_groups(self) -> set[str]:
        """Return the names of the groups that have a record in the log."""
        return set(self._log.record_by_name)

    def _send_full_list(self, planner: ZonePlanner) -> None:
        era = self._log.era if self._knows_eras else 0
        records = list(self._log.record_by_name.values())
        planner.apply_full_list(records, end=self._log.end, era=era, now=self.now)

    def _append(self, zone: str, append: AppendGroups) -> None:
        planner = self.planners_by_zone[zone]
        if self._delays_next_append:
            self._delays_next_append = False
            self._late_appends.append((self.now + APPEND_DELAY, append))
            planner.fail_append(end=None)
            return
        end = self._execute_append(append)
        if end is None:
            planner.fail_append(end=self._log.end)
            return
        era = self._log.era if self._knows_eras else append.era
        planner.confirm_append(append, end=end, era=era, now=self.now)

    def _execute_append(self, append: AppendGroups) -> int | None:
        """Append if the log ends at the expected offset; return its new end or None."""
        if append.at != self._log.end:
            return None
        for record in (*append.formed, *append.restored):
            self._log.record_by_name[record.name] = record
        for name in append.dropped:
            self._log.record_by_name.pop(name, None)
        n_records = len(append.formed) + len(append.restored) + len(append.dropped)
        self._log.end += n_records
        # The planner follows the topic and reads the records a moment later.
        self._read_at = min(self._read_at, self.now + READ_AFTER)
        return self._log.end

    def _execute_order(self, zone: str, order: GroupOrder) -> None:
        if order.kind is OrderKind.JOIN:
            self._check_join(order)
        super()._execute_order(zone, order)

    def _check_join(self, order: GroupOrder) -> None:
        """Record a fault if groups share an epoch or the former group may serve."""
        member_lists = self._members_by_epoch[order.epoch]
        member_lists.add(order.members)
        if len(member_lists) > 1:
            self.faults.append(f"{self.now}: epoch {order.epoch} of two groups")
        server = self.servers_by_id.get(order.server_id)
        if server is None or server.lost_at is not None:
            return
        if order.epoch < server.newest_epoch:
            # The server refuses the order.
            return
        report = server.entry.group
        if report is None or report.epoch == order.epoch:
            return
        for head in self.running_servers:
            head_report = head.entry.group
            if (
                head_report is None
                or head_report.rank
                or head_report.epoch != report.epoch
            ):
                continue
            if head_report.state in (GroupState.OPEN, GroupState.CLOSING):
                self.faults.append(f"{self.now}: {server.id} joins from {report.name}")


def _play(
    events: list[tuple[float, str]], *, knows_eras: bool = True
) -> FleetWithStoreReturns:
    """Emulate a zone with events at their times, until groups must serve again."""
    fleet = FleetWithStoreReturns(seed=1, knows_eras=knows_eras)
    waiting = sorted(events)
    while fleet.now < EVENTS_LENGTH + RECOVERY_TIME:
        while waiting and waiting[0][0] <= fleet.now:
            fleet.apply_event(waiting.pop(0)[1])
        fleet.advance()
    return fleet


def _assert_sound(fleet: FleetWithStoreReturns) -> None:
    assert fleet.faults == []
    serving = fleet.open_groups()
    assert serving
    assert serving <= fleet.recorded_groups()


@settings(max_examples=60)
@given(
    st.lists(
        st.tuples(
            st.integers(0, int(EVENTS_LENGTH * 10)).map(lambda tenth: tenth / 10),
            st.sampled_from(EVENTS),
        ),
        max_size=12,
    )
)
def test_store_returns_put_no_server_into_two_groups(
    events: list[tuple[float, str]],
) -> None:
    """Guard against reused epochs and against members that leave a serving group.

    At the end, at least one group serves and each serving group has a record.
    """
    _assert_sound(_play(events))


#: A restore under a planner that knows the lost records, and under one that starts from
#: the restored copy.
WITH_PLANNER = [(2.0, "copy"), (3.0, "lose"), (7.0, "apply-copy"), (8.0, "lose")]
REPLACED = [*WITH_PLANNER, (7.1, "replace-planner")]

#: The same with a copy that was made before the first group.
EMPTY = [(-11.5, "copy"), (5.0, "apply-copy"), (6.0, "lose")]
EMPTY_REPLACED = [*EMPTY, (5.1, "replace-planner")]


@pytest.mark.parametrize(
    "events",
    [
        pytest.param(WITH_PLANNER, id="planner-stays"),
        pytest.param(REPLACED, id="planner-is-replaced"),
        pytest.param(EMPTY, id="empty-copy"),
        pytest.param(EMPTY_REPLACED, id="empty-copy-and-planner-is-replaced"),
        pytest.param(
            [
                *WITH_PLANNER,
                (9.0, "apply-copy"),
                (10.0, "lose"),
                (11.0, "apply-copy"),
            ],
            id="three-in-series",
        ),
        pytest.param([*WITH_PLANNER, (6.9, "late-append")], id="late-append"),
        pytest.param([(-11.0, "apply-copy"), (-9.0, "apply-copy")], id="at-the-start"),
    ],
)
def test_groups_serve_after_store_returns(events: list[tuple[float, str]]) -> None:
    """Guard against a zone without groups, or with unrecorded ones, after a restore."""
    _assert_sound(_play(events))


@pytest.mark.parametrize("events", [EMPTY, EMPTY_REPLACED], ids=["stays", "replaced"])
def test_planners_without_eras_fail_the_checks(
    events: list[tuple[float, str]],
) -> None:
    """Check that the exploration detects planners that ignore the store's era.

    Such planners treat offsets of different eras as the same position.
    """
    fleet = _play(events, knows_eras=False)
    with pytest.raises(AssertionError):
        _assert_sound(fleet)
