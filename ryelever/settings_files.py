"""Read the input files of a command and print their faults."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from .faults import Fault
    from .settings import Settings

__all__ = ["load_settings", "print_faults", "read_text"]


def read_text(path: Path) -> str | None:
    """Return a file's text, or None after printing why it can't be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{path}: cannot read: {error}", file=sys.stderr)
        return None


def load_settings(path: Path, text: str) -> Settings | None:
    """Return the settings read from JSON, or None after printing every fault."""
    # The import is here because a host with the platform's settings does not need the
    # parser of JSON with comments, whose import takes a hundredth of its start.
    from .settings_reader import read_settings

    checked = read_settings(text)
    if checked.is_ok():
        return checked.ok
    print_faults(path, checked.error)
    return None


def print_faults(path: Path, faults: list[Fault]) -> None:
    """Print the faults of a file, one per line."""
    for fault in faults:
        print(f"{path}: {fault}", file=sys.stderr)
