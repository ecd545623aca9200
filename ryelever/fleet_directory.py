"""Track configuration, backend servers and entry hosts as recorded in the store."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .coordination.change_history import ChangeHistory
from .coordination.evacuations import OperatorPosition
from .coordination.removals import Removals
from .coordination.renewals import MAX_RENEWAL_WAIT, Renewals
from .coordination.reported_records import ReportedRecords
from .coordination.server_reading import ServerReading
from .coordination.superseded_records import SupersededRecords
from .coordination.topic import BUSY_WAIT, TopicFollower
from .events import (
    directory_changed,
    server_updates,
)
from .host_fetch import HostFetch
from .logs import log_event, log_warning
from .state.keyed_record import KeyedRecord, ServerUpdates

if TYPE_CHECKING:
    from .coordination.evacuations import Evacuations
    from .coordination.host_heartbeats import HostHeartbeat, HostHeartbeats
    from .coordination.topic import TopicUpdates
    from .protocol.keyed_log import KeyedLogInterface
    from .protocol.store_documents import StoreDocuments
    from .relay_settings import RelaySettings
    from .state.directory import BackendServer, Directory
    from .state.routes import RouteTable
    from .store_client import StoreAnswer, StoreClient

__all__ = ["FleetDirectory"]

#: Minimum seconds between two reads of the backend servers' records.  Fifty servers
#: write forty records a second, and one read for each record would cost ten times as
#: much.  A server's departure must be known within two seconds.
MIN_SERVERS_READ_INTERVAL = 0.3

#: Minimum number of record renewals that a server has missed when its record expires.
#: The store waits for three; half an interval is allowed for the store's clock and
#: for the time in which the last renewal was on its way.
MIN_MISSED_RENEWALS = 2.5

#: Seconds without an answered read of the backend servers' records, by this host or
#: by a host that forwards them, after which servers' own reports take precedence over
#: the list.  Reads are answered within 0.2 s, so before this time has passed the list
#: is newer than a report, which is some tenths of a second old.
LIST_STALE_AFTER = 1.0

#: Minimum seconds between two reads of the entry hosts' records.  When all hosts start
#: together they write their records within half a second, and one read for each
#: record would make the number of reads grow with the square of the hosts.
MIN_HOSTS_READ_INTERVAL = 0.3

#: Largest configuration in bytes that hosts of a zone fetch from each other rather
#: than from the store.  Thirty hosts request it at once, and the half megabyte that
#: they receive takes 0.2 s of a link of 20 Mbit/s.
MAX_FETCHED_CONFIGURATION = 16 << 10

#: Maximum number of unreadable records that are remembered as already logged.  Without
#: a bound, a writer of arbitrary keys could exhaust the memory.
MAX_REMEMBERED_UNREADABLE = 1000

#: Maximum number of simultaneous server changes that are logged one line each; more
#: are summarized in one line.  While the groups of a large fleet form, logging each
#: change on all hosts would cost as much as applying the changes.
MAX_LOGGED_CHANGES = 50

#: Seconds after which this host writes its address again if the store hasn't answered.
ANNOUNCE_RETRY_INTERVAL = 1.0


class FleetDirectory(BaseComponent):
    """Follow the store's topics and apply their records to this host's state.

    Parameters
    ----------
    own_address : str
        Address at which other entry hosts reach this host.

    Attributes
    ----------
    route_table : RouteTable or None
        The newest configuration that this process has seen.
    """

    channel = "directory"

    def __init__(
        self,
        *,
        settings: RelaySettings,
        log: KeyedLogInterface,
        documents: StoreDocuments,
        store: StoreClient,
        directory: Directory,
        heartbeats: HostHeartbeats,
        evacuations: Evacuations,
        own_address: str,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._log = log
        self._documents = documents
        self._store = store
        self._directory = directory
        self._heartbeats = heartbeats
        self._evacuations = evacuations
        self._own_address = own_address
        self._removals = Removals(renewal_interval=settings.heartbeat_interval)
        self.route_table: RouteTable | None = None
        self.configuration = TopicFollower(log=log, topic=documents.operator_topic)
        self.servers = TopicFollower(
            log=log,
            topic=documents.servers_topic,
            interval=MIN_SERVERS_READ_INTERVAL,
            wait=BUSY_WAIT,
        )
        self.hosts = TopicFollower(
            log=log, topic=documents.hosts_topic, interval=MIN_HOSTS_READ_INTERVAL
        )
        self._document = b""
        self._in_force_since: float | None = None
        self._data_by_server: dict[str, bytes] = {}
        self._superseded = SupersededRecords()
        self._reported = ReportedRecords()
        self._unreadable: set[str] = set()
        self._history = ChangeHistory()
        self._reading = ServerReading(
            host=settings.host,
            zone=settings.availability_zone,
            heartbeats=heartbeats,
            servers=self.servers,
            hosts=self.hosts,
            started_at=time.monotonic(),
        )
        self.fetch = HostFetch(
            heartbeats=heartbeats,
            on_configuration=self.apply_configuration,
            on_servers=self._apply_fetched_servers,
            on_changes=self._apply_fetched_changes,
        ).register(self)
        self._announced_at = float("-inf")
        self._acknowledged_at: float | None = None
        # Servers whose records in the store's older copy are older than this host's.
        self._newer_than_copy: set[str] = set()
        self._renewals = Renewals()

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        self._reading.defer_listings()
        self._store.follow(self.configuration, self._apply_operator_updates)
        self._store.follow(self.servers, self._apply_server_updates)
        self._store.follow(self.hosts, self._apply_host_updates)
        self._announced_at = time.monotonic()
        self._announce_address()

    @handler("control_tick")
    def _on_tick(self) -> None:
        now = time.monotonic()
        self._record_reads()
        self._suspend_or_read(now=now)
        for server_id in self._removals.due(now=now):
            self._remove(server_id, now=now)
        held_back = [
            record
            for record in self._reported.due(now=now)
            if record.key in self._data_by_server
        ]
        self._apply_records(held_back, now=now)
        self._request_missed_changes(now=now)
        self._update_listing_schedule(now=now)
        if not self.servers.is_current:
            if self.servers.defers_listing:
                self.fetch.request_servers_from_provider(now=now)
            if self.list_is_stale():
                self.fetch.request_servers_from_any_host(now=now)
        unannounced = self._acknowledged_at is None
        if unannounced and now - self._announced_at > ANNOUNCE_RETRY_INTERVAL:
            self._announced_at = now
            self._announce_address()

    def _update_listing_schedule(self, *, now: float) -> None:
        """Allow this host to list the backend servers when its scheduled time comes."""
        self._reading.update_listings(acknowledged_at=self._acknowledged_at, now=now)

    @handler("store_returned")
    def _on_store_returned(self) -> None:
        """Restart the listings after the store returned from an older copy.

        The topics of the configuration and of the hosts are listed again only if their
        reading is not suspended.

        The copy may show a member of a serving group as free, and a planner would
        assign that member to another group.  Listed records of servers that this host
        knows are therefore ignored until the servers renew them.
        """
        self._newer_than_copy |= self._data_by_server.keys()
        self.servers.restart_listing()
        if not self.configuration.suspended:
            self.configuration.restart_listing()
        if not self.hosts.suspended:
            self.hosts.restart_listing()
        # The store may have lost this host's address.
        self._acknowledged_at = None
        self._announced_at = float("-inf")

    def _suspend_or_read(self, *, now: float) -> None:
        """Suspend reading while other hosts of the zone read, or resume it.

        The topics of configuration and hosts, which change rarely, are read by a few
        hosts of the zone only.  Other hosts discover a starting host by its
        heartbeats.  Two hosts that start at once must discover each other, so each
        keeps reading the hosts' topic until it has made a read after its own record
        was acknowledged.
        """
        is_reachable = self._store.is_reachable
        reads = self._heartbeats.reads_for_zone(reads_store=is_reachable, now=now)
        self.configuration.suspended = not reads and self.route_table is not None
        acknowledged_at = self._acknowledged_at
        knows_all = (
            acknowledged_at is not None and self.hosts.asked_at > acknowledged_at
        )
        self.hosts.suspended = not reads and knows_all
        self._reading.suspend_or_read(
            reads=reads,
            is_reachable=is_reachable,
            last_update_at=self._store.forwarded_at,
            read_at=self._read_at,
            now=now,
        )

    def _record_reads(self) -> None:
        self._removals.record_reads(
            answered_at=self._read_at,
            failed_at=max(self.servers.failed_at, self._reading.silent_at),
        )
        self._removals.record_return(self._store.returned_at)

    @property
    def _read_at(self) -> float:
        """Return when this host last read the server records or received them."""
        return max(self.servers.answered_at, self._store.forwarded_at)

    # Configuration

    def _apply_operator_updates(self, updates: TopicUpdates) -> None:
        for record in updates.records:
            if record.key == self._documents.configuration_key and record.value:
                self.apply_configuration(record.value, self._settings.store_address)
        follower = self.configuration
        if updates.complete:
            zones = [
                self._documents.evacuated_zone(item.key) for item in updates.records
            ]
            as_of = OperatorPosition(follower.era, follower.offset)
            self._evacuations.apply_listing(filter(None, zones), as_of=as_of)
            return
        for record in updates.records:
            self._apply_evacuation_record(record)

    def _apply_evacuation_record(self, record: KeyedRecord) -> None:
        """Apply a new record of the operator's topic if it concerns an evacuation."""
        zone = self._documents.evacuated_zone(record.key)
        as_of = OperatorPosition(self.configuration.era, record.offset + 1)
        if zone is None or as_of <= self._evacuations.as_of:
            return
        if record.value:
            self._evacuations.start(zone, as_of=as_of)
        else:
            self._evacuations.end(zone, as_of=as_of)

    def apply_configuration(self, data: bytes, peer: str) -> None:
        """Apply a configuration unless the version in force is the same or newer."""
        read = self._documents.configuration(data, peer=peer)
        if read.is_error():
            log_warning(
                "configuration_unreadable", peer=peer, message=read.error.message
            )
            return
        route_table = read.ok
        if (
            self.route_table is not None
            and route_table.version <= self.route_table.version
        ):
            return
        self.route_table = route_table
        self._document = data
        self._in_force_since = time.monotonic()
        self.fetch.caught_up()
        log_event("configuration_in_force", version=route_table.version, peer=peer)
        self.fire(directory_changed(), "relay")

    @property
    def version(self) -> int:
        """Return the configuration version in force, or -1 before there is one."""
        return -1 if self.route_table is None else self.route_table.version

    def configuration_age(self) -> float:
        """Return the seconds since the configuration in force was applied, or -1."""
        if self._in_force_since is None:
            return -1.0
        return time.monotonic() - self._in_force_since

    def document(self) -> bytes:
        """Return the configuration in force, encoded as in the store."""
        return self._document

    def check_peer_version(self, heartbeat: HostHeartbeat, *, now: float) -> None:
        """Fetch the configuration if another entry host has a newer version in force.

        A newer version binds all hosts, but the store may refuse this host's reads, or
        a read may hang on a silent connection.  The host therefore reads the store
        again at once.  The exception is a host whose reading is suspended, if the
        configuration has at most ``MAX_FETCHED_CONFIGURATION`` bytes: this host
        requests the configuration from the other host if both are of the same zone,
        and waits otherwise.  A host that has lacked the newer version for more than
        ``FALLBACK_DELAY`` (in host_fetch) always reads the store and also requests the
        configuration from the other host, of any zone.
        """
        if heartbeat.configuration_version <= self.version:
            return
        overdue = self.fetch.record_behind(now=now)
        in_same_zone = heartbeat.availability_zone == self._settings.availability_zone
        is_small = heartbeat.configuration_size <= MAX_FETCHED_CONFIGURATION
        if overdue or not (self.configuration.suspended and is_small):
            self.configuration.reread(now=now)
        if overdue or (self.configuration.suspended and is_small and in_same_zone):
            self.fetch.request_configuration(heartbeat.host, now=now)

    def _apply_fetched_servers(self, fetched: ServerUpdates, peer: str) -> None:
        """Apply another host's server records, unless a complete list is known."""
        if self.servers.is_current:
            return
        now = time.monotonic()
        self.servers.take_over(end=fetched.end, era=fetched.era, now=now)
        log_event("servers_given", peer=peer, n=len(fetched.records))
        self._await_renewals(fetched.records, now=now)
        if fetched.reported:
            self._apply_reported(fetched.records, now=now)
        else:
            self._apply_records(fetched.records, now=now)

    def all_servers(self) -> ServerUpdates | None:
        """Return the records of all backend servers, or None before they are known."""
        if not self.servers.is_current:
            return None
        return ServerUpdates(
            reader=self._settings.host,
            start=0,
            end=self.servers.offset,
            era=self.servers.era,
            # Some records may be servers' own reports from while the list was stale.
            reported=self.list_is_stale() or not self._reported.is_empty,
            records=[
                KeyedRecord(key=server_id, value=data, offset=0)
                for server_id, data in self._data_by_server.items()
            ],
        )

    # Backend servers

    def _apply_server_updates(self, updates: TopicUpdates) -> None:
        now = time.monotonic()
        self._record_reads()
        if updates.complete:
            self._await_renewals(updates.records, now=now)
            changed = self._apply_store_records(
                self._trusted_records(updates.records, now=now), now=now
            )
        else:
            changed = self._apply_listed(updates.records, now=now)
        if updates.start >= 0:
            forwarded = ServerUpdates(
                reader=self._settings.host,
                start=updates.start,
                end=self.servers.offset,
                era=self.servers.era,
                # After the store's return, all records are forwarded, as a host that
                # started since may have listed the older copy.
                records=updates.records if self._has_returned(now=now) else changed,
            )
            self._history.add(
                forwarded.records,
                start=updates.start,
                end=forwarded.end,
                era=forwarded.era,
            )
            self._reading.caught_up()
            self.fire(server_updates(forwarded), "exchange")
        if updates.complete:
            self._superseded.record_listing(updates.records, end=self.servers.offset)
            listed = {record.key for record in updates.records}
            for server_id in set(self._directory.by_id) - listed:
                self._removals.add(server_id, now=now)
        for server_id in self._removals.due(now=now):
            self._remove(server_id, now=now)

    def _await_renewals(self, records: list[KeyedRecord], *, now: float) -> None:
        """Await renewals of the first known records if the store may have returned."""
        era = self._store.era
        if era > 1 or (era and not self._settings.first_start):
            self._renewals.begin((record.key for record in records), now=now)

    def may_be_outdated(self, *, now: float) -> bool:
        """Return whether the known records may be from an older copy of the store."""
        return self._renewals.are_awaited(now=now)

    def _has_returned(self, *, now: float) -> bool:
        """Return whether the store recently returned from an older copy."""
        return now - self._store.returned_at < MAX_RENEWAL_WAIT

    def _trusted_records(
        self, records: list[KeyedRecord], *, now: float
    ) -> list[KeyedRecord]:
        """Return the listed records that this host can trust.

        Shortly after the store's return from an older copy, no listed record is
        trusted: a record may be older than this host's, and a server that this host
        doesn't know may be gone since the copy was made.  Later, only the records of
        servers that this host knew at the store's return and that haven't renewed them
        since are left out.  A host that knows no servers has no better source and
        trusts the copy.
        """
        if self._has_returned(now=now) and self._data_by_server:
            return []
        return [item for item in records if item.key not in self._newer_than_copy]

    @handler("server_updates")
    def _on_forwarded_updates(self, updates: ServerUpdates) -> None:
        """Apply records that another host has read, or request missed ones first."""
        now = time.monotonic()
        if updates.reported:
            if self.list_is_stale():
                self._apply_reported(updates.records, now=now)
            return
        self._store.record_era(updates.era, peer=updates.reader, now=now)
        if self.servers.is_behind(updates):
            self._reading.record_missed(updates, now=now)
            self._store.record_peer_update(now=now)
            self._request_missed_changes(now=now)
            return
        reader_continues = updates.reader < self._settings.host
        if self._apply_consecutive(updates, reader_continues=reader_continues, now=now):
            self._reading.caught_up()
            self._store.record_peer_update(now=now)

    def _apply_consecutive(
        self, updates: ServerUpdates, *, reader_continues: bool, now: float
    ) -> bool:
        """Apply another host's records if they continue from this host's position.

        Parameters
        ----------
        reader_continues : bool
            Whether this host leaves the reading to the other host for a while.

        Returns
        -------
        bool
            Whether the records were applied.
        """
        former_offset = self.servers.offset
        follows = self.servers.advance(
            start=updates.start,
            end=updates.end,
            era=updates.era,
            reader_continues=reader_continues,
            now=now,
        )
        if not follows:
            return False
        records = [
            record for record in updates.records if record.offset >= former_offset
        ]
        self._history.add(
            records, start=former_offset, end=updates.end, era=updates.era
        )
        self._apply_listed(records, now=now)
        return True

    def _request_missed_changes(self, *, now: float) -> None:
        provider = self._reading.provider(now=now)
        if provider is not None:
            self.fetch.request_changes(
                self.servers.offset, era=self.servers.era, provider=provider, now=now
            )

    def _apply_fetched_changes(self, updates: ServerUpdates) -> None:
        """Apply missed changes that another host has provided."""
        now = time.monotonic()
        self._store.record_era(updates.era, peer=updates.reader, now=now)
        former_offset = self.servers.offset
        self._apply_consecutive(updates, reader_continues=False, now=now)
        if self.servers.offset > former_offset:
            self._reading.caught_up()

    def changes_since(self, offset: int, era: int) -> ServerUpdates | None:
        """Return the backend servers' changes since an offset, or None if unknown.

        None is returned as well if this host's history ends at the offset.
        """
        records = self._history.since(offset, era=era)
        if records is None or offset == self._history.end:
            return None
        return ServerUpdates(
            reader=self._settings.host,
            start=offset,
            end=self._history.end,
            era=era,
            records=records,
        )

    def list_is_stale(self) -> bool:
        """Return whether no read of the server records was answered for a while.

        Records that another host has read and forwarded count as well.
        """
        return time.monotonic() - self._read_at > LIST_STALE_AFTER

    @handler("server_reported")
    def _on_reported(self, server_id: str, report: bytes) -> None:
        """Apply a server's own report while the list of servers is stale."""
        known = self._data_by_server.get(server_id)
        if known is None or not self.list_is_stale():
            return
        merged = self._documents.reported(known, report, peer=server_id)
        if merged.is_error():
            log_warning(
                "report_unreadable", server=server_id, message=merged.error.message
            )
            return
        record = KeyedRecord(key=server_id, value=merged.ok, offset=0)
        if self._apply_reported([record], now=time.monotonic()):
            updates = ServerUpdates(
                reader=self._settings.host,
                start=0,
                end=0,
                records=[record],
                reported=True,
            )
            self.fire(server_updates(updates), "exchange")

    def _apply_reported(
        self, records: list[KeyedRecord], *, now: float
    ) -> list[KeyedRecord]:
        """Apply servers' own reports, which take precedence over the list for a while.

        Precedence ends some seconds after the list is read again.
        """
        self._reported.add(records, known_by_id=self._directory.by_id)
        return self._apply_records(records, now=now)

    def _apply_listed(
        self, records: list[KeyedRecord], *, now: float
    ) -> list[KeyedRecord]:
        """Apply records that were read; return those to forward to other hosts.

        Records that a listing has superseded are forwarded too, as they may be new to
        other hosts.
        """
        renewed = {record.key for record in records}
        self._newer_than_copy -= renewed
        self._renewals.renewed(renewed)
        overtaken = {
            record.offset for record in records if self._superseded.supersedes(record)
        }
        fresh = [record for record in records if record.offset not in overtaken]
        forwarded = {
            record.offset for record in self._apply_store_records(fresh, now=now)
        }
        forwarded |= overtaken
        return [record for record in records if record.offset in forwarded]

    def _apply_store_records(
        self, records: list[KeyedRecord], *, now: float
    ) -> list[KeyedRecord]:
        """Apply records of the store; return those to forward to other hosts.

        A record whose server's own report takes precedence changes nothing on this
        host yet, but is forwarded so that other hosts hold it back as well.
        """
        merged = [self._merge_report(record, now=now) for record in records]
        changed = {record.key for record in self._apply_records(merged, now=now)}
        return [
            record
            for record in records
            if record.key in changed or self._reported.overrides(record.key)
        ]

    def _merge_report(self, record: KeyedRecord, *, now: float) -> KeyedRecord:
        """Return a record of the list, updated with its server's own report.

        The list's statement that a server is draining is kept in any case.
        """
        report = self._reported.before(record, now=now)
        if report is None:
            return record
        if self._is_newer_incarnation(record):
            self._reported.forget(record.key)
            return record
        merged = self._documents.reported(record.value, report, peer=record.key)
        if merged.is_error():
            log_warning(
                "server_unreadable", server=record.key, message=merged.error.message
            )
            return record
        return KeyedRecord(key=record.key, value=merged.ok, offset=record.offset)

    def _is_newer_incarnation(self, record: KeyedRecord) -> bool:
        """Return whether a record shows that its server restarted after its report."""
        known = self._directory.by_id.get(record.key)
        listed = self._documents.server(record.key, record.value, peer=record.key)
        if known is None or listed.is_error():
            return False
        return self._reported.is_superseded(listed.ok, known)

    def _apply_records(
        self, records: list[KeyedRecord], *, now: float
    ) -> list[KeyedRecord]:
        """Apply records of backend servers; return those that change anything."""
        known = {
            record.key: self._directory.by_id.get(record.key) for record in records
        }
        changes = []
        for record in records:
            if not record.value:
                self._removals.add(record.key, now=now)
                changes.append(record)
            elif self._apply_server_record(record.key, record.value, now=now):
                changes.append(record)
        self._log_changes(known)
        if changes:
            self.fire(directory_changed(), "relay")
        return changes

    def _apply_server_record(self, server_id: str, data: bytes, *, now: float) -> bool:
        """Apply one record; return whether it changes anything.

        A record that cancels a delayed removal counts as a change, as hosts that don't
        read the store delay the same removal and would carry it out.  So does an
        unreadable record: it may come from another writer, and names no usable server.
        """
        if data == self._data_by_server.get(server_id):
            # Most servers renew their records unchanged, hundreds a second in a large
            # fleet, and decoding a record takes ten times as long as comparing it.
            self._unreadable.discard(server_id)
            return self._removals.cancel(server_id)
        read = self._documents.server(
            server_id, data, peer=self._settings.store_address
        )
        if read.is_error():
            self._removals.add_unreadable(server_id, now=now)
            return self._log_unreadable(server_id, read.error.message)
        self._unreadable.discard(server_id)
        cancels_removal = self._removals.cancel(server_id)
        self._data_by_server[server_id] = data
        return self._directory.put(read.ok, now=now) or cancels_removal

    def _log_changes(self, known_by_id: dict[str, BackendServer | None]) -> None:
        """Log changes of servers, given their state before the changes."""
        changes = [
            (old, server)
            for server_id, old in known_by_id.items()
            if (server := self._directory.by_id.get(server_id)) is not old
            and _should_log(old, server)
        ]
        if len(changes) <= MAX_LOGGED_CHANGES:
            for old, server in changes:
                _log_change(old, server)
            return
        n_by_state = Counter(
            server.group.state.value if server.group else "" for _, server in changes
        )
        log_event("servers_changed", n=len(changes), n_by_state=dict(n_by_state))

    def _log_unreadable(self, server_id: str, message: str) -> bool:
        """Log why a record is unreadable, once until the server's record is readable.

        Returns
        -------
        bool
            Whether the server's previous record was readable.
        """
        if server_id in self._unreadable:
            return False
        if len(self._unreadable) < MAX_REMEMBERED_UNREADABLE:
            self._unreadable.add(server_id)
        log_warning("server_unreadable", server=server_id, message=message)
        return True

    def _remove(self, server_id: str, *, now: float) -> None:
        self._newer_than_copy.discard(server_id)
        self._data_by_server.pop(server_id, None)
        last_renewal_at = now - MIN_MISSED_RENEWALS * self._settings.heartbeat_interval
        if self._directory.remove(server_id, last_renewed_at=last_renewal_at):
            log_event("server_gone", server=server_id)
            self.fire(directory_changed(), "relay")

    # Entry hosts

    def _apply_host_updates(self, updates: TopicUpdates) -> None:
        for record in updates.records:
            address = self._documents.host(record.key, record.value)
            if address is None:
                self._heartbeats.addresses_by_host.pop(record.key, None)
            else:
                self._heartbeats.addresses_by_host[record.key] = address
        if updates.complete:
            self._update_listing_schedule(now=time.monotonic())
            self._store.call_now(self.servers)

    def _announce_address(self) -> None:
        record = self._documents.host_record(
            address=self._own_address,
            zone=self._settings.availability_zone,
        )
        call = self._log.append(
            self._documents.hosts_topic, [(self._settings.host, record)], partition=0
        )
        self._store.call(call, self._on_announced)

    def _on_announced(self, answer: StoreAnswer) -> None:
        if answer.status == 200:
            now = self._acknowledged_at = time.monotonic()
            self._update_listing_schedule(now=now)
            self._store.call_now(self.hosts)


def _should_log(old: BackendServer | None, server: BackendServer) -> bool:
    return old is None or old.draining != server.draining or old.group != server.group


def _log_change(old: BackendServer | None, server: BackendServer) -> None:
    group = server.group
    log_event(
        "server_found" if old is None else "server_changed",
        server=server.id,
        draining=server.draining,
        group=group.name if group else "",
        epoch=group.epoch if group else -1,
        state=group.state.value if group else "",
    )
