"""Test the lookup of claims in several partitions."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import pytest

from ryelever.coordination.requests.keyed_claims import Claims
from ryelever.protocol.log import claims_stream, claims_streams
from ryelever.state.claims import CLAIM_WINDOW, ClaimsFold
from ryelever.state.records import Claim, Entry, Outcome

from ...memory_log import FIRST_APPEND_TIME

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
        claims.record_caught_up(name, at=0.0)
    return claims


CASES = [
    # partitions read to their end at time 10, partition with records missing, now
    (STREAMS, "", 10.0 + MAX_LAG, True),
    (STREAMS, "", 10.1 + MAX_LAG, False),
    (STREAMS[1:], "", 10.0, False),
    (STREAMS, STREAMS[2], 10.0, False),
]


@pytest.mark.parametrize(("caught_up", "missing", "now", "available"), CASES)
def test_no_claim_without_the_complete_log(
    caught_up: list[str], missing: str, now: float, available: bool
) -> None:
    """Claims are unavailable while the log is down or records are missing.

    Guards against a booking that runs twice: its first claim is in a part of the log
    that this host has not read, and the host treats the key as unclaimed.
    """
    claims = _claims()
    for name in caught_up:
        claims.record_caught_up(name, at=10.0)
    if missing:
        claims.folds_by_stream[missing].record_loss(before=5, reason="expired")
    assert claims.available(now=now) is available


#: A key, its partition and another partition.
KEY = f"acme/{int(FIRST_APPEND_TIME * 1000)}-k"
KEY_PARTITION = claims_stream(KEY, n_partitions=4)
OTHER_PARTITION = next(name for name in STREAMS if name != KEY_PARTITION)

HISTORIES = [
    # case, partition read to its end, partition with records missing, seconds from the
    # key's issue to the newest record, whether all claims up to time 5 are known
    ("read since", KEY_PARTITION, "", 0, True),
    ("read before", "", "", 0, False),
    ("another partition read", OTHER_PARTITION, "", 0, False),
    ("records missing", KEY_PARTITION, KEY_PARTITION, 0, False),
    ("records of another partition missing", KEY_PARTITION, OTHER_PARTITION, 0, True),
    ("idle stream", KEY_PARTITION, "", -3600, True),
    ("claims forgotten by the log's clock", KEY_PARTITION, "", CLAIM_WINDOW + 1, False),
]


@pytest.mark.parametrize(
    ("caught_up", "missing", "age", "known"),
    [row[1:] for row in HISTORIES],
    ids=[row[0] for row in HISTORIES],
)
def test_history_of_a_key_is_known(
    caught_up: str, missing: str, age: float, known: bool
) -> None:
    """A key without a claim here counts as unclaimed only if its history is known.

    Guards against "not run" for a booking that ran, after which the caller books again
    under a new key: another entry host claimed and ran it, and this host has not read
    that claim yet or has forgotten it.
    """
    claims = _claims()
    record = Claim(key=KEY[:-1] + "x", fingerprint="f", owner="e2", request_id="r")
    entry = Entry(offset=0, time=FIRST_APPEND_TIME + age, id="x", record=record)
    claims.folds_by_stream[KEY_PARTITION].apply(entry)
    if caught_up:
        claims.record_caught_up(caught_up, at=6.0)
    if missing:
        claims.folds_by_stream[missing].record_loss(before=5, reason="expired")
    assert claims.has_all_claims(KEY, since=5.0) is known


OWNER_TIMEOUTS = [
    # case, seconds after the claim, whether the log is read to its end then, seconds
    # from the claim to the newest record, run state of the outcome in that record
    # (None: the record is of another key), state that a resend is answered with
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
    ("age", "caught_up", "record_age", "outcome", "expected_state"),
    [row[1:] for row in OWNER_TIMEOUTS],
    ids=[row[0] for row in OWNER_TIMEOUTS],
)
def test_resend_of_a_claim_whose_owner_is_gone(
    age: float,
    caught_up: bool,
    record_age: float,
    outcome: str | None,
    expected_state: str,
) -> None:
    """A resend is answered "unknown", finally, once the claim's owner has timed out.

    Guards against "in progress" for ever, and against a final "unknown" that changes
    later, so that a caller who booked again in the meantime is also charged for the
    resend.  An entry host claims a key, dies or pauses, and may return; only the owner
    appends the outcome, at any later time.
    """
    claims = _claims()
    fold = claims.folds_by_stream[KEY_PARTITION]
    claim = Claim(key=KEY, fingerprint="f", owner="e2", request_id="r")
    fold.apply(Entry(offset=0, time=FIRST_APPEND_TIME, id="c", record=claim))
    end = Outcome(key=KEY, owner="e2", run_state=outcome or "run", status=0)
    other = replace(end, key="acme/other")
    record = end if outcome else other
    fold.apply(
        Entry(offset=1, time=FIRST_APPEND_TIME + record_age, id="o", record=record)
    )
    claims.set_wall_clock(FIRST_APPEND_TIME + age, now=1000.0)
    claims.record_caught_up(KEY_PARTITION, at=1000.0 if caught_up else 1000.0 - age)
    found = claims.lookup(KEY)
    state = "free" if found is None else "in progress"
    if found is not None and found.outcome is not None:
        state = found.outcome.run_state
    assert state == expected_state


def test_key_is_looked_up_in_its_partition() -> None:
    """Keys are spread over all partitions, and each is found in its partition."""
    claims = _claims()
    keys = [f"acme/{int(FIRST_APPEND_TIME * 1000)}-{index}" for index in range(100)]
    for offset, key in enumerate(keys):
        record = Claim(key=key, fingerprint="f", owner="e1/a", request_id="r")
        fold = claims.folds_by_stream[claims.stream_of(key)]
        fold.apply(Entry(offset=offset, time=FIRST_APPEND_TIME, id=key, record=record))
    sizes = [len(fold.claims_by_key) for fold in claims.folds_by_stream.values()]
    assert sum(sizes) == 100 and min(sizes) > 10
    assert all(claims.lookup(key) is not None for key in keys)
    # The partition of a key must be the same in every process and release: a claim in
    # another partition would not be found.
    assert claims.stream_of("acme/1800000000000-0") == "claims-1"
