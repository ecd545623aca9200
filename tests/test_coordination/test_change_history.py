"""Test the changes that are kept for hosts that missed a part of a topic."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ryelever.coordination import change_history
from ryelever.coordination.change_history import ChangeHistory
from ryelever.state.keyed_record import KeyedRecord


@given(
    parts=st.lists(st.lists(st.booleans(), max_size=6), max_size=30),
    offset=st.integers(0, 200),
)
def test_all_changes_since_an_offset_or_none_are_returned(
    parts: list[list[bool]], offset: int
) -> None:
    """Guard against closing a gap with only some of the missed changes."""
    history = ChangeHistory()
    changed = []
    end = 0
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(change_history, "MAX_RECORDS", 20)
        for part in parts:
            records = [
                KeyedRecord(key=f"k{place % 7}", value=b"v", offset=place)
                for place, changes in enumerate(part, start=end)
                if changes
            ]
            history.add(records, start=end, end=end + len(part), era=1)
            end += len(part)
            changed += records
    given = history.since(offset, era=1)
    if given is not None:
        since = [record for record in changed if record.offset >= offset]
        newest = {record.key: record for record in since}
        assert given == sorted(newest.values(), key=lambda record: record.offset)
        assert history.end == end
    elif changed[-20:] == changed and any(parts):
        assert offset > end
    assert history.since(offset, era=2) is None
