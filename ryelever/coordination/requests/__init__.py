"""Take requests of the product's own interface to their final answer.

Only here is it said that a request was not run.
"""

from .claims import OUTCOME_KEPT
from .idempotency import KEY_IN_FUTURE, check_key, doubt
from .keyed_claims import Claims
from .requests import RequestTable
from .state import RequestState, Timeouts

__all__ = [
    "Claims",
    "KEY_IN_FUTURE",
    "OUTCOME_KEPT",
    "RequestState",
    "RequestTable",
    "Timeouts",
    "check_key",
    "doubt",
]
