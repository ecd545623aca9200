"""Bound the memory that the requests and answers of all callers take together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["CallerMemory", "MemoryUse"]

#: Bytes up to which a connection's use is small.
SMALL_USE = 64 * 1024

#: Share of the memory that the larger uses may take together: small requests are served
#: beside any number of large ones.
LARGE_SHARE = 0.75


class MemoryUse(msgspec.Struct, kw_only=True, eq=False):
    """Memory that one caller's connection takes, in bytes.

    Attributes
    ----------
    release : callable
        Refuse the request that is arriving, or close the connection whose answer isn't
        read, so that its memory is free.
    n_bytes : int
        Bytes of the request that arrives or is being answered, of those behind it and
        of the answer that the caller has not read.
    n_releasable : int
        Those that ``release`` would free: a request that is being answered stays.
    """

    release: Callable[[], None]
    n_bytes: int = 0
    n_releasable: int = 0


class CallerMemory:
    """Decide whose memory is released when all connections use too much together.

    The largest uses are released first: they are few, and callers whose requests are
    small don't notice.

    Parameters
    ----------
    limit : int
        Bytes for all connections together.

    Attributes
    ----------
    limit : int
        The same, or twice the largest request that is allowed if that is more: a single
        request is always served.
    n_bytes, n_large_bytes : int
        Bytes in use, and those of them in larger uses.
    n_released : int
        Number of connections whose memory was released.
    """

    def __init__(self, *, limit: int) -> None:
        self.limit = limit
        self.n_bytes = 0
        self.n_large_bytes = 0
        self.n_released = 0
        self._uses: set[MemoryUse] = set()

    def allow_request(self, n_bytes: int) -> None:
        """Record the length of the largest request that is allowed."""
        self.limit = max(self.limit, 2 * n_bytes)

    def update(self, use: MemoryUse, *, n_bytes: int, n_releasable: int) -> None:
        """Record what a connection uses, and release memory if all use too much."""
        grows = n_bytes > use.n_bytes
        self._replace(use, n_bytes)
        use.n_releasable = n_releasable
        while grows and self._is_exceeded:
            largest = max(self._uses, key=_releasable, default=None)
            if largest is None or not largest.n_releasable:
                return
            self.n_released += 1
            largest.release()
            self.forget(largest)

    def forget(self, use: MemoryUse) -> None:
        """Record that a connection uses nothing any more."""
        self._replace(use, 0)
        use.n_releasable = 0

    @property
    def _is_exceeded(self) -> bool:
        return (
            self.n_bytes > self.limit or self.n_large_bytes > LARGE_SHARE * self.limit
        )

    def _replace(self, use: MemoryUse, n_bytes: int) -> None:
        self.n_bytes += n_bytes - use.n_bytes
        self.n_large_bytes += _large(n_bytes) - _large(use.n_bytes)
        use.n_bytes = n_bytes
        if n_bytes:
            self._uses.add(use)
        else:
            self._uses.discard(use)


def _large(n_bytes: int) -> int:
    return n_bytes if n_bytes > SMALL_USE else 0


def _releasable(use: MemoryUse) -> int:
    return use.n_releasable
