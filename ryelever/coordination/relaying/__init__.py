"""Take relayed requests to their final answer.

Which backend server gets them, when they are repeated, moved or given up.
"""

from .actions import RelayAttempt, RelayMeasures, RelayRefusal
from .balance import Balancer
from .crashes import CrashWatch
from .demand import DemandMeter, time_in_batch
from .messages import AnswerHead, Headers, NamedLimit, RelayArrival
from .repeat_budget import RepeatBudget
from .requests import RelayRequests
from .stall_watch import StallWatch

__all__ = [
    "AnswerHead",
    "Balancer",
    "CrashWatch",
    "DemandMeter",
    "Headers",
    "NamedLimit",
    "RelayArrival",
    "RelayAttempt",
    "RelayMeasures",
    "RelayRefusal",
    "RelayRequests",
    "RepeatBudget",
    "StallWatch",
    "time_in_batch",
]
