"""Define the routes, services and client accounts of one configuration version."""

from __future__ import annotations

import enum
import math
import zlib
from typing import TYPE_CHECKING

import msgspec

from ..relay_settings import ContentionMode

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    "ConnectionLimits",
    "EngineProfile",
    "ModelProfile",
    "Route",
    "RouteAccount",
    "RouteKind",
    "RouteTable",
    "RoutedService",
]

#: Ratio of the largest to the smallest group size from which groups count as uneven: a
#: group of the largest model then takes the servers of three or more of the smallest.
UNEVEN_SIZE_RATIO = 3.0


class RouteKind(enum.Enum):
    """Kind of a route, which determines whether its requests may be repeated.

    ``IDEMPOTENT`` requests may run more than once; ``AT_MOST_ONCE`` requests may not.
    The answer to a ``STREAM`` request is a sequence of events.  Such a request may run
    again only if its stream can be resumed after the last delivered event.
    """

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class Route(msgspec.Struct, kw_only=True, frozen=True):
    """Handling of the requests for one host and path prefix.

    Attributes
    ----------
    timeout : float
        Longest time in seconds for which a request may be kept waiting.
    latency_objective : float
        Objective in seconds for the answer, or for the first event of a stream; a
        request that meets it counts with its full value.
    pause_objective : float
        Objective in seconds for the longest pause between two events of a stream.
    caller_patience : float
        Seconds after which callers give up a stream if no event arrives.
    priority : int
        Priority class; 0 is served first.
    weight_by_service : dict of str to float
        Relative share of the requests that each service gets.
    max_attempts : int
        Maximum number of backend servers to which one request may be sent.
    public : bool
        True if callers need no key.
    resumable : bool
        True if a broken stream can be resumed after its last delivered event.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    latency_objective: float
    pause_objective: float
    priority: int
    weight_by_service: dict[str, float]
    max_attempts: int
    public: bool
    resumable: bool
    caller_patience: float = math.inf

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run again on a second backend server."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def service_of(self, request_id: str) -> str:
        """Return the service for a request; equal ids give the same service."""
        total = sum(self.weight_by_service.values())
        point = zlib.crc32(request_id.encode()) / 2**32 * total
        for service, weight in self.weight_by_service.items():
            point -= weight
            if point < 0:
                return service
        return next(reversed(self.weight_by_service))


class ModelProfile(msgspec.Struct, kw_only=True, frozen=True):
    """One model of an engine service.

    Attributes
    ----------
    size : int
        Number of members of a replica group.
    share : float
        The model's share of the work when the system starts.
    pace : float
        Factor by which all times of a group of this model are multiplied.
    load_time, warm_time : float
        Seconds that a server takes to join a group when it loads the weights from the
        weight store, and when the weights are staged on its host.
    """

    name: str
    size: int
    share: float
    pace: float
    load_time: float
    warm_time: float


class EngineProfile(msgspec.Struct, kw_only=True, frozen=True):
    """The engines of one service; times are in seconds.

    Attributes
    ----------
    slots : int
        Maximum number of requests in a group's batch.
    step_time, step_time_per_request : float
        Base duration of one step of a batch, and the time added by each request in
        the batch.
    prefill_rate : float
        Prompt tokens processed per second.
    tokens_per_event : int
        Tokens of one request in each event of a stream.  A group takes this many steps
        in one pass, and each step writes one token of every request.
    form_time : float
        Time from an accepted open order to the first request.
    loads_per_second : float
        Maximum rate at which loads from the weight store may begin, over all hosts.
    loads_at_once : float
        Number of concurrent loads that the weight store serves at full speed; with
        more loads, each load takes longer.
    usual_prompt, usual_answer : float
        Typical lengths of a prompt and of an answer, in tokens.
    """

    slots: int
    step_time: float
    step_time_per_request: float
    prefill_rate: float
    tokens_per_event: int
    form_time: float
    loads_per_second: float
    loads_at_once: float
    usual_prompt: float
    usual_answer: float
    models_by_name: dict[str, ModelProfile]

    @property
    def has_uneven_groups(self) -> bool:
        """Return whether the group sizes of the models differ by a large factor."""
        sizes = [model.size for model in self.models_by_name.values()]
        return bool(sizes) and max(sizes) >= UNEVEN_SIZE_RATIO * min(sizes)


class RoutedService(msgspec.Struct, kw_only=True, frozen=True):
    """One service that is the target of routes.

    Attributes
    ----------
    cold_rate : float or None
        Requests per second that a cold server of this service can handle; None if
        servers of this service are never cold.
    status_path : str
        Path of the status of a server of this service; empty if it has none.
    """

    name: str
    max_connections: int
    cold_rate: float | None = None
    engine: EngineProfile | None = None
    status_path: str = ""


class RouteAccount(msgspec.Struct, kw_only=True, frozen=True):
    """A client account with a priority that replaces the route's priority.

    Attributes
    ----------
    priority : int or None
        Priority class; 0 is served first.  None if the route's priority applies.
    """

    name: str
    priority: int | None = None


class ConnectionLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Limits on callers' connections: sizes in bytes and timeouts in seconds."""

    max_head: int = 64 * 1024
    max_body: int = 4 << 20
    head_timeout: float = 10.0
    idle_timeout: float = 75.0


