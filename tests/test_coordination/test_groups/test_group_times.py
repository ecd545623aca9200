"""Test the totals of the times that groups spend in each phase."""

from __future__ import annotations

import pytest

from ryelever.coordination.groups.managed_group import GroupPhase
from ryelever.coordination.groups.times import MAX_OBSERVED_GAP, GroupTimes

FORMING, SERVING, ENDING = GroupPhase.FORMING, GroupPhase.SERVING, GroupPhase.ENDING


def test_times_of_groups_add_up() -> None:
    seen: list[tuple[str, float]] = []
    times = GroupTimes(observe=lambda phase, seconds: seen.append((phase, seconds)))
    times.update({"a": FORMING, "b": SERVING}, n_stranded=4, now=10.0)
    times.update({"a": FORMING, "b": SERVING}, n_stranded=4, now=11.0)
    times.update({"a": SERVING, "b": ENDING}, n_stranded=1, now=11.5)
    times.update({"a": SERVING}, n_stranded=0, now=12.0)
    assert seen == [("forming", 1.5), ("serving", 1.5)]
    assert times.down == {"forming": 1.0, "ending": 0.5}
    assert times.stranded == pytest.approx(4.5)


def test_time_while_the_process_was_paused_is_capped() -> None:
    times = GroupTimes(observe=lambda phase, seconds: None)
    times.update({"a": ENDING}, n_stranded=1, now=0.0)
    times.update({"a": ENDING}, n_stranded=1, now=600.0)
    assert times.down["ending"] == MAX_OBSERVED_GAP
    assert times.stranded == MAX_OBSERVED_GAP
