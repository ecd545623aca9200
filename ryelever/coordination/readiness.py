"""Decide when an entry host may tell the balancer that it is ready."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ReadinessInputs", "Readiness"]

#: Seconds, from the first look that finds configuration and list, for which placement
#: and reports are waited for.  A host that starts while the log is away then serves
#: what it can.
KNOWLEDGE_TIMEOUT = 10.0


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadinessInputs:
    """Hold what an entry host knows of the fleet at a time.

    Attributes
    ----------
    has_configuration : bool
        A configuration is in force here.
    has_hosts : bool
        The platform's list was read.
    has_placement : bool
        The own zone's placement was read to its end.
    n_unreported : int
        Live engines of the own zone that neither reported nor failed to answer.
    """

    has_configuration: bool
    has_hosts: bool
    has_placement: bool
    n_unreported: int


class Readiness:
    """Become ready once enough is known to serve, and stay so.

    A host that called itself ready with its configuration alone was sent requests
    before it had confirmed any group, and refused them while other entry hosts could
    have served.  The operator would see refusals right after each replacement.
    """

    def __init__(self) -> None:
        self._ready = False
        self._listed_at: float | None = None

    def look(self, inputs: ReadinessInputs, *, now: float) -> bool:
        """Tell whether this host is ready, at a monotonic time.

        Once ready it stays so: a gap in knowledge later on may be everybody's, and
        a balancer without any ready host serves nothing.
        """
        if self._ready:
            return True
        if not (inputs.has_configuration and inputs.has_hosts):
            return False
        if self._listed_at is None:
            self._listed_at = now
        knows_fleet = inputs.has_placement and not inputs.n_unreported
        waited = now - self._listed_at >= KNOWLEDGE_TIMEOUT
        self._ready = knows_fleet or waited
        return self._ready
