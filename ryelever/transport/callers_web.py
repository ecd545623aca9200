"""Have ``circuits.web`` parse callers' requests and compose their answers.

The sockets stay with ``callers``; here is what is particular to ``circuits.web``.
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

__all__ = ["LAST_CHUNK", "CallersWeb", "stream_head", "stream_part", "complete_answer"]

#: Ends a body in chunks.
LAST_CHUNK = b"0\r\n\r\n"


class CallerSockets(Protocol):
    """Own the callers' sockets, as ``circuits.web`` needs them.

    Attributes
    ----------
    host : str
        Address by which the parser names the server.
    """

    host: str

    def handed_on(self, request: Request, response: Response) -> None:
        """Take a request that was parsed, and the answer that is to be filled."""

    def write_of_web(self, sock: socket.socket, data: bytes) -> None:
        """Send what the parser itself answers."""

    def close(self, sock: socket.socket | None = None) -> None:
        """Close one connection."""


class CallersWeb(BaseComponent):
    """Join the channel of ``circuits.web`` with the callers' sockets.

    Parameters
    ----------
    callers : CallerSockets
        Owner of the sockets; it is told of each parsed request.
    """

    channel = "web"

    def __init__(self, *, callers: CallerSockets) -> None:
        super().__init__()
        self._callers = callers
        self._parser = HTTP(callers, channel=self.channel).register(self)

    def parse(self, sock: socket.socket, request: CompleteRequest) -> None:
        """Give ``circuits.web`` the request without what a caller could word.

        It would fail with a traceback on a Host, a Cookie or a path that it cannot
        read.  It needs only what decides how the answer is framed.
        """
        kept = "keep-alive" if request.keep_alive else "close"
        head = (
            f"{request.method} / HTTP/{request.http_version}\r\n"
            f"Host: {self._callers.host}\r\n"
            f"Connection: {kept}\r\nContent-Length: 0\r\n\r\n"
        )
        self.fire(read(sock, head.encode("ascii")))

    def forget(self, sock: socket.socket) -> None:
        """Drop what is known of a connection that has closed.

        One that closes between being read and being parsed makes ``circuits.web``
        fail and keep its parser, and memory grows with each.  It has no call that
        drops a parser, so the parser is taken out of its table.
        """
        self.fire(disconnect(sock))
        self._parser._buffers.pop(sock, None)

    @handler("request")
    def _on_request(self, req: Request, res: Response, *args: object) -> bool:
        self._callers.handed_on(req, res)
        return True

    @handler("write")
    def _on_write(self, sock: socket.socket, data: bytes) -> None:
        self._callers.write_of_web(sock, data)

    @handler("close")
    def _on_close(self, sock: socket.socket | None = None) -> None:
        if sock is not None:
            self._callers.close(sock)


def complete_answer(response: Response, answer: CallerAnswer) -> bytes:
    """Return an answer's head and body as they go over the wire."""
    response.status = answer.status
    response.headers["Content-Type"] = answer.content_type
    for name, value in answer.headers.items():
        response.headers[name] = value
    response.body = answer.body
    response.prepare()
    head = bytes(response) + bytes(response.headers)
    return head if response.request.method == "HEAD" else head + answer.body


def stream_head(response: Response, headers: dict[str, str]) -> bytes:
    """Return the head of an answer whose body follows in parts."""
    response.stream = True
    response.body = _Pushed()
    for name, value in headers.items():
        response.headers[name] = value
    response.prepare()
    response.body = None
    return bytes(response) + bytes(response.headers)


def stream_part(response: Response, data: bytes) -> bytes:
    """Return a part of a streamed body, as a chunk where the answer has chunks."""
    return b"%x\r\n%s\r\n" % (len(data), data) if response.chunked else data


class _Pushed:
    """Stand for a body whose parts are pushed later, so of unknown length."""

    def __bool__(self) -> bool:
        return True
