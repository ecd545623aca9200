"""Define the records that the platform's log holds, one class a kind.

A record is never changed.  Its offset in its stream is its order, its version and,
for placements, its fencing number.
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
    """Publish a configuration that was derived from ``base_version``.

    Attributes
    ----------
    base_version : int
        Offset of the configuration it replaces; -1 for the first one.
    author : str
        The operator who published it.
    document : Configuration
        The whole desired state.
    replaces_below : int
        Replaces any version below this offset, in place of one named base; -1 for
        none.  For the operator of a fleet that was replaced while its
        configuration expired in the log, so that nobody can name a base.
    """

    base_version: int
    author: str
    document: Configuration
    replaces_below: int = -1


@dataclass(slots=True, kw_only=True, frozen=True)
class LeaseTaken:
    """Take or renew the planner's lease of one availability zone.

    Attributes
    ----------
    holder : str
        Name of the entry host together with its boot id.
    term : float
        Seconds, counted by each judge on its own monotonic clock from the moment
        it read the record.  0 gives the lease back.
    previous : int
        Offset of the lease that it renews or replaces; -1 for the first one.
    """

    holder: str
    term: float
    previous: int = -1


@dataclass(slots=True, kw_only=True, frozen=True)
class GroupFormed:
    """Claim hosts for one replica group; its offset is the fencing number.

    Attributes
    ----------
    group : str
        Unique name of the group; never used again.
    members : tuple of str
        Host names in rank order; rank 0 takes the requests.
    lease : int
        Offset of the planner's lease under which it was decided.
    adapters : tuple of str
        ``"<name>@<version>"`` of each adapter.
    reason : str
        Why, for the operator.
    replaces : str
        Group that this record dissolves, and whose claims it takes over for those
        of its hosts that are members here; empty when all members are free.
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
    """Give a group no new work; requests in flight finish, then it is dissolved."""

    group: str
    lease: int
    reason: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class GroupDissolved:
    """End a group; its hosts stay claimed until each is released."""

    group: str
    lease: int
    reason: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class HostReleased:
    """Free one host of a dissolved group, with the evidence for it.

    Attributes
    ----------
    evidence : str
        ``"left"`` (the host reports that it is in no group or in another one),
        ``"gone"`` (the platform's list no longer names it, and it is silent) or
        ``"dead"`` (still named, but silent for longer than any order is obeyed).
    """

    group: str
    host: str
    lease: int
    evidence: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Claim:
    """Claim the single run of a non-repeatable request.

    Attributes
    ----------
    key : str
        Client account and idempotency key, joined.
    fingerprint : str
        Digest of the request, so that one key cannot cover two requests.
    owner : str
        Entry host and boot id that runs the request if this claim is the first.
    """

    key: str
    fingerprint: str
    owner: str
    request_id: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Outcome:
    """Store how a claimed request ended.

    Attributes
    ----------
    run_state : str
        ``"run"``, ``"not_run"`` or ``"outcome_unknown"``.
    body : str
        The answer where it is small; empty otherwise.
    request_id : str
        The request whose claim it ends; empty ends any claim of the owner.
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
    """Remember where a record was first read, to drop repeated appends of it."""

    id: str
    offset: int
    time: float


@dataclass(slots=True, kw_only=True, frozen=True)
class SnapshotPart:
    """Repeat a part of a fold's state before retention ends.

    Each stream's fold defines its own subclass.  A snapshot is whole only when
    all of its parts were read; it describes the state just before ``as_of``, not
    at its own offset, so it can never outrank what was appended in between.

    Attributes
    ----------
    snapshot : str
        Unique id shared by the parts.
    as_of : int
        Offset of the first record that is not contained.
    log_time : float
        Newest time of append contained, seconds since the epoch.
    incomplete_since : float or None
        The log's time before which records may be missing; None when none are.
    remembered : tuple of RememberedId
        Ids whose repeated append must still be dropped.
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
    """Stand for a record that this program cannot decode.

    Attributes
    ----------
    known_kind : bool
        False when a newer program may understand the record.
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
    """Hold one record as it was read back from the log.

    Attributes
    ----------
    offset : int
        Position in the stream.
    time : float
        The log service's own time of append, seconds since the epoch.
    id : str
        Unique id given by the writer; a repeated append carries the same one.
    record : Record
        The record itself.
    """

    offset: int
    time: float
    id: str
    record: Record
