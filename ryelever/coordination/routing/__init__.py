"""Choose the backend server of each attempt, and decide whether to retry.

A choice considers which backend servers may serve, are leaving, lag, are loaded or
run suspects of a crash, and which have probably cached the prompt's prefix.
"""

from .candidates import Candidate, CandidateSet
from .departures import Departures
from .feedback import AttemptFeedback, NoFeedback, RoutingFeedback
from .load import LoadView
from .retry import RetryBudget, RetryPolicy
from .routing import AffinityRouter, Router
from .stragglers import Stragglers
from .targets import Targets

__all__ = [
    "AffinityRouter",
    "AttemptFeedback",
    "Candidate",
    "CandidateSet",
    "Departures",
    "LoadView",
    "NoFeedback",
    "RetryBudget",
    "RetryPolicy",
    "Router",
    "RoutingFeedback",
    "Stragglers",
    "Targets",
]
