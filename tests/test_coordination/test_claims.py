"""Test when claims are available, over several partitions."""

from __future__ import annotations

from functools import partial

import pytest

from ryelever.coordination.claims import Claims
from ryelever.protocol.log import claims_stream, claims_streams
from ryelever.state.claims import ClaimsFold
from ryelever.state.records import Claim, Entry

from ..memory_log import EPOCH

STREAMS = claims_streams(4)
MAX_LAG = 4.0


def _claims() -> Claims:
    claims = Claims(
        owner="e1/a",
        stream="claims",
        folds_by_stream={name: ClaimsFold() for name in STREAMS},
        stream_of=partial(claims_stream, n_partitions=4),
        max_lag=MAX_LAG,
    )
    for name in STREAMS:
        claims.caught_up(name, at=0.0)
    return claims


CASES = [
    # partitions read to their end at time 10, partition with records missing, now
    (STREAMS, "", 10.0 + MAX_LAG, True),
    (STREAMS, "", 10.1 + MAX_LAG, False),
    (STREAMS[1:], "", 10.0, False),
    (STREAMS, STREAMS[2], 10.0, False),
]


@pytest.mark.parametrize(("caught_up", "missing", "now", "available"), CASES)
def test_no_claim_without_the_whole_log(
    caught_up: list[str], missing: str, now: float, available: bool
) -> None:
    """Ask for a claim while the log is down or records are missing.

    Symptom: a booking runs twice.  Sequence: its claim is in a part of the log that
    this host has not read.  Cause: a key that is not known is taken for free.
    """
    claims = _claims()
    for name in caught_up:
        claims.caught_up(name, at=10.0)
    if missing:
        claims.folds_by_stream[missing].lost(before=5, reason="expired")
    assert claims.available(now=now) is available


def test_key_is_looked_up_in_its_partition() -> None:
    """Spread keys over all partitions and find each again."""
    claims = _claims()
    keys = [f"acme/{int(EPOCH * 1000)}-{index}" for index in range(100)]
    for offset, key in enumerate(keys):
        record = Claim(key=key, fingerprint="f", owner="e1/a", request_id="r")
        fold = claims.folds_by_stream[claims.stream_of(key)]
        fold.apply(Entry(offset=offset, time=EPOCH, id=key, record=record))
    sizes = [len(fold.claims_by_key) for fold in claims.folds_by_stream.values()]
    assert sum(sizes) == 100 and min(sizes) > 10
    assert all(claims.lookup(key) is not None for key in keys)
    # The same in every process and release: a claim in another partition is lost.
    assert claims.stream_of("acme/1800000000000-0") == "claims-1"
