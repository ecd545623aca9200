"""Test the expected times to the first event of a stream."""

from __future__ import annotations

import pytest

from ryelever.coordination.relaying.first_event import FirstEventEstimate

from ..test_groups.group_fakes import server
from ..test_groups.test_group_forming import ENGINE, LARGE


@pytest.fixture
def estimate() -> FirstEventEstimate:
    return FirstEventEstimate()


def test_long_prompts_and_full_batches_take_longer(
    estimate: FirstEventEstimate,
) -> None:
    """Guard against limits that ignore the work of a request."""
    pace = LARGE.pace
    found = estimate.expected(ENGINE, "large", n_prompt=4600, n_running=10)
    assert found == pytest.approx(pace * (0.1 + 1.5 * 5 * 0.011))
    absent = estimate.expected(ENGINE, "large", n_prompt=-1, n_running=0)
    assert absent == pytest.approx(pace * 1.5 * 5 * 0.006)


def test_slow_group_is_noticed_and_forgiven(estimate: FirstEventEstimate) -> None:
    """Guard against groups that are avoided for good, or for a single late event."""
    slots = server("s").slots
    estimate.observe("s", expected=0.1, seconds=100.0, now=0.0)
    assert estimate.slowness("s", 0.0) == pytest.approx(4.5)
    for now in range(1, 20):
        estimate.observe("s", expected=0.1, seconds=100.0, now=now)
    assert 6.0 < estimate.slowness("s", 19.0) <= 8.0
    assert slots / 8 <= estimate.effective_slots(server("s"), 19.0) < slots / 6
    assert estimate.slowness("s", 45.0) == pytest.approx(1.0, abs=0.3)
    estimate.observe("other", expected=0.1, seconds=0.1, now=90.0)
    assert estimate.slowness("s", 90.0) == 1.0
