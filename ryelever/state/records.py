"""Define the records that the platform's log holds, one class a kind.

A record is never changed.  Its offset in its stream is its order, its version and,
for placements, its fencing number.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .configuration import Configuration

__all__ = [
    "Claim",
    "ClaimsSnapshot",
    "Entry",
    "GroupDissolved",
    "GroupDraining",
    "GroupFormed",
    "HostReleased",
    "LeaseTaken",
    "Outcome",
    "PlacementSnapshot",
    "Publication",
    "Record",
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
    original_version : int
        Set when an accepted configuration is appended again before retention
        ends; -1 otherwise.
    """

    base_version: int
    author: str
    document: Configuration
    original_version: int = -1


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
    """

    key: str
    owner: str
    run_state: str
    status: int
    content_type: str = ""
    body: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class PlacementSnapshot:
    """Repeat a zone's folded placement before retention ends."""

    as_of: int
    content: dict = field(default_factory=dict)


@dataclass(slots=True, kw_only=True, frozen=True)
class ClaimsSnapshot:
    """Repeat the folded claims before retention ends."""

    as_of: int
    content: dict = field(default_factory=dict)


Record = (
    Publication
    | LeaseTaken
    | GroupFormed
    | GroupDraining
    | GroupDissolved
    | HostReleased
    | Claim
    | Outcome
    | PlacementSnapshot
    | ClaimsSnapshot
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
