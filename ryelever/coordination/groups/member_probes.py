"""Schedule probes of group members that may be lost, and count missed answers."""

from __future__ import annotations

from collections import Counter

__all__ = [
    "MAX_UNANSWERED_PROBES",
    "SUSPECT_PROBE_INTERVAL",
    "UNLISTED_PROBE_INTERVAL",
    "MemberProbes",
]

#: Seconds between two probes of the members of a group that may have lost a member.
SUSPECT_PROBE_INTERVAL = 0.4

#: Consecutive probes without an answer after which a member is presumed lost.
MAX_UNANSWERED_PROBES = 2

#: Seconds between two probes of members that answer but have no entry in the server
#: list.  Each probe is paid for, and stalled streams reveal a lost member sooner.
UNLISTED_PROBE_INTERVAL = 1.0


class MemberProbes:
    """The time of the last probes of one group, and the members' missed answers."""

    __slots__ = ("_n_unanswered", "_probed_at")

    def __init__(self) -> None:
        self._probed_at = float("-inf")
        self._n_unanswered: Counter[str] = Counter()

    def restart(self) -> None:
        """Forget the missed answers of an earlier suspicion."""
        self._n_unanswered.clear()

    def due(
        self, member_ids: tuple[str, ...], *, urgent: bool, now: float
    ) -> tuple[str, ...]:
        """Return the members to probe now, and record the time of the probes.

        Parameters
        ----------
        urgent : bool
            True if one of the members is probably lost.
        """
        urgent = urgent or any(self._n_unanswered[item] for item in member_ids)
        interval = SUSPECT_PROBE_INTERVAL if urgent else UNLISTED_PROBE_INTERVAL
        if not member_ids or now - self._probed_at < interval:
            return ()
        self._probed_at = now
        return member_ids

    def record_answer(self, server_id: str) -> None:
        """Record that a member answered a probe."""
        self._n_unanswered.pop(server_id, None)

    def record_timeout(self, server_id: str) -> bool:
        """Record an unanswered probe; return whether the member is presumed lost."""
        self._n_unanswered[server_id] += 1
        return self._n_unanswered[server_id] >= MAX_UNANSWERED_PROBES
