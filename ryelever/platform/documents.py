"""Decode the operator's configuration and the backend servers' records."""

from __future__ import annotations

import ipaddress
from functools import lru_cache
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec

from ..protocol.json_codec import decode, encode
from ..state.directory import BackendServer, GroupReport, GroupState
from ..state.routes import (
    ConnectionLimits,
    EngineProfile,
    ModelProfile,
    Route,
    RouteAccount,
    RoutedService,
    RouteKind,
    RouteTable,
)
from .wire_names import REPORT_PATH

if TYPE_CHECKING:
    from expression import Result

    from ..errors import RyeleverError

__all__ = ["ReportedGroup", "read_configuration", "merge_report", "read_server"]

#: Fields that a backend server's report and its record have in common, without those
#: that change from one record renewal to the next.
_REPORTED_FIELDS = ("models", "domain", "staged", "group", "born")

#: Maximum number of cached server addresses that have passed the check.
MAX_ADDRESSES = 4096

#: Callers give up a stream after a gap, also before its first event, of this many
#: seconds, or of these multiples of the latency objective or of the longest pause
#: between events, whichever is longest.
MIN_CALLER_PATIENCE = 2.0
OBJECTIVES_PATIENCE = 4.0
PAUSES_PATIENCE = 8.0

_ROUTE_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    target_gap_ms: float = 0.0
    priority: int = 0
    # Exactly one of the two is present.
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Model(msgspec.Struct):
    name: str
    size: int = 1
    share: float = 1.0
    pace: float = 1.0
    load_s: float = 0.0
    warm_s: float = 0.0


class _UsualLengths(msgspec.Struct, frozen=True):
    prompt: float = 0.0
    answer: float = 0.0


class _Engine(msgspec.Struct):
    slots: int
    models: list[_Model] = []
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    read_per_s: float = 1.0
    stride: int = 1
    form_ms: float = 0.0
    loads_per_s: float = 1.0
    loads_at_once: float = 1.0
    usual: _UsualLengths = _UsualLengths()


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 0
    # Requests per second that a cold server of the service can take; 0 if its servers
    # are never cold.
    cold_per_s: float = 0.0
    health_path: str = ""
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = ConnectionLimits.max_head
    max_body_bytes: int = ConnectionLimits.max_body
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


class _LoadedModel(msgspec.Struct):
    name: str


class ReportedGroup(msgspec.Struct):
    """Group of a backend server, as the server reports it."""

    name: str
    epoch: int
    rank: int = -1
    # Absent if the server is in no group.
    state: GroupState | None = None


class _Server(msgspec.Struct):
    """Record that a backend server writes about itself.

    A record without one of the required fields, or with another type in one, comes
    from another writer, and its server is not used.
    """

    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    # Requests that the server processes concurrently.
    slots: Annotated[int, msgspec.Meta(ge=1)]
    # Milliseconds for which the server stays cold, counted from this record.
    cold_remaining_ms: float = 0.0
    # Unix time in milliseconds of the server's start; some servers omit it.
    born: int | msgspec.UnsetType = msgspec.UNSET
    models: list[_LoadedModel] = []
    domain: str | int = ""
    staged: list[str | _LoadedModel] = []
    group: ReportedGroup | None = None

    def __post_init__(self) -> None:
        _check_address(self.address)


@lru_cache(maxsize=MAX_ADDRESSES)
def _check_address(address: str) -> None:
    """Check an address; cached, since all records of a server have the same address.

    Raises
    ------
    ValueError
        If the address isn't an IPv4 address with a port.
    """
    ip, _, port = address.rpartition(":")
    ipaddress.IPv4Address(ip)
    if not (port.isdecimal() and 0 < int(port) < 65536):
        raise ValueError(f"expected an address with a port, found {address}")


def read_configuration(data: bytes, *, peer: str) -> Result[RouteTable, RyeleverError]:
    """Read the operator's newest configuration.

    Parameters
    ----------
    data : bytes
        JSON as stored.
    peer : str
        Name of the source, for the error.
    """
    return decode(data, _Configuration, step="read_configuration", peer=peer).map(
        _route_table
    )


def read_server(
    server_id: str, data: bytes, *, peer: str
) -> Result[BackendServer, RyeleverError]:
    """Read a backend server's record."""
    read = decode(data, _Server, step="read_server", peer=peer)
    return read.map(lambda found: _server_of(server_id, found))


def merge_report(
    data: bytes, report: bytes, *, peer: str
) -> Result[bytes, RyeleverError]:
    """Return a backend server's record, updated with the fields of its report."""
    known = decode(data, dict[str, msgspec.Raw], step="read_server", peer=peer)
    report_fields = decode(
        report, dict[str, msgspec.Raw], step="read_report", peer=peer
    )
    merged = known.map2(report_fields, _merge_fields)
    return merged.bind(lambda record: _validated(record, peer=peer))


