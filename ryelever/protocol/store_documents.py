"""Describe what entry hosts find in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from expression import Result

    from ..coordination.groups import GroupOrder, GroupRecord, OrderOutcome
    from ..coordination.host_heartbeats import HostAddress
    from ..errors import RyeleverError
    from ..state.directory import BackendServer
    from ..state.routes import RouteTable
    from .keyed_log import LogCall

__all__ = ["GroupInterface", "StoreDocuments"]


class StoreDocuments(Protocol):
    """Name the topics of the store and read and write their records."""

    operator_topic: str
    configuration_key: str
    servers_topic: str
    hosts_topic: str
    groups_topic: str

    def configuration(
        self, data: bytes, *, peer: str
    ) -> Result[RouteTable, RyeleverError]:
        """Read the operator's configuration."""

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a key of the operator's topic asks to evacuate."""

    def server(
        self, server_id: str, data: bytes, *, peer: str
    ) -> Result[BackendServer, RyeleverError]:
        """Read what a backend server has written of itself."""

    def reported(
        self, data: bytes, report: bytes, *, peer: str
    ) -> Result[bytes, RyeleverError]:
        """Return a backend server's record with what it says when it is asked."""

    def host(self, name: str, data: bytes) -> HostAddress | None:
        """Read an entry host's address; None where the record is dropped."""

    def host_record(self, *, address: str, zone: str) -> bytes:
        """Write this host's address."""

    def group(self, name: str, data: bytes) -> GroupRecord | None:
        """Read a group; None where the record is dropped or can't be read."""

    def group_record(self, record: GroupRecord) -> bytes:
        """Write a group."""


class GroupInterface(Protocol):
    """Give orders to backend servers that make up groups."""

    def order(self, order: GroupOrder) -> LogCall:
        """Write an order."""

    def order_headers(self, order: GroupOrder) -> tuple[tuple[str, str], ...]:
        """Return the headers of an order."""

    def outcome(self, order: GroupOrder, status: int, body: bytes) -> OrderOutcome:
        """Read the answer to an order."""
