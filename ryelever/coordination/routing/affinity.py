"""Rank backend servers by rendezvous hashing of prompt prefixes, and bound loads."""

from __future__ import annotations

import bisect
import hashlib
import heapq
import math
from typing import TYPE_CHECKING

from ..actions import ChatWork

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .candidates import Candidate

__all__ = ["bounded_choice", "load_bound", "rendezvous_seed", "prefix_key", "ranked"]

#: Characters of one block of a prompt; engines cache only complete blocks.
BLOCK_CHARS = 256

#: Number of leading blocks that make up the prefix by which requests are routed.
N_BLOCKS = 4

#: Maximum number of candidates that are ranked for a key.
RANKING_WINDOW = 64

#: Bytes of a prompt's key and of a backend server's seed.
DIGEST_BYTES = 7

_MASK = (1 << 64) - 1


def rendezvous_seed(name: str) -> int:
    """Return a backend server's seed in rendezvous hashing, equal on all hosts."""
    return _digest(name)


def prefix_key(work: ChatWork, *, n_blocks: int = N_BLOCKS) -> int | None:
    """Return the rendezvous key of a prompt's leading blocks.

    Returns
    -------
    int or None
        None when the prompt does not fill one block: no block of it can be cached, so
        affinity would only make the load less balanced.
    """
    wanted = n_blocks * BLOCK_CHARS
    text = ""
    for message in work.messages:
        text += f"\x1e{message.get('role', '')}\x1f{message.get('content', '')}"
        if len(text) >= wanted:
            break
    n_full_blocks = min(n_blocks, len(text) // BLOCK_CHARS)
    if not n_full_blocks:
        return None
    head = f"{work.model}\x1e{work.adapter}{text[: n_full_blocks * BLOCK_CHARS]}"
    return _digest(head)


def ranked(key: int, candidates: Sequence[Candidate], *, n: int) -> list[Candidate]:
    """Return the first ``n`` candidates in the rendezvous order of a key.

    A backend server that joins or leaves moves only the keys for which it ranks first.
    All entry hosts compute the same order without exchanging messages.

    Parameters
    ----------
    candidates : sequence of Candidate
        Ordered by seed.  Of more than ``RANKING_WINDOW`` candidates, only those that
        follow the key's position are ranked, so that the cost does not grow with the
        fleet.  A backend server that joins or leaves then also moves the few keys for
        which it shifts the edge of the window.
    """
    if len(candidates) > RANKING_WINDOW:
        place = _mix(key, RANKING_WINDOW)
        start = bisect.bisect(candidates, place, key=lambda one: one.seed)
        window = candidates[start : start + RANKING_WINDOW]
        candidates = [*window, *candidates[: RANKING_WINDOW - len(window)]]
    return heapq.nlargest(n, candidates, key=lambda one: _mix(key, one.seed))


def _digest(text: str) -> int:
    data = text.encode("utf-8", "replace")
    digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def _mix(key: int, seed: int) -> int:
    """Return a 56-bit hash of two numbers (the finalizer of MurmurHash3).

    ``hash((key, seed))`` is faster, but gives one of 20 backend servers six times the
    keys of another.
    """
    mixed = (key ^ seed) * 0xFF51AFD7ED558CCD & _MASK
    mixed ^= mixed >> 33
    return (mixed * 0xC4CEB9FE1A85EC53 & _MASK) >> 8


def load_bound(total: float, share: float, *, slack: float) -> float:
    """Return the maximum load of a backend server, including a new request.

    Parameters
    ----------
    total : float
        Load of all candidates, the new request included.
    share : float
        The candidate's share of all capacity, such as 1/n.
    slack : float
        Ratio, above 1, of the maximum load to the candidate's fair part of ``total``.

    References
    ----------
    Mirrokni, Thorup, Zadimoghaddam: Consistent hashing with bounded loads, 2018.
    """
    return math.ceil(slack * total * share)


def bounded_choice(
    order: Iterable[tuple[str, float, float]], total: float, *, slack: float
) -> str | None:
    """Return the first name whose load stays within its bound with a new request.

    Parameters
    ----------
    order : iterable of (name, load, share)
        Candidates, the preferred one first; ``load`` without the new request.
    total : float
        Load of all candidates without the new request.
    """
    for name, load, share in order:
        if load + 1 <= load_bound(total + 1, share, slack=slack):
            return name
    return None
