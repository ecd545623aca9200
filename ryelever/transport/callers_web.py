"""Adapt ``circuits.web``, which parses request heads and composes the answers.

The sockets belong to the ``callers`` module; this module contains only the parts that
depend on ``circuits.web``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from circuits import BaseComponent, handler
from circuits.net.events import disconnect, read
from circuits.web.http import HTTP

if TYPE_CHECKING:
    import socket

    from circuits.web.wrappers import Request, Response

    from ..events import CallerAnswer
    from .request_reader import CompleteRequest

__all__ = ["LAST_CHUNK", "CallersWeb", "stream_head", "stream_chunk", "complete_answer"]

#: Last chunk, which ends a body with chunked encoding.
LAST_CHUNK = b"0\r\n\r\n"


class CallerSockets(Protocol):
    """Interface of the owner of the callers' sockets that ``CallersWeb`` needs.

    Attributes
    ----------
    host : str
        Address by which the parser refers to the server.
    """

    host: str

    def request_parsed(self, request: Request, response: Response) -> None:
        """Process a parsed request, with the response object to fill in."""

    def write_from_web(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes that ``circuits.web`` itself has composed."""

    def close(self, sock: socket.socket | None = None) -> None:
        """Close one connection."""


class CallersWeb(BaseComponent):
    """Connect the channel of ``circuits.web`` with the callers' sockets.

    Parameters
    ----------
    callers : CallerSockets
        Owner of the sockets, which receives each parsed request.
    """

    channel = "web"

    def __init__(self, *, callers: CallerSockets) -> None:
        super().__init__()
        self._callers = callers
        self._parser = HTTP(callers, channel=self.channel).register(self)

    def parse(self, sock: socket.socket, request: CompleteRequest) -> None:
        """Pass ``circuits.web`` a minimal head without text chosen by the caller.

        ``circuits.web`` would fail with a traceback on a Host, a Cookie or a path that
        it cannot parse.  The minimal head holds only the fields that decide how the
        answer is framed.
        """
        connection = "keep-alive" if request.keep_alive else "close"
        head = (
            f"{request.method} / HTTP/{request.http_version}\r\n"
            f"Host: {self._callers.host}\r\n"
            f"Connection: {connection}\r\nContent-Length: 0\r\n\r\n"
        )
        self.fire(read(sock, head.encode("ascii")))

    def forget(self, sock: socket.socket) -> None:
        """Discard the state that ``circuits.web`` has of a closed connection.

        If a connection closes after its bytes were read and before they are parsed,
        ``circuits.web`` fails and keeps the connection's parser, so that memory grows
        with each such connection.  It has no method that discards a parser, so this
        method removes the parser from the table of ``circuits.web``.
        """
        self.fire(disconnect(sock))
        self._parser._buffers.pop(sock, None)

    @handler("request")
    def _on_request(self, req: Request, res: Response, *args: object) -> bool:
        self._callers.request_parsed(req, res)
        return True

    @handler("write")
    def _on_write(self, sock: socket.socket, data: bytes) -> None:
        self._callers.write_from_web(sock, data)

    @handler("close")
    def _on_close(self, sock: socket.socket | None = None) -> None:
        if sock is not None:
            self._callers.close(sock)


def complete_answer(response: Response, answer: CallerAnswer) -> bytes:
    """Return an answer's head and body as bytes to send."""
    response.status = answer.status
    response.headers["Content-Type"] = answer.content_type
    for name, value in answer.headers.items():
        response.headers[name] = value
    response.body = answer.body
    response.prepare()
    head = bytes(response) + bytes(response.headers)
    return head if response.request.method == "HEAD" else head + answer.body


def stream_head(response: Response, headers: dict[str, str]) -> bytes:
    """Return the head of an answer whose body is streamed."""
    response.stream = True
    response.body = _UnknownLengthBody()
    for name, value in headers.items():
        response.headers[name] = value
    response.prepare()
    response.body = None
    return bytes(response) + bytes(response.headers)


def stream_chunk(response: Response, data: bytes) -> bytes:
    """Return part of a streamed body, framed if the answer has chunked encoding."""
    return b"%x\r\n%s\r\n" % (len(data), data) if response.chunked else data


class _UnknownLengthBody:
    """Placeholder for a body that is sent later, in parts and of unknown length."""

    def __bool__(self) -> bool:
        return True
