"""Shape the messages towards backend servers; docs/INTERFACES.md describes them."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from expression import Error, Result

from ..errors import Category, RyeleverError
from ..state.fleet import HostReport, ListedHost
from .json_codec import decode

__all__ = [
    "GenerateRequest",
    "HostsList",
    "Order",
    "StreamItem",
    "read_hosts_list",
    "read_report",
    "read_stream_item",
]


@dataclass(slots=True, kw_only=True, frozen=True)
class Order:
    """Order an engine to join or leave a group.

    Attributes
    ----------
    kind : str
        ``"join"`` or ``"leave"``.
    members : tuple of str
        Addresses in rank order.
    expires_ms : int
        Reading of the engine's own ``clock_ms`` after which it must not begin to
        obey; 0 sets no deadline.
    """

    id: str
    kind: str
    group: str
    fencing: int
    rank: int = 0
    members: tuple[str, ...] = ()
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    expires_ms: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class GenerateRequest:
    """Ask rank 0 of a group to generate tokens.

    Attributes
    ----------
    delivered : tuple of str
        Tokens that the caller already has; generation goes on after them.
    """

    attempt: str
    group: str
    fencing: int
    model: str
    messages: list[dict]
    max_tokens: int
    adapter: str = ""
    priority: int = 0
    delivered: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class StreamItem:
    """Hold one server-sent event of a generation.

    Attributes
    ----------
    index : int
        Index of the first token in ``tokens``, counted from the answer's start.
    finish_reason : str
        Set on the terminal event only.
    """

    attempt: str
    index: int = 0
    tokens: tuple[str, ...] = ()
    finish_reason: str = ""
    n_prompt_tokens: int = 0
    n_cached_tokens: int = 0
    error: str = ""


@dataclass(slots=True, kw_only=True, frozen=True)
class HostsList:
    """Hold the platform's lagging list of hosts."""

    hosts: list[ListedHost] = field(default_factory=list)


_STREAM_ITEM_DECODER = msgspec.json.Decoder(StreamItem)


def read_report(
    data: bytes, *, host: str, peer: str
) -> Result[HostReport, RyeleverError]:
    """Read a host's report of itself.

    The list of hosts lags, and an address that it names may belong to another host
    by now, or to one that was set up with a name twice given.  Its word, taken for
    the word of the host that was asked, would let a group serve whose member is
    missing: callers get refusals from a group that all call whole.
    """
    report = decode(data, HostReport, step="read_report", peer=peer)
    if report.is_error() or report.ok.host == host:
        return report
    return Error(
        RyeleverError(
            f"{report.ok.host!r} answers at the address that the list gives for "
            f"{host!r}; correct the list, or the name that this host was given",
            category=Category.UNAVAILABLE,
            step="read_report",
            peer=peer,
            code="other_host",
        )
    )


def read_hosts_list(data: bytes, *, peer: str) -> Result[HostsList, RyeleverError]:
    """Read the platform's list of hosts."""
    return decode(data, HostsList, step="read_hosts_list", peer=peer)


def read_stream_item(data: bytes) -> StreamItem:
    """Read one streamed item.

    Raises
    ------
    msgspec.DecodeError
        If the item is not the expected JSON.
    """
    return _STREAM_ITEM_DECODER.decode(data)
