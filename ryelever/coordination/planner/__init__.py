"""Plan replica groups from the records of the log service.

One planner of an availability zone at a time holds the lease.  The holder folds the
log, checks the hosts' reports, and decides which groups are formed, repaired, replaced
or dissolved, and which hosts are released.
"""

from .placement_history import PlacementHistory
from .planner import Planner
from .view import ModelDemand, PlannerView

__all__ = [
    "ModelDemand",
    "Planner",
    "PlannerView",
    "PlacementHistory",
]
