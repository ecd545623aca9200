"""Test that crashing requests are found and bystanders are not."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from benchmarks.routing_fleet import FakeFleet, chat
from ryelever.coordination.actions import (
    AnswerError,
    SendAttempt,
    StreamFailed,
    StreamFinished,
    Usage,
)
from ryelever.coordination.admission.admission import Queued
from ryelever.coordination.quarantine.quarantine import Quarantine, is_crash
from ryelever.coordination.requests.requests import RequestTable
from ryelever.errors import Category, RunState, RyeleverError
from ryelever.state.configuration import ClientAccount
from ryelever.state.observations import SuspicionRow

from ..test_requests.request_fakes import FakeLog, OpenAdmission

# Steps: ("crash", target, what ran, time), ("done", what, time),
# ("proved", what, time), ("peer", what, its count, time).
CASES = {
    "one crash": ([("crash", "g1", "pab", 0.0)], 1.0, ""),
    "two crashes": (
        [("crash", "g1", "pab", 0.0), ("crash", "g2", "pcd", 9.0)],
        10,
        "p",
    ),
    "one crash, told by each attempt": (
        [
            ("crash", "g1", "pab", 0.0),
            ("crash", "g1", "ab", 0.5),
            ("crash", "g1", "a", 1),
        ],
        2.0,
        "",
    ),
    "two crashes of one group": (
        [("crash", "g1", "pab", 0.0), ("crash", "g1", "pcd", 9.0)],
        10.0,
        "p",
    ),
    "bystander in two by chance, both repeated": (
        [("crash", "g1", "pab", 0.0), ("crash", "g2", "pac", 9.0)],
        10.0,
        "",
    ),
    "bystander in two by chance, past the first one's place": (
        [
            ("crash", "g1", "pab", 0.0),
            ("proved", "a", 1.0),
            ("crash", "g2", "pac", 9.0),
        ],
        10.0,
        "p",
    ),
    "crashes at a later place each time": (
        [("crash", "g1", "p", 0.0), ("proved", "p", 1.0), ("crash", "g2", "pc", 9.0)],
        10.0,
        "p",
    ),
    "second crash explains the first": (
        [
            ("crash", "g1", "pa", 0.0),
            ("crash", "g2", "pb", 9.0),
            ("crash", "g3", "a", 15.0),
        ],
        16.0,
        "p",
    ),
    "third crash tells them apart": (
        [
            ("crash", "g1", "pab", 0.0),
            ("crash", "g2", "pac", 9.0),
            ("done", "a", 12.0),
            ("crash", "g3", "pd", 15.0),
        ],
        16.0,
        "p",
    ),
    "completed between": (
        [("crash", "g1", "ab", 0.0), ("done", "a", 5.0), ("crash", "g2", "ac", 9.0)],
        10.0,
        "",
    ),
    "popular prompt, completed before": (
        [
            ("done", "a", 0.0),
            ("crash", "g1", "a", 1.0),
            ("done", "a", 2.0),
            ("crash", "g2", "a", 9.0),
            ("done", "a", 10.0),
            ("crash", "g3", "a", 19.0),
        ],
        20.0,
        "",
    ),
    "completed once, then crashes all": (
        [
            ("done", "p", 0.0),
            ("crash", "g1", "p", 1.0),
            ("crash", "g2", "p", 9.0),
            ("crash", "g3", "p", 19.0),
        ],
        20.0,
        "p",
    ),
    "one here, one at a peer": (
        [("peer", "p", 1, 0.0), ("crash", "g2", "pab", 9.0)],
        10.0,
        "p",
    ),
    "both at peers": ([("peer", "p", 2, 0.0)], 10.0, "p"),
    "peer repeats its row": (
        [("peer", "a", 1, 0.0), ("peer", "a", 1, 5.0)],
        10.0,
        "",
    ),
    "completed here, peer repeats its row": (
        [
            ("peer", "a", 1, 0.0),
            ("done", "a", 5.0),
            ("peer", "a", 1, 6.0),
            ("crash", "g2", "a", 900.0),
            ("crash", "g3", "a", 909.0),
        ],
        910.0,
        "",
    ),
    "completed at a peer": (
        [
            ("crash", "g1", "a", 0.0),
            ("peer", "a", 0, 5.0),
            ("crash", "g2", "a", 9.0),
        ],
        10.0,
        "",
    ),
    "too old": (
        [("crash", "g1", "p", 0.0), ("crash", "g2", "p", 901.0)],
        902.0,
        "",
    ),
    "quarantine ends": (
        [("crash", "g1", "p", 0.0), ("crash", "g2", "p", 9.0)],
        910.0,
        "",
    ),
}


def _play(quarantine: Quarantine, steps: list[tuple]) -> None:
    for step in steps:
        match step:
            case ("crash", target, running, now):
                quarantine.crashed(target, running, now=now)
            case ("done", fingerprint, now):
                quarantine.completed(fingerprint, now=now)
            case ("proved", fingerprint, now):
                quarantine.proved(fingerprint, now=now)
            case ("peer", fingerprint, n_crashes, now):
                row = SuspicionRow(fingerprint=fingerprint, n_crashes=n_crashes)
                quarantine.observed(row, peer="peer", observed_at=now, now=now)


@pytest.mark.parametrize(("steps", "now", "condemned"), CASES.values(), ids=CASES)
def test_two_crashes_condemn_and_chance_does_not(
    steps: list[tuple], now: float, condemned: str
) -> None:
    """Play crashes, completions and words of peers.

    Symptom: groups die one after the other, or innocent requests are refused.
    Sequence: a request that crashes what runs it is sent again, beside others.
    Cause: nobody counted over crashes, or everybody near them was condemned.
    """
    quarantine = Quarantine(seed=1)
    _play(quarantine, steps)
    found = {name for name in "pabcd" if quarantine.verdict(name, now=now) is not None}
    assert found == set(condemned)


def test_time_to_come_back_is_what_is_left_and_spread() -> None:
    quarantine = Quarantine(seed=1)
    _play(quarantine, CASES["two crashes"][0])
    times = [quarantine.verdict("p", now=109.0).retry_after for _ in range(20)]
    assert min(times) >= 800.0 and max(times) <= 960.0 and len(set(times)) == 20


def test_peers_learn_of_crashes_and_of_completions() -> None:
    quarantine = Quarantine(seed=1)
    quarantine.crashed("g1", "ab", now=0.0)
    quarantine.completed("a", now=5.0)
    row = SuspicionRow(fingerprint="c", n_crashes=2)
    quarantine.observed(row, peer="peer", observed_at=5.0, now=5.0)
    rows = {row.fingerprint: row.n_crashes for row in quarantine.observations(now=6.0)}
    assert rows == {"a": 0, "b": 1}


def _exchange(hosts: dict[str, Quarantine], *, now: float) -> None:
    """Let each entry host tell the others what it saw."""
    for name, quarantine in hosts.items():
        for row in quarantine.observations(now=now):
            for other, hearer in hosts.items():
                if other != name:
                    hearer.observed(row, peer=name, observed_at=now, now=now)


def test_a_suspect_that_proved_itself_elsewhere_explains_no_crash() -> None:
    """Let a poison meet another entry host's bystander that has proved itself.

    Symptom: a third group dies of one request, or a bystander is told that it is
    quarantined.  Sequence: a group dies under a poison of one entry host and a
    bystander of another; the bystander runs well past the place of that crash
    elsewhere; the poison, which had to wait for its turn, is sent to the same
    group, since the parts of the two hosts shifted when the dead group was
    dissolved.  Cause: hosts told each other that a suspect was in a second crash,
    but not that it had proved itself, so the one that saw the poison took the
    bystander for as likely a cause and let the poison run once more.
    """
    first = Quarantine(settle=1.0, seed=1)
    second = Quarantine(settle=1.0, seed=1)
    first.crashed("g0", {"poison"}, now=0.0)
    second.crashed("g0", {"bystander"}, now=0.0)
    _exchange({"e1": first, "e2": second}, now=0.2)
    second.proved("bystander", now=1.5)
    first.crashed("g1", {"poison"}, now=2.0)
    second.crashed("g1", {"bystander"}, now=2.0)
    _exchange({"e1": first, "e2": second}, now=2.2)
    assert first.is_held("poison", now=2.3)
    for quarantine in (first, second):
        assert quarantine.verdict("poison", now=3.5) is not None
        assert quarantine.verdict("bystander", now=3.5) is None


@pytest.mark.parametrize(
    ("category", "step", "code", "refused", "crash"),
    [
        (Category.BROKEN, "generate", "", False, True),
        (Category.BROKEN, "call_service", "", False, True),
        (Category.BROKEN, "generate", "", True, False),
        (Category.BROKEN, "generate", "backend_error", False, False),
        (Category.BROKEN, "stream", "", False, False),
        (Category.TIMEOUT, "generate", "", False, False),
        (Category.UNAVAILABLE, "generate", "", False, True),
        (Category.UNAVAILABLE, "generate", "", True, False),
        (Category.UNAVAILABLE, "call_service", "", False, False),
    ],
    ids=[
        "died",
        "service died",
        "refused",
        "answered 500",
        "gap",
        "silence",
        "died under a kept connection",
        "cannot connect",
        "service answered 503",
    ],
)
def test_only_a_death_is_a_crash(
    category: Category, step: str, code: str, refused: bool, crash: bool
) -> None:
    error = RyeleverError("gone", category=category, step=step, code=code)
    assert is_crash(error, refused=refused) is crash


class _FullAdmission(OpenAdmission):
    def admit(self, arrival, account, *, now):
        super().admit(arrival, account, now=now)
        return Queued()


def _table(
    fleet: FakeFleet, *, admission: OpenAdmission | None = None, **options: Any
) -> RequestTable:
    ids = iter(range(10**6))
    return RequestTable(
        admission=admission or OpenAdmission(),
        router=fleet.router(**options),
        retry_policy=fleet.retry_budget,
        claims=FakeLog(),
        account=lambda name: ClientAccount(key_hash="", concurrency=1000),
        new_id=lambda: f"id-{next(ids)}",
        retry_after=lambda: 1.0,
        feedback=fleet.feedback,
    )


def _died(attempt: SendAttempt) -> RyeleverError:
    return RyeleverError(
        "connection broke",
        category=Category.BROKEN,
        step="generate",
        peer=attempt.target.address,
    )


def test_poison_request_ends_after_two_crashes_and_bystanders_are_served() -> None:
    """Run a poison request among bystanders until it is found.

    Symptom: one caller's request takes down group after group.  Sequence: it crashes
    its group, is retried, crashes the next, and its caller sends it again.  Cause:
    the table retried it like any other, and knew no fingerprints.
    """
    fleet = FakeFleet(zones={"a": 12})
    fleet.report_all(asked_at=0.0)
    table = _table(fleet)
    waiting: list[SendAttempt] = []
    answers: dict[str, object] = {}
    n_crashes = 0
    for number, text in enumerate(["poison"] + [f"bystander-{n}" for n in range(30)]):
        arrival = chat(text)
        actions = table.arrive(_named(arrival, f"r-{number}"), now=0.1)
        waiting += [action for action in actions if isinstance(action, SendAttempt)]
    while waiting:
        attempt = waiting.pop(0)
        if attempt.arrival.fingerprint == "poison":
            n_crashes += 1
            dead = [one for one in waiting if one.target.name == attempt.target.name]
            waiting = [one for one in waiting if one not in dead]
            for broken in [attempt, *dead]:
                for action in table.failed(
                    broken.attempt_id, error=_died(broken), refused=False, now=0.2
                ):
                    if isinstance(action, SendAttempt):
                        waiting.append(action)
                    else:
                        answers[action.request_id] = action
            continue
        for action in table.finished(
            attempt.attempt_id, finish_reason="stop", usage=Usage(), now=0.3
        ):
            answers[action.request_id] = action
    assert n_crashes == 2
    errors = [one for one in answers.values() if isinstance(one, AnswerError)]
    assert len(answers) == 31
    assert [one.request_id for one in errors] == ["r-0"]
    assert errors[0].error.code == "request_quarantined"
    assert errors[0].error.run_state is RunState.OUTCOME_UNKNOWN
    (resent,) = table.arrive(_named(chat("poison"), "again"), now=1.0)
    assert resent.error.code == "request_quarantined"
    assert resent.error.run_state is RunState.NOT_RUN
    assert resent.error.retry_after > 800.0


def _told(rows_of: Quarantine, to: Quarantine, *, peer: str, now: float) -> None:
    for row in rows_of.observations(now=now):
        to.observed(row, peer=peer, observed_at=now, now=now)


@pytest.mark.parametrize("first_crashes", [("g1", "g1"), ("g1", "g0")])
@pytest.mark.parametrize("exchanged_between", [False, True])
def test_suspects_of_two_hosts_in_one_crash_are_not_condemned(
    first_crashes: tuple[str, str], exchanged_between: bool
) -> None:
    """Let two entry hosts each have one suspect in the same second crash.

    Symptom: a bystander is refused for a quarter of an hour.  Sequence: what the
    first crash broke off runs again, from two entry hosts on one target; it dies.
    Cause: each saw a single repeated suspect, its own, and condemned it.
    """
    hosts = [Quarantine(settle=1.0, seed=1) for _ in range(2)]

    def exchange(now: float) -> None:
        _told(hosts[0], hosts[1], peer="e0", now=now)
        _told(hosts[1], hosts[0], peer="e1", now=now)

    hosts[0].crashed(first_crashes[0], "p", now=0.0)
    hosts[1].crashed(first_crashes[1], "b", now=0.1)
    if exchanged_between:
        exchange(1.0)
    hosts[0].crashed("g2", "p", now=9.0)
    hosts[1].crashed("g2", "b", now=9.1)
    for now in (9.4, 10.4, 11.4):
        exchange(now)
        for host in hosts:
            assert [host.verdict(name, now=now) for name in "pb"] == [None, None]
    assert hosts[0].is_suspect("p", now=12.0) and hosts[1].is_suspect("b", now=12.0)
    # Another run apart tells them apart.
    hosts[1].completed("b", now=13.0)
    hosts[0].crashed("g3", "p", now=14.0)
    for now in (14.4, 16.0):
        exchange(now)
    assert all(host.verdict("p", now=16.0) is not None for host in hosts)
    assert all(host.verdict("b", now=16.0) is None for host in hosts)


def test_one_crash_that_two_hosts_saw_counts_once() -> None:
    """Run one prompt through two entry hosts on a target that dies.

    Symptom: a request that was in one crash is refused.  Sequence: both entry hosts
    tell of the crash; the word of one comes before the other's own notice, or after.
    Cause: crashes were counted for each entry host.
    """
    told_before, told_after, teller = (Quarantine(seed=1) for _ in range(3))
    teller.crashed("g1", "a", now=0.0)
    _told(teller, told_before, peer="e0", now=0.2)
    told_before.crashed("g1", "a", now=0.3)
    told_after.crashed("g1", "a", now=0.1)
    _told(teller, told_after, peer="e0", now=0.2)
    assert told_before.verdict("a", now=1.0) is None
    assert told_after.verdict("a", now=1.0) is None


class _PoisonedZone:
    """Run entry hosts before groups that die of one request, in steps of 0.1 s.

    A poisonous attempt kills its group in the step after it was sent; any other
    yields a token in each step.  Dead groups stay dead.
    """

    def __init__(self, *, n_hosts: int, n_groups: int) -> None:
        settle = 1.0 if n_hosts > 1 else 0.0
        self.fleets = [
            FakeFleet(zones={"a": n_groups}, settle=settle) for _ in range(n_hosts)
        ]
        self.tables = [
            _table(fleet, part=lambda rank=rank: (rank, n_hosts))
            for rank, fleet in enumerate(self.fleets)
        ]
        self.dead: set[str] = set()
        self.now = 0.0
        self.answers_by_request: dict[str, object] = {}
        self.poison_answers: list[AnswerError] = []
        self._running: list[tuple[int, SendAttempt, int]] = []
        self._n_requests = 0

    def send(self, at: int, text: str) -> None:
        """Let a caller send a request to one entry host."""
        self._n_requests += 1
        arrival = replace(
            chat(text, now=self.now), request_id=f"{text}/{self._n_requests}"
        )
        self._take(at, self.tables[at].arrive(arrival, now=self.now))

    def step(self) -> None:
        """Let reports come, timers run and engines work."""
        self.now = round(self.now + 0.1, 3)
        for at, fleet in enumerate(self.fleets):
            for name in set(fleet.groups) - self.dead:
                fleet.report(f"{name}-0", asked_at=self.now)
            self._take(at, self.tables[at].tick(now=self.now))
        if round(self.now * 10) % 5 == 0:
            self._tell_peers()
        running, self._running = self._running, []
        killed = {
            attempt.target.name
            for _, attempt, _ in running
            if attempt.arrival.fingerprint == "poison"
        }
        self.dead |= killed
        for at, attempt, n_tokens in running:
            if attempt.target.name in killed:
                self._break(at, attempt)
            else:
                self._generate(at, attempt, n_tokens)

    def _tell_peers(self) -> None:
        for at, fleet in enumerate(self.fleets):
            for row in fleet.quarantine.observations(now=self.now):
                for other in self.fleets[:at] + self.fleets[at + 1 :]:
                    other.quarantine.observed(
                        row, peer=f"e{at}", observed_at=self.now, now=self.now
                    )

    def _break(self, at: int, attempt: SendAttempt) -> None:
        actions = self.tables[at].failed(
            attempt.attempt_id, error=_died(attempt), refused=False, now=self.now
        )
        self._take(at, actions)

    def _generate(self, at: int, attempt: SendAttempt, n_tokens: int) -> None:
        table = self.tables[at]
        index = len(attempt.delivered) + n_tokens
        if index < 20:
            actions = table.tokens(
                attempt.attempt_id, index=index, tokens=(f"t{index}",), now=self.now
            )
            self._running.append((at, attempt, n_tokens + 1))
        else:
            actions = table.finished(
                attempt.attempt_id, finish_reason="stop", usage=Usage(), now=self.now
            )
        self._take(at, actions)

    def _take(self, at: int, actions: list) -> None:
        for action in actions:
            if isinstance(action, SendAttempt):
                self._running.append((at, action, 0))
            elif isinstance(action, AnswerError | StreamFinished | StreamFailed):
                self.answers_by_request[action.request_id] = action
                if action.request_id.startswith("poison"):
                    self.poison_answers.append(action)


@pytest.mark.parametrize(
    ("n_hosts", "n_groups"), [(1, 4), (1, 3), (2, 4), (2, 6), (3, 6)]
)
def test_second_crash_singles_out_the_poison(n_hosts: int, n_groups: int) -> None:
    """Send a poison request among open streams, and again after each answer.

    Symptom: group after group dies, and the bystanders' streams end with errors.
    Sequence: a group dies, and all that it ran is sent again at once, several to one
    target; the next death finds more than one repeated suspect and names nobody.
    Or the caller asks another entry host before that has heard of the suspicion.
    Cause: suspects were kept apart only while there were as many targets, and by
    each entry host alone; the verdict was told before it had got about.
    """
    zone = _PoisonedZone(n_hosts=n_hosts, n_groups=n_groups)
    zone.step()
    for number in range(10 * n_hosts):
        zone.send(number % n_hosts, f"bystander-{number}")
    zone.step()
    zone.send(0, "poison")
    n_sent = 1
    for _ in range(250):
        zone.step()
        if len(zone.poison_answers) == n_sent < 4:
            zone.send(n_sent % n_hosts, "poison")
            n_sent += 1
    assert len(zone.dead) <= 2
    assert len(zone.poison_answers) == 4
    assert {one.error.code for one in zone.poison_answers} == {"request_quarantined"}
    assert all(one.error.retry_after > 800.0 for one in zone.poison_answers)
    whole = [
        request_id
        for request_id, answer in zone.answers_by_request.items()
        if isinstance(answer, StreamFinished)
    ]
    assert len(whole) == 10 * n_hosts
    assert [table.n_left() for table in zone.tables] == [0] * n_hosts


def test_resend_is_answered_at_once_while_others_wait() -> None:
    """Resend a quarantined request to a full entry host.

    Symptom: the resends of one caller fill its queue, and the answer that names the
    quarantine comes after the wait.  Sequence: the host is busy, so arrivals queue.
    Cause: the quarantine was asked only when a request was about to be sent.
    """
    fleet = FakeFleet(zones={"a": 1})
    admission = _FullAdmission()
    table = _table(fleet, admission=admission)
    _play(fleet.quarantine, CASES["two crashes"][0])
    (answer,) = table.arrive(_named(chat("p"), "again"), now=10.0)
    assert answer.error.code == "request_quarantined"
    assert admission.admitted == set()


def _named(arrival, request_id: str):
    return replace(arrival, request_id=request_id)
