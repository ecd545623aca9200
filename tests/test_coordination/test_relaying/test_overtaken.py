"""Test which silent streams count as overtaken by others of their server."""

from __future__ import annotations

from typing import Any

import pytest

from ryelever.coordination.relaying import overtaken
from ryelever.coordination.relaying.overtaken import (
    MAX_BEGUN,
    MIN_SILENCE,
    OvertakenWatch,
)

from .engine_fakes import Engine, Run

TICK = 0.1

#: A first event and a pause that are usual at a full group.
USUAL = {
    "slots": 13,
    "step": 0.006,
    "step_per_stream": 0.0005,
    "reading_rate": 46_000.0,
}


def _steady(start: float, end: float) -> list[float]:
    """Return the times of events 0.05 s apart."""
    return [start + 0.05 * index for index in range(round((end - start) / 0.05) + 1)]


def _noticed_at(
    first: dict[str, Any],
    *others: dict[str, Any],
    end: float = 3.0,
    delayed: tuple[float, float] = (9.0, 9.0),
) -> float | None:
    """Return the time at which the first of some streams counts as overtaken.

    Each stream is given by the time at which it was ``sent``, and if they aren't usual
    the times of its ``events``, its ``urgency``, the tokens ``n_prompt`` and the server
    ``at`` which it is. Streams with events end with the last one if they ``end``.

    Parameters
    ----------
    delayed : tuple of (float, float)
        Time span without checks.
    """
    watch = OvertakenWatch()
    steps: list[tuple[float, int, Any]] = []
    for index, stream in enumerate((first, *others)):
        steps.append((stream["sent"], 0, (index, stream)))
        events = stream.get("events", [])
        steps += [(at, 1, (index, stream)) for at in events]
        if stream.get("ends"):
            steps.append((events[-1], 2, (index, stream)))
    n_ticks = round(end / TICK)
    steps += [(index * TICK, 3, None) for index in range(n_ticks + 1)]
    for now, kind, item in sorted(steps, key=lambda step: step[:2]):
        if kind == 3:
            if not delayed[0] < now < delayed[1] and "0" in watch.overtaken(now=now):
                return now
            continue
        index, stream = item
        if kind == 0:
            watch.sent(
                stream.get("at", "h0"),
                str(index),
                urgency=stream.get("urgency", 1),
                n_prompt=stream.get("n_prompt", 100),
                expected=stream.get("expected", 0.06),
                now=now,
            )
        elif kind == 1:
            watch.progressed(str(index), now=now)
        else:
            watch.ended(str(index))
    return None


LATER = {"sent": 0.4, "events": _steady(0.6, 3.0)}

BEFORE_FIRST_EVENT = {
    "later stream begins": ({}, [LATER], 1.0),
    "and ends": ({}, [LATER | {"events": [0.6], "ends": True}], 1.0),
    "less urgent one begins": ({}, [LATER | {"urgency": 2}], 1.0),
    "longer one begins": ({}, [LATER | {"n_prompt": 900}], 1.0),
    "later stream begins late": (
        {},
        [LATER | {"events": _steady(1.0, 3.0)}],
        1.4,
    ),
    "nothing else at the server": ({}, [], None),
    "later stream has not begun": ({}, [LATER | {"events": []}], None),
    "later stream at another server": ({}, [LATER | {"at": "h1"}], None),
    "more urgent one begins": ({}, [LATER | {"urgency": 0}], None),
    "shorter one begins": ({"n_prompt": 200}, [LATER], None),
    "length is unknown": ({"n_prompt": 0}, [LATER], None),
    "length of the later one is unknown": ({}, [LATER | {"n_prompt": 0}], None),
    "sent at almost the same time": ({}, [LATER | {"sent": 0.1}], None),
    "earlier stream goes on": ({"sent": 0.5}, [LATER], None),
    "long prompts at a slow server": (
        {"n_prompt": 30_000, "expected": 1.5},
        [LATER | {"n_prompt": 30_000, "expected": 1.5}],
        None,
    ),
    "long prompts, nothing published": (
        {"n_prompt": 30_000, "expected": 0.0},
        [LATER | {"n_prompt": 30_000, "expected": 0.0}],
        None,
    ),
    "overload": (
        {},
        [{"sent": 0.5, "events": _steady(2.5, 5.0)}],
        None,
    ),
}


@pytest.mark.parametrize("case", BEFORE_FIRST_EVENT)
def test_stream_without_event(case: str) -> None:
    """Guard against requests that are forgotten, and against needless retries."""
    first, others, expected = BEFORE_FIRST_EVENT[case]
    noticed_at = _noticed_at({"sent": 0.0} | first, *others, end=2.8)
    assert noticed_at == pytest.approx(expected, abs=1.01 * TICK)


BEGUN = {"sent": 0.0, "events": _steady(0.2, 1.0)}
NEWER = {"sent": 0.3, "events": _steady(0.5, 3.0)}

