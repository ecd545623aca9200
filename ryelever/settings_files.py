"""Read the files that a command names, and say what is wrong with them."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from .faults import Fault
    from .settings import Settings

__all__ = ["checked_settings", "print_faults", "read_text"]


def read_text(path: Path) -> str | None:
    """Return a file's text, or None after saying why it can't be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: cannot read: {error}", file=sys.stderr)
        return None


def checked_settings(path: Path, text: str) -> Settings | None:
    """Return settings in JSON, or None after naming every fault."""
    # A host with the platform's settings reads no JSON with comments, and the parser
    # takes a hundredth of its start.
    from .settings_reader import read_settings

    checked = read_settings(text)
    if checked.is_ok():
        return checked.ok
    print_faults(path, checked.error)
    return None


def print_faults(path: Path, faults: list[Fault]) -> None:
    """Name every fault of a file, a line each."""
    for fault in faults:
        print(f"{path}: {fault}", file=sys.stderr)
