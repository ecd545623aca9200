"""Book at most once, and tell the truth, while hosts and the log fail."""

from __future__ import annotations

import contextlib
import signal
import threading
import time

import httpx

from ..callers import Caller, error_of, new_key
from ..processes import PATIENCE, Fleet, wait_until


class _Booking:
    """Send one booking in a thread of its own."""

    def __init__(self, caller: Caller, fleet: Fleet, key: str) -> None:
        self.answer: httpx.Response | None = None
        self._thread = threading.Thread(target=self._book, args=(caller, fleet, key))
        self._thread.start()

    def _book(self, caller: Caller, fleet: Fleet, key: str) -> None:
        with contextlib.suppress(httpx.TransportError):
            self.answer = caller.book(fleet.entries_by_name["e1"], key)

    def wait(self) -> httpx.Response | None:
        """Return the answer, or None when the connection broke."""
        self._thread.join()
        return self.answer


def _n_claims(fleet: Fleet) -> int:
    streams = fleet.counts("log")["streams"]
    return sum(
        stream["next"] for name, stream in streams.items() if name.startswith("claims-")
    )


def test_entry_host_dies_between_claim_and_run(fleet: Fleet) -> None:
    """Kill an entry host after its claim is in the log and before it has read it.

    Symptom: a booking that ran twice, or that is told not_run and then runs.
    Sequence: the claim is appended, the host dies, the caller goes to another one.
    Cause: nobody but the dead host knew whether it had sent the booking.
    """
    fleet.start_world()
    caller, key = Caller(fleet), new_key()
    fleet.control("log", hold_reads=True)
    first = _Booking(caller, fleet, key)
    wait_until(lambda: _n_claims(fleet) == 1, what="the claim is in the log")
    fleet.processes_by_name["e1"].kill()
    fleet.control("log", hold_reads=False)
    assert first.wait() is None
    _wait_claim_known(fleet)
    answer = caller.book(fleet.entries_by_name["e2"], key)
    assert answer.status_code == 409
    assert error_of(answer)["run_state"] == "outcome_unknown"
    assert fleet.n_runs() == []


def _wait_claim_known(fleet: Fleet) -> None:
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
        what="the other host has read the claim",
    )


def test_entry_host_dies_between_run_and_outcome(fleet: Fleet) -> None:
    """Kill an entry host while the booking runs.

    Symptom: a customer is charged twice.  Sequence: the service books, the host
    dies before it has the answer, the caller goes to another one.  Cause: a claim
    without an outcome says only that nobody else may run it.
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


def test_paused_host_tells_and_does_the_same(fleet: Fleet) -> None:
    """Pause an entry host between its claim and the run, beyond every deadline.

    Symptom: a booking is told not_run and runs afterwards.  Sequence: the claim is
    appended, the host stops for longer than the claim may take, another host is
    asked in the meantime, the first one goes on and finds its claim.  Cause: a
    process that wakes up believes that no time has passed.
    """
    fleet.start_world(claim_timeout=0.8)
    caller, key = Caller(fleet), new_key()
    fleet.control("log", hold_reads=True)
    first = _Booking(caller, fleet, key)
    wait_until(lambda: _n_claims(fleet) == 1, what="the claim is in the log")
    paused = fleet.processes_by_name["e1"]
    paused.send(signal.SIGSTOP)
    fleet.control("log", hold_reads=False)
    _wait_claim_known(fleet)
    meanwhile = caller.book(fleet.entries_by_name["e2"], key)
    assert error_of(meanwhile)["run_state"] == "outcome_unknown"
    # The pause itself is the fault: it has to outlast the claim's time.
    wakes_at = time.monotonic() + 1.0
    wait_until(lambda: time.monotonic() >= wakes_at, what="the pause is over")
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
    """Book while the log is down, and again when it is back.

    Symptom: a booking without a claim, or one that hangs.  Sequence: the log
    refuses every call, bookings arrive, the log comes back, their callers resend.
    Cause: without the log nobody knows who else runs the booking.
    """
    fleet.start_world(entries=("e1",), claim_timeout=1.0)
    caller, key = Caller(fleet), new_key()
    entry = fleet.entries_by_name["e1"]
    fleet.control("log", outage=True)
    answers = [caller.book(entry, key) for _ in range(2)]
    assert {answer.status_code for answer in answers} == {503}
    # Whether another host ran the booking before is not known without the log.
    assert {error_of(answer)["run_state"] for answer in answers} == {"outcome_unknown"}
    assert all(int(answer.headers["Retry-After"]) > 0 for answer in answers)
    assert fleet.n_runs() == []
    fleet.control("log", outage=False)
    caller.book_until_accepted(entry, key)
    assert fleet.n_runs() == [1]


def test_log_down_while_the_outcome_is_appended(fleet: Fleet) -> None:
    """Lose the log between the run and its outcome.

    Symptom: a resend is told "in progress" for ever.  Sequence: the booking runs,
    the log is down when its outcome is appended, and comes back later.  Cause: an
    outcome that is given up as soon as other appends.
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


def test_append_answers_are_lost(fleet: Fleet) -> None:
    """Break the connection of every append after it has taken effect.

    Symptom: a booking that is refused although it was claimed, or claimed twice.
    Sequence: the claim is in the log, its answer is lost, it is appended again.
    Cause: the answer to an append proves nothing either way.
    """
    fleet.start_world(claim_timeout=PATIENCE)
    fleet.control("log", lose_append_answers=True)
    caller, key = Caller(fleet), new_key()
    answer = caller.book(fleet.entries_by_name["e1"], key)
    assert answer.status_code == 201, answer.text
    entry = fleet.entries_by_name["e2"]
    caller.book_until_accepted(entry, key)
    assert fleet.n_runs() == [1]


def test_caller_leaves_while_its_booking_runs(fleet: Fleet) -> None:
    """Close the caller's connection in the middle of a booking.

    Symptom: every resend is told "in progress" although the booking ran long ago.
    Sequence: the booking runs, its caller times out and leaves, the service
    answers, the caller asks another host.  Cause: an answer that nobody waits for
    still is the outcome.
    """
    fleet.start_world()
    caller, key = Caller(fleet), new_key()
    fleet.control("service", hold_answers=True)
    with caller.open_booking(fleet.entries_by_name["e1"], key):
        wait_until(lambda: fleet.n_runs() == [1], what="the booking runs")
    first = fleet.entries_by_name["e1"]
    wait_until(
        lambda: not first.dump()["connections"]["callers"][:-1],
        what="the caller has left",
    )
    fleet.control("service", hold_answers=False)
    entry = fleet.entries_by_name["e2"]
    answer = caller.book_until_accepted(entry, key)
    assert answer.headers["Ryelever-Replayed"] == "true"
    assert fleet.n_runs() == [1]
