"""Test that stragglers are found by comparison, and only a share is ejected."""

from __future__ import annotations

import pytest

from ryelever.coordination.routing.stragglers import Stragglers

NAMES = tuple(f"g-{number}" for number in range(10))


def _run(
    *,
    slow: dict[str, float],
    failing: tuple[str, ...] = (),
    first_token: float = 0.1,
) -> Stragglers:
    """Return a ``Stragglers`` that compared ten siblings after ten requests each."""
    stragglers = Stragglers()
    for name in NAMES:
        for _ in range(10):
            seconds = first_token * slow.get(name, 1.0)
            stragglers.first_token(name, seconds=seconds, now=0.0)
            failed, pause = name in failing, seconds / 10
            stragglers.ended(name, failed=failed, between_tokens=pause, now=0.0)
    stragglers.compare("siblings", NAMES, now=0.0)
    return stragglers


def _ejected(stragglers: Stragglers) -> list[str]:
    return [name for name in NAMES if stragglers.is_ejected(name)]


#: Slow servers with their factor, failing servers, seconds to the first token of the
#: others, servers that are ejected.
CASES = {
    "alike": ({}, (), 0.1, []),
    "a little slow": ({"g-3": 2.0}, (), 0.1, []),
    "slow": ({"g-3": 5.0}, (), 0.1, ["g-3"]),
    "failing": ({}, ("g-4",), 0.1, ["g-4"]),
    "all slow": ({}, (), 50.0, []),
    "all fail": ({}, NAMES, 0.1, []),
    "most slow": (dict.fromkeys(NAMES[:6], 9.0), (), 0.1, []),
    "three slow": ({"g-1": 9.0, "g-2": 8.0, "g-3": 7.0}, (), 0.1, ["g-1", "g-2"]),
    "mixed": ({"g-1": 8.0}, ("g-2", "g-3", "g-4"), 0.1, ["g-3", "g-4"]),
}


@pytest.mark.parametrize(
    ("slow", "failing", "first_token", "ejected"), CASES.values(), ids=CASES
)
def test_only_a_share_of_the_worst_is_ejected(
    slow: dict[str, float],
    failing: tuple[str, ...],
    first_token: float,
    ejected: list[str],
) -> None:
    """Of ten siblings, only a share that lags most is ejected.

    Guards against an absolute limit, or no limit on the number of ejected servers: when
    the whole fleet is slow for a moment, each server exceeds the limit and is ejected,
    and its load slows the next, until no server is left.
    """
    stragglers = _run(slow=slow, failing=failing, first_token=first_token)
    assert _ejected(stragglers) == ejected


def test_few_samples_eject_no_server() -> None:
    stragglers = Stragglers()
    for name in NAMES:
        stragglers.first_token(name, seconds=9.0 if name == "g-3" else 0.1, now=0.0)
    stragglers.compare("siblings", NAMES, now=0.0)
    assert _ejected(stragglers) == []


def test_only_one_of_two_is_ejected() -> None:
    stragglers = Stragglers()
    for name, seconds in (("g-0", 0.1), ("g-1", 0.9)):
        for _ in range(10):
            stragglers.first_token(name, seconds=seconds, now=0.0)
    stragglers.compare("two", NAMES[:2], now=0.0)
    for _ in range(10):
        stragglers.first_token("g-0", seconds=99.0, now=1.0)
    stragglers.compare("two", NAMES[:2], now=2.0)
    assert _ejected(stragglers) == ["g-1"]


@pytest.mark.parametrize(
    ("probe_seconds", "failed", "readmitted"),
    [(0.1, False, True), (0.9, False, False), (0.1, True, False)],
)
def test_one_probe_decides_the_readmission(
    probe_seconds: float, failed: bool, readmitted: bool
) -> None:
    """After the hold, a single probe decides whether a server is readmitted.

    Guards against a burst of late answers each time the hold of a group that is still
    slow ends: all entry hosts send their full share of requests at once, if the group
    is readmitted without a probe or after any number of probes.
    """
    stragglers = _run(slow={"g-3": 5.0})
    assert not stragglers.may_receive("g-3", now=9.9)
    assert stragglers.may_receive("g-3", now=10.0)
    stragglers.started("g-3", now=10.0)
    assert not stragglers.may_receive("g-3", now=10.1)
    stragglers.first_token("g-3", seconds=probe_seconds, now=11.0)
    stragglers.ended("g-3", failed=failed, between_tokens=probe_seconds / 10, now=12.0)
    assert stragglers.is_ejected("g-3") is not readmitted
    assert stragglers.may_receive("g-3", now=23.0) is readmitted
    assert stragglers.may_receive("g-3", now=32.0)


def test_lost_probe_is_abandoned() -> None:
    stragglers = _run(slow={"g-3": 5.0})
    stragglers.started("g-3", now=10.0)
    assert not stragglers.may_receive("g-3", now=39.9)
    assert stragglers.may_receive("g-3", now=40.0)
