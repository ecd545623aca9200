"""Spread the times at which refused callers retry."""

from __future__ import annotations

import zlib

__all__ = ["retry_spread"]


def retry_spread(request_id: str) -> float:
    """Return a factor of 1 to 2 for a caller's retry time, from the request's id.

    Without the spread, callers that are refused at the same time and get the same
    retry time would also retry at the same time.
    """
    return 1.0 + zlib.crc32(request_id.encode()) / 2**32
