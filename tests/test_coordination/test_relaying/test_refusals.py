"""Test what operators see of requests that are held or refused for lack of a slot."""

from __future__ import annotations

import pytest

from ryelever.state.routes import RouteKind

from .relay_fakes import Relaying

BASIS = {"n_ahead": 4, "expected_wait": 1.23456, "views_age": 0.25}
LOGGED = {"rank": [0, 1], "n_ahead": 4, "expected_wait": 1.235, "views_age": 0.25}


@pytest.mark.parametrize("contended", [True, False])
def test_held_and_refused_requests_are_logged_and_counted(contended: bool) -> None:
    """Guard against refusals without a cause, and against changes to other services."""
    relaying = Relaying(n_servers=0)
    relaying.arrive(RouteKind.STREAM)
    request = relaying.requests.requests_by_number[1]
    request.contended, request.rank, request.n_sent = contended, (0, 1), 1
    reports = relaying.requests._reports
    refusals = relaying.requests._refusals
    reports.sent(request, limited=False, now=0.5)
    for reason in ("queue_full", "no_place"):
        refusals.end_without_answer(request, reason, now=2.0, retry_after=0.7, **BASIS)
    (_, refused), (_, answered) = relaying.lines
    if not contended:
        assert not {"rank", "retry_after", "n_ahead"} & {*refused, *answered}
        return
    reports.held(request, n_ahead=4, expected_wait=1.23456)
    assert refused.items() >= (LOGGED | {"retry_after": 0.7, "model": "large"}).items()
    assert answered.items() >= (LOGGED | {"retry_after": 0.7, "n_servers": 0}).items()
    text = relaying.measures._metrics.render().decode()
    assert 'relay_refused_for_room_total{kind="large 0/1"} 2.0' in text
    assert 'relay_held_total{kind="large 0/1"} 1.0' in text
    assert 'relay_wait_seconds_count{rank="0/1"} 1.0' in text
