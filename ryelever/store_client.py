"""Send calls to the platform's store and follow its topics."""

from __future__ import annotations

import itertools
import time
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from circuits import BaseComponent, handler

from .errors import Category
from .events import (
    OutboundAnswer,
    OutboundFailure,
    OutboundRequest,
    outbound_cancel,
    outbound_send,
    store_returned,
)
from .logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from .coordination.topic import TopicFollower, TopicUpdates
    from .protocol.keyed_log import HttpRequest

__all__ = ["StoreAnswer", "StoreClient"]

#: Seconds to wait for the answer to an append.  An append takes some milliseconds, and
#: a lost append must not delay the next decision.
CALL_TIMEOUT = 1.0

#: Seconds from a first failure, without a good answer since, after which the store
#: counts as unreachable: the duration of three reads of the backend servers' records.
LOST_AFTER = 1.2

#: Seconds for a connection to the store to be established.
CONNECT_TIMEOUT = 0.6


class StoreAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """The answer to one call.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the call failed without an answer.
    era : int or None
        Era of the store in the answer's headers; None if they contain none.
    """

    status: int = 0
    body: bytes = b""
    era: int | None = None


class _FollowedTopic(msgspec.Struct, kw_only=True):
    """One followed topic and the callback for its updates."""

    follower: TopicFollower
    on_updates: Callable[[TopicUpdates], None]
    call_id: str = ""


