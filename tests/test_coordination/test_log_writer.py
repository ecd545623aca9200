"""Test what is appended, when it is appended again, and when it is given up."""

from __future__ import annotations

import pytest

from ryelever.coordination.log_writer import AppendBudget, LogWriter
from ryelever.state.records import GroupDissolved

RECORD = GroupDissolved(group="g", lease=0)


def _writer(**fields: object) -> LogWriter:
    return LogWriter(retry_after=1.0, max_batch=10, **fields)


def _ids(writer: LogWriter, now: float) -> list[str]:
    return [pending.record_id for pending in writer.due(now=now)]


def test_records_that_come_during_an_append_go_together_in_the_next() -> None:
    """Batch by what is waiting, one append in flight."""
    writer = _writer()
    writer.add(RECORD, record_id="a", deadline=10.0)
    assert _ids(writer, 0.0) == ["a"]
    for name in "bcd":
        writer.add(RECORD, record_id=name, deadline=10.0)
    assert _ids(writer, 0.1) == []
    writer.answered()
    assert _ids(writer, 0.2) == ["b", "c", "d"]


ANSWERS = [
    # what became of the first append, read back, appended again after two seconds
    ("answered", True, []),
    ("answered", False, ["a"]),
    ("lost", True, []),
    ("lost", False, ["a"]),
]


@pytest.mark.parametrize(("answer", "read_back", "again"), ANSWERS)
def test_only_reading_back_settles_a_record(
    answer: str, read_back: bool, again: list[str]
) -> None:
    """Lose the answer to an append, or believe it.

    Symptom: a decision that was answered as appended is not in the log, or one stands
    there twice.  Sequence: the answer is lost after the append took effect, or given
    before it was kept.  Cause: the answer is taken for the fact.
    """
    writer = _writer()
    writer.add(RECORD, record_id="a", deadline=10.0)
    assert _ids(writer, 0.0) == ["a"]
    if answer == "answered":
        writer.answered()
    else:
        writer.failed(now=0.0)
    if read_back:
        assert writer.read_back("a")
    assert _ids(writer, 2.0) == again


def test_record_past_its_deadline_may_still_turn_up() -> None:
    """Give a record up and read it back later.

    Symptom: a group is formed that nobody remembers to have ordered.  Sequence: an
    append is delayed beyond the record's deadline and then takes effect.  Cause: the
    writer holds what it gave up for not appended.
    """
    writer = _writer()
    writer.add(RECORD, record_id="sent", deadline=5.0)
    assert _ids(writer, 0.0) == ["sent"]
    writer.add(RECORD, record_id="never sent", deadline=5.0)
    given_up = writer.give_up_late(now=5.0)
    assert {pending.record_id: pending.sent for pending in given_up} == {
        "sent": True,
        "never sent": False,
    }
    writer.answered()
    assert _ids(writer, 6.0) == []
    assert not writer.read_back("sent")
    assert writer.n_late == 1


def test_failed_appends_pause_longer_and_longer() -> None:
    """Leave a service that is down alone, and come back at once when it answers."""
    writer = _writer(jitter=lambda: 0.5)
    writer.add(RECORD, record_id="a", deadline=1000.0)
    now = 0.0
    pauses = []
    assert _ids(writer, now) == ["a"]
    for _ in range(6):
        writer.failed(now=now)
        start = now
        while not writer.due(now=now):
            now += 0.125
        pauses.append(now - start)
    assert pauses == [1.0, 1.0, 1.0, 1.625, 3.0, 3.0]


@pytest.mark.parametrize(
    ("costs", "batches"),
    [
        ([1] * 12, [10, 2]),
        ([1, 50, 1], [1, 1, 1]),
        ([6, 6], [1, 1]),
    ],
)
def test_batch_is_bounded_by_its_cost(costs: list[int], batches: list[int]) -> None:
    """Send a snapshot's part, larger than a whole batch, alone."""
    writer = _writer()
    for index, cost in enumerate(costs):
        writer.add(RECORD, record_id=str(index), deadline=10.0, cost=cost)
    sizes = []
    while batch := writer.due(now=0.0):
        sizes.append(len(batch))
        writer.answered()
    assert sizes == batches


@pytest.mark.parametrize("n_streams", [1, 5])
def test_appends_of_all_streams_share_one_bound(n_streams: int) -> None:
    """Append as often as can be for ten seconds.

    Symptom: the log refuses everybody's appends.  Sequence: one host's streams each
    append as fast as they are answered.  Cause: no host keeps to its share.
    """
    budget = AppendBudget(rate=4.0, burst=2.0)
    writers = [_writer(budget=budget) for _ in range(n_streams)]
    n_appends = 0
    for step in range(1, 1001):
        for writer in writers:
            writer.add(RECORD, record_id=f"{step}", deadline=1e9)
            if writer.due(now=step * 0.01):
                n_appends += 1
                writer.answered()
    assert 40 <= n_appends <= 42
    by_writer = [writer.n_appends for writer in writers]
    assert sum(by_writer) == n_appends
    assert max(by_writer) - min(by_writer) <= 1


def test_writer_that_stops_asking_does_not_hold_the_others_up() -> None:
    """Lose the turn that one waits for.

    Symptom: nothing is appended any more.  Sequence: a writer waits for its turn, and
    its record is read back in the meantime.  Cause: the turn stays with it.
    """
    budget = AppendBudget(rate=1.0, burst=1.0)
    first, second, third = (_writer(budget=budget) for _ in range(3))
    for writer in (first, second, third):
        writer.add(RECORD, record_id="a", deadline=1e9)
    assert _ids(first, 0.0) == ["a"]
    assert _ids(second, 0.5) == []
    assert _ids(third, 0.6) == []
    second.read_back("a")
    assert _ids(third, 1.1) == ["a"]
