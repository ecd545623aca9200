"""Name what ryelever asks of each outside system, behind one type a system.

The parts of the process that ask are annotated with these types and know no path
and no encoding; docs/INTERFACES.md describes the messages.  Another log service,
say, takes the place of the published one by a class with the same methods.

The weight store has no type here: engines read from it, ryelever never does.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .backend import read_hosts_list, read_report, read_stream_item
from .json_codec import encode
from .log import append_request, read_page, read_path

if TYPE_CHECKING:
    from expression import Result

    from ..coordination.actions import Arrival, ServiceWork
    from ..errors import RyeleverError
    from ..state.fleet import HostReport
    from .backend import GenerateRequest, HostsList, Order, StreamItem
    from .log import AppendItem, LogPage

__all__ = [
    "HTTP_ENGINE",
    "HTTP_HOSTS_LIST",
    "HTTP_LOG",
    "HTTP_PLAIN_SERVICE",
    "Call",
    "EngineInterface",
    "HostsListInterface",
    "LogInterface",
    "PlainServiceInterface",
]

_JSON = (("Content-Type", "application/json"),)


@dataclass(slots=True, kw_only=True, frozen=True)
class Call:
    """Hold one HTTP call to an outside system, without its address."""

    path: str
    method: str = "GET"
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class LogInterface(Protocol):
    """Ask the platform's append-only log service."""

    def append(self, stream: str, items: list[AppendItem]) -> Call:
        """Append records; success counts only when they are read back."""

    def read(self, stream: str, *, offset: int, wait_ms: int, limit: int) -> Call:
        """Read records from ``offset``, waiting for one if there is none."""

    def page(self, body: bytes, *, peer: str) -> Result[LogPage, RyeleverError]:
        """Read the answer to ``read``."""


class HostsListInterface(Protocol):
    """Ask the platform's lagging list of hosts."""

    def list(self, *, known_tag: str) -> Call:
        """Ask for the list, or for word that it is still the one with this tag."""

    def hosts(self, body: bytes, *, peer: str) -> Result[HostsList, RyeleverError]:
        """Read the answer to ``list``."""


class EngineInterface(Protocol):
    """Ask the model engine of one host."""

    def report(self) -> Call:
        """Ask what the host itself says of its group and load."""

    def order(self, order: Order) -> Call:
        """Order the host to join or leave a group; it answers with its report."""

    def generate(self, request: GenerateRequest) -> Call:
        """Ask rank 0 of a group to generate; it answers with a stream."""

    def cancel(self, attempt_id: str) -> Call:
        """Stop the generation of an attempt."""

    def host_report(
        self, body: bytes, *, host: str, peer: str
    ) -> Result[HostReport, RyeleverError]:
        """Read the answer to ``report`` and to ``order``, of the host that was asked.

        A report that another host gives at this address is an error.
        """

    def stream_item(self, data: bytes) -> StreamItem:
        """Read one event of a generation.

        Raises
        ------
        msgspec.DecodeError
            If the event is not the expected JSON.
        """


class PlainServiceInterface(Protocol):
    """Ask a plain service beside the engines."""

    def call(self, work: ServiceWork, *, arrival: Arrival) -> Call:
        """Pass a caller's request on."""


class _HttpLog:
    def append(self, stream: str, items: list[AppendItem]) -> Call:
        return Call(
            method="POST",
            path=f"/v1/streams/{stream}/records",
            headers=_JSON,
            body=append_request(items),
        )

    def read(self, stream: str, *, offset: int, wait_ms: int, limit: int) -> Call:
        return Call(path=read_path(stream, offset=offset, wait_ms=wait_ms, limit=limit))

    def page(self, body: bytes, *, peer: str) -> Result[LogPage, RyeleverError]:
        return read_page(body, peer=peer)


class _HttpHostsList:
    def list(self, *, known_tag: str) -> Call:
        headers = (("If-None-Match", known_tag),) if known_tag else ()
        return Call(path="/v1/hosts", headers=headers)

    def hosts(self, body: bytes, *, peer: str) -> Result[HostsList, RyeleverError]:
        return read_hosts_list(body, peer=peer)


class _HttpEngine:
    def report(self) -> Call:
        return Call(path="/v1/report")

    def order(self, order: Order) -> Call:
        return _post("/v1/orders", order)

    def generate(self, request: GenerateRequest) -> Call:
        return _post("/v1/generate", request)

    def cancel(self, attempt_id: str) -> Call:
        return _post("/v1/cancel", {"attempt": attempt_id})

    def host_report(
        self, body: bytes, *, host: str, peer: str
    ) -> Result[HostReport, RyeleverError]:
        return read_report(body, host=host, peer=peer)

    def stream_item(self, data: bytes) -> StreamItem:
        return read_stream_item(data)


class _HttpPlainService:
    def call(self, work: ServiceWork, *, arrival: Arrival) -> Call:
        headers = [("X-Request-Id", arrival.request_id)]
        if work.content_type:
            headers.append(("Content-Type", work.content_type))
        if arrival.idempotency_key:
            headers.append(("Idempotency-Key", arrival.idempotency_key))
        return Call(
            method=work.method, path=work.path, headers=tuple(headers), body=work.body
        )


def _post(path: str, message: object) -> Call:
    return Call(method="POST", path=path, headers=_JSON, body=encode(message))


#: The published protocols.
HTTP_LOG: LogInterface = _HttpLog()
HTTP_HOSTS_LIST: HostsListInterface = _HttpHostsList()
HTTP_ENGINE: EngineInterface = _HttpEngine()
HTTP_PLAIN_SERVICE: PlainServiceInterface = _HttpPlainService()
