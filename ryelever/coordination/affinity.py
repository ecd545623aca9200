"""Rank backend servers for a prompt's prefix, with a bound on their load."""

from __future__ import annotations

import hashlib
import heapq
import math
from typing import TYPE_CHECKING

from .actions import ChatWork

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from .targets import Candidate

__all__ = ["bounded_choice", "load_bound", "node_seed", "prefix_key", "ranked"]

#: Characters of one block of a prompt; engines cache whole blocks only.
BLOCK_CHARS = 256

#: Leading blocks that requests must share to be sent to the same place.
N_BLOCKS = 4


def node_seed(name: str) -> int:
    """Return the number that stands for a backend server, equal on all hosts."""
    digest = hashlib.blake2b(name.encode(), digest_size=7).digest()
    return int.from_bytes(digest, "big")


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
    digest = hashlib.blake2b(head.encode("utf-8", "replace"), digest_size=7).digest()
    return int.from_bytes(digest, "big")


def ranked(key: int, candidates: Sequence[Candidate], *, n: int) -> list[Candidate]:
    """Return the first candidates in the rendezvous order of a key.

    A backend server that comes or goes moves only the keys that it ranks first
    for, and all entry hosts find the same order without a word.  The hash of a
    tuple of ints is the same in every process, unlike that of a string.
    """
    return heapq.nlargest(
        n, candidates, key=lambda candidate: hash((key, candidate.seed))
    )


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
