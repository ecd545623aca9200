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

#: Seconds for error events and outcomes to leave after the deadline.
LAST_WORDS = 2.0


class Phase(enum.Enum):
    """Name the steps of a graceful shutdown."""

    SERVING = "serving"
    GRACE = "grace"
    DRAINING = "draining"
    CLOSING = "closing"
    ENDING = "ending"
    STOPPED = "stopped"


#: Steps that a second signal, or the deadline, ends.
ENDED_BY_DEADLINE = frozenset({Phase.GRACE, Phase.DRAINING, Phase.CLOSING})


@dataclass(slots=True, kw_only=True, frozen=True)
class InFlight:
    """Count what is not finished.

    Attributes
    ----------
    n_requests : int
        Requests without their final answer.
    n_appends : int
        Claims and outcomes that were not read back from the log.
    n_unsent : int
        Callers whose answer has not left whole.
    """

    n_requests: int
    n_appends: int
    n_unsent: int

    @property
    def nothing(self) -> bool:
        """Tell whether all is finished."""
        return not (self.n_requests or self.n_appends or self.n_unsent)


class Shutdown(BaseComponent):
    """Take the process from the first signal to its end.

    First the host stops being ready, and still takes requests until the balancer
    has turned away.  Then it takes no new ones.  When nothing is in flight it
    listens no more, and stops when the last connection is closed.  A second signal,
    or the deadline, ends what is left with errors.

    Parameters
    ----------
    in_flight : callable
        Count what is not finished.
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
            self._begin()
        elif self.phase in ENDED_BY_DEADLINE:
            self._deadline = time.monotonic()

    def _begin(self) -> None:
        now = time.monotonic()
        self.phase = Phase.GRACE
        self._grace_ends_at = now + self._settings.drain_grace
        self._deadline = now + self._settings.drain_timeout
        self._serving.draining = True
        self._log("drain_started")
        # Whoever holds something for the whole fleet, such as the planner's lease,
        # gives it up now.
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
        elif self.phase is Phase.DRAINING and in_flight.nothing:
            self.phase = Phase.CLOSING
            self.fire(drained(), "callers")
        elif self.phase is Phase.CLOSING and in_flight.nothing:
            self._end()
        elif self.phase in ENDED_BY_DEADLINE and now >= self._deadline:
            self._end_requests(in_flight, now=now)
        elif self.phase is Phase.ENDING and (
            in_flight.nothing or now >= self._deadline
        ):
            self._end()

    def _end_requests(self, in_flight: InFlight, *, now: float) -> None:
        # A connection that merely idles is no request that is cut off.
        self._cut_off = self.phase is not Phase.CLOSING and not in_flight.nothing
        self.phase = Phase.ENDING
        self._deadline = now + LAST_WORDS
        self._log("drain_cut_off")
        self.fire(end_requests(), "serving")

    def _end(self) -> None:
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
