"""Test how a topic of the store is listed and read."""

from __future__ import annotations

import json
import struct

import pytest

from ryelever.coordination.topic import (
    MAX_LISTING_TIMEOUT,
    MAX_PAUSE,
    TopicFollower,
)
from ryelever.platform.store import StoreCalls

STORE = StoreCalls(address="store")


def _follower(**changes: object) -> TopicFollower:
    return TopicFollower(log=STORE, topic="keyed.op", **changes)


def _listing(*keys: str, end: int, more: bool = False) -> bytes:
    items = [{"key": key, "value": "djE=", "offset": 0} for key in keys]
    return json.dumps({"items": items, "more": more, "end": end}).encode()


def _page(end: int, first: int, *records: bytes) -> bytes:
    framed = b"".join(struct.pack(">I", len(record)) + record for record in records)
    return struct.pack(">QQ", end, first) + framed


def _listed(**changes: object) -> TopicFollower:
    follower = _follower(**changes)
    follower.next_call(now=0.0)
    follower.answered(200, _listing("a", end=7), now=0.0)
    return follower


def test_a_follower_lists_and_then_reads() -> None:
    follower = _follower()
    assert follower.next_call(now=0.0).path.startswith("/log-newest?")
    assert not follower.is_current
    updates = follower.answered(200, _listing("a", end=7), now=0.01).ok
    assert (updates.complete, [record.key for record in updates.records]) == (
        True,
        ["a"],
    )
    assert follower.is_current
    assert "from=7" in follower.next_call(now=0.02).path
    follower.answered(200, _page(9, 0, b"\x01bv2", b"\x01a"), now=0.1)
    assert "from=9" in follower.next_call(now=0.2).path


def test_a_long_listing_is_complete_at_its_last_page() -> None:
    follower = _follower()
    follower.next_call(now=0.0)
    assert not follower.answered(
        200, _listing("a", end=7, more=True), now=0.0
    ).ok.complete
    assert "after=a" in follower.next_call(now=0.1).path
    # Records appended during the listing are read from the end of the first page.
    updates = follower.answered(200, _listing("b", end=9), now=0.1).ok
    assert [record.key for record in updates.records] == ["a", "b"]
    assert "from=7" in follower.next_call(now=0.2).path


def test_pages_of_a_listing_are_requested_without_a_pause() -> None:
    """Guard against a pause between the pages of a listing.

    925 servers are listed in nineteen pages of 50.  If each page waited for the minimum
    interval between two reads, hosts would become ready late: 43 of 195 hosts were
    ready when callers arrived 16 s after the start.
    """
    follower = _follower(interval=0.3)
    now = 0.0
    keys = [f"i{number:02}" for number in range(19)]
    for key in keys:
        assert follower.next_call(now=now) is not None
        now += 0.004
        more = key != keys[-1]
        follower.answered(200, _listing(key, end=99, more=more), now=now)
        assert follower.is_listing == more
    assert follower.is_current
    assert now < 0.1
    # Reads after the listing keep the minimum interval.
    assert follower.next_call(now=now) is None


def test_one_call_is_in_flight_and_reads_keep_their_interval() -> None:
    follower = _listed(interval=0.3)
    assert follower.next_call(now=0.1) is None
    assert follower.next_call(now=0.3) is not None
    assert follower.next_call(now=0.4) is None


@pytest.mark.parametrize(
    ("status", "body"),
    [
        pytest.param(410, b"{}", id="by status"),
        pytest.param(200, _page(20, 12, b"\x01av"), id="by first offset"),
    ],
)
def test_a_topic_with_dropped_history_is_listed_again(status: int, body: bytes) -> None:
    """Guard against an accepted configuration that is not in force at one entry host.

    The configuration is written, and the store drops the history before the host reads
    it.  A read of the remaining records would skip the configuration.
    """
    follower = _listed()
    follower.next_call(now=1.0)
    assert follower.answered(status, body, now=1.0).ok.records == []
    assert follower.next_call(now=1.1).path.startswith("/log-newest?")


def test_pauses_after_failures_grow() -> None:
    follower = _listed()
    pauses = []
    now = 1.0
    for _ in range(6):
        assert follower.next_call(now=now) is not None
        follower.answered(503, b"", now=now)
        due_at = now
        while follower.next_call(now=due_at) is None:
            due_at += 0.01
        follower.failed(now=due_at)
        pauses.append(due_at - now)
        now = due_at + MAX_PAUSE
    assert pauses == sorted(pauses)
    assert pauses[-1] <= MAX_PAUSE + 0.02


def test_the_timeout_of_a_listing_grows_with_each_failure() -> None:
    """Guard against hosts that cancel listings that a busy store is about to answer."""
    follower = _follower()
    timeouts = []
    now = 0.0
    for _ in range(6):
        now += MAX_PAUSE
        follower.next_call(now=now)
        timeouts.append(follower.answer_timeout)
        now += timeouts[-1]
        follower.failed(now=now)
    assert timeouts[:4] == [1.2, 2.4, 4.8, 9.6]
    assert timeouts[-1] == MAX_LISTING_TIMEOUT
    follower.next_call(now=now + MAX_PAUSE)
    follower.answered(200, _listing("a", end=7, more=True), now=now + 1.0)
    follower.next_call(now=now + 1.0)
    assert follower.answer_timeout == timeouts[0]