def _merge_fields(
    known: dict[str, msgspec.Raw], report_fields: dict[str, msgspec.Raw]
) -> bytes:
    return encode(
        known
        | {
            name: report_fields[name]
            for name in _REPORTED_FIELDS
            if name in report_fields
        }
    )


def _validated(record: bytes, *, peer: str) -> Result[bytes, RyeleverError]:
    return read_server(peer, record, peer=peer).map(lambda _: record)


def _route_table(found: _Configuration) -> RouteTable:
    routes_by_host: dict[str, list[Route]] = {}
    for route in found.routes:
        routes_by_host.setdefault(route.host.lower(), []).append(_route_of(route))
    for routes in routes_by_host.values():
        routes.sort(key=lambda route: -len(route.path_prefix))
    accounts = found.tenants or []
    return RouteTable(
        version=found.version,
        routes_by_host=routes_by_host,
        services_by_name={item.name: _service_of(item) for item in found.services},
        account_by_key={
            key: RouteAccount(name=account.name, priority=account.priority)
            for account in accounts
            for key in account.api_keys
        },
        requires_keys=found.tenants is not None,
        limits=ConnectionLimits(
            max_head=found.limits.max_header_bytes,
            max_body=found.limits.max_body_bytes,
            head_timeout=found.limits.header_timeout_ms / 1000,
            idle_timeout=found.limits.idle_timeout_ms / 1000,
        ),
    )


def _route_of(found: _Route) -> Route:
    split = found.traffic_split or [_Split(service=found.service)]
    return Route(
        name=found.name,
        host=found.host.lower(),
        path_prefix=found.path_prefix,
        # Requests of an unknown kind must not be repeated.
        kind=_ROUTE_KINDS.get(found.kind, RouteKind.AT_MOST_ONCE),
        timeout=found.timeout_ms / 1000,
        latency_objective=found.target_latency_ms / 1000,
        pause_objective=found.target_gap_ms / 1000,
        priority=found.priority,
        weight_by_service={item.service: item.weight for item in split},
        max_attempts=max(1, found.max_attempts),
        public=found.public,
        resumable=found.resumable,
        caller_patience=_caller_patience(found),
    )


def _caller_patience(found: _Route) -> float:
    """Return the seconds after which callers give up a stream without an event."""
    return max(
        MIN_CALLER_PATIENCE,
        OBJECTIVES_PATIENCE * found.target_latency_ms / 1000,
        PAUSES_PATIENCE * found.target_gap_ms / 1000,
    )


def _service_of(found: _Service) -> RoutedService:
    engine = found.engine
    profile = None
    if engine is not None:
        profile = EngineProfile(
            slots=engine.slots,
            step_time=engine.step_ms / 1000,
            step_time_per_request=engine.per_seq_ms / 1000,
            prefill_rate=engine.read_per_s,
            tokens_per_event=engine.stride,
            form_time=engine.form_ms / 1000,
            loads_per_second=engine.loads_per_s,
            loads_at_once=engine.loads_at_once,
            usual_prompt=engine.usual.prompt,
            usual_answer=engine.usual.answer,
            models_by_name={
                model.name: ModelProfile(
                    name=model.name,
                    size=model.size,
                    share=model.share,
                    pace=model.pace,
                    load_time=model.load_s,
                    warm_time=model.warm_s,
                )
                for model in engine.models
            },
        )
    return RoutedService(
        name=found.name,
        max_connections=found.max_conns,
        cold_rate=found.cold_per_s or None,
        engine=profile,
        # A report needs no slot at the server.
        status_path=found.health_path if engine is None else REPORT_PATH,
    )


def _server_of(server_id: str, found: _Server) -> BackendServer:
    group = found.group
    report = None
    if group is not None and group.name and group.state is not None:
        report = GroupReport(
            name=group.name,
            epoch=group.epoch,
            rank=group.rank,
            state=group.state,
        )
    return BackendServer(
        id=server_id,
        service=found.service,
        address=found.address,
        availability_zone=found.zone,
        slots=found.slots,
        draining=found.state == "draining",
        cold_for=max(0.0, found.cold_remaining_ms / 1000),
        started_at=None if found.born is msgspec.UNSET else found.born,
        domain=str(found.domain),
        models=frozenset(model.name for model in found.models),
        staged=frozenset(
            item if isinstance(item, str) else item.name for item in found.staged
        ),
        group=report,
    )
