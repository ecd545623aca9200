"""Allocate the hosts of a replica group within one fabric domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.placement import Group
    from .health import HostHealth
    from .orders import Orders
    from .view import PlannerView

__all__ = ["HostAllocator"]


class HostAllocator:
    """Allocate hosts that are free in one planning pass.

    A host is free if no group in the log and no pending group claims it, if it is live
    in the hosts list, if its fresh report shows that it is in no group, and if no
    earlier order to join can still take effect.  The report is as necessary as the log:
    a host that was released as dead may only have been cut off.

    Parameters
    ----------
    taken : set of str
        Hosts of groups whose append was not read back yet.
    held_since : float
        Monotonic time at which this planner first saw its current lease tenure.
    """

    def __init__(
        self,
        *,
        view: PlannerView,
        health: HostHealth,
        orders: Orders,
        taken: set[str],
        held_since: float,
        now: float,
    ) -> None:
        self._view = view
        self._health = health
        self._orders = orders
        self._held_since = held_since
        self._now = now
        self.free_by_domain: dict[str, list[str]] = {}
        for host, listed in sorted(view.hosts_by_name.items()):
            if host not in taken and self._is_free(host):
                self.free_by_domain.setdefault(listed.fabric_domain, []).append(host)
        for hosts in self.free_by_domain.values():
            hosts.sort(key=self._is_straggler)

    def can_allocate(self, n_hosts: int) -> bool:
        """Return whether one fabric domain has this many free hosts."""
        return self._best_domain(n_hosts, _no_reserve) is not None

    def allocate(
        self, n_hosts: int, *, n_spare: Callable[[str], int] | None = None
    ) -> tuple[str, ...]:
        """Allocate free hosts of one domain.

        Among the domains with enough free hosts, the one with the fewest is chosen.
        The result is empty when no domain has enough.

        Parameters
        ----------
        n_spare : callable, optional
            Return the number of free hosts that must remain in a domain.
        """
        domain = self._best_domain(n_hosts, n_spare or _no_reserve)
        if domain is None:
            return ()
        return self._allocate_from(domain, n_hosts)

    def allocate_successor(self, group: Group, n_hosts: int) -> tuple[str, ...]:
        """Allocate a group's healthy members and spare hosts of the same domain.

        The result is empty, and no host is allocated, when these hosts do not make
        up a complete group.
        """
        members = self.survivors(group)
        domain = next(map(self._view.domain_of, members), None)
        members = tuple(
            host for host in members if self._view.domain_of(host) == domain
        )[:n_hosts]
        n_missing = n_hosts - len(members)
        if not members or len(self.free_by_domain.get(domain, [])) < n_missing:
            return ()
        if not all(map(self._joins_expired, members)):
            return ()
        return members + self._allocate_from(domain, n_missing)

    def n_available_by_domain(self, groups: list[Group]) -> dict[str, int]:
        """Count the usable hosts outside the given groups, by fabric domain.

        These hosts are free or will be free soon.
        """
        claimed = {host for group in groups for host in group.members}
        counts: dict[str, int] = {}
        for host, listed in self._view.hosts_by_name.items():
            if host not in claimed and self._is_usable(host):
                domain = listed.fabric_domain
                counts[domain] = counts.get(domain, 0) + 1
        return counts

    def has_outstanding_orders(self, group: Group) -> bool:
        """Return whether a surviving member may still obey an earlier order to join.

        Such orders expire within seconds.
        """
        return not all(map(self._joins_expired, self.survivors(group)))

    def survivors(self, group: Group) -> tuple[str, ...]:
        """Return the members with fresh reports that are neither leaving nor slow."""
        return tuple(
            host
            for host in group.members
            if self._is_usable(host) and not self._is_straggler(host)
        )

    def _best_domain(self, n_hosts: int, n_spare: Callable[[str], int]) -> str | None:
        fitting_domains = [
            domain
            for domain, hosts in sorted(self.free_by_domain.items())
            if len(hosts) >= n_hosts + n_spare(domain)
        ]
        if not fitting_domains:
            return None
        return min(fitting_domains, key=lambda domain: len(self.free_by_domain[domain]))

    def _allocate_from(self, domain: str, n_hosts: int) -> tuple[str, ...]:
        hosts = self.free_by_domain.get(domain, [])
        allocated = tuple(hosts[:n_hosts])
        del hosts[:n_hosts]
        return allocated

    def _is_usable(self, host: str) -> bool:
        listed = self._view.hosts_by_name.get(host)
        report = self._view.confirmations.fresh(host, now=self._now)
        return (
            listed is not None
            and listed.state == "live"
            and report is not None
            and report.state != "leaving"
        )

    def _is_free(self, host: str) -> bool:
        if host in self._view.placement.group_by_host or not self._is_usable(host):
            return False
        report = self._view.confirmations.fresh(host, now=self._now)
        in_no_group = report.state == "idle" and not report.group
        return in_no_group and self._joins_expired(host)

    def _is_straggler(self, host: str) -> bool:
        return self._health.is_straggler(host, now=self._now)

    def _joins_expired(self, host: str) -> bool:
        return self._orders.joins_expired(
            host, self._view, held_since=self._held_since, now=self._now
        )


def _no_reserve(domain: str) -> int:
    return 0
