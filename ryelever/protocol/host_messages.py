"""Encode the messages between entry hosts that relay requests, with Cap'n Proto."""

from __future__ import annotations

import re
import zlib
from functools import lru_cache
from importlib import resources
from itertools import islice
from math import inf
from typing import TYPE_CHECKING

import capnp
import msgspec
from expression import Error, Ok, Result
from msgspec.structs import replace

from ..coordination.evacuations import OperatorPosition
from ..coordination.host_heartbeats import HostHeartbeat
from ..errors import Category, RyeleverError
from ..state.keyed_record import KeyedRecord, ServerUpdates
from ..state.leaving import LeavingServerRow
from ..state.observations import (
    InvolvementRow,
    RateLimitRow,
    WaitingRow,
    sum_waiting,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "BUSY_STATUS",
    "CONFIGURATION_PATH",
    "SERVERS_PATH",
    "ForwardedDatagram",
    "changes_path",
    "decode_datagram",
    "decode_servers",
    "encode_updates",
    "encode_forwarded",
    "encode_servers",
    "encode_heartbeat",
    "parse_changes_path",
]

#: Paths at which an entry host requests the configuration in force and the records of
#: all backend servers from another entry host.
CONFIGURATION_PATH = "/configuration"
SERVERS_PATH = "/servers"

#: Path of a request for the records changed from an offset on; the groups of the
#: pattern are the era and the offset.
_CHANGES = re.compile(rf"{SERVERS_PATH}/(\d{{1,10}})/(\d{{1,18}})")

#: Status sent by a host that is busy serving the backend servers to other hosts; the
#: requester retries later.
BUSY_STATUS = 503

#: First byte of a datagram, which gives the kind of message.  A message whose format
#: changes incompatibly gets a new letter, so that hosts of two releases, which run side
#: by side during an upgrade, do not misread each other's messages.  A host ignores
#: fields that were added after its release, and reads missing ones as empty.
HEARTBEAT = b"s"
UPDATES = b"n"
COMPRESSED_UPDATES = b"z"
FORWARDED = b"r"

#: Maximum size of a datagram, in bytes.
MAX_DATAGRAM = 8192

#: Maximum size of an unpacked message, in Cap'n Proto words of eight bytes.  Since
#: packing shrinks runs of zeros, the size of a datagram does not limit that of its
#: unpacked message.
MAX_WORDS = 64 * 1024
BYTES_PER_WORD = 8

#: Like ``MAX_WORDS``, for a message with the records of all backend servers, each of
#: which takes half a kilobyte.
MAX_SERVER_WORDS = 1024 * 1024

#: Number of decoded host states kept in a cache.  States arrive from each host of the
#: zone and from one host of each other zone, and change only from time to time.
MAX_CACHED_STATES = 256

#: Compression level of zlib: the lowest one, which takes 20 ms for 925 servers.
COMPRESSION_LEVEL = 1

#: Minimum size in bytes of updates that are compressed.  While groups form, dozens of
#: records per second are sent to all hosts of a zone, more than a link of 10 Mbit/s can
#: carry uncompressed; 8 KB of such records are compressed to 1.4 KB.
MIN_COMPRESSED = 1000

#: Maximum number of backend servers in each list of a heartbeat, which must fit into a
#: datagram.
MAX_LISTED_SERVERS = 160

#: Maximum number of backend servers in each of the two lists of a heartbeat that
#: concern rate limits.  They are sent in addition to the servers of the other lists.
MAX_LIMITED_SERVERS = 32

#: Maximum number of leaving backend servers in a heartbeat, also in addition to the
#: others.  The servers' records announce all of them some tenths of a second later.
MAX_LEAVING_SERVERS = 16

#: Maximum number of requests, and of parts of prompts, in a heartbeat that were in
#: crashes.  Fewer are sent if the other lists need their space.
MAX_SUSPICIONS = 32

#: Maximum number of crashes of one request or part that a zone reports.
MAX_ROW_CRASHES = 64

#: Maximum age of a crash in the message, in minutes.
MAX_AGE_MINUTES = 2**16 - 1

#: Maximum number of rows of waiting requests in a heartbeat.  Two models with four
#: priorities, on time and late, have 16 kinds of requests; where there are more, the
#: rows with the smallest counts are left out.
MAX_WAITING_ROWS = 16

#: Maximum length in bytes of the service and model in a row of waiting requests.  Rows
#: with longer names are left out; a few of them would fill a datagram.
MAX_WORK_LENGTH = 64

#: Maximum values of the fields of a row.
MAX_PRIORITY = 3
MAX_WAITING_COUNT = 2**16 - 1

#: Encodes a missing number in fields whose values are otherwise positive.
ABSENT = -1

