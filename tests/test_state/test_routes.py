"""Test which services' capacity entry hosts share among callers."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from ryelever.relay_settings import ContentionMode
from ryelever.state.routes import (
    ModelProfile,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
)

from ..test_coordination.test_groups.test_group_forming import ENGINE


def _route(priority: int, *, kind: RouteKind = RouteKind.STREAM) -> Route:
    return Route(
        name=f"{kind.value}-{priority}",
        host="calls.example",
        path_prefix=f"/{kind.value}-{priority}/",
        kind=kind,
        timeout=8.0,
        latency_objective=0.3,
        pause_objective=0.2,
        priority=priority,
        weight_by_service={"engines": 1.0},
        max_attempts=2,
        public=False,
        resumable=True,
    )


def _table(routes: list[Route], *, sizes: tuple[int, ...] = (4, 2)) -> RouteTable:
    models = [
        ModelProfile(
            name=f"m{size}", size=size, share=0.5, pace=1.0, load_time=16, warm_time=2
        )
        for size in sizes
    ]
    engine = replace(
        ENGINE,
        loads_per_second=14,
        loads_at_once=20,
        usual_prompt=800,
        usual_answer=140,
        models_by_name={model.name: model for model in models},
    )
    return RouteTable(
        version=1,
        routes_by_host={"calls.example": routes},
        services_by_name={
            "engines": RoutedService(name="engines", max_connections=0, engine=engine),
            "plain": RoutedService(name="plain", max_connections=0),
        },
        account_by_key={},
        requires_keys=False,
    )


EVEN = _table([_route(1), _route(2, kind=RouteKind.IDEMPOTENT)])
TWO_PRIORITIES = _table([_route(0), _route(1)])
UNEVEN = _table([_route(1)], sizes=(12, 4))


@pytest.mark.parametrize(
    ("table", "mode", "expected"),
    [
        (EVEN, ContentionMode.AUTO, False),
        (TWO_PRIORITIES, ContentionMode.AUTO, True),
        (UNEVEN, ContentionMode.AUTO, True),
        (EVEN, ContentionMode.ON, True),
        (UNEVEN, ContentionMode.OFF, False),
    ],
)
def test_contended_services(
    table: RouteTable, mode: ContentionMode, expected: bool
) -> None:
    assert table.is_contended("engines", mode) is expected
    assert not table.is_contended("plain", mode)
    assert not table.is_contended("unknown", mode)


def test_urgent_priority_needs_several_priorities() -> None:
    """Guard against weighing all callers of a service as urgent."""
    both = _table([_route(1), _route(2), _route(0, kind=RouteKind.IDEMPOTENT)])
    assert both.urgent_priority_by_service == {"engines": 1}
    assert _table([_route(1)]).urgent_priority_by_service == {}
