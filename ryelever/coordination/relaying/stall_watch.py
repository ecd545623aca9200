"""Tell groups that stand still from the silence of all their streams.

A group whose member is lost goes on accepting requests for seconds, and nothing
moves in it.  Its streams show that at once: while it works, each of them gets an
event in every pass, some tens of milliseconds apart.
"""

from __future__ import annotations

import msgspec

__all__ = ["StallWatch"]

#: Seconds of silence on all begun streams of a group.  A full batch takes 62 ms
#: between two events, and the longest prompts hold it up by about 100 ms each.
SILENCE = 0.45

#: Seconds without a first event, at a group none of whose streams has begun here.
FIRST_SILENCE = 1.2

#: Seconds for which a group counts as standing still once its streams are gone: its
#: members are probed meanwhile, and one that is lost is known within a second.
STALL_REPORTED_FOR = 2.5

#: Seconds between two ticks beyond which this process itself was held up, so that
#: what looks silent may lie unread.  Ticks come every 0.1 s, some of them late.
OWN_DELAY = 0.25


class _Activity(msgspec.Struct, kw_only=True):
    """Hold the streams that one group serves for this host."""

    progressed_at: float
    begun: bool = False
    told: bool = False
    attempts: set[str] = msgspec.field(default_factory=set)


class StallWatch:
    """Watch the streams of all groups."""

    def __init__(self) -> None:
        self._activity_by_id: dict[str, _Activity] = {}
        self._stalled_since_by_id: dict[str, float] = {}
        self._looked_at = float("-inf")

    def began(self, server_id: str, attempt_id: str, *, now: float) -> None:
        """Take note of a stream that a group is asked for."""
        activity = self._activity_by_id.get(server_id)
        if activity is None or not activity.attempts:
            activity = self._activity_by_id[server_id] = _Activity(progressed_at=now)
        activity.attempts.add(attempt_id)

    def progressed(self, server_id: str, *, now: float) -> None:
        """Take note of an event."""
        activity = self._activity_by_id.get(server_id)
        if activity is not None:
            activity.progressed_at = now
            activity.begun = True
            activity.told = False
            self._stalled_since_by_id.pop(server_id, None)

    def ended(self, server_id: str, attempt_id: str) -> None:
        """Take note of a stream's end."""
        activity = self._activity_by_id.get(server_id)
        if activity is None:
            return
        activity.attempts.discard(attempt_id)
        if not activity.attempts:
            del self._activity_by_id[server_id]

    def still(self, *, now: float) -> list[str]:
        """Return the heads whose groups came to stand still a short while ago.

        Their streams are moved away at once, so that nothing shows any more whether
        they go on to stand still.
        """
        for server_id, since in list(self._stalled_since_by_id.items()):
            if now - since > STALL_REPORTED_FOR:
                del self._stalled_since_by_id[server_id]
        return list(self._stalled_since_by_id)

    def has_progressed(self, server_id: str, *, now: float) -> bool:
        """Tell whether a group has written an event here just now."""
        activity = self._activity_by_id.get(server_id)
        if activity is None or not activity.begun:
            return False
        return now - activity.progressed_at <= SILENCE

    def newly_stalled(self, *, now: float) -> list[str]:
        """Return the heads whose groups have come to stand still."""
        held_up = now - self._looked_at > OWN_DELAY
        self._looked_at = now
        if held_up:
            for activity in self._activity_by_id.values():
                activity.progressed_at = now
            return []
        still = []
        for server_id, activity in self._activity_by_id.items():
            limit = SILENCE if activity.begun else FIRST_SILENCE
            if not activity.told and now - activity.progressed_at > limit:
                activity.told = True
                self._stalled_since_by_id[server_id] = now
                still.append(server_id)
        return still
