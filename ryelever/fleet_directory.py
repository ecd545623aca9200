"""Read configuration, backend servers and entry hosts from the store."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from .coordination.change_history import ChangeHistory
from .coordination.evacuations import OperatorPosition
from .coordination.removals import Removals
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

#: Least seconds between two reads of the backend servers' records.  Fifty servers
#: write forty a second, and a read for each would cost ten times as much; a server's
#: leaving must be known within two seconds.
SERVERS_INTERVAL = 0.3

#: Heartbeats that a server has missed, at the least, when its entry lapses.  The
#: store waits for three; the half less is for its clock and for the last one's way.
LAPSED_HEARTBEATS = 2.5

#: Seconds without an answer to a read of the backend servers' records, here or at a
#: host that passes them on, after which what servers say themselves goes before the
#: list.  Reads are answered within 0.2 s, and the list is newer than a report, which
#: is as of some tenths of a second ago.
LIST_STALE_AFTER = 1.0

#: Seconds after the store's return from an older copy within which all servers that
#: reach it have written their entries again.
ENTRIES_WRITTEN_AGAIN = 3.0

#: Least seconds between two reads of the hosts' records.  All hosts write theirs
#: within half a second of the start, and a read for each would be one a host and host.
HOSTS_INTERVAL = 0.3

#: Longest configuration in bytes that hosts of a zone ask each other for rather than
#: the store.  Thirty of them ask at once, and half a megabyte takes 0.2 s of a link of
#: 20 Mbit/s.
MAX_FETCHED_CONFIGURATION = 16 << 10

#: Entries that can't be read of which is remembered that it was logged.  A writer that
#: makes up keys would fill the memory otherwise.
MAX_UNREADABLE = 1000

#: Servers that change at once of which each gets a line.  While the groups of a large
#: fleet form, lines for all of them on all hosts cost as much as taking the changes.
MAX_LOGGED = 50

#: Seconds after which this host writes its address again if it got no answer.
ANNOUNCE_RETRY = 1.0


class FleetDirectory(BaseComponent):
    """Own what is read from the store.

    Parameters
    ----------
    own_address : str
        Where other entry hosts reach this one.

    Attributes
    ----------
    table : RouteTable or None
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
        self._removals = Removals(heartbeat_interval=settings.heartbeat_interval)
        self.table: RouteTable | None = None
        self.configuration = TopicFollower(log=log, topic=documents.operator_topic)
        self.servers = TopicFollower(
            log=log,
            topic=documents.servers_topic,
            interval=SERVERS_INTERVAL,
            wait=BUSY_WAIT,
        )
        self.hosts = TopicFollower(
            log=log, topic=documents.hosts_topic, interval=HOSTS_INTERVAL
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
            take_configuration=self.take_configuration,
            take_servers=self._apply_fetched_servers,
            take_changes=self._take_changes,
        ).register(self)
        self._announced_at = float("-inf")
        self._acknowledged_at: float | None = None
        # Servers whose entries in a copy of the store are older than what is known.
        self._known_better: set[str] = set()

    @handler("started", channel="*")
    def _on_started(self, *args: object) -> None:
        self._reading.begin()
        self._store.follow(self.configuration, self._take_configuration)
        self._store.follow(self.servers, self._take_servers)
        self._store.follow(self.hosts, self._take_hosts)
        self._announced_at = time.monotonic()
        self._announce()

    @handler("control_tick")
    def _on_tick(self) -> None:
        now = time.monotonic()
        self._note_reads()
        self._suspend_or_read(now=now)
        for server_id in self._removals.due(now=now):
            self._remove(server_id, now=now)
        held_back = [
            record
            for record in self._reported.due(now=now)
            if record.key in self._data_by_server
        ]
        self._take_records(held_back, now=now)
        self._ask_for_missed(now=now)
        self._settle_listing(now=now)
        if not self.servers.is_current:
            if self.servers.defers_listing:
                self.fetch.ask_who_knows_servers(now=now)
            if self.list_is_stale():
                self.fetch.ask_for_servers(now=now)
        unannounced = self._acknowledged_at is None
        if unannounced and now - self._announced_at > ANNOUNCE_RETRY:
            self._announced_at = now
            self._announce()

    def _settle_listing(self, *, now: float) -> None:
        """Let this host list the backend servers itself once it is its turn."""
        self._reading.settle_listing(acknowledged_at=self._acknowledged_at, now=now)

    @handler("store_returned")
    def _on_store_returned(self) -> None:
        """Begin anew with a store that has lost what it held, but not with servers.

        The copy shows servers as they were, and a member of a group that serves would
        be given to another one.  So what it shows of those that are known is not taken;
        they write their entries again.
        """
        self._known_better |= self._data_by_server.keys()
        self.servers.list_again()
        if not self.configuration.suspended:
            self.configuration.list_again()
        if not self.hosts.suspended:
            self.hosts.list_again()
        # This host's address may be among what is lost.
        self._acknowledged_at = None
        self._announced_at = float("-inf")

    def _suspend_or_read(self, *, now: float) -> None:
        """Leave it to others of the zone to read what is rarely written, or do it.

        A host that starts is found by its words.  Of two that start at once each
        must know the other, so both read on until what they read is younger than
        their own record.
        """
        is_reachable = self._store.is_reachable
        reads = self._heartbeats.reads_for_zone(reads_store=is_reachable, now=now)
        self.configuration.suspended = not reads and self.table is not None
        acknowledged_at = self._acknowledged_at
        knows_all = (
            acknowledged_at is not None and self.hosts.asked_at > acknowledged_at
        )
        self.hosts.suspended = not reads and knows_all
        self._reading.suspend_or_read(
            reads=reads,
            is_reachable=is_reachable,
            last_update_at=self._store.passed_on_at,
            read_at=self._read_at,
            now=now,
        )

    def _note_reads(self) -> None:
        self._removals.note_reads(
            answered_at=self._read_at,
            failed_at=max(self.servers.failed_at, self._reading.silent_at),
        )
        self._removals.note_return(self._store.returned_at)

    @property
    def _read_at(self) -> float:
        """Return when the backend servers' records were last read, here or for here."""
        return max(self.servers.answered_at, self._store.passed_on_at)

    # Configuration

    def _take_configuration(self, updates: TopicUpdates) -> None:
        for record in updates.records:
            if record.key == self._documents.configuration_key and record.value:
                self.take_configuration(record.value, self._settings.store_address)
        follower = self.configuration
        if updates.complete:
            zones = [
                self._documents.evacuated_zone(item.key) for item in updates.records
            ]
            as_of = OperatorPosition(follower.era, follower.offset)
            self._evacuations.listed(filter(None, zones), as_of=as_of)
            return
        for record in updates.records:
            self._take_evacuation(record)

    def _take_evacuation(self, record: KeyedRecord) -> None:
        """Take a record of the operator's topic that was just written."""
        zone = self._documents.evacuated_zone(record.key)
        as_of = OperatorPosition(self.configuration.era, record.offset + 1)
        if zone is None or as_of <= self._evacuations.as_of:
            return
        if record.value:
            self._evacuations.requested(zone, as_of=as_of)
        else:
            self._evacuations.ended(zone, as_of=as_of)

    def take_configuration(self, data: bytes, peer: str) -> None:
        """Take a configuration, unless a newer one is in force."""
        read = self._documents.configuration(data, peer=peer)
        if read.is_error():
            log_warning(
                "configuration_unreadable", peer=peer, message=read.error.message
            )
            return
        table = read.ok
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self._document = data
        self._in_force_since = time.monotonic()
        self.fetch.caught_up()
        log_event("configuration_in_force", version=table.version, peer=peer)
        self.fire(directory_changed(), "relay")

    @property
    def version(self) -> int:
        """Return the version in force, or -1 before there is one."""
        return -1 if self.table is None else self.table.version

    def configuration_age(self) -> float:
        """Return the seconds since the configuration in force came, or -1."""
        if self._in_force_since is None:
            return -1.0
        return time.monotonic() - self._in_force_since

    def document(self) -> bytes:
        """Return the configuration in force as it lies in the store."""
        return self._document

    def note_version(self, heartbeat: HostHeartbeat, *, now: float) -> None:
        """Take word that another entry host has a version in force.

        The store may turn this host away, or a read hang on a silent connection,
        while a version that is newer binds all hosts: it is asked for again, and
        where that doesn't help soon, the other host gives it.  A host that leaves the
        reading to others asks a host of its zone first.
        """
        if heartbeat.configuration_version <= self.version:
            return
        overdue = self.fetch.note_behind(now=now)
        is_near = heartbeat.availability_zone == self._settings.availability_zone
        is_given = heartbeat.configuration_size <= MAX_FETCHED_CONFIGURATION
        if overdue or not (self.configuration.suspended and is_given):
            self.configuration.poke(now=now)
        if overdue or (self.configuration.suspended and is_given and is_near):
            self.fetch.ask_for_configuration(heartbeat.host, now=now)

    def _apply_fetched_servers(self, given: ServerUpdates, peer: str) -> None:
        """Take what another host knows, unless the store has answered meanwhile."""
        if self.servers.is_current:
            return
        now = time.monotonic()
        self.servers.take_over(end=given.end, era=given.era, now=now)
        log_event("servers_given", peer=peer, n=len(given.records))
        if given.reported:
            self._apply_reported(given.records, now=now)
        else:
            self._take_records(given.records, now=now)

    def all_servers(self) -> ServerUpdates | None:
        """Return the records of all backend servers, or None before they are known."""
        if not self.servers.is_current:
            return None
        return ServerUpdates(
            reader=self._settings.host,
            start=0,
            end=self.servers.offset,
            era=self.servers.era,
            # Some of it may be what servers said while the list was silent.
            reported=self.list_is_stale() or not self._reported.is_empty,
            records=[
                KeyedRecord(key=server_id, value=data, offset=0)
                for server_id, data in self._data_by_server.items()
            ],
        )

    # Backend servers

    def _take_servers(self, updates: TopicUpdates) -> None:
        now = time.monotonic()
        self._note_reads()
        if updates.complete:
            changed = self._take_shown(
                self._believed(updates.records, now=now), now=now
            )
        else:
            changed = self._take_listed(updates.records, now=now)
        if updates.start >= 0:
            passed_on = ServerUpdates(
                reader=self._settings.host,
                start=updates.start,
                end=self.servers.offset,
                era=self.servers.era,
                # A host that was started since then may have listed an older copy.
                records=updates.records if self._has_returned(now=now) else changed,
            )
            self._history.add(
                passed_on.records,
                start=updates.start,
                end=passed_on.end,
                era=passed_on.era,
            )
            self._reading.caught_up()
            self.fire(server_updates(passed_on), "exchange")
        if updates.complete:
            self._superseded.take_listing(updates.records, end=self.servers.offset)
            listed = {record.key for record in updates.records}
            for server_id in set(self._directory.by_id) - listed:
                self._removals.add(server_id, now=now)
        for server_id in self._removals.due(now=now):
            self._remove(server_id, now=now)

    def _has_returned(self, *, now: float) -> bool:
        """Tell whether the store came back from an older copy a short while ago."""
        return now - self._store.returned_at < ENTRIES_WRITTEN_AGAIN

    def _believed(self, records: list[KeyedRecord], *, now: float) -> list[KeyedRecord]:
        """Return what a listing shows, without what is known better here.

        A server that isn't known may be one that has gone since the copy was made; but
        a host that knows none has nothing better than the copy.
        """
        if self._has_returned(now=now) and self._data_by_server:
            return []
        return [item for item in records if item.key not in self._known_better]

    @handler("server_updates")
    def _on_passed_on(self, updates: ServerUpdates) -> None:
        """Take what another host has read, if it follows what was seen here."""
        now = time.monotonic()
        if updates.reported:
            if self.list_is_stale():
                self._apply_reported(updates.records, now=now)
            return
        self._store.note_era(updates.era, peer=updates.reader, now=now)
        if self.servers.is_behind(updates):
            self._reading.note_missed(updates, now=now)
            self._store.heard(now=now)
            self._ask_for_missed(now=now)
            return
        yields = updates.reader < self._settings.host
        if self._take_part(updates, yields=yields, now=now):
            self._reading.caught_up()
            self._store.heard(now=now)

    def _take_part(self, updates: ServerUpdates, *, yields: bool, now: float) -> bool:
        """Take what another host has read or kept, if it follows what was seen here.

        Parameters
        ----------
        yields : bool
            Whether that host goes on reading for this one.
        """
        known_to = self.servers.offset
        follows = self.servers.advance(
            start=updates.start,
            end=updates.end,
            era=updates.era,
            yields=yields,
            now=now,
        )
        if not follows:
            return False
        records = [record for record in updates.records if record.offset >= known_to]
        self._history.add(records, start=known_to, end=updates.end, era=updates.era)
        self._take_listed(records, now=now)
        return True

    def _ask_for_missed(self, *, now: float) -> None:
        provider = self._reading.provider(now=now)
        if provider is not None:
            self.fetch.ask_for_changes(
                self.servers.offset, era=self.servers.era, provider=provider, now=now
            )

    def _take_changes(self, updates: ServerUpdates) -> None:
        """Take what another host has kept of what this one missed."""
        now = time.monotonic()
        self._store.note_era(updates.era, peer=updates.reader, now=now)
        known_to = self.servers.offset
        self._take_part(updates, yields=False, now=now)
        if self.servers.offset > known_to:
            self._reading.caught_up()

    def changes_since(self, offset: int, era: int) -> ServerUpdates | None:
        """Return what changed of the backend servers, or None where it isn't known."""
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
        """Tell whether nothing was read of the backend servers for a while."""
        return time.monotonic() - self._read_at > LIST_STALE_AFTER

    @handler("server_reported")
    def _on_reported(self, server_id: str, report: bytes) -> None:
        """Take what a server says itself where the list can't show it."""
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
        """Take what goes before the list until that has been read again for a while."""
        self._reported.add(records, seen_by_id=self._directory.by_id)
        return self._take_records(records, now=now)

    def _take_listed(
        self, records: list[KeyedRecord], *, now: float
    ) -> list[KeyedRecord]:
        """Take what the list shows; return what others have to hear of it.

        What the listing has overtaken may be new to them.
        """
        self._known_better.difference_update(record.key for record in records)
        overtaken = {
            record.offset for record in records if self._superseded.supersedes(record)
        }
        fresh = [record for record in records if record.offset not in overtaken]
        told = {record.offset for record in self._take_shown(fresh, now=now)}
        told |= overtaken
        return [record for record in records if record.offset in told]

    def _take_shown(
        self, records: list[KeyedRecord], *, now: float
    ) -> list[KeyedRecord]:
        """Take records; return what others have to hear of them.

        What goes after a server's own word says nothing new here yet, and others are
        to hold it back as well.
        """
        newer = [self._newer(record, now=now) for record in records]
        changed = {record.key for record in self._take_records(newer, now=now)}
        return [
            record
            for record in records
            if record.key in changed or self._reported.holds(record.key)
        ]

    def _newer(self, record: KeyedRecord, *, now: float) -> KeyedRecord:
        """Return a record of the list with what its server has said since.

        That a server is leaving counts in any case.
        """
        said = self._reported.before(record, now=now)
        if said is None:
            return record
        if self._is_later_start(record):
            self._reported.forget(record.key)
            return record
        merged = self._documents.reported(record.value, said, peer=record.key)
        if merged.is_error():
            log_warning(
                "server_unreadable", server=record.key, message=merged.error.message
            )
            return record
        return KeyedRecord(key=record.key, value=merged.ok, offset=record.offset)

    def _is_later_start(self, record: KeyedRecord) -> bool:
        """Tell whether a server was started anew since it said what holds now."""
        known = self._directory.by_id.get(record.key)
        listed = self._documents.server(record.key, record.value, peer=record.key)
        if known is None or listed.is_error():
            return False
        return self._reported.is_superseded(listed.ok, known)

    def _take_records(
        self, records: list[KeyedRecord], *, now: float
    ) -> list[KeyedRecord]:
        """Take records of backend servers; return those that say anything new."""
        known = {
            record.key: self._directory.by_id.get(record.key) for record in records
        }
        changes = []
        for record in records:
            if not record.value:
                self._removals.add(record.key, now=now)
                changes.append(record)
            elif self._take_server(record.key, record.value, now=now):
                changes.append(record)
        self._log_changes(known)
        if changes:
            self.fire(directory_changed(), "relay")
        return changes

    def _take_server(self, server_id: str, data: bytes, *, now: float) -> bool:
        """Take one record; tell whether it says anything new.

        That it ends a removal which is held back is new as well: hosts that read
        nothing hold the removal too, and would carry it out.  So is one that can't be
        read: it may come from another writer, and names no server to use.
        """
        if data == self._data_by_server.get(server_id):
            # Most servers renew their entries unchanged, hundreds a second in a large
            # fleet, and reading one takes ten times as long as comparing it.
            self._unreadable.discard(server_id)
            return self._removals.discard(server_id)
        read = self._documents.server(
            server_id, data, peer=self._settings.store_address
        )
        if read.is_error():
            self._removals.add_unreadable(server_id, now=now)
            return self._note_unreadable(server_id, read.error.message)
        self._unreadable.discard(server_id)
        is_back = self._removals.discard(server_id)
        self._data_by_server[server_id] = data
        return self._directory.put(read.ok, now=now) or is_back

    def _log_changes(self, known_by_id: dict[str, BackendServer | None]) -> None:
        """Log what is new of some servers, as they were known before."""
        changes = [
            (old, server)
            for server_id, old in known_by_id.items()
            if (server := self._directory.by_id.get(server_id)) is not old
            and _is_worth_a_line(old, server)
        ]
        if len(changes) <= MAX_LOGGED:
            for old, server in changes:
                _log_change(old, server)
            return
        n_by_state = Counter(
            server.group.state.value if server.group else "" for _, server in changes
        )
        log_event("servers_changed", n=len(changes), n_by_state=dict(n_by_state))

    def _note_unreadable(self, server_id: str, message: str) -> bool:
        """Log what is wrong with an entry; tell whether the one before was readable."""
        if server_id in self._unreadable:
            return False
        if len(self._unreadable) < MAX_UNREADABLE:
            self._unreadable.add(server_id)
        log_warning("server_unreadable", server=server_id, message=message)
        return True

    def _remove(self, server_id: str, *, now: float) -> None:
        self._known_better.discard(server_id)
        self._data_by_server.pop(server_id, None)
        heard_at = now - LAPSED_HEARTBEATS * self._settings.heartbeat_interval
        if self._directory.remove(server_id, heard_at=heard_at):
            log_event("server_gone", server=server_id)
            self.fire(directory_changed(), "relay")

    # Entry hosts

    def _take_hosts(self, updates: TopicUpdates) -> None:
        for record in updates.records:
            address = self._documents.host(record.key, record.value)
            if address is None:
                self._heartbeats.addresses_by_host.pop(record.key, None)
            else:
                self._heartbeats.addresses_by_host[record.key] = address
        if updates.complete:
            self._settle_listing(now=time.monotonic())
            self._store.ask_now(self.servers)

    def _announce(self) -> None:
        record = self._documents.host_record(
            address=self._own_address,
            zone=self._settings.availability_zone,
        )
        call = self._log.append(
            self._documents.hosts_topic, [(self._settings.host, record)], partition=0
        )
        self._store.call(call, self._take_announced)

    def _take_announced(self, answer: StoreAnswer) -> None:
        if answer.status == 200:
            now = self._acknowledged_at = time.monotonic()
            self._settle_listing(now=now)
            self._store.ask_now(self.hosts)


def _is_worth_a_line(old: BackendServer | None, server: BackendServer) -> bool:
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
