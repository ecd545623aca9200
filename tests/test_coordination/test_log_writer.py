"""Test when records are appended, appended again, and abandoned."""

from __future__ import annotations

import pytest

from ryelever.coordination.log_writer import AppendBudget, LogWriter
from ryelever.state.records import GroupDissolved

RECORD = GroupDissolved(group="g", lease=0)


def _writer(**fields: object) -> LogWriter:
    return LogWriter(retry_after=1.0, max_batch=10, **fields)


def _ids(writer: LogWriter, now: float) -> list[str]:
    return [pending.record_id for pending in writer.due(now=now)]


def test_records_added_during_an_append_form_the_next_batch() -> None:
    """Check that one append is in flight and the next one takes all waiting records."""
    writer = _writer()
    writer.add(RECORD, record_id="a", deadline=10.0)
    assert _ids(writer, 0.0) == ["a"]
    for name in "bcd":
        writer.add(RECORD, record_id=name, deadline=10.0)
    assert _ids(writer, 0.1) == []
    writer.answered()
    assert _ids(writer, 0.2) == ["b", "c", "d"]


ANSWERS = [
    # answer to the first append, read back, ids appended again after two seconds
    ("answered", True, []),
    ("answered", False, ["a"]),
    ("lost", True, []),
    ("lost", False, ["a"]),
]


@pytest.mark.parametrize(("answer", "read_back", "appended_again"), ANSWERS)
def test_only_a_record_that_was_read_back_is_settled(
    answer: str, read_back: bool, appended_again: list[str]
) -> None:
    """Guard against decisions that are missing in the log or appended twice.

    The answer to an append is lost after the append took effect, or is given before
    the record is stored.  The writer must not rely on the answer.
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
    assert _ids(writer, 2.0) == appended_again


def test_record_past_its_deadline_may_still_be_read_back() -> None:
    """Guard against a group that is formed although its order was abandoned.

    An append is delayed beyond the record's deadline and then takes effect.  The writer
    must not conclude that an abandoned record was not appended.
    """
    writer = _writer()
    writer.add(RECORD, record_id="sent", deadline=5.0)
    assert _ids(writer, 0.0) == ["sent"]
    writer.add(RECORD, record_id="never sent", deadline=5.0)
    expired = writer.expire_pending(now=5.0)
    assert {pending.record_id: pending.sent for pending in expired} == {
        "sent": True,
        "never sent": False,
    }
    writer.answered()
    assert _ids(writer, 6.0) == []
    assert not writer.read_back("sent")
    assert writer.n_late == 1


def test_pauses_after_failed_appends_grow() -> None:
    """Check that pauses after failed appends grow up to the longest pause."""
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
    """Check that a snapshot part that exceeds the batch limit is appended alone."""
    writer = _writer()
    for index, cost in enumerate(costs):
        writer.add(RECORD, record_id=str(index), deadline=10.0, cost=cost)
    sizes = []
    while batch := writer.due(now=0.0):
        sizes.append(len(batch))
        writer.answered()
    assert sizes == batches


@pytest.mark.parametrize("n_streams", [1, 5])
def test_appends_of_all_streams_share_one_limit(n_streams: int) -> None:
    """Guard against a log that refuses the appends of all hosts.

    The streams of a host append as often as possible for ten seconds.  Without a limit
    over all streams the host would exceed its share of the log's appends.
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


def test_writer_that_stops_requesting_does_not_block_others() -> None:
    """Guard against a writer that blocks the queue forever.

    A writer waits for an append, and its record is read back in the meantime.  If the
    writer kept its position in the queue, no other writer could append.
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
