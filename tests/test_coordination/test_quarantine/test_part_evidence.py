"""Test which parts of prompts the joined evidence of several hosts quarantines."""

from __future__ import annotations

import itertools
import random
import tracemalloc

import pytest

from ryelever.coordination.quarantine.crash_evidence import (
    PART_SETTLE,
    TRIAL_AFTER,
    TRIAL_SPREAD,
    CrashEvidence,
)
from ryelever.coordination.quarantine.crash_facts import (
    MAX_AGE,
    MAX_LISTED_PART_CRASHES,
    MAX_SUSPECTS,
)
from ryelever.coordination.quarantine.known_parts import MAX_KNOWN

#: Seconds after the crashes at which verdicts are given.
SETTLED = PART_SETTLE + 1.0

# Parts that are known, prompts that ran in each crash, prompts that are refused for it,
# and prompts that are not.
CASES = {
    "two crashes": ("f", ["fd", "fd"], [], ["d", "fd"]),
    "three crashes": ("f", ["fd", "fd", "fd"], ["d", "fd", "gd"], ["f", "g"]),
    "wherever it stands": ("f", ["df", "fd", "fgd"], ["d", "hd"], ["f", "gf"]),
    "new parts beside it": ("", ["xdy", "gdh", "mdn"], ["d", "kd"], ["x", "xy", "h"]),
    "always with another": ("", ["fd", "fd", "fd"], ["fd", "fdg"], ["f", "d", "fg"]),
    "beside others": ("f", ["fd ab", "fd bc", "fd cj", "gd e"], ["d"], ["ab", "c"]),
    "beside others in as many": ("f", ["fd ab"] * 3, ["fdab"], ["fd", "ab"]),
    "beside others, once more": ("f", ["fd ab"] * 3 + ["d"] * 4, ["fd"], ["a", "ab"]),
    "another cause as well": ("", ["fd"] * 4 + ["f"], ["fd"], ["f", "d"]),
}


def _crash(
    evidence: CrashEvidence, server_id: str, prompts: str, *, now: float
) -> None:
    """Record a crash; each letter of a prompt is a part."""
    for prompt in prompts.split():
        fingerprint = f"a/{server_id}-{prompt}"
        evidence.crashed(server_id, None, fingerprint, parts=tuple(prompt), now=now)


def _is_refused(evidence: CrashEvidence, prompt: str, *, now: float) -> bool:
    return evidence.verdict("a/new", parts=tuple(prompt), now=now) is not None


def _condemned(*, reports: object = None) -> CrashEvidence:
    """Return evidence of three crashes at 1 s under requests with the part ``d``."""
    evidence = CrashEvidence(seed=1, reports=reports)
    for server_id in ("i1", "i2", "i3"):
        _crash(evidence, server_id, "fd", now=1.0)
    evidence.completed("a/1", parts=("f",), now=1.5)
    assert _is_refused(evidence, "fd", now=1.0 + SETTLED)
    return evidence


def _exchange(sender: CrashEvidence, receiver: CrashEvidence, *, now: float) -> None:
    for row in sender.rows(since=0.0, now=now):
        receiver.join(row, peer="sender", now=now)


@pytest.mark.parametrize(
    ("known", "crashes", "refused", "served"), CASES.values(), ids=CASES
)
def test_requests_with_the_part_that_is_in_all_crashes_are_refused(
    known: str, crashes: list[str], refused: list[str], served: list[str]
) -> None:
    """Guard against refusing requests that share another part with the cause."""
    evidence = CrashEvidence(seed=1)
    evidence.completed("a/1", parts=tuple(known), now=0.5)
    for index, prompts in enumerate(crashes):
        _crash(evidence, f"i{index}", prompts, now=1.0)
    for prompt in refused:
        assert _is_refused(evidence, prompt, now=1.0 + SETTLED), prompt
    for prompt in served:
        assert not _is_refused(evidence, prompt, now=1.0 + SETTLED), prompt


def test_request_that_was_often_beside_a_part_is_not_refused() -> None:
    """Guard against refusing a request that meets the cause again at each server."""
    evidence = CrashEvidence(seed=1)
    for index in range(5):
        server_id = f"i{index}"
        evidence.crashed(server_id, None, "a/bystander", parts=("f",), now=1.0)
        _crash(evidence, server_id, "fd", now=1.0)
    _crash(evidence, "i5", "d", now=1.0)
    now = 1.0 + SETTLED
    assert evidence.verdict("a/bystander", parts=("f",), now=now) is None


