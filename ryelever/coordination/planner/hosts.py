"""Choose hosts for a replica group within one fabric domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.placement import Group
    from .health import HostHealth
    from .orders import Orders
    from .view import PlannerView

__all__ = ["HostChoice"]


class HostChoice:
    """Hold the free hosts of one look, and take from them.

    Free is a host that the log calls unclaimed, that the list calls live, and that
    reported lately that it is in no group.  The report matters as much as the log:
    a host that was released because it seemed dead may only have been cut off.

    Parameters
    ----------
    taken : set of str
        Hosts of groups that were decided and not read back yet.
    held_since : float
        Monotonic time since which the lease is held.
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

    def can_take(self, n_hosts: int) -> bool:
        """Tell whether a domain has that many free hosts."""
        return self._best_domain(n_hosts, _no_spare) is not None

    def take(
        self, n_hosts: int, *, n_spare: Callable[[str], int] | None = None
    ) -> tuple[str, ...]:
        """Take free hosts of the domain that they fill best, or none at all.

        Parameters
        ----------
        n_spare : callable, optional
            Return how many hosts of a domain to leave.
        """
        domain = self._best_domain(n_hosts, n_spare or _no_spare)
        if domain is None:
            return ()
        return self._take_from(domain, n_hosts)

    def take_over(self, group: Group, n_hosts: int) -> tuple[str, ...]:
        """Take a group's healthy members, and spares of their domain for others.

        Nothing is taken when that does not make a group.
        """
        members = self.survivors(group)
        domain = next(map(self._view.domain_of, members), None)
        members = tuple(
            host for host in members if self._view.domain_of(host) == domain
        )[:n_hosts]
        n_missing = n_hosts - len(members)
        if not members or len(self.free_by_domain.get(domain, [])) < n_missing:
            return ()
        if not all(map(self._orders_expired, members)):
            return ()
        return members + self._take_from(domain, n_missing)

    def n_available_by_domain(self, groups: list[Group]) -> dict[str, int]:
        """Count usable hosts outside of some groups, free already or soon."""
        bound = {host for group in groups for host in group.members}
        counts: dict[str, int] = {}
        for host, listed in self._view.hosts_by_name.items():
            if host not in bound and self._is_usable(host):
                domain = listed.fabric_domain
                counts[domain] = counts.get(domain, 0) + 1
        return counts

    def must_wait_for_orders(self, group: Group) -> bool:
        """Tell whether a survivor may still obey an old order; it soon may not."""
        return not all(map(self._orders_expired, self.survivors(group)))

    def survivors(self, group: Group) -> tuple[str, ...]:
        """Return the members that report, and are neither leaving nor slow."""
        return tuple(
            host
            for host in group.members
            if self._is_usable(host) and not self._is_straggler(host)
        )

    def _best_domain(self, n_hosts: int, n_spare: Callable[[str], int]) -> str | None:
        fits = [
            domain
            for domain, hosts in sorted(self.free_by_domain.items())
            if len(hosts) >= n_hosts + n_spare(domain)
        ]
        if not fits:
            return None
        return min(fits, key=lambda domain: len(self.free_by_domain[domain]))

    def _take_from(self, domain: str, n_hosts: int) -> tuple[str, ...]:
        hosts = self.free_by_domain.get(domain, [])
        taken = tuple(hosts[:n_hosts])
        del hosts[:n_hosts]
        return taken

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
        return in_no_group and self._orders_expired(host)

    def _is_straggler(self, host: str) -> bool:
        return self._health.is_straggler(host, now=self._now)

    def _orders_expired(self, host: str) -> bool:
        return self._orders.expired(
            host, self._view, held_since=self._held_since, now=self._now
        )


def _no_spare(domain: str) -> int:
    return 0
