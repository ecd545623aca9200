"""Test which zone's turn it is to take a group apart."""

from __future__ import annotations

from ryelever.coordination.groups.reshaping import ANNOUNCED_FOR, ReshapingTurn


def test_one_zone_of_several_goes_on() -> None:
    """Show that a shortage that all zones see is mended by one of them.

    Symptom: on a quiet day a model goes from five groups to two, and half of its
    requests come late.
    Sequence: the other model loses two groups; three planners see it short of groups
    in the same tenth of a second, and each takes a group of the first model apart.
    Cause: each decided on what all had before.
    """
    turns = {zone: ReshapingTurn(zone=zone) for zone in "abc"}
    assert not any(turn.ask(set(), now=0.0) for turn in turns.values())
    announced = {zone for zone, turn in turns.items() if turn.is_announced}
    assert announced == set("abc")
    for zone, turn in turns.items():
        turn.ask(announced - {zone}, now=0.5)
    announced = {zone for zone, turn in turns.items() if turn.is_announced}
    assert announced == {"a"}
    assert turns["a"].ask(set(), now=ANNOUNCED_FOR)
    assert not turns["b"].ask({"a"}, now=5.0)
    turns["a"].end()
    assert not turns["b"].ask(set(), now=6.0)
    assert turns["b"].ask(set(), now=6.1 + ANNOUNCED_FOR)


def test_a_zone_that_is_cut_off_acts_alone() -> None:
    turn = ReshapingTurn(zone="c")
    turn.ask(set(), now=0.0)
    assert turn.ask(set(), now=ANNOUNCED_FOR)
