"""Expect the failures that KNOWN-RED.txt lists, and print them.

Each line of the file names a test, a cause and an issue, separated by commas.  A listed
test still runs, and fails the run if it passes: its line must then be removed.  A line
that names no existing test fails the run as well, because it would hide that its test
was renamed or lost.  A cause that begins with "intermittent: " describes a fault that
occurs in some runs only; such a test may pass.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

__all__ = ["KNOWN_RED", "KnownRed", "mark_known_red", "read_known_red"]

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"

#: Maximum number of listed tests; with more, some must be repaired before any merge.
MAX_KNOWN_RED = 3

#: Prefix of the cause of a fault that occurs in some runs only.
INTERMITTENT = "intermittent: "


@dataclass(slots=True, kw_only=True, frozen=True)
class KnownRed:
    """One line of the list of known failures.

    Attributes
    ----------
    test : str
        Node id as pytest prints it.
    reason : str
        Cause and issue, separated by a comma.
    """

    test: str
    reason: str

    @property
    def is_intermittent(self) -> bool:
        """Return whether the fault occurs in some runs only."""
        return self.reason.startswith(INTERMITTENT)


def read_known_red(path: Path) -> list[KnownRed]:
    """Return the lines of the list; none if the file does not exist.

    Raises
    ------
    pytest.UsageError
        If the file has more than three lines, or a line without a cause or an issue.
    """
    text = path.read_text() if path.exists() else ""
    known = [_known_red(line) for line in text.splitlines() if line.strip()]
    if len(known) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"{path.name} has more than {MAX_KNOWN_RED} lines")
    return known


def mark_known_red(
    items: list[pytest.Item], *, whole_files: bool, path: Path = KNOWN_RED
) -> None:
    """Mark the listed tests as expected to fail.

    Parameters
    ----------
    whole_files : bool
        Whether complete files were collected, so that each listed test of a collected
        file must exist.

    Raises
    ------
    pytest.UsageError
        If a listed test of a complete file does not exist.
    """
    items_by_test = {item.nodeid: item for item in items}
    files = {test.partition("::")[0] for test in items_by_test}
    for known in read_known_red(path):
        item = items_by_test.get(known.test)
        if item is not None:
            strict = not known.is_intermittent
            marker = pytest.mark.xfail(reason=known.reason, strict=strict)
            item.add_marker(marker)
        elif whole_files and known.test.partition("::")[0] in files:
            raise pytest.UsageError(f"{path.name}: there is no test {known.test}")


def _known_red(line: str) -> KnownRed:
    test, _, reason = line.partition(", ")
    if ", " not in reason:
        raise pytest.UsageError(
            f"{KNOWN_RED.name}: line without a cause or an issue: {line}"
        )
    return KnownRed(test=test.strip(), reason=reason.strip())
