"""Estimate how long a request waits for a slot, and when its caller should retry."""

from __future__ import annotations

import msgspec

from ..retry_spread import retry_spread

__all__ = ["MIN_RETRY_AFTER", "WaitEstimate", "latest_useful_start"]

#: Minimum seconds after which a refused caller should retry, before the time left to
#: the caller bounds it: slots become free within some tenths of a second.
MIN_RETRY_AFTER = 0.3

#: Maximum part of the caller's remaining time after which it should retry, so that it
#: has time for two more attempts.
MAX_RETRY_SHARE = 1 / 3

#: Minimum seconds after which a caller with hardly any time left should retry. Without
#: it, such a caller would return at ever shorter intervals.
SHORTEST_RETRY_AFTER = 0.1

#: Maximum part of the slots that become free that is assumed to go to requests which
#: arrive later and go first.
MAX_OVERTAKING_SHARE = 0.9

#: Part of the mean time in flight that must be left to a request when it is sent.
NEEDED_SHARE = 0.5


class WaitEstimate(msgspec.Struct, kw_only=True, frozen=True):
    """The estimated wait of one request.

    Attributes
    ----------
    n_ahead : int
        Waiting requests of all hosts that go before the request.
    n_slots : int
        Slots of all servers that can run the request.
    n_in_flight : float
        Requests of all hosts that these servers run.
    share_ahead : float
        Part of the arrivals that goes before the request.
    mean_duration : float
        Mean seconds that a request is in flight.
    """

    n_ahead: int
    n_slots: int
    mean_duration: float
    n_in_flight: float = 0.0
    share_ahead: float = 0.0

    @property
    def min_wait(self) -> float:
        """Return the seconds until the requests ahead have got their slots."""
        return self.n_ahead * self.mean_duration / max(1, self.n_slots)

    @property
    def expected_wait(self) -> float:
        """Return the wait including that for requests which will go first."""
        overtaking = self.share_ahead * self.n_in_flight / max(1, self.n_slots)
        return self.min_wait / (1.0 - min(MAX_OVERTAKING_SHARE, overtaking))

    def is_hopeless(self, *, latest_start: float, now: float) -> bool:
        """Return whether the request can't get a slot in time.

        Without a server nothing is known about the wait: a group may open.
        """
        return self.n_slots > 0 and now + self.min_wait > latest_start

    def retry_after(self, request_id: str, *, time_left: float) -> float:
        """Return after how many seconds a refused caller should retry.

        Parameters
        ----------
        time_left : float
            Seconds until the caller stops waiting.
        """
        # The bound is halved before the time is spread by a factor of up to 2:
        # otherwise, callers for whom it holds would return together.
        wait = max(MIN_RETRY_AFTER, self.expected_wait)
        bounded = min(wait, MAX_RETRY_SHARE * time_left / 2)
        return max(SHORTEST_RETRY_AFTER, bounded * retry_spread(request_id))


def latest_useful_start(times_out_at: float, *, mean_duration: float) -> float:
    """Return the time after which it is of no use to send a request."""
    return times_out_at - NEEDED_SHARE * mean_duration
