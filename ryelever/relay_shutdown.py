"""Stop a relaying entry host without cutting off requests in flight."""

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

#: Seconds until the platform's balancer stops sending callers to this host after the
#: host has become unready: the balancer probes each second and reacts to two failed
#: probes, and callers take half a second to arrive.
BALANCER_REACTION_TIME = 2.8


class RelayShutdown(BaseComponent):
    """Shut the process down after a signal.

    First the host becomes unready but still accepts requests; its answers announce
    that the connection closes.  When the balancer has stopped sending callers, idle
    connections are closed, and new requests are refused unless their time limits end
    within the grace period.  When no request is in flight, the host stops listening,
    and the process ends once those that had arrived are answered, or when the grace
    period is over.  What is in flight then is answered as unfinished.

    Parameters
    ----------
    n_forwarded : callable
        Return the number of other hosts' requests that are being forwarded.
    """

    channel = "shutdown"

    def __init__(
        self,
        *,
        settings: RelaySettings,
        callers: RelayCallers,
        requests: RelayRequests,
        n_forwarded: Callable[[], int],
        stop: Callable[[], None],
        reload: Callable[[], None],
    ) -> None:
        super().__init__()
        self._settings = settings
        self._callers = callers
        self._requests = requests
        self._n_forwarded = n_forwarded
        self._stop = stop
        self._reload = reload
        self._stopping_since: float | None = None
        self._ends_at = float("inf")
        self._closed_idle = False

    @property
    def stopping(self) -> bool:
        """Return whether the process is shutting down."""
        return self._stopping_since is not None

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        # circuits itself handles only the signals to stop.
        signal.signal(signal.SIGHUP, self._fire_signal)

    def _fire_signal(self, signal_number: int, stack: object) -> None:
        self.fire(signal_caught(signal_number, stack), "*")

    @handler("signal", channel="*")
    def _on_signal(self, event: Event, signal_number: int, stack: object) -> None:
        event.stop()
        if signal_number == signal.SIGHUP:
            self._reload()
        elif signal_number in (signal.SIGINT, signal.SIGTERM) and not self.stopping:
            now = self._stopping_since = time.monotonic()
            self._ends_at = now + self._settings.grace - self._settings.last_bytes
            self._requests.grace_period.begin(
                refuses_from=now + BALANCER_REACTION_TIME, ends_at=self._ends_at
            )
            self._callers.draining = True
            log_event("stopping", in_flight=self._n_in_flight)

    @handler("control_tick")
    def _on_tick(self) -> None:
        if self._stopping_since is None:
            return
        now = time.monotonic()
        elapsed = now - self._stopping_since
        if elapsed > BALANCER_REACTION_TIME:
            self._close_idle()
        is_idle = not self._n_in_flight and not self._callers.n_busy
        out_of_time = now > self._ends_at
        if out_of_time or (is_idle and not self._callers.is_listening):
            self._log_cut_off()
            log_event("stopped", in_flight=self._n_in_flight, after=round(elapsed, 2))
            self._requests.end_all(now=now)
            self._stop()
        elif elapsed > BALANCER_REACTION_TIME and is_idle:
            # The requests on the last connections are read before the next tick.
            self._callers.stop_listening()

    def _log_cut_off(self) -> None:
        """Log the requests that the end of the process cuts off."""
        for request in self._requests.requests_by_number.values():
            sent_after = {}
            if request.n_sent:
                sent_after = {"sent_after": self._after(request.first_sent_at)}
            log_event(
                "cut_off",
                request=request.arrival.request_id,
                arrived_after=self._after(request.arrival.arrived_at),
                limit_after=self._after(request.times_out_at),
                n_sent=request.n_sent,
                n_events=request.n_events,
                **sent_after,
            )

    def _after(self, at: float) -> float:
        """Return the seconds from the signal to a monotonic time."""
        return round(at - self._stopping_since, 3)

    @property
    def _n_in_flight(self) -> int:
        return len(self._requests.requests_by_number) + self._n_forwarded()

    def _close_idle(self) -> None:
        n_closed = self._callers.close_idle()
        if not self._closed_idle:
            self._closed_idle = True
            log_event("idle_connections_closed", n=n_closed)
