"""Rank backend servers for a prompt's prefix, with a bound on their load."""

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

__all__ = ["bounded_choice", "load_bound", "node_seed", "prefix_key", "ranked"]

#: Characters of one block of a prompt; engines cache whole blocks only.
BLOCK_CHARS = 256

#: Leading blocks that requests must share to be sent to the same place.
N_BLOCKS = 4

#: Candidates that are ranked for a key at most.
WINDOW = 64

#: Bytes of a prompt's key and of the number that stands for a backend server.
DIGEST_BYTES = 7

_MASK = (1 << 64) - 1


def node_seed(name: str) -> int:
    """Return the number that stands for a backend server, equal on all hosts."""
    return _digest(name)


def prefix_key(work: ChatWork, *, n_blocks: int = N_BLOCKS) -> int | None:
    """Return the key of a prompt's leading blocks.

    Returns
    -------
    int or None
        None when the prompt does not fill one block: there is nothing cached
        that would be worth a worse balance.
    """
    wanted = n_blocks * BLOCK_CHARS
    text = ""
    for message in work.messages:
        text += f"\x1e{message.get('role', '')}\x1f{message.get('content', '')}"
        if len(text) >= wanted:
            break
    n_whole = min(n_blocks, len(text) // BLOCK_CHARS)
    if not n_whole:
        return None
    head = f"{work.model}\x1e{work.adapter}{text[: n_whole * BLOCK_CHARS]}"
    return _digest(head)


def ranked(key: int, candidates: Sequence[Candidate], *, n: int) -> list[Candidate]:
    """Return the first candidates in the rendezvous order of a key.

    A backend server that comes or goes moves only the keys that it ranks first
    for, and all entry hosts find the same order without a word.

    Parameters
    ----------
    candidates : sequence of Candidate
        Ordered by seed.  Of more than ``WINDOW`` only those that follow the key
        are ranked, so that the cost does not grow with the fleet; what comes or
        goes then also moves the few keys whose window's edge it shifts.
    """
    if len(candidates) > WINDOW:
        place = _mixed(key, WINDOW)
        start = bisect.bisect(candidates, place, key=lambda one: one.seed)
        window = candidates[start : start + WINDOW]
        candidates = [*window, *candidates[: WINDOW - len(window)]]
    return heapq.nlargest(n, candidates, key=lambda one: _mixed(key, one.seed))


def _digest(text: str) -> int:
    data = text.encode("utf-8", "replace")
    digest = hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


def _mixed(key: int, seed: int) -> int:
    """Return 56 well mixed bits of two numbers (the finalizer of MurmurHash3).

    ``hash((key, seed))`` is faster and was tried: it gave one of 20 backend servers
    six times the keys of another.
    """
    mixed = (key ^ seed) * 0xFF51AFD7ED558CCD & _MASK
    mixed ^= mixed >> 33
    return (mixed * 0xC4CEB9FE1A85EC53 & _MASK) >> 8


def load_bound(total: float, share: float, *, slack: float) -> float:
    """Return the load up to which a backend server may take one more.

    Parameters
    ----------
    total : float
        Load of all candidates, the new request included.
    share : float
        The candidate's share of all capacity, such as 1/n.
    slack : float
        Factor above 1 that a candidate may exceed its fair part by.

    References
    ----------
    Mirrokni, Thorup, Zadimoghaddam: Consistent hashing with bounded loads, 2018.
    """
    return math.ceil(slack * total * share)


def bounded_choice(
    order: Iterable[tuple[str, float, float]], total: float, *, slack: float
) -> str | None:
    """Return the first of an order whose load stays within its bound.

    Parameters
    ----------
    order : iterable of (name, load, share)
        Best place first; ``load`` without the new request.
    total : float
        Load of all candidates without the new request.
    """
    for name, load, share in order:
        if load + 1 <= load_bound(total + 1, share, slack=slack):
            return name
    return None
