"""Confine an exception to the relayed request in whose handling it is raised."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from .actions import RelayRefusal
from .request import RequestPhase

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, MutableMapping
    from types import TracebackType

    from .actions import RelayOutbox
    from .open_attempts import OpenAttempts
    from .reports import RequestReports
    from .request import RelayRequest
    from .retries import Retries
    from .unrouted import UnroutedArrivals
    from .waiting import WaitingRequests

__all__ = ["FaultIsolation"]

#: Status of a request that an exception ended; it doesn't say whether the request ran.
FAULT_STATUS = 500

FAULT = "fault"


class FaultIsolation:
    """End the request whose handling raises an exception, and no other one.

    The methods return context managers, which suppress exceptions. They can be nested:
    an exception concerns the innermost request.

    Parameters
    ----------
    report : callable or None
        Report an exception, given it and the request's id, which is empty if the
        exception concerns no single request. If None, no exception is suppressed.
    """

    __slots__ = (
        "_attempts",
        "_outbox",
        "_report",
        "_reports",
        "_requests_by_number",
        "_retries",
        "_unrouted",
        "_waiting",
    )

    def __init__(
        self,
        *,
        attempts: OpenAttempts,
        outbox: RelayOutbox,
        reports: RequestReports,
        requests_by_number: MutableMapping[int, RelayRequest],
        retries: Retries,
        unrouted: UnroutedArrivals,
        waiting: WaitingRequests,
        report: Callable[[Exception, str], None] | None,
    ) -> None:
        self._attempts = attempts
        self._outbox = outbox
        self._report = report
        self._reports = reports
        self._requests_by_number = requests_by_number
        self._retries = retries
        self._unrouted = unrouted
        self._waiting = waiting

    def step(self) -> _Isolated:
        """Isolate a step that concerns no single request."""
        return _Isolated(handle=self._report and self._step_failed)

    def request(self, request: RelayRequest, *, now: float | None = None) -> _Isolated:
        """Isolate the handling of a request.

        Parameters
        ----------
        now : float or None
            None if the caller has closed its connection.
        """
        return _Isolated(
            handle=self._report and partial(self._request_failed, request, now)
        )

    def each(
        self,
        requests: Iterable[RelayRequest],
        handle: Callable[..., None],
        *,
        now: float,
    ) -> None:
        """Handle requests, each isolated; faster than a context manager for each.

        Parameters
        ----------
        handle : callable
            Handle a request, given it and the time.
        """
        for request in requests:
            try:
                handle(request, now=now)
            except Exception as error:
                if self._report is None:
                    raise
                self._request_failed(request, now, error)

    def arrival(self, number: int, *, request_id: str = "", now: float) -> _Isolated:
        """Isolate the handling of an arriving request."""
        return _Isolated(
            handle=self._report
            and partial(self._arrival_failed, number, request_id, now)
        )

    def attempt(self, attempt_id: str, *, now: float) -> _Isolated:
        """Isolate the handling of what an attempt has sent, or of its failure."""
        request = self._attempts.request_of(attempt_id)
        return self.step() if request is None else self.request(request, now=now)

    def _step_failed(self, error: Exception) -> None:
        self._report(error, "")

    def _request_failed(
        self, request: RelayRequest, now: float | None, error: Exception
    ) -> None:
        self._report(error, request.arrival.request_id)
        self._end(request, now=now)

    def _arrival_failed(
        self, number: int, request_id: str, now: float, error: Exception
    ) -> None:
        request = self._requests_by_number.get(number)
        if request is not None:
            self._request_failed(request, now, error)
            return
        self._report(error, request_id)
        self._unrouted.discard(number)
        self._refuse(number, request_id)

    # Ending a request

    def _end(self, request: RelayRequest, *, now: float | None) -> None:
        """End a request, in whatever state the exception has left it.

        Each part is isolated, since it may raise the same exception.
        """
        phase = request.phase
        request.phase = RequestPhase.ENDED
        self._requests_by_number.pop(request.number, None)
        with self.step():
            self._waiting.discard(request)
        with self.step():
            self._retries.release(request)
        self._cancel_attempts(request)
        if phase is RequestPhase.ENDED or now is None:
            return
        status = 0
        if phase is RequestPhase.STREAMING:
            self._outbox.abort(request.number)
        else:
            status = self._refuse(request.number, request.arrival.request_id)
        with self.step():
            self._reports.answered(request, status=status, now=now, reason=FAULT)

    def _cancel_attempts(self, request: RelayRequest) -> None:
        """Cancel all attempts; one that can't be cancelled doesn't spare the others."""
        while True:
            with self.step():
                self._attempts.cancel(request)
            request.attempt = None
            if not request.held_by_attempt:
                return
            request.resume_attempt(next(iter(request.held_by_attempt)))

    def _refuse(self, number: int, request_id: str) -> int:
        """Answer a caller that got nothing yet; return the status that it got."""
        refusal = RelayRefusal(request_id=request_id, status=FAULT_STATUS, reason=FAULT)
        with self.step():
            self._outbox.refuse(number, refusal)
            return FAULT_STATUS
        # Without a closed connection the caller would wait until its own timeout.
        self._outbox.abort(number)
        return 0


class _Isolated:
    """Hand an exception to a callable instead of raising it."""

    __slots__ = ("_handle",)

    def __init__(self, *, handle: Callable[[Exception], None] | None) -> None:
        self._handle = handle

    def __enter__(self) -> None:
        pass

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool:
        if self._handle is None or not isinstance(error, Exception):
            return False
        self._handle(error)
        return True
