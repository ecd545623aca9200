"""Shut an entry host down without cutting off a request in flight."""

from __future__ import annotations

import enum
import signal
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits import BaseComponent, Event, handler

from .events import drain, drained, end_requests
from .exit_codes import ExitCode
from .logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from .serving import Serving
    from .settings import Settings

__all__ = ["InFlight", "Phase", "Shutdown"]

#: Seconds after the deadline in which error events and outcomes can still be sent.
FLUSH_TIME = 2.0


class Phase(enum.Enum):
    """Phases of a graceful shutdown."""

    SERVING = "serving"
    GRACE = "grace"
    DRAINING = "draining"
    CLOSING = "closing"
    ENDING = "ending"
    STOPPED = "stopped"


#: Phases that end at the deadline or on a second signal.
ENDED_BY_DEADLINE = frozenset({Phase.GRACE, Phase.DRAINING, Phase.CLOSING})


@dataclass(slots=True, kw_only=True, frozen=True)
class InFlight:
    """Counts of the unfinished work of an entry host.

    Attributes
    ----------
    n_requests : int
        Requests that have not been answered completely.
    n_appends : int
        Claims and outcomes that have not been read back from the log.
    n_unsent : int
        Callers to whom the answer has not been sent completely.
    """

    n_requests: int
    n_appends: int
    n_unsent: int

    @property
    def is_empty(self) -> bool:
        """Return whether all work is finished."""
        return not (self.n_requests or self.n_appends or self.n_unsent)


class Shutdown(BaseComponent):
    """Shut the process down in phases after the first signal.

    First the host reports that it is not ready, but accepts requests until the
    balancer has stopped sending them.  Then it refuses new requests.  Once no request
    is in flight it stops listening, and the process ends when the last connection is
    closed.  A second signal, or the deadline, ends the remaining requests with errors.

    Parameters
    ----------
    in_flight : callable
        Return the counts of unfinished work.
    stop : callable
        Stop the process with an exit code.
    """

    channel = "shutdown"

    def __init__(
        self,
        *,
        settings: Settings,
        serving: Serving,
        in_flight: Callable[[], InFlight],
        stop: Callable[[int], None],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._serving = serving
        self._in_flight = in_flight
        self._stop = stop
        self._deadline = float("inf")
        self._grace_ends_at = float("inf")
        self._cut_off = False
        self.phase = Phase.SERVING

    @handler("signal", channel="*")
    def _on_signal(self, event: Event, signal_number: int, stack: object) -> None:
        if signal_number not in (signal.SIGINT, signal.SIGTERM):
            return
        event.stop()
        if self.phase is Phase.SERVING:
            self._start_drain()
        elif self.phase in ENDED_BY_DEADLINE:
            self._deadline = time.monotonic()

    def _start_drain(self) -> None:
        now = time.monotonic()
        self.phase = Phase.GRACE
        self._grace_ends_at = now + self._settings.drain_grace
        self._deadline = now + self._settings.drain_timeout
        self._serving.draining = True
        self._log("drain_started")
        # Components that hold a resource for the whole fleet, such as the planner's
        # lease, release it on this event.
        self.fire(drain(), "*")

    @handler("control_tick")
    def _on_control_tick(self) -> None:
        if self.phase is Phase.SERVING:
            return
        now = time.monotonic()
        in_flight = self._in_flight()
        if self.phase is Phase.GRACE and now >= self._grace_ends_at:
            self.phase = Phase.DRAINING
            self._serving.closed = True
            self._log("drain_closed")
        elif self.phase is Phase.DRAINING and in_flight.is_empty:
            self.phase = Phase.CLOSING
            self.fire(drained(), "callers")
        elif self.phase is Phase.CLOSING and in_flight.is_empty:
            self._finish()
        elif self.phase in ENDED_BY_DEADLINE and now >= self._deadline:
            self._end_requests(in_flight, now=now)
        elif self.phase is Phase.ENDING and (
            in_flight.is_empty or now >= self._deadline
        ):
            self._finish()

    def _end_requests(self, in_flight: InFlight, *, now: float) -> None:
        # In the closing phase only idle connections are left: no request is cut off.
        self._cut_off = self.phase is not Phase.CLOSING and not in_flight.is_empty
        self.phase = Phase.ENDING
        self._deadline = now + FLUSH_TIME
        self._log("drain_cut_off")
        self.fire(end_requests(), "serving")

    def _finish(self) -> None:
        self.phase = Phase.STOPPED
        self._log("stopped")
        self._stop(ExitCode.CUT_OFF if self._cut_off else ExitCode.OK)

    def _log(self, event: str) -> None:
        in_flight = self._in_flight()
        log_event(
            event,
            in_flight=in_flight.n_requests,
            appends=in_flight.n_appends,
            unsent=in_flight.n_unsent,
        )
