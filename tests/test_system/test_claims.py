"""Test that bookings run at most once, with a true run state, while processes fail.

The faults are those of entry hosts, of callers and of the log.
"""

from __future__ import annotations

import contextlib
import signal
import threading
import time

import httpx

from ..callers import Caller, error_of, new_key
from ..processes import WAIT_TIMEOUT, Fleet, wait_until


class _Booking:
    """Booking that is sent to the entry host e1 in a separate thread."""

    def __init__(self, caller: Caller, fleet: Fleet, key: str) -> None:
        self.answer: httpx.Response | None = None
        self._thread = threading.Thread(target=self._book, args=(caller, fleet, key))
        self._thread.start()

    def _book(self, caller: Caller, fleet: Fleet, key: str) -> None:
        with contextlib.suppress(httpx.TransportError):
            self.answer = caller.book(fleet.entries_by_name["e1"], key)

    def wait(self) -> httpx.Response | None:
        """Wait for the answer and return it, or None when the connection broke."""
        self._thread.join()
        return self.answer


def _n_claims(fleet: Fleet) -> int:
    streams = fleet.counts("log")["streams"]
    return sum(
        stream["next"] for name, stream in streams.items() if name.startswith("claims-")
    )


def test_entry_host_dies_between_claim_and_run(fleet: Fleet) -> None:
    """Kill an entry host after it has appended a claim and before it has read it back.

    Guards against a booking that runs twice, or that is answered with not_run and runs
    afterwards.  The claim is appended, the host is killed, and the caller sends the
    booking to another entry host.  Only the killed host knew whether it had sent the
    booking to the service.
    """
    fleet.start_world()
    caller, key = Caller(fleet), new_key()
    fleet.control("log", hold_reads=True)
    first = _Booking(caller, fleet, key)
    wait_until(lambda: _n_claims(fleet) == 1, what="the claim is in the log")
    fleet.processes_by_name["e1"].kill()
    fleet.control("log", hold_reads=False)
    assert first.wait() is None
    _wait_until_claim_is_read(fleet)
    answer = caller.book(fleet.entries_by_name["e2"], key)
    assert answer.status_code == 409
    assert error_of(answer)["run_state"] == "outcome_unknown"
    assert fleet.n_runs() == []


def _wait_until_claim_is_read(fleet: Fleet) -> None:
    entry = fleet.entries_by_name["e2"]

    def n_read() -> int:
        streams = entry.dump()["streams"]
        return sum(
            stream["next_offset"]
            for name, stream in streams.items()
            if name.startswith("claims-")
        )

    wait_until(
        lambda: n_read() >= 1,
        what="the other entry host has read the claim",
    )


def test_entry_host_dies_between_run_and_outcome(fleet: Fleet) -> None:
    """Kill an entry host while the booking runs.

    Guards against charging a customer twice.  The service runs the booking, the entry
    host is killed before it receives the answer, and the caller sends the booking to
    another entry host.  A claim without an outcome shows only that no other entry host
    may run the booking, not whether it ran.
    """
    fleet.start_world()
    caller, key = Caller(fleet), new_key()
    fleet.control("service", hold_answers=True)
    first = _Booking(caller, fleet, key)
    wait_until(lambda: fleet.n_runs() == [1], what="the booking runs")
    fleet.processes_by_name["e1"].kill()
    assert first.wait() is None
    answer = caller.book(fleet.entries_by_name["e2"], key)
    assert error_of(answer)["run_state"] == "outcome_unknown"
    assert fleet.n_runs() == [1]


def test_resumed_host_answers_with_the_true_run_state(fleet: Fleet) -> None:
    """Pause an entry host between its claim and the run, beyond every deadline.

    Guards against a booking that is answered with not_run and runs afterwards.  The
    claim is appended, the entry host is paused for longer than the claim timeout, and
    another entry host receives the booking in the meantime.  Then the first host
    resumes and reads its claim.  A resumed process must take the duration of its
    pause into account.
    """
    fleet.start_world(claim_timeout=0.8)
    caller, key = Caller(fleet), new_key()
    fleet.control("log", hold_reads=True)
    first = _Booking(caller, fleet, key)
    wait_until(lambda: _n_claims(fleet) == 1, what="the claim is in the log")
    paused = fleet.processes_by_name["e1"]
    paused.send(signal.SIGSTOP)
    fleet.control("log", hold_reads=False)
    _wait_until_claim_is_read(fleet)
    meanwhile = caller.book(fleet.entries_by_name["e2"], key)
    assert error_of(meanwhile)["run_state"] == "outcome_unknown"
    # The pause itself is the fault under test: it has to outlast claim_timeout.
    resume_at = time.monotonic() + 1.0
    wait_until(lambda: time.monotonic() >= resume_at, what="the pause is over")
    paused.send(signal.SIGCONT)
    answer = first.wait()
    if answer.status_code == 201:
        assert fleet.n_runs() == [1]
    else:
        assert error_of(answer)["run_state"] == "outcome_unknown"
        assert fleet.n_runs() == []
    caller.book_until_accepted(fleet.entries_by_name["e2"], key)
    assert fleet.n_runs() == [1]


