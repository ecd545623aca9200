"""Test how pauses of the process are noticed."""

from __future__ import annotations

import pytest

from ryelever.coordination.pauses import PauseWatch, SuspensionWatch


@pytest.mark.parametrize(
    ("now", "boot_time", "is_paused"),
    [
        pytest.param(10.5, 100.5, False, id="late"),
        pytest.param(13.0, 103.0, True, id="stopped"),
        pytest.param(10.1, 103.0, True, id="machine-suspended"),
    ],
)
def test_pauses_are_noticed_by_either_clock(
    now: float, boot_time: float, is_paused: bool
) -> None:
    """Guard against a suspended machine that doesn't notice its suspension."""
    watch = PauseWatch(max_gap=0.7)
    assert not watch.observe(now=10.0, boot_time=100.0)
    assert watch.observe(now=now, boot_time=boot_time) is is_paused
    assert watch.resumed_at == (now if is_paused else float("-inf"))
    assert not watch.observe(now=now + 0.1, boot_time=boot_time + 0.1)


def test_only_suspensions_of_the_machine_are_counted() -> None:
    """Guard against a lease that is given up because a process was only stopped."""
    watch = SuspensionWatch()
    assert watch.observe(now=10.0, boot_time=100.0) == 0.0
    assert watch.observe(now=13.0, boot_time=103.05) == 0.0
    assert watch.observe(now=13.1, boot_time=111.1) == pytest.approx(7.95)
    assert watch.observe(now=13.2, boot_time=111.2) == 0.0
