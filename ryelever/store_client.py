"""Call the platform's store and follow its topics."""

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
    from .protocol.keyed_log import LogCall

__all__ = ["StoreAnswer", "StoreClient"]

#: Seconds for the answer to an append: one takes some milliseconds, and one that is
#: lost may not hold up the next decision.
CALL_TIMEOUT = 1.0

#: Seconds of nothing but failures after which the store counts as lost: the time of
#: three reads of the backend servers' records.
LOST_AFTER = 1.2

#: Seconds for a connection to the store to be established.
CONNECT_TIMEOUT = 0.6


class StoreAnswer(msgspec.Struct, kw_only=True, frozen=True):
    """Hold the answer to one call.

    Attributes
    ----------
    status : int
        HTTP status; 0 where no answer came.
    era : int or None
        Era of the store that it bears; None where it bears none.
    """

    status: int = 0
    body: bytes = b""
    era: int | None = None


class _FollowedTopic(msgspec.Struct, kw_only=True):
    """Hold one topic that is followed, and who takes its news."""

    follower: TopicFollower
    take: Callable[[TopicUpdates], None]
    call_id: str = ""


class StoreClient(BaseComponent):
    """Own the calls to the store.

    Parameters
    ----------
    era_of : callable
        Return the era that the headers of an answer bear, or None.

    Attributes
    ----------
    forwarded_at : float
        Monotonic time at which another host passed on what it had read.
    answered_at : float
        Monotonic time of the last good answer, or of the start.
    era : int
        Highest era of the store that this host has seen or heard of; 0 before any.
    returned_at : float
        Monotonic time at which it rose, other than at the first answer.
    n_calls_by_step : Counter of str
        Calls so far: reads, and appends.
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
        self._why = ""
        self._reachable = False

    @property
    def is_reachable(self) -> bool:
        """Tell whether this host's own calls are answered.

        A single failure says little: a connection from before an outage may fail
        long after it.  And a host to which others pass on what they read makes few
        calls of its own.
        """
        if self._failing_since is None:
            return True
        return time.monotonic() - self._failing_since < LOST_AFTER

    def follow(
        self, follower: TopicFollower, take: Callable[[TopicUpdates], None]
    ) -> None:
        """Read a topic from now on, and hand on what it brings."""
        self._followed.append(_FollowedTopic(follower=follower, take=take))

    def unfollow(self, follower: TopicFollower) -> None:
        """Read a topic no more."""
        self._followed = [
            item for item in self._followed if item.follower is not follower
        ]

    def send_due_call(self, follower: TopicFollower) -> None:
        """Make the call that is due for a topic, before the next tick."""
        for followed in self._followed:
            if followed.follower is follower:
                self._ask(followed, now=time.monotonic())

    def call(self, call: LogCall, take: Callable[[StoreAnswer], None]) -> None:
        """Make one call; ``take`` gets the answer, of status 0 if there is none."""
        call_id = self._send(call, step="call_store", progress_timeout=CALL_TIMEOUT)
        self._callbacks_by_call[call_id] = take

    def heard(self, *, now: float) -> None:
        """Take word of the store by way of another host, which reaches it."""
        self.forwarded_at = now

    def record_era(self, era: int, *, peer: str, now: float) -> None:
        """Take an era of the store, from its answer or another host's word.

        Parameters
        ----------
        peer : str
            Who named it.
        """
        if era <= self.era:
            return
        # A store that never came back may bear no era, or zero.
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
            self._ask(followed, now=now)

    def _ask(self, followed: _FollowedTopic, *, now: float) -> None:
        """Make the call that is due for a topic, if there is one."""
        call = followed.follower.next_call(now=now)
        if call is None:
            return
        timeout = followed.follower.answer_timeout
        if self._followed_by_call.pop(followed.call_id, None) is not None:
            self.fire(outbound_cancel(followed.call_id), "http_client")
        call_id = self._send(call, step="read_store", progress_timeout=timeout)
        followed.call_id = call_id
        self._followed_by_call[call_id] = followed

    def _send(self, call: LogCall, *, step: str, progress_timeout: float) -> str:
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
            # An append that may have been carried out is looked for in the log
            # before it is made again.
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
        taker = self._callbacks_by_call.pop(answer.id, None)
        if taker is not None:
            taker(StoreAnswer(status=answer.status, body=answer.body, era=era))
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
        followed.take(outcome.ok)
        if followed.follower.is_listing:
            # Not at the next tick: a list of twenty pages would take two seconds of
            # ticks, in which the host serves nobody.
            self._ask(followed, now=now)

    @handler("outbound_failed")
    def _on_failed(self, failure: OutboundFailure) -> None:
        now = time.monotonic()
        self._record_failure(failure.error.message, now=now)
        taker = self._callbacks_by_call.pop(failure.id, None)
        if taker is not None:
            taker(StoreAnswer())
        followed = self._followed_by_call.pop(failure.id, None)
        if followed is None:
            return
        followed.follower.failed(now=now)
        if failure.error.category is Category.TIMEOUT:
            self._poke_other_topics(followed, now=now)

    def _record_failure(self, why: str, *, now: float) -> None:
        self._why = why
        if self._failing_since is None:
            self._failing_since = now

    def _poke_other_topics(self, silent: _FollowedTopic, *, now: float) -> None:
        """Ask anew on all topics when one connection has gone silent.

        What took that one may have taken others, and a long read would show it only
        seconds later.
        """
        for followed in self._followed:
            if followed is not silent:
                followed.follower.poke(now=now)

    def _log_reachability(self) -> None:
        reachable = self.is_reachable
        if reachable is not self._reachable:
            self._reachable = reachable
            name = "store_regained" if reachable else "store_lost"
            log_event(name, peer=self._address, why=self._why)
            self._why = ""
