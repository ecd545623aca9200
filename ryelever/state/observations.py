"""Define the rows of soft state that entry hosts exchange.

Rows may be lost on the way and are valid only for a limited time.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from .incarnations import may_be_same_start

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .configuration import Configuration
    from .directory import BackendServer
    from .fleet import HostReport

__all__ = [
    "ConfigurationRow",
    "DemandRow",
    "LeavingRow",
    "LoadRow",
    "Observation",
    "RateLimitRow",
    "ReportRow",
    "InvolvementRow",
    "SuspicionRow",
    "WaitingKind",
    "WaitingRow",
    "join_involvements",
    "sum_suspicions",
    "sum_waiting",
    "waiting_rows",
]


class DemandRow(msgspec.Struct, kw_only=True, frozen=True):
    """Demand of a client account as observed by one entry host.

    Attributes
    ----------
    rate : float
        Recent arrivals in requests per second, whether admitted or not.
    n_in_flight, n_waiting : int
        Requests of the account that are in flight and waiting at the entry host.
    """

    client_account: str
    rate: float
    n_in_flight: int
    n_waiting: int


#: Service, model, rank and lateness of waiting requests.
WaitingKind = tuple[str, str, tuple[int, int], bool]


class WaitingRow(msgspec.Struct, kw_only=True, frozen=True):
    """Requests of one kind that wait for a slot at one or more entry hosts.

    Attributes
    ----------
    rank : tuple of (int, int)
        Priorities of the account and of the route; 0 is served first.
    late : bool
        True if the requests can no longer meet their latency objective.
    """

    service: str
    model: str
    rank: tuple[int, int]
    late: bool
    count: int

    @property
    def kind(self) -> WaitingKind:
        """Return what distinguishes the row: all of its fields but the count."""
        return (self.service, self.model, self.rank, self.late)


def sum_waiting(rows: Iterable[WaitingRow]) -> tuple[WaitingRow, ...]:
    """Return one row for each kind of requests, the largest counts first.

    Rows without requests are left out.
    """
    counts: Counter[WaitingKind] = Counter()
    for row in rows:
        counts[row.kind] += row.count
    return waiting_rows(counts)


def waiting_rows(counts: Counter[WaitingKind]) -> tuple[WaitingRow, ...]:
    """Return one row for each kind that has requests, the largest counts first."""
    ordered = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return tuple(
        WaitingRow(service=service, model=model, rank=rank, late=late, count=count)
        for (service, model, rank, late), count in ordered
        if count > 0
    )


class RateLimitRow(msgspec.Struct, kw_only=True, frozen=True):
    """Rate limit that a backend server stated in an answer.

    Attributes
    ----------
    rate : float or None
        Requests per second that the server accepts from all entry hosts together;
        None once the server states no limit any more.
    age : float
        Seconds since the answer was received.
    started_at : int or None
        Start time of the server, which distinguishes its incarnations; None if the
        server does not state it.
    """

    server_id: str
    rate: float | None
    age: float
    started_at: int | None = None

    def may_describe(self, server: BackendServer) -> bool:
        """Return whether the row may be about this incarnation of the server.

        True also if the row or the server lacks a start time.
        """
        return may_be_same_start(self.started_at, server.started_at)


class SuspicionRow(msgspec.Struct, kw_only=True, frozen=True):
    """Number of crashes in which a request's fingerprint was involved.

    Attributes
    ----------
    crash : str
        Identifier of a crash, the same on all entry hosts: the target and its fencing
        token.  Of several crashes, it is one that happened when the request was
        already a suspect; if there is none, the newest crash.
    repeated : bool
        True if the request was already a suspect when this crash happened.
    proved : bool
        True if, before this crash, the request had run past the point at which its
        earlier crash happened.
    """

    fingerprint: str
    n_crashes: int
    crash: str = ""
    repeated: bool = False
    proved: bool = False


def sum_suspicions(first: SuspicionRow, second: SuspicionRow) -> SuspicionRow:
    """Return the sum of two entry hosts' rows for the same request.

    The crash counts are added, since each entry host counts only its own crashes.
    """
    return SuspicionRow(
        fingerprint=first.fingerprint,
        n_crashes=first.n_crashes + second.n_crashes,
        crash=first.crash or second.crash,
        repeated=first.repeated or second.repeated,
        proved=first.proved and second.proved,
    )


class InvolvementRow(msgspec.Struct, kw_only=True, frozen=True):
    """Crashes of backend servers in which a relayed request was running.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request, or id of a part of prompts.
    crashes : tuple of str
        Identifiers of the crashes that count, the same on all entry hosts; sorted.
    refuted : tuple of str
        Crashes that don't count because the request has completed; sorted.
    age : int
        Minutes since the newest of the crashes that count, rounded up; 0 for some
        seconds.
    is_part : bool
        True if the row is about all requests with one part in their prompts.
    has_completed : bool
        True if a request with the part has completed, so that no crash counts.
    """

    fingerprint: str
    crashes: tuple[str, ...] = ()
    refuted: tuple[str, ...] = ()
    age: int = 0
    is_part: bool = False
    has_completed: bool = False


def join_involvements(rows: Iterable[InvolvementRow]) -> tuple[InvolvementRow, ...]:
    """Return one row for each request and part, those with the most crashes first."""
    rows_by_suspect: dict[tuple[bool, str], list[InvolvementRow]] = {}
    for row in rows:
        rows_by_suspect.setdefault((row.is_part, row.fingerprint), []).append(row)
    joined = [_joined(same) for same in rows_by_suspect.values()]
    joined.sort(key=lambda row: (-len(row.crashes), row.fingerprint))
    return tuple(joined)


def _joined(rows: list[InvolvementRow]) -> InvolvementRow:
    if len(rows) == 1:
        return rows[0]
    refuted = {key for row in rows for key in row.refuted}
    crashes = {key for row in rows for key in row.crashes} - refuted
    has_completed = any(row.has_completed for row in rows)
    return InvolvementRow(
        fingerprint=rows[0].fingerprint,
        crashes=() if has_completed else tuple(sorted(crashes)),
        refuted=tuple(sorted(refuted)),
        age=min((row.age for row in rows if row.crashes), default=0),
        is_part=rows[0].is_part,
        has_completed=has_completed,
    )


class LeavingRow(msgspec.Struct, kw_only=True, frozen=True):
    """Announcement that a backend server is leaving, as this entry host has learned."""

    host: str


class LoadRow(msgspec.Struct, kw_only=True, frozen=True):
    """Number of requests that an entry host has in flight at a target."""

    target: str
    n_in_flight: int


class ReportRow(msgspec.Struct, kw_only=True, frozen=True):
    """Forwarded report of a host; its age counts from the request for the report."""

    report: HostReport


class ConfigurationRow(msgspec.Struct, kw_only=True, frozen=True):
    """The configuration in force with its version."""

    version: int
    author: str
    document: Configuration


Observation = (
    DemandRow | SuspicionRow | LeavingRow | LoadRow | ReportRow | ConfigurationRow
)
