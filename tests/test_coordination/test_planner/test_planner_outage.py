"""Test what is done while the log is away, and what must not be."""

from __future__ import annotations

import pytest

from ryelever.state.placement import PlacementFold

from ...zone import Zone, new_zone

WHOLE = ("a-0", "a-1", "a-2", "a-3")


def _zone(checks_fencing: bool = True) -> Zone:
    return new_zone(a=5, checks_fencing=checks_fencing, n_planners=2, serves_within=20)


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_restarted_member_rejoins_its_group_without_the_log(
    checks_fencing: bool,
) -> None:
    """Restart a member while the log is away.

    Symptom: a group stays down for the hour that the log is away, though all its
    hosts are up.  Sequence: the log fails, an engine restarts.  Cause: only a new
    group, with a new number, was thought to help.
    """
    zone = _zone(checks_fencing)
    zone.log_is_up = False
    zone.run(5)
    zone.engines_by_host["a-3"].restart()
    zone.run(60)
    assert zone.groups() == ([WHOLE] if checks_fencing else [])
    assert zone.kinds() == ["formed"]
    zone.log_is_up = True
    zone.run(60)
    assert zone.groups() == [WHOLE]
    # Nothing is formed anew after the outage where nothing was missing then.
    assert zone.kinds().count("formed") == (1 if checks_fencing else 2)


def test_dead_member_is_not_replaced_without_the_log() -> None:
    """Lose a member for good while the log is away."""
    zone = _zone()
    zone.log_is_up = False
    zone.run(5)
    zone.engines_by_host["a-3"].refuses = True
    zone.run(60)
    assert zone.groups() == [] and zone.engines_by_host["a-4"].state == "idle"
    zone.log_is_up = True
    zone.run_until(lambda: zone.groups() == [("a-0", "a-1", "a-2", "a-4")], at_most=15)


def test_process_that_alone_is_cut_off_breaks_nothing() -> None:
    """Cut one planner off from the log while the other one repairs.

    Symptom: a host is pulled out of its new group.  Sequence: a planner is cut off,
    the other replaces a member and it restarts in its old host; the first still
    believes in the old group.  Cause: it orders its members back.
    """
    zone = _zone()
    cut, other = zone.planners
    if not other.planner.holds_lease(zone.view(other), now=zone.now):
        cut, other = other, cut
    cut.cut_from_log = True
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
    cut.cut_from_log = False
    zone.run(20)
    assert zone.engines_by_host["a-3"].group == "" and len(zone.groups()) == 1


@pytest.mark.parametrize("fresh", [True, False])
def test_process_that_lacks_records_orders_nothing(fresh: bool) -> None:
    """Let records expire before one planner has read them; then pause the holder.

    Symptom: a second planner pulls hosts out of whole groups.  Sequence: an entry host
    pauses beyond the retention of the log, or starts after it; the lease that it
    knows, or none, is never renewed to its knowledge, since a record in between is
    missing.  Cause: it ignores the renewals, counts its own taking of the lease, or
    takes the log for away and what it knows for the last word.
    """
    zone = _zone()
    stale, other = zone.planners
    if stale.planner.holds_lease(zone.view(stale), now=zone.now):
        stale, other = other, stale
    stale.paused = True
    zone.run(5)
    if fresh:
        stale.fold = PlacementFold()
    stale.fold.lost(before=len(zone.entries), reason="records have expired")
    stale.paused = False
    zone.run(40)
    assert stale.fold.lease.offset == zone.truth.lease.offset
    other.paused = True
    zone.engines_by_host["a-3"].restart()
    zone.run(20)
    assert stale.sent == [] and zone.engines_by_host["a-3"].group == ""


@pytest.mark.parametrize("n_paused", [0, 1])
def test_zone_without_any_whole_record_is_planned_by_one(n_paused: int) -> None:
    """Let records expire before either planner has read them; a member dies.

    Symptom: nobody repairs any more, or two planners order the same hosts for good.
    Sequence: both entry hosts pause, at two offsets, beyond the retention of the log.
    Cause: each goes on from the lease that it knew, and ignores the other's.
    """
    zone = _zone()
    for planner in zone.planners:
        planner.paused = True
        zone.run(6)
        planner.fold.lost(before=len(zone.entries), reason="records have expired")
    zone.run(6)
    for planner in zone.planners[n_paused:]:
        planner.paused = False
    zone.engines_by_host["a-3"].refuses = True
    zone.run_until(lambda: zone.group_of("a-4"), at_most=80)
    zone.planners[0].paused = False
    for _ in range(100):
        zone.advance()
        holding = [
            planner.name
            for planner in zone.planners
            if planner.planner.holds_lease(zone.view(planner), now=zone.now)
        ]
        assert len(holding) == 1
    assert {planner.fold.lease for planner in zone.planners} == {zone.truth.lease}


def test_process_that_wakes_from_a_pause_orders_nothing() -> None:
    """Wake a planner whose newest lease is old only because it did not read."""
    zone = _zone()
    process = zone.planners[0]
    process.paused = True
    zone.run(30)
    zone.engines_by_host["a-3"].restart()
    process.paused = False
    n_sent = len(process.sent)
    process.planner.tick(zone.view(process), now=zone.now)
    assert not process.planner.lease.log_is_away(now=zone.now)
    assert len(process.sent) == n_sent
