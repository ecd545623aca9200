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
    "GoneRow",
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
    """Say that the owner lives and stands by every row of its table.

    Attributes
    ----------
    report_age : float
        Seconds by which the table's reports may be older than this row.
    """

    report_age: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class GoneRow:
    """Say that the owner no longer stands by what the slot held."""


class Step(enum.IntEnum):
    """Say which part of an exchange a datagram is.

    ``ASK`` tells what the sender has.  ``ANSWER`` brings what it lacks and tells what
    the answering side has.  ``REST`` brings what that side lacks.
    """

    GREETING = 0
    ASK = 1
    ANSWER = 2
    REST = 3
    TRANSFER = 4


SoftRow = (
    AliveRow | GoneRow | DemandRow | SuspicionRow | LeavingRow | LoadRow | ReportRow
)


@dataclass(slots=True, kw_only=True, frozen=True)
class Member:
    """Name the owner of a table.

    Attributes
    ----------
    digest : bool
        The table sums up the owner's availability zone for the other zones.
    alone : bool
        It sums up the owner alone: entry hosts are so few that all hear of each.
    """

    host: str
    availability_zone: str
    address: str = ""
    digest: bool = False
    alone: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Have:
    """Tell up to which version the sender has a table."""

    origin: int
    version: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Update:
    """Bring one row.

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
    """Bring updates of one table in the order of their versions.

    Attributes
    ----------
    member : Member or None
        Set when the receiver may not know the table yet.
    """

    origin: int
    member: Member | None = None
    updates: tuple[Update, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Want:
    """Ask for pieces of a configuration, from ``first`` on."""

    version: int
    first: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Piece:
    """Hold one piece of a configuration's compressed text.

    Attributes
    ----------
    checksum : bytes
        SHA-256 of the whole compressed text.
    """

    version: int
    index: int
    n_pieces: int
    checksum: bytes
    data: bytes


@dataclass(slots=True, kw_only=True, frozen=True)
class Message:
    """Hold one datagram.

    Attributes
    ----------
    boot : int
        Random number of the sender's process.
    token : int
        What the receiver has granted to this boot of the sender; 0 in a greeting.
    grant : int
        What the receiver has to send as ``token``.
    sequence : int
        Counts the sender's datagrams to this receiver from 1.
    echo : int
        Newest sequence that the sender has received from the receiver; 0 for none.
    hold : float
        Seconds, on the sender's clock, from that receipt to this sending; rounded
        down.
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
