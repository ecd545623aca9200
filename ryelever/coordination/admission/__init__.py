"""Decide which requests are admitted, queued or refused.

The decisions depend on the accounts' shares and limits, the expected cost of requests,
and the capacity of the backend servers.
"""

from .admission import Admission, Queued, Refused
from .capacity import GroupCapacity
from .fair_admission import FairAdmission

__all__ = [
    "Admission",
    "FairAdmission",
    "GroupCapacity",
    "Queued",
    "Refused",
]
