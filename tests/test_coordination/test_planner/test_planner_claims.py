"""Test which records of placement take effect."""

from __future__ import annotations

import pytest

from ryelever.state.placement import PlacementFold
from ryelever.state.records import (
    GroupDissolved,
    GroupDraining,
    HostReleased,
    LeaseTaken,
    Record,
)

from ...builders import formed, named, new_entry

LEASE = LeaseTaken(holder="a", term=6.0)
DISSOLVED = GroupDissolved(group="g", lease=0)
DRAINING = GroupDraining(group="g", lease=0, reason="version v2 is declared")


def _released(host: str) -> Record:
    return HostReleased(group="g", host=host, lease=0, evidence="left")


G = formed("g", "h1", "h2")
TAKEN_OVER = formed("n", "h1", "h3", replaces="g")

ROWS = [
    ("one host in two groups", [G, formed("n", "h2", "h3")], "belongs to group g"),
    ("a host twice in one group", [formed("g", "h1", "h1")], "named twice"),
    ("name used again", [G, formed("g", "h3")], "exists already"),
    (
        "old lease",
        [G, LeaseTaken(holder="b", term=6.0, previous=0), DISSOLVED],
        "lease",
    ),
    ("racing lease", [LeaseTaken(holder="b", term=6.0, previous=-1)], "lease 0"),
    ("released while it serves", [G, _released("h1")], "not dissolved"),
    ("used before its release", [G, DISSOLVED, formed("n", "h1")], "belongs to"),
    ("used after its release", [G, DISSOLVED, _released("h1"), formed("n", "h1")], ""),
    ("released twice", [G, DISSOLVED, _released("h1"), _released("h1")], "not claimed"),
    ("taken over", [G, TAKEN_OVER], ""),
    (
        "taken over twice",
        [G, TAKEN_OVER, formed("o", "h2", replaces="g")],
        "not there",
    ),
    ("survivor released", [G, TAKEN_OVER, _released("h1")], "not claimed"),
    ("third group's host", [G, formed("o", "h3"), TAKEN_OVER], "belongs to group o"),
    ("dead member released", [G, TAKEN_OVER, _released("h2"), formed("o", "h2")], ""),
    ("drained", [G, DRAINING], ""),
    ("drained twice", [G, DRAINING, DRAINING], "not there"),
    ("drained after its end", [G, DISSOLVED, DRAINING], "not there"),
]


@pytest.mark.parametrize(("records", "reason"), named(ROWS))
def test_last_record_takes_effect_or_is_ignored(
    records: list[Record], reason: str
) -> None:
    """Fold the row's records after a lease at offset 0.

    Symptom: one host in two groups, by the log itself.  Sequence: two planners
    decide on what each has read.  Cause: a record takes effect unchecked.
    """
    fold = PlacementFold()
    reasons = [
        fold.apply(new_entry(offset, record))
        for offset, record in enumerate([LEASE, *records])
    ]
    assert reasons[:-1] == [None] * len(records)
    assert (reasons[-1] is None) if not reason else reason in reasons[-1]
    claims = [
        host for group in fold.groups_by_name.values() for host in group.unreleased
    ]
    assert sorted(claims) == sorted(fold.group_by_host)
