"""Plan which hosts make up which groups, on the product's own log.

One planner at a time holds the lease; it folds the log, looks at the fleet and decides
what is formed, repaired, released and taken over.
"""

from .planner import Planner
from .repairs import Repairs
from .view import ModelDemand, PlannerView

__all__ = [
    "ModelDemand",
    "Planner",
    "PlannerView",
    "Repairs",
]
