"""Test when an entry host reports ready."""

from __future__ import annotations

import pytest

from ryelever.coordination.readiness import (
    INPUTS_TIMEOUT,
    Readiness,
    ReadinessInputs,
)


def _inputs(text: str, n_unreported: int = 0) -> ReadinessInputs:
    return ReadinessInputs(
        has_configuration="c" in text,
        has_hosts="h" in text,
        has_placement="p" in text,
        n_unreported=n_unreported,
    )


CASES = {
    "nothing is known, however long": ([(0, _inputs("")), (99, _inputs(""))], False),
    "no configuration": ([(0, _inputs("hp")), (99, _inputs("hp"))], False),
    "no list of hosts": ([(0, _inputs("cp")), (99, _inputs("cp"))], False),
    "placement not read": ([(0, _inputs("ch"))], False),
    "an engine without a report": ([(0, _inputs("chp", 1))], False),
    "all is known": ([(0, _inputs("chp"))], True),
    "known step by step": ([(0, _inputs("ch", 4)), (1, _inputs("chp"))], True),
    "just before the end of the wait": (
        [(5, _inputs("ch")), (4.9 + INPUTS_TIMEOUT, _inputs("ch"))],
        False,
    ),
    "log away, waited long enough": (
        [(5, _inputs("ch", 2)), (5 + INPUTS_TIMEOUT, _inputs("ch", 2))],
        True,
    ),
    "the wait begins with the list": (
        [(0, _inputs("c")), (INPUTS_TIMEOUT, _inputs("ch"))],
        False,
    ),
    "ready once, then the fleet goes dark": (
        [(0, _inputs("chp")), (1, _inputs("c", 9))],
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
    results = [readiness.update(inputs, now=at) for at, inputs in inputs_at]
    assert results[-1] is ready
