"""Test which requests the joined evidence of several hosts quarantines."""

from __future__ import annotations

import itertools
import random

import pytest

from ryelever.coordination.quarantine.crash_evidence import CrashEvidence
from ryelever.coordination.quarantine.crash_facts import MAX_AGE, MAX_SUSPECTS
from ryelever.state.observations import InvolvementRow

# Requests that ran in each crash, and the requests that are quarantined for it.
CASES = {
    "one crash": (["pab"], ""),
    "two crashes": (["pab", "pcd"], "p"),
    "another one in as many": (["pab", "pac"], ""),
    "another one in as many, until the third": (["pab", "pac", "pbd"], "p"),
    "others in as many of the same": (["pa", "pb", "pc", "ab", "ac", "bc"], ""),
    "others in two that are explained": (["pab", "pab", "pc"], "p"),
    "two causes": (["pab", "pcd", "qef", "qgh"], "pq"),
    "two causes that met once": (["pqa", "pb", "qc", "pd", "qe"], "pq"),
    "two that always run together": (["pq", "pqa", "pqb", "pqc"], ""),
    "two that always run together, five times": (
        ["pqab", "pq", "pq", "pq", "pq"],
        "pq",
    ),
    "one crash explained, two others": (["pa", "pb", "pc", "ad", "ae"], "pa"),
}

Fact = tuple[str, str]


def _facts(crashes: list[str]) -> list[Fact]:
    return [(f"i{index}", name) for index, ran in enumerate(crashes) for name in ran]


def _quarantined(evidence: CrashEvidence, *, now: float) -> str:
    names = "abcdefghpq"
    return "".join(name for name in names if evidence.verdict(name, now=now))


def _exchange(sender: CrashEvidence, receiver: CrashEvidence, *, now: float) -> None:
    for row in sender.rows(since=0.0, now=now):
        receiver.join(row, peer="sender", now=now)


@pytest.fixture
def evidence() -> CrashEvidence:
    return CrashEvidence(seed=1)


@pytest.mark.parametrize(("crashes", "expected"), CASES.values(), ids=CASES)
def test_request_in_more_crashes_than_others_is_quarantined(
    evidence: CrashEvidence, crashes: list[str], expected: str
) -> None:
    """Guard against the quarantine of requests that ran beside the cause."""
    for server_id, fingerprint in _facts(crashes):
        evidence.crashed(server_id, None, fingerprint, now=1.0)
    assert set(_quarantined(evidence, now=2.0)) == set(expected)


@pytest.mark.parametrize(("crashes", "expected"), CASES.values(), ids=CASES)
@pytest.mark.parametrize("seed", range(5))
def test_hosts_reach_the_same_verdicts_whatever_rows_are_lost_or_repeated(
    crashes: list[str], expected: str, seed: int
) -> None:
    """Guard against evidence that is lost when hosts see parts of the same crashes."""
    draw = random.Random(seed)
    hosts = [CrashEvidence(seed=1) for _ in range(4)]
    facts = _facts(crashes)
    draw.shuffle(facts)
    pairs = list(itertools.permutations(hosts, 2))
    for server_id, fingerprint in facts:
        for host in draw.sample(hosts, k=draw.randint(1, 3)):
            host.crashed(server_id, None, fingerprint, now=1.0)
        for sender, receiver in draw.sample(pairs, k=6):
            _exchange(sender, receiver, now=1.0)
    for _ in range(3):
        draw.shuffle(pairs)
        for sender, receiver in pairs:
            _exchange(sender, receiver, now=1.5)
    assert {_quarantined(host, now=2.0) for host in hosts} == {
        "".join(sorted(expected))
    }


def test_other_suspect_of_a_crash_does_not_clear_the_first_one() -> None:
    """Guard against a lower count that other hosts take for a completion."""
    first, second = CrashEvidence(seed=1), CrashEvidence(seed=1)
    for server_id in ("i0", "i1"):
        first.crashed(server_id, None, "p", now=1.0)
        second.crashed(server_id, None, "a", now=1.0)
    _exchange(first, second, now=1.2)
    _exchange(second, first, now=1.3)
    assert _quarantined(first, now=1.4) == _quarantined(second, now=1.4) == ""
    first.crashed("i2", None, "p", now=1.5)
    _exchange(first, second, now=1.6)
    assert _quarantined(first, now=1.7) == _quarantined(second, now=1.7) == "p"


