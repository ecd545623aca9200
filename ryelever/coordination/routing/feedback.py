"""Forward the results of attempts: crashes, refusals, failures and latencies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ...errors import Category
from ..quarantine import is_crash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ...errors import RyeleverError
    from ..actions import Target
    from ..quarantine import Quarantine, Quarantined
    from .departures import Departures
    from .retry import RetryBudget
    from .stragglers import Stragglers

__all__ = ["AttemptFeedback", "NoFeedback", "RoutingFeedback"]


class AttemptFeedback(Protocol):
    """Receive results of attempts, and decide which requests must not run."""

    def verdict(
        self, fingerprint: str, *, parts: tuple[str, ...] = (), now: float
    ) -> Quarantined | None:
        """Return why a request is quarantined, or None if it may run."""

    def first_token(self, target: Target, *, seconds: float, now: float) -> None:
        """Record the seconds from sending an attempt to its first token."""

    def proved(self, fingerprint: str, *, now: float) -> None:
        """Record that an attempt passed the position of an earlier crash."""

    def completed(
        self,
        target: Target,
        fingerprint: str,
        *,
        parts: tuple[str, ...] = (),
        between_tokens: float | None,
        now: float,
    ) -> None:
        """Record a completed attempt.

        Parameters
        ----------
        between_tokens : float or None
            Mean seconds between the tokens of a chat answer; None if this is not known,
            such as for an answer of fewer than two tokens.
        """

    def failed(
        self,
        target: Target,
        error: RyeleverError,
        *,
        refused: bool,
        in_flight: Iterable[str],
        parts_by_fingerprint: Mapping[str, tuple[str, ...]] | None = None,
        now: float,
    ) -> None:
        """Record a failed attempt.

        Parameters
        ----------
        refused : bool
            True when the backend server did not run the request.
        in_flight : iterable of str
            Fingerprints of all attempts at the target, including the failed one.
        parts_by_fingerprint : mapping of str to tuple of str or None
            Parts of their prompts that other requests may share.
        """


class NoFeedback:
    """Ignore all results and let every request run; for benchmarks and unit tests."""

    def verdict(
        self, fingerprint: str, *, parts: tuple[str, ...] = (), now: float
    ) -> Quarantined | None:
        """Return None: every request may run."""
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
        parts: tuple[str, ...] = (),
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
        parts_by_fingerprint: Mapping[str, tuple[str, ...]] | None = None,
        now: float,
    ) -> None:
        """Do nothing."""


class RoutingFeedback:
    """Pass results to the quarantine, departures, stragglers and the retry budget."""

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

    def verdict(
        self, fingerprint: str, *, parts: tuple[str, ...] = (), now: float
    ) -> Quarantined | None:
        """Return the quarantine's verdict."""
        return self._quarantine.verdict(fingerprint, parts=parts, now=now)

    def first_token(self, target: Target, *, seconds: float, now: float) -> None:
        """Record the time to the first token for the comparison with siblings."""
        self._stragglers.first_token(target.name, seconds=seconds, now=now)

    def proved(self, fingerprint: str, *, now: float) -> None:
        """Report to the quarantine that a suspect passed the position of its crash."""
        self._quarantine.proved(fingerprint, now=now)

    def completed(
        self,
        target: Target,
        fingerprint: str,
        *,
        parts: tuple[str, ...] = (),
        between_tokens: float | None,
        now: float,
    ) -> None:
        """Clear the request of suspicion and record the success of its target."""
        self._quarantine.completed(fingerprint, parts=parts, now=now)
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
        parts_by_fingerprint: Mapping[str, tuple[str, ...]] | None = None,
        now: float,
    ) -> None:
        """Record a refusal, a failure, or a failure by a crash of the target."""
        if refused:
            # A connect timeout may be due to a partition that affects only this host.
            connection = error.category is Category.BROKEN
            self._departures.refused(target.hosts[0], connection=connection, now=now)
            return
        self._stragglers.ended(target.name, failed=True, between_tokens=None, now=now)
        if is_crash(error, refused=refused):
            if target.fencing >= 0:
                # The last report of the host still says that the host is ready.  The
                # host gets no new requests until a newer report.  A plain service is
                # excluded here: it may have closed only this one connection.
                self._departures.refused(target.hosts[0], connection=False, now=now)
            crash = f"{target.name}#{target.fencing}"
            self._quarantine.crashed(
                crash, in_flight, parts_by_fingerprint=parts_by_fingerprint, now=now
            )
            self._retry_budget.record_death(target.name, now=now)
