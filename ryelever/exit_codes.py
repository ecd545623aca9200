"""Define the exit codes of all commands; docs/OPERATIONS.md explains them."""

from __future__ import annotations

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """How a command ended, as the exit code of the process.

    ``CUT_OFF``: an entry host stopped after cutting off requests at its deadline.
    ``UNREACHABLE``: the entry host at the given address did not answer.
    """

    OK = 0
    FAILED = 1
    FAULTY_INPUT = 2
    CUT_OFF = 3
    UNREACHABLE = 4
