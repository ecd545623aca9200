"""Fold publications into the configuration that is in force."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from .configuration import Configuration
from .configuration_check import find_faults
from .fold import BaseFold
from .records import Entry, Publication, SnapshotPart

__all__ = ["NO_VERSION", "ConfigurationFold", "ConfigurationSnapshot"]

#: Version of the configuration before the first publication.
NO_VERSION = -1

#: Start of the reason of a publication that was ignored because this fold could not
#: determine whether the publication takes effect.
NOT_EVALUATED = "not judged"

#: Number of accepted versions kept to tell operators that a publication took effect.
MAX_ACCEPTED_VERSIONS = 1000


@dataclass(slots=True, kw_only=True, frozen=True)
class ConfigurationSnapshot(SnapshotPart):
    """Snapshot of the configuration in force, which keeps its original version.

    If a snapshot counted as a new version, it could override a publication that was
    appended at the same time, and the configuration would revert.
    """

    version: int = NO_VERSION
    author: str = ""
    document: Configuration = field(default_factory=Configuration)


class ConfigurationFold(BaseFold):
    """Fold publications into one configuration whose version never decreases.

    The version is the offset of the accepted publication.  Of two publications with
    the same base, the first in the log is accepted; the second is ignored for a
    reason that names the accepted one.

    While records are missing (``gap``), the last known configuration stays in force
    and no publication is accepted.  Other hosts may have a version in force that this
    fold never read, and a publication based on the last known version would then be
    accepted by this fold alone.  The gap is closed by a snapshot, by a version
    received from a peer, or by a publication without a base (``replaces_below``).
    """

    snapshot_class = ConfigurationSnapshot

    def __init__(self) -> None:
        super().__init__()
        self.version = NO_VERSION
        self.configuration = Configuration()
        self.author = ""
        self.accepted_versions: deque[int] = deque(maxlen=MAX_ACCEPTED_VERSIONS)
        self._last_unevaluated_offset = NO_VERSION

    def record_loss(self, *, before: int, reason: str) -> None:
        """Register that the records below ``before`` can no longer be read.

        The loss opens no gap if the version in force, adopted from a peer, is at least
        as new as the last lost record: the host that accepted this version had read
        those records.  If the loss opened a gap and no host was left that had read the
        log, no publication would ever be accepted again.
        """
        if self.version + 1 >= before:
            self.next_offset = max(self.next_offset, before)
            return
        super().record_loss(before=before, reason=reason)

    def adopt(self, *, version: int, document: Configuration, author: str) -> bool:
        """Put a version in force that was received from a peer.

        Returns
        -------
        bool
            False if the current version is at least as new; nothing changes then.
        """
        if version <= self.version:
            return False
        self._accept(version=version, document=document, author=author)
        if self.gap is not None and version + 1 >= self.gap.before:
            # The records after this version can still be read.  Publications among
            # them that were read during the gap were not evaluated, so that reading
            # must restart directly after this version.
            self.gap = None
            self.next_offset = min(self.next_offset, version + 1)
        return True

    def _apply_record(self, entry: Entry) -> str | None:
        record = entry.record
        if not isinstance(record, Publication):
            return "not a publication"
        if entry.offset <= self.version:
            # The peer that sent the version has already evaluated this publication.
            return None
        # The console checks a document before publishing it, but anyone with access
        # to the log can append records.  Without this check, a group of 0 hosts or a
        # share of 40 would be put into effect.
        faults = find_faults(record.document)
        if faults:
            return f"invalid document: {faults[0]}"
        reason = self._rejection_reason(entry, record)
        if reason is not None:
            return reason
        self.gap = None
        self._accept(
            version=entry.offset, document=record.document, author=record.author
        )
        return None

    def _rejection_reason(self, entry: Entry, record: Publication) -> str | None:
        if self.gap is not None and not self._replaces_any_version(record):
            self._last_unevaluated_offset = entry.offset
            return (
                f"{NOT_EVALUATED}: the version in force is not known here, since "
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

    def _replaces_any_version(self, record: Publication) -> bool:
        # The version that other hosts have in force was either lost to this fold or
        # read during the gap without being evaluated.  If both kinds of records lie
        # below ``replaces_below``, the other hosts accept the publication, too.
        return (
            record.replaces_below >= self.gap.before
            and record.replaces_below > self._last_unevaluated_offset
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
