"""Quarantine requests of the OpenAI interface by the parts of their prompts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.observations import InvolvementRow, SuspicionRow
from .crash_evidence import CrashEvidence

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from .crash_reports import CrashReports
    from .quarantined import Quarantined

__all__ = ["PartQuarantine"]

#: Maximum number of rows for other hosts, one for each crash of a part.
MAX_ROWS = 64

#: Seconds for which evidence is announced after it has changed, unless it is announced
#: for as long as it counts.
ANNOUNCED_FOR = 60.0

_PREFIX = "part/"


class PartQuarantine:
    """Judge the parts that prompts share, beside the verdicts on whole requests.

    Hosts tell each other of the crashes of parts in the rows that exist for requests,
    one row for each crash, so that hosts of the release before can read them: no
    request has such a fingerprint.

    Parameters
    ----------
    peers_reported_since : callable or None
        Return whether each live peer has reported everything that it had observed by a
        given monotonic time; None if there are no peers.
    """

    __slots__ = ("_evidence",)

    def __init__(
        self,
        *,
        peers_reported_since: Callable[[float], bool] | None = None,
        seed: int | None = None,
        reports: CrashReports | None = None,
    ) -> None:
        reported_since = peers_reported_since
        self._evidence = CrashEvidence(
            judges_requests=False,
            peers_reported_since=(
                None
                if reported_since is None
                else lambda at, *, now: reported_since(at)
            ),
            seed=seed,
            reports=reports,
        )

    def verdict(
        self, fingerprint: str, parts: tuple[str, ...], *, now: float
    ) -> Quarantined | None:
        """Return why a request must not run for a part of its prompt, or None."""
        if not parts or self._evidence.is_empty:
            return None
        return self._evidence.verdict(fingerprint, parts=parts, now=now)

    def must_not_run(
        self, fingerprint: str, parts: tuple[str, ...], *, now: float
    ) -> bool:
        """Return whether a request has a quarantined part, or awaits the verdict."""
        if not parts or self._evidence.is_empty:
            return False
        return (
            self._evidence.awaits_verdict(fingerprint, parts=parts, now=now)
            or self._evidence.verdict(fingerprint, parts=parts, now=now) is not None
        )

    def crashed(
        self,
        crash: str,
        parts_by_fingerprint: Mapping[str, tuple[str, ...]],
        *,
        now: float,
    ) -> None:
        """Record a crash and the requests that were running in it, with their parts."""
        for fingerprint, parts in parts_by_fingerprint.items():
            self._evidence.crashed(crash, None, fingerprint, parts=parts, now=now)

    def completed(
        self, fingerprint: str, parts: tuple[str, ...], *, now: float
    ) -> None:
        """Clear the parts of a request that has completed."""
        self._evidence.completed(fingerprint, parts=parts, now=now)

    def changes(self, *, since: float) -> list[SuspicionRow]:
        """Return the rows of parts whose crashes changed at this host since a time."""
        return _suspicions(self._evidence.changed_parts(since=since))

    def observations(self, *, now: float) -> list[SuspicionRow]:
        """Return the rows of parts that may be quarantined, or changed lately."""
        rows = self._evidence.rows(since=now - ANNOUNCED_FOR, now=now)
        return _suspicions(row for row in rows if row.is_part)

    def describe(self, *, now: float) -> list[dict[str, object]]:
        """Return the quarantined parts for the diagnostic dump."""
        return [
            {
                "fingerprint": f"{_PREFIX}{part}",
                "n_crashes": n_crashes,
                "quarantined": True,
                "age": round(now - newest_at, 3),
            }
            for part, n_crashes, newest_at in self._evidence.quarantined()
        ]

    def observed(self, row: SuspicionRow, *, peer: str, now: float) -> bool:
        """Process a row of another host; return whether it is about a part."""
        if row.fingerprint.startswith(_PREFIX):
            self._evidence.join(_involvement(row), peer=peer, now=now)
            return True
        if row.n_crashes and row.crash:
            # A request that explains a crash excuses the parts of the others in it.
            involvement = InvolvementRow(
                fingerprint=row.fingerprint, crashes=(row.crash,)
            )
            self._evidence.join(involvement, peer=peer, now=now)
        return False


def _suspicions(rows: Iterable[InvolvementRow]) -> list[SuspicionRow]:
    """Return one row for each crash of a part, and for each part that has completed."""
    suspicions = []
    for row in rows:
        name = f"{_PREFIX}{row.fingerprint}"
        if row.has_completed:
            suspicions.append(SuspicionRow(fingerprint=name, n_crashes=0))
        suspicions += [
            SuspicionRow(fingerprint=f"{name}/{crash}", n_crashes=1, crash=crash)
            for crash in row.crashes
        ]
    return suspicions[:MAX_ROWS]


def _involvement(row: SuspicionRow) -> InvolvementRow:
    part, _, crash = row.fingerprint.removeprefix(_PREFIX).partition("/")
    return InvolvementRow(
        fingerprint=part,
        crashes=(crash,) if crash and row.n_crashes else (),
        is_part=True,
        has_completed=not crash,
    )
