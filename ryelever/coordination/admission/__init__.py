"""Decide which request is taken up next, and which is refused.

Shares of accounts, what requests will cost, and how much the fleet can bear.
"""

from .admission import Admission, Queued, Refused
from .capacity import GroupCapacity
from .fair import FairAdmission

__all__ = [
    "Admission",
    "FairAdmission",
    "GroupCapacity",
    "Queued",
    "Refused",
]