def test_completion_refutes_the_crashes_that_were_known_at_all_hosts() -> None:
    """Guard against evidence that returns after a completion."""
    first, second = CrashEvidence(seed=1), CrashEvidence(seed=1)
    first.crashed("i0", None, "a", now=1.0)
    _exchange(first, second, now=1.1)
    second.completed("a", now=1.2)
    _exchange(second, first, now=1.3)
    # The first host sends what it knew before; that restores nothing.
    second.join(InvolvementRow(fingerprint="a", crashes=("i0",)), peer="first", now=1.4)
    for host in (first, second):
        host.crashed("i1", None, "b", now=2.0)
        host.crashed("i1", None, "a", now=2.0)
    first.crashed("i2", None, "a", now=3.0)
    assert _quarantined(first, now=3.1) == "a"
    # The host that saw the completion excuses one crash.
    assert _quarantined(second, now=3.1) == ""


def test_host_that_has_not_heard_of_a_completion_is_told_again() -> None:
    """Guard against a host that refuses a request which completed elsewhere."""
    first, second = CrashEvidence(seed=1), CrashEvidence(seed=1)
    for server_id in ("i0", "i1"):
        first.crashed(server_id, None, "a", now=1.0)
    _exchange(first, second, now=1.1)
    second.completed("a", now=1.2)
    assert second.rows(since=9.0, now=10.0) == []
    _exchange(first, second, now=10.0)
    [row] = second.rows(since=9.0, now=10.1)
    assert (row.crashes, row.refuted) == ((), ("i0", "i1"))
    first.join(row, peer="second", now=10.2)
    assert _quarantined(first, now=10.3) == ""


def test_one_crash_seen_by_several_hosts_counts_once(evidence: CrashEvidence) -> None:
    """Guard against a quarantine for a single crash."""
    other = CrashEvidence(seed=1)
    for host in (evidence, other):
        for now in (1.0, 2.0, 4.0):
            host.crashed("i0", 17, "p", now=now)
    _exchange(other, evidence, now=5.0)
    assert _quarantined(evidence, now=5.1) == ""


@pytest.mark.parametrize("started_at", [(None, None), (17, 18)])
def test_server_that_starts_again_under_its_id_crashes_once_more(
    evidence: CrashEvidence, started_at: tuple[int | None, int | None]
) -> None:
    """Guard against two crashes under one id that count as one."""
    evidence.crashed("i0", started_at[0], "p", now=1.0)
    evidence.crashed("i0", started_at[1], "p", now=9.0)
    assert _quarantined(evidence, now=9.1) == "p"


def test_evidence_expires_also_where_hosts_repeat_it_to_each_other() -> None:
    """Guard against a quarantine that hosts renew for ever."""
    first, second = CrashEvidence(seed=1), CrashEvidence(seed=1)
    for server_id in ("i0", "i1"):
        first.crashed(server_id, None, "p", now=0.0)
    now = 0.0
    while now < MAX_AGE - 61.0:
        now += 50.0
        _exchange(first, second, now=now)
        _exchange(second, first, now=now)
    assert _quarantined(first, now=now) == _quarantined(second, now=now) == "p"
    while now < MAX_AGE + 60.0:
        now += 50.0
        _exchange(first, second, now=now)
        _exchange(second, first, now=now)
    assert first.is_empty
    assert second.is_empty


def test_requests_with_many_crashes_are_kept_when_there_are_too_many(
    evidence: CrashEvidence,
) -> None:
    """Guard against a poison request that is forgotten in a mass of suspects."""
    for server_id in ("i0", "i1"):
        evidence.crashed(server_id, None, "p", now=1.0)
    for index in range(MAX_SUSPECTS + 10):
        evidence.crashed("i2", None, f"other-{index}", now=2.0)
    assert _quarantined(evidence, now=3.0) == "p"
    assert len(evidence.rows(since=0.0, now=3.0)) == MAX_SUSPECTS
