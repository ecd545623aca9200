"""Decide when an entry host reports to the load balancer that it is ready."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ReadinessInputs", "Readiness"]

#: Maximum seconds to wait for the placement and for reports once the configuration and
#: the list of hosts are known.  A host that starts while the log is unreachable then
#: serves the requests that it can.
INPUTS_TIMEOUT = 10.0


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadinessInputs:
    """The knowledge of an entry host about the fleet at a given time.

    Attributes
    ----------
    has_configuration : bool
        True if a configuration is in force at this host.
    has_hosts : bool
        True if the platform's list of hosts was read.
    has_placement : bool
        True if the placement stream of the host's zone was read to its end.
    n_unreported : int
        Number of live engines in the host's zone that neither reported nor failed to
        answer.
    """

    has_configuration: bool
    has_hosts: bool
    has_placement: bool
    n_unreported: int


class Readiness:
    """Track whether an entry host knows enough to serve; once ready it stays ready.

    A host that reported ready with its configuration alone would receive requests
    before it had confirmed any group, and refuse them while other entry hosts could
    have served them.  The operator would see refusals right after each replacement of
    an entry host.
    """

    def __init__(self) -> None:
        self._ready = False
        self._waiting_since: float | None = None

    def update(self, inputs: ReadinessInputs, *, now: float) -> bool:
        """Update the state and return whether this host is ready.

        A host that was ready once stays ready: knowledge that is lost later may be
        lost at all hosts, and a load balancer without a ready host serves nothing.
        """
        if self._ready:
            return True
        if not (inputs.has_configuration and inputs.has_hosts):
            return False
        if self._waiting_since is None:
            self._waiting_since = now
        knows_fleet = inputs.has_placement and not inputs.n_unreported
        has_timed_out = now - self._waiting_since >= INPUTS_TIMEOUT
        self._ready = knows_fleet or has_timed_out
        return self._ready