class StoreClient(BaseComponent):
    """Send reads and appends to the store and dispatch their answers.

    Parameters
    ----------
    era_of : callable
        Return the era in the headers of an answer, or None.

    Attributes
    ----------
    forwarded_at : float
        Monotonic time at which another host last forwarded records that it had read.
    answered_at : float
        Monotonic time of the last answer with a status other than 429 and 503, or of
        the start.
    era : int
        Highest era of the store in any answer, heartbeat or forwarded update; 0 before
        the first.
    returned_at : float
        Monotonic time at which the era last rose, other than at the first answer.
    n_calls_by_step : Counter of str
        Number of calls so far, separately for reads and appends.
    """

    channel = "store"

    def __init__(
        self, *, address: str, era_of: Callable[[Mapping[str, str]], int | None]
    ) -> None:
        super().__init__()
        self._address = address
        self._era_of = era_of
        self.era = 0
        self._has_read = False
        self.returned_at = float("-inf")
        self._ids = itertools.count(1)
        self._followed_by_call: dict[str, _FollowedTopic] = {}
        self._callbacks_by_call: dict[str, Callable[[StoreAnswer], None]] = {}
        self._followed: list[_FollowedTopic] = []
        self._failing_since: float | None = 0.0
        self.forwarded_at = float("-inf")
        self.answered_at = time.monotonic()
        self.n_calls_by_step: Counter[str] = Counter()
        self._last_failure = ""
        self._reachable = False

    @property
    def is_reachable(self) -> bool:
        """Return whether the store answers this host's own calls.

        A single failure doesn't count: a connection from before an outage may fail
        long after the outage, and a host that gets records from other hosts makes few
        calls of its own.
        """
        if self._failing_since is None:
            return True
        return time.monotonic() - self._failing_since < LOST_AFTER

    def follow(
        self, follower: TopicFollower, on_updates: Callable[[TopicUpdates], None]
    ) -> None:
        """Start reading a topic, and call ``on_updates`` with its updates."""
        self._followed.append(_FollowedTopic(follower=follower, on_updates=on_updates))

    def unfollow(self, follower: TopicFollower) -> None:
        """Stop reading a topic."""
        self._followed = [
            item for item in self._followed if item.follower is not follower
        ]

    def call_now(self, follower: TopicFollower) -> None:
        """Send the call that is due for a topic without waiting for the next tick."""
        for followed in self._followed:
            if followed.follower is follower:
                self._send_due_call(followed, now=time.monotonic())

    def call(self, call: HttpRequest, on_answer: Callable[[StoreAnswer], None]) -> None:
        """Send one call, and pass its answer to ``on_answer``.

        If the call fails, ``on_answer`` gets an answer of status 0.
        """
        call_id = self._send(call, step="call_store", progress_timeout=CALL_TIMEOUT)
        self._callbacks_by_call[call_id] = on_answer

    def record_peer_update(self, *, now: float) -> None:
        """Record that another host has forwarded updates from the store."""
        self.forwarded_at = now

    def record_era(self, era: int, *, peer: str, now: float) -> None:
        """Record an era of the store; announce the store's return if the era rose.

        Parameters
        ----------
        peer : str
            Store address or entry host from which the era was received.
        """
        if era <= self.era:
            return
        # A store that has never returned from an older copy may send no era, or zero.
        has_returned = self.era > 0 or self._has_read
        log_event("store_era", era=era, former=self.era, peer=peer)
        self.era = era
        if has_returned:
            self.returned_at = now
            self.fire(store_returned(), "directory", "groups")

    @handler("control_tick")
    def _on_tick(self) -> None:
        now = time.monotonic()
        self._log_reachability()
        for followed in self._followed:
            self._send_due_call(followed, now=now)

    def _send_due_call(self, followed: _FollowedTopic, *, now: float) -> None:
        """Send the call that is due for a topic, if there is one."""
        call = followed.follower.next_call(now=now)
        if call is None:
            return
        timeout = followed.follower.answer_timeout
        if self._followed_by_call.pop(followed.call_id, None) is not None:
            self.fire(outbound_cancel(followed.call_id), "http_client")
        call_id = self._send(call, step="read_store", progress_timeout=timeout)
        followed.call_id = call_id
        self._followed_by_call[call_id] = followed

    def _send(self, call: HttpRequest, *, step: str, progress_timeout: float) -> str:
        call_id = f"store-{next(self._ids)}"
        self.n_calls_by_step[step] += 1
        request = OutboundRequest(
            id=call_id,
            address=self._address,
            method=call.method,
            path=call.path,
            body=call.body,
            reply_channel=self.channel,
            step=step,
            connect_timeout=CONNECT_TIMEOUT,
            progress_timeout=progress_timeout,
            # An append that may have been carried out must be searched for in the log
            # before it is repeated.
            resend_stale=not call.body,
        )
        self.fire(outbound_send(request), "http_client")
        return call_id

    @handler("outbound_answer")
    def _on_answer(self, answer: OutboundAnswer) -> None:
        now = time.monotonic()
        if answer.status in (429, 503):
            self._record_failure(f"answered {answer.status}", now=now)
        else:
            self._failing_since = None
            self.answered_at = now
        era = self._era_of(answer.headers)
        if era is not None:
            self.record_era(era, peer=self._address, now=now)
        self._has_read = self._has_read or answer.status == 200
        callback = self._callbacks_by_call.pop(answer.id, None)
        if callback is not None:
            callback(StoreAnswer(status=answer.status, body=answer.body, era=era))
        followed = self._followed_by_call.pop(answer.id, None)
        if followed is None or followed not in self._followed:
            return
        outcome = followed.follower.answered(
            answer.status, answer.body, era=era, now=now
        )
        if outcome.is_error():
            error = outcome.error
            log_event(
                "store_read_failed",
                topic=followed.follower.topic,
                step=error.step,
                peer=error.peer,
                message=error.message,
            )
            return
        followed.on_updates(outcome.ok)
        if followed.follower.is_listing:
            # At one page a tick, a list of twenty pages would take two seconds, in
            # which the host can't serve requests.
            self._send_due_call(followed, now=now)

    @handler("outbound_failed")
    def _on_failed(self, failure: OutboundFailure) -> None:
        now = time.monotonic()
        self._record_failure(failure.error.message, now=now)
        callback = self._callbacks_by_call.pop(failure.id, None)
        if callback is not None:
            callback(StoreAnswer())
        followed = self._followed_by_call.pop(failure.id, None)
        if followed is None:
            return
        followed.follower.failed(now=now)
        if failure.error.category is Category.TIMEOUT:
            self._reread_other_topics(followed, now=now)

    def _record_failure(self, why: str, *, now: float) -> None:
        self._last_failure = why
        if self._failing_since is None:
            self._failing_since = now

    def _reread_other_topics(self, silent: _FollowedTopic, *, now: float) -> None:
        """Read all other topics again when one topic's connection has gone silent.

        The same fault may have silenced the other connections, and their long reads
        would time out only seconds later.
        """
        for followed in self._followed:
            if followed is not silent:
                followed.follower.reread(now=now)

    def _log_reachability(self) -> None:
        reachable = self.is_reachable
        if reachable is not self._reachable:
            self._reachable = reachable
            name = "store_regained" if reachable else "store_lost"
            log_event(name, peer=self._address, why=self._last_failure)
            self._last_failure = ""
