"""Relay requests and answers between callers and backend servers.

``RelayRequests`` decides on each request; this module connects its decisions with the
network.
"""

from __future__ import annotations

import hashlib
import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .coordination.relaying import DemandMeter, RelayRequests, time_in_batch
from .errors import Category
from .events import (
    AnswerHead,
    AttemptData,
    OutboundFailure,
    OutboundRequest,
    RelayedRequest,
    outbound_cancel,
    outbound_send,
    request_fault,
)
from .logs import log_event
from .protocol.sse import RawEventSplitter, SseTooLongError

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.relaying import (
        Balancer,
        CrashWatch,
        Forwarders,
        Headers,
        RelayArrival,
        RelayAttempt,
        RelayMeasures,
        RelayRefusal,
        RelayRetryBudget,
        ServerPaths,
        StallWatch,
    )
    from .metrics import Metrics
    from .protocol.relaying import RelayInterface
    from .relay_settings import ContentionMode
    from .state.routes import RouteTable
    from .transport.relay_callers import RelayCallers

__all__ = ["Relay"]

#: Seconds to wait for a connection to a backend server.  Connecting takes a few
#: milliseconds, and a server that has silently disappeared never answers.
CONNECT_TIMEOUT = 0.3

#: Seconds from a request's deadline until its connection is closed.
CLOSE_DELAY = 0.5

#: Length in bytes of the hash by which repeated requests are recognized.
CONTENT_HASH_BYTES = 12