def test_an_announcement_replaces_a_hanging_read() -> None:
    """Guard against an accepted configuration that is not in force for 5 s at a host.

    The host's read waits for a record, its connection goes silent, and the
    configuration is written and read by other hosts.  The read times out only after its
    full wait, so the announcement from other hosts must start a new read.
    """
    follower = _listed()
    hanging = follower.next_call(now=1.0)
    assert hanging is not None
    first = follower.n_calls
    follower.reread(now=1.5)
    assert follower.next_call(now=1.5) is not None
    assert follower.n_calls == first + 1


def test_an_announcement_does_not_replace_a_read_that_just_started() -> None:
    follower = _listed()
    assert follower.next_call(now=1.0) is not None
    follower.reread(now=1.1)
    assert follower.next_call(now=1.1) is None


def test_records_read_by_another_host_are_not_read_again() -> None:
    follower = _listed(interval=0.3)
    assert follower.advance(start=7, end=12, era=0, reader_continues=True, now=0.2)
    assert follower.next_call(now=0.9) is None
    # If the other host is lost, this one continues at the end of the forwarded part.
    assert "from=12" in follower.next_call(now=1.3).path


def test_records_read_by_another_host_are_applied_without_gaps() -> None:
    """Guard against a leaving backend server that still gets requests from a host.

    The datagram with the record of the leaving server is lost, and later datagrams are
    received.  Applying their records would skip the records of the lost datagram.
    """
    follower = _listed(interval=0.3)
    assert not follower.advance(start=9, end=12, era=0, reader_continues=True, now=0.2)
    assert "from=7" in follower.next_call(now=0.35).path
    # Records that were forwarded while the read was in flight are not applied again.
    assert follower.advance(start=7, end=8, era=0, reader_continues=True, now=0.36)
    body = _page(9, 0, b"\x01av1", b"\x01bv2")
    updates = follower.answered(200, body, now=0.4).ok
    assert [record.key for record in updates.records] == ["b"]


def test_the_host_that_reads_for_all_continues_to_read() -> None:
    follower = _listed(interval=0.3)
    assert follower.advance(start=7, end=12, era=0, reader_continues=False, now=0.2)
    assert "from=12" in follower.next_call(now=0.35).path


def test_forwarded_records_are_ignored_before_the_first_listing() -> None:
    assert not _follower().advance(
        start=0, end=5, era=0, reader_continues=True, now=0.0
    )


def test_a_suspended_follower_reads_only_on_request() -> None:
    follower = _listed()
    follower.suspended = True
    assert follower.next_call(now=1.0) is None
    follower.reread(now=1.0)
    assert "from=7" in follower.next_call(now=1.0).path
    follower.answered(200, _page(7, 0), now=1.1)
    assert follower.next_call(now=9.0) is None
    follower.suspended = False
    assert "from=7" in follower.next_call(now=9.0).path


def test_a_suspended_follower_lists_first() -> None:
    follower = _follower(suspended=True)
    assert follower.next_call(now=0.0).path.startswith("/log-newest?")


def _new_reading_follower(*, era: int) -> TopicFollower:
    """Return a follower that has listed a topic up to offset 7."""
    follower = _follower()
    follower.next_call(now=0.0)
    follower.answered(200, _listing(end=7), era=era, now=0.1)
    follower.next_call(now=0.4)
    return follower


def test_a_log_of_a_later_era_is_listed_again() -> None:
    """Guard against records at the offsets of lost records that are never read."""
    follower = _new_reading_follower(era=1)
    # The log has lost three records and received five others since then.
    updates = follower.answered(200, _page(end=9, first=0), era=2, now=0.5)
    assert updates.ok.records == []
    assert "log-newest" in follower.next_call(now=0.6).path
    updates = follower.answered(200, _listing(end=9), era=2, now=0.7)
    assert updates.ok.complete
    assert (follower.era, follower.offset) == (2, 9)


def test_a_listing_that_spans_two_eras_starts_again() -> None:
    """Guard against a listing that mixes two states of the store."""
    follower = _follower()
    follower.next_call(now=0.0)
    follower.answered(200, _listing("a", end=7, more=True), era=1, now=0.1)
    assert "after=a" in follower.next_call(now=0.1).path
    assert follower.answered(200, _listing(end=3), era=2, now=0.2).ok.records == []
    assert "after" not in follower.next_call(now=0.3).path
    follower.answered(200, _listing(end=3), era=2, now=0.4)
    assert (follower.era, follower.offset) == (2, 3)


def test_an_answer_of_an_earlier_era_is_dropped() -> None:
    """Guard against an answer that was in flight while the store was restored."""
    follower = _new_reading_follower(era=2)
    updates = follower.answered(200, _page(end=9, first=0), era=1, now=0.5)
    assert updates.ok.records == []
    assert "from=7" in follower.next_call(now=0.6).path


def test_records_read_in_another_era_are_ignored() -> None:
    """Guard against comparing offsets of two eras."""
    follower = _new_reading_follower(era=1)
    assert not follower.advance(start=5, end=12, era=2, reader_continues=True, now=0.5)
    assert follower.offset == 7
