"""Handle relayed requests from arrival to final answer.

Chooses the backend server for each request and decides when a request is retried, moved
to another server or abandoned.
"""

from .actions import RelayAttempt, RelayMeasures, RelayRefusal
from .balance import Balancer
from .crashes import CrashWatch
from .demand import DemandMeter, time_in_batch
from .forwarders import Forwarders
from .messages import (
    AnswerHead,
    Headers,
    NamedLimit,
    RelayArrival,
    RequestedPause,
)
from .requests import RelayRequests
from .retry_budget import RelayRetryBudget
from .server_paths import ServerPaths
from .stall_watch import StallWatch

__all__ = [
    "AnswerHead",
    "Balancer",
    "CrashWatch",
    "DemandMeter",
    "Forwarders",
    "Headers",
    "NamedLimit",
    "RelayArrival",
    "RelayAttempt",
    "RelayMeasures",
    "RelayRefusal",
    "RelayRequests",
    "RelayRetryBudget",
    "RequestedPause",
    "ServerPaths",
    "StallWatch",
    "time_in_batch",
]
