"""Encode the words between entry hosts that relay requests by Cap'n Proto."""

from __future__ import annotations

import re
import zlib
from functools import lru_cache
from importlib import resources
from typing import TYPE_CHECKING

import capnp
import msgspec
from expression import Error, Ok, Result
from msgspec.structs import replace

from ..coordination.evacuations import OperatorPosition
from ..coordination.host_heartbeats import HostHeartbeat
from ..errors import Category, RyeleverError
from ..state.keyed_record import KeyedRecord, ServerUpdates
from ..state.observations import RateLimitRow, SuspicionRow

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "BUSY_STATUS",
    "CONFIGURATION_PATH",
    "SERVERS_PATH",
    "RelayedDatagram",
    "changes_path",
    "decode_datagram",
    "decode_servers",
    "encode_updates",
    "encode_relayed",
    "encode_servers",
    "encode_heartbeat",
    "read_changes_path",
]

#: Where an entry host asks another one for the configuration in force and for the
#: records of all backend servers.
CONFIGURATION_PATH = "/configuration"
SERVERS_PATH = "/servers"

#: The same for what changed from an offset of an era on.
_CHANGES = re.compile(rf"{SERVERS_PATH}/(\d{{1,10}})/(\d{{1,18}})")

#: Status of a host that gives the backend servers to others and is to be asked again.
BUSY_STATUS = 503

#: First byte of a datagram: what follows.  A form that changes gets another letter, so
#: that hosts of two versions, as while one replaces the other, misread nothing.
HEARTBEAT = b"s"
UPDATES = b"n"
COMPRESSED_UPDATES = b"z"
RELAYED = b"r"

#: Longest datagram, in bytes.
MAX_DATAGRAM = 8192

#: Longest unpacked message, in words of eight bytes: packing shrinks runs of zeros
#: without bound.
MAX_WORDS = 64 * 1024
BYTES_A_WORD = 8

#: The same for the records of all backend servers, which take half a kilobyte each.
MAX_SERVER_WORDS = 1024 * 1024

#: States of hosts that are kept as they were read: each of a zone's hosts, and one of
#: each other zone, changes its own now and then.
MAX_STATES = 256

#: Level of compression: the least, which takes 20 ms for 925 servers.
COMPRESSION = 1

#: Bytes from which news in a datagram are compressed.  While groups form, dozens of
#: records a second go to all hosts of a zone, more than a link of 10 Mbit/s carries;
#: 8 KB of them become 1.4 KB.
COMPRESSED_FROM = 1000

#: Most backend servers told of in one word, so that it fits into a datagram.
MAX_SERVERS = 160

#: The same, of servers with a rate limit: they come beside the others.
MAX_LIMITED = 32

#: Stands for a number that is not there, where all others are positive.
ABSENT = -1

#: Most datagrams of news.  While the groups of a large fleet form, some hundred come
#: at once, of which a link drops what it can't carry; over a connection none is lost.
MAX_UPDATE_DATAGRAMS = 4

#: Most bytes of records in one datagram, and what a record takes beside key and value.
MAX_UPDATE_BYTES = 7000
RECORD_OVERHEAD = 32

_FILE = resources.files(__package__.rpartition(".")[0]) / "schema/host_words.capnp"
with resources.as_file(_FILE) as _path:
    _schema = capnp.load(str(_path))


def changes_path(offset: int, *, era: int) -> str:
    """Return where a host asks for what changed from an offset on."""
    return f"{SERVERS_PATH}/{era}/{offset}"


def read_changes_path(path: str) -> tuple[int, int] | None:
    """Return the offset and the era that a path names, or None for another path."""
    match = _CHANGES.fullmatch(path)
    return None if match is None else (int(match[2]), int(match[1]))


class RelayedDatagram(msgspec.Struct, kw_only=True, frozen=True):
    """Hold a datagram that its receiver takes, and sends on.

    Attributes
    ----------
    hosts : tuple of str
        Hosts of the receiver's zone that get it from there.
    data : bytes
        The datagram.
    """

    hosts: tuple[str, ...]
    data: bytes


def encode_relayed(data: bytes, hosts: Iterable[str]) -> bytes:
    """Return a datagram that its receiver sends on to others."""
    message = _schema.Relayed.new_message(hosts=list(hosts), datagram=data)
    return RELAYED + message.to_bytes_packed()


