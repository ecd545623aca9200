"""Name the exit codes of all commands; docs/OPERATIONS.md explains them."""

from __future__ import annotations

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """Say how a command ended.

    ``CUT_OFF``: an entry host stopped with requests cut off at its deadline.
    ``UNREACHABLE``: the entry host that was asked did not answer.
    """

    OK = 0
    FAILED = 1
    FAULTY_INPUT = 2
    CUT_OFF = 3
    UNREACHABLE = 4
