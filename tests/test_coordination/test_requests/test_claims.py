"""Test when claims are available, over several partitions."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import pytest

from ryelever.coordination.requests.keyed_claims import Claims
from ryelever.protocol.log import claims_stream, claims_streams
from ryelever.state.claims import CLAIM_WINDOW, ClaimsFold
from ryelever.state.records import Claim, Entry, Outcome

from ...memory_log import EPOCH

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


#: The key's own partition, and another one.
KEY = f"acme/{int(EPOCH * 1000)}-k"
OWN = claims_stream(KEY, n_partitions=4)
OTHER = next(name for name in STREAMS if name != OWN)

KNOWN = [
    # partition read to its end, partition with records missing, newest record's
    # seconds after the key's issue, whether the key's history is known at time 5
    ("read since", OWN, "", 0, True),
    ("read before", "", "", 0, False),
    ("another partition read", OTHER, "", 0, False),
    ("records missing", OWN, OWN, 0, False),
    ("records of another partition missing", OWN, OTHER, 0, True),
    ("idle stream", OWN, "", -3600, True),
    ("claims forgotten by the log's clock", OWN, "", CLAIM_WINDOW + 1, False),
]


@pytest.mark.parametrize(
    ("caught_up", "missing", "age", "known"),
    [row[1:] for row in KNOWN],
    ids=[row[0] for row in KNOWN],
)
def test_history_of_a_key_is_known(
    caught_up: str, missing: str, age: float, known: bool
) -> None:
    """Ask whether a key that has no claim here was never claimed.

    Symptom: a caller is told "not run" of a booking that ran, and books again under
    a new key.  Sequence: another entry host claims and runs it; this one has not
    read that far, or has forgotten it.  Cause: not known was taken for not run.
    """
    claims = _claims()
    record = Claim(key=KEY[:-1] + "x", fingerprint="f", owner="e2", request_id="r")
    entry = Entry(offset=0, time=EPOCH + age, id="x", record=record)
    claims.folds_by_stream[OWN].apply(entry)
    if caught_up:
        claims.caught_up(caught_up, at=6.0)
    if missing:
        claims.folds_by_stream[missing].lost(before=5, reason="expired")
    assert claims.knows(KEY, since=5.0) is known


OWNER_GONE = [
    # seconds after the claim, read to the end then, newest record's seconds after
    # the claim, run state of the outcome appended then, what a resend is told
    ("owner at work", 119, True, 0, None, "in progress"),
    ("owner gone", 121, True, 0, None, "outcome_unknown"),
    ("owner gone, other claims read", 121, False, 121, None, "outcome_unknown"),
    ("log down since", 400, False, 0, None, "in progress"),
    ("owner back in time, run", 121, True, 90, "run", "run"),
    ("owner back in time, not run", 121, True, 90, "not_run", "free"),
    ("owner back late, run", 400, True, 300, "run", "run"),
    ("owner back late, not run", 400, True, 300, "not_run", "outcome_unknown"),
]


@pytest.mark.parametrize(
    ("age", "caught_up", "record_age", "outcome", "told"),
    [row[1:] for row in OWNER_GONE],
    ids=[row[0] for row in OWNER_GONE],
)
def test_resend_of_a_claim_whose_owner_is_gone(
    age: float, caught_up: bool, record_age: float, outcome: str | None, told: str
) -> None:
    """Ask for a claimed request again, before and after its owner's time is over.

    Symptom: "in progress" for ever; or a final "unknown" that is taken back, so that
    a caller who has booked anew meanwhile is charged for the resend as well.
    Sequence: an entry host claims a key, dies or pauses, and may come back.  Cause:
    only the owner appends the outcome, at any later time.
    """
    claims = _claims()
    fold = claims.folds_by_stream[OWN]
    claim = Claim(key=KEY, fingerprint="f", owner="e2", request_id="r")
    fold.apply(Entry(offset=0, time=EPOCH, id="c", record=claim))
    end = Outcome(key=KEY, owner="e2", run_state=outcome or "run", status=0)
    other = replace(end, key="acme/other")
    record = end if outcome else other
    fold.apply(Entry(offset=1, time=EPOCH + record_age, id="o", record=record))
    claims.observe_wall(EPOCH + age, now=1000.0)
    claims.caught_up(OWN, at=1000.0 if caught_up else 1000.0 - age)
    seen = claims.lookup(KEY)
    found = "free" if seen is None else "in progress"
    if seen is not None and seen.outcome is not None:
        found = seen.outcome.run_state
    assert found == told


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
