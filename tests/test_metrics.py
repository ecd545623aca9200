"""Test how much time callers can make a process spend on its metrics."""

from __future__ import annotations

import pytest

from ryelever import metrics as metrics_module
from ryelever.metrics import MAX_RENDER_CREDIT, RENDER_SHARE, Metrics


def test_metrics_take_a_share_of_the_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a process that does nothing else while callers ask for metrics."""
    now = 100.0
    n_rendered = 0

    def render(self: Metrics) -> bytes:
        nonlocal now, n_rendered
        now += 0.01
        n_rendered += 1
        return b"%d" % n_rendered

    monkeypatch.setattr(metrics_module.time, "monotonic", lambda: now)
    monkeypatch.setattr(Metrics, "render", render)
    metrics = Metrics()
    ended_at = now + 10.0
    while now < ended_at:
        assert metrics.render_recent() == b"%d" % n_rendered
        now += 0.001
    assert n_rendered * 0.01 <= MAX_RENDER_CREDIT + RENDER_SHARE * 10.0 + 0.02


def test_metrics_are_current_when_requested_now_and_then() -> None:
    """Guard against counts that an operator sees late."""
    metrics = Metrics()
    metrics.count("events")
    assert b'ryelever_events_total{kind=""} 1.0' in metrics.render_recent()
    metrics.count("events")
    assert b'ryelever_events_total{kind=""} 2.0' in metrics.render_recent()