@pytest.mark.parametrize("seed", range(5))
def test_hosts_that_see_parts_of_the_crashes_reach_the_same_verdict(seed: int) -> None:
    """Guard against a part whose crashes no single host has seen often enough."""
    draw = random.Random(seed)
    hosts = [CrashEvidence(seed=1) for _ in range(4)]
    for index in range(6):
        _crash(draw.choice(hosts), f"i{index}", "fd", now=1.0)
        draw.choice(hosts).completed("a/1", parts=("f",), now=1.1)
    pairs = list(itertools.permutations(hosts, 2))
    for _ in range(3):
        for sender, receiver in draw.sample(pairs, k=8):
            _exchange(sender, receiver, now=1.2)
    for sender, receiver in pairs * 2:
        _exchange(sender, receiver, now=1.5)
    for host in hosts:
        assert _is_refused(host, "fd", now=1.5 + SETTLED)
        assert not _is_refused(host, "f", now=1.5 + SETTLED)


def test_part_that_contests_the_likeliest_cause_goes_first() -> None:
    """Guard against servers that crash while it is not shown which part is the cause.

    Many servers crash at once under the cause, and a popular part that no request has
    completed with yet was in most of them by chance.
    """
    evidence = CrashEvidence(turn=lambda *, now: 2, seed=1)
    for index in range(10):
        _crash(evidence, f"i{index}", "fd" if index > 7 else "fd g", now=1.0)
    evidence.completed("a/1", parts=("f",), now=1.1)
    assert evidence.awaits_verdict("a/2", parts=("f", "d"), now=2.0)
    assert not evidence.awaits_verdict("a/3", parts=("f", "g"), now=2.0)
    assert not _is_refused(evidence, "fd", now=1.0 + SETTLED)
    evidence.completed("a/3", parts=("f", "g"), now=1.2 + SETTLED)
    assert _is_refused(evidence, "fd", now=1.4 + SETTLED)


def test_hosts_take_turns_to_run_a_request_with_a_suspected_part() -> None:
    """Guard against one more crash at each host before the verdict."""
    hosts = [CrashEvidence(turn=lambda *, now, n=n: n, seed=1) for n in range(3)]
    for host in hosts:
        for index in range(3):
            _crash(host, f"i{index}", "d", now=1.0)
    waits = [host.awaits_verdict("a/2", parts=("d",), now=2.5) for host in hosts]
    assert waits == [False, False, True]


def test_part_that_completes_is_cleared_at_all_hosts() -> None:
    """Guard against a popular part that is refused after many servers were lost."""
    first, second = CrashEvidence(seed=1), CrashEvidence(seed=1)
    for index in range(8):
        _crash(first, f"i{index}", f"f{'pqrstuvw'[index]}", now=1.0)
    _exchange(first, second, now=1.2)
    second.completed("a/1", parts=("f",), now=1.4)
    _exchange(second, first, now=1.6)
    for host in (first, second):
        assert not _is_refused(host, "f", now=1.0 + SETTLED)
    # A host that hasn't seen the completion is told when it reports crashes.
    third = CrashEvidence(seed=1)
    for index in range(8, 11):
        _crash(third, f"i{index}", "f", now=20.0)
    _exchange(third, second, now=20.2)
    _exchange(second, third, now=20.4)
    assert not _is_refused(third, "f", now=20.0 + SETTLED)


def test_one_request_runs_at_each_host_before_the_verdict_on_a_part() -> None:
    """Guard against a part that nothing can clear since all requests with it wait."""
    evidence = CrashEvidence(seed=1)
    for index in range(3):
        _crash(evidence, f"i{index}", "f", now=1.0)
    parts = ("f",)
    assert not evidence.awaits_verdict("a/first", parts=parts, now=1.1)
    assert evidence.awaits_verdict("a/second", parts=parts, now=1.1)
    assert not evidence.awaits_verdict("a/first", parts=parts, now=1.2)
    evidence.completed("a/first", parts=parts, now=1.9)
    assert not evidence.awaits_verdict("a/second", parts=parts, now=1.9)
    assert not _is_refused(evidence, "f", now=1.0 + SETTLED)


