"""Tell requests that take long to parse for their number of bytes."""

from __future__ import annotations

__all__ = ["ParsingCost"]

#: Lines of a head, or of the chunks of a body, from which a request is costly: each
#: takes h11 some microseconds.
COSTLY_LINES = 256

#: Reads in which a request arrives from which it is costly if the mean read has fewer
#: bytes than ``COSTLY_READ_SIZE``.
COSTLY_READS = 32
COSTLY_READ_SIZE = 512


class ParsingCost:
    """Count what makes the request that arrives on a connection costly to parse.

    Attributes
    ----------
    is_high : bool
        Whether the request is to be parsed when others have been handled.
    """

    __slots__ = ("_n_bytes", "_n_lines", "_n_reads", "is_high")

    def __init__(self) -> None:
        self._n_bytes = 0
        self._n_lines = 0
        self._n_reads = 0
        self.is_high = False

    def add(self, data: bytes, *, counts_lines: bool) -> bool:
        """Count received bytes; return whether the request is costly.

        Parameters
        ----------
        counts_lines : bool
            Whether the parser looks for line ends in these bytes.
        """
        self._n_reads += 1
        self._n_bytes += len(data)
        if counts_lines:
            self._n_lines += data.count(b"\n")
        self.is_high = self._n_lines > COSTLY_LINES or (
            self._n_reads > COSTLY_READS
            and self._n_bytes < COSTLY_READ_SIZE * self._n_reads
        )
        return self.is_high