#: Maximum number of datagrams for one set of updates.  While the groups of a large
#: fleet form, updates would need some hundred datagrams at once, and a link drops those
#: that exceed its capacity.  Over a connection, no updates are lost.
MAX_UPDATE_DATAGRAMS = 4

#: Maximum size of the records in one datagram, and the size that a record takes in
#: addition to its key and value, both in bytes.
MAX_UPDATE_BYTES = 7000
RECORD_OVERHEAD = 32

_FILE = resources.files(__package__.rpartition(".")[0]) / "schema/host_words.capnp"
with resources.as_file(_FILE) as _path:
    _schema = capnp.load(str(_path))


def changes_path(offset: int, *, era: int) -> str:
    """Return the path of a request for the records changed from an offset on."""
    return f"{SERVERS_PATH}/{era}/{offset}"


def parse_changes_path(path: str) -> tuple[int, int] | None:
    """Return the offset and the era in a path of ``changes_path``.

    Returns None for any other path.
    """
    match = _CHANGES.fullmatch(path)
    return None if match is None else (int(match[2]), int(match[1]))


class ForwardedDatagram(msgspec.Struct, kw_only=True, frozen=True):
    """A datagram that the receiver processes and forwards to other hosts.

    Attributes
    ----------
    hosts : tuple of str
        Hosts of the receiver's zone to which the receiver forwards the datagram.
    data : bytes
        The datagram.
    """

    hosts: tuple[str, ...]
    data: bytes


def encode_forwarded(data: bytes, hosts: Iterable[str]) -> bytes:
    """Return a datagram that its receiver processes and forwards to ``hosts``."""
    message = _schema.Forwarded.new_message(hosts=list(hosts), datagram=data)
    return FORWARDED + message.to_bytes_packed()


