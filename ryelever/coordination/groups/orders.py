"""Name the orders that make up groups, and what becomes of them."""

from __future__ import annotations

import enum

import msgspec

__all__ = ["GroupOrder", "OrderKind", "OrderOutcome"]


class OrderKind(enum.Enum):
    """Name what a backend server is told to do."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"
    #: Asks for a sign of life and changes nothing.
    PROBE = "probe"


class OrderOutcome(enum.Enum):
    """Say what an answer to an order means.

    ``APPLIED``: the state is already as ordered.  ``IN_PROGRESS``: it will be.
    ``REFUSED``: it does not fit the state.  ``SUPERSEDED``: a newer epoch was seen.
    ``WRONG_INSTANCE``: the backend server is another incarnation.  ``NOT_A_MEMBER``: it
    answers a probe, and is not in the group.  ``UNKNOWN``: no answer; the order may be
    carried out later.
    """

    APPLIED = "holds"
    IN_PROGRESS = "begun"
    REFUSED = "refused"
    SUPERSEDED = "overtaken"
    WRONG_INSTANCE = "gone"
    NOT_A_MEMBER = "apart"
    UNKNOWN = "unknown"


class GroupOrder(msgspec.Struct, kw_only=True, frozen=True):
    """Hold one order to one backend server.

    Attributes
    ----------
    members : tuple of str
        Ids of all members, the head first; only where a group is joined.
    gently : bool
        Close only after what runs has ended.
    started_at : int or None
        Start of the incarnation that joined the group, where that is known; a probe
        that another one answers finds it apart from the group.
    """

    kind: OrderKind
    server_id: str
    address: str
    group: str = ""
    epoch: int = -1
    model: str = ""
    members: tuple[str, ...] = ()
    gently: bool = False
    started_at: int | None = None
