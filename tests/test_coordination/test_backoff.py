"""Test the pauses after failures of the log."""

from __future__ import annotations

import pytest

from ryelever.coordination.backoff import Backoff


@pytest.mark.parametrize(
    ("n_failures", "jitter", "pause"),
    [
        (1, 0.0, 0.1),
        (1, 0.5, 0.2),
        (1, 1.0, 0.3),
        (2, 0.5, 0.4),
        (4, 0.5, 1.6),
        (5, 0.5, 3.0),
        (1000, 0.5, 3.0),
    ],
)
def test_pause_grows_to_its_longest(
    n_failures: int, jitter: float, pause: float
) -> None:
    """Double the pause at each failure in a row, up to a longest one."""
    backoff = Backoff(jitter=lambda: jitter)
    for _ in range(n_failures):
        backoff.failed(now=10.0)
    assert not backoff.is_due(now=10.0 + pause - 0.01)
    assert backoff.is_due(now=10.0 + pause + 0.01)


def test_success_begins_anew() -> None:
    """Begin with the shortest pause after a success, and with none at all."""
    backoff = Backoff(jitter=lambda: 0.5)
    assert backoff.is_due(now=0.0)
    for _ in range(5):
        backoff.failed(now=0.0)
    backoff.succeeded()
    backoff.failed(now=10.0)
    assert backoff.is_due(now=10.21)
