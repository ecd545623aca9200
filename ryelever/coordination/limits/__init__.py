"""Enforce each client account's limits over all entry hosts.

Each host grants its own share and borrows from shares that other hosts don't use.
"""

from .limits import AccountLimits
from .peers import LIVENESS_ACCOUNT
from .view import FullLimits, LimitsView

__all__ = [
    "AccountLimits",
    "LIVENESS_ACCOUNT",
    "LimitsView",
    "FullLimits",
]
