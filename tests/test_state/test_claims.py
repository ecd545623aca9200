"""Test the fold of claims and outcomes."""

from __future__ import annotations

import pytest

from ryelever.state.claims import FREED_WITHIN, ClaimsFold
from ryelever.state.records import Claim, Outcome, Record, Unreadable

from ..builders import new_claim, new_entry
from ..memory_log import EPOCH

WINDOW, MAX_AHEAD = 100.0, 10.0
KEY = f"acme/{int(EPOCH * 1000)}-rex"


def _claim(owner: str, request_id: str = "r1", key: str = KEY) -> Claim:
    return new_claim(key, owner, request_id)


def _outcome(owner: str, run_state: str, request_id: str = "r1") -> Outcome:
    return Outcome(
        key=KEY, owner=owner, run_state=run_state, status=201, request_id=request_id
    )


UNKNOWN = Unreadable(kind="New", known_kind=False, reason="unknown kind")

#: Records with their seconds after the key's time of issue.
FIRST, SECOND = (0, _claim("e1")), (0, _claim("e2", "r2"))
ANEW = (0, _claim("e1", "r2"))
RAN, FREED = (0, _outcome("e1", "run")), (0, _outcome("e1", "not_run"))
STRANGE = (0, _outcome("e2", "not_run"))
LATE_SECOND = (WINDOW + 1, _claim("e2", "r2"))
LATE_STRANGE = (WINDOW + 1, _outcome("e2", "run"))
EARLY = (-MAX_AHEAD - 1, _claim("e1"))
UNTIMED = (0, _claim("e1", key="acme/rex"))

TOO_OLD = "key was issued more than 100 s ago"
TOO_EARLY = "key was issued more than 10 s in the future"

#: Records, the owner of the key in the end, and why the last record was ignored.
CASES = {
    "first claim only": ([FIRST, SECOND], "e1", "key is claimed already at offset 0"),
    "freed key is claimed again": ([FIRST, FREED, SECOND], "e2", None),
    "outcome of somebody else": ([FIRST, STRANGE], "e1", "claim is owned by e1"),
    "outcome of an earlier claim, late": (
        [FIRST, FREED, ANEW, FREED],
        "e1",
        "claim is of request r2",
    ),
    "key freed too late, after a caller heard that the outcome is unknown": (
        [(0, _claim("e1")), (FREED_WITHIN + 1, _outcome("e1", "not_run"))],
        "e1",
        "key was claimed more than 90 s ago",
    ),
    "key freed in time": (
        [(0, _claim("e1")), (FREED_WITHIN, _outcome("e1", "not_run"))],
        None,
        None,
    ),
    "late outcome of what was run": (
        [(0, _claim("e1")), (FREED_WITHIN + 9, _outcome("e1", "run"))],
        "e1",
        None,
    ),
    "second outcome": ([FIRST, RAN, RAN], "e1", "outcome is known already"),
    "key at the end of its window": ([(WINDOW, _claim("e1"))], "e1", None),
    "key too old": ([(WINDOW + 1, _claim("e1"))], None, TOO_OLD),
    "key forgotten, then claimed again": ([FIRST, RAN, LATE_SECOND], None, TOO_OLD),
    "key forgotten, then the log's clock is set back": (
        [FIRST, LATE_STRANGE, SECOND],
        None,
        TOO_OLD,
    ),
    "key from the future": ([EARLY], None, TOO_EARLY),
    "key without a time": ([UNTIMED], None, "key carries no time of issue"),
}


@pytest.mark.parametrize(
    ("records", "owner", "reason"), CASES.values(), ids=CASES.keys()
)
def test_one_claim_of_a_key_counts(
    records: list[tuple[float, Record]], owner: str | None, reason: str | None
) -> None:
    """Fold claims, outcomes and what comes late or twice.

    Symptom: a charge is made twice.  Sequence: claims of one key from several entry
    hosts, with their outcomes, in an unlucky order.  Cause: a later claim is taken
    for the first one, or a claim is freed or forgotten while it can be repeated.
    """
    fold = ClaimsFold(window=WINDOW, max_ahead=MAX_AHEAD)
    last = None
    for offset, (seconds, record) in enumerate(records):
        last = fold.apply(new_entry(offset, record, time=EPOCH + seconds))
    assert last == reason
    claim = fold.claims_by_key.get(KEY)
    assert (claim.owner if claim else None) == owner


#: Seconds after the gap; "unknown kind" starts to count at 0, "expired" with the
#: first record that follows.
GAPS = [
    ("expired", [], False),
    ("expired", [1], False),
    ("expired", [1, 1 + WINDOW + MAX_AHEAD], False),
    ("expired", [1, 2 + WINDOW + MAX_AHEAD], True),
    ("unknown kind", [WINDOW + MAX_AHEAD], False),
    ("unknown kind", [1 + WINDOW + MAX_AHEAD], True),
]


@pytest.mark.parametrize(("kind", "seconds", "complete"), GAPS)
def test_gap_ends_when_no_missed_key_can_be_claimed_any_more(
    kind: str, seconds: list[float], complete: bool
) -> None:
    """Read on after records were lost, with no snapshot to help.

    Symptom: no booking is possible any more after all hosts were replaced.  Sequence:
    a claim expires unread.  Cause: the reader can never be sure again.  Were it sure
    too early, a claimed key would look free.
    """
    fold = ClaimsFold(window=WINDOW, max_ahead=MAX_AHEAD)
    if kind == "expired":
        fold.lost(before=1, reason="expired")
    else:
        fold.apply(new_entry(0, UNKNOWN, time=EPOCH))
    for offset, second in enumerate(seconds, start=1):
        record = _outcome("nobody", "run")
        fold.apply(new_entry(offset, record, time=EPOCH + second))
    assert fold.complete is complete


def test_claims_are_forgotten_with_their_window() -> None:
    """Claim for ten windows and count what is kept."""
    fold = ClaimsFold(window=WINDOW, max_ahead=MAX_AHEAD)
    for second in range(int(10 * WINDOW)):
        time = EPOCH + second
        key = f"acme/{int(time * 1000)}-{second}"
        entry = new_entry(second, _claim("e1", key=key), time=time)
        assert fold.apply(entry) is None
    assert len(fold.claims_by_key) == WINDOW + 1
    assert len(fold.to_snapshot(snapshot="s")[0].remembered) == 61