IN_THE_MIDDLE = {
    "newer stream goes on": ({}, [NEWER], 2.0),
    "newer stream ends later": (
        {},
        [NEWER | {"events": _steady(0.5, 1.7), "ends": True}],
        2.0,
    ),
    "later stream begins": (
        {},
        [{"sent": 1.4, "events": [1.6], "n_prompt": 1000}],
        2.0,
    ),
    "nothing else at the server": ({}, [], None),
    "older stream goes on": ({"sent": 0.1}, [NEWER | {"sent": 0.0}], None),
    "more urgent stream goes on": ({}, [NEWER | {"urgency": 0}], None),
    "newer stream at another server": ({}, [NEWER | {"at": "h1"}], None),
    "newer stream stops as well": ({}, [NEWER | {"events": _steady(0.5, 1.3)}], None),
    "newer stream pauses as well": (
        {},
        [NEWER | {"events": _steady(0.5, 1.1) + _steady(1.5, 3.0)}],
        None,
    ),
    "admitted again after the newer one": (
        {"events": _steady(0.2, 0.4) + _steady(0.7, 1.0)},
        [NEWER],
        None,
    ),
    "later stream is shorter than what is read again": (
        {},
        [{"sent": 1.4, "events": _steady(1.6, 3.0)}],
        None,
    ),
    "more urgent stream begins": (
        {},
        [{"sent": 1.4, "events": _steady(1.6, 3.0), "n_prompt": 900, "urgency": 0}],
        None,
    ),
}


@pytest.mark.parametrize("case", IN_THE_MIDDLE)
def test_stream_that_has_begun(case: str) -> None:
    """Guard against streams that are forgotten, and against moved preempted ones."""
    first, others, expected = IN_THE_MIDDLE[case]
    noticed_at = _noticed_at(BEGUN | first, *others)
    assert noticed_at == pytest.approx(expected, abs=1.01 * TICK)


def test_delay_of_this_process_is_no_silence() -> None:
    """Guard against retries since this process has not read events in time."""
    noticed_at = _noticed_at({"sent": 0.0}, LATER, delayed=(0.25, 1.45))
    assert noticed_at == pytest.approx(1.5 + MIN_SILENCE, abs=1.01 * TICK)


def test_nothing_is_kept_of_streams_that_have_ended() -> None:
    """Guard against memory that grows with each stream."""
    watch = OvertakenWatch()
    for number in range(1000):
        attempt_id = str(number)
        watch.sent(
            f"h{number}", attempt_id, urgency=1, n_prompt=1, expected=0.1, now=number
        )
        watch.progressed(attempt_id, now=number + 0.1)
        watch.ended(attempt_id)
        watch.ended(attempt_id)
    assert not watch._servers_by_id
    assert not watch._streams_by_attempt


def test_each_silent_stream_is_compared_with_few_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against checks whose cost grows with the square of the streams."""
    n_compared = 0
    has_passed = overtaken._has_passed

    def count(*args: Any, **fields: Any) -> bool:
        nonlocal n_compared
        n_compared += 1
        return has_passed(*args, **fields)

    monkeypatch.setattr(overtaken, "_has_passed", count)
    watch = OvertakenWatch()
    for number in range(2000):
        watch.sent("h0", str(number), urgency=1, n_prompt=100, expected=0.1, now=0.0)
    for number in range(2000):
        watch.progressed(str(number), now=0.1)
    for now in range(1, 11):
        watch.overtaken(now=now / 10)
    assert n_compared == 0
    assert watch.overtaken(now=1.1) == []
    assert 0 < n_compared <= 2000 * MAX_BEGUN


SOUND = {
    "usual load": (USUAL, {"rate": 6.0}),
    "overload": (USUAL, {"rate": 14.0}),
    "long prompts": (USUAL, {"rate": 5.0, "long_share": 0.1}),
    "long prompts, nothing published": (
        USUAL | {"reading_rate": 8_000.0},
        {"rate": 2.0, "long_share": 0.1, "is_published": False},
    ),
    "slow steps": (USUAL | {"step": 0.05}, {"rate": 1.2}),
    "little memory": (USUAL | {"memory": 6_000}, {"rate": 6.0}),
    "little memory and overload": (USUAL | {"memory": 6_000}, {"rate": 9.0}),
}


@pytest.mark.parametrize("case", SOUND)
def test_no_stream_of_a_sound_group_is_overtaken(case: str) -> None:
    """Guard against retries where servers answer all requests."""
    engine, load = SOUND[case]
    n_preempted = 0
    for seed in range(4):
        run = Run(Engine(**engine), seed=seed, **load)
        run.play(60.0)
        assert run.streams
        assert run.taken_wrongly() == []
        n_preempted += run.engine.n_preempted
    assert (n_preempted > 100) == ("memory" in case)


def test_forgotten_streams_are_found_beside_others() -> None:
    """Guard against a watch that finds nothing at an ordinary load."""
    n_forgotten = n_found = 0
    for seed in range(8):
        run = Run(Engine(**USUAL), seed=seed, rate=6.0, own_share=0.5, forgotten=0.05)
        run.play(60.0)
        assert run.taken_wrongly() == []
        forgotten = [item for item in run.streams if item.is_forgotten]
        n_forgotten += len(forgotten)
        n_found += sum(item.noticed_at is not None for item in forgotten)
    assert n_found > 0.25 * n_forgotten > 10
