"""Test which requests a process serves in the grace period of its shutdown."""

from __future__ import annotations

import pytest

from ryelever.coordination.relaying.refusals import DEFAULT_RETRY_AFTER
from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying, head

REFUSES_FROM = 2.8
ENDS_AT = 7.3


@pytest.fixture
def stopping() -> Relaying:
    """Return decisions of a process that got its signal at 0 s."""
    relaying = Relaying()
    relaying.requests.grace_period.begin(refuses_from=REFUSES_FROM, ends_at=ENDS_AT)
    return relaying


@pytest.mark.parametrize("kind", RouteKind)
@pytest.mark.parametrize(
    ("arrives_at", "time_limit", "is_sent"),
    [
        pytest.param(2.7, 8.0, True, id="before-callers-can-go-elsewhere"),
        pytest.param(2.8, 8.0, False, id="as-soon-as-they-can"),
        pytest.param(3.4, 8.0, False, id="with-time-for-most-streams"),
        pytest.param(2.8, 4.5, True, id="limit-within-the-grace-period"),
        pytest.param(6.3, 0.9, True, id="short-limit-late"),
        pytest.param(6.3, 1.5, False, id="limit-beyond-the-grace-period"),
    ],
)
def test_late_request_is_sent_only_if_it_ends_in_time_at_its_limit(
    stopping: Relaying,
    kind: RouteKind,
    arrives_at: float,
    time_limit: float,
    is_sent: bool,
) -> None:
    """Guard against answers that the end of a stopping process cuts off."""
    stopping.arrive(kind, now=arrives_at, time_limit=time_limit)
    assert bool(stopping.sent) is is_sent
    refusals = [] if is_sent else [("refuse", 1, 503, DEFAULT_RETRY_AFTER)]
    assert stopping.out == refusals


def test_request_that_no_server_took_is_not_sent_again_too_late(
    stopping: Relaying,
) -> None:
    """Guard against retries whose answers the end of the process cuts off."""
    stopping.arrive(RouteKind.STREAM, now=1.0, time_limit=8.0)
    rejected = head(status=503, not_run=True)
    stopping.requests.answer_head(stopping.sent[0].id, rejected, now=4.4)
    assert len(stopping.sent) == 1
    assert stopping.out == [("refuse", 1, 503, DEFAULT_RETRY_AFTER)]


def test_waiting_request_is_refused_when_too_little_time_is_left() -> None:
    """Guard against requests that get a slot shortly before their process ends."""
    relaying = Relaying(n_servers=0)
    relaying.requests.grace_period.begin(refuses_from=0.2, ends_at=3.3)
    relaying.arrive(RouteKind.STREAM)
    relaying.requests.tick(now=0.25)
    assert relaying.out == []
    relaying.requests.tick(now=0.35)
    assert relaying.out == [("refuse", 1, 503, DEFAULT_RETRY_AFTER)]


def test_stopping_process_without_a_configuration_refuses_at_once() -> None:
    """Guard against requests that wait for a configuration until their process ends."""
    relaying = Relaying(configured=False)
    relaying.requests.grace_period.begin(refuses_from=0.2, ends_at=3.3)
    relaying.arrive(RouteKind.IDEMPOTENT, now=0.3)
    assert relaying.out == [("refuse", 1, 503, DEFAULT_RETRY_AFTER)]
