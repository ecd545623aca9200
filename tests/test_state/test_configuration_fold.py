"""Test the fold of publications."""

from __future__ import annotations

import pytest

from ryelever.state.configuration import Configuration
from ryelever.state.configuration_fold import ConfigurationFold
from ryelever.state.records import Entry, Publication

from ..builders import declared, new_entry, new_publication


def _publication(
    offset: int, base: int, *, author: str = "ana", id: str = "", **fields: int
) -> Entry:
    record = new_publication(base, author=author, **fields)
    return new_entry(offset, record, id=id)


def _fold(*entries: Entry) -> ConfigurationFold:
    """Return a fold that has taken version 0 by ana, then some entries."""
    fold = ConfigurationFold()
    for entry in (_publication(0, -1, id="first"), *entries):
        fold.apply(entry)
    return fold


def test_first_of_two_racing_publications_wins() -> None:
    """Publish twice on one base.

    Symptom: an operator's accepted change vanishes.  Sequence: two operators derive
    documents from version 0 and both publish.  Cause: the second did not know of the
    first, so to accept it would undo the first.
    """
    fold = _fold()
    assert fold.apply(_publication(1, 0)) is None
    reason = fold.apply(_publication(2, 0, author="bia"))
    assert reason is not None and "version 1 by ana" in reason
    assert (fold.version, fold.author) == (1, "ana")


def test_repeated_append_changes_nothing() -> None:
    """Read the same record at two offsets.

    Symptom: a change is refused as racing with itself.  Sequence: the answer to an
    append is lost after it took effect, and it is appended again.  Cause: one record
    stands in the log twice.
    """
    fold = _fold()
    reason = fold.apply(_publication(1, -1, id="first"))
    assert reason == "repeated append of the record at offset 0"
    assert fold.version == 0


def test_invalid_document_is_ignored_with_its_fault() -> None:
    """Append a faulty document to the log by hand.

    Symptom: groups of no hosts are formed.  Sequence: somebody appends a document
    without the console.  Cause: nothing behind the console checked it again.
    """
    document = declared(model="notes", hosts_per_group=0)
    record = Publication(base_version=-1, author="ana", document=document)
    fold = ConfigurationFold()
    reason = fold.apply(new_entry(0, record))
    assert reason is not None and "/models/notes/hosts_per_group" in reason
    assert fold.configuration == Configuration()


ADOPTED = [
    # version in force, version passed on, taken, version afterwards
    (1, 5, True, 5),
    (1, 1, False, 1),
    (1, 0, False, 1),
    (1, -1, False, 1),
]


@pytest.mark.parametrize(("held", "passed_on", "taken", "after"), ADOPTED)
def test_version_passed_on_by_a_peer_never_lowers_the_one_held(
    held: int, passed_on: int, taken: bool, after: int
) -> None:
    """Hear an older version from a peer that was cut off.

    Symptom: an accepted change is undone on some hosts.  Sequence: a peer that was
    cut off for an hour passes its version on.  Cause: the word is taken as newer
    because it comes later.
    """
    fold = _fold(_publication(held, 0))
    document = declared("v")
    assert fold.adopt(version=passed_on, document=document, author="bia") is taken
    assert fold.version == after
    assert (fold.configuration == document) is taken


def test_log_read_after_an_adopted_version_changes_nothing_up_to_it() -> None:
    """Read the log from the start when a peer's version is in force already.

    Symptom: an operator is told that the change in force has lost.  Sequence: a host
    cut off from the log gets version 2 from a peer, then reads records 0 to 3.
    Cause: the records on the way to version 2 are judged against version 2.
    """
    fold = ConfigurationFold()
    fold.adopt(version=2, document=declared("v"), author="ana")
    entries = [
        _publication(0, -1),
        _publication(1, -1, author="bia"),
        _publication(2, 0),
    ]
    assert [fold.apply(entry) for entry in entries] == [None, None, None]
    assert fold.version == 2 and not fold.ignored
    assert fold.apply(_publication(3, 0, author="bia")) is not None
    assert fold.apply(_publication(4, 2, author="bia")) is None
    assert fold.version == 4


def _gap_before(offset: int) -> ConfigurationFold:
    fold = _fold()
    fold.lost(before=offset, reason="records have expired")
    return fold


