"""Define interfaces for the records in the platform's store and for group orders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from expression import Result

    from ..coordination.groups import GroupOrder, GroupRecord, OrderOutcome
    from ..coordination.host_heartbeats import HostAddress
    from ..errors import RyeleverError
    from ..state.directory import BackendServer
    from ..state.routes import RouteTable
    from .keyed_log import HttpRequest

__all__ = ["GroupInterface", "StoreDocuments"]


class StoreDocuments(Protocol):
    """Names of the store's topics, and encoding and decoding of their records."""

    operator_topic: str
    configuration_key: str
    servers_topic: str
    hosts_topic: str
    groups_topic: str

    def configuration(
        self, data: bytes, *, peer: str
    ) -> Result[RouteTable, RyeleverError]:
        """Decode the operator's configuration."""

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone whose evacuation a key of the operator's topic requests.

        Returns None for other keys.
        """

    def server(
        self, server_id: str, data: bytes, *, peer: str
    ) -> Result[BackendServer, RyeleverError]:
        """Decode the record that a backend server has written about itself."""

    def reported(
        self, data: bytes, report: bytes, *, peer: str
    ) -> Result[bytes, RyeleverError]:
        """Return a backend server's record, updated from the server's own report.

        Parameters
        ----------
        data : bytes
            The server's record in the store.
        report : bytes
            The server's answer to a request for its report.
        """

    def host(self, name: str, data: bytes) -> HostAddress | None:
        """Decode a host's address; return None for a deleted or invalid record."""

    def host_record(self, *, address: str, zone: str) -> bytes:
        """Encode this host's address."""

    def group(self, name: str, data: bytes) -> GroupRecord | None:
        """Decode a group; return None for a deleted or invalid record."""

    def group_record(self, record: GroupRecord) -> bytes:
        """Encode a group."""


class GroupInterface(Protocol):
    """Encode orders to the backend servers of a group and decode their answers."""

    def order(self, order: GroupOrder) -> HttpRequest:
        """Return the HTTP request that sends an order."""

    def order_headers(self, order: GroupOrder) -> tuple[tuple[str, str], ...]:
        """Return the headers of an order's request."""

    def outcome(self, order: GroupOrder, status: int, body: bytes) -> OrderOutcome:
        """Return the outcome of an order, given the server's answer."""
