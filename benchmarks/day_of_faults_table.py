"""Write down the faults of one day, today's size: 50 workers in 3 zones.

16 hosts fail, 63 are restarted or replaced, one fabric domain is lost, the log is
away for an hour.  The rows are spread over the day, zones and hosts by fixed steps;
nothing is random.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["DAY", "DOMAINS_BY_ZONE", "LOG_OUTAGE", "Fault", "faults_of"]

DAY = 86_400.0

#: Hosts by fabric domain, by availability zone.
DOMAINS_BY_ZONE = {
    "brisbane": {"b1": 8, "b2": 9},
    "ipswich": {"i1": 8, "i2": 9},
    "toowoomba": {"t1": 8, "t2": 8},
}

#: Seconds since midnight between which the log is away.
LOG_OUTAGE = (36_000.0, 39_600.0)

N_FAILED = 16
N_RESTARTED = 40
N_REPLACED = 23

#: Seconds until the platform has replaced a failed host, a process is back, and a
#: host that left is replaced.
FAILED_FOR = 3600.0
RESTARTED_FOR = 20.0
REPLACED_FOR = 600.0

#: Seconds for which a host is listed as leaving before it goes.
NOTICE = 120.0

DOMAIN_LOST_AT = 50_400.0
DOMAIN_LOST_FOR = 1800.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """Hold one row: what happens to which hosts, and until when.

    Attributes
    ----------
    kind : str
        ``"fails"`` (silent), ``"restarts"`` (its process refuses, then is new) or
        ``"leaves"`` (listed as leaving, then silent, then new).
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


def _rows(
    kind: str, n_rows: int, phase: float, lasts: float
) -> list[tuple[str, Fault]]:
    zones = list(DOMAINS_BY_ZONE)
    rows = []
    for row in range(n_rows):
        zone = zones[row % len(zones)]
        hosts = _hosts(zone)
        host = hosts[(row * 7 + int(phase)) % len(hosts)]
        at = DAY * (row + phase % 1) / n_rows
        rows.append((zone, Fault(at=at, kind=kind, hosts=(host,), until=at + lasts)))
    return rows


def faults_of(zone: str) -> list[Fault]:
    """Return the faults of one zone in the order of their times."""
    rows = (
        _rows("fails", N_FAILED, 3.4, FAILED_FOR)
        + _rows("restarts", N_RESTARTED, 1.7, RESTARTED_FOR)
        + _rows("leaves", N_REPLACED, 5.2, REPLACED_FOR)
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
