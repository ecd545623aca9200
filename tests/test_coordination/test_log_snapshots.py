"""Test when snapshots are written."""

from __future__ import annotations

import pytest

from ryelever.coordination.log_snapshots import SnapshotSchedule
from ryelever.state.placement import PlacementFold
from ryelever.state.records import Entry, LeaseTaken

from ..memory_log import FIRST_APPEND_TIME

RETENTION = 800.0


def _fold(n_records: int = 1, *, snapshot_at: float | None = None) -> PlacementFold:
    fold = PlacementFold()
    for offset in range(n_records):
        record = LeaseTaken(holder="e", term=1.0, previous=offset - 1)
        fold.apply(
            Entry(
                offset=offset, time=FIRST_APPEND_TIME, id=f"id{offset}", record=record
            )
        )
    if snapshot_at is not None:
        part = fold.to_snapshot(snapshot="s")[0]
        entry = Entry(
            offset=n_records, time=FIRST_APPEND_TIME + snapshot_at, id="s", record=part
        )
        fold.apply(entry)
    return fold


def _schedule(spread: float = 0.0, max_tail: int | None = 100) -> SnapshotSchedule:
    return SnapshotSchedule(retention=RETENTION, spread=spread, max_tail=max_tail)


CASES = [
    # records, time of the newest snapshot, spread, seconds since the first record, due
    (1, None, 0.0, 199.0, False),
    (1, None, 0.0, 200.0, True),
    (1, None, 1.0, 299.0, False),
    (1, None, 1.0, 300.0, True),
    (1, 150.0, 0.0, 349.0, False),
    (1, 150.0, 0.0, 350.0, True),
    (99, None, 0.0, 0.0, False),
    (100, None, 0.0, 0.0, True),
    (100, None, 1.0, 0.0, False),
    (100, 0.0, 0.0, 0.0, False),
]


@pytest.mark.parametrize(("n", "snapshot_at", "spread", "age", "due"), CASES)
def test_snapshot_is_due_before_half_of_the_retention(
    n: int, snapshot_at: float | None, spread: float, age: float, due: bool
) -> None:
    """Guard against a starting host that finds neither records nor a snapshot.

    Nothing changes for longer than the log keeps records, so that the state in force
    is only in records that expire.  The snapshot is due by the age of the newest
    snapshot or, if there is none, of the oldest record.
    """
    fold = _fold(n, snapshot_at=snapshot_at)
    assert _schedule(spread).due(fold, wall=FIRST_APPEND_TIME + age, now=1000.0) is due


def test_hosts_do_not_all_write_at_once() -> None:
    """Guard against a log that is flooded with equal snapshots.

    Ten hosts check every second whether a snapshot is due, and each reads the
    snapshots of the others.  All hosts have read the same records, so that without a
    spread the snapshot would be due at all hosts at the same time.
    """
    schedules = [_schedule(index / 10) for index in range(10)]
    fold = _fold()
    n_written = 0
    for second in range(int(RETENTION)):
        wall = FIRST_APPEND_TIME + second
        due = [schedule.due(fold, wall=wall, now=second) for schedule in schedules]
        n_written += sum(due)
        if any(due):
            part = fold.to_snapshot(snapshot=str(second))[0]
            offset = fold.next_offset
            fold.apply(Entry(offset=offset, time=wall, id=str(offset), record=part))
    assert n_written == 3


def test_fold_with_records_missing_writes_no_snapshot() -> None:
    """Guard against a snapshot that lacks records.

    A reader with missing records writes its state.  A host that restores this snapshot
    as the complete state would treat a claimed host as free.
    """
    fold = _fold()
    fold.record_loss(before=10, reason="expired")
    assert not _schedule().due(fold, wall=FIRST_APPEND_TIME + RETENTION, now=1000.0)


def test_snapshot_is_not_written_again_before_it_is_read_back() -> None:
    """Check that a host waits until it reads its own snapshot back."""
    schedule = _schedule()
    fold = _fold()
    answers = [
        schedule.due(fold, wall=FIRST_APPEND_TIME + 300.0, now=now)
        for now in (0.0, 59.0, 61.0)
    ]
    assert answers == [True, False, True]