WITH_GAP = [
    # base, replaces below, one read before at offset 11, accepted
    (0, -1, False, False),
    (-1, -1, False, False),
    (7, -1, False, False),
    (-1, 9, False, False),
    (-1, 10, False, True),
    (-1, 12, False, True),
    (-1, 11, True, False),
    (-1, 12, True, True),
]


@pytest.mark.parametrize(("base", "replaces_below", "before", "accepted"), WITH_GAP)
def test_publication_is_not_judged_against_an_unknown_version(
    base: int, replaces_below: int, before: bool, accepted: bool
) -> None:
    """Read a publication while records before offset 10 are missing.

    Symptom: two hosts have two configurations in force, each for good.  Sequence: a
    host wakes after the retention and reads a publication based on the version that
    it holds; all others have moved on and refuse it.  Cause: it judges without
    knowing what is in force.
    """
    fold = _gap_before(10)
    if before:
        fold.apply(_publication(11, 9))
    reason = fold.apply(
        _publication(12, base, author="bia", replaces_below=replaces_below)
    )
    assert (reason is None) is accepted
    assert fold.complete is accepted
    assert fold.version == (12 if accepted else 0)


PEERS = [
    # version of the peer, complete afterwards, next offset to read
    (8, False, 15),
    (9, True, 10),
    (12, True, 13),
    (20, True, 15),
]


@pytest.mark.parametrize(("version", "complete", "next_offset"), PEERS)
def test_version_of_a_peer_ends_the_gap_and_is_read_on_from(
    version: int, complete: bool, next_offset: int
) -> None:
    """Adopt a version when records 10 to 14 were read but not judged.

    Symptom: a host stays behind for good.  Sequence: it reads past a publication that
    it cannot judge, then hears of the version before it from a peer.  Cause: what was
    passed over is not read again.
    """
    fold = _gap_before(10)
    for offset in range(10, 15):
        fold.apply(_publication(offset, offset - 1))
    assert fold.adopt(version=version, document=declared("v"), author="ana")
    assert fold.complete is complete
    assert fold.next_offset == next_offset


ADOPTED_FIRST = [
    # version of the peer, offset before which records are lost, next one accepted
    (8, 10, False),
    (9, 10, True),
    (12, 10, True),
]


@pytest.mark.parametrize(("version", "before", "accepted"), ADOPTED_FIRST)
def test_records_below_an_adopted_version_are_not_missed(
    version: int, before: int, accepted: bool
) -> None:
    """Adopt a version, then find that the records before it have expired.

    Symptom: publications are refused for good, on every entry host.  Sequence: all
    entry hosts are replaced during an outage of the log and get the version from the
    last that is left; the log comes back without the old records.  Cause: each takes
    the expired records for ones that it lacks.
    """
    fold = ConfigurationFold()
    fold.adopt(version=version, document=declared("v"), author="ana")
    fold.lost(before=before, reason="records have expired")
    for offset in range(before, version + 1):
        fold.apply(_publication(offset, offset - 1, author="ana"))
    offset = max(version + 1, before)
    reason = fold.apply(_publication(offset, version, author="bia"))
    assert (reason is None) is accepted is fold.complete
    assert fold.version == (offset if accepted else version)


def test_snapshot_older_than_an_adopted_version_changes_nothing() -> None:
    """Restore from the log when a peer's version is newer than the snapshot.

    Symptom: an accepted change is undone on a host.  Sequence: a host that is cut off
    from the log gets version 4 from a peer; the log is back, its own offset has
    expired, and the newest snapshot is from before version 4.  Cause: the snapshot
    replaces all that the host holds.
    """
    parts = _fold().to_snapshot(snapshot="s")
    fold = ConfigurationFold()
    fold.adopt(version=4, document=declared("v"), author="bia")
    fold.from_snapshot(parts)
    assert (fold.version, fold.author, fold.next_offset) == (4, "bia", 1)
    assert fold.apply(_publication(5, 0)) is not None
    assert fold.version == 4


def test_loser_learns_the_winner() -> None:
    """Look up why a publication was refused, by its id."""
    fold = _fold(_publication(1, -1, author="bia", id="lost"))
    assert fold.reason_of("first") is None
    assert fold.reason_of("lost") == (
        "based on version -1, but version 0 by ana is in force"
    )
