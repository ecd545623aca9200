"""Convert updated table rows to deliveries under the names of their observers."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

from ...state.observations import DemandRow, Observation
from ..limits import LIVENESS_ACCOUNT
from .messages import AliveRow, Member, WithdrawnRow
from .tables import ROW_EXPIRY

if TYPE_CHECKING:
    from .tables import TableRow

__all__ = ["Delivery", "deliveries"]


#: Maximum number of entry hosts that the digest of one zone can represent.
MAX_HOSTS_PER_ZONE = 256


@dataclass(slots=True, kw_only=True, frozen=True)
class Delivery:
    """One row for the sinks; ``peer`` is its observer, not the host that sent it."""

    observation: Observation
    peer: str
    observed_at: float


def deliveries(
    member: Member, updated: list[TableRow], *, now: float
) -> list[Delivery]:
    """Return the deliveries to the sinks for updated rows of a member's table."""
    single = member.alone or not member.digest
    observer = member.host if single else f"zone/{member.availability_zone}"
    found = []
    for table_row in updated:
        row = table_row.row
        if (
            isinstance(row, AliveRow | WithdrawnRow)
            or now - table_row.observed_at > ROW_EXPIRY
        ):
            continue
        is_liveness_row = (
            isinstance(row, DemandRow) and row.client_account == LIVENESS_ACCOUNT
        )
        if is_liveness_row and not single:
            found += _split_liveness_row(
                row, observer, observed_at=table_row.observed_at
            )
            continue
        found.append(
            Delivery(observation=row, peer=observer, observed_at=table_row.observed_at)
        )
    return found


def _split_liveness_row(
    row: DemandRow, observer: str, *, observed_at: float
) -> Iterator[Delivery]:
    # The split of limits counts the hosts from which it receives rows.  If a zone's
    # digest counted as one host, then in deployments of more than MAX_FLAT hosts each
    # host would consider most hosts silent, and would share out no more than its own
    # zone's part of each limit.
    n_hosts = min(max(1, row.n_in_flight), MAX_HOSTS_PER_ZONE)
    for index in range(n_hosts):
        n_waiting = row.n_waiting // n_hosts + (index < row.n_waiting % n_hosts)
        yield Delivery(
            observation=replace(row, n_in_flight=0, n_waiting=n_waiting),
            peer=f"{observer}/{index}" if index else observer,
            observed_at=observed_at,
        )
