"""Learn from the course of attempts: crashes, refusals, lag."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ...errors import Category
from ..quarantine import is_crash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...errors import RyeleverError
    from ..actions import Target
    from ..quarantine import Quarantine, Quarantined
    from .departures import Departures
    from .retry import RetryBudget
    from .stragglers import Stragglers

__all__ = ["AttemptFeedback", "NoFeedback", "RoutingFeedback"]


class AttemptFeedback(Protocol):
    """Take what the request table sees of attempts, and judge requests by it."""

    def verdict(self, fingerprint: str, *, now: float) -> Quarantined | None:
        """Return why a request must not run, or None if it may."""

    def first_token(self, target: Target, *, seconds: float, now: float) -> None:
        """Take the time from sending to the first token."""

    def proved(self, fingerprint: str, *, now: float) -> None:
        """Take an attempt that got past the place of an earlier crash."""

    def completed(
        self,
        target: Target,
        fingerprint: str,
        *,
        between_tokens: float | None,
        now: float,
    ) -> None:
        """Take an attempt that ran to its end."""

    def failed(
        self,
        target: Target,
        error: RyeleverError,
        *,
        refused: bool,
        in_flight: Iterable[str],
        now: float,
    ) -> None:
        """Take a failed attempt.

        Parameters
        ----------
        in_flight : iterable of str
            Fingerprints of all attempts at the target, the failed one included.
        """


class NoFeedback:
    """Learn nothing; the plain policy of benchmarks and of narrow tests."""

    def verdict(self, fingerprint: str, *, now: float) -> Quarantined | None:
        """Let every request run."""
        return None

    def first_token(self, target: Target, *, seconds: float, now: float) -> None:
        """Do nothing."""

    def proved(self, fingerprint: str, *, now: float) -> None:
        """Do nothing."""

    def completed(
        self,
        target: Target,
        fingerprint: str,
        *,
        between_tokens: float | None,
        now: float,
    ) -> None:
        """Do nothing."""

    def failed(
        self,
        target: Target,
        error: RyeleverError,
        *,
        refused: bool,
        in_flight: Iterable[str],
        now: float,
    ) -> None:
        """Do nothing."""


class RoutingFeedback:
    """Hand each thing seen to those who decide by it."""

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        departures: Departures,
        stragglers: Stragglers,
        retry_budget: RetryBudget,
    ) -> None:
        self._quarantine = quarantine
        self._departures = departures
        self._stragglers = stragglers
        self._retry_budget = retry_budget

    def verdict(self, fingerprint: str, *, now: float) -> Quarantined | None:
        """Ask the quarantine."""
        return self._quarantine.verdict(fingerprint, now=now)

    def first_token(self, target: Target, *, seconds: float, now: float) -> None:
        """Compare the time with siblings'."""
        self._stragglers.first_token(target.name, seconds=seconds, now=now)

    def proved(self, fingerprint: str, *, now: float) -> None:
        """Tell the quarantine."""
        self._quarantine.proved(fingerprint, now=now)

    def completed(
        self,
        target: Target,
        fingerprint: str,
        *,
        between_tokens: float | None,
        now: float,
    ) -> None:
        """Clear the request and count the success."""
        self._quarantine.completed(fingerprint, now=now)
        self._stragglers.ended(
            target.name, failed=False, between_tokens=between_tokens, now=now
        )

    def failed(
        self,
        target: Target,
        error: RyeleverError,
        *,
        refused: bool,
        in_flight: Iterable[str],
        now: float,
    ) -> None:
        """Tell a refusal, a death and an error apart."""
        if refused:
            # A connect timeout may be a partition that only this host sees.
            connection = error.category is Category.BROKEN
            self._departures.refused(target.hosts[0], connection=connection, now=now)
            return
        self._stragglers.ended(target.name, failed=True, between_tokens=None, now=now)
        if is_crash(error, refused=refused):
            if target.fencing >= 0:
                # Its last report still calls it ready; nothing new until it is
                # asked again.  A service may have closed one connection only.
                self._departures.refused(target.hosts[0], connection=False, now=now)
            crash = f"{target.name}#{target.fencing}"
            self._quarantine.crashed(crash, in_flight, now=now)
            self._retry_budget.died(target.name, now=now)
