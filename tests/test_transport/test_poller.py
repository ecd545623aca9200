"""Test that all events of a socket are handled before the next poll."""

from __future__ import annotations

import socket

from circuits import BaseComponent, Event, handler

from ryelever.transport.poller import Poller


class first_step(Event):  # noqa: N801
    """Process the bytes that were read."""


class second_step(Event):  # noqa: N801
    """Finish processing."""


class Reader(BaseComponent):
    """Process received bytes in three steps, each of which fires the next one.

    Attributes
    ----------
    n_rounds : int
        Rounds of the main loop so far.
    completed_in_round : int or None
        The round in which the last step was done.
    """

    channel = "reader"

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._sock = sock
        self.n_rounds = 0
        self.completed_in_round: int | None = None
        self.poller = Poller().register(self)

    @handler("generate_events", channel="*")
    def _on_generate_events(self, event: Event) -> None:
        self.n_rounds += 1
        event.reduce_time_left(5.0)

    @handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        self._sock.recv(100)
        self.fire(first_step())

    @handler("first_step")
    def _on_first(self) -> None:
        self.fire(second_step())

    @handler("second_step")
    def _on_second(self) -> None:
        self.completed_in_round = self.n_rounds
        self.stop()


def test_events_of_a_socket_take_one_main_loop_round() -> None:
    """Handle an event of a stream, from its socket on, in one round of the main loop.

    Guards against spending more processor time on waking up than on requests: the
    handler of a readable socket fires an event, whose handler fires another one, and
    each of these events waits for one more round of the main loop, which checks all
    timers and polls all sockets.
    """
    local_end, remote_end = socket.socketpair()
    with local_end, remote_end:
        reader = Reader(local_end)
        reader.poller.addReader(reader, local_end)
        remote_end.send(b"bytes")
        reader.run()
        assert reader.completed_in_round == 1


class SocketOwner(BaseComponent):
    """The owner of the sockets of a test."""

    channel = "socket_owner"


class RecordingPoller:
    """Run a poller and record the events that it fires in one poll."""

    def __init__(self) -> None:
        self.poller = Poller()
        self.owner = SocketOwner()
        self.names: list[tuple[str, socket.socket]] = []
        self.poller.fire = lambda event, channel: self.names.append(
            (event.name, event.args[0])
        )

    def poll(self) -> list[tuple[str, socket.socket]]:
        """Poll once; return the names of the fired events with their sockets."""
        event = Event()
        event.time_left = 0.0
        self.names.clear()
        self.poller._generate_events(event)
        return list(self.names)


def test_a_socket_is_polled_for_its_current_registration() -> None:
    fired = RecordingPoller()
    local_end, remote_end = socket.socketpair()
    with local_end, remote_end:
        fired.poller.addReader(fired.owner, local_end)
        assert fired.poll() == []
        fired.poller.addWriter(fired.owner, local_end)
        assert fired.poll() == [("_write", local_end)]
        fired.poller.removeWriter(local_end)
        remote_end.send(b"bytes")
        assert fired.poll() == [("_read", local_end)]
        fired.poller.removeReader(local_end)
        assert fired.poll() == []
        fired.poller.addReader(fired.owner, local_end)
        fired.poller.discard(local_end)
        assert fired.poll() == []


def test_the_number_of_a_closed_socket_can_be_registered_again() -> None:
    """Poll a socket whose number belonged to a socket that was never discarded.

    Guards against a connection on which nothing is ever read: the owner closes a socket
    before discarding it from the poller, and the next socket gets the same number.  The
    poller treats that number as registered, while the kernel has dropped it.
    """
    fired = RecordingPoller()
    first, other = socket.socketpair()
    number = first.fileno()
    fired.poller.addReader(fired.owner, first)
    first.close()
    local_end, remote_end = socket.socketpair()
    with other, local_end, remote_end:
        assert number in (local_end.fileno(), remote_end.fileno())
        reused = local_end if local_end.fileno() == number else remote_end
        sender = remote_end if reused is local_end else local_end
        fired.poller.addReader(fired.owner, reused)
        sender.send(b"bytes")
        assert fired.poll() == [("_read", reused)]
        # Discarding the closed socket later must not affect the new one.
        fired.poller.discard(first)
        assert fired.poll() == [("_read", reused)]
