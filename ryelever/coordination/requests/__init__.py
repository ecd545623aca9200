"""Manage requests of the entry host with the OpenAI interface until they end.

Once a request has been read and validated, only this package decides whether an error
may tell the caller that the request was not run (``not_run``).
"""

from .claims import OUTCOME_KEPT
from .idempotency import KEY_IN_FUTURE, check_key, mark_outcome_unknown
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
    "mark_outcome_unknown",
]
