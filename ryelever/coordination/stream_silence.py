"""Define the silence of streams from which on their group counts as stalled."""

from __future__ import annotations

__all__ = ["STREAM_SILENCE"]

#: Seconds without an event on all started streams of a group after which the group
#: counts as stalled. A full batch takes 62 ms between two events, and the longest
#: prompts delay it by about 100 ms each.
STREAM_SILENCE = 0.45
