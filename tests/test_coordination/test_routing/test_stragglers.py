"""Test that stragglers are found by comparison, and never all at once."""

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
    """Return what ten siblings have shown by ten requests each."""
    stragglers = Stragglers()
    for name in NAMES:
        for _ in range(10):
            seconds = first_token * slow.get(name, 1.0)
            stragglers.first_token(name, seconds=seconds, now=0.0)
            failed, pause = name in failing, seconds / 10
            stragglers.ended(name, failed=failed, between_tokens=pause, now=0.0)
    stragglers.compare("siblings", NAMES, now=0.0)
    return stragglers


def _out(stragglers: Stragglers) -> list[str]:
    return [name for name in NAMES if stragglers.is_ejected(name)]


#: Factors of the slow ones, those that fail, seconds to a first token, the ejected.
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
    ("slow", "failing", "first_token", "out"), CASES.values(), ids=CASES
)
def test_only_a_share_of_the_worst_is_ejected(
    slow: dict[str, float], failing: tuple[str, ...], first_token: float, out: list[str]
) -> None:
    """Slow down or fail some, most or all of ten siblings.

    Symptom: a slow moment of the whole fleet becomes an outage.  Sequence: each one
    exceeds a limit, is ejected, and its load slows the next.  Cause: an absolute
    limit, or no bound on how many may be out.
    """
    stragglers = _run(slow=slow, failing=failing, first_token=first_token)
    assert _out(stragglers) == out


def test_few_samples_judge_nobody() -> None:
    stragglers = Stragglers()
    for name in NAMES:
        stragglers.first_token(name, seconds=9.0 if name == "g-3" else 0.1, now=0.0)
    stragglers.compare("siblings", NAMES, now=0.0)
    assert _out(stragglers) == []


def test_one_of_two_may_be_out_but_not_both() -> None:
    stragglers = Stragglers()
    for name, seconds in (("g-0", 0.1), ("g-1", 0.9)):
        for _ in range(10):
            stragglers.first_token(name, seconds=seconds, now=0.0)
    stragglers.compare("two", NAMES[:2], now=0.0)
    for _ in range(10):
        stragglers.first_token("g-0", seconds=99.0, now=1.0)
    stragglers.compare("two", NAMES[:2], now=2.0)
    assert _out(stragglers) == ["g-1"]


@pytest.mark.parametrize(
    ("probe_seconds", "failed", "comes_back"),
    [(0.1, False, True), (0.9, False, False), (0.1, True, False)],
)
def test_one_probe_decides_the_return(
    probe_seconds: float, failed: bool, comes_back: bool
) -> None:
    """Let the hold end and one probe run.

    Symptom: each return of a group that is still slow costs a burst of late answers.
    Sequence: its hold ends, and all entry hosts send their full part at once.  Cause:
    it came back without a probe, or with as many as asked.
    """
    stragglers = _run(slow={"g-3": 5.0})
    assert not stragglers.may_take("g-3", now=9.9)
    assert stragglers.may_take("g-3", now=10.0)
    stragglers.started("g-3", now=10.0)
    assert not stragglers.may_take("g-3", now=10.1)
    stragglers.first_token("g-3", seconds=probe_seconds, now=11.0)
    stragglers.ended("g-3", failed=failed, between_tokens=probe_seconds / 10, now=12.0)
    assert stragglers.is_ejected("g-3") is not comes_back
    assert stragglers.may_take("g-3", now=23.0) is comes_back
    assert stragglers.may_take("g-3", now=32.0)


def test_lost_probe_is_given_up() -> None:
    stragglers = _run(slow={"g-3": 5.0})
    stragglers.started("g-3", now=10.0)
    assert not stragglers.may_take("g-3", now=39.9)
    assert stragglers.may_take("g-3", now=40.0)
