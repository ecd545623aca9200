"""Keep the open attempts of all requests.

A request has one current attempt. When that falls silent, it is held open while another
one is tried: a sound server may send nothing for a second and go on, and the other one
may refuse the request or fail. The first attempt that sends something becomes the
current one again.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ...state.directory import BackendServer
    from ..host_heartbeats import HostAddress
    from .actions import RelayAttempt, RelayOutbox
    from .balance import Balancer
    from .messages import AnswerHead
    from .overtaken import OvertakenWatch
    from .reports import RequestReports
    from .request import RelayRequest
    from .stall_watch import StallWatch

__all__ = ["OVERTAKEN", "PATH_LOST", "OpenAttempts"]

#: Reason to hold an attempt whose server goes on with streams that were sent later.
OVERTAKEN = "overtaken"

#: Reason to hold an attempt whose server only other hosts reach.
PATH_LOST = "path_lost"


class OpenAttempts:
    """Begin, hold, resume and end attempts to send requests to backend servers."""

    __slots__ = (
        "_balancer",
        "_ids",
        "_outbox",
        "_overtaken_watch",
        "_reports",
        "_requests_by_attempt",
        "_stall_watch",
    )

    def __init__(
        self,
        *,
        balancer: Balancer,
        stall_watch: StallWatch,
        overtaken_watch: OvertakenWatch,
        outbox: RelayOutbox,
        reports: RequestReports,
    ) -> None:
        self._balancer = balancer
        self._stall_watch = stall_watch
        self._overtaken_watch = overtaken_watch
        self._outbox = outbox
        self._reports = reports
        self._ids = itertools.count(1)
        self._requests_by_attempt: dict[str, RelayRequest] = {}

    def begin(
        self,
        request: RelayRequest,
        server: BackendServer,
        *,
        forwarder: HostAddress | None,
        now: float,
    ) -> RelayAttempt:
        """Begin an attempt, which becomes the request's current one."""
        attempt = request.begin_attempt(
            f"r{next(self._ids)}", server, forwarder=forwarder, now=now
        )
        self._requests_by_attempt[attempt.id] = request
        self._balancer.sent(server.id)
        if request.is_stream:
            self._stall_watch.began(server.id, attempt.id, now=now)
            self._overtaken_watch.sent(
                server.id,
                attempt.id,
                urgency=attempt.priority,
                n_prompt=request.arrival.n_prompt,
                expected=request.expected_first_event,
                now=now,
            )
        return attempt

    def progressed(self, request: RelayRequest, *, n_events: int, now: float) -> None:
        """Record events of the current attempt, and that its server makes progress."""
        attempt = request.attempt
        self._overtaken_watch.progressed(attempt.id, n_events=n_events, now=now)
        self._stall_watch.progressed(attempt.server_id, attempt.id, now=now)
        self._balancer.clear_stall(attempt.server_id)

    def overtaken(self, *, now: float) -> Iterator[RelayRequest]:
        """Yield the streams whose current attempts are overtaken."""
        for attempt_id in self._overtaken_watch.overtaken(now=now):
            request = self.request_of(attempt_id)
            attempt = None if request is None else request.attempt
            if attempt is not None and attempt.id == attempt_id:
                yield request

    def streams_at(self, server_ids: Collection[str]) -> Iterator[RelayRequest]:
        """Yield the streams whose current attempt is at one of some servers."""
        for attempt_id, request in list(self._requests_by_attempt.items()):
            attempt = request.attempt
            if (
                request.is_stream
                and attempt is not None
                and attempt.id == attempt_id
                and attempt.server_id in server_ids
            ):
                yield request

    def head(self, attempt_id: str) -> AnswerHead | None:
        """Return the head of the answer to an attempt; None if there is none yet."""
        request = self._requests_by_attempt.get(attempt_id)
        if request is None:
            return None
        held = request.held_by_attempt.get(attempt_id)
        return request.head if held is None else held.head

    def body(self, attempt_id: str) -> bytearray | None:
        """Return the body so far of an answer that has a head; otherwise None."""
        request = self._requests_by_attempt.get(attempt_id)
        if request is None or self.head(attempt_id) is None:
            return None
        held = request.held_by_attempt.get(attempt_id)
        return request.body if held is None else held.body

    def request_of(self, attempt_id: str) -> RelayRequest | None:
        """Return the request of an open attempt."""
        return self._requests_by_attempt.get(attempt_id)

    # Silent attempts

    def hold(self, request: RelayRequest, reason: str) -> None:
        """Keep the current attempt open beside the next one."""
        server_id = request.attempt.server_id
        if reason in (OVERTAKEN, PATH_LOST):
            # Its silence says nothing about the group.
            self._stall_watch.ended(server_id, request.attempt.id)
        request.hold_attempt()
        self._reports.attempt_held(request, server_id, reason)

    def attend(self, attempt_id: str, *, now: float) -> RelayRequest | None:
        """Return the request of an attempt that has sent something or failed.

        The attempt becomes the current one; the former one is held.
        """
        request = self._requests_by_attempt.get(attempt_id)
        if request is not None and attempt_id in request.held_by_attempt:
            if request.attempt is not None:
                request.hold_attempt()
            self._resume(request, attempt_id, now=now)
            self._reports.attempt_resumed(request, is_waited_for=False)
        return request

    def resume_latest(self, request: RelayRequest, *, now: float) -> None:
        """Wait for the held attempt that was sent last."""
        self._resume(request, _latest(request), now=now)
        self._reports.attempt_resumed(request, is_waited_for=True)

    def _resume(self, request: RelayRequest, attempt_id: str, *, now: float) -> None:
        request.resume_attempt(attempt_id)
        if request.is_stream:
            self._stall_watch.began(request.attempt.server_id, attempt_id, now=now)

    def has_later(self, request: RelayRequest) -> bool:
        """Return whether an attempt is held that was sent after the current one.

        The current one may have ended.
        """
        held_by_attempt = request.held_by_attempt
        return bool(held_by_attempt) and (
            held_by_attempt[_latest(request)].sent_at > request.sent_at
        )

    # Ends

    def cancel(self, request: RelayRequest) -> None:
        """Cancel the current attempt, if there is one."""
        attempt = request.attempt
        if attempt is not None:
            self.release(request)
            self._outbox.cancel(attempt.id)

    def release(self, request: RelayRequest) -> None:
        """Forget the current attempt, which has ended."""
        self._forget(request.attempt)
        request.attempt = None

    def cancel_held(self, request: RelayRequest) -> None:
        """Cancel the held attempts, which may have run by then."""
        if not request.held_by_attempt:
            return
        request.may_have_run = True
        for held in request.held_by_attempt.values():
            self._forget(held.attempt)
            self._outbox.cancel(held.attempt.id)
        request.held_by_attempt.clear()

    def cancel_all(self, request: RelayRequest) -> None:
        """Cancel all attempts of a request."""
        self.cancel(request)
        self.cancel_held(request)

    def _forget(self, attempt: RelayAttempt) -> None:
        self._balancer.ended(attempt.server_id)
        self._stall_watch.ended(attempt.server_id, attempt.id)
        self._overtaken_watch.ended(attempt.id)
        self._requests_by_attempt.pop(attempt.id, None)


def _latest(request: RelayRequest) -> str:
    held_by_attempt = request.held_by_attempt
    return max(held_by_attempt, key=lambda item: held_by_attempt[item].sent_at)
