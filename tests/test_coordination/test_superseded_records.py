"""Test which records are superseded by a listing."""

from __future__ import annotations

import pytest

from ryelever.coordination.superseded_records import SupersededRecords
from ryelever.state.keyed_record import KeyedRecord


def _record(key: str, offset: int) -> KeyedRecord:
    return KeyedRecord(key=key, value=b"{}", offset=offset)


@pytest.fixture
def overtaken() -> SupersededRecords:
    """Return the records superseded by a listing whose first page ended at 10."""
    records = SupersededRecords()
    records.record_listing([_record("a", 4), _record("b", 12)], end=10)
    return records


def test_records_up_to_the_listed_one_are_superseded(
    overtaken: SupersededRecords,
) -> None:
    results = [overtaken.supersedes(_record("b", offset)) for offset in (10, 12, 13)]
    assert results == [True, True, False]


def test_records_after_a_key_listed_before_the_end_are_not_superseded(
    overtaken: SupersededRecords,
) -> None:
    assert not overtaken.supersedes(_record("a", 10))
    assert not overtaken.supersedes(_record("unlisted", 11))


def test_a_listing_replaces_the_former_one(
    overtaken: SupersededRecords,
) -> None:
    overtaken.record_listing([_record("b", 30)], end=40)
    assert not overtaken.supersedes(_record("b", 12))
