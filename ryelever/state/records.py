"""Define the records of the platform's log, one class for each kind.

Records are immutable.  The offset of a record in its stream gives its order and its
version; for placement records, the offset is also the fencing token.
"""

from __future__ import annotations

from dataclasses import dataclass

from .configuration import Configuration

__all__ = [
    "Claim",
    "Entry",
    "GroupDissolved",
    "GroupDraining",
    "GroupFormed",
    "HostReleased",
    "LeaseTaken",
    "Outcome",
    "Publication",
    "Record",
    "RememberedId",
    "SnapshotPart",
    "Unreadable",
]


@dataclass(slots=True, kw_only=True, frozen=True)
class Publication:
    """Publication of a configuration, derived from ``base_version``.

    Attributes
    ----------
    base_version : int
        Offset of the configuration that is replaced; -1 for the first publication.
    author : str
        Operator who published the configuration.
    document : Configuration
        The complete desired state.
    replaces_below : int
        If not -1, the publication replaces any version below this offset instead of
        one given base version.  Needed when all entry hosts were replaced while the
        configuration expired in the log: the base version is then unknown.
    """

    base_version: int
    author: str
    document: Configuration
    replaces_below: int = -1


@dataclass(slots=True, kw_only=True, frozen=True)
class LeaseTaken:
    """Acquisition or renewal of the planner's lease of an availability zone.

    Attributes
    ----------
    holder : str
        Name and boot id of the entry host that holds the lease.
    term : float
        Duration in seconds.  Each reader counts it on its own monotonic clock from
        the moment at which it read the record.  0 returns the lease.
    previous : int
        Offset of the lease that is renewed or replaced; -1 for the first lease.
    """

    holder: str
    term: float
    previous: int = -1


@dataclass(slots=True, kw_only=True, frozen=True)
class GroupFormed:
    """Formation of a replica group, which claims its hosts.

    The offset of this record is the group's fencing token.

    Attributes
    ----------
    group : str
        Unique name of the group; names are never reused.
    members : tuple of str
        Host names in rank order; rank 0 receives the requests.
    lease : int
        Offset of the planner's lease under which the group was formed.
    adapters : tuple of str
        ``"<name>@<version>"`` of each adapter.
    reason : str
        Reason for the decision, shown to the operator.
    replaces : str
        Group that this record dissolves.  Hosts that are members of both groups
        pass to the new group's claim.  Empty when all members are free.
    """

    group: str
    model: str
    version: str
    adapters: tuple[str, ...]
    members: tuple[str, ...]
    lease: int
    configuration_version: int
    reason: str = ""
    replaces: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class GroupDraining:
    """Start of draining: the group gets no new requests and is dissolved later.

    The group is dissolved after its requests in flight have ended.
    """

    group: str
    lease: int
    reason: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class GroupDissolved:
    """End of a group, whose hosts stay claimed until each is released."""

    group: str
    lease: int
    reason: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class HostReleased:
    """Release of one host of a dissolved group; the host is free again.

    Attributes
    ----------
    evidence : str
        Evidence that the host no longer works for the group.  ``"left"``: the host
        reports that it is in no group or in another one.  ``"gone"``: the platform's
        list no longer contains the host, and the host sends no reports.  ``"dead"``:
        the list still contains the host, but the host has sent no reports for longer
        than any order stays valid.
    """

    group: str
    host: str
    lease: int
    evidence: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Claim:
    """Claim to the single run of a non-repeatable request.

    Attributes
    ----------
    key : str
        Client account and idempotency key, joined.
    fingerprint : str
        Digest of the request, which prevents the use of one key for two requests.
    owner : str
        Name and boot id of the entry host that runs the request if this claim is the
        first one of its key.
    """

    key: str
    fingerprint: str
    owner: str
    request_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """Outcome of a claimed request.

    Attributes
    ----------
    run_state : str
        ``"run"``, ``"not_run"`` or ``"outcome_unknown"``.
    body : str
        Body of the answer if it is small; empty otherwise.
    request_id : str
        Request whose claim is ended; if empty, any claim of the owner is ended.
    """

    key: str
    owner: str
    run_state: str
    status: int
    content_type: str = ""
    body: str = ""
    request_id: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class RememberedId:
    """Offset and time at which a record id was first read.

    Later appends of the same record are dropped by this id.
    """

    id: str
    offset: int
    time: float


@dataclass(slots=True, kw_only=True, frozen=True)
class SnapshotPart:
    """One part of a snapshot of a fold's state.

    Snapshots are written before the log's retention deletes the records that led to
    the state.  Each stream's fold defines its own subclass.  A snapshot is
    complete only when all of its parts were read.  It describes the state just
    before ``as_of``, not at its own offset, and therefore never overrides records
    that were appended between the two.

    Attributes
    ----------
    snapshot : str
        Unique id shared by the parts.
    as_of : int
        Offset of the first record that the snapshot does not include.
    log_time : float
        Newest append time among the included records, in seconds since the epoch.
    incomplete_since : float or None
        Log time before which records may be missing; None if no record is missing.
    remembered : tuple of RememberedId
        Record ids whose repeated appends must still be dropped.
    """

    snapshot: str
    as_of: int
    log_time: float
    part: int = 0
    n_parts: int = 1
    incomplete_since: float | None = None
    remembered: tuple[RememberedId, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Unreadable:
    """A record that this program cannot decode.

    Attributes
    ----------
    known_kind : bool
        False if the kind is unknown, so that a newer release may be able to decode
        the record.
    """

    kind: str
    known_kind: bool
    reason: str


Record = (
    Publication
    | LeaseTaken
    | GroupFormed
    | GroupDraining
    | GroupDissolved
    | HostReleased
    | Claim
    | Outcome
    | SnapshotPart
    | Unreadable
)


@dataclass(slots=True, kw_only=True, frozen=True)
class Entry:
    """One record as read from the log.

    Attributes
    ----------
    offset : int
        Position in the stream.
    time : float
        Append time by the log service's clock, in seconds since the epoch.
    id : str
        Unique id assigned by the writer; a repeated append has the same id.
    record : Record
        The decoded record.
    """

    offset: int
    time: float
    id: str
    record: Record
