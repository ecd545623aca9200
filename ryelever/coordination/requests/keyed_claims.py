"""Look up claims of non-repeatable requests in the partitions of the log."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...state.idempotency_key import issued_at
from .idempotency import apply_owner_timeout

if TYPE_CHECKING:
    from ...state.claims import ClaimsFold, ClaimState

__all__ = ["Claims"]


class Claims:
    """Look up claims that are partitioned over several streams by a hash of their key.

    Each entry host follows all partitions.  With hundreds of partitions, a host would
    follow a few and forward a non-repeatable request to a peer that follows the
    partition of its key.

    Parameters
    ----------
    owner : str
        Name of this entry host together with its boot id.
    stream : str
        Stream name in the request table's appends; the key selects the partition.
    folds_by_stream : dict of str to ClaimsFold
        Claims of each partition that this host follows.
    stream_of : callable
        Return the name of the partition that a claim's key belongs to.
    max_lag : float
        Seconds since a read last reached a stream's end after which the log counts
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

    def record_caught_up(self, stream: str, *, at: float) -> None:
        """Record that a read sent at monotonic time ``at`` reached a stream's end."""
        self._caught_up_at[stream] = max(self._caught_up_at[stream], at)

    def set_wall_clock(self, wall: float, *, now: float) -> None:
        """Set the wall-clock time, in seconds since the epoch, at ``now``."""
        self._wall_offset = wall - now

    def log_time(self) -> float:
        """Return the latest append time read from any partition."""
        return max(fold.log_time for fold in self.folds_by_stream.values())

    def available(self, *, now: float) -> bool:
        """Return whether all partitions are read completely and up to their end.

        A partition with missing records counts as down: a key that looks unclaimed
        there may have been claimed, and its request would run a second time.
        """
        return all(
            now - self._caught_up_at[stream] <= self._max_lag and fold.complete
            for stream, fold in self.folds_by_stream.items()
        )

    def has_all_claims(self, key: str, *, since: float) -> bool:
        """Return whether every claim of a key made before ``since`` was read.

        The read must have been sent after ``since``: an earlier read may have missed
        a claim of another entry host.  If the key is older than the claim window, a
        claim of it may have been forgotten, and the result is False.
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
        """Return the first claim of a key, or None if the key is not claimed.

        The outcome of the claim is unknown once its owner has timed out.
        """
        stream = self.stream_of(key)
        fold = self.folds_by_stream[stream]
        claim = fold.claims_by_key.get(key)
        if claim is None:
            return None
        caught_up_at = self._caught_up_at[stream] + self._wall_offset
        return apply_owner_timeout(claim, read_until=max(fold.log_time, caught_up_at))