def _crash_both(evidence: CrashEvidence, index: int, *, now: float) -> None:
    """Let a server crash under a request with each of two parts."""
    _crash(evidence, f"i{index}", "d f", now=now)


def test_parts_in_the_same_crashes_are_tested_until_one_completes() -> None:
    """Guard against two parts that protect each other, one of which crashes servers."""
    evidence = CrashEvidence(seed=1)
    for index in range(4):
        _crash_both(evidence, index, now=1.0)
    for number in range(2):
        assert not evidence.awaits_verdict(f"a/{number}", parts=("d",), now=1.1)
    _crash_both(evidence, 4, now=1.2)
    for part in ("d", "f"):
        assert not evidence.awaits_verdict(f"a/{part}", parts=(part,), now=1.3)
        assert evidence.awaits_verdict("a/later", parts=(part,), now=1.3)
    evidence.completed("a/f", parts=("f",), now=2.0)
    assert not evidence.awaits_verdict("a/later", parts=("f",), now=2.0)
    assert _is_refused(evidence, "d", now=1.2 + SETTLED)
    assert not _is_refused(evidence, "f", now=1.2 + SETTLED)


def test_test_of_a_part_that_shares_its_crashes_is_not_repeated_at_once() -> None:
    """Guard against tests whose retries crash one server after the other."""
    evidence = CrashEvidence(seed=1)
    for index in range(5):
        _crash_both(evidence, index, now=1.0)
    assert not evidence.awaits_verdict("a/test", parts=("d",), now=1.1)
    _crash_both(evidence, 5, now=1.2)
    assert evidence.awaits_verdict("a/test", parts=("d",), now=1.3)
    assert not evidence.awaits_verdict("a/test", parts=("d",), now=3.2)


def test_hosts_take_turns_to_test_parts_that_share_their_crashes() -> None:
    """Guard against tests at all hosts at once, which break each other off."""
    evidence = CrashEvidence(turn=lambda *, now: 2, seed=1)
    for index in range(3):
        _crash_both(evidence, index, now=1.0)
    for index in range(3, 5):
        _crash_both(evidence, index, now=9.0)
    assert evidence.awaits_verdict("a/test", parts=("f",), now=10.9)
    assert not evidence.awaits_verdict("a/test", parts=("f",), now=11.0)


def test_request_waits_for_all_its_tests_before_it_takes_one() -> None:
    """Guard against a request that waits and keeps others from testing a part."""
    evidence = CrashEvidence(seed=1)
    for index in range(5):
        _crash_both(evidence, index, now=1.0)
    assert not evidence.awaits_verdict("a/d", parts=("d",), now=1.1)
    assert evidence.awaits_verdict("a/both", parts=("f", "d"), now=1.2)
    assert not evidence.awaits_verdict("a/f", parts=("f",), now=1.3)


def test_test_without_a_result_is_followed_by_another_one() -> None:
    """Guard against a sound part that waits on since its only test was broken off."""
    evidence = CrashEvidence(peers_reported_since=lambda at, *, now: False, seed=1)
    for index in range(3):
        _crash(evidence, f"i{index}", "f", now=1.0)
    now, admitted_at = 1.0, []
    for step in range(200):
        now += 0.1
        if not evidence.awaits_verdict(f"a/{step}", parts=("f",), now=now):
            admitted_at.append(now)
    pauses = [
        later - earlier
        for earlier, later in zip(admitted_at, admitted_at[1:], strict=False)
    ]
    assert pauses == pytest.approx([2.0, 4.0, 8.0], abs=0.15)


def test_verdict_on_a_part_waits_until_all_hosts_have_reported() -> None:
    """Guard against refusing a part that has completed at a host that reports late."""
    reported_at = 0.0
    evidence = CrashEvidence(
        peers_reported_since=lambda at, *, now: reported_at >= at, seed=1
    )
    for index in range(6):
        _crash(evidence, f"i{index}", "fd", now=1.0)
    assert not _is_refused(evidence, "fd", now=1.0 + SETTLED)
    reported_at = 1.0
    assert _is_refused(evidence, "fd", now=1.0 + SETTLED)


