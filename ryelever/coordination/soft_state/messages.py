"""Define the messages by which entry hosts exchange soft state."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ...state.observations import (
    DemandRow,
    LeavingRow,
    LoadRow,
    ReportRow,
    SuspicionRow,
)

__all__ = [
    "AliveRow",
    "WithdrawnRow",
    "Have",
    "Member",
    "Message",
    "Piece",
    "SoftRow",
    "Step",
    "TableUpdate",
    "Update",
    "Want",
]


@dataclass(slots=True, kw_only=True, frozen=True)
class AliveRow:
    """Sign of life of a table's owner, which confirms every current row of the table.

    Attributes
    ----------
    report_age : float
        Seconds by which the table's reports may be older than this row.
    """

    report_age: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class WithdrawnRow:
    """Withdrawal: the owner no longer confirms the row that the slot held."""


class Step(enum.IntEnum):
    """Step of an exchange to which a datagram belongs.

    ``GREETING`` exchanges tokens and carries no rows.  ``REQUEST`` lists the table
    versions that the sender has.  ``RESPONSE`` carries the updates that the requester
    lacks and lists the responder's versions.  ``UPDATES`` carries the updates that the
    receiver lacks, and expects no response.  ``TRANSFER`` requests or carries pieces of
    a configuration.
    """

    GREETING = 0
    REQUEST = 1
    RESPONSE = 2
    UPDATES = 3
    TRANSFER = 4


SoftRow = (
    AliveRow
    | WithdrawnRow
    | DemandRow
    | SuspicionRow
    | LeavingRow
    | LoadRow
    | ReportRow
)


@dataclass(slots=True, kw_only=True, frozen=True)
class Member:
    """Owner of a table.

    Attributes
    ----------
    digest : bool
        The table aggregates the rows of the owner's availability zone for the other
        zones.
    alone : bool
        The digest covers the owner alone: there are so few entry hosts that each
        sends its own digest to all zones.
    """

    host: str
    availability_zone: str
    address: str = ""
    digest: bool = False
    alone: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Have:
    """Version up to which the sender has a table."""

    origin: int
    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Update:
    """New or changed row of a table.

    Attributes
    ----------
    age : float
        Seconds on the sender's clock since the row was observed, rounded up.
    """

    slot: int
    version: int
    age: float
    row: SoftRow


@dataclass(slots=True, kw_only=True, frozen=True)
class TableUpdate:
    """Updates of one table, in the order of their versions.

    Attributes
    ----------
    origin : int
        Number of the table, as ``origin_of`` returns it.
    member : Member or None
        Owner of the table; set when the receiver may not know the table yet.
    """

    origin: int
    member: Member | None = None
    updates: tuple[Update, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Want:
    """Request for pieces of a configuration, starting at index ``first``."""

    version: int
    first: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Piece:
    """One piece of a configuration's compressed text.

    Attributes
    ----------
    checksum : bytes
        SHA-256 of the complete compressed text.
    """

    version: int
    index: int
    n_pieces: int
    checksum: bytes
    data: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class Message:
    """Contents of one datagram.

    Attributes
    ----------
    boot : int
        Random number of the sender's process.
    token : int
        Token that the receiver has granted to this boot of the sender; 0 in a
        greeting.
    grant : int
        Token that the receiver has to put into ``token`` of its datagrams.
    sequence : int
        Number of this datagram among the sender's datagrams to this receiver, counted
        from 1.
    echo : int
        Newest sequence number that the sender has received from the receiver; 0 for
        none.
    hold : float
        Seconds on the sender's clock between receiving the echoed datagram and sending
        this one; rounded down.
    """

    sender: str
    availability_zone: str
    boot: int
    token: int
    grant: int
    sequence: int
    step: Step = Step.GREETING
    echo: int = 0
    hold: float = 0.0
    configuration_version: int = -1
    haves: tuple[Have, ...] = ()
    tables: tuple[TableUpdate, ...] = ()
    wants: tuple[Want, ...] = ()
    pieces: tuple[Piece, ...] = ()
