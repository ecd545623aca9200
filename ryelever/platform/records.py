"""Read and write the records of the store's topics."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ..coordination.groups import GroupRecord, Member
from ..coordination.host_heartbeats import HostAddress
from ..logs import log_warning
from ..protocol.json_codec import decode, encode
from . import wire_names
from .documents import merge_report, read_configuration, read_server

if TYPE_CHECKING:
    from expression import Result

    from ..errors import RyeleverError
    from ..state.directory import BackendServer
    from ..state.routes import RouteTable

__all__ = ["PlatformRecords"]


class _Host(msgspec.Struct):
    address: str
    zone: str


class _Group(msgspec.Struct):
    service: str
    model: str
    zone: str
    # Id and address of each member, the head first.
    members: list[tuple[str, str]]
    epoch: int
    # True if the group only warms up and never opens.
    warms_up: bool = False


class PlatformRecords:
    """``StoreDocuments`` of the platform, which reads and writes records."""

    operator_topic = wire_names.OPERATOR_TOPIC
    configuration_key = wire_names.CONFIGURATION_KEY
    servers_topic = wire_names.SERVERS_TOPIC
    hosts_topic = wire_names.HOSTS_TOPIC
    groups_topic = wire_names.GROUPS_TOPIC

    def configuration(
        self, data: bytes, *, peer: str
    ) -> Result[RouteTable, RyeleverError]:
        """Read the operator's configuration."""
        return read_configuration(data, peer=peer)

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a key of the operator's topic evacuates, or None."""
        if not key.startswith(wire_names.EVACUATION_KEY):
            return None
        return key.removeprefix(wire_names.EVACUATION_KEY)

    def server(
        self, server_id: str, data: bytes, *, peer: str
    ) -> Result[BackendServer, RyeleverError]:
        """Read a backend server's record."""
        return read_server(server_id, data, peer=peer)

    def reported(
        self, data: bytes, report: bytes, *, peer: str
    ) -> Result[bytes, RyeleverError]:
        """Return a backend server's record, updated with the fields of its report."""
        return merge_report(data, report, peer=peer)

    def host(self, name: str, data: bytes) -> HostAddress | None:
        """Read an entry host's address; None if the record is deleted or unreadable."""
        found = self._decode_record(data, _Host, step="read_host", peer=name)
        if found is None:
            return None
        return HostAddress(
            host=name, address=found.address, availability_zone=found.zone
        )

    def host_record(self, *, address: str, zone: str) -> bytes:
        """Return the record with this host's address."""
        return encode(_Host(address=address, zone=zone))

    def group(self, name: str, data: bytes) -> GroupRecord | None:
        """Read a group; None if the record is deleted or unreadable."""
        found = self._decode_record(data, _Group, step="read_group", peer=name)
        if found is None or not found.members:
            return None
        return GroupRecord(
            name=name,
            epoch=found.epoch,
            service=found.service,
            model=found.model,
            availability_zone=found.zone,
            members=tuple(
                Member(server_id=server_id, address=address)
                for server_id, address in found.members
            ),
            warms_up=found.warms_up,
        )

    def group_record(self, record: GroupRecord) -> bytes:
        """Return the record of a group."""
        members = [(member.server_id, member.address) for member in record.members]
        return encode(
            _Group(
                service=record.service,
                model=record.model,
                zone=record.availability_zone,
                members=members,
                epoch=record.epoch,
                warms_up=record.warms_up,
            )
        )

    def _decode_record(
        self, data: bytes, type_: type, *, step: str, peer: str
    ) -> object:
        if not data:
            return None
        read = decode(data, type_, step=step, peer=peer)
        if read.is_error():
            log_warning("record_unreadable", step=step, peer=peer, why=str(read.error))
            return None
        return read.ok