class Relay(BaseComponent):
    """Connect the decisions on relayed requests with callers and backend servers.

    Parameters
    ----------
    messages : RelayInterface
        Reader and writer of message heads in the format of callers and backend servers.
    callers : RelayCallers
        The callers' connections.
    contention : ContentionMode
        Whether the capacity of engine services is shared among callers.
    """

    channel = "relay"

    def __init__(
        self,
        *,
        messages: RelayInterface,
        callers: RelayCallers,
        route_table: Callable[[], RouteTable | None],
        balancer: Balancer,
        budget: RelayRetryBudget,
        stall_watch: StallWatch,
        paths: ServerPaths,
        forwarders: Forwarders,
        crashes: CrashWatch,
        metrics: Metrics,
        measures: RelayMeasures,
        contention: ContentionMode,
    ) -> None:
        super().__init__()
        self._messages = messages
        self._callers = callers
        self._route_table = route_table
        self._contention = contention
        self._metrics = metrics
        self._received_by_number: dict[int, RelayedRequest] = {}
        self._splitters_by_attempt: dict[str, RawEventSplitter] = {}
        self.stall_watch = stall_watch
        self.balancer = balancer
        self.demand = DemandMeter()
        self.requests = RelayRequests(
            route_table=route_table,
            balancer=balancer,
            budget=budget,
            stall_watch=stall_watch,
            paths=paths,
            forwarders=forwarders,
            crashes=crashes,
            outbox=self,
            served=self.demand.served,
            measures=measures,
            since=time.monotonic(),
            log=self._log,
            contention=contention,
            report_fault=self._report_fault,
        )

    def _log(self, event: str, **fields: object) -> None:
        self._metrics.count(
            event, str(fields.get("reason") or fields.get("status", ""))
        )
        log_event(event, **fields)

    def _report_fault(self, error: Exception, request_id: str) -> None:
        self.fire(request_fault(error, request_id), "faults")

    # Callers

    @handler("relayed_request")
    def _on_request(self, received: RelayedRequest) -> None:
        now = time.monotonic()
        with self.requests.faults.arrival(received.number, now=now):
            arrival = self._messages.decode_arrival(
                head=received.headers,
                target=received.target,
                content=_content_hash(received),
                now=now,
            )
            self._received_by_number[received.number] = received
            if arrival.model:
                with self.requests.faults.step():
                    self._record_demand(arrival, now=now)
            self.requests.arrive(received.number, arrival)

    @handler("relayed_caller_disconnected")
    def _on_caller_disconnected(self, number: int) -> None:
        self.requests.caller_disconnected(number)
        self._received_by_number.pop(number, None)

    def _record_demand(self, arrival: RelayArrival, *, now: float) -> None:
        route_table = self._route_table()
        if route_table is None:
            return
        model = arrival.model
        for service, engine in route_table.engines():
            if model in engine.models_by_name:
                n_answer = self.demand.answer_length(model, engine)
                seconds = time_in_batch(
                    engine, model, n_prompt=arrival.n_prompt, n_answer=n_answer
                )
                self.demand.arrived(
                    model,
                    seconds,
                    now=now,
                    contended=route_table.is_contended(service, self._contention),
                    urgent=_is_urgent(arrival, service, route_table),
                )

    # Backend servers

    @handler("outbound_head")
    def _on_head(self, head: AnswerHead) -> None:
        now = time.monotonic()
        with self.requests.faults.attempt(head.id, now=now):
            read = self._messages.decode_answer_head(
                head.status, list(head.raw_headers)
            )
            self.requests.answer_head(
                head.id, read, new_connection=head.new_connection, now=now
            )

    @handler("outbound_data")
    def _on_data(self, message: AttemptData) -> None:
        now = time.monotonic()
        with self.requests.faults.attempt(message.id, now=now):
            if self.requests.is_streaming(message.id):
                self._split_events(message, now=now)
            else:
                self.requests.answer_body(message.id, message.data, now=now)

    def _split_events(self, message: AttemptData, *, now: float) -> None:
        splitter = self._splitters_by_attempt.setdefault(message.id, RawEventSplitter())
        try:
            events = splitter.feed(message.data)
        except SseTooLongError:
            self.requests.answer_broken(message.id, "event_too_long", now=now)
            return
        if events:
            self.requests.answer_events(message.id, events, now=now)

    @handler("outbound_end")
    def _on_end(self, attempt_id: str) -> None:
        splitter = self._splitters_by_attempt.pop(attempt_id, None)
        cut = splitter is not None and not splitter.is_empty
        now = time.monotonic()
        with self.requests.faults.attempt(attempt_id, now=now):
            self.requests.answer_end(attempt_id, cut=cut, now=now)

    @handler("outbound_failed")
    def _on_failed(self, failure: OutboundFailure) -> None:
        self._splitters_by_attempt.pop(failure.id, None)
        reason = "connection_failed"
        if failure.forwarder_failed:
            reason = "forwarder_failed"
        elif failure.error.category is Category.TIMEOUT:
            reason = "silent"
        now = time.monotonic()
        with self.requests.faults.attempt(failure.id, now=now):
            if failure.error.category is Category.INTERNAL:
                raise failure.error
            self.requests.attempt_failed(
                failure.id,
                reason,
                sent=failure.bytes_sent,
                forwarder_failed=failure.forwarder_failed,
                message=failure.error.message,
                now=now,
            )

    @handler("serving_tick")
    def _on_tick(self) -> None:
        self.requests.tick(now=time.monotonic())

    @handler("directory_changed")
    def _on_directory_changed(self) -> None:
        self.requests.dispatch_waiting(now=time.monotonic())

    # Actions of RelayRequests

    def send(self, attempt: RelayAttempt) -> None:
        """Send a request to a backend server."""
        now = time.monotonic()
        received = self._received_by_number[attempt.request_number]
        request = OutboundRequest(
            id=attempt.id,
            address=attempt.address,
            method=received.method.decode("ascii"),
            path=received.target.decode("latin-1"),
            headers=tuple(
                self._messages.attempt_headers(received.headers, attempt, now=now)
            ),
            body=received.body,
            reply_channel=self.channel,
            step="relay",
            streamed=True,
            new_connection=attempt.new_connection,
            connect_timeout=CONNECT_TIMEOUT,
            progress_timeout=max(CLOSE_DELAY, attempt.deadline - now + CLOSE_DELAY),
            latest_start=attempt.deadline,
            resend_stale=False,
            verbatim=True,
        )
        if attempt.forwarder:
            request = request.via(attempt.address, server_id=attempt.server_id)
        self.fire(outbound_send(request), "http_client")

    def cancel(self, attempt_id: str) -> None:
        """Close the connection of an attempt whose answer is no longer needed."""
        self._splitters_by_attempt.pop(attempt_id, None)
        self.fire(outbound_cancel(attempt_id), "http_client")

    def answer(
        self, request_number: int, *, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send the caller a backend server's complete answer."""
        self._received_by_number.pop(request_number, None)
        self._callers.answer(request_number, status=status, headers=headers, body=body)

    def refuse(self, request_number: int, refusal: RelayRefusal) -> None:
        """Send the caller a refusal that this entry host creates."""
        self._received_by_number.pop(request_number, None)
        headers = self._messages.answer_headers(
            refusal.request_id, retry_after=refusal.retry_after
        )
        self._callers.answer(
            request_number, status=refusal.status, headers=headers, body=b""
        )

    def start(self, request_number: int, *, status: int, headers: Headers) -> None:
        """Send the caller the head of a streamed answer."""
        self._callers.start(request_number, status=status, headers=headers)

    def data(self, request_number: int, data: bytes) -> None:
        """Send the caller complete events of a stream."""
        self._callers.data(request_number, data)

    def finish(self, request_number: int) -> None:
        """End a streamed answer as complete."""
        self._received_by_number.pop(request_number, None)
        self._callers.finish(request_number)

    def abort(self, request_number: int) -> None:
        """Abort a streamed answer so that the caller sees it as incomplete."""
        self._received_by_number.pop(request_number, None)
        self._callers.abort(request_number)


def _is_urgent(arrival: RelayArrival, service: str, route_table: RouteTable) -> bool:
    """Return whether a request's route has the most urgent of several priorities."""
    priority = route_table.urgent_priority_by_service.get(service)
    if priority is None:
        return False
    route = route_table.match(host=arrival.host, path=arrival.path)
    return route is not None and route.priority == priority


def _content_hash(received: RelayedRequest) -> str:
    content_hash = hashlib.blake2b(digest_size=CONTENT_HASH_BYTES)
    for part in (received.method, b" ", received.target, b"\n", received.body):
        content_hash.update(part)
    return content_hash.hexdigest()
