"""Test entry hosts with a log that is down, loses answers or expires records."""

from __future__ import annotations

import signal
import time

import httpx
import pytest

from ryelever.protocol.log import (
    append_request,
    claims_stream,
    decode_entry,
    decode_page,
    encode_record,
)
from ryelever.state.claims import ClaimsFold
from ryelever.state.records import Outcome, Record

from ..callers import Caller, error_of, new_key
from ..processes import EntryHost, Fleet, wait_until

#: Seconds that suffice to confirm a claim, also on a busy machine.
CLAIM_TIMEOUT = 15.0


@pytest.fixture
def bookings(fleet: Fleet) -> Fleet:
    """Start one plain service and two entry hosts."""
    fleet.start_platform()
    fleet.start_service("service", zone="z", service="bookings")
    fleet.publish(
        {
            "client_accounts": {"pawroute": fleet.account("pawroute")},
            "services": {"bookings": {"non_repeatable": ["/bookings"]}},
        }
    )
    for name in ("e1", "e2"):
        fleet.start_entry(name, zone="z", claim_timeout=CLAIM_TIMEOUT)
    wait_until(
        lambda: all(_ready(entry) for entry in fleet.entries_by_name.values()),
        what="both entry hosts are ready",
    )
    return fleet


def _ready(entry: EntryHost) -> bool:
    streams = entry.dump()["streams"].values()
    caught_up = all(stream["caught_up_for"] is not None for stream in streams)
    return caught_up and httpx.get(f"{entry.url}/readyz").status_code == 200


def test_bookings_are_refused_while_the_log_is_down_and_accepted_after(
    bookings: Fleet,
) -> None:
    """Stop the log and make it available again.

    Guards against a booking that runs twice.  The log is down, a booking is sent, and
    its caller sends it again to another entry host.  Without the log, neither entry
    host can know that the other one received the booking.
    """
    caller = Caller(bookings)
    e1, e2 = bookings.entries_by_name.values()
    key = new_key()
    bookings.control("log", outage=True)
    wait_until(
        lambda: caller.book(e1, new_key()).status_code == 503,
        what="bookings are refused",
    )
    refused = [caller.book(entry, key) for entry in (e1, e2)]
    assert {answer.status_code for answer in refused} == {503}
    assert {error_of(answer)["run_state"] for answer in refused} == {"outcome_unknown"}
    bookings.control("log", outage=False)
    booked, again = (caller.book_until_accepted(entry, key) for entry in (e1, e2))
    assert again.content == booked.content
    assert set(bookings.n_runs()) == {1}


def test_booking_runs_once_when_answers_to_appends_are_lost(bookings: Fleet) -> None:
    """Lose the answer to each append.

    Guards against a booking that runs twice, or never.  The append of a claim takes
    effect, its answer is lost, and the claim is appended again.  An entry host must not
    conclude from the answer alone whether the append took effect.
    """
    caller = Caller(bookings)
    e1, e2 = bookings.entries_by_name.values()
    bookings.control("log", lose_append_answers=True)
    keys = [new_key() for _ in range(5)]
    answers = [caller.book(e1, key) for key in keys]
    assert [answer.status_code for answer in answers] == [201] * 5
    for key, answer in zip(keys, answers, strict=True):
        assert caller.book_until_accepted(e2, key).content == answer.content
    assert bookings.n_runs() == [1] * 5


def _append(fleet: Fleet, stream: str, records: list[Record]) -> None:
    items = [
        encode_record(record, record_id=f"test-{time.time_ns()}") for record in records
    ]
    url = f"http://{fleet.addresses_by_name['log']}/v1/streams/{stream}/records"
    httpx.post(url, content=append_request(items)).raise_for_status()


def _read_to_end(fleet: Fleet, stream: str, fold: ClaimsFold) -> None:
    url = f"http://{fleet.addresses_by_name['log']}/v1/streams/{stream}/records"
    answer = httpx.get(url, params={"from": fold.next_offset})
    for raw in decode_page(answer.content, peer="log").ok.records:
        fold.apply(decode_entry(raw, peer="log"))


def test_entry_host_paused_beyond_the_log_retention_refuses_bookings(
    bookings: Fleet,
) -> None:
    """Pause an entry host until records that it has not read have expired.

    Guards against a booking that runs a second time.  An entry host is paused, the
    booking is claimed and run through another one, the log expires the claim, and the
    first host resumes and receives the booking.  The booking runs again if the resumed
    host reads on from the oldest record that is left and ignores the gap.
    """
    caller = Caller(bookings)
    e1, e2 = bookings.entries_by_name.values()
    e2.process.send(signal.SIGSTOP)
    key = new_key()
    booked = caller.book(e1, key)
    assert booked.status_code == 201
    stream = claims_stream(f"pawroute/{key}", n_partitions=4)
    fold = ClaimsFold()
    wait_until(
        lambda: _read_to_end(bookings, stream, fold) or fold.next_offset == 2,
        what="claim and outcome are in the log",
    )
    bookings.control("log", retention=1)
    unrelated = Outcome(key="pawroute/none", owner="none", run_state="run", status=200)
    _append(bookings, stream, [unrelated])
    _read_to_end(bookings, stream, fold)
    e2.process.send(signal.SIGCONT)
    wait_until(
        lambda: not e2.dump()["streams"][stream]["complete"],
        what="the host knows that records are missing",
    )
    assert e2.dump()["configuration"]["version"] == 0
    # 409 or 503: the claim, but not the outcome, may have been waiting in a socket of
    # e2 during the pause.
    assert caller.book(e2, key).status_code in (409, 503)
    refused = caller.book(e2, new_key())
    assert (refused.status_code, error_of(refused)["code"]) == (503, "log_unavailable")
    _append(bookings, stream, fold.to_snapshot(snapshot="test"))
    again = caller.book_until_accepted(e2, key)
    assert again.content == booked.content
    assert e2.process.events("records_lost")
    assert e2.process.events("snapshot_restored")
    assert bookings.n_runs() == [1]
