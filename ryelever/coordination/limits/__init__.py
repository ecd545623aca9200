"""Bound what each client account asks for, over all entry hosts.

Each host grants its own part and borrows from what others don't use.
"""

from .limits import AccountLimits
from .peers import HEARTBEAT
from .view import FullLimits, LimitsView

__all__ = [
    "AccountLimits",
    "HEARTBEAT",
    "LimitsView",
    "FullLimits",
]
