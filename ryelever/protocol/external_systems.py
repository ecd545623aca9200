"""Define the interface to each external system as a protocol class.

Components that call an external system depend only on these classes and contain no
paths or encodings, so that, for example, another log service can be supported by
another class with the same methods.  The messages are described in docs/INTERFACES.md.
The weight store has no class here, since only the engines read from it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from .backend import decode_hosts_list, decode_report, decode_stream_item
from .json_codec import encode
from .log import append_request, decode_page, read_path

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
    "ExternalRequest",
    "EngineInterface",
    "HostsListInterface",
    "LogInterface",
    "PlainServiceInterface",
]

_JSON = (("Content-Type", "application/json"),)


@dataclass(slots=True, kw_only=True, frozen=True)
class ExternalRequest:
    """One HTTP request to an external system, without the address."""

    path: str
    method: str = "GET"
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class LogInterface(Protocol):
    """Interface to the platform's append-only log service."""

    def append(self, stream: str, items: list[AppendItem]) -> ExternalRequest:
        """Append records.

        An append counts as successful only once its records are read back.
        """

    def read(
        self, stream: str, *, offset: int, wait_ms: int, limit: int
    ) -> ExternalRequest:
        """Read records from ``offset`` on.

        If there are none yet, the service waits up to ``wait_ms`` milliseconds.
        """

    def page(self, body: bytes, *, peer: str) -> Result[LogPage, RyeleverError]:
        """Decode the answer to ``read``."""


class HostsListInterface(Protocol):
    """Interface to the platform's list of hosts, which may be out of date."""

    def list(self, *, known_tag: str) -> ExternalRequest:
        """Request the list, unless its entity tag still equals ``known_tag``."""

    def hosts(self, body: bytes, *, peer: str) -> Result[HostsList, RyeleverError]:
        """Decode the answer to ``list``."""


class EngineInterface(Protocol):
    """Interface to the model engine of one host."""

    def report(self) -> ExternalRequest:
        """Request the host's report of its group and its load."""

    def order(self, order: Order) -> ExternalRequest:
        """Order the host to join or leave a group; the answer is the host's report."""

    def generate(self, request: GenerateRequest) -> ExternalRequest:
        """Request rank 0 of a group to generate tokens; the answer is a stream."""

    def cancel(self, attempt_id: str) -> ExternalRequest:
        """Cancel the generation of an attempt."""

    def host_report(
        self, body: bytes, *, host: str, peer: str
    ) -> Result[HostReport, RyeleverError]:
        """Decode the answer to ``report`` or ``order``.

        A report by a host other than ``host`` is an error.
        """

    def stream_item(self, data: bytes) -> StreamItem:
        """Decode one event of a generation.

        Raises
        ------
        msgspec.DecodeError
            If the event is not the expected JSON.
        """


class PlainServiceInterface(Protocol):
    """Interface to a plain service, which runs beside the engines."""

    def call(self, work: ServiceWork, *, arrival: Arrival) -> ExternalRequest:
        """Forward a caller's request."""


class _HttpLog:
    def append(self, stream: str, items: list[AppendItem]) -> ExternalRequest:
        return ExternalRequest(
            method="POST",
            path=f"/v1/streams/{stream}/records",
            headers=_JSON,
            body=append_request(items),
        )

    def read(
        self, stream: str, *, offset: int, wait_ms: int, limit: int
    ) -> ExternalRequest:
        return ExternalRequest(
            path=read_path(stream, offset=offset, wait_ms=wait_ms, limit=limit)
        )

    def page(self, body: bytes, *, peer: str) -> Result[LogPage, RyeleverError]:
        return decode_page(body, peer=peer)


class _HttpHostsList:
    def list(self, *, known_tag: str) -> ExternalRequest:
        headers = (("If-None-Match", known_tag),) if known_tag else ()
        return ExternalRequest(path="/v1/hosts", headers=headers)

    def hosts(self, body: bytes, *, peer: str) -> Result[HostsList, RyeleverError]:
        return decode_hosts_list(body, peer=peer)


class _HttpEngine:
    def report(self) -> ExternalRequest:
        return ExternalRequest(path="/v1/report")

    def order(self, order: Order) -> ExternalRequest:
        return _post("/v1/orders", order)

    def generate(self, request: GenerateRequest) -> ExternalRequest:
        return _post("/v1/generate", request)

    def cancel(self, attempt_id: str) -> ExternalRequest:
        return _post("/v1/cancel", {"attempt": attempt_id})

    def host_report(
        self, body: bytes, *, host: str, peer: str
    ) -> Result[HostReport, RyeleverError]:
        return decode_report(body, host=host, peer=peer)

    def stream_item(self, data: bytes) -> StreamItem:
        return decode_stream_item(data)


class _HttpPlainService:
    def call(self, work: ServiceWork, *, arrival: Arrival) -> ExternalRequest:
        headers = [("X-Request-Id", arrival.request_id)]
        if work.content_type:
            headers.append(("Content-Type", work.content_type))
        if arrival.idempotency_key:
            headers.append(("Idempotency-Key", arrival.idempotency_key))
        return ExternalRequest(
            method=work.method, path=work.path, headers=tuple(headers), body=work.body
        )


def _post(path: str, message: object) -> ExternalRequest:
    return ExternalRequest(
        method="POST", path=path, headers=_JSON, body=encode(message)
    )


#: Implementations of the HTTP protocols in docs/INTERFACES.md.
HTTP_LOG: LogInterface = _HttpLog()
HTTP_HOSTS_LIST: HostsListInterface = _HttpHostsList()
HTTP_ENGINE: EngineInterface = _HttpEngine()
HTTP_PLAIN_SERVICE: PlainServiceInterface = _HttpPlainService()
