"""Check the observations of callers and backend servers against the promises."""

from __future__ import annotations

import math
import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from .callers import Call, Kind
from .faults import STORE, Disturbance, KeyChange, PartitionSpan

__all__ = ["N_EVENTS", "Evidence", "Verdict", "check"]

#: Seconds for which a host and the store must have been undisturbed before a time limit
#: applies to the host, as the users' pages define it.
UNDISTURBED_FOR = 3.0

#: Seconds after which a leaving server must get no more requests, and after which a
#: published configuration must be in force.
DRAINED_WITHIN = 2.0
IN_FORCE_WITHIN = 2.0

#: Requests that a host may send to a server during a pause that the server asked it
#: for, and seconds from the start of the pause after which requests count.
MAX_DURING_PAUSE = 2
PAUSE_GRACE = 0.5

#: Sendings that are allowed once a request, or requests with one part in their prompts,
#: have crashed so many servers and hosts had UNDISTURBED_FOR seconds to learn of it.
CRASHES_NOTICED_BY_KIND = {"poison": 3, "deadly": 5}
MAX_AFTER_CRASHES = 3
PROMISE_BY_KIND = {
    "poison": "requests that crash servers are not sent on",
    "deadly": "parts of prompts that crash servers are not sent on",
}

#: Minimum seconds after which callers of quarantined requests are to return; those of
#: other refused requests are told to return sooner.
QUARANTINED_FOR = 100.0

#: Callers of a partitioned host are served badly if fewer than MIN_SERVED times the
#: share of the other hosts' callers are served, and more than MAX_FAILED requests and
#: MAX_FAILED_SHARE of all requests fail there.
MIN_SERVED = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50

#: Seconds within which a running host has read a request that was sent to it.
READ_WITHIN = 0.2

#: A rate limit that a server declares allows LIMIT_OVERAGE times the limit, and
#: LIMIT_SLACK requests more, within a window of LIMIT_WINDOW seconds.
LIMIT_WINDOW = 4.0
LIMIT_OVERAGE = 1.5
LIMIT_SLACK = 5

#: Statuses that hosts answer when an attempt has failed, and seconds before the
#: caller's deadline from which a host may give up.
FAILED_STATUSES = frozenset({502, 504})
GIVING_UP = 0.1

#: Statuses that promise that a request was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

#: A route or account whose requests are at least MIN_SENT over MIN_SPAN seconds gets at
#: least MIN_SHARE of the share of complete answers that all streams get.
MIN_SENT = 20
MIN_SPAN = 8.0
MIN_SHARE = 0.25

#: Number of events of a complete stream of the stand-ins.
N_EVENTS = 5

_EVENT = re.compile(r"id: (\d+)\ndata: piece (\d+)\n\n")