class RouteTable(msgspec.Struct, kw_only=True, frozen=True):
    """The routes of one configuration version.

    Attributes
    ----------
    routes_by_host : dict of str to list of Route
        Routes of each host, those with the longest path prefix first.
    requires_keys : bool
        True if the configuration declares client accounts; callers then need a key.
    contended_services : frozenset of str
        Engine services whose configuration asks for sharing; see ``is_contended``.
    urgent_priority_by_service : dict of str to int
        Most urgent priority of the engine services whose stream routes have several.
    """

    version: int
    routes_by_host: dict[str, list[Route]]
    services_by_name: dict[str, RoutedService]
    account_by_key: dict[str, RouteAccount]
    requires_keys: bool
    limits: ConnectionLimits = msgspec.field(default_factory=ConnectionLimits)
    contended_services: frozenset[str] = frozenset()
    urgent_priority_by_service: dict[str, int] = msgspec.field(default_factory=dict)

    def __post_init__(self) -> None:
        """Find what follows from all routes once for each configuration."""
        urgent_priority_by_service = {
            name: min(priorities)
            for name, _ in self.engines()
            if len(priorities := self._priorities_of(name)) > 1
        }
        msgspec.structs.force_setattr(
            self, "urgent_priority_by_service", urgent_priority_by_service
        )
        found = frozenset(
            name
            for name, engine in self.engines()
            if engine.has_uneven_groups or name in urgent_priority_by_service
        )
        msgspec.structs.force_setattr(self, "contended_services", found)

    def _priorities_of(self, service: str) -> set[int]:
        """Return the priorities of the stream routes to a service."""
        return {
            route.priority
            for routes in self.routes_by_host.values()
            for route in routes
            if route.kind is RouteKind.STREAM and service in route.weight_by_service
        }

    def engines(self) -> Iterator[tuple[str, EngineProfile]]:
        """Yield the name and the engine profile of each service that serves models."""
        for service in self.services_by_name.values():
            if service.engine is not None:
                yield service.name, service.engine

    def is_contended(
        self, service: str, mode: ContentionMode = ContentionMode.AUTO
    ) -> bool:
        """Return whether entry hosts share a service's capacity among its callers.

        With ``ContentionMode.AUTO`` this is the case if the stream routes to an engine
        service have more than one priority, or if its models' group sizes are uneven.
        """
        found = self.services_by_name.get(service)
        if found is None or found.engine is None or mode is ContentionMode.OFF:
            return False
        return mode is ContentionMode.ON or service in self.contended_services

    def match(self, *, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match of a path, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
