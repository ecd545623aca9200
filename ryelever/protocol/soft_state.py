"""Encode and authenticate the datagrams of soft state, with Cap'n Proto and HMAC."""

from __future__ import annotations

import hashlib
import hmac
import math
from importlib import resources
from typing import Any

import capnp
from expression import Error, Ok, Result

from ..coordination.soft_state import (
    ALIVE_SLOT,
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
from ..errors import Category, RyeleverError
from ..state.fleet import HostReport
from ..state.observations import (
    DemandRow,
    LeavingRow,
    LoadRow,
    ReportRow,
    SuspicionRow,
)

__all__ = ["MAX_DATAGRAM", "MAC_SIZE", "decode_message", "encode_message"]

#: Maximum size of a datagram, in bytes.
MAX_DATAGRAM = 8192

#: Size of the truncated HMAC-SHA256 at the start of each datagram, in bytes.
MAC_SIZE = 16

#: Maximum size of an unpacked message, in Cap'n Proto words.  Since packing shrinks
#: runs of zeros, the size of a datagram does not limit that of its unpacked message.
MAX_WORDS = 64 * 1024

#: Largest age that a field can represent, in hundredths of a second.
MAX_AGE_CS = 0xFFFF

# Pairs of schema field and row attribute, by member of the union in ``Row``.
_FIELDS_BY_KIND = {
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
_KINDS_BY_CLASS = {
    DemandRow: "demand",
    SuspicionRow: "suspicion",
    LeavingRow: "leaving",
    LoadRow: "load",
    ReportRow: "report",
}
_CLASSES_BY_KIND = {kind: cls for cls, kind in _KINDS_BY_CLASS.items()}


def _load_schema() -> Any:
    # The C++ loader of Cap'n Proto needs the path of a file.  The path also exists
    # when ryelever runs from its single-file archive, which is unpacked before import.
    capnp.remove_import_hook()
    source = resources.files("ryelever") / "schema" / "soft_state.capnp"
    with resources.as_file(source) as path:
        return capnp.load(str(path))


_SCHEMA = _load_schema()


def encode_message(message: Message, *, key: bytes) -> bytes:
    """Return a message as a datagram: a truncated HMAC and the packed message."""
    builder = _SCHEMA.Message.new_message(
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
        haves = builder.init("haves")
        haves.origins = [have.origin for have in message.haves]
        haves.versions = [have.version for have in message.haves]
    if message.tables:
        _write_tables(builder, message.tables)
    _write_configuration_transfer(builder, message)
    body = builder.to_bytes_packed()
    return _mac(body, key=key) + body


def decode_message(
    data: bytes, *, key: bytes, peer: str
) -> Result[Message, RyeleverError]:
    """Authenticate and decode one datagram; return an error for any invalid one."""
    if len(data) > MAX_DATAGRAM:
        return _refusal("oversized", peer=peer)
    if len(data) <= MAC_SIZE:
        return _refusal("truncated", peer=peer)
    body = data[MAC_SIZE:]
    if not hmac.compare_digest(data[:MAC_SIZE], _mac(body, key=key)):
        return _refusal("foreign_key", peer=peer)
    try:
        # Cap'n Proto decodes lazily: an invalid pointer raises only when the field that
        # it belongs to is read.
        reader = _SCHEMA.Message.from_bytes_packed(
            body, traversal_limit_in_words=MAX_WORDS
        )
        return Ok(_read_message(reader))
    except (capnp.KjException, ValueError, TypeError, AttributeError):
        return _refusal("malformed", peer=peer)


def _mac(body: bytes, *, key: bytes) -> bytes:
    return hmac.digest(key, body, hashlib.sha256)[:MAC_SIZE]


def _refusal(code: str, *, peer: str) -> Result[Message, RyeleverError]:
    return Error(
        RyeleverError(
            f"dropped a datagram: {code}; check peer_key and the versions in use",
            category=Category.BAD_REQUEST,
            step="read_peer",
            peer=peer,
            code=code,
        )
    )


def _write_tables(builder: Any, tables: tuple[TableUpdate, ...]) -> None:
    alive = [table for table in tables if _has_only_alive_row(table)]
    full = [table for table in tables if not _has_only_alive_row(table)]
    if alive:
        alives = builder.init("alives")
        updates = [table.updates[0] for table in alive]
        alives.origins = [table.origin for table in alive]
        alives.versions = [update.version for update in updates]
        alives.agesCs = [_to_centiseconds(update.age) for update in updates]
        alives.reportAgesCs = [
            _to_centiseconds(update.row.report_age) for update in updates
        ]
    for entry, table in zip(builder.init("tables", len(full)), full, strict=True):
        _write_table(entry, table)


def _has_only_alive_row(table: TableUpdate) -> bool:
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
        row.ageCs = _to_centiseconds(update.age)
        _write_row(row, update.row)


def _to_centiseconds(age: float) -> int:
    # Rounded up, since a row may appear older than it is but never newer.
    return min(MAX_AGE_CS, math.ceil(age * 100))


def _write_row(entry: Any, row: SoftRow) -> None:
    if isinstance(row, AliveRow):
        entry.alive = _to_centiseconds(row.report_age)
        return
    if isinstance(row, WithdrawnRow):
        entry.gone = None
        return
    kind = _KINDS_BY_CLASS[type(row)]
    value = row.report if isinstance(row, ReportRow) else row
    builder = entry.init(kind)
    for field, attribute in _FIELDS_BY_KIND[kind]:
        content = getattr(value, attribute)
        setattr(builder, field, list(content) if field == "adapters" else content)


def _write_configuration_transfer(builder: Any, message: Message) -> None:
    for entry, want in zip(
        builder.init("wants", len(message.wants)), message.wants, strict=True
    ):
        entry.version = want.version
        entry.first = want.first
    for entry, piece in zip(
        builder.init("pieces", len(message.pieces)), message.pieces, strict=True
    ):
        entry.version = piece.version
        entry.index = piece.index
        entry.nPieces = piece.n_pieces
        entry.checksum = piece.checksum
        entry.data = piece.data


def _read_message(reader: Any) -> Message:
    return Message(
        sender=reader.sender,
        availability_zone=reader.availabilityZone,
        boot=reader.boot,
        token=reader.token,
        grant=reader.grant,
        sequence=reader.sequence,
        step=Step(reader.step),
        echo=reader.echo,
        hold=reader.holdMs / 1000,
        configuration_version=reader.configurationVersion,
        haves=_read_haves(reader.haves),
        tables=(
            *(_read_table(table) for table in reader.tables),
            *_read_alives(reader.alives),
        ),
        wants=tuple(
            Want(version=want.version, first=want.first) for want in reader.wants
        ),
        pieces=tuple(
            Piece(
                version=piece.version,
                index=piece.index,
                n_pieces=piece.nPieces,
                checksum=bytes(piece.checksum),
                data=bytes(piece.data),
            )
            for piece in reader.pieces
        ),
    )


def _read_haves(reader: Any) -> tuple[Have, ...]:
    columns = zip(reader.origins, reader.versions, strict=True)
    return tuple(Have(origin=origin, version=version) for origin, version in columns)


def _read_alives(reader: Any) -> list[TableUpdate]:
    columns = zip(
        reader.origins, reader.versions, reader.agesCs, reader.reportAgesCs, strict=True
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
        return WithdrawnRow()
    reader = getattr(row, kind)
    values = {
        attribute: tuple(getattr(reader, field))
        if field == "adapters"
        else getattr(reader, field)
        for field, attribute in _FIELDS_BY_KIND[kind]
    }
    if kind == "report":
        return ReportRow(report=HostReport(**values))
    return _CLASSES_BY_KIND[kind](**values)
