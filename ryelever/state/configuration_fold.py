"""Fold publications into the one configuration that is in force."""

from __future__ import annotations

from .configuration import Configuration
from .configuration_check import faults_of
from .fold import BaseFold
from .records import Entry, Publication

__all__ = ["NO_VERSION", "ConfigurationFold"]

#: Version of the state before anything was published.
NO_VERSION = -1


class ConfigurationFold(BaseFold):
    """Keep the accepted configuration and its version.

    The version is the offset of the accepted publication.  Of two publications
    with the same base, the first in the log wins and the second is ignored with
    the winner named.
    """

    def __init__(self) -> None:
        super().__init__()
        self.version = NO_VERSION
        self.configuration = Configuration()
        self.author = ""

    def _apply_record(self, entry: Entry) -> str | None:
        record = entry.record
        if not isinstance(record, Publication):
            return "not a publication"
        # The console checks before it publishes, but anybody with access to the log
        # can append.  A group of no hosts or a share of 40 would be carried out.
        faults = faults_of(record.document)
        if faults:
            return f"invalid document: {faults[0]}"
        if record.original_version != NO_VERSION:
            return self._apply_repeated(record)
        if record.base_version != self.version:
            return (
                f"based on version {record.base_version}, but version "
                f"{self.version} by {self.author or 'nobody'} is in force"
            )
        self._accept(version=entry.offset, record=record)
        return None

    def _apply_repeated(self, record: Publication) -> str | None:
        # A configuration appended again before retention ends carries its old
        # version.  Were it to count as new, it could outrank a later publication
        # that raced with it, and the configuration would revert.
        if record.original_version <= self.version:
            return f"repeats version {record.original_version}, already known"
        self._accept(version=record.original_version, record=record)
        return None

    def _accept(self, *, version: int, record: Publication) -> None:
        self.version = version
        self.configuration = record.document
        self.author = record.author
