"""Run the folds, readers and writers of several hosts under random faults."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ryelever.coordination.log_reader import LogReader, ReadPage
from ryelever.coordination.log_writer import LogWriter, Pending
from ryelever.state.claims import ClaimsFold
from ryelever.state.configuration_fold import ConfigurationFold
from ryelever.state.fold import BaseFold
from ryelever.state.placement import PlacementFold
from ryelever.state.records import (
    Claim,
    GroupDissolved,
    HostReleased,
    LeaseTaken,
    Outcome,
    Record,
)

from ..builders import formed, new_claim, new_publication
from ..memory_log import MemoryLog, new_reader, state_of

STREAMS = ("configuration", "placement", "claims")
N_HOSTS = 3
#: Seconds; short enough that keys expire during a run.
WINDOW, MAX_AHEAD = 100.0, 10.0

#: Possible results of an append; with "kept", the writer sends the record later.
FATES = ("taken", "taken", "taken", "answer lost", "request lost", "delayed", "kept")

hosts = st.integers(0, N_HOSTS - 1)
fates = st.sampled_from(FATES)
streams = st.sampled_from(STREAMS)


def _new_fold(stream: str) -> BaseFold:
    if stream == "configuration":
        return ConfigurationFold()
    if stream == "placement":
        return PlacementFold()
    return ClaimsFold(window=WINDOW, max_ahead=MAX_AHEAD)


@dataclass(kw_only=True)
class Host:
    """One entry host, simulated by its log readers and writers."""

    owner: str
    readers: dict[str, LogReader] = field(
        default_factory=lambda: {name: new_reader(_new_fold(name)) for name in STREAMS}
    )
    writers: dict[str, LogWriter] = field(
        default_factory=lambda: {name: LogWriter(retry_after=0.0) for name in STREAMS}
    )
    version: int = -1

    @property
    def configuration(self) -> ConfigurationFold:
        return self.readers["configuration"].fold

    @property
    def placement(self) -> PlacementFold:
        return self.readers["placement"].fold

    @property
    def tenure(self) -> int:
        return self.placement.lease.tenure if self.placement.lease else -1

    @property
    def claims(self) -> ClaimsFold:
        return self.readers["claims"].fold


class FoldsMachine(RuleBasedStateMachine):
    """Compare the state of each host with that of a reader that misses no record."""

    def __init__(self) -> None:
        super().__init__()
        self.n_ids = 0
        self.now = 0.0
        self.logs = {name: MemoryLog() for name in STREAMS}
        self.full = {name: _new_fold(name) for name in STREAMS}
        self.states = {name: {0: _known(fold)} for name, fold in self.full.items()}
        self.hosts = [self._new_host(index) for index in range(N_HOSTS)]
        self.delayed: list[tuple[str, Pending]] = []
        self.keys: list[str] = []
        self.runs_by_key: dict[str, list[str]] = defaultdict(list)
        self.accepted: set[int] = {-1}

    def _new_id(self) -> str:
        self.n_ids += 1
        return f"id{self.n_ids}"

    def _new_host(self, index: int) -> Host:
        return Host(owner=f"e{index}/{self._new_id()}")

    def _add(self, host: Host, stream: str, record: Record, fate: str) -> None:
        host.writers[stream].add(
            record, record_id=self._new_id(), deadline=self.now + 50.0
        )
        if fate != "kept":
            self._flush(host, stream, fate)

    def _append(self, stream: str, pending: Pending) -> None:
        entry = self.logs[stream].append(pending.record, record_id=pending.record_id)
        fold = self.full[stream]
        fold.apply(entry)
        self.states[stream][fold.next_offset] = _known(fold)
        if stream == "configuration":
            self.accepted.add(fold.version)

    @initialize(n_keys=st.integers(0, 3))
    def begin(self, n_keys: int) -> None:
        self.publish(index=0, stale=False, forced=False, fate="taken")
        self.take_lease(index=0, fate="taken")
        for first in (0, 2):
            self.read_to_end(index=0, stream="placement")
            self.form(index=0, first=first, fate="taken")
        for _ in range(n_keys):
            self.claim(index=0, fresh=True, age=0, fate="taken")
        for index in range(N_HOSTS):
            for stream in STREAMS:
                self.read_to_end(index=index, stream=stream)

    # Decisions of hosts

    @rule(
        index=hosts,
        stale=st.booleans(),
        forced=st.sampled_from([False] * 7 + [True]),
        fate=fates,
    )
    def publish(self, index: int, stale: bool, forced: bool, fate: str) -> None:
        fold = self.hosts[index].configuration
        record = new_publication(
            -1 if stale else fold.version,
            self._new_id(),
            replaces_below=fold.next_offset if forced else -1,
        )
        self._add(self.hosts[index], "configuration", record, fate)

    @rule(
        index=hosts,
        fresh=st.booleans(),
        age=st.sampled_from([0, 0, 50, 90, 200, -5, -50]),
        fate=fates,
    )
    def claim(self, index: int, fresh: bool, age: int, fate: str) -> None:
        if fresh or not self.keys:
            issued = int((self.logs["claims"].time - age) * 1000)
            self.keys.append(f"a/{issued}-{len(self.keys)}")
        host = self.hosts[index]
        record = new_claim(self.keys[-1], host.owner, self._new_id())
        self._add(host, "claims", record, fate)

    @rule(index=hosts, seconds=st.sampled_from([0.0, 0.0, 0.0, 60.0, 120.0]))
    def resend(self, index: int, seconds: float) -> None:
        self.read_to_end(index=index, stream="claims")
        self.pass_time(stream="claims", seconds=seconds)
        self.claim(index=index, fresh=False, age=0, fate="taken")
        self.read_to_end(index=index, stream="claims")

    @rule(index=hosts, run_state=st.sampled_from(["run", "not_run"]), fate=fates)
    def end_request(self, index: int, run_state: str, fate: str) -> None:
        host = self.hosts[index]
        for claim in host.claims.claims_by_key.values():
            ran = claim.request_id in self.runs_by_key[claim.key]
            if claim.owner != host.owner or claim.outcome or not ran:
                continue
            if run_state == "not_run":
                # A backend server refused the request without running it.
                self.runs_by_key[claim.key].remove(claim.request_id)
            outcome = Outcome(
                key=claim.key,
                owner=host.owner,
                run_state=run_state,
                status=201,
                request_id=claim.request_id,
            )
            self._add(host, "claims", outcome, fate)
            return

    @rule(index=hosts, fate=fates)
    def take_lease(self, index: int, fate: str) -> None:
        host = self.hosts[index]
        lease = host.placement.lease
        previous = lease.offset if lease else -1
        record = LeaseTaken(holder=host.owner, term=5.0, previous=previous)
        self._add(host, "placement", record, fate)

    @rule(index=hosts, first=st.integers(0, 3), fate=fates)
    def form(self, index: int, first: int, fate: str) -> None:
        host = self.hosts[index]
        members = (f"h{first}", f"h{first + 1}")
        record = formed(self._new_id(), *members, lease=host.tenure)
        self._add(host, "placement", record, fate)

    @rule(index=hosts, fate=fates)
    def dissolve(self, index: int, fate: str) -> None:
        host = self.hosts[index]
        lease = host.tenure
        for group in host.placement.groups_by_name.values():
            if not group.dissolved:
                record = GroupDissolved(group=group.name, lease=lease)
                self._add(host, "placement", record, fate)
                return
            for member in sorted(group.unreleased):
                record = HostReleased(
                    group=group.name, host=member, lease=lease, evidence="left"
                )
                self._add(host, "placement", record, fate)

    # Events of the log and the network

    @rule(index=hosts, stream=streams, fate=fates)
    def flush(self, index: int, stream: str, fate: str) -> None:
        self._flush(self.hosts[index], stream, fate)

    def _flush(self, host: Host, stream: str, fate: str) -> None:
        writer = host.writers[stream]
        writer.expire_pending(now=self.now)
        self.now += 10.0
        for pending in writer.due(now=self.now):
            if fate == "delayed":
                self.delayed.append((stream, pending))
            elif fate != "request lost":
                self._append(stream, pending)
        if fate == "taken":
            writer.answered()
        else:
            writer.failed(now=self.now)

    @precondition(lambda self: self.delayed)
    @rule(position=st.integers(0, 1000))
    def take_delayed(self, position: int) -> None:
        stream, pending = self.delayed.pop(position % len(self.delayed))
        self._append(stream, pending)

    @rule(stream=streams, seconds=st.sampled_from([1.0, 30.0, 120.0]))
    def pass_time(self, stream: str, seconds: float) -> None:
        self.logs[stream].time += seconds

    @rule(stream=streams, n_kept=st.integers(0, 6))
    def expire(self, stream: str, n_kept: int) -> None:
        log = self.logs[stream]
        log.expire(before=log.next - n_kept)

    @rule(
        index=hosts,
        stream=streams,
        fault=st.sampled_from(
            ["", "", "failed", "short", "reordered", "hole", "twice"]
        ),
    )
    def read(self, index: int, stream: str, fault: str) -> None:
        self._read(self.hosts[index], stream, fault)

    @rule(index=hosts, stream=streams)
    def read_to_end(self, index: int, stream: str) -> None:
        reader = self.hosts[index].readers[stream]
        for _ in range(20):
            self._read(self.hosts[index], stream, "")
            if reader.fold.next_offset == self.logs[stream].next:
                return

    def _read(self, host: Host, stream: str, fault: str) -> None:
        reader = host.readers[stream]
        self.now += 10.0
        read = reader.next_read(now=self.now)
        assert read is not None
        if fault == "failed":
            reader.failed("no answer", now=self.now)
            return
        page = _spoil(self.logs[stream].page(read), fault)
        for applied in reader.process_page(page, requested_at=self.now, now=self.now):
            host.writers[stream].read_back(applied.entry.id)
            record = applied.entry.record
            own = isinstance(record, Claim) and record.owner == host.owner
            new = not applied.repeated and not applied.seen_before
            if own and applied.is_certain and new:
                self.runs_by_key[record.key].append(record.request_id)

    # Snapshots, exchange between hosts, and replacement of hosts

    @rule(index=hosts, stream=streams, fate=fates)
    def write_snapshot(self, index: int, stream: str, fate: str) -> None:
        fold = self.hosts[index].readers[stream].fold
        if fold.may_write_snapshot:
            for part in fold.to_snapshot(snapshot=self._new_id()):
                self._add(self.hosts[index], stream, part, fate)

    @rule(index=hosts, peer=hosts)
    def send_version(self, index: int, peer: int) -> None:
        known = self.hosts[index].configuration
        self.hosts[peer].configuration.adopt(
            version=known.version, document=known.configuration, author=known.author
        )

    @rule(index=hosts)
    def replace_host(self, index: int) -> None:
        self.hosts[index] = self._new_host(index)

    @rule(index=hosts, n_kept=st.integers(1, 6))
    def pause_beyond_retention(self, index: int, n_kept: int) -> None:
        for stream in STREAMS:
            self.expire(stream=stream, n_kept=n_kept)
            self.read_to_end(index=index, stream=stream)

    @rule(
        writer=hosts, reader=hosts, stream=streams, n_kept=st.integers(1, 6), fate=fates
    )
    def restore(
        self, writer: int, reader: int, stream: str, n_kept: int, fate: str
    ) -> None:
        self.read_to_end(index=writer, stream=stream)
        self.write_snapshot(index=writer, stream=stream, fate=fate)
        self.expire(stream=stream, n_kept=n_kept)
        if reader != writer:
            self.replace_host(index=reader)
        self.read_to_end(index=reader, stream=stream)

    # Invariants

    @invariant()
    def same_records_same_state(self) -> None:
        for host in self.hosts:
            for stream, reader in host.readers.items():
                fold = reader.fold
                if not fold.complete or reader.is_searching:
                    continue
                if stream == "configuration" and fold.version >= fold.next_offset:
                    continue
                assert _known(fold) == self.states[stream][fold.next_offset], stream

    @invariant()
    def no_reverting_version(self) -> None:
        for host in self.hosts:
            assert host.configuration.version >= host.version
            assert host.configuration.version in self.accepted
            host.version = host.configuration.version

    @invariant()
    def one_host_in_one_group(self) -> None:
        for host in self.hosts:
            groups = host.placement.groups_by_name.values()
            claimed = [member for group in groups for member in group.unreleased]
            assert len(claimed) == len(set(claimed))
            assert set(claimed) == set(host.placement.group_by_host)

    @invariant()
    def one_run_of_a_key(self) -> None:
        for key, runs in self.runs_by_key.items():
            assert len(runs) <= 1, key


def _known(fold: BaseFold) -> object:
    parts = state_of(fold)
    if isinstance(fold, ConfigurationFold):
        # A peer sends its version but not the record ids that were read before it.
        return [replace(part, remembered=(), log_time=0.0) for part in parts]
    return parts


def _spoil(page: ReadPage, fault: str) -> ReadPage:
    entries = list(page.entries)
    if fault == "short":
        entries = entries[: len(entries) // 2]
    elif fault == "reordered":
        entries = entries[::-1]
    elif fault == "hole":
        del entries[len(entries) // 2 : len(entries) // 2 + 1]
    elif fault == "twice":
        entries = [entry for entry in entries for _ in range(2)]
    return ReadPage(
        first=page.first, next=page.next, entries=entries, expired=page.expired
    )


TestFolds = FoldsMachine.TestCase
TestFolds.settings = settings(max_examples=120, stateful_step_count=50)
