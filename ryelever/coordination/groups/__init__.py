"""Form, keep, mend and end the replica groups of an availability zone.

Records in the store say which groups there are; orders carry them out.
"""

from .order_queue import OrderQueue
from .orders import GroupOrder, OrderKind, OrderOutcome
from .records import GroupRecord, Member
from .zone_planner import AppendGroups, ZonePlanner

__all__ = [
    "AppendGroups",
    "GroupOrder",
    "GroupRecord",
    "Member",
    "OrderKind",
    "OrderOutcome",
    "OrderQueue",
    "ZonePlanner",
]
