"""Test the fold of claims and outcomes of non-repeatable requests."""

from __future__ import annotations

import pytest

from ryelever.state.claims import MAX_TIME_TO_FREE, ClaimsFold
from ryelever.state.records import Claim, Outcome, Record, Unreadable

from ..builders import new_claim, new_entry
from ..memory_log import FIRST_APPEND_TIME

WINDOW, MAX_AHEAD = 100.0, 10.0
KEY = f"acme/{int(FIRST_APPEND_TIME * 1000)}-rex"


def _claim(owner: str, request_id: str = "r1", key: str = KEY) -> Claim:
    return new_claim(key, owner, request_id)


def _outcome(owner: str, run_state: str, request_id: str = "r1") -> Outcome:
    return Outcome(
        key=KEY, owner=owner, run_state=run_state, status=201, request_id=request_id
    )


UNKNOWN = Unreadable(kind="New", known_kind=False, reason="unknown kind")

#: Records, each with its append time in seconds after the key's time of issue.
FIRST, SECOND = (0, _claim("e1")), (0, _claim("e2", "r2"))
CLAIMED_AGAIN = (0, _claim("e1", "r2"))
RAN, FREED = (0, _outcome("e1", "run")), (0, _outcome("e1", "not_run"))
OUTCOME_OF_OTHER_OWNER = (0, _outcome("e2", "not_run"))
LATE_SECOND = (WINDOW + 1, _claim("e2", "r2"))
LATE_OUTCOME_OF_OTHER_OWNER = (WINDOW + 1, _outcome("e2", "run"))
EARLY = (-MAX_AHEAD - 1, _claim("e1"))
WITHOUT_ISSUE_TIME = (0, _claim("e1", key="acme/rex"))

TOO_OLD = "key was issued more than 100 s ago"
TOO_EARLY = "key was issued more than 10 s in the future"

#: Records, the final owner of the key, and the reason why the last record was ignored.
CASES = {
    "first claim only": ([FIRST, SECOND], "e1", "key is claimed already at offset 0"),
    "freed key is claimed again": ([FIRST, FREED, SECOND], "e2", None),
    "outcome by a host that does not own the claim": (
        [FIRST, OUTCOME_OF_OTHER_OWNER],
        "e1",
        "claim is owned by e1",
    ),
    "outcome of an earlier claim, late": (
        [FIRST, FREED, CLAIMED_AGAIN, FREED],
        "e1",
        "claim is of request r2",
    ),
    "key freed after a caller may have been told that the outcome is unknown": (
        [(0, _claim("e1")), (MAX_TIME_TO_FREE + 1, _outcome("e1", "not_run"))],
        "e1",
        "key was claimed more than 90 s ago",
    ),
    "key freed in time": (
        [(0, _claim("e1")), (MAX_TIME_TO_FREE, _outcome("e1", "not_run"))],
        None,
        None,
    ),
    "late outcome of a request that was run": (
        [(0, _claim("e1")), (MAX_TIME_TO_FREE + 9, _outcome("e1", "run"))],
        "e1",
        None,
    ),
    "second outcome": ([FIRST, RAN, RAN], "e1", "outcome is known already"),
    "key at the end of its window": ([(WINDOW, _claim("e1"))], "e1", None),
    "key too old": ([(WINDOW + 1, _claim("e1"))], None, TOO_OLD),
    "key forgotten, then claimed again": (
        [FIRST, RAN, LATE_SECOND],
        None,
        TOO_OLD,
    ),
    "key forgotten, then the log's clock is set back": (
        [FIRST, LATE_OUTCOME_OF_OTHER_OWNER, SECOND],
        None,
        TOO_OLD,
    ),
    "key issued in the future": ([EARLY], None, TOO_EARLY),
    "key without a time of issue": (
        [WITHOUT_ISSUE_TIME],
        None,
        "key carries no time of issue",
    ),
}


@pytest.mark.parametrize(
    ("records", "owner", "reason"), CASES.values(), ids=CASES.keys()
)
def test_only_the_first_claim_of_a_key_takes_effect(
    records: list[tuple[float, Record]], owner: str | None, reason: str | None
) -> None:
    """Fold claims and outcomes, including late and repeated ones.

    Guards against making a charge twice: several entry hosts append claims of one key
    and their outcomes in an unfavorable order, and a later claim is treated as the
    first one, or a claim is freed or dropped while the key can still be claimed.
    """
    fold = ClaimsFold(window=WINDOW, max_ahead=MAX_AHEAD)
    last = None
    for offset, (seconds, record) in enumerate(records):
        last = fold.apply(new_entry(offset, record, time=FIRST_APPEND_TIME + seconds))
    assert last == reason
    claim = fold.claims_by_key.get(KEY)
    assert (claim.owner if claim else None) == owner


#: Kind of the gap, append times of the records after it, and whether the gap has ended.
#: Times are in seconds after the gap.  With "unknown kind", the window starts at 0;
#: with "expired", the window starts at the first record that follows.
GAPS = [
    ("expired", [], False),
    ("expired", [1], False),
    ("expired", [1, 1 + WINDOW + MAX_AHEAD], False),
    ("expired", [1, 2 + WINDOW + MAX_AHEAD], True),
    ("unknown kind", [WINDOW + MAX_AHEAD], False),
    ("unknown kind", [1 + WINDOW + MAX_AHEAD], True),
]


@pytest.mark.parametrize(("kind", "seconds", "complete"), GAPS)
def test_gap_ends_once_no_missed_key_can_be_claimed(
    kind: str, seconds: list[float], complete: bool
) -> None:
    """Continue reading after a loss of records, without a snapshot.

    Guards against a state in which, after all hosts were replaced, no booking is
    possible any more: a claim expires in the log before it is read, and the reader's
    state never counts as complete again.  If the gap ended too early instead, a claimed
    key would be treated as unclaimed.
    """
    fold = ClaimsFold(window=WINDOW, max_ahead=MAX_AHEAD)
    if kind == "expired":
        fold.record_loss(before=1, reason="expired")
    else:
        fold.apply(new_entry(0, UNKNOWN, time=FIRST_APPEND_TIME))
    for offset, second in enumerate(seconds, start=1):
        record = _outcome("nobody", "run")
        fold.apply(new_entry(offset, record, time=FIRST_APPEND_TIME + second))
    assert fold.complete is complete


def test_claims_are_dropped_after_their_window() -> None:
    """Claim a key each second for ten windows and count the claims that are kept."""
    fold = ClaimsFold(window=WINDOW, max_ahead=MAX_AHEAD)
    for second in range(int(10 * WINDOW)):
        time = FIRST_APPEND_TIME + second
        key = f"acme/{int(time * 1000)}-{second}"
        entry = new_entry(second, _claim("e1", key=key), time=time)
        assert fold.apply(entry) is None
    assert len(fold.claims_by_key) == WINDOW + 1
    assert len(fold.to_snapshot(snapshot="s")[0].remembered) == 61
