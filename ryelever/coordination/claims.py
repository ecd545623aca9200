"""Look up who may run a non-repeatable request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..state.claims import ClaimsFold, ClaimState

__all__ = ["Claims"]


class Claims:
    """Answer the request table's questions about claims.

    Parameters
    ----------
    owner : str
        Name of this entry host together with its boot id.
    stream : str
        The stream that holds the claims.
    max_lag : float
        Seconds without having reached the stream's end after which the log counts
        as down.
    """

    def __init__(
        self, *, owner: str, stream: str, fold: ClaimsFold, max_lag: float
    ) -> None:
        self.owner = owner
        self.stream = stream
        self.fold = fold
        self._max_lag = max_lag
        self._caught_up_at = float("-inf")

    def caught_up(self, *, at: float) -> None:
        """Take note that a read asked at a time reached the stream's end."""
        self._caught_up_at = max(self._caught_up_at, at)

    def available(self, *, now: float) -> bool:
        """Tell whether the claims stream was read to its end lately."""
        return now - self._caught_up_at <= self._max_lag

    def lookup(self, key: str) -> ClaimState | None:
        """Return the first claim of a key."""
        return self.fold.claims_by_key.get(key)
