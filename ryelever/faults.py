"""Define the description of a fault in a settings file or configuration document."""

from __future__ import annotations

import msgspec

__all__ = ["Fault"]


class Fault(msgspec.Struct, kw_only=True, frozen=True):
    """One fault: its place, the expected value and how to correct it."""

    place: str
    expected: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.place}: expected {self.expected}; {self.remedy}"