def test_trial_that_completes_clears_a_quarantined_part() -> None:
    """Guard against a wrong verdict that lasts, as it refuses what would refute it."""
    evidence = _condemned()
    due = 1.0 + TRIAL_AFTER * (1.0 + TRIAL_SPREAD)
    for now in (10.0, 60.0, 1.0 + TRIAL_AFTER - 0.1):
        assert _is_refused(evidence, "d", now=now)
    assert evidence.verdict("a/trial", parts=("d",), now=due) is None
    assert _is_refused(evidence, "d", now=due)
    assert evidence.verdict("a/trial", parts=("d",), now=due + 0.1) is None
    evidence.completed("a/trial", parts=("d",), now=due + 1.0)
    assert not _is_refused(evidence, "d", now=due + 1.0)


def test_trial_that_crashes_a_server_is_the_only_one_for_minutes() -> None:
    """Guard against trials that crash servers one after the other."""
    evidence = _condemned()
    due = 1.0 + TRIAL_AFTER * (1.0 + TRIAL_SPREAD)
    assert evidence.verdict("a/trial", parts=("d",), now=due) is None
    evidence.crashed("i9", None, "a/trial", parts=("d",), now=due + 0.2)
    for now in (due + 0.2, due + 10.0, due + TRIAL_AFTER):
        assert evidence.verdict("a/trial", parts=("d",), now=now) is not None


def test_refused_callers_return_when_a_trial_is_due() -> None:
    """Guard against callers that are told to stay away for longer than a verdict."""
    verdict = _condemned().verdict("a/new", parts=("d",), now=5.0)
    assert verdict.part == "d"
    assert TRIAL_AFTER - 5.0 < verdict.retry_after < 2 * TRIAL_AFTER


def test_released_part_is_not_quarantined_at_any_host() -> None:
    """Guard against a verdict that an operator can't lift."""
    first = _condemned()
    second = CrashEvidence(seed=1)
    _exchange(first, second, now=1.0 + SETTLED)
    assert _is_refused(second, "d", now=1.0 + 2 * SETTLED)
    first.release_parts(["d"], now=10.0)
    _exchange(first, second, now=10.2)
    for host in (first, second):
        assert not _is_refused(host, "d", now=10.3)
    for index in range(10, 16):
        _crash(first, f"i{index}", "d", now=11.0)
    assert not _is_refused(first, "d", now=11.0 + SETTLED)


def test_evidence_against_a_part_expires() -> None:
    """Guard against evidence that is passed on between hosts for ever."""
    first, second = _condemned(), CrashEvidence(seed=1)
    now = 5.0
    while now < MAX_AGE + 60.0:
        _exchange(first, second, now=now)
        _exchange(second, first, now=now)
        now += 50.0
    assert first.is_empty
    assert second.is_empty


def test_memory_does_not_grow_with_refused_requests() -> None:
    """Guard against something kept for each of the requests that are refused."""
    evidence = _condemned()
    now = 1.0 + SETTLED

    def refuse(numbers: range) -> int:
        for number in numbers:
            parts = ("f", f"{number:x}", "d")
            assert evidence.verdict(f"a/{number}", parts=parts, now=now) is not None
        return tracemalloc.get_traced_memory()[0]

    tracemalloc.start()
    # The interpreter keeps up to 2,000 freed tuples of each length.
    before = refuse(range(5000))
    after = refuse(range(5000, 10_000))
    tracemalloc.stop()
    assert after - before < 100_000


def test_parts_without_end_displace_neither_the_cause_nor_known_parts() -> None:
    """Guard against a caller that invents parts, for memory and for what is known."""
    evidence = _condemned()
    for index in range(MAX_SUSPECTS + 10):
        evidence.crashed("i8", None, "a/x", parts=(f"{index:x}0",), now=2.0)
    for index in range(2 * MAX_KNOWN):
        evidence.completed("a/x", parts=(f"{index:x}1",), now=2.5)
        if index % 1000 == 0:
            evidence.completed("a/1", parts=("f",), now=2.5)
    assert _is_refused(evidence, "d", now=1.0 + SETTLED)
    assert not _is_refused(evidence, "f", now=1.0 + SETTLED)
    rows = evidence.rows(since=0.0, now=3.0)
    assert sum(row.is_part for row in rows) == MAX_SUSPECTS
    assert max(len(row.crashes) for row in rows) <= MAX_LISTED_PART_CRASHES
    limited = evidence.rows(since=0.0, now=3.0, limit=8)
    assert [row.fingerprint for row in limited if row.is_part][0] == "d"
    assert sum(row.is_part for row in limited) == 8