def encode_heartbeat(heartbeat: HostHeartbeat) -> bytes:
    """Return a word as one datagram."""
    message = _schema.HostHeartbeat.new_message(
        sequence=heartbeat.sequence, state=_encode_state(heartbeat)
    )
    loads = list(heartbeat.in_flight_by_server.items())[:MAX_SERVERS]
    message.loadedServers = [server for server, _ in loads]
    message.inFlight = [count for _, count in loads]
    message.demands = [
        {"model": model, "groups": groups}
        for model, groups in heartbeat.demand_by_model.items()
    ]
    if heartbeat.rate_limits:
        limits = heartbeat.rate_limits[:MAX_LIMITED]
        message.rateLimits = [_encode_limit(row) for row in limits]
    if heartbeat.wanted_servers:
        message.wantedServers = list(heartbeat.wanted_servers[:MAX_LIMITED])
    return HEARTBEAT + message.to_bytes_packed()


def _encode_limit(row: RateLimitRow) -> dict[str, object]:
    return {
        "server": row.server_id,
        "rate": ABSENT if row.rate is None else row.rate,
        "age": row.age,
        "startedAt": ABSENT if row.started_at is None else row.started_at,
    }


def _encode_state(heartbeat: HostHeartbeat) -> bytes:
    message = _schema.HostState.new_message(
        host=heartbeat.host,
        availabilityZone=heartbeat.availability_zone,
        boot=heartbeat.boot,
        readsStore=heartbeat.reads_store,
        stopping=heartbeat.stopping,
        configurationVersion=heartbeat.configuration_version,
        configurationSize=heartbeat.configuration_size,
        address=heartbeat.address,
        interval=heartbeat.interval,
        forZone=heartbeat.for_zone,
        nHosts=heartbeat.n_hosts,
        passedOn=heartbeat.passed_on,
        knowsServers=heartbeat.knows_servers,
        storeEra=heartbeat.store_era,
        evacuatedZones=list(heartbeat.evacuated_zones),
        operatorEra=heartbeat.operator_position.era,
        operatorOffset=heartbeat.operator_position.offset,
        still=list(heartbeat.still[:MAX_SERVERS]),
        plans=list(heartbeat.plans),
        reshapes=list(heartbeat.reshapes),
        moving=list(heartbeat.moving[:MAX_SERVERS]),
    )
    if heartbeat.suspicions:
        message.suspicions = [
            {
                "fingerprint": row.fingerprint,
                "nCrashes": row.n_crashes,
                "crash": row.crash,
                "repeated": row.repeated,
                "proved": row.proved,
            }
            for row in heartbeat.suspicions
        ]
    return message.to_bytes_packed()


def encode_updates(updates: ServerUpdates) -> list[bytes]:
    """Return news as datagrams, each of which follows the one before.

    A domain that goes dark changes dozens of records at once.  Were they not passed on
    for their length, all hosts would read the store at that moment.  Where they are
    too many, one datagram says so.
    """
    parts: list[list[KeyedRecord]] = [[]]
    size = 0
    for record in updates.records:
        size += _size(record)
        if size > MAX_UPDATE_BYTES and parts[-1]:
            parts.append([])
            size = _size(record)
        parts[-1].append(record)
    if len(parts) > MAX_UPDATE_DATAGRAMS and not updates.reported:
        return [_updates_datagram(replace(updates, records=[], to_fetch=True))]
    datagrams = []
    start = updates.start
    for index, records in enumerate(parts):
        is_last = index == len(parts) - 1
        # What a server said itself has no place in the log.
        end = updates.end if is_last or updates.reported else records[-1].offset + 1
        part = replace(updates, start=start, end=end, records=records)
        datagrams.append(_updates_datagram(part))
        start = end
    return datagrams


def _updates_datagram(updates: ServerUpdates) -> bytes:
    data = _encode_updates(updates)
    if len(data) < COMPRESSED_FROM:
        return UPDATES + data
    return COMPRESSED_UPDATES + zlib.compress(data, COMPRESSION)


def _size(record: KeyedRecord) -> int:
    return len(record.key) + len(record.value) + RECORD_OVERHEAD


def encode_servers(updates: ServerUpdates) -> bytes:
    """Return records of backend servers, as many as there are.

    They are alike, so that those of 925 servers take 54 KB in place of 420: a link of
    10 Mbit/s is free after 0.05 s, and dozens of hosts may ask one at the same moment.
    """
    return zlib.compress(_encode_updates(updates), COMPRESSION)


def _encode_updates(updates: ServerUpdates) -> bytes:
    message = _schema.ServerUpdates.new_message(
        reader=updates.reader,
        start=updates.start,
        end=updates.end,
        reported=updates.reported,
        passedOn=updates.passed_on,
        era=updates.era,
        toFetch=updates.to_fetch,
    )
    message.records = [
        {"key": record.key, "value": record.value, "offset": record.offset}
        for record in updates.records
    ]
    return message.to_bytes_packed()


