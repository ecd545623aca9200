"""Handle relayed requests from their arrival to their final answer.

The answer to a request is either the complete and unchanged answer of a backend server,
or an answer that the entry host generates. This module records whether an attempt may
have run a request. Only while no attempt may have run it, ``Refusals`` promises the
caller that the request was not run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .answer_notices import AnswerNotices
from .contended_requests import ContendedRequests
from .contention import Contention
from .demand import ExponentialAverage
from .fault_isolation import FaultIsolation
from .grace_period import GracePeriod
from .moves import Moves
from .open_attempts import OpenAttempts
from .overtaken import OvertakenWatch
from .refusals import DEFAULT_RETRY_AFTER, Refusals
from .reports import RequestReports
from .request import RequestPhase, is_after, routed_request
from .retries import Retries
from .server_refusals import ServerRefusals
from .uncontended_requests import UncontendedRequests
from .unrouted import UnroutedArrivals
from .waiting import DEFAULT_ANSWER, WaitingRequests
from .withdrawals import Withdrawals

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...relay_settings import ContentionMode
    from ...state.observations import WaitingRow
    from ...state.routes import RouteTable
    from ..quarantine import Quarantined
    from .actions import RelayMeasures, RelayOutbox
    from .balance import Balancer, RoomLimit
    from .crashes import CrashWatch
    from .forwarders import Forwarders
    from .messages import AnswerHead, RelayArrival
    from .request import RelayRequest
    from .retry_budget import RelayRetryBudget
    from .server_paths import ServerPaths
    from .stall_watch import StallWatch

__all__ = ["RelayRequests"]

#: Statuses that promise the caller that its request was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

#: Maximum length of an answer that is not streamed, in bytes.
MAX_ANSWER = 8 << 20

#: Maximum length of all such answers that are being received, in bytes.  Servers may
#: send bytes without end, and many requests may be at such servers.
MAX_ANSWERS = 64 << 20

#: Length of an answer from which the others are counted, in bytes.
LARGE_ANSWER = 256 << 10

#: Seconds over which the rate of arriving requests is averaged.
ARRIVALS_TIME = 2.0


class RelayRequests:
    """Decide about all relayed requests of one process.

    Parameters
    ----------
    route_table : callable
        Return the active configuration, or None before there is one.
    served : callable
        Record a complete stream, given its model and its number of events.
    measures : RelayMeasures
        Records the outcomes of requests.
    since : float
        Monotonic time of the process's start.
    log : callable
        Write one log line about a decision, given the name of the event and its fields.
    contention : ContentionMode
        Whether the capacity of engine services is shared among callers.
    seed : int or None
        Seed of the random draws for contended services.
    report_fault : callable or None
        Report an exception that ended a request, given it and the request's id, which
        is empty if the exception concerns no single request. If None, exceptions are
        raised.

    Attributes
    ----------
    faults : FaultIsolation
        Ends the request whose handling raises an exception.
    grace_period : GracePeriod
        Grace period of the process's shutdown.
    """

    def __init__(
        self,
        *,
        route_table: Callable[[], RouteTable | None],
        balancer: Balancer,
        budget: RelayRetryBudget,
        stall_watch: StallWatch,
        paths: ServerPaths,
        forwarders: Forwarders,
        crashes: CrashWatch,
        outbox: RelayOutbox,
        served: Callable[[str, int], None],
        measures: RelayMeasures,
        since: float,
        log: Callable[..., None],
        contention: ContentionMode,
        seed: int | None = None,
        report_fault: Callable[[Exception, str], None] | None = None,
    ) -> None:
        self._route_table = route_table
        self._unrouted = UnroutedArrivals(since=since)
        self._balancer = balancer
        self._budget = budget
        self._crashes = crashes
        self._outbox = outbox
        self._served = served
        self._reports = RequestReports(measures=measures, log=log)
        self._notices = AnswerNotices(balancer=balancer, reports=self._reports)
        self._paths = paths
        self._forwarders = forwarders
        self.requests_by_number: dict[int, RelayRequest] = {}
        self._attempts = OpenAttempts(
            balancer=balancer,
            stall_watch=stall_watch,
            overtaken_watch=OvertakenWatch(),
            outbox=outbox,
            reports=self._reports,
        )
        self._retries = Retries(budget=budget, crashes=crashes, reports=self._reports)
        self._waiting = WaitingRequests(usual_answer=self._usual_answer)
        self.faults = FaultIsolation(
            attempts=self._attempts,
            outbox=outbox,
            reports=self._reports,
            requests_by_number=self.requests_by_number,
            retries=self._retries,
            unrouted=self._unrouted,
            waiting=self._waiting,
            report=report_fault,
        )
        self._withdrawals = Withdrawals(crashes=crashes, faults=self.faults)
        self._moves = Moves(
            attempts=self._attempts,
            balancer=balancer,
            crashes=crashes,
            faults=self.faults,
            forwarders=forwarders,
            paths=paths,
            reports=self._reports,
            retries=self._retries,
            stall_watch=stall_watch,
            dispatch=self._dispatch,
        )
        self._refusals = Refusals(
            outbox=outbox,
            reports=self._reports,
            balancer=balancer,
            waiting=self._waiting,
        )
        self._contention = Contention(mode=contention, balancer=balancer, seed=seed)
        server_refusals = ServerRefusals(
            balancer=balancer,
            crashes=crashes,
            waiting=self._waiting,
            reports=self._reports,
            refuse=self._end_without_answer,
        )
        self._contended = ContendedRequests(
            contention=self._contention,
            balancer=balancer,
            waiting=self._waiting,
            reports=self._reports,
            refusals=server_refusals,
            faults=self.faults,
            dispatch=self._dispatch,
            refuse=self._end_without_answer,
        )
        self._uncontended = UncontendedRequests(
            waiting=self._waiting,
            refusals=server_refusals,
            faults=self.faults,
            dispatch=self._dispatch,
        )
        self._arrivals = ExponentialAverage(averaging_time=ARRIVALS_TIME, now=since)
        self.grace_period = GracePeriod()

    def arrival_rate(self, *, now: float) -> float:
        """Return how many requests a second arrive at this host."""
        return self._arrivals.value(now=now)

    @property
    def has_waiting(self) -> bool:
        """Return whether requests wait for a free slot or the first configuration."""
        return bool(self._waiting or self._unrouted)

    def times_out_before(self, at: float) -> bool:
        """Return whether a request gets its final answer before a monotonic time."""
        requests = self.requests_by_number.values()
        return any(request.times_out_at < at for request in requests)

    def waiting_rows(self) -> tuple[WaitingRow, ...]:
        """Return the counts of waiting requests of contended services."""
        return self._waiting.rows()

    # Callers

    def arrive(self, number: int, arrival: RelayArrival) -> None:
        """Handle a caller's request."""
        now = arrival.arrived_at
        with self.faults.arrival(number, request_id=arrival.request_id, now=now):
            self._arrivals.add(1.0, now=now)
            route_table = self._route_table()
            if route_table is not None:
                self._route(number, arrival, route_table, now=now)
            elif self.grace_period.is_refusing(now=now):
                self._refuse_on_arrival(number, arrival, 503, "stopping")
            else:
                self._unrouted.add(number, arrival)
                self._route_unrouted(now=now)

    def _route_unrouted(self, *, now: float) -> None:
        """Route or refuse the requests that waited for the first configuration."""
        if not self._unrouted:
            return
        route_table = self._route_table()
        due = self._unrouted.pop_due(is_configured=route_table is not None, now=now)
        for number, arrival in due:
            with self.faults.arrival(number, request_id=arrival.request_id, now=now):
                if route_table is None:
                    self._refuse_on_arrival(number, arrival, 503, "no_configuration")
                else:
                    self._route(number, arrival, route_table, now=now)

    def _route(
        self, number: int, arrival: RelayArrival, route_table: RouteTable, *, now: float
    ) -> None:
        """Find the route of a request, and send the request if a slot is free."""
        routed = routed_request(number, arrival, route_table)
        if routed.is_error():
            refusal = routed.error
            self._refuse_on_arrival(number, arrival, refusal.status, refusal.reason)
            return
        request = routed.ok
        quarantined = self._crashes.verdict(request, now=now)
        if quarantined is not None:
            self._reports.quarantined(request, quarantined)
            self._refuse_on_arrival(
                number,
                arrival,
                503,
                "quarantined",
                retry_after=quarantined.retry_after,
            )
            return
        if not self.grace_period.accepts(request, now=now):
            self._refuse_on_arrival(number, arrival, 503, "stopping")
            return
        self.requests_by_number[number] = request
        self._budget.record_request(request.service, now=now)
        self._contention.arrived(request, route_table, now=now)
        self._send_or_wait(request, now=now)

    def caller_disconnected(self, number: int) -> None:
        """Drop a request whose caller has closed its connection."""
        self._unrouted.discard(number)
        request = self.requests_by_number.get(number)
        if request is None:
            return
        with self.faults.request(request):
            self._reports.caller_left(request)
            self._end(request)

    # Backend servers

    def answer_head(
        self,
        attempt_id: str,
        head: AnswerHead,
        *,
        new_connection: bool = False,
        now: float,
    ) -> None:
        """Handle the head of an answer.

        Parameters
        ----------
        new_connection : bool
            True if it is the first answer on its connection.
        """
        request = self._attend(attempt_id, now=now)
        if request is None:
            return
        if new_connection and not request.attempt.forwarder:
            self._paths.answered(request.attempt.server_id, now=now)
        else:
            self._paths.heard(request.attempt.server_id, now=now)
        expected_id = request.arrival.request_id
        if head.request_id and expected_id and head.request_id != expected_id:
            # This is a surplus answer to an earlier request on the connection. The
            # answer to this request may follow, but the connection can no longer be
            # trusted.
            self._handle_ambiguous_failure(request, "answer_of_another", now=now)
            return
        if not head.wrong_server:
            self._notices.record(request, head, now=now)
        if head.not_run:
            self._handle_rejection(request, head, now=now)
            return
        if head.encoded or (200 <= head.status < 300 and not head.signed):
            self._handle_ambiguous_failure(request, "answer_not_signed", now=now)
            return
        request.head = head

    def _attend(self, attempt_id: str, *, now: float) -> RelayRequest | None:
        """Return the request of an attempt about which there is news.

        If the request was waiting to be sent again, it no longer is.
        """
        request = self._attempts.attend(attempt_id, now=now)
        if request is not None and self._waiting.includes(request):
            self._leave_queue(request)
        return request

    def is_streaming(self, attempt_id: str) -> bool:
        """Return whether the body of an attempt's answer is a stream of events."""
        head = self._attempts.head(attempt_id)
        if head is None or head.status != 200:
            return False
        return self._attempts.request_of(attempt_id).is_stream

    def answer_body(self, attempt_id: str, data: bytes, *, now: float) -> None:
        """Handle part of the body of an answer that is not streamed."""
        body = self._attempts.body(attempt_id)
        if body is None:
            return
        body += data
        if len(body) > MAX_ANSWER or (
            len(body) > LARGE_ANSWER and self._n_answer_bytes > MAX_ANSWERS
        ):
            self.answer_broken(attempt_id, "answer_too_long", now=now)

    @property
    def _n_answer_bytes(self) -> int:
        """Return the length of all answers that are not streamed and not complete."""
        return sum(
            request.n_answer_bytes for request in self.requests_by_number.values()
        )

    def answer_events(
        self, attempt_id: str, events: list[tuple[str, bytes]], *, now: float
    ) -> None:
        """Handle complete events of a stream, each given with its id."""
        request = self._attend(attempt_id, now=now)
        if request is not None:
            self._paths.heard(request.attempt.server_id, now=now)
            self._attempts.progressed(request, n_events=len(events), now=now)
            self._forward_events(request, events, now=now)

    def answer_broken(self, attempt_id: str, reason: str, *, now: float) -> None:
        """Handle an answer that is invalid and must not be forwarded."""
        request = self._attend(attempt_id, now=now)
        if request is not None:
            self._handle_ambiguous_failure(request, reason, now=now)

    def answer_end(self, attempt_id: str, *, cut: bool, now: float) -> None:
        """Handle the end of an answer.

        Parameters
        ----------
        cut : bool
            True if the answer ended in the middle of an event.
        """
        request = self._attend(attempt_id, now=now)
        if request is None:
            return
        if request.head is None:
            self._handle_ambiguous_failure(request, "answer_without_head", now=now)
            return
        if not request.is_stream or request.head.status != 200:
            self._complete_answer(request, now=now)
            return
        if cut or (not request.n_events and request.head.ends_with_connection):
            self._handle_ambiguous_failure(request, "stream_cut_off", now=now)
            return
        if not request.n_events:
            self._handle_ambiguous_failure(request, "stream_without_events", now=now)
            return
        server_id = request.attempt.server_id
        self._record_success(request, now=now)
        self._attempts.release(request)
        self._outbox.finish(request.number)
        request.phase = RequestPhase.ENDED
        self._served(request.arrival.model, request.n_events)
        self._crashes.completed(request, now=now)
        self._reports.answered(request, status=200, server=server_id, now=now)
        self._end(request)
        if request.contended:
            self._dispatch_contended(now=now)

    def attempt_failed(
        self,
        attempt_id: str,
        reason: str,
        *,
        sent: bool,
        forwarder_failed: bool = False,
        message: str = "",
        now: float,
    ) -> None:
        """Handle a failed connection to a backend server.

        Parameters
        ----------
        sent : bool
            False if no byte of the request can have been sent.
        forwarder_failed : bool
            True if the connection to the forwarding host failed.
        message : str
            What failed, with the error of the operating system if there is one.
        """
        request = self._attend(attempt_id, now=now)
        if request is None:
            return
        attempt = request.attempt
        if attempt.forwarder and (forwarder_failed or not sent):
            self._forwarders.failed(attempt.forwarder, now=now)
        if sent:
            self._handle_ambiguous_failure(
                request,
                reason,
                blames_server=not forwarder_failed,
                message=message,
                now=now,
            )
            return
        server_id = attempt.server_id
        request.prefers_forwarder |= self._paths.hears_nothing(server_id, now=now)
        request.unreached.add(server_id)
        if not forwarder_failed:
            self._balancer.failed(server_id, now=now)
        if not attempt.forwarder:
            self._paths.unreached(server_id, now=now)
        self._retries.unreached(request)
        request.n_sent -= 1
        self._attempts.release(request)
        self._reports.attempt_failed(
            request, server_id, reason, may_have_run=False, message=message
        )
        self._retry(request, reason, now=now)

    # Periodic work

    def tick(self, *, now: float) -> None:
        """End overdue requests, move those of stalled groups and send waiting ones."""
        with self.faults.step():
            self._contention.ticked(now=now)
        requests = list(self.requests_by_number.values())
        self.faults.each(requests, self._check_times, now=now)
        requests = list(self.requests_by_number.values())
        for request, quarantined in self._withdrawals.due(requests, now=now):
            with self.faults.request(request, now=now):
                self._withdraw(request, quarantined, now=now)
        with self.faults.step():
            self._moves.move_stalled(now=now)
        with self.faults.step():
            self._moves.move_overtaken(now=now)
        self.dispatch_waiting(now=now)

    def _check_times(self, request: RelayRequest, *, now: float) -> None:
        """End a request if it is overdue; otherwise check the path to its server."""
        waited = self._waiting.has_timed_out(request, now=now)
        if waited or now >= request.times_out_at:
            self._time_out(request, now=now)
        elif self._waiting.includes(request) and self.grace_period.is_too_short(
            request, now=now
        ):
            self._end_without_answer(request, "stopping", now=now)
        else:
            self._moves.check_path(request, now=now)

    def end_all(self, *, now: float) -> None:
        """Answer all requests, since the process is about to end."""
        for request in list(self.requests_by_number.values()):
            with self.faults.request(request, now=now):
                if request.attempt is not None:
                    request.may_have_run = True
                self._attempts.cancel_all(request)
                self._end_without_answer(request, "stopping", now=now)
        for number, arrival in self._unrouted.pop_all():
            with self.faults.arrival(number, request_id=arrival.request_id, now=now):
                self._refuse_on_arrival(number, arrival, 503, "stopping")

    def dispatch_waiting(self, *, now: float) -> None:
        """Send the requests that wait for a free slot or the first configuration."""
        with self.faults.step():
            self._route_unrouted(now=now)
        if not self._waiting:
            return
        with self.faults.step():
            uncontended = self._waiting.uncontended_for_dispatch(now=now)
            self._uncontended.dispatch(uncontended, now=now)
        with self.faults.step():
            self._dispatch_contended(now=now)

    def _dispatch_contended(self, *, now: float) -> None:
        """Send waiting requests of contended services, since a slot became free."""
        if self._waiting:
            waiting = self._waiting.contended_for_dispatch(now=now)
            self._contended.dispatch(waiting, now=now)

    # Attempts

    def _dispatch(
        self, request: RelayRequest, *, now: float, room: RoomLimit | None = None
    ) -> bool:
        """Send a request to a server that has room; return whether there is one."""
        server = self._balancer.choose(
            request.service,
            request.arrival.model,
            excluded=request.tried,
            now=now,
            room=room,
        )
        if server is None:
            return False
        if not self._retries.reserve(request, now=now):
            return False
        forwarder = None
        if request.prefers_forwarder or self._paths.is_out_of_reach(server.id):
            forwarder = self._forwarders.choose(now=now)
        attempt = self._attempts.begin(request, server, forwarder=forwarder, now=now)
        self._outbox.send(attempt)
        self._retries.sent(request, now=now)
        limited = self._balancer.limits.rate(server.id, now=now) is not None
        self._reports.sent(request, limited=limited, now=now)
        self._balancer.limits.sent(server.id, now=now)
        return True

    def _handle_rejection(
        self, request: RelayRequest, head: AnswerHead, *, now: float
    ) -> None:
        """Retry or end a request that a backend server promised not to have run."""
        server_id = request.attempt.server_id
        reason = "wrong_server" if head.wrong_server else "rejected"
        if head.wrong_server:
            self._balancer.mark_entry_stale(server_id, now=now)
        else:
            self._balancer.failed(server_id, now=now)
        request.n_rejected += 1
        if not head.wrong_server:
            request.rejected_by.add(server_id)
        self._attempts.cancel(request)
        self._reports.attempt_failed(request, server_id, reason, may_have_run=False)
        self._retry(request, reason, now=now)

    def _handle_ambiguous_failure(
        self,
        request: RelayRequest,
        reason: str,
        *,
        blames_server: bool = True,
        message: str = "",
        now: float,
    ) -> None:
        """Retry or end a request that may have been run despite the failure.

        Parameters
        ----------
        blames_server : bool
            False if nothing is known about the server, whose forwarding host failed.
        message : str
            What failed, for the log; empty if the reason says it all.
        """
        server_id = request.attempt.server_id
        request.may_have_run = True
        fingerprint = ""
        if blames_server:
            self._balancer.failed(server_id, now=now)
            fingerprint = self._crashes.failed(request, reason=reason, now=now)
        self._attempts.cancel(request)
        self._reports.attempt_failed(
            request,
            server_id,
            reason,
            may_have_run=True,
            message=message,
            fingerprint=fingerprint,
        )
        self._retry(request, reason, now=now)

    def _retry(self, request: RelayRequest, reason: str, *, now: float) -> None:
        """Send a request again after a failure, let it wait, or end it."""
        if self._attempts.has_later(request):
            self._attempts.resume_latest(request, now=now)
        elif self._retries.allows_or_defers(request, now=now):
            self._send_or_wait(request, now=now)
        else:
            self._end_without_answer(request, reason, now=now)

    def _send_or_wait(self, request: RelayRequest, *, now: float) -> None:
        """Send a request, let it wait for a free slot, or refuse it."""
        if request.phase is RequestPhase.SENT:
            request.phase = RequestPhase.WAITING
        if self.grace_period.is_too_short(request, now=now):
            self._end_without_answer(request, "stopping", now=now)
            return
        queue = self._contended if request.contended else self._uncontended
        queue.add(request, now=now)
        if request.phase is RequestPhase.STREAMING and self._waiting.includes(request):
            # It may wait for long: others can use the retry meanwhile, and servers that
            # were full or out of reach may take it later.
            self._retries.release(request)
            request.tried -= request.rejected_by | request.unreached
            request.rejected_by.clear()
            request.unreached.clear()

    def path_lost(self, server_id: str, *, now: float) -> None:
        """Use a server by way of other hosts after the path to it was lost."""
        requests = list(self.requests_by_number.values())
        with self.faults.step():
            self._moves.path_lost(server_id, requests, now=now)
        self.dispatch_waiting(now=now)

    # Answers

    def _forward_events(
        self, request: RelayRequest, events: list[tuple[str, bytes]], *, now: float
    ) -> None:
        self._attempts.cancel_held(request)
        if request.phase is not RequestPhase.STREAMING:
            self._outbox.start(
                request.number,
                status=request.head.status,
                headers=request.head.headers,
            )
            request.phase = RequestPhase.STREAMING
        if not request.n_events:
            self._contention.first_event(request, now=now)
            request.answering_since = now
        self._crashes.answering(request, now=now)
        self._reports.event(request, now=now)
        request.n_events += len(events)
        new_events = []
        for event_id, event in events:
            if event_id:
                if not is_after(event_id, request.last_event_id):
                    continue
                request.last_event_id = event_id
            new_events.append(event)
        if new_events:
            self._outbox.data(request.number, b"".join(new_events))

    def _complete_answer(self, request: RelayRequest, *, now: float) -> None:
        head = request.head
        server_id = request.attempt.server_id
        failed = head.status >= 500 or head.status in NOT_RUN_STATUSES
        reason = f"answered_{head.status}"
        if request.phase is RequestPhase.STREAMING:
            # The stream was to be resumed, but this answer is not a stream.
            self._handle_ambiguous_failure(request, reason, now=now)
            return
        if failed and self._moves.move(request, reason, has_ended=True, now=now):
            return
        if failed and request.held_by_attempt:
            request.may_have_run = True
            self._attempts.cancel(request)
            self._resume_held(request, now=now)
            return
        if head.status in NOT_RUN_STATUSES:
            # Without the promise in the answer's headers the request may have been run,
            # but the caller would take the status alone as that promise.
            request.may_have_run = True
            self._attempts.cancel(request)
            self._end_without_answer(request, reason, now=now)
            return
        if not failed:
            self._record_success(request, now=now)
            succeeded = 200 <= head.status < 300
            self._crashes.completed(request, succeeded=succeeded, now=now)
        self._attempts.release(request)
        self._outbox.answer(
            request.number,
            status=head.status,
            headers=head.headers,
            body=bytes(request.body),
        )
        request.phase = RequestPhase.ENDED
        self._reports.answered(request, status=head.status, server=server_id, now=now)
        self._end(request)

    def _record_success(self, request: RelayRequest, *, now: float) -> None:
        """Record that a backend server has answered completely."""
        self._balancer.succeeded(request.attempt.server_id, sent_at=request.sent_at)
        if request.contended and not self._contention.observes(
            request.sent_at, now=now
        ):
            return
        if request.n_sent == 1:
            duration = now - request.first_sent_at
            self._balancer.record_duration(
                request.service, request.arrival.model, duration
            )

    def _time_out(self, request: RelayRequest, *, now: float) -> None:
        """End a request that has waited for a slot, or for its answer, for too long."""
        if request.phase is RequestPhase.ENDED:
            return
        if now < request.times_out_at and self._resume_held(request, now=now):
            return
        sent = request.attempt is not None or bool(request.held_by_attempt)
        if request.contended and not sent:
            self._contended.time_out(request, now=now)
            return
        if sent:
            request.may_have_run = True
            self._attempts.cancel_all(request)
        self._end_without_answer(request, "too_late" if sent else "no_place", now=now)

    def _resume_held(self, request: RelayRequest, *, now: float) -> bool:
        """Wait for a held attempt instead of ending; return whether there is one."""
        if not request.held_by_attempt:
            return False
        self._leave_queue(request)
        self._attempts.resume_latest(request, now=now)
        return True

    def _leave_queue(self, request: RelayRequest) -> None:
        """Stop waiting for a slot, since an attempt of the request goes on."""
        self._waiting.discard(request)
        self._retries.release(request)

    def _withdraw(
        self, request: RelayRequest, quarantined: Quarantined, *, now: float
    ) -> None:
        """End a request that would crash the server to which it was sent."""
        self._reports.quarantined(request, quarantined)
        request.may_have_run = True
        self._attempts.cancel(request)
        self._end_without_answer(
            request, "quarantined", retry_after=quarantined.retry_after, now=now
        )

    def _end_without_answer(
        self,
        request: RelayRequest,
        reason: str,
        *,
        now: float,
        retry_after: float = DEFAULT_RETRY_AFTER,
        **wait_fields: object,
    ) -> None:
        """End a request, unless an attempt that is held may still be answered."""
        if reason != "quarantined" and self._resume_held(request, now=now):
            return
        self._attempts.cancel_held(request)
        self._refusals.end_without_answer(
            request, reason, now=now, retry_after=retry_after, **wait_fields
        )
        self._end(request)

    def _refuse_on_arrival(
        self,
        number: int,
        arrival: RelayArrival,
        status: int,
        reason: str,
        *,
        retry_after: float = DEFAULT_RETRY_AFTER,
    ) -> None:
        route_table = self._route_table()
        self._refusals.refuse_on_arrival(
            number,
            arrival,
            status,
            reason,
            version=-1 if route_table is None else route_table.version,
            retry_after=retry_after,
        )

    # Bookkeeping

    def _usual_answer(self, service: str) -> float:
        """Return the usual number of tokens in an answer of an engine service."""
        found = self._route_table().services_by_name.get(service)
        if found is None or found.engine is None:
            return DEFAULT_ANSWER
        return found.engine.usual_answer

    def _end(self, request: RelayRequest) -> None:
        request.phase = RequestPhase.ENDED
        self._attempts.cancel_all(request)
        self._retries.release(request)
        self.requests_by_number.pop(request.number, None)
        self._waiting.discard(request)
