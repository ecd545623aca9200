"""Test how hosts share groups among more callers than these can serve."""

from __future__ import annotations

import pytest

from .contended_fleet import N_GROUPS, SLOTS, ContendedFleet

#: Ratios of new requests to the capacity of the groups, and the seconds at which the
#: larger one begins and ends.
USUAL_LOAD = 0.8
BURST_LOAD = 1.5
BURST_FROM = 6.0
BURST_UNTIL = 10.0

#: Seconds after the burst from which new requests are on time again, and the seconds
#: for which they are counted.
RECOVERY_TIME = 3.0
COUNTED_TIME = 3.0

#: Seconds within which 9 in 10 new requests find a slot: half of the latency objective,
#: of which the first event takes a third.
SLOT_WITHIN = 0.15
MIN_ON_TIME = 0.9

#: Most requests that a group may hold, and the share that groups may reject.
MAX_HELD = SLOTS + 6
MAX_REJECTED = 0.01

SEEDS = (1, 2)


def _fleet_in_burst(monkeypatch: pytest.MonkeyPatch, *, seed: int) -> ContendedFleet:
    """Return a fleet in which a burst has just begun."""
    fleet = ContendedFleet(monkeypatch, load=USUAL_LOAD, seed=seed)
    fleet.run(BURST_FROM)
    fleet.set_load(BURST_LOAD)
    return fleet


def test_new_requests_are_on_time_again_after_a_burst(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against an overload that outlasts its cause.

    Requests that are late already took the slots of new requests, which were therefore
    late as well, for nine seconds after the burst.
    """
    for seed in SEEDS:
        fleet = _fleet_in_burst(monkeypatch, seed=seed)
        before = fleet.share_with_slot(2.0, BURST_FROM, within=SLOT_WITHIN)
        assert before >= MIN_ON_TIME
        fleet.run(BURST_UNTIL)
        fleet.set_load(USUAL_LOAD)
        start = BURST_UNTIL + RECOVERY_TIME
        fleet.run(start + COUNTED_TIME + 2 * SLOT_WITHIN)
        after = fleet.share_with_slot(start, start + COUNTED_TIME, within=SLOT_WITHIN)
        assert after >= MIN_ON_TIME


def test_requests_do_not_gather_at_groups_in_a_burst(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against requests that all hosts send to the same few groups.

    Each host hears of the others' requests up to 0.4 s later. Two rejections by groups
    use up both attempts of a request.
    """
    for seed in SEEDS:
        fleet = _fleet_in_burst(monkeypatch, seed=seed)
        fleet.run(BURST_UNTIL)
        assert fleet.max_size(BURST_FROM, BURST_UNTIL) <= MAX_HELD
        assert fleet.rejected_share(BURST_FROM, BURST_UNTIL) < MAX_REJECTED


def test_group_that_opens_is_not_overrun(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against hosts that all send their waiting requests to the free group."""
    for seed in SEEDS:
        fleet = ContendedFleet(monkeypatch, load=1.2, n_open=N_GROUPS - 1, seed=seed)
        fleet.run(5.0)
        *others, opening = fleet.groups_by_id
        n_running = sum(len(fleet.groups_by_id[item].running) for item in others)
        n_with_waiting = sum(host.requests.has_waiting for host in fleet.hosts.values())
        assert n_running >= 0.9 * SLOTS * len(others)
        assert n_with_waiting >= 0.5 * len(fleet.hosts)
        fleet.open_group(opening)
        fleet.run(9.0)
        assert 0 < fleet.groups_by_id[opening].max_size(5.0, 9.0) <= MAX_HELD
