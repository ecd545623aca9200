"""Look up who may run a non-repeatable request."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...state.idempotency_key import issued_at
from .idempotency import judge_owner

if TYPE_CHECKING:
    from ...state.claims import ClaimsFold, ClaimState

__all__ = ["Claims"]


class Claims:
    """Answer the request table's questions about claims.

    The claims are spread over several streams by a hash of their key.  Today each
    entry host follows all of them.  With hundreds, a host would follow a few and
    hand a non-repeatable request on to a peer that follows its key's stream.

    Parameters
    ----------
    owner : str
        Name of this entry host together with its boot id.
    stream : str
        Name under which the request table appends; the key picks the partition.
    folds_by_stream : dict of str to ClaimsFold
        The partitions that this host follows.
    stream_of : callable
        Return the partition of a claim's key.
    max_lag : float
        Seconds without having reached a stream's end after which the log counts
        as down.
    """

    def __init__(
        self,
        *,
        owner: str,
        stream: str,
        folds_by_stream: dict[str, ClaimsFold],
        stream_of: Callable[[str], str],
        max_lag: float,
    ) -> None:
        self.owner = owner
        self.stream = stream
        self.folds_by_stream = folds_by_stream
        self.stream_of = stream_of
        self._max_lag = max_lag
        self._wall_offset = 0.0
        self._caught_up_at = dict.fromkeys(folds_by_stream, float("-inf"))

    def caught_up(self, stream: str, *, at: float) -> None:
        """Take note that a read asked at a time reached a stream's end."""
        self._caught_up_at[stream] = max(self._caught_up_at[stream], at)

    def observe_wall(self, wall: float, *, now: float) -> None:
        """Take the wall-clock time, in seconds since the epoch."""
        self._wall_offset = wall - now

    def log_time(self) -> float:
        """Return the newest time of append read in any partition."""
        return max(fold.log_time for fold in self.folds_by_stream.values())

    def available(self, *, now: float) -> bool:
        """Tell whether all partitions are known whole and up to their end.

        A partition with records missing counts as down: a key that looks free in
        it may have been claimed, and would run a second time.
        """
        return all(
            now - self._caught_up_at[stream] <= self._max_lag and fold.complete
            for stream, fold in self.folds_by_stream.items()
        )

    def knows(self, key: str, *, since: float) -> bool:
        """Tell whether every claim of a key made before a time was read.

        The read must have been asked after that time: what another entry host has
        claimed in between is in the log and not here.  A claim that was forgotten
        with its window must not pass for none.
        """
        stream = self.stream_of(key)
        fold = self.folds_by_stream[stream]
        issued = issued_at(key.partition("/")[2])
        return (
            fold.complete
            and self._caught_up_at[stream] > since
            and issued is not None
            and fold.log_time - issued <= fold.window
        )

    def lookup(self, key: str) -> ClaimState | None:
        """Return the first claim of a key as a resend is to see it."""
        stream = self.stream_of(key)
        fold = self.folds_by_stream[stream]
        claim = fold.claims_by_key.get(key)
        if claim is None:
            return None
        caught_up_at = self._caught_up_at[stream] + self._wall_offset
        return judge_owner(claim, read_until=max(fold.log_time, caught_up_at))
