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

if TYPE_CHECKING:
    from expression import Result

    from ..errors import RyeleverError

__all__ = ["ReportedGroup", "read_configuration", "read_reported", "read_server"]

#: Fields that a backend server's report and its record have in common, besides those
#: by which records differ from one heartbeat to the next.
_REPORTED = ("models", "domain", "staged", "group", "born")

#: Addresses of servers that are known to be well formed.
MAX_ADDRESSES = 4096

_KINDS = {
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
    # Exactly one of the two is there.
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


class _Usual(msgspec.Struct, frozen=True):
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
    usual: _Usual = _Usual()


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 0
    # What a server of it bears while it is cold; 0 where it never is.
    cold_per_s: float = 0.0
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


class _Loaded(msgspec.Struct):
    name: str


class ReportedGroup(msgspec.Struct):
    """Say which group a backend server is in, as it writes it itself."""

    name: str
    epoch: int
    rank: int = -1
    # Absent where there is no group.
    state: GroupState | None = None


class _Server(msgspec.Struct):
    """What a backend server writes of itself.

    An entry that lacks one of the first fields, or holds something else in one, comes
    from another writer and names no server to use.
    """

    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    # Requests that it works on at once.
    slots: Annotated[int, msgspec.Meta(ge=1)]
    # For how much longer it stays cold, as of this entry.
    cold_remaining_ms: float = 0.0
    # Unix milliseconds of its start; some don't say.
    born: int | msgspec.UnsetType = msgspec.UNSET
    models: list[_Loaded] = []
    domain: str | int = ""
    staged: list[str | _Loaded] = []
    group: ReportedGroup | None = None

    def __post_init__(self) -> None:
        _check_address(self.address)


@lru_cache(maxsize=MAX_ADDRESSES)
def _check_address(address: str) -> None:
    """Check an address, which stays the same in all entries of a server.

    Raises
    ------
    ValueError
        If it isn't one of IPv4 with a port.
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
        JSON as it lies in the store.
    peer : str
        Who gave it, for the error.
    """
    return decode(data, _Configuration, step="read_configuration", peer=peer).map(
        _table_of
    )


def read_server(
    server_id: str, data: bytes, *, peer: str
) -> Result[BackendServer, RyeleverError]:
    """Read what a backend server has written of itself."""
    read = decode(data, _Server, step="read_server", peer=peer)
    return read.map(lambda found: _server_of(server_id, found))


def read_reported(
    data: bytes, report: bytes, *, peer: str
) -> Result[bytes, RyeleverError]:
    """Put what a backend server says of itself now in the place of what it wrote."""
    known = decode(data, dict[str, msgspec.Raw], step="read_server", peer=peer)
    said = decode(report, dict[str, msgspec.Raw], step="read_report", peer=peer)
    merged = known.map2(said, _merged)
    return merged.bind(lambda record: _checked(record, peer=peer))


def _merged(known: dict[str, msgspec.Raw], said: dict[str, msgspec.Raw]) -> bytes:
    return encode(known | {name: said[name] for name in _REPORTED if name in said})


def _checked(record: bytes, *, peer: str) -> Result[bytes, RyeleverError]:
    return read_server(peer, record, peer=peer).map(lambda _: record)


def _table_of(found: _Configuration) -> RouteTable:
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
        asks_for_keys=found.tenants is not None,
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
        # What is not known may at least not be repeated.
        kind=_KINDS.get(found.kind, RouteKind.AT_MOST_ONCE),
        timeout=found.timeout_ms / 1000,
        latency_objective=found.target_latency_ms / 1000,
        pause_objective=found.target_gap_ms / 1000,
        priority=found.priority,
        weight_by_service={item.service: item.weight for item in split},
        max_attempts=max(1, found.max_attempts),
        public=found.public,
        resumable=found.resumable,
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
