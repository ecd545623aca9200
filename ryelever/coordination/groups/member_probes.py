"""Ask members of a group that may be lost for a sign of life."""

from __future__ import annotations

from collections import Counter

__all__ = ["ASK_INTERVAL", "LOST_PROBES", "PROBE_INTERVAL", "MemberProbes"]

#: Seconds between two probes of members one of which may be lost, and the probes in a
#: row without an answer after which a member counts as lost.
PROBE_INTERVAL = 0.4
LOST_PROBES = 2

#: Seconds between two probes of members that have no entry in the list and answer.
#: Each is paid for, and a loss shows sooner by the streams, which stand still.
ASK_INTERVAL = 1.0


class MemberProbes:
    """Hold what the members of one group made of their probes."""

    __slots__ = ("_asked_at", "_n_unanswered")

    def __init__(self) -> None:
        self._asked_at = float("-inf")
        self._n_unanswered: Counter[str] = Counter()

    def due(
        self, member_ids: tuple[str, ...], *, urgent: bool, now: float
    ) -> tuple[str, ...]:
        """Return the members to ask now, and count them as asked.

        Parameters
        ----------
        urgent : bool
            True where one of them is likely lost.
        """
        urgent = urgent or any(self._n_unanswered[item] for item in member_ids)
        interval = PROBE_INTERVAL if urgent else ASK_INTERVAL
        if not member_ids or now - self._asked_at < interval:
            return ()
        self._asked_at = now
        return member_ids

    def answered(self, server_id: str) -> None:
        """Take a member's sign of life."""
        self._n_unanswered.pop(server_id, None)

    def unanswered(self, server_id: str) -> bool:
        """Take a probe without an answer; tell whether the member counts as lost."""
        self._n_unanswered[server_id] += 1
        return self._n_unanswered[server_id] >= LOST_PROBES
