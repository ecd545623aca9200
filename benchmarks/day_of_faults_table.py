"""Define the faults of one day in a fleet of 50 backend servers in 3 zones.

16 hosts fail, 63 are restarted or replaced, one fabric domain is lost, and the log is
unavailable for an hour.  The faults are spread over the day, the zones and the hosts in
fixed steps, without randomness.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["DAY", "DOMAINS_BY_ZONE", "LOG_OUTAGE", "Fault", "faults_of"]

DAY = 86_400.0

#: Number of hosts of each fabric domain, by availability zone.
DOMAINS_BY_ZONE = {
    "brisbane": {"b1": 8, "b2": 9},
    "ipswich": {"i1": 8, "i2": 9},
    "toowoomba": {"t1": 8, "t2": 8},
}

#: Start and end of the log outage in seconds since midnight.
LOG_OUTAGE = (36_000.0, 39_600.0)

N_FAILED = 16
N_RESTARTED = 40
N_REPLACED = 23

#: Seconds until a failed host is replaced, a restarted process answers again, and a
#: host that left is replaced.
FAILED_FOR = 3600.0
RESTARTED_FOR = 20.0
REPLACED_FOR = 600.0

#: Seconds for which a host is listed as leaving before the host is lost.
NOTICE = 120.0

DOMAIN_LOST_AT = 50_400.0
DOMAIN_LOST_FOR = 1800.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """One fault of some hosts, with start and end in seconds since midnight.

    Attributes
    ----------
    kind : str
        ``"fails"`` (the host is silent), ``"restarts"`` (the host refuses connections,
        then runs a new process) or ``"leaves"`` (the host is listed as leaving, then
        silent, then replaced).
    """

    at: float
    kind: str
    hosts: tuple[str, ...]
    until: float


def _hosts(zone: str) -> list[str]:
    return [
        f"{domain}-{number}"
        for domain, n_hosts in DOMAINS_BY_ZONE[zone].items()
        for number in range(n_hosts)
    ]


def _spread_faults(
    kind: str, n_rows: int, phase: float, duration: float
) -> list[tuple[str, Fault]]:
    zones = list(DOMAINS_BY_ZONE)
    rows = []
    for row in range(n_rows):
        zone = zones[row % len(zones)]
        hosts = _hosts(zone)
        host = hosts[(row * 7 + int(phase)) % len(hosts)]
        at = DAY * (row + phase % 1) / n_rows
        rows.append((zone, Fault(at=at, kind=kind, hosts=(host,), until=at + duration)))
    return rows


def faults_of(zone: str) -> list[Fault]:
    """Return the faults of one zone, ordered by start."""
    rows = (
        _spread_faults("fails", N_FAILED, 3.4, FAILED_FOR)
        + _spread_faults("restarts", N_RESTARTED, 1.7, RESTARTED_FOR)
        + _spread_faults("leaves", N_REPLACED, 5.2, REPLACED_FOR)
    )
    faults = [fault for row_zone, fault in rows if row_zone == zone]
    if zone == "brisbane":
        faults.append(
            Fault(
                at=DOMAIN_LOST_AT,
                kind="fails",
                hosts=tuple(host for host in _hosts(zone) if host.startswith("b1")),
                until=DOMAIN_LOST_AT + DOMAIN_LOST_FOR,
            )
        )
    return sorted(faults, key=lambda fault: fault.at)