def encode_heartbeat(heartbeat: HostHeartbeat) -> bytes:
    """Return a heartbeat encoded as one datagram.

    Waiting requests have only the space that the other lists leave, and requests that
    were in crashes the space that is left without them.  Without a few rows of waiting
    requests, hosts estimate waits that are too short; without loads, they send requests
    to full servers.
    """
    message = _schema.HostHeartbeat.new_message(
        sequence=heartbeat.sequence,
        state=_encode_state(heartbeat),
        arrivalRate=heartbeat.arrival_rate,
    )
    loads = list(heartbeat.in_flight_by_server.items())[:MAX_LISTED_SERVERS]
    message.loadedServers = [server for server, _ in loads]
    message.inFlight = [count for _, count in loads]
    urgent = heartbeat.urgent_demand_by_model
    message.demands = [
        {"model": model, "groups": groups, "urgentGroups": urgent.get(model, 0.0)}
        for model, groups in heartbeat.demand_by_model.items()
    ]
    if heartbeat.waiting:
        message.waiting = _encode_waiting(heartbeat.waiting)
    if heartbeat.rate_limits:
        limits = heartbeat.rate_limits[:MAX_LIMITED_SERVERS]
        message.rateLimits = [_encode_limit(row) for row in limits]
    if heartbeat.wanted_servers:
        message.wantedServers = list(heartbeat.wanted_servers[:MAX_LIMITED_SERVERS])
    data = HEARTBEAT + message.to_bytes_packed()
    if len(data) <= MAX_DATAGRAM:
        return data
    if heartbeat.waiting:
        rows = sum_waiting(heartbeat.waiting)[:MAX_WAITING_ROWS]
        return encode_heartbeat(replace(heartbeat, waiting=rows[: len(rows) // 2]))
    if heartbeat.suspicions:
        shorter = tuple(
            row
            for rows in _suspicions_by_kind(heartbeat)
            for row in rows[: len(rows) // 2]
        )
        return encode_heartbeat(replace(heartbeat, suspicions=shorter))
    return data


def _encode_waiting(rows: Iterable[WaitingRow]) -> list[dict[str, object]]:
    """Return the rows with the largest counts; priorities are brought into range."""
    encoded = (
        {
            "work": f"{row.service} {row.model}",
            "accountPriority": _bounded_priority(row.rank[0]),
            "routePriority": _bounded_priority(row.rank[1]),
            "late": row.late,
            "count": min(row.count, MAX_WAITING_COUNT),
        }
        for row in sum_waiting(rows)
        if len(f"{row.service} {row.model}".encode()) <= MAX_WORK_LENGTH
    )
    return list(islice(encoded, MAX_WAITING_ROWS))


def _bounded_priority(priority: int) -> int:
    return max(0, min(MAX_PRIORITY, priority))


def _encode_limit(row: RateLimitRow) -> dict[str, object]:
    return {
        "server": row.server_id,
        "rate": ABSENT if row.rate is None else row.rate,
        "age": row.age,
        "startedAt": ABSENT if row.started_at is None else row.started_at,
    }


def _encode_leaving(row: LeavingServerRow) -> dict[str, object]:
    return {
        "server": row.server_id,
        "startedAt": ABSENT if row.started_at is None else row.started_at,
    }


def _suspicions_by_kind(
    heartbeat: HostHeartbeat,
) -> tuple[list[InvolvementRow], list[InvolvementRow]]:
    """Return the rows of requests and those of parts, as many as are sent."""
    requests = [row for row in heartbeat.suspicions if not row.is_part]
    parts = [row for row in heartbeat.suspicions if row.is_part]
    return requests[:MAX_SUSPICIONS], parts[:MAX_SUSPICIONS]


def _encode_involvement(row: InvolvementRow) -> dict[str, object]:
    """Encode a row, with the fields that hosts of the release before read."""
    return {
        "fingerprint": row.fingerprint,
        "nCrashes": len(row.crashes),
        "crash": row.crashes[-1] if row.crashes else "",
        "crashes": list(row.crashes[:MAX_ROW_CRASHES]),
        "refuted": list(row.refuted),
        "age": min(row.age, MAX_AGE_MINUTES),
        "hasCompleted": row.has_completed,
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
        still=list(heartbeat.still[:MAX_LISTED_SERVERS]),
        plans=list(heartbeat.plans),
        reshapes=list(heartbeat.reshapes),
        moving=list(heartbeat.moving[:MAX_LISTED_SERVERS]),
        forwards=heartbeat.forwards,
        forwarders=list(heartbeat.forwarders),
    )
    if heartbeat.leaving_servers:
        leaving = heartbeat.leaving_servers[:MAX_LEAVING_SERVERS]
        message.leavingServers = [_encode_leaving(row) for row in leaving]
    if heartbeat.suspicions:
        requests, parts = _suspicions_by_kind(heartbeat)
        message.suspicions = [_encode_involvement(row) for row in requests]
        message.suspectedParts = [_encode_involvement(row) for row in parts]
    return message.to_bytes_packed()


def encode_updates(updates: ServerUpdates) -> list[bytes]:
    """Return updates encoded as datagrams with consecutive ranges of offsets.

    The failure of a fabric domain changes dozens of records at once.  If updates of
    this size were not sent between hosts, all hosts would read the store at the same
    moment.  Updates that need more than ``MAX_UPDATE_DATAGRAMS`` datagrams are replaced
    by one datagram that tells the receivers to fetch the records.  Records that servers
    have reported themselves are always sent.
    """
    parts: list[list[KeyedRecord]] = [[]]
    size = 0
    for record in updates.records:
        size += _record_size(record)
        if size > MAX_UPDATE_BYTES and parts[-1]:
            parts.append([])
            size = _record_size(record)
        parts[-1].append(record)
    if len(parts) > MAX_UPDATE_DATAGRAMS and not updates.reported:
        return [_updates_datagram(replace(updates, records=[], to_fetch=True))]
    datagrams = []
    start = updates.start
    for index, records in enumerate(parts):
        is_last = index == len(parts) - 1
        # Records reported by the servers themselves have no offset in the log.
        end = updates.end if is_last or updates.reported else records[-1].offset + 1
        part = replace(updates, start=start, end=end, records=records)
        datagrams.append(_updates_datagram(part))
        start = end
    return datagrams


def _updates_datagram(updates: ServerUpdates) -> bytes:
    data = _encode_updates(updates)
    if len(data) < MIN_COMPRESSED:
        return UPDATES + data
    return COMPRESSED_UPDATES + zlib.compress(data, COMPRESSION_LEVEL)


def _record_size(record: KeyedRecord) -> int:
    return len(record.key) + len(record.value) + RECORD_OVERHEAD


def encode_servers(updates: ServerUpdates) -> bytes:
    """Return the records of any number of backend servers, encoded and compressed.

    Since the records are similar, those of 925 servers take 54 KB instead of 420 KB.
    This size occupies a link of 10 Mbit/s for only 0.05 s, and dozens of hosts may send
    requests to one host at the same moment.
    """
    return zlib.compress(_encode_updates(updates), COMPRESSION_LEVEL)


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
) -> HostHeartbeat | ServerUpdates | ForwardedDatagram | RyeleverError:
    """Decode a datagram; return an error if the datagram is invalid.

    The return value is not wrapped in a ``Result``, since wrapping takes as long as
    decoding the part of a heartbeat that is not cached, and dozens of heartbeats arrive
    per second.
    """
    try:
        if data[:1] == UPDATES:
            return _decode_updates(data[1:], max_words=MAX_WORDS)
        if data[:1] == COMPRESSED_UPDATES:
            packed = _decompress(data[1:], max_words=MAX_WORDS)
            return _decode_updates(packed, max_words=MAX_WORDS)
        if data[:1] == HEARTBEAT:
            return _decode_heartbeat(data[1:])
        if data[:1] == FORWARDED:
            return _decode_forwarded(data[1:])
        why = "unknown first byte"
    except (capnp.KjException, ValueError, zlib.error) as error:
        why = str(error)
    return _unreadable(why, step="read_host_word", peer=peer)


def decode_servers(data: bytes, *, peer: str) -> Result[ServerUpdates, RyeleverError]:
    """Decode the records of all backend servers as sent by another host."""
    try:
        packed = _decompress(data, max_words=MAX_SERVER_WORDS)
        return Ok(_decode_updates(packed, max_words=MAX_SERVER_WORDS))
    except (capnp.KjException, zlib.error) as error:
        return Error(_unreadable(str(error), step="read_servers", peer=peer))


def _decompress(data: bytes, *, max_words: int) -> bytes:
    """Return the decompressed data, truncated to ``max_words`` Cap'n Proto words.

    Raises
    ------
    zlib.error
        If the data was not compressed by zlib.
    """
    return zlib.decompressobj().decompress(data, BYTES_PER_WORD * max_words)


def _unreadable(why: str, *, step: str, peer: str) -> RyeleverError:
    return RyeleverError(
        f"not a valid message of an entry host: {why}",
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


def _decode_forwarded(data: bytes) -> ForwardedDatagram:
    message = _schema.Forwarded.from_bytes_packed(
        data, traversal_limit_in_words=MAX_WORDS
    )
    return ForwardedDatagram(hosts=tuple(message.hosts), data=bytes(message.datagram))


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
        urgent_demand_by_model=_decode_urgent(message.demands),
        arrival_rate=_finite(message.arrivalRate),
        waiting=_decode_waiting(message.waiting),
        rate_limits=tuple(_decode_limit(row) for row in message.rateLimits),
        wanted_servers=tuple(message.wantedServers),
    )


def _finite(rate: float) -> float:
    """Return a rate, or 0 if it isn't a finite number above 0."""
    return rate if 0.0 < rate < inf else 0.0


def _decode_urgent(
    demands: capnp.lib.capnp._DynamicListReader,
) -> dict[str, float]:
    """Return the urgent part of each model's demand, which is at most all of it."""
    urgent = {
        item.model: min(item.urgentGroups, item.groups)
        for item in demands
        if item.urgentGroups > 0.0
    }
    # The comparison is false for numbers that are not finite.
    return {model: groups for model, groups in urgent.items() if 0.0 < groups < inf}


def _decode_waiting(
    rows: capnp.lib.capnp._DynamicListReader,
) -> tuple[WaitingRow, ...]:
    """Return the valid rows; a malformed row doesn't invalidate the heartbeat."""
    decoded = []
    for row in islice(rows, MAX_WAITING_ROWS):
        try:
            service, _, model = row.work.partition(" ")
        except UnicodeDecodeError:
            continue
        if not service or not model or not row.count:
            continue
        rank = (
            _bounded_priority(row.accountPriority),
            _bounded_priority(row.routePriority),
        )
        decoded.append(
            WaitingRow(
                service=service, model=model, rank=rank, late=row.late, count=row.count
            )
        )
    return tuple(decoded)


def _decode_limit(row: capnp.lib.capnp._DynamicStructReader) -> RateLimitRow:
    return RateLimitRow(
        server_id=row.server,
        rate=None if row.rate < 0 else row.rate,
        age=max(0.0, row.age),
        started_at=None if row.startedAt < 0 else row.startedAt,
    )


@lru_cache(maxsize=MAX_CACHED_STATES)
def _decode_state(data: bytes) -> HostHeartbeat:
    """Decode the host state, the part of a heartbeat that rarely changes."""
    message = _schema.HostState.from_bytes_packed(
        data, traversal_limit_in_words=MAX_WORDS
    )
    return HostHeartbeat(
        host=message.host,
        availability_zone=message.availabilityZone,
        boot=message.boot,
        reads_store=message.readsStore,
        stopping=message.stopping,
        forwards=message.forwards,
        forwarders=tuple(message.forwarders),
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
        leaving_servers=tuple(
            LeavingServerRow(
                server_id=row.server,
                started_at=None if row.startedAt < 0 else row.startedAt,
            )
            for row in message.leavingServers
        ),
        suspicions=(
            *(_decode_involvement(row) for row in message.suspicions),
            *(
                replace(_decode_involvement(row), is_part=True)
                for row in message.suspectedParts
            ),
        ),
    )


def _decode_involvement(row: object) -> InvolvementRow:
    """Decode a row; one of the release before has at most one crash."""
    crashes = tuple(row.crashes)
    refuted = tuple(row.refuted)
    if not crashes and not refuted and row.nCrashes:
        crashes = (row.crash,)
    return InvolvementRow(
        fingerprint=row.fingerprint,
        crashes=crashes,
        refuted=refuted,
        age=row.age,
        has_completed=row.hasCompleted,
    )
