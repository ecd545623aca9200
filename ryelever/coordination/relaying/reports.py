"""Report what happens to relayed requests, in log lines and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .lateness import cause_of_lateness

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..quarantine import Quarantined
    from .actions import RelayMeasures, RelayRefusal
    from .request import RelayRequest

__all__ = ["RequestReports"]


class RequestReports:
    """Write log lines about requests and record their times.

    Parameters
    ----------
    log : callable
        Write one log line, given the name of the event and its fields.
    """

    __slots__ = ("_log", "_measures")

    def __init__(self, *, measures: RelayMeasures, log: Callable[..., None]) -> None:
        self._measures = measures
        self._log = log

    def sent(self, request: RelayRequest, *, limited: bool, now: float) -> None:
        """Record an attempt that ``n_sent`` of the request already counts.

        Parameters
        ----------
        limited : bool
            True if a rate limit applies to the backend server.
        """
        waited = now - request.arrival.arrived_at
        if request.n_sent == 1:
            request.first_sent_at = now
            if request.contended:
                self._measures.waited(waited, rank=request.rank)
        self._measures.sent(
            is_retry=request.n_sent > 1,
            limited=limited,
            waited=waited,
        )

    def held(
        self, request: RelayRequest, *, n_ahead: int, expected_wait: float
    ) -> None:
        """Record that a request of a contended service begins to wait for a slot.

        Parameters
        ----------
        n_ahead : int
            Waiting requests of all hosts that go before this one.
        expected_wait : float
            Seconds until the request is expected to be sent.
        """
        self._log(
            "held",
            request=request.arrival.request_id,
            model=request.arrival.model,
            rank=list(request.rank),
            n_ahead=n_ahead,
            expected_wait=round(expected_wait, 3),
        )
        self._measures.held(model=request.arrival.model, rank=request.rank)

    def refused_for_room(self, *, model: str, rank: tuple[int, int]) -> None:
        """Count a request of a contended service that is refused without a slot."""
        self._measures.refused_for_room(model=model, rank=rank)

    def event(self, request: RelayRequest, *, now: float) -> None:
        """Record an event that is forwarded."""
        if request.last_event_at:
            pause = now - request.last_event_at
            request.longest_pause = max(request.longest_pause, pause)
            self._measures.gap(pause)
        else:
            request.first_event_at = now
            self._measures.first_event(now - request.arrival.arrived_at)
        request.last_event_at = now

    def group_stalled(self, server_id: str) -> None:
        """Log that a group has stalled."""
        self._log("group_still", server=server_id)

    def rate_limit(self, request: RelayRequest, *, rate: float | None) -> None:
        """Log a change of a backend server's rate limit.

        Parameters
        ----------
        rate : float or None
            Requests a second; None if the server no longer names a limit.
        """
        self._log(
            "server_limited",
            server=request.attempt.server_id,
            rate=-1 if rate is None else rate,
            request=request.arrival.request_id,
        )

    def limit_unreadable(self, request: RelayRequest, text: str) -> None:
        """Log a rate limit that is not a valid number."""
        self._log(
            "limit_unreadable",
            server=request.attempt.server_id,
            request=request.arrival.request_id,
            message=f"expected requests a second, found {text}",
        )

    def server_paused(self, request: RelayRequest, *, seconds: float) -> None:
        """Log that a backend server asked this host for a pause."""
        self._log(
            "server_paused",
            server=request.attempt.server_id,
            pause=seconds,
            request=request.arrival.request_id,
        )

    def pause_unreadable(self, request: RelayRequest, text: str) -> None:
        """Log a pause that is not a valid number."""
        self._log(
            "pause_unreadable",
            server=request.attempt.server_id,
            request=request.arrival.request_id,
            message=f"expected seconds, found {text}",
        )

    def server_leaving(self, request: RelayRequest) -> None:
        """Log that a backend server states in an answer that it is leaving."""
        self._log(
            "server_leaving",
            server=request.attempt.server_id,
            request=request.arrival.request_id,
        )

    def caller_left(self, request: RelayRequest) -> None:
        """Log that a caller has closed its connection."""
        self._log(
            "caller_left",
            request=request.arrival.request_id,
            phase=request.phase.value,
            server=request.attempt.server_id if request.attempt else "",
        )

    def attempt_failed(
        self,
        request: RelayRequest,
        server_id: str,
        reason: str,
        *,
        may_have_run: bool,
        message: str = "",
        fingerprint: str = "",
    ) -> None:
        """Log a failed attempt.

        Parameters
        ----------
        message : str
            What failed, if it was a connection; otherwise empty.
        fingerprint : str
            The request's fingerprint if the backend server crashed; otherwise empty.
        """
        fields = {"message": message, "fingerprint": fingerprint}
        self._log(
            "attempt_failed",
            request=request.arrival.request_id,
            server=server_id,
            reason=reason,
            may_have_run=may_have_run,
            n_sent=request.n_sent,
            last_event=request.last_event_id,
            **{name: text for name, text in fields.items() if text},
        )

    def attempt_held(self, request: RelayRequest, server_id: str, reason: str) -> None:
        """Log that a silent attempt is held open while another one is tried."""
        self._log(
            "attempt_held",
            request=request.arrival.request_id,
            server=server_id,
            reason=reason,
            n_sent=request.n_sent,
            last_event=request.last_event_id,
        )

    def attempt_resumed(self, request: RelayRequest, *, is_waited_for: bool) -> None:
        """Log that a held attempt has become the current one again.

        Parameters
        ----------
        is_waited_for : bool
            True if the others have failed, False if there is news of the attempt.
        """
        self._log(
            "attempt_resumed",
            request=request.arrival.request_id,
            server=request.attempt.server_id,
            reason="others_failed" if is_waited_for else "heard",
            n_sent=request.n_sent,
            last_event=request.last_event_id,
        )

    def not_retried(self, request: RelayRequest, obstacle: str, *, now: float) -> None:
        """Log why a request is not sent again, and the seconds left until it ends.

        Parameters
        ----------
        obstacle : str
            ``may_have_run``, ``attempts``, ``time``, ``quarantined`` or ``budget``.
        """
        self._log(
            "not_retried",
            request=request.arrival.request_id,
            reason=obstacle,
            n_sent=request.n_sent,
            left=round(request.times_out_at - now, 3),
        )

    def quarantined(self, request: RelayRequest, reason: Quarantined) -> None:
        """Log that a request is quarantined and therefore not sent, or withdrawn."""
        self._log(
            "quarantined",
            request=request.arrival.request_id,
            n_crashes=reason.n_crashes,
            part=reason.part,
        )

    def refused(self, refusal: RelayRefusal, *, version: int) -> None:
        """Log a request that was not accepted.

        Parameters
        ----------
        version : int
            Version of the configuration in use; -1 for none.
        """
        self._log(
            "refused",
            request=refusal.request_id,
            status=refusal.status,
            reason=refusal.reason,
            version=version,
        )

    def answered(
        self,
        request: RelayRequest,
        *,
        status: int,
        now: float,
        reason: str = "",
        server: str = "",
        **slot_fields: object,
    ) -> None:
        """Log and record the end of a request.

        Parameters
        ----------
        status : int
            Status that the caller got; 0 for a stream that was cut off.
        **slot_fields : object
            Log fields about servers, waiting requests and the expected wait if no slot
            was free.
        """
        elapsed = now - request.arrival.arrived_at
        self._measures.ended(
            route=request.route.name,
            account=request.account,
            status=status,
            seconds=elapsed,
        )
        self._log(
            "answered",
            request=request.arrival.request_id,
            route=request.route.name,
            status=status,
            reason=reason,
            server=server,
            n_sent=request.n_sent,
            version=request.version,
            late=cause_of_lateness(request, elapsed=elapsed),
            **slot_fields,
            ms=round(elapsed * 1000),
        )
