"""Define the messages to and from backend servers and the list of hosts.

The messages are described in docs/INTERFACES.md.
"""

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
    "decode_hosts_list",
    "decode_report",
    "decode_stream_item",
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
        Reading of the engine's own ``clock_ms`` after which the engine must not begin
        to execute the order; 0 sets no deadline.
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
    """Request rank 0 of a group to generate tokens.

    Attributes
    ----------
    delivered : tuple of str
        Tokens that the caller has already received; generation continues after them.
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
    """One server-sent event of a generation.

    Attributes
    ----------
    index : int
        Index of the first token in ``tokens``, counted from the answer's start.
    finish_reason : str
        Reason why the generation ended; set only on the last event.
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
    """The platform's list of hosts, which may be out of date."""

    hosts: list[ListedHost] = field(default_factory=list)


_STREAM_ITEM_DECODER = msgspec.json.Decoder(StreamItem)


def decode_report(
    data: bytes, *, host: str, peer: str
) -> Result[HostReport, RyeleverError]:
    """Decode a host's report of its own state; a report by another host is an error.

    The list of hosts may be out of date, so that an address in it may belong to another
    host by now, or to a host that was set up with a name already in use.  If its report
    were attributed to ``host``, a group with a missing member would count as complete
    on all entry hosts, and callers would get refusals from this group.
    """
    report = decode(data, HostReport, step="read_report", peer=peer)
    if report.is_error() or report.ok.host == host:
        return report
    return Error(
        RyeleverError(
            f"{report.ok.host!r} answers at the address listed for {host!r}; "
            "correct the list of hosts or the name set on the answering host",
            category=Category.UNAVAILABLE,
            step="read_report",
            peer=peer,
            code="other_host",
        )
    )


def decode_hosts_list(data: bytes, *, peer: str) -> Result[HostsList, RyeleverError]:
    """Decode the platform's list of hosts."""
    return decode(data, HostsList, step="read_hosts_list", peer=peer)


def decode_stream_item(data: bytes) -> StreamItem:
    """Decode one event of a generation.

    Raises
    ------
    msgspec.DecodeError
        If the event is not the expected JSON.
    """
    return _STREAM_ITEM_DECODER.decode(data)