def test_log_down_while_claiming(fleet: Fleet) -> None:
    """Send a booking while the log is down, and again when the log is available.

    Guards against a booking that runs without a claim, or that hangs.  The log refuses
    every call, bookings arrive, the log is available again, and the callers resend
    their bookings.  Without the log, an entry host cannot know whether another one runs
    the booking.
    """
    fleet.start_world(entries=("e1",), claim_timeout=1.0)
    caller, key = Caller(fleet), new_key()
    entry = fleet.entries_by_name["e1"]
    fleet.control("log", outage=True)
    answers = [caller.book(entry, key) for _ in range(2)]
    assert {answer.status_code for answer in answers} == {503}
    # Without the log, the entry host cannot know whether another one ran the booking.
    assert {error_of(answer)["run_state"] for answer in answers} == {"outcome_unknown"}
    assert all(int(answer.headers["Retry-After"]) > 0 for answer in answers)
    assert fleet.n_runs() == []
    fleet.control("log", outage=False)
    caller.book_until_accepted(entry, key)
    assert fleet.n_runs() == [1]


def test_log_down_while_the_outcome_is_appended(fleet: Fleet) -> None:
    """Stop the log between the run of a booking and the append of its outcome.

    Guards against answering every later request with the booking's key with "in
    progress".  The booking runs, and the log is down when the outcome is appended and
    available again later.  The outcome is lost if its append is abandoned as early as
    that of other records.
    """
    fleet.start_world()
    caller, key = Caller(fleet), new_key()
    fleet.control("service", hold_answers=True)
    first = _Booking(caller, fleet, key)
    wait_until(lambda: fleet.n_runs() == [1], what="the booking runs")
    fleet.control("log", outage=True)
    fleet.control("service", hold_answers=False)
    assert first.wait().status_code == 201
    fleet.control("log", outage=False)
    entry = fleet.entries_by_name["e2"]
    caller.book_until_accepted(entry, key)
    assert fleet.n_runs() == [1]


def test_booking_is_claimed_once_when_append_answers_are_lost(fleet: Fleet) -> None:
    """Break the connection of every append after it has taken effect.

    Guards against a booking that is refused although it was claimed, or that is claimed
    twice.  The claim is in the log, the answer to its append is lost, and the claim is
    appended again.  A lost answer proves neither that the append took effect nor that
    it failed.
    """
    fleet.start_world(claim_timeout=WAIT_TIMEOUT)
    fleet.control("log", lose_append_answers=True)
    caller, key = Caller(fleet), new_key()
    answer = caller.book(fleet.entries_by_name["e1"], key)
    assert answer.status_code == 201, answer.text
    entry = fleet.entries_by_name["e2"]
    caller.book_until_accepted(entry, key)
    assert fleet.n_runs() == [1]


def test_caller_disconnects_while_its_booking_runs(fleet: Fleet) -> None:
    """Close the caller's connection while its booking runs.

    Guards against answering every resend with "in progress" although the booking ran
    long ago.  The booking runs, its caller times out and disconnects, the service
    answers, and the caller sends the booking to another entry host.  The service's
    answer must be recorded as the outcome even if no caller waits for it.
    """
    fleet.start_world()
    caller, key = Caller(fleet), new_key()
    fleet.control("service", hold_answers=True)
    with caller.open_booking(fleet.entries_by_name["e1"], key):
        wait_until(lambda: fleet.n_runs() == [1], what="the booking runs")
    first = fleet.entries_by_name["e1"]
    wait_until(
        lambda: not first.dump()["connections"]["callers"][:-1],
        what="the caller has disconnected",
    )
    fleet.control("service", hold_answers=False)
    entry = fleet.entries_by_name["e2"]
    answer = caller.book_until_accepted(entry, key)
    assert answer.headers["Ryelever-Replayed"] == "true"
    assert fleet.n_runs() == [1]
