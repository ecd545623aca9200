"""Form, maintain, repair and disband the replica groups of an availability zone.

Records in the store define the groups that exist; orders to backend servers put them
into effect.
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
