"""Test the pauses after failed calls to the log."""

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
    """Check that each consecutive failure doubles the pause up to ``MAX_PAUSE``."""
    backoff = Backoff(jitter=lambda: jitter)
    for _ in range(n_failures):
        backoff.failed(now=10.0)
    assert not backoff.is_due(now=10.0 + pause - 0.01)
    assert backoff.is_due(now=10.0 + pause + 0.01)


def test_success_resets_the_pause() -> None:
    """Check that the first call has no pause and that a success resets the pause."""
    backoff = Backoff(jitter=lambda: 0.5)
    assert backoff.is_due(now=0.0)
    for _ in range(5):
        backoff.failed(now=0.0)
    backoff.succeeded()
    backoff.failed(now=10.0)
    assert backoff.is_due(now=10.21)
