"""Test how a topic of the store is followed."""

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


def test_it_lists_then_reads_on() -> None:
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
    # What was appended meanwhile is read again from the first page's end.
    updates = follower.answered(200, _listing("b", end=9), now=0.1).ok
    assert [record.key for record in updates.records] == ["a", "b"]
    assert "from=7" in follower.next_call(now=0.2).path


def test_pages_of_a_listing_follow_each_other_at_once() -> None:
    """See that a listing of many pages takes as long as its answers do.

    Symptom: 43 of 195 hosts were ready when callers came, 16 s after they started.
    Sequence: 925 servers are listed by 50 a page, which is nineteen pages.
    Cause: each page waited for the least time between two reads after the one before.
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
    # Reads keep their distance.
    assert follower.next_call(now=now) is None


def test_one_call_at_a_time_and_not_too_often() -> None:
    follower = _listed(interval=0.3)
    assert follower.next_call(now=0.1) is None
    assert follower.next_call(now=0.3) is not None
    assert follower.next_call(now=0.4) is None


@pytest.mark.parametrize(
    ("status", "body"),
    [
        pytest.param(410, b"{}", id="said"),
        pytest.param(200, _page(20, 12, b"\x01av"), id="shown"),
    ],
)
def test_history_that_is_dropped_is_listed_anew(status: int, body: bytes) -> None:
    """Show that nothing is missed when the store drops what would be read next.

    Symptom: a configuration that was accepted is not in force on one entry host.
    Sequence: it is written, and the history is dropped before the host reads it.
    Cause: reading on from what is left would skip it.
    """
    follower = _listed()
    follower.next_call(now=1.0)
    assert follower.answered(status, body, now=1.0).ok.records == []
    assert follower.next_call(now=1.1).path.startswith("/log-newest?")


def test_failures_are_asked_again_a_little_later_each_time() -> None:
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


def test_a_listing_that_is_late_gets_more_time_each_time() -> None:
    """Guard against hosts that throw away what a busy store was about to give."""
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


def test_word_of_something_newer_ends_a_read_that_hangs() -> None:
    """Show that a read which will never be answered holds nothing up.

    Symptom: an accepted configuration is not in force on one entry host for 5 s.
    Sequence: the host's read waits for a record, its connection goes silent, the
    configuration is written, other hosts have it.
    Cause: the read is given up only after its whole wait, and word from the other
    hosts started no new one meanwhile.
    """
    follower = _listed()
    hanging = follower.next_call(now=1.0)
    assert hanging is not None
    first = follower.n_asked
    follower.poke(now=1.5)
    assert follower.next_call(now=1.5) is not None
    assert follower.n_asked == first + 1


def test_word_of_something_newer_does_not_end_a_read_that_just_began() -> None:
    follower = _listed()
    assert follower.next_call(now=1.0) is not None
    follower.poke(now=1.1)
    assert follower.next_call(now=1.1) is None


def test_what_another_host_has_read_is_not_read_again() -> None:
    follower = _listed(interval=0.3)
    assert follower.advance(start=7, end=12, era=0, yields=True, now=0.2)
    assert follower.next_call(now=0.9) is None
    # When that host is lost, this one reads on where it was.
    assert "from=12" in follower.next_call(now=1.3).path


def test_what_another_host_has_read_is_taken_only_in_its_order() -> None:
    """Show that a lost datagram loses no record.

    Symptom: a leaving backend server goes on getting requests from one host.
    Sequence: the datagram that tells of its leaving is lost, and later ones come.
    Cause: taking them would skip what the lost one held.
    """
    follower = _listed(interval=0.3)
    assert not follower.advance(start=9, end=12, era=0, yields=True, now=0.2)
    assert "from=7" in follower.next_call(now=0.35).path
    # An answer that crosses with what was passed on is not taken twice.
    assert follower.advance(start=7, end=8, era=0, yields=True, now=0.36)
    body = _page(9, 0, b"\x01av1", b"\x01bv2")
    updates = follower.answered(200, body, now=0.4).ok
    assert [record.key for record in updates.records] == ["b"]


def test_the_host_that_reads_for_all_goes_on_reading() -> None:
    follower = _listed(interval=0.3)
    assert follower.advance(start=7, end=12, era=0, yields=False, now=0.2)
    assert "from=12" in follower.next_call(now=0.35).path


def test_before_its_first_listing_nothing_is_taken() -> None:
    assert not _follower().advance(start=0, end=5, era=0, yields=True, now=0.0)


def test_a_follower_that_rests_asks_only_when_it_is_poked() -> None:
    follower = _listed()
    follower.suspended = True
    assert follower.next_call(now=1.0) is None
    follower.poke(now=1.0)
    assert "from=7" in follower.next_call(now=1.0).path
    follower.answered(200, _page(7, 0), now=1.1)
    assert follower.next_call(now=9.0) is None
    follower.suspended = False
    assert "from=7" in follower.next_call(now=9.0).path


def test_a_follower_that_rests_lists_first() -> None:
    follower = _follower(suspended=True)
    assert follower.next_call(now=0.0).path.startswith("/log-newest?")


def _begun(*, era: int) -> TopicFollower:
    """Return a follower that has listed a topic up to offset 7."""
    follower = _follower()
    follower.next_call(now=0.0)
    follower.answered(200, _listing(end=7), era=era, now=0.1)
    follower.next_call(now=0.4)
    return follower


def test_a_log_of_a_later_era_is_listed_again() -> None:
    """Guard against records that took the offsets of lost ones and are never read."""
    follower = _begun(era=1)
    # The log lost three records and got five others since.
    updates = follower.answered(200, _page(end=9, first=0), era=2, now=0.5)
    assert updates.ok.records == []
    assert "log-newest" in follower.next_call(now=0.6).path
    updates = follower.answered(200, _listing(end=9), era=2, now=0.7)
    assert updates.ok.complete
    assert (follower.era, follower.offset) == (2, 9)


def test_a_listing_that_spans_two_eras_begins_anew() -> None:
    """Guard against a list that is put together of two states of the store."""
    follower = _follower()
    follower.next_call(now=0.0)
    follower.answered(200, _listing("a", end=7, more=True), era=1, now=0.1)
    assert "after=a" in follower.next_call(now=0.1).path
    assert follower.answered(200, _listing(end=3), era=2, now=0.2).ok.records == []
    assert "after" not in follower.next_call(now=0.3).path
    follower.answered(200, _listing(end=3), era=2, now=0.4)
    assert (follower.era, follower.offset) == (2, 3)


def test_an_answer_of_an_earlier_era_is_dropped() -> None:
    """Guard against an answer that was under way while the store came back."""
    follower = _begun(era=2)
    updates = follower.answered(200, _page(end=9, first=0), era=1, now=0.5)
    assert updates.ok.records == []
    assert "from=7" in follower.next_call(now=0.6).path


def test_what_was_read_in_another_era_follows_nothing() -> None:
    """Guard against offsets of two eras that are compared."""
    follower = _begun(era=1)
    assert not follower.advance(start=5, end=12, era=2, yields=True, now=0.5)
    assert follower.offset == 7