@dataclass(slots=True, kw_only=True)
class Evidence:
    """Observations of one run.

    Attributes
    ----------
    servers : dict of str to dict
        State and history that each backend server reports, by its id.
    group_faults : list of str
        Groups that served without a member, and members of two groups.
    unserved_kinds : list of str
        Kinds of requests that were not served after all faults had ended.
    """

    calls: list[Call]
    servers: dict[str, dict[str, Any]]
    disturbances: list[Disturbance] = field(default_factory=list)
    key_changes: list[KeyChange] = field(default_factory=list)
    partition_spans: list[PartitionSpan] = field(default_factory=list)
    group_faults: list[str] = field(default_factory=list)
    unserved_kinds: list[str] = field(default_factory=list)

    def is_undisturbed(self, host: str, at: float) -> bool:
        """Return whether host and store were undisturbed at a time and before.

        The time without disturbance must have lasted UNDISTURBED_FOR seconds.
        """
        return not any(
            disturbance.target in (host, STORE)
            and disturbance.start <= at
            and disturbance.end >= at - UNDISTURBED_FOR
            for disturbance in self.disturbances
        )

    def is_disturbed_between(self, name: str, start: float, end: float) -> bool:
        """Return whether a host or server was disturbed at any time within a span."""
        return any(
            disturbance.target == name
            and disturbance.start <= end
            and disturbance.end >= start
            for disturbance in self.disturbances
        )

    def is_zone_disturbed_between(self, start: float, end: float) -> bool:
        """Return whether there was any fault in the hosts' zone within a span."""
        return any(
            disturbance.start <= end and disturbance.end >= start
            for disturbance in self.disturbances
        )

    def is_server_faulty_between(self, name: str, start: float, end: float) -> bool:
        """Return whether a server had a fault but suspensions within a span."""
        has_crashed = any(start <= at <= end for at, _ in self.servers[name]["crashes"])
        return has_crashed or self.is_disturbed_between(name, start, end)

    def is_suspended_between(self, name: str, start: float, end: float) -> bool:
        """Return whether a server was suspended at any time within a span."""
        return any(
            suspended_at <= end and resumed_at >= start
            for suspended_at, resumed_at in self.servers[name]["suspensions"]
        )

    def is_partitioned_between(self, host: str, start: float, end: float) -> bool:
        """Return whether a host was partitioned from all servers within a span."""
        return any(
            span.host == host and span.start <= end and span.end >= start
            for span in self.partition_spans
        )

    def is_partitioned(self, host: str, at: float) -> bool:
        """Return whether a host was partitioned from all servers at a time."""
        return any(
            span.host == host and span.start <= at <= span.end
            for span in self.partition_spans
        )

    def is_key_valid(self, at: float) -> bool:
        """Return whether the callers' key was in force at all hosts at a time."""
        return not any(
            change.revoked_at <= at <= change.restored_at + IN_FORCE_WITHIN
            for change in self.key_changes
        )

    def n_runs(self) -> Counter[str]:
        """Return the number of runs of each request over all servers."""
        total: Counter[str] = Counter()
        for server in self.servers.values():
            total.update(server["n_runs"])
        return total


@dataclass(slots=True, kw_only=True)
class Verdict:
    """Result of the checks of one run.

    Attributes
    ----------
    n_tested_by_promise : Counter of str
        Number of checks of each promise.
    violations : list of str
        For each broken promise, the promise and the observation.
    """

    n_tested_by_promise: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)

    def record(self, promise: str, *, holds: bool, observed: str = "") -> None:
        """Record a check of a promise, and its violation if it does not hold."""
        self.n_tested_by_promise[promise] += 1
        if not holds:
            self.violations.append(f"{promise}: {observed}")


def check(evidence: Evidence) -> Verdict:
    """Return the verdict of all checks on the observations of a run."""
    verdict = Verdict()
    n_runs = evidence.n_runs()
    for call in evidence.calls:
        _check_answer(call, verdict)
        _check_runs(call, n_runs[call.id], verdict)
        _check_key(call, evidence, verdict)
        _check_stop(call, evidence, verdict)
        _check_quarantined(call, evidence, verdict)
    _check_shares(evidence, verdict)
    _check_partitions(evidence, verdict)
    _check_suspensions(evidence, verdict)
    for kind in CRASHES_NOTICED_BY_KIND:
        _check_crashes(kind, evidence, verdict)
    for name, server in evidence.servers.items():
        _check_leaving(name, server, evidence, verdict)
        _check_limit(name, server, evidence, verdict)
        _check_stated_leaving(name, server, evidence, verdict)
        _check_pauses(name, server, evidence, verdict)
    n_groups = len({run for run in n_runs if n_runs[run]})
    verdict.n_tested_by_promise["groups are whole, members in one"] += n_groups
    for fault in evidence.group_faults:
        verdict.violations.append(f"groups are whole, members in one: {fault}")
    verdict.record(
        "all is served once faults are over",
        holds=not evidence.unserved_kinds,
        observed=", ".join(evidence.unserved_kinds),
    )
    return verdict


def _check_answer(call: Call, verdict: Verdict) -> None:
    if call.status != 200 or not call.is_complete:
        return
    is_correct = bool(call.seal) and call.answered_id == call.id
    if call.kind == "stream":
        ids = [int(number) for number, _ in _EVENT.findall(call.body)]
        is_correct = is_correct and ids == list(range(1, N_EVENTS + 1))
    elif call.kind == "once":
        is_correct = is_correct and call.body.endswith(call.id)
    verdict.record(
        "answers are whole and the caller's own", holds=is_correct, observed=f"{call}"
    )


