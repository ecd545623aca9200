"""Poll sockets and dispatch all resulting events before the next poll."""

from __future__ import annotations

import select
from typing import TYPE_CHECKING

from circuits.core.pollers import EPoll

if TYPE_CHECKING:
    import socket

    from circuits.core.events import generate_events

__all__ = ["Poller"]


class Poller(EPoll):
    """A variant of ``EPoll`` that costs less for each connection and wake-up.

    In circuits, an event that is fired while events are dispatched waits for the next
    round of the main loop, and each round checks all timers and polls once more,
    without waiting.  An event of a stream takes three rounds from the backend server's
    socket to the caller's socket; this poller dispatches them in one round.

    ``EPoll`` looks descriptors up in lists, and removes each descriptor from the
    kernel's set before it adds the descriptor again.  A request that opens a connection
    takes ten system calls for that, and half as many with this poller.
    """

    def __init__(self) -> None:
        super().__init__()
        self._read = _DescriptorSet(self._read)
        self._write = _DescriptorSet(self._write)

    def _generate_events(self, event: generate_events) -> None:
        super()._generate_events(event)
        # Each flush dispatches the events fired by the one before.  The loop ends
        # because timers and sockets add no events until the next round.
        while len(self.root):
            self.root.flush()

    # The name is given by circuits, which calls this method after each change.
    def _updateRegistration(self, fd: socket.socket | int) -> None:  # noqa: N802
        number = fd if isinstance(fd, int) else fd.fileno()
        reading = select.EPOLLIN if fd in self._read else 0
        mask = reading | (select.EPOLLOUT if fd in self._write else 0)
        if number < 0:
            # The socket was closed before it was removed from this poller; the kernel
            # has already dropped its descriptor.
            self._remove_closed(fd)
        elif mask and self._map.get(number) is fd:
            self._poller.modify(number, mask)
        elif mask:
            self._register_number(number, mask)
            self._map[number] = fd
        elif self._map.get(number) is fd:
            del self._map[number]
            self._poller.unregister(number)

    def _register_number(self, number: int, mask: int) -> None:
        try:
            self._poller.register(number, mask)
        except FileExistsError:
            # The descriptor is still registered for an earlier socket object that
            # had the same number.
            self._poller.modify(number, mask)

    def _remove_closed(self, fd: socket.socket | int) -> None:
        numbers = [number for number, known in self._map.items() if known is fd]
        for number in numbers:
            del self._map[number]


class _DescriptorSet(set):
    """A set with the ``append`` method of the list that circuits uses for sockets."""

    def append(self, fd: socket.socket | int) -> None:
        """Add a socket."""
        self.add(fd)
