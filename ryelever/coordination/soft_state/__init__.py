"""Exchange observations between entry hosts over UDP.

The state is soft: any of it may be lost at any time, so nothing that must be durable
is sent this way.
"""

from .exchange import Received, SoftStateExchange
from .messages import (
    AliveRow,
    Have,
    Member,
    Message,
    Piece,
    SoftRow,
    Step,
    TableUpdate,
    Update,
    Want,
    WithdrawnRow,
)
from .soft_state import (
    AgedObservationSource,
    ObservationSink,
    ObservationSource,
    UrgentSource,
)
from .tables import ALIVE_SLOT

__all__ = [
    "ALIVE_SLOT",
    "AgedObservationSource",
    "AliveRow",
    "WithdrawnRow",
    "Have",
    "Member",
    "Message",
    "ObservationSink",
    "ObservationSource",
    "Piece",
    "Received",
    "SoftRow",
    "SoftStateExchange",
    "Step",
    "TableUpdate",
    "Update",
    "UrgentSource",
    "Want",
]