def _check_runs(call: Call, n_runs: int, verdict: Verdict) -> None:
    if call.kind == "once":
        runs = f"{call.id} ran {n_runs} times"
        verdict.record("at most once", holds=n_runs <= 1, observed=runs)
        if call.status in NOT_RUN_STATUSES and not call.seal:
            verdict.record("'not run' is true", holds=not n_runs, observed=runs)
    elif call.route and call.status in NOT_RUN_STATUSES and not call.seal:
        verdict.record(
            "refused streams of contended services never run",
            holds=not n_runs,
            observed=f"{call.id}, refused with {call.status}, ran {n_runs} times",
        )


def _check_quarantined(call: Call, evidence: Evidence, verdict: Verdict) -> None:
    """Check that a request is not refused for the crashes of another one."""
    if call.kind in CRASHES_NOTICED_BY_KIND or not any(
        server["crashes"] for server in evidence.servers.values()
    ):
        return
    verdict.record(
        "others are not refused for a poison request",
        holds=call.retry_after < QUARANTINED_FOR,
        observed=f"{call.id} may return after {call.retry_after:.0f} s",
    )


def _check_crashes(kind: Kind, evidence: Evidence, verdict: Verdict) -> None:
    """Check that requests which crash servers are not sent to ever more of them."""
    servers = evidence.servers.values()
    ids = {call.id for call in evidence.calls if call.kind == kind}
    times = sorted(
        at
        for server in servers
        for at, request_id in server["crashes"]
        if request_id in ids
    )
    if not times:
        return
    n_noticed = CRASHES_NOTICED_BY_KIND[kind]
    noticed_at = math.inf
    if len(times) >= n_noticed:
        noticed_at = times[n_noticed - 1] + UNDISTURBED_FOR
    late = [
        f"{request_id} {at - noticed_at:.2f} s late"
        for server in servers
        for at, request_id in server["arrivals"]
        if request_id in ids
        and at > noticed_at
        and evidence.is_undisturbed(_host_of(request_id), at)
    ]
    verdict.record(
        PROMISE_BY_KIND[kind],
        holds=len(late) <= MAX_AFTER_CRASHES,
        observed=", ".join(late),
    )


def _check_shares(evidence: Evidence, verdict: Verdict) -> None:
    """Check that no account and no route of a contended service starves."""
    streams = [
        call
        for call in evidence.calls
        if call.route
        and not evidence.is_zone_disturbed_between(call.sent_at, call.ended_at)
    ]
    calls_by_group: dict[str, list[Call]] = defaultdict(list)
    for call in streams:
        calls_by_group[f"route {call.route}"].append(call)
        calls_by_group[f"account {call.account}"].append(call)
    for group, calls in sorted(calls_by_group.items()):
        times = [call.sent_at for call in calls]
        if len(calls) < MIN_SENT or max(times) - min(times) < MIN_SPAN:
            continue
        share, share_of_all = _share_answered(calls), _share_answered(streams)
        verdict.record(
            "no account and no route starves",
            holds=share >= MIN_SHARE * share_of_all,
            observed=(
                f"{group}: {share:.3f} of {len(calls)} answered, "
                f"{share_of_all:.3f} of all {len(streams)}"
            ),
        )


def _check_partitions(evidence: Evidence, verdict: Verdict) -> None:
    """Check that callers of partitioned hosts are served like those of other hosts.

    Requests that the configuration doesn't allow aren't compared, nor those during
    suspensions: few of them are left at other hosts, and those that end late were
    served.
    """
    for span in evidence.partition_spans:
        calls = [
            call
            for call in evidence.calls
            if call.kind not in CRASHES_NOTICED_BY_KIND
            and span.start + UNDISTURBED_FOR <= call.sent_at <= span.end
            and evidence.is_undisturbed(call.host, call.ended_at)
            and evidence.is_key_valid(call.sent_at)
            and not any(
                evidence.is_suspended_between(name, call.sent_at, call.ended_at)
                for name in evidence.servers
            )
        ]
        partitioned = [call for call in calls if call.host == span.host]
        others = [
            call
            for call in calls
            if not evidence.is_partitioned(call.host, call.sent_at)
        ]
        if not partitioned or not others:
            continue
        share, share_of_others = _share_answered(partitioned), _share_answered(others)
        n_failed = round((1 - share) * len(partitioned))
        serves = share >= MIN_SERVED * share_of_others
        verdict.record(
            "callers of partitioned hosts are served",
            holds=serves or n_failed <= MAX_FAILED + MAX_FAILED_SHARE * len(calls),
            observed=(
                f"{span.host} ({span.kind}): {share:.3f} of {len(partitioned)} served, "
                f"{share_of_others:.3f} of {len(others)} at the others"
            ),
        )


