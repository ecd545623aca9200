"""Hold the backend servers that are placed for a work."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.placement import Group

__all__ = ["Candidate", "CandidateSet"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Candidate:
    """Name a backend server that is placed for a work, whole or not.

    Attributes
    ----------
    group : Group or None
        None for a plain service.
    seed : int
        Number by which rendezvous hashing ranks it.
    n_accelerators : int
        Accelerators of all its hosts; at least 1.
    weight : float
        Its accelerators over the average of all candidates.
    """

    name: str
    availability_zone: str
    hosts: tuple[str, ...]
    seed: int
    n_accelerators: int
    weight: float = 1.0
    group: Group | None = None

    @property
    def key(self) -> tuple[str, int, int]:
        """Return what makes a changed candidate a different one."""
        fencing = self.group.fencing if self.group is not None else -1
        return self.name, fencing, self.n_accelerators


@dataclass(slots=True, kw_only=True, eq=False)
class CandidateSet:
    """Hold the candidates of one work; the same object until they change.

    Attributes
    ----------
    own_zone, other_zones : tuple of Candidate
        Ordered by seed.
    """

    own_zone: tuple[Candidate, ...]
    other_zones: tuple[Candidate, ...]
    names: tuple[str, ...]
    keys: tuple[tuple[str, int, int], ...]
    built_at: float
    offsets: tuple[int, ...]
