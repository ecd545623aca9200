"""Test which placement records take effect and which are ignored."""

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


FORMED = formed("g", "h1", "h2")
REPLACED = formed("n", "h1", "h3", replaces="g")

ROWS = [
    ("one host in two groups", [FORMED, formed("n", "h2", "h3")], "belongs to group g"),
    ("a host twice in one group", [formed("g", "h1", "h1")], "named twice"),
    ("name used again", [FORMED, formed("g", "h3")], "exists already"),
    (
        "old lease",
        [FORMED, LeaseTaken(holder="b", term=6.0, previous=0), DISSOLVED],
        "lease",
    ),
    ("racing lease", [LeaseTaken(holder="b", term=6.0, previous=-1)], "lease 0"),
    ("released while it serves", [FORMED, _released("h1")], "not dissolved"),
    ("used before its release", [FORMED, DISSOLVED, formed("n", "h1")], "belongs to"),
    (
        "used after its release",
        [FORMED, DISSOLVED, _released("h1"), formed("n", "h1")],
        "",
    ),
    (
        "released twice",
        [FORMED, DISSOLVED, _released("h1"), _released("h1")],
        "not claimed",
    ),
    ("taken over", [FORMED, REPLACED], ""),
    (
        "taken over twice",
        [FORMED, REPLACED, formed("o", "h2", replaces="g")],
        "not there",
    ),
    ("survivor released", [FORMED, REPLACED, _released("h1")], "not claimed"),
    ("third group's host", [FORMED, formed("o", "h3"), REPLACED], "belongs to group o"),
    (
        "dead member released",
        [FORMED, REPLACED, _released("h2"), formed("o", "h2")],
        "",
    ),
    ("drained", [FORMED, DRAINING], ""),
    ("drained twice", [FORMED, DRAINING, DRAINING], "not there"),
    ("drained after its end", [FORMED, DISSOLVED, DRAINING], "not there"),
]


@pytest.mark.parametrize(("records", "reason"), named(ROWS))
def test_last_record_takes_effect_or_is_ignored(
    records: list[Record], reason: str
) -> None:
    """Fold the row's records after a lease at offset 0.

    Guards against one host being in two groups according to the log.  This happens if
    two planners decide on different states of the log and their records take effect
    without a check.
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
