"""Test that poison requests are quarantined and bystanders are not."""

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

from ..test_requests.request_fakes import FakeAdmission, FakeLog

# Each case: steps, the time of the check and the fingerprints condemned by then.
# Steps: ("crash", target, fingerprints that ran, time), ("done", fingerprint, time),
# ("proved", fingerprint, time), ("peer", fingerprint, the peer's count, time).
CASES = {
    "one crash": ([("crash", "g1", "pab", 0.0)], 1.0, ""),
    "two crashes": (
        [("crash", "g1", "pab", 0.0), ("crash", "g2", "pcd", 9.0)],
        10,
        "p",
    ),
    "one crash, recorded by each attempt": (
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
    "bystander in two by chance, past the first crash's position": (
        [
            ("crash", "g1", "pab", 0.0),
            ("proved", "a", 1.0),
            ("crash", "g2", "pac", 9.0),
        ],
        10.0,
        "p",
    ),
    "crashes at a later position each time": (
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
    "third crash distinguishes them": (
        [
            ("crash", "g1", "pab", 0.0),
            ("crash", "g2", "pac", 9.0),
            ("done", "a", 12.0),
            ("crash", "g3", "pd", 15.0),
        ],
        16.0,
        "p",
    ),
    "completed between two crashes": (
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
    """Condemn a request that ran in two crashes, but no bystander.

    Guards against groups that die one after the other, and against bystanders that are
    refused.  A request that crashes its backend server is sent again and runs beside
    other requests; the fault occurs if crashes are not counted by request, or if every
    request near a crash is condemned.
    """
    quarantine = Quarantine(seed=1)
    _play(quarantine, steps)
    found = {name for name in "pabcd" if quarantine.verdict(name, now=now) is not None}
    assert found == set(condemned)


def test_retry_time_is_the_remaining_time_randomly_extended() -> None:
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
    """Send the observations of each entry host to the others."""
    for name, quarantine in hosts.items():
        for row in quarantine.observations(now=now):
            for other, receiver in hosts.items():
                if other != name:
                    receiver.observed(row, peer=name, observed_at=now, now=now)


def test_a_suspect_that_proved_itself_elsewhere_explains_no_crash() -> None:
    """Rule out a peer's bystander that has run past the position of its first crash.

    Guards against a third group that dies of one request, and against a bystander that
    is quarantined.  A group dies while it runs a poison request of one entry host and a
    bystander of another.  The bystander then runs well past the position of that crash
    on another group.  The poison request, which had to wait until it could run at a
    target without other suspects, is sent to the bystander's group after all, since the
    hosts' shares of the targets shifted when the dead group was dissolved.  If the
    hosts report only that a suspect was in a second crash, and not that it has proved
    itself, the host with the poison request considers the bystander an equally likely
    cause and runs the poison request once more.
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
    assert first.must_not_run("poison", now=2.3)
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
        "server died",
        "service died",
        "refused",
        "answered 500",
        "gap",
        "silence",
        "server died under a pooled connection",
        "cannot connect",
        "service answered 503",
    ],
)
def test_only_the_death_of_a_server_counts_as_a_crash(
    category: Category, step: str, code: str, refused: bool, crash: bool
) -> None:
    error = RyeleverError("gone", category=category, step=step, code=code)
    assert is_crash(error, refused=refused) is crash


class _FullAdmission(FakeAdmission):
    def admit(self, arrival, account, *, now):
        super().admit(arrival, account, now=now)
        return Queued()


def _table(
    fleet: FakeFleet, *, admission: FakeAdmission | None = None, **options: Any
) -> RequestTable:
    ids = iter(range(10**6))
    return RequestTable(
        admission=admission or FakeAdmission(),
        router=fleet.router(**options),
        retry_policy=fleet.retry_budget,
        claims=FakeLog(),
        account=lambda name: ClientAccount(key_hash="", concurrency=1000),
        new_id=lambda: f"id-{next(ids)}",
        retry_after=lambda: 1.0,
        feedback=fleet.feedback,
    )


def _connection_broken(attempt: SendAttempt) -> RyeleverError:
    return RyeleverError(
        "connection broke",
        category=Category.BROKEN,
        step="generate",
        peer=attempt.target.address,
    )


def test_poison_request_ends_after_two_crashes_and_bystanders_are_served() -> None:
    """Run a poison request among bystanders until it is quarantined.

    Guards against one caller's request that takes down group after group.  The request
    crashes its group, is retried, crashes the next group, and its caller sends it
    again; the fault occurs if the request table retries it like any other request,
    without regard to its fingerprint.
    """
    fleet = FakeFleet(zones={"a": 12})
    fleet.report_all(requested_at=0.0)
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
                    broken.attempt_id,
                    error=_connection_broken(broken),
                    refused=False,
                    now=0.2,
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


def _send_observations(
    rows_of: Quarantine, to: Quarantine, *, peer: str, now: float
) -> None:
    for row in rows_of.observations(now=now):
        to.observed(row, peer=peer, observed_at=now, now=now)


@pytest.mark.parametrize("first_crashes", [("g1", "g1"), ("g1", "g0")])
@pytest.mark.parametrize("exchanged_between", [False, True])
def test_suspects_of_two_hosts_in_one_crash_are_not_condemned(
    first_crashes: tuple[str, str], exchanged_between: bool
) -> None:
    """Condemn no suspect while two entry hosts each have one in the same second crash.

    Guards against a bystander that is refused for a quarter of an hour.  Two requests
    that the first crash interrupted run again, from two entry hosts on one target,
    which dies.  Each host sees a single repeated suspect, its own, and would condemn
    it.
    """
    hosts = [Quarantine(settle=1.0, seed=1) for _ in range(2)]

    def exchange(now: float) -> None:
        _send_observations(hosts[0], hosts[1], peer="e0", now=now)
        _send_observations(hosts[1], hosts[0], peer="e1", now=now)

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
    # One more run of each, on separate targets, shows which of the two is the cause.
    hosts[1].completed("b", now=13.0)
    hosts[0].crashed("g3", "p", now=14.0)
    for now in (14.4, 16.0):
        exchange(now)
    assert all(host.verdict("p", now=16.0) is not None for host in hosts)
    assert all(host.verdict("b", now=16.0) is None for host in hosts)


def test_one_crash_observed_by_two_hosts_counts_once() -> None:
    """Count a crash once if two entry hosts ran the same prompt on the dead target.

    Guards against a refused request that was in one crash only.  Both entry hosts
    report the crash, and a peer's report arrives before or after the host's own
    observation; the fault occurs if crashes are counted separately for each host.
    """
    reported_before, reported_after, reporter = (Quarantine(seed=1) for _ in range(3))
    reporter.crashed("g1", "a", now=0.0)
    _send_observations(reporter, reported_before, peer="e0", now=0.2)
    reported_before.crashed("g1", "a", now=0.3)
    reported_after.crashed("g1", "a", now=0.1)
    _send_observations(reporter, reported_after, peer="e0", now=0.2)
    assert reported_before.verdict("a", now=1.0) is None
    assert reported_after.verdict("a", now=1.0) is None


class _PoisonedZone:
    """Simulate entry hosts and groups, which a poison request kills, in 0.1 s steps.

    An attempt of the poison request kills its group in the step after the sending; any
    other attempt yields a token in each step.  Dead groups stay dead.
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
        self.killed_at: list[float] = []
        self.now = 0.0
        self.answers_by_request: dict[str, object] = {}
        self.poison_answers: list[AnswerError] = []
        self._running: list[tuple[int, SendAttempt, int]] = []
        self._n_requests = 0

    def send(self, at: int, text: str, *, parts: tuple[str, ...] = ()) -> None:
        """Send a caller's request to one entry host."""
        self._n_requests += 1
        arrival = replace(
            chat(text, now=self.now),
            request_id=f"{text}/{self._n_requests}",
            shared_parts=parts,
        )
        self._process(at, self.tables[at].arrive(arrival, now=self.now))

    def step(self) -> None:
        """Advance the time by 0.1 s with reports, timers and generated tokens."""
        self.now = round(self.now + 0.1, 3)
        for at, fleet in enumerate(self.fleets):
            for name in set(fleet.groups) - self.dead:
                fleet.report(f"{name}-0", requested_at=self.now)
            self._process(at, self.tables[at].tick(now=self.now))
        if round(self.now * 10) % 5 == 0:
            self._exchange_suspicions()
        running, self._running = self._running, []
        killed = {
            attempt.target.name
            for _, attempt, _ in running
            if attempt.arrival.fingerprint == "poison"
            or "deadly" in attempt.arrival.shared_parts
        }
        self.killed_at += [self.now] * len(killed - self.dead)
        self.dead |= killed
        for at, attempt, n_tokens in running:
            if attempt.target.name in killed:
                self._fail_attempt(at, attempt)
            else:
                self._generate(at, attempt, n_tokens)

    def _exchange_suspicions(self) -> None:
        for at, fleet in enumerate(self.fleets):
            for row in fleet.quarantine.observations(now=self.now):
                for other in self.fleets[:at] + self.fleets[at + 1 :]:
                    other.quarantine.observed(
                        row, peer=f"e{at}", observed_at=self.now, now=self.now
                    )

    def _fail_attempt(self, at: int, attempt: SendAttempt) -> None:
        actions = self.tables[at].failed(
            attempt.attempt_id,
            error=_connection_broken(attempt),
            refused=False,
            now=self.now,
        )
        self._process(at, actions)

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
        self._process(at, actions)

    def _process(self, at: int, actions: list) -> None:
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

    Guards against group after group that dies, and bystanders' streams that end with
    errors.  A group dies, and all its requests are sent again at once, several to one
    target; at the next crash there is more than one repeated suspect, and none is
    condemned.  Or the caller sends the request to another entry host before that host
    has received the suspicion.  This happens if suspects are kept apart only while
    there are as many targets, and by each entry host alone, or if the verdict is given
    to the caller before the suspicion has reached the peers.
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
    completed_ids = [
        request_id
        for request_id, answer in zone.answers_by_request.items()
        if isinstance(answer, StreamFinished)
    ]
    assert len(completed_ids) == 10 * n_hosts
    assert [table.n_tracked() for table in zone.tables] == [0] * n_hosts


def test_resent_quarantined_request_is_refused_without_queueing() -> None:
    """Refuse a resent quarantined request at once on a fully loaded entry host.

    Guards against the resent requests of one caller that fill the caller's queue, and
    get the error that names the quarantine only after the wait.  The host is busy, so
    arrivals queue; the fault occurs if the quarantine is checked only when a request is
    about to be sent to a backend server.
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


@pytest.mark.parametrize("n_hosts", [1, 3])
@pytest.mark.parametrize("deadly", [("system", "deadly"), ("deadly", "system")])
def test_requests_with_a_part_that_kills_groups_are_refused(
    n_hosts: int, deadly: tuple[str, ...]
) -> None:
    """Guard against prompts that share a message which crashes engines.

    No two of them are alike, so that no request is in many crashes.
    """
    zone = _PoisonedZone(n_hosts=n_hosts, n_groups=30)
    zone.step()
    for step in range(150):
        at = step % n_hosts
        if step % 2 == 0:
            zone.send(at, f"sound-{step}", parts=("system", f"turn-{step % 7}"))
        if step > 20 and step % 3 == 0:
            zone.send(at, f"deadly-{step}", parts=deadly)
        zone.step()
    for _ in range(60):
        zone.step()
    n_late = sum(at > zone.killed_at[4] + 3.0 for at in zone.killed_at[5:])
    assert n_late <= 3
    answers = {
        request_id.partition("/")[0]: answer
        for request_id, answer in zone.answers_by_request.items()
    }
    assert {
        type(answer) for name, answer in answers.items() if name.startswith("sound")
    } == {StreamFinished}
    last = answers["deadly-147"]
    assert last.error.code == "request_quarantined"
    assert "a part of this prompt (deadly)" in last.error.message


def test_whole_requests_are_judged_as_before_beside_parts() -> None:
    """Guard against verdicts on requests that the evidence of parts gives as well."""
    quarantine = Quarantine(seed=1)
    parts_by_fingerprint = {"a": ("system",), "b": ("system", "old")}
    for crash in ("g1#1", "g2#1"):
        quarantine.crashed(
            crash, ["a", "b"], parts_by_fingerprint=parts_by_fingerprint, now=1.0
        )
    for fingerprint, parts in parts_by_fingerprint.items():
        assert quarantine.verdict(fingerprint, parts=parts, now=9.0) is None


def test_hosts_tell_each_other_which_parts_were_in_crashes() -> None:
    """Guard against a part that is found only by the host which saw all crashes."""
    first, second = Quarantine(seed=1), Quarantine(seed=1)
    for index in range(4):
        host = (first, second)[index % 2]
        host.crashed(
            f"g{index}#1",
            [f"r{index}"],
            parts_by_fingerprint={f"r{index}": ("deadly",)},
            now=1.0,
        )
    for sender, receiver in ((first, second), (second, first)):
        for row in sender.changes(since=0.5):
            receiver.observed(row, peer="p", observed_at=1.1, now=1.2)
    for host in (first, second):
        assert host.verdict("new", parts=("deadly",), now=5.0).part == "deadly"
        assert host.verdict("new", parts=("other",), now=5.0) is None
        assert {
            "fingerprint": "part/deadly",
            "n_crashes": 4,
            "quarantined": True,
            "age": pytest.approx(4.0, abs=0.5),
        } in host.describe(now=5.0)
    second.completed("trial", parts=("deadly",), now=6.0)
    for row in second.observations(now=6.1):
        first.observed(row, peer="p", observed_at=6.1, now=6.2)
    assert first.verdict("new", parts=("deadly",), now=7.0) is None
