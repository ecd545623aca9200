"""Stop a relaying entry host without cutting off a request in flight."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

from circuits import BaseComponent, Event, handler
from circuits.core.events import signal as signal_caught

from .logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from .coordination.relaying import RelayRequests
    from .relay_settings import RelaySettings
    from .transport.relay_callers import RelayCallers

__all__ = ["RelayShutdown"]

#: Seconds that a stream takes at the most, but for one in a hundred.  What comes so
#: near to the end of the grace would be cut off.
LONGEST_STREAM = 3.0

#: Seconds for the balancer to see that this host isn't ready: it asks each second
#: and turns away after two misses, and callers take half a second to come.
TURNING_AWAY = 2.8


class RelayShutdown(BaseComponent):
    """Take the process from the signal to its end.

    First the host stops being ready and still takes what comes; answers say that the
    connection closes.  When the balancer has turned away, idle connections are
    closed, and what still comes is refused if it couldn't be finished.  Once nothing
    is in flight, or the grace is over, the process ends.
    """

    channel = "shutdown"

    def __init__(
        self,
        *,
        settings: RelaySettings,
        callers: RelayCallers,
        requests: RelayRequests,
        stop: Callable[[], None],
        reload: Callable[[], None],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._callers = callers
        self._requests = requests
        self._stop = stop
        self._reload = reload
        self._since: float | None = None
        self._closed_idle = False

    @property
    def stopping(self) -> bool:
        """Tell whether the process is on its way to its end."""
        return self._since is not None

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        # circuits itself takes the signals to stop, and no others.
        signal.signal(signal.SIGHUP, self._take_signal)

    def _take_signal(self, signal_number: int, stack: object) -> None:
        self.fire(signal_caught(signal_number, stack), "*")

    @handler("signal", channel="*")
    def _on_signal(self, event: Event, signal_number: int, stack: object) -> None:
        event.stop()
        if signal_number == signal.SIGHUP:
            self._reload()
        elif signal_number in (signal.SIGINT, signal.SIGTERM) and not self.stopping:
            self._since = time.monotonic()
            self._callers.draining = True
            log_event("stopping", in_flight=self._n_in_flight)

    @handler("control_tick")
    def _on_tick(self) -> None:
        if self._since is None:
            return
        passed = time.monotonic() - self._since
        if passed > TURNING_AWAY:
            self._turn_away(passed)
        quiet = not self._n_in_flight and not self._callers.n_busy
        out_of_time = passed > self._settings.grace - self._settings.last_bytes
        if out_of_time or (passed > TURNING_AWAY and quiet):
            log_event("stopped", in_flight=self._n_in_flight, after=round(passed, 2))
            self._stop()

    @property
    def _n_in_flight(self) -> int:
        return len(self._requests.requests_by_number)

    def _turn_away(self, passed: float) -> None:
        """Close what idles, and refuse what can't be finished any more."""
        n_closed = self._callers.close_idle()
        if not self._closed_idle:
            self._closed_idle = True
            log_event("idle_connections_closed", n=n_closed)
        left = self._settings.grace - self._settings.last_bytes - passed
        self._requests.refuses_new = left < LONGEST_STREAM
