"""Schedule probes of group members that may be lost, and count missed answers."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "MAX_PAUSE",
    "MAX_UNANSWERED_PROBES",
    "SUSPECT_PROBE_INTERVAL",
    "UNLISTED_PROBE_INTERVAL",
    "MemberProbes",
]

#: Seconds between two probes of the members of a group that may have lost a member.
SUSPECT_PROBE_INTERVAL = 0.4

#: Consecutive probes without an answer after which a member is presumed lost.
MAX_UNANSWERED_PROBES = 2

#: Seconds of silence after which a probe decides whether a member is presumed lost.  A
#: sound server may be silent for about a second and then continues its streams, which
#: the end of its group would break off.
MAX_PAUSE = 1.2

#: Seconds between two probes of members that answer but have no entry in the server
#: list.  Each probe is paid for, and stalled streams reveal a lost member sooner.
UNLISTED_PROBE_INTERVAL = 1.0


class MemberProbes:
    """The time of the last probes of one group, and the members' missed answers."""

    __slots__ = (
        "_answered_at_by_id",
        "_n_unanswered",
        "_probed_at",
        "_silent_since_by_id",
    )

    def __init__(self) -> None:
        self._probed_at = float("-inf")
        self._n_unanswered: Counter[str] = Counter()
        self._silent_since_by_id: dict[str, float] = {}
        self._answered_at_by_id: dict[str, float] = {}

    def restart(self) -> None:
        """Forget the missed answers of an earlier suspicion."""
        self._n_unanswered.clear()
        self._silent_since_by_id.clear()

    def due(
        self, member_ids: tuple[str, ...], *, urgent: bool, now: float
    ) -> tuple[str, ...]:
        """Return the members to probe now, and record the time of the probes.

        All are probed as well once one of them has been silent for ``MAX_PAUSE``
        seconds, because that probe decides whether the member is presumed lost.

        Parameters
        ----------
        urgent : bool
            True if one of the members is probably lost.
        """
        urgent = urgent or any(self._n_unanswered[item] for item in member_ids)
        interval = SUSPECT_PROBE_INTERVAL if urgent else UNLISTED_PROBE_INTERVAL
        is_decisive = any(
            self._probed_at < since + MAX_PAUSE <= now
            for server_id, since in self._silent_since_by_id.items()
            if server_id in member_ids
        )
        if not member_ids or now - self._probed_at < interval and not is_decisive:
            return ()
        self._probed_at = now
        return member_ids

    def record_answer(self, server_id: str, *, now: float) -> None:
        """Record that a member answered a probe."""
        self._n_unanswered.pop(server_id, None)
        self._silent_since_by_id.pop(server_id, None)
        self._answered_at_by_id[server_id] = now

    def all_answered_since(self, member_ids: Iterable[str], at: float) -> bool:
        """Return whether all given members have answered a probe since a time."""
        return all(
            self._answered_at_by_id.get(item, float("-inf")) >= at
            for item in member_ids
        )

    def record_timeout(self, server_id: str) -> bool:
        """Record an unanswered probe; return whether the member is presumed lost."""
        self._n_unanswered[server_id] += 1
        return self._n_unanswered[server_id] >= MAX_UNANSWERED_PROBES

    def record_silence(
        self, server_id: str, *, probed_at: float, suspected_since: float
    ) -> bool:
        """Record a probe that timed out; return whether the member is presumed lost.

        Parameters
        ----------
        probed_at : float
            Time of the probe.
        suspected_since : float
            Time since which other evidence shows the member silent, unless it has
            answered a probe since then.
        """
        answered_at = self._answered_at_by_id.get(server_id, float("-inf"))
        silent_since = self._silent_since_by_id.setdefault(
            server_id, suspected_since if answered_at < suspected_since else probed_at
        )
        is_lost = self.record_timeout(server_id)
        return is_lost and probed_at >= silent_since + MAX_PAUSE