def _check_suspensions(evidence: Evidence, verdict: Verdict) -> None:
    """Check that no request is lost whose servers are sound but for suspensions.

    Only disturbances of the host itself and partitions from the servers excuse it.  A
    request that reached no server is checked against all servers of its service.
    """
    servers_by_request = _servers_by_request(evidence)
    for call in evidence.calls:
        if call.kind in CRASHES_NOTICED_BY_KIND or not evidence.is_key_valid(
            call.sent_at
        ):
            continue
        servers = servers_by_request.get(call.id) or _servers_of_kind(
            call.kind, evidence
        )
        is_lost = _is_lost(call)
        span = (call.sent_at - UNDISTURBED_FOR, call.ended_at)
        # Other requests after a suspension say nothing about the promise.
        suspended_since = span[0] if is_lost else call.sent_at
        if (
            evidence.is_disturbed_between(call.host, *span)
            or evidence.is_partitioned_between(call.host, *span)
            or any(evidence.is_server_faulty_between(name, *span) for name in servers)
            or not any(
                evidence.is_suspended_between(name, suspended_since, call.ended_at)
                for name in servers
            )
        ):
            continue
        verdict.record(
            "nothing is lost while servers are suspended",
            holds=not is_lost,
            observed=(
                f"{call.id}, {call.route or call.kind} {call.model}, ended after "
                f"{call.ended_at - call.sent_at:.2f} of {call.deadline} s with "
                f"{call.status}; servers {', '.join(sorted(servers))}"
            ),
        )


def _is_lost(call: Call) -> bool:
    """Return whether a call ended early with neither an answer nor a true refusal."""
    if call.ended_at >= call.sent_at + call.deadline - GIVING_UP:
        return False
    if call.status in FAILED_STATUSES:
        return call.kind != "once" and not call.seal
    return not call.is_complete


def _servers_by_request(evidence: Evidence) -> dict[str, set[str]]:
    """Return the servers that each request reached, and members of their groups."""
    servers_by_request: dict[str, set[str]] = defaultdict(set)
    for name, server in evidence.servers.items():
        for arrived_at, request_id in server["arrivals"]:
            servers_by_request[request_id].add(name)
            members = [set(m) for at, m in server["memberships"] if at <= arrived_at]
            servers_by_request[request_id].update(*members[-1:])
    return servers_by_request


def _servers_of_kind(kind: Kind, evidence: Evidence) -> set[str]:
    """Return the servers of the service of a kind of requests."""
    return {
        name
        for name, server in evidence.servers.items()
        if bool(server["domain"]) == (kind == "stream")
    }


def _share_answered(calls: list[Call]) -> float:
    """Return the share of requests that got a complete answer."""
    return sum(call.status == 200 and call.is_complete for call in calls) / len(calls)


def _check_key(call: Call, evidence: Evidence, verdict: Verdict) -> None:
    for change in evidence.key_changes:
        is_revoked = (
            change.revoked_at + IN_FORCE_WITHIN < call.sent_at < change.restored_at
        )
        if is_revoked and evidence.is_undisturbed(call.host, call.sent_at):
            verdict.record(
                "a key that was taken away opens nothing",
                holds=not (call.status == 200 and call.seal),
                observed=f"{call.id}, {call.sent_at - change.revoked_at:.2f} s after",
            )


