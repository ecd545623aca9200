"""Test which actions planners take, and avoid, while the log is unavailable."""

from __future__ import annotations

import pytest

from ryelever.state.placement import PlacementFold

from ...zone import Zone, new_zone

ORIGINAL_MEMBERS = ("a-0", "a-1", "a-2", "a-3")


def _make_zone(checks_fencing: bool = True) -> Zone:
    return new_zone(a=5, checks_fencing=checks_fencing, n_planners=2, serves_within=20)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_restarted_member_rejoins_its_group_without_the_log(
    checks_fencing: bool,
) -> None:
    """Restart a member while the log is unavailable.

    Guards against a group that stays down for a whole outage of the log, such as an
    hour, although all its hosts are up.  This happens if a restarted member can only
    serve again in a new group with a new fencing token.
    """
    zone = _make_zone(checks_fencing)
    zone.log_is_up = False
    zone.run(5)
    zone.engines_by_host["a-3"].restart()
    zone.run(60)
    assert zone.groups() == ([ORIGINAL_MEMBERS] if checks_fencing else [])
    assert zone.kinds() == ["formed"]
    zone.log_is_up = True
    zone.run(60)
    assert zone.groups() == [ORIGINAL_MEMBERS]
    # If the group was complete during the outage, no new group is formed after it.
    assert zone.kinds().count("formed") == (1 if checks_fencing else 2)


def test_dead_member_is_not_replaced_without_the_log() -> None:
    """Lose a member permanently while the log is unavailable."""
    zone = _make_zone()
    zone.log_is_up = False
    zone.run(5)
    zone.engines_by_host["a-3"].refuses = True
    zone.run(60)
    assert zone.groups() == [] and zone.engines_by_host["a-4"].state == "idle"
    zone.log_is_up = True
    zone.run_until(lambda: zone.groups() == [("a-0", "a-1", "a-2", "a-4")], at_most=15)


def test_single_planner_cut_off_from_the_log_disrupts_no_group() -> None:
    """Cut one planner off from the log while the other planner repairs a group.

    Guards against hosts being ordered out of their new group.  The other planner
    replaces a member, and then the replaced member's engine restarts.  The planner
    that is cut off still knows only the old group and might order its members to
    rejoin.
    """
    zone = _make_zone()
    cut_off, other = zone.planners
    if not other.planner.holds_lease(zone.view(other), now=zone.now):
        cut_off, other = other, cut_off
    cut_off.cut_from_log = True
    zone.engines_by_host["a-3"].answers = False
    zone.run_until(lambda: zone.group_of("a-4"), at_most=20)
    zone.run(5)
    new = zone.group_of("a-4")
    zone.engines_by_host["a-3"].restart()
    for _ in range(400):
        zone.advance()
        assert zone.group_of("a-4") == new
        members = [zone.engines_by_host[host].group for host in ("a-0", "a-1", "a-2")]
        assert members == [new] * 3
    cut_off.cut_from_log = False
    zone.run(20)
    assert zone.engines_by_host["a-3"].group == "" and len(zone.groups()) == 1


@pytest.mark.parametrize("has_restarted", [True, False])
def test_planner_that_lacks_records_sends_no_orders(has_restarted: bool) -> None:
    """Let records expire before one planner has read them; then pause the lease holder.

    Guards against a second planner that orders hosts out of complete groups.  An
    entry host pauses for longer than the log retains records, or starts after
    records have expired.  Because a record in between is missing, this host's fold
    never shows a renewal of the lease that it knows, if it knows any.  The fault
    occurs if the host ignores the renewals, accepts a lease record that it appended
    itself, or treats the log as unavailable and its own outdated state as current.
    """
    zone = _make_zone()
    stale_process, other = zone.planners
    if stale_process.planner.holds_lease(zone.view(stale_process), now=zone.now):
        stale_process, other = other, stale_process
    stale_process.paused = True
    zone.run(5)
    if has_restarted:
        stale_process.fold = PlacementFold()
    stale_process.fold.record_loss(
        before=len(zone.entries), reason="records have expired"
    )
    stale_process.paused = False
    zone.run(40)
    assert stale_process.fold.lease.offset == zone.truth.lease.offset
    other.paused = True
    zone.engines_by_host["a-3"].restart()
    zone.run(20)
    assert stale_process.sent == [] and zone.engines_by_host["a-3"].group == ""


@pytest.mark.parametrize("n_paused", [0, 1])
def test_one_planner_takes_over_when_all_planners_lack_records(n_paused: int) -> None:
    """Let records expire before either planner has read them; then a member dies.

    Guards against a zone that no planner repairs, or in which two planners order the
    same hosts permanently.  Both entry hosts pause, at two offsets, for longer than
    the log retains records.  The fault occurs if each continues from the lease that
    it knew and ignores the other's lease.
    """
    zone = _make_zone()
    for process in zone.planners:
        process.paused = True
        zone.run(6)
        process.fold.record_loss(
            before=len(zone.entries), reason="records have expired"
        )
    zone.run(6)
    for process in zone.planners[n_paused:]:
        process.paused = False
    zone.engines_by_host["a-3"].refuses = True
    zone.run_until(lambda: zone.group_of("a-4"), at_most=80)
    zone.planners[0].paused = False
    for _ in range(100):
        zone.advance()
        holders = [
            process.name
            for process in zone.planners
            if process.planner.holds_lease(zone.view(process), now=zone.now)
        ]
        assert len(holders) == 1
    assert {process.fold.lease for process in zone.planners} == {zone.truth.lease}


def test_planner_that_wakes_from_a_pause_sends_no_orders() -> None:
    """Wake a planner whose known lease is old only because it did not read the log."""
    zone = _make_zone()
    process = zone.planners[0]
    process.paused = True
    zone.run(30)
    zone.engines_by_host["a-3"].restart()
    process.paused = False
    n_sent = len(process.sent)
    process.planner.tick(zone.view(process), now=zone.now)
    assert not process.planner.lease.is_log_unreachable(now=zone.now)
    assert len(process.sent) == n_sent