def decode_datagram(
    data: bytes, *, peer: str
) -> HostHeartbeat | ServerUpdates | RelayedDatagram | RyeleverError:
    """Read a datagram, or say why it is none of ours.

    No ``Result`` is made of it: that takes as long as reading the rest of a word, and
    dozens come a second.
    """
    try:
        if data[:1] == UPDATES:
            return _decode_updates(data[1:], max_words=MAX_WORDS)
        if data[:1] == COMPRESSED_UPDATES:
            packed = _decompressed(data[1:], max_words=MAX_WORDS)
            return _decode_updates(packed, max_words=MAX_WORDS)
        if data[:1] == HEARTBEAT:
            return _decode_heartbeat(data[1:])
        if data[:1] == RELAYED:
            return _decode_relayed(data[1:])
        why = "unknown first byte"
    except (capnp.KjException, ValueError, zlib.error) as error:
        why = str(error)
    return _unreadable(why, step="read_host_word", peer=peer)


def decode_servers(data: bytes, *, peer: str) -> Result[ServerUpdates, RyeleverError]:
    """Read the records of all backend servers that another host knows."""
    try:
        packed = _decompressed(data, max_words=MAX_SERVER_WORDS)
        return Ok(_decode_updates(packed, max_words=MAX_SERVER_WORDS))
    except (capnp.KjException, zlib.error) as error:
        return Error(_unreadable(str(error), step="read_servers", peer=peer))


def _decompressed(data: bytes, *, max_words: int) -> bytes:
    """Return what was compressed, cut off beyond what may be unpacked.

    Raises
    ------
    zlib.error
        If it was not compressed so.
    """
    return zlib.decompressobj().decompress(data, BYTES_A_WORD * max_words)


def _unreadable(why: str, *, step: str, peer: str) -> RyeleverError:
    return RyeleverError(
        f"not what an entry host sends: {why}",
        category=Category.BAD_REQUEST,
        step=step,
        peer=peer,
    )


def _decode_updates(data: bytes, *, max_words: int) -> ServerUpdates:
    message = _schema.ServerUpdates.from_bytes_packed(
        data, traversal_limit_in_words=max_words
    )
    return ServerUpdates(
        reader=message.reader,
        start=message.start,
        end=message.end,
        reported=message.reported,
        passed_on=message.passedOn,
        era=message.era,
        to_fetch=message.toFetch,
        records=[
            KeyedRecord(key=item.key, value=bytes(item.value), offset=item.offset)
            for item in message.records
        ],
    )


def _decode_relayed(data: bytes) -> RelayedDatagram:
    message = _schema.Relayed.from_bytes_packed(
        data, traversal_limit_in_words=MAX_WORDS
    )
    return RelayedDatagram(hosts=tuple(message.hosts), data=bytes(message.datagram))


def _decode_heartbeat(data: bytes) -> HostHeartbeat:
    message = _schema.HostHeartbeat.from_bytes_packed(
        data, traversal_limit_in_words=MAX_WORDS
    )
    return replace(
        _decode_state(bytes(message.state)),
        sequence=message.sequence,
        in_flight_by_server=dict(
            zip(message.loadedServers, message.inFlight, strict=True)
        ),
        demand_by_model={item.model: item.groups for item in message.demands},
        rate_limits=tuple(_decode_limit(row) for row in message.rateLimits),
        wanted_servers=tuple(message.wantedServers),
    )


def _decode_limit(row: capnp.lib.capnp._DynamicStructReader) -> RateLimitRow:
    return RateLimitRow(
        server_id=row.server,
        rate=None if row.rate < 0 else row.rate,
        age=max(0.0, row.age),
        started_at=None if row.startedAt < 0 else row.startedAt,
    )


@lru_cache(maxsize=MAX_STATES)
def _decode_state(data: bytes) -> HostHeartbeat:
    """Return a word without what differs from one to the next."""
    message = _schema.HostState.from_bytes_packed(
        data, traversal_limit_in_words=MAX_WORDS
    )
    return HostHeartbeat(
        host=message.host,
        availability_zone=message.availabilityZone,
        boot=message.boot,
        reads_store=message.readsStore,
        stopping=message.stopping,
        configuration_version=message.configurationVersion,
        configuration_size=message.configurationSize,
        address=message.address,
        interval=message.interval,
        for_zone=message.forZone,
        n_hosts=message.nHosts,
        passed_on=message.passedOn,
        knows_servers=message.knowsServers,
        store_era=message.storeEra,
        evacuated_zones=tuple(message.evacuatedZones),
        operator_position=OperatorPosition(message.operatorEra, message.operatorOffset),
        still=tuple(message.still),
        plans=tuple(message.plans),
        reshapes=tuple(message.reshapes),
        moving=tuple(message.moving),
        suspicions=tuple(
            SuspicionRow(
                fingerprint=row.fingerprint,
                n_crashes=row.nCrashes,
                crash=row.crash,
                repeated=row.repeated,
                proved=row.proved,
            )
            for row in message.suspicions
        ),
    )