def _check_stop(call: Call, evidence: Evidence, verdict: Verdict) -> None:
    """Check that a request got an answer although its host was stopped gracefully.

    A request sent less than READ_WITHIN before the signal isn't checked: the host may
    have closed the connection without reading the request.
    """
    stops = [
        disturbance
        for disturbance in evidence.disturbances
        if disturbance.target == call.host and disturbance.start < call.ended_at
        if disturbance.end > call.sent_at
    ]
    if not stops or any(disturbance.kind != "terminate" for disturbance in stops):
        return
    if call.sent_at > stops[0].start - READ_WITHIN:
        return
    verdict.record(
        "a planned stop cuts nothing off",
        holds=call.status != 0,
        observed=(
            f"{call.id}, sent {stops[0].start - call.sent_at:.2f} s before the signal"
        ),
    )


def _check_leaving(
    name: str, server: dict[str, Any], evidence: Evidence, verdict: Verdict
) -> None:
    for start, end in _spans(server["states"], "draining"):
        for at, request_id in server["arrivals"]:
            host = _host_of(request_id)
            if start + DRAINED_WITHIN < at < end and evidence.is_undisturbed(host, at):
                seen = f"{name} got {request_id} {at - start:.2f} s after"
                verdict.record(
                    "leaving servers get nothing new", holds=False, observed=seen
                )
        verdict.record("leaving servers get nothing new", holds=True)


def _check_stated_leaving(
    name: str, server: dict[str, Any], evidence: Evidence, verdict: Verdict
) -> None:
    """Check that hosts send nothing to a server whose answers say that it leaves.

    Only a disturbance of the host itself excuses a request, and a later start of the
    server ends the statement.
    """
    for stated_at, answered_id in server["leaving_answers"]:
        host = _host_of(answered_id)
        end = min((at for at in server["starts"] if at > stated_at), default=math.inf)
        late = [
            f"{request_id} {at - stated_at:.2f} s after"
            for at, request_id in server["arrivals"]
            if _host_of(request_id) == host
            and stated_at + DRAINED_WITHIN < at < end
            and not evidence.is_disturbed_between(host, stated_at, at)
        ]
        verdict.record(
            "servers that say that they leave get nothing new",
            holds=not late,
            observed=f"{name} got {', '.join(late)}",
        )


def _check_pauses(
    name: str, server: dict[str, Any], evidence: Evidence, verdict: Verdict
) -> None:
    """Check that hosts keep to the pauses that a server asked them for."""
    for refused_at, refused_id, seconds in server["pauses"]:
        host = _host_of(refused_id)
        end = refused_at + seconds
        if evidence.is_disturbed_between(host, refused_at, end):
            continue
        n_sent = sum(
            refused_at + PAUSE_GRACE <= at <= end and _host_of(request_id) == host
            for at, request_id in server["arrivals"]
        )
        verdict.record(
            "pauses that servers ask for hold",
            holds=n_sent <= MAX_DURING_PAUSE,
            observed=f"{name} got {n_sent} from {host} within {seconds} s",
        )


def _host_of(request_id: str) -> str:
    """Return the host to which a caller of the soak sent a request."""
    return request_id.partition(".")[0]


def _check_limit(
    name: str, server: dict[str, Any], evidence: Evidence, verdict: Verdict
) -> None:
    for limit in {text for _, text in server["limits"] if text}:
        allowed = LIMIT_OVERAGE * float(limit) * LIMIT_WINDOW + LIMIT_SLACK
        for start, end in _spans(server["limits"], limit):
            times = [
                at
                for at, request_id in server["arrivals"]
                if start + UNDISTURBED_FOR < at < end
                and evidence.is_undisturbed(_host_of(request_id), at)
            ]
            for index, at in enumerate(times):
                n_within = sum(at <= other < at + LIMIT_WINDOW for other in times)
                verdict.record(
                    "rate limits that servers name hold",
                    holds=n_within <= allowed,
                    observed=f"{name}: {n_within} in {LIMIT_WINDOW} s from {index}",
                )


def _spans(
    changes: Iterable[tuple[float, str]], wanted_value: str
) -> list[tuple[float, float]]:
    """Return start and end of each time span during which a value applied."""
    spans = []
    since: float | None = None
    for at, value in changes:
        if value == wanted_value and since is None:
            since = at
        elif value != wanted_value and since is not None:
            spans.append((since, at))
            since = None
    if since is not None:
        spans.append((since, float("inf")))
    return spans
