"""Fold publications into the one configuration that is in force."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from .configuration import Configuration
from .configuration_check import faults_of
from .fold import BaseFold
from .records import Entry, Publication, SnapshotPart

__all__ = ["NO_VERSION", "ConfigurationFold", "ConfigurationSnapshot"]

#: Version of the state before anything was published.
NO_VERSION = -1

#: Begins the reason of a publication that was ignored here without a verdict.
NOT_JUDGED = "not judged"

#: How many accepted versions are remembered, so that an operator can be told.
N_KEPT_ACCEPTED = 1000


@dataclass(slots=True, kw_only=True, frozen=True)
class ConfigurationSnapshot(SnapshotPart):
    """Repeat the configuration in force under its original version.

    Were a repeated configuration to count as new, it could outrank a later
    publication that raced with it, and the configuration would revert.
    """

    version: int = NO_VERSION
    author: str = ""
    document: Configuration = field(default_factory=Configuration)


class ConfigurationFold(BaseFold):
    """Keep the accepted configuration and its version, which never falls.

    The version is the offset of the accepted publication.  Of two publications
    with the same base, the first in the log wins and the second is ignored with
    the winner named.

    While records are missing (``gap``), the configuration held stays in force, but
    no publication is judged: the version in force for others may be one that this
    fold never read, and a publication based on the version held here would win
    here alone.  A snapshot, a peer's version, or a publication that names
    no base (``replaces_below``) ends this.
    """

    snapshot_class = ConfigurationSnapshot

    def __init__(self) -> None:
        super().__init__()
        self.version = NO_VERSION
        self.configuration = Configuration()
        self.author = ""
        self.accepted_versions: deque[int] = deque(maxlen=N_KEPT_ACCEPTED)
        self._unjudged = NO_VERSION

    def lost(self, *, before: int, reason: str) -> None:
        """Take note that records below ``before`` cannot be read any more.

        Nothing that counts is missing when a peer's version is as new as the last of
        them: whoever judged that version had read them.  Were that a gap, and no host
        left that had read the log, no publication would ever be accepted again.
        """
        if self.version + 1 >= before:
            self.next_offset = max(self.next_offset, before)
            return
        super().lost(before=before, reason=reason)

    def adopt(self, *, version: int, document: Configuration, author: str) -> bool:
        """Put a version in force that a peer has passed on.

        Returns
        -------
        bool
            False when the version held is as new, and nothing has changed.
        """
        if version <= self.version:
            return False
        self._accept(version=version, document=document, author=author)
        if self.gap is not None and version + 1 >= self.gap.before:
            # What came after this version can still be read; what was read of it
            # while records were missing was not judged, so it is read again.
            self.gap = None
            self.next_offset = min(self.next_offset, version + 1)
        return True

    def _apply_record(self, entry: Entry) -> str | None:
        record = entry.record
        if not isinstance(record, Publication):
            return "not a publication"
        if entry.offset <= self.version:
            # Judged already by the peer that passed the version on.
            return None
        # The console checks before it publishes, but anybody with access to the log
        # can append.  A group of no hosts or a share of 40 would be carried out.
        faults = faults_of(record.document)
        if faults:
            return f"invalid document: {faults[0]}"
        reason = self._reason_against(entry, record)
        if reason is not None:
            return reason
        self.gap = None
        self._accept(
            version=entry.offset, document=record.document, author=record.author
        )
        return None

    def _reason_against(self, entry: Entry, record: Publication) -> str | None:
        if self.gap is not None and not self._replaces_all(record):
            self._unjudged = entry.offset
            return (
                f"{NOT_JUDGED}: the version in force is not known here, since "
                f"{self.gap.reason}"
            )
        if record.base_version == self.version:
            return None
        if self.version < record.replaces_below:
            return None
        return (
            f"based on version {record.base_version}, but version "
            f"{self.version} by {self.author or 'nobody'} is in force"
        )

    def _replaces_all(self, record: Publication) -> bool:
        # Whatever others have in force is then below the offset as well: it was
        # either lost here, or read without being judged.  They accept it, too.
        return (
            record.replaces_below >= self.gap.before
            and record.replaces_below > self._unjudged
        )

    def _accept(self, *, version: int, document: Configuration, author: str) -> None:
        self.version = version
        self.configuration = document
        self.author = author
        self.accepted_versions.append(version)

    def _contents(self) -> list[dict[str, Any]]:
        return [
            {
                "version": self.version,
                "author": self.author,
                "document": self.configuration,
            }
        ]

    def _restore(self, parts: Sequence[SnapshotPart]) -> None:
        head = parts[0]
        assert isinstance(head, ConfigurationSnapshot)
        if head.version > self.version:
            self._accept(
                version=head.version, document=head.document, author=head.author
            )
