"""Represent the backend servers that are placed or listed for a model or service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.placement import Group

__all__ = ["Candidate", "CandidateSet"]


@dataclass(slots=True, kw_only=True, frozen=True)
class Candidate:
    """Backend server for a model or service, whether or not it can serve now.

    Attributes
    ----------
    group : Group or None
        None for a plain service.
    seed : int
        Seed of the backend server in rendezvous hashing.
    n_accelerators : int
        Number of accelerators of all hosts; at least 1.
    weight : float
        ``n_accelerators`` divided by the average of all candidates.
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
        """Return name, fencing and accelerators; a change makes a new candidate set."""
        fencing = self.group.fencing if self.group is not None else -1
        return self.name, fencing, self.n_accelerators


@dataclass(slots=True, kw_only=True, eq=False)
class CandidateSet:
    """Candidates for one model or service; the same object until a candidate changes.

    Attributes
    ----------
    local_zone, other_zones : tuple of Candidate
        Candidates in this entry host's availability zone and in all others, ordered by
        seed.
    names, keys : tuple
        Names and keys of all candidates.
    built_at : float
        Monotonic time at which the candidates were last compared with the platform's
        hosts list.
    offsets : tuple of int
        Next offsets of the zones' placement streams at that time.
    """

    local_zone: tuple[Candidate, ...]
    other_zones: tuple[Candidate, ...]
    names: tuple[str, ...]
    keys: tuple[tuple[str, int, int], ...]
    built_at: float
    offsets: tuple[int, ...]
