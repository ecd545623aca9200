"""Define the orders that are sent to backend servers and their outcomes."""

from __future__ import annotations

import enum

import msgspec

__all__ = ["GroupOrder", "OrderKind", "OrderOutcome"]


class OrderKind(enum.Enum):
    """Enumerate the operations that an order requests of a backend server."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"
    #: Checks that the server responds; changes nothing.
    PROBE = "probe"


class OrderOutcome(enum.Enum):
    """Enumerate the outcomes of an order.

    ``APPLIED``: the server is already in the ordered state.  ``IN_PROGRESS``: the
    server is moving to the ordered state.  ``REFUSED``: the order does not fit the
    server's state.  ``SUPERSEDED``: the server has seen a newer epoch.
    ``WRONG_INSTANCE``: another incarnation, another server or no process is at the
    address.  ``NOT_A_MEMBER``: the server answered a probe and is not in the group.
    ``UNKNOWN``: no answer; the server may still execute the order later.  ``SILENT``:
    a probe timed out on a new connection; the server may be lost or only paused.
    """

    APPLIED = "holds"
    IN_PROGRESS = "begun"
    REFUSED = "refused"
    SUPERSEDED = "overtaken"
    WRONG_INSTANCE = "gone"
    NOT_A_MEMBER = "apart"
    UNKNOWN = "unknown"
    SILENT = "silent"


class GroupOrder(msgspec.Struct, kw_only=True, frozen=True):
    """An order to one backend server.

    Attributes
    ----------
    members : tuple of str
        Ids of all members, the head first; sent only with ``JOIN``.
    waits_for_requests : bool
        True to close only after the running requests have ended.
    started_at : int or None
        Start time of the incarnation that joined the group, if known.  A probe that
        another incarnation answers has the outcome ``NOT_A_MEMBER``.
    decided_at : float
        Monotonic time at which a probe became due.
    """

    kind: OrderKind
    server_id: str
    address: str
    group: str = ""
    epoch: int = -1
    model: str = ""
    members: tuple[str, ...] = ()
    waits_for_requests: bool = False
    started_at: int | None = None
    decided_at: float = 0.0
