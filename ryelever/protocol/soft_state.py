"""Encode and authenticate the datagrams between entry hosts by Cap'n Proto."""

from __future__ import annotations

import hashlib
import hmac
import math
from importlib import resources
from typing import TYPE_CHECKING, Any

import capnp
from expression import Error, Ok, Result

from ..coordination.soft_state import (
    ALIVE_SLOT,
    AliveRow,
    GoneRow,
    Have,
    Member,
    Message,
    Piece,
    SoftRow,
    Step,
    TableUpdate,
    Update,
    Want,
)
from ..errors import Category, RyeleverError
from ..state.fleet import HostReport
from ..state.observations import (
    DemandRow,
    LeavingRow,
    LoadRow,
    ReportRow,
    SuspicionRow,
)

if TYPE_CHECKING:
    pass

__all__ = ["MAX_DATAGRAM", "MAC_SIZE", "decode_message", "encode_message"]

#: Longest datagram that is read or written, in bytes.
MAX_DATAGRAM = 8192

#: Bytes of the truncated HMAC-SHA256 in front of each datagram.
MAC_SIZE = 16

#: Longest unpacked message, in words: packing shrinks runs of zeros without bound.
MAX_WORDS = 64 * 1024

#: Largest age that fits, in hundredths of a second.
MAX_AGE_CS = 0xFFFF

# (field in the schema, attribute) by member of the union in Row.
_FIELDS = {
    "demand": (
        ("clientAccount", "client_account"),
        ("rate", "rate"),
        ("nInFlight", "n_in_flight"),
        ("nWaiting", "n_waiting"),
    ),
    "suspicion": (
        ("fingerprint", "fingerprint"),
        ("nCrashes", "n_crashes"),
        ("crash", "crash"),
        ("repeated", "repeated"),
        ("proved", "proved"),
    ),
    "leaving": (("host", "host"),),
    "load": (("target", "target"), ("nInFlight", "n_in_flight")),
    "report": (
        ("host", "host"),
        ("boot", "boot"),
        ("state", "state"),
        ("group", "group"),
        ("fencing", "fencing"),
        ("rank", "rank"),
        ("model", "model"),
        ("version", "version"),
        ("adapters", "adapters"),
        ("running", "running"),
        ("waiting", "waiting"),
        ("kvUsed", "kv_used"),
    ),
}
_KINDS = {
    DemandRow: "demand",
    SuspicionRow: "suspicion",
    LeavingRow: "leaving",
    LoadRow: "load",
    ReportRow: "report",
}
_CLASSES = {kind: cls for cls, kind in _KINDS.items()}


def _load_schema() -> Any:
    # The C++ loader of Cap'n Proto reads a file by path.  In the single file the
    # package is unpacked before it is imported, so the path exists there too.
    capnp.remove_import_hook()
    source = resources.files("ryelever") / "schema" / "soft_state.capnp"
    with resources.as_file(source) as path:
        return capnp.load(str(path))


_SCHEMA = _load_schema()


def encode_message(message: Message, *, key: bytes) -> bytes:
    """Return the datagram: a truncated HMAC, then the packed message."""
    built = _SCHEMA.Message.new_message(
        sender=message.sender,
        availabilityZone=message.availability_zone,
        boot=message.boot,
        token=message.token,
        grant=message.grant,
        sequence=message.sequence,
        echo=message.echo,
        holdMs=int(message.hold * 1000),
        step=message.step.value,
        configurationVersion=message.configuration_version,
    )
    if message.haves:
        haves = built.init("haves")
        haves.origins = [have.origin for have in message.haves]
        haves.versions = [have.version for have in message.haves]
    if message.tables:
        _write_tables(built, message.tables)
    _write_transfer(built, message)
    body = built.to_bytes_packed()
    return _mac(body, key=key) + body


def decode_message(
    data: bytes, *, key: bytes, peer: str
) -> Result[Message, RyeleverError]:
    """Check and read one datagram; whatever is wrong with it becomes an error."""
    if len(data) > MAX_DATAGRAM:
        return _refuse("oversized", peer=peer)
    if len(data) <= MAC_SIZE:
        return _refuse("truncated", peer=peer)
    body = data[MAC_SIZE:]
    if not hmac.compare_digest(data[:MAC_SIZE], _mac(body, key=key)):
        return _refuse("foreign_key", peer=peer)
    try:
        # Reading is lazy, so that a broken pointer shows only when it is followed.
        read = _SCHEMA.Message.from_bytes_packed(
            body, traversal_limit_in_words=MAX_WORDS
        )
        return Ok(_read_message(read))
    except (capnp.KjException, ValueError, TypeError, AttributeError):
        return _refuse("malformed", peer=peer)


def _mac(body: bytes, *, key: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:MAC_SIZE]


def _refuse(code: str, *, peer: str) -> Result[Message, RyeleverError]:
    return Error(
        RyeleverError(
            f"dropped a datagram: {code}; check peer_key and the versions in use",
            category=Category.BAD_REQUEST,
            step="read_peer",
            peer=peer,
            code=code,
        )
    )


