"""Send requests of silent servers to other servers as well.

The silent attempt is held open until another one has sent something, since its server
may only be paused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .open_attempts import OVERTAKEN, PATH_LOST

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .balance import Balancer
    from .crashes import CrashWatch
    from .fault_isolation import FaultIsolation
    from .forwarders import Forwarders
    from .open_attempts import OpenAttempts
    from .reports import RequestReports
    from .request import RelayRequest
    from .retries import Retries
    from .server_paths import ServerPaths
    from .stall_watch import StallWatch

__all__ = ["Moves"]

#: Seconds without the head of an answer after which it is checked whether this host
#: still reaches the server.  Answers that take as long are rare.
ANSWER_SILENCE = 0.6

#: Seconds without an event or answer after which an attempt is moved when the path to
#: its server turns out to be lost.  Open connections may have survived.
LOST_PATH_SILENCE = 0.25


class Moves:
    """Move requests to other servers while theirs are silent or out of reach.

    Parameters
    ----------
    dispatch : callable
        Send a request to a server with a free slot, given the time; return whether
        there was one.
    """

    __slots__ = (
        "_attempts",
        "_balancer",
        "_crashes",
        "_dispatch",
        "_faults",
        "_forwarders",
        "_paths",
        "_reports",
        "_retries",
        "_stall_watch",
    )

    def __init__(
        self,
        *,
        attempts: OpenAttempts,
        balancer: Balancer,
        crashes: CrashWatch,
        faults: FaultIsolation,
        forwarders: Forwarders,
        paths: ServerPaths,
        reports: RequestReports,
        retries: Retries,
        stall_watch: StallWatch,
        dispatch: Callable[..., bool],
    ) -> None:
        self._attempts = attempts
        self._balancer = balancer
        self._crashes = crashes
        self._faults = faults
        self._forwarders = forwarders
        self._paths = paths
        self._reports = reports
        self._retries = retries
        self._stall_watch = stall_watch
        self._dispatch = dispatch

    def move_stalled(self, *, now: float) -> None:
        """Move the streams of stalled groups to other groups where possible.

        Streams that can't be moved yet are tried again with each call.
        """
        for server_id in self._stall_watch.newly_stalled(now=now):
            self._mark_stalled(server_id, now=now)
        stalled = self._stall_watch.stalled()
        if stalled:
            for request in self._attempts.streams_at(stalled):
                with self._faults.request(request, now=now):
                    self.move(request, "still", now=now)

    def move_overtaken(self, *, now: float) -> None:
        """Send overtaken streams to other servers as well where possible.

        Streams that can't be sent yet are tried again with each call.
        """
        for request in self._attempts.overtaken(now=now):
            with self._faults.request(request, now=now):
                self.move(request, OVERTAKEN, now=now)

    def _mark_stalled(self, server_id: str, *, now: float) -> None:
        self._reports.group_stalled(server_id)
        self._balancer.mark_stalled(server_id, now=now)
        self._paths.stalled(server_id, now=now)
        hears_nothing = self._paths.hears_nothing(server_id, now=now)
        for request in self._attempts.streams_at({server_id}):
            if request.attempt.forwarder:
                # The host that forwards may be the one that is silent.
                self._forwarders.failed(request.attempt.forwarder, now=now)
            request.prefers_forwarder |= hears_nothing

    def check_path(self, request: RelayRequest, *, now: float) -> None:
        """Check once whether this host reaches the server of a silent attempt.

        A request whose path was lost while no other server had room is moved now.
        Streams are moved once their group counts as stalled.
        """
        if not _is_silent(request, now=now):
            return
        if request.prefers_forwarder and self._is_stuck(request, now=now):
            self.move(request, PATH_LOST, now=now)
            return
        if request.is_checked:
            return
        server_id = request.attempt.server_id
        if self._paths.hears_nothing(server_id, now=now):
            request.is_checked = True
            self._paths.stalled(server_id, now=now)

    def path_lost(
        self, server_id: str, requests: Iterable[RelayRequest], *, now: float
    ) -> None:
        """Use a server by way of other hosts after the path to it was lost.

        Requests that wait for an answer of this server, or of others that are out of
        reach as well, are sent again by way of other hosts if they may be.
        """
        self._balancer.clear_failures(server_id)
        for request in requests:
            if server_id in request.unreached:
                request.unreached.discard(server_id)
                request.tried.discard(server_id)
            with self._faults.request(request, now=now):
                if self._is_stuck(request, now=now):
                    request.prefers_forwarder = True
                    self.move(request, PATH_LOST, now=now)

    def _is_stuck(self, request: RelayRequest, *, now: float) -> bool:
        """Return whether a direct attempt at a server out of reach is silent."""
        attempt = request.attempt
        if attempt is None or attempt.forwarder:
            return False
        silent_since = max(request.sent_at, request.last_event_at)
        return (
            now - silent_since > LOST_PATH_SILENCE
            and (request.is_stream or request.head is None)
            and self._paths.is_out_of_reach(attempt.server_id)
        )

    def move(
        self,
        request: RelayRequest,
        reason: str,
        *,
        has_ended: bool = False,
        now: float,
    ) -> bool:
        """Send a request to another server if possible; return whether it was.

        Parameters
        ----------
        has_ended : bool
            True if the current attempt has been answered; otherwise it is held.
        """
        if not request.route.repeatable:
            return False
        if self._retries.is_blocked(request, now=now):
            return False
        if self._crashes.awaits_verdict(request, now=now):
            return False
        elsewhere = self._balancer.choose(
            request.service, request.arrival.model, excluded=request.tried, now=now
        )
        if elsewhere is None or not self._retries.allows(request, now=now):
            return False
        server_id = request.attempt.server_id
        if has_ended:
            request.may_have_run = True
            self._attempts.cancel(request)
            self._reports.attempt_failed(request, server_id, reason, may_have_run=True)
        else:
            self._attempts.hold(request, reason)
        return self._dispatch(request, now=now)


def _is_silent(request: RelayRequest, *, now: float) -> bool:
    """Return whether a direct attempt has had no answer for unusually long."""
    return (
        request.attempt is not None
        and not request.is_stream
        and request.head is None
        and not request.attempt.forwarder
        and now - request.sent_at > ANSWER_SILENCE
    )
