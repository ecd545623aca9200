"""Test when an entry host reports ready."""

from __future__ import annotations

import pytest

from ryelever.coordination.readiness import (
    INPUTS_TIMEOUT,
    Readiness,
    ReadinessInputs,
)


def _knows(text: str, n_unreported: int = 0) -> ReadinessInputs:
    return ReadinessInputs(
        has_configuration="c" in text,
        has_hosts="h" in text,
        has_placement="p" in text,
        n_unreported=n_unreported,
    )


CASES = {
    "nothing is known, however long": ([(0, _knows("")), (99, _knows(""))], False),
    "no configuration": ([(0, _knows("hp")), (99, _knows("hp"))], False),
    "no list of hosts": ([(0, _knows("cp")), (99, _knows("cp"))], False),
    "placement not read": ([(0, _knows("ch"))], False),
    "an engine without a report": ([(0, _knows("chp", 1))], False),
    "all is known": ([(0, _knows("chp"))], True),
    "known step by step": ([(0, _knows("ch", 4)), (1, _knows("chp"))], True),
    "just before the end of the wait": (
        [(5, _knows("ch")), (4.9 + INPUTS_TIMEOUT, _knows("ch"))],
        False,
    ),
    "log away, waited long enough": (
        [(5, _knows("ch", 2)), (5 + INPUTS_TIMEOUT, _knows("ch", 2))],
        True,
    ),
    "the wait begins with the list": (
        [(0, _knows("c")), (INPUTS_TIMEOUT, _knows("ch"))],
        False,
    ),
    "ready once, then the fleet goes dark": (
        [(0, _knows("chp")), (1, _knows("c", 9))],
        True,
    ),
}


@pytest.mark.parametrize(("inputs_at", "ready"), CASES.values(), ids=CASES)
def test_ready_when_enough_is_known_to_serve(
    inputs_at: list[tuple[float, ReadinessInputs]], ready: bool
) -> None:
    """Guard against an entry host that reports ready too early.

    A host starts, reads the configuration and the list of hosts, and receives requests
    before it has confirmed a group.  Right after each replacement of an entry host,
    requests would be refused that other hosts could serve.
    """
    readiness = Readiness()
    results = [readiness.look(inputs, now=at) for at, inputs in inputs_at]
    assert results[-1] is ready