def _write_tables(built: Any, tables: tuple[TableUpdate, ...]) -> None:
    alive = [table for table in tables if _is_alive_only(table)]
    whole = [table for table in tables if not _is_alive_only(table)]
    if alive:
        alives = built.init("alives")
        updates = [table.updates[0] for table in alive]
        alives.origins = [table.origin for table in alive]
        alives.versions = [update.version for update in updates]
        alives.agesCs = [_hundredths(update.age) for update in updates]
        alives.reportAgesCs = [_hundredths(update.row.report_age) for update in updates]
    for entry, table in zip(built.init("tables", len(whole)), whole, strict=True):
        _write_table(entry, table)


def _is_alive_only(table: TableUpdate) -> bool:
    if table.member is not None or len(table.updates) != 1:
        return False
    update = table.updates[0]
    return update.slot == ALIVE_SLOT and isinstance(update.row, AliveRow)


def _write_table(entry: Any, table: TableUpdate) -> None:
    entry.origin = table.origin
    if table.member is not None:
        member = entry.init("member")
        member.host = table.member.host
        member.availabilityZone = table.member.availability_zone
        member.address = table.member.address
        member.digest = table.member.digest
        member.alone = table.member.alone
    rows = entry.init("rows", len(table.updates))
    for row, update in zip(rows, table.updates, strict=True):
        row.slot = update.slot
        row.version = update.version
        row.ageCs = _hundredths(update.age)
        _write_row(row, update.row)


def _hundredths(age: float) -> int:
    # Rounded up, since a row may seem older than it is but never younger.
    return min(MAX_AGE_CS, math.ceil(age * 100))


def _write_row(entry: Any, row: SoftRow) -> None:
    if isinstance(row, AliveRow):
        entry.alive = _hundredths(row.report_age)
        return
    if isinstance(row, GoneRow):
        entry.gone = None
        return
    kind = _KINDS[type(row)]
    value = row.report if isinstance(row, ReportRow) else row
    built = entry.init(kind)
    for field, attribute in _FIELDS[kind]:
        content = getattr(value, attribute)
        setattr(built, field, list(content) if field == "adapters" else content)


def _write_transfer(built: Any, message: Message) -> None:
    for entry, want in zip(
        built.init("wants", len(message.wants)), message.wants, strict=True
    ):
        entry.version = want.version
        entry.first = want.first
    for entry, piece in zip(
        built.init("pieces", len(message.pieces)), message.pieces, strict=True
    ):
        entry.version = piece.version
        entry.index = piece.index
        entry.nPieces = piece.n_pieces
        entry.checksum = piece.checksum
        entry.data = piece.data


def _read_message(read: Any) -> Message:
    return Message(
        sender=read.sender,
        availability_zone=read.availabilityZone,
        boot=read.boot,
        token=read.token,
        grant=read.grant,
        sequence=read.sequence,
        step=Step(read.step),
        echo=read.echo,
        hold=read.holdMs / 1000,
        configuration_version=read.configurationVersion,
        haves=_read_haves(read.haves),
        tables=(
            *(_read_table(table) for table in read.tables),
            *_read_alives(read.alives),
        ),
        wants=tuple(
            Want(version=want.version, first=want.first) for want in read.wants
        ),
        pieces=tuple(
            Piece(
                version=piece.version,
                index=piece.index,
                n_pieces=piece.nPieces,
                checksum=bytes(piece.checksum),
                data=bytes(piece.data),
            )
            for piece in read.pieces
        ),
    )


def _read_haves(read: Any) -> tuple[Have, ...]:
    columns = zip(read.origins, read.versions, strict=True)
    return tuple(Have(origin=origin, version=version) for origin, version in columns)


def _read_alives(read: Any) -> list[TableUpdate]:
    columns = zip(
        read.origins, read.versions, read.agesCs, read.reportAgesCs, strict=True
    )
    return [
        TableUpdate(
            origin=origin,
            updates=(
                Update(
                    slot=ALIVE_SLOT,
                    version=version,
                    age=age / 100,
                    row=AliveRow(report_age=report_age / 100),
                ),
            ),
        )
        for origin, version, age, report_age in columns
    ]


def _read_table(table: Any) -> TableUpdate:
    member = table.member
    return TableUpdate(
        origin=table.origin,
        member=Member(
            host=member.host,
            availability_zone=member.availabilityZone,
            address=member.address,
            digest=member.digest,
            alone=member.alone,
        )
        if member.host
        else None,
        updates=tuple(
            Update(
                slot=row.slot,
                version=row.version,
                age=row.ageCs / 100,
                row=_read_row(row),
            )
            for row in table.rows
        ),
    )


def _read_row(row: Any) -> SoftRow:
    kind = str(row.which())
    if kind == "alive":
        return AliveRow(report_age=row.alive / 100)
    if kind == "gone":
        return GoneRow()
    read = getattr(row, kind)
    values = {
        attribute: tuple(getattr(read, field))
        if field == "adapters"
        else getattr(read, field)
        for field, attribute in _FIELDS[kind]
    }
    if kind == "report":
        return ReportRow(report=HostReport(**values))
    return _CLASSES[kind](**values)
