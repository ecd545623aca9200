"""Extract the time of issue from an idempotency key."""

from __future__ import annotations

import re

__all__ = ["MAX_KEY_LENGTH", "issued_at"]

#: Maximum length of a key, in characters.
MAX_KEY_LENGTH = 128

#: UUID version 7, RFC 9562 section 5.7: the first 48 bits are Unix milliseconds.
_UUID7 = re.compile(
    r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}",
    re.IGNORECASE,
)

#: Unix milliseconds, a hyphen and any text; 13 digits cover the years 2001 to 2286.
_PREFIXED = re.compile(r"([1-9][0-9]{12})-.+", re.DOTALL)


def issued_at(key: str) -> float | None:
    """Return a key's time of issue in seconds since the epoch.

    Returns None if the key contains no time of issue or is too long.
    """
    if len(key) > MAX_KEY_LENGTH:
        return None
    match = _UUID7.fullmatch(key)
    if match is not None:
        return int(match[1] + match[2], 16) / 1000
    match = _PREFIXED.fullmatch(key)
    return int(match[1]) / 1000 if match is not None else None
