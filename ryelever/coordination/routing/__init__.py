"""Choose where an attempt goes, and whether there is another one.

Which hosts may run it, which are suspected, left, slow or full, and where a prompt's
prefix lies.
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
