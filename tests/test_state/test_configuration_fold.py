"""Test the fold of publications into the configuration in force."""

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
    """Return a fold that has applied version 0 by ana and then the given entries."""
    fold = ConfigurationFold()
    for entry in (_publication(0, -1, id="first"), *entries):
        fold.apply(entry)
    return fold


def test_first_of_two_racing_publications_wins() -> None:
    """Publish two documents with the same base.

    Guards against the loss of an operator's accepted change: two operators derive
    documents from version 0, and both publish.  The second document does not contain
    the first operator's change, so that accepting it undoes this change.
    """
    fold = _fold()
    assert fold.apply(_publication(1, 0)) is None
    reason = fold.apply(_publication(2, 0, author="bia"))
    assert reason is not None and "version 1 by ana" in reason
    assert (fold.version, fold.author) == (1, "ana")


def test_repeated_append_changes_nothing() -> None:
    """Read the same record at two offsets.

    Guards against refusing a change as conflicting with itself: an append succeeds, its
    answer is lost, and the writer appends the record again, so that the log contains
    one record twice.
    """
    fold = _fold()
    reason = fold.apply(_publication(1, -1, id="first"))
    assert reason == "repeated append of the record at offset 0"
    assert fold.version == 0


def test_invalid_document_is_ignored_and_the_reason_names_its_fault() -> None:
    """Append an invalid document to the log without the console.

    Guards against forming groups of 0 hosts: someone appends a document directly to the
    log, and only the console checked documents.
    """
    document = declared(model="notes", hosts_per_group=0)
    record = Publication(base_version=-1, author="ana", document=document)
    fold = ConfigurationFold()
    reason = fold.apply(new_entry(0, record))
    assert reason is not None and "/models/notes/hosts_per_group" in reason
    assert fold.configuration == Configuration()


ADOPTED = [
    # version in force, version received, whether it is adopted, version afterwards
    (1, 5, True, 5),
    (1, 1, False, 1),
    (1, 0, False, 1),
    (1, -1, False, 1),
]


@pytest.mark.parametrize(("in_force", "received", "adopted", "after"), ADOPTED)
def test_version_from_a_peer_never_lowers_the_version_in_force(
    in_force: int, received: int, adopted: bool, after: int
) -> None:
    """Receive an older version from a peer that was disconnected.

    Guards against undoing an accepted change on some hosts: a peer that was
    disconnected for an hour sends its version, which is treated as newer because it is
    received later.
    """
    fold = _fold(_publication(in_force, 0))
    document = declared("v")
    assert fold.adopt(version=received, document=document, author="bia") is adopted
    assert fold.version == after
    assert (fold.configuration == document) is adopted


def test_records_up_to_an_adopted_version_change_nothing() -> None:
    """Read the log from the start after adopting a peer's version.

    Guards against reporting to an operator that the change in force was refused: a host
    without access to the log adopts version 2 from a peer, then reads records 0 to 3,
    and compares the publications that led to version 2 with version 2.
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
    fold.record_loss(before=offset, reason="records have expired")
    return fold


WITH_GAP = [
    # base version, replaces_below, whether an earlier publication was read at offset
    # 11 during the gap, whether the publication is accepted
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
def test_publication_is_not_accepted_while_the_version_in_force_is_unknown(
    base: int, replaces_below: int, before: bool, accepted: bool
) -> None:
    """Read a publication while records before offset 10 are missing.

    Guards against two hosts that permanently have different configurations in force: a
    host resumes after a pause longer than the log's retention and reads a publication
    based on its own version.  All other hosts have a newer version in force and refuse
    the publication, while this host accepts the publication without knowing the version
    in force.
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
    # version of the peer, whether the fold is complete, next offset to read
    (8, False, 15),
    (9, True, 10),
    (12, True, 13),
    (20, True, 15),
]


@pytest.mark.parametrize(("version", "complete", "next_offset"), PEERS)
def test_version_from_a_peer_ends_the_gap_and_reading_resumes_after_it(
    version: int, complete: bool, next_offset: int
) -> None:
    """Adopt a version after records 10 to 14 were read but not evaluated.

    Guards against a host that permanently keeps an old version: the host reads past a
    publication that it cannot evaluate during a gap, then receives the version before
    this publication from a peer, and does not read the skipped records again.
    """
    fold = _gap_before(10)
    for offset in range(10, 15):
        fold.apply(_publication(offset, offset - 1))
    assert fold.adopt(version=version, document=declared("v"), author="ana")
    assert fold.complete is complete
    assert fold.next_offset == next_offset


ADOPTED_FIRST = [
    # version of the peer, offset before which records are lost, whether the next
    # publication is accepted
    (8, 10, False),
    (9, 10, True),
    (12, 10, True),
]


@pytest.mark.parametrize(("version", "before", "accepted"), ADOPTED_FIRST)
def test_lost_records_below_an_adopted_version_open_no_gap(
    version: int, before: int, accepted: bool
) -> None:
    """Adopt a version, then find that the records before it have expired.

    Guards against entry hosts that all refuse publications permanently: all entry hosts
    are replaced during an outage of the log and adopt the version from the last
    remaining old host.  The log returns without the old records, and each host counts
    the expired records as missing.
    """
    fold = ConfigurationFold()
    fold.adopt(version=version, document=declared("v"), author="ana")
    fold.record_loss(before=before, reason="records have expired")
    for offset in range(before, version + 1):
        fold.apply(_publication(offset, offset - 1, author="ana"))
    offset = max(version + 1, before)
    reason = fold.apply(_publication(offset, version, author="bia"))
    assert (reason is None) is accepted is fold.complete
    assert fold.version == (offset if accepted else version)


def test_snapshot_older_than_an_adopted_version_changes_nothing() -> None:
    """Restore a snapshot that is older than a version adopted from a peer.

    Guards against undoing an accepted change on a host: a host without access to the
    log adopts version 4 from a peer.  When the log returns, the host's next offset has
    expired, and the newest snapshot predates version 4 but replaces the host's complete
    state.
    """
    parts = _fold().to_snapshot(snapshot="s")
    fold = ConfigurationFold()
    fold.adopt(version=4, document=declared("v"), author="bia")
    fold.from_snapshot(parts)
    assert (fold.version, fold.author, fold.next_offset) == (4, "bia", 1)
    assert fold.apply(_publication(5, 0)) is not None
    assert fold.version == 4


def test_reason_of_a_refused_publication_names_the_accepted_one() -> None:
    """Look up the reason why a publication was refused by the publication's id."""
    fold = _fold(_publication(1, -1, author="bia", id="lost"))
    assert fold.ignored_reason("first") is None
    assert fold.ignored_reason("lost") == (
        "based on version -1, but version 0 by ana is in force"
    )
