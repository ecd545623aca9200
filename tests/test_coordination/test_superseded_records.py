"""Test which records count as overtaken by a listing."""

from __future__ import annotations

import pytest

from ryelever.coordination.superseded_records import SupersededRecords
from ryelever.state.keyed_record import KeyedRecord


def _record(key: str, offset: int) -> KeyedRecord:
    return KeyedRecord(key=key, value=b"{}", offset=offset)


@pytest.fixture
def overtaken() -> SupersededRecords:
    """Return what is known after a listing whose first page ended at 10."""
    found = SupersededRecords()
    found.take_listing([_record("a", 4), _record("b", 12)], end=10)
    return found


def test_records_up_to_the_listed_one_are_overtaken(
    overtaken: SupersededRecords,
) -> None:
    held = [overtaken.supersedes(_record("b", offset)) for offset in (10, 12, 13)]
    assert held == [True, True, False]


def test_a_key_that_was_listed_before_the_first_pages_end_is_not_overtaken(
    overtaken: SupersededRecords,
) -> None:
    assert not overtaken.supersedes(_record("a", 10))
    assert not overtaken.supersedes(_record("unlisted", 11))


def test_the_next_listing_takes_the_place_of_the_former(
    overtaken: SupersededRecords,
) -> None:
    overtaken.take_listing([_record("b", 30)], end=40)
    assert not overtaken.supersedes(_record("b", 12))
