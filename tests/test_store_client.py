"""Test how a host detects from answers that the platform's store has returned."""

from __future__ import annotations

import pytest

from ryelever.events import OutboundAnswer, store_returned
from ryelever.platform.store import StoreCalls
from ryelever.store_client import StoreClient

STORE = StoreCalls(address="store")


def _answer(**headers: str) -> OutboundAnswer:
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    return OutboundAnswer(
        id="store-1", status=200, headers=named, body=b"", address="store", sent_at=0.0
    )


@pytest.mark.parametrize(
    ("eras", "n_returns"),
    [
        pytest.param(["1", "1"], 0, id="the-first-one-seen"),
        pytest.param(["1", "2", "1", "4"], 2, id="each-later-one"),
        pytest.param(["0", "1"], 1, id="from-zero"),
        pytest.param([None, "1"], 1, id="from-none"),
        pytest.param(["1", None, "many", "", "-2", "1"], 0, id="none-that-is-read"),
    ],
)
def test_return_of_the_store_is_detected_once(
    eras: list[str | None], n_returns: int
) -> None:
    """Guard against a return that is missed or counted twice."""
    client = StoreClient(address="store", era_of=STORE.era)
    fired: list[object] = []
    client.fire = lambda event, *channels: fired.append(event)
    for era in eras:
        client._on_answer(_answer() if era is None else _answer(store_era=era))
    assert sum(isinstance(event, store_returned) for event in fired) == n_returns
