"""Tell the incarnations of backend servers apart."""

from __future__ import annotations

__all__ = ["may_be_same_start"]


def may_be_same_start(first: int | None, second: int | None) -> bool:
    """Return whether two start times of a server may be of the same incarnation.

    Parameters
    ----------
    first, second : int or None
        Start times in Unix milliseconds by the server's own clock; None if unknown,
        which may be any start.
    """
    return None in (first, second) or first == second
