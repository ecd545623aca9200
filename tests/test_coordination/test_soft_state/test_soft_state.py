"""Test the exchange of soft state under faults of the network and of peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from ryelever.coordination.soft_state.links import Peer
from ryelever.coordination.soft_state.messages import (
    Member,
    Message,
    TableUpdate,
    Update,
)
from ryelever.coordination.soft_state.tables import Tables
from ryelever.protocol.soft_state import encode_message
from ryelever.state.fleet import HostReport
from ryelever.state.observations import (
    DemandRow,
    LeavingRow,
    LoadRow,
    ReportRow,
    SuspicionRow,
)

from .soft_state_network import Network, Node, Route

SEED = 7
KEY = b"key-of-the-tests"


def demand(rate: float) -> DemandRow:
    return DemandRow(client_account="acme", rate=rate, n_in_flight=1, n_waiting=0)


def report(host: str = "w1", state: str = "ready") -> ReportRow:
    return ReportRow(report=HostReport(host=host, boot="b", state=state))


def lossy(network: Network) -> Route:
    return lambda sender, receiver: () if network.rng.random() < 0.3 else (0.002,)


def repeated(network: Network) -> Route:
    return lambda sender, receiver: (0.002, 0.002, 0.5)


def reordered(network: Network) -> Route:
    return lambda sender, receiver: (network.rng.random() * 1.5,)


def delayed(network: Network) -> Route:
    return lambda sender, receiver: (2.0,)


def all_at_once(network: Network) -> Route:
    def route(sender: Node, receiver: Node) -> tuple[float, ...]:
        n_copies = network.rng.choice([0, 1, 1, 2])
        return tuple(network.rng.random() * 1.5 for _ in range(n_copies))

    return route


FAULTS = [lossy, repeated, reordered, delayed, all_at_once]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_rows_arrive_with_the_newest_last(
    fault: Callable[[Network], Route],
) -> None:
    """Converge to the observer's newest row under any fault of datagrams.

    Guards against a peer that counts demand which its observer withdrew long ago.
    Datagrams are lost, repeated, reordered or delayed while rows change; the fault
    occurs if each received datagram is treated as the newest.
    """
    network = Network(zones=["a"] * 4, seed=SEED)
    network.route = fault(network)
    observer, *others = network.nodes
    for n_crashes in range(1, 61):
        observer.rows = [(SuspicionRow(fingerprint="f", n_crashes=n_crashes), None)]
        network.run(0.3)
    network.run(20.0)
    for node in others:
        delivered = [d.observation for d in node.deliveries if d.peer == observer.name]
        counts = [row.n_crashes for row in delivered]
        assert counts[-1] == 60
        assert counts == sorted(counts)


@pytest.mark.parametrize(
    "clock_rates",
    [(1.0, 1.0, 1.0), (1.005, 1.0, 0.995), (0.995, 1.0, 1.005)],
    ids=["equal", "observer_fast", "observer_slow"],
)
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_report_never_seems_younger_than_it_is(
    fault: Callable[[Network], Route], clock_rates: tuple[float, ...]
) -> None:
    """Never date a report later than the query it answers, whatever the clock rates.

    Guards against a group that counts as complete by a report older than allowed.  The
    datagram with the report is delayed, or the clocks run at different rates; the age
    in the datagram was right when it was sent, not when it arrived.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    network.route = fault(network)
    for node, rate in zip(network.nodes, clock_rates, strict=True):
        node.clock_rate = rate
    observer, *others = network.nodes
    queried_at_by_running: dict[int, float] = {}
    for running in range(40):
        queried_at_by_running[running] = network.now
        row = ReportRow(
            report=HostReport(
                host="w1", boot=str(running), state="ready", running=running
            )
        )
        observer.rows = [(row, network.now * observer.clock_rate)]
        network.run(0.5)
    n_checked = 0
    for node in others:
        for delivery in node.deliveries:
            if isinstance(delivery.observation, ReportRow):
                queried_at = queried_at_by_running[delivery.observation.report.running]
                assert delivery.observed_at <= queried_at * node.clock_rate + 1e-6
                n_checked += 1
    assert n_checked


def test_paused_peer_reports_old_datagrams_as_old() -> None:
    """Add the length of a pause to the age of datagrams buffered during it.

    Guards against a dead backend server that counts as confirmed after a pause.  A
    process is paused, datagrams wait in its buffer, the server dies, and the process
    resumes; the ages in the datagrams were right when they were sent, not after the
    pause.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    observer, paused, witness = network.nodes
    observer.rows = [(report(), network.now)]
    network.run(3.0)
    paused.paused = True
    n_before = len(paused.deliveries)
    last_queried_at = network.now
    for _ in range(8):
        last_queried_at = network.now
        observer.rows = [(report(), last_queried_at)]
        network.run(0.5)
    observer.rows = []
    network.run(20.0)
    assert paused.name not in witness.exchange.live_members(now=network.now)
    paused.paused = False
    network.run(10.0)
    after_pause = [d for d in paused.deliveries[n_before:] if d.observation == report()]
    assert all(delivery.observed_at <= last_queried_at for delivery in after_pause)
    assert paused.name in witness.exchange.live_members(now=network.now)
    assert witness.name in paused.exchange.live_members(now=network.now)


def _record(network: Network, *, to: Node) -> list[tuple[str, Message]]:
    recorded: list[tuple[str, Message]] = []

    def keep(source: str, address: str, message: Message) -> None:
        if address == to.address:
            recorded.append((source, message))

    network.on_send = keep
    return recorded


@pytest.mark.parametrize("restarted", ["neither", "receiver", "sender", "both"])
def test_recorded_datagrams_change_nothing(restarted: str) -> None:
    """Refuse every replayed datagram.

    Guards against the return of demand and suspicions from an hour ago.  Datagrams are
    recorded and sent again, also after a restart of either end; their key is valid, and
    a restarted process remembers no sequence numbers.
    """
    network = Network(zones=["a"] * 2, seed=SEED)
    observer, receiver = network.nodes
    recorded = _record(network, to=receiver)
    observer.rows = [(SuspicionRow(fingerprint="old", n_crashes=1), None)]
    network.run(5.0)
    network.on_send = None
    observer.rows = []
    if restarted in ("sender", "both"):
        observer = network.reboot(observer)
    if restarted in ("receiver", "both"):
        receiver = network.reboot(receiver)
    network.run(5.0)
    receiver.deliveries.clear()
    haves_before = dict(_current_haves(receiver, observer))
    network.route = lambda sender, receiver: ()
    sent = _record(network, to=observer)
    for source, message in recorded:
        network.inject(message, source=source, to=receiver)
    # At most one reply is sent, to a greeting, since its sender may have restarted.
    assert len(sent) <= 1
    network.on_send = None
    assert receiver.deliveries == []
    assert _current_haves(receiver, observer) == haves_before
    network.route = lambda sender, receiver: (0.002,)
    observer.rows = [(demand(5.0), None)]
    network.run(5.0)
    assert receiver.last(demand(5.0), peer=observer.name) is not None


def _current_haves(node: Node, other: Node) -> dict[int, int]:
    return node.exchange.peers_by_address[other.address].current.haves


def test_a_restarted_peer_is_not_counted_twice() -> None:
    """Drop the table of an earlier boot once the later boot is known.

    Guards against an account's demand that doubles for seconds whenever an entry host
    restarts.  The process restarts before its rows expire, and the tables of both boots
    exist side by side.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    observer, *others = network.nodes
    observer.rows = [(demand(10.0), None)]
    network.run(4.0)
    observer = network.reboot(observer)
    observer.rows = [(demand(3.0), None)]
    network.run(4.0)
    for node in others:
        tables = node.exchange.tables.tables_by_origin.values()
        owners = [t.member.host for t in tables if not t.member.digest]
        assert owners.count(observer.name) == 1
        delivered = [d.observation for d in node.deliveries if d.peer == observer.name]
        assert delivered[-1] == demand(3.0)


def test_two_faults_at_once_lose_nothing() -> None:
    """Converge after a restart during a partition, in spite of lost datagrams.

    Guards against a peer that never again receives rows of a restarted host.  A host
    restarts during a partition, and a third of the datagrams is lost once the partition
    has healed; authenticating a new boot takes several datagrams, any of which may be
    lost.
    """
    network = Network(zones=["a", "a", "b", "b"], seed=SEED, max_flat=0)
    network.run(8.0)
    network.route = _cut(network, "a", "b")
    network.run(5.0)
    restarted = network.reboot(network.nodes[3])
    network.run(5.0)
    network.route = lossy(network)
    restarted.rows = [(demand(9.0), None)]
    network.run(90.0)
    delivered = network.nodes[0].deliveries[-20:]
    assert any(d.peer == "zone/b" and d.observation == demand(9.0) for d in delivered)


def _cut(network: Network, first: str, second: str) -> Route:
    def route(sender: Node, receiver: Node) -> tuple[float, ...]:
        return () if {sender.zone, receiver.zone} == {first, second} else (0.002,)

    return route


def test_zones_exchange_rows_during_and_after_a_partition() -> None:
    """Exchange inside each zone during a partition, and between zones after it.

    Guards against zones that never share demand again after an hour's partition.  All
    datagrams between two zones are lost for a long time and then arrive again; the
    fault occurs if peers are dropped for good after a long silence.
    """
    network = Network(zones=["a", "a", "a", "b", "b", "b"], seed=SEED, max_flat=0)
    network.run(10.0)
    network.route = _cut(network, "a", "b")
    network.run(200.0)
    first, second = network.nodes[0], network.nodes[1]
    first.rows = [(demand(10.0), None)]
    second.rows = [(demand(5.0), None)]
    network.run(5.0)
    assert second.last(demand(10.0), peer=first.name) is not None
    far = network.nodes[5]
    assert not any(d.peer == "zone/a" and is_recent(d, network) for d in far.deliveries)
    network.route = lambda sender, receiver: (0.002,)
    network.run(130.0)
    delivered = [d for d in far.deliveries if d.peer == "zone/a"]
    # The other zone receives the zone's digest, and no rows of single hosts.
    assert delivered[-1].observation.rate == 15.0
    assert {d.peer for d in far.deliveries if d.peer.startswith("e")} <= {
        "e003",
        "e004",
    }


def is_recent(delivery: object, network: Network) -> bool:
    return network.now - delivery.observed_at < 20.0


def test_only_digests_cross_between_zones() -> None:
    """Keep reports and loads inside their zone."""
    network = Network(zones=["a", "a", "b", "b"], seed=SEED, max_flat=0)
    for node in network.nodes[:2]:
        node.rows = [
            (demand(2.0), None),
            (SuspicionRow(fingerprint="f", n_crashes=1), None),
            (LeavingRow(host="w9"), None),
            (LoadRow(target="g1", n_in_flight=3), None),
            (report(), network.now),
        ]
    network.run(20.0)
    crossed = {d.observation for d in network.nodes[3].deliveries if d.peer == "zone/a"}
    assert {type(row) for row in crossed} == {DemandRow, SuspicionRow, LeavingRow}
    assert SuspicionRow(fingerprint="f", n_crashes=2) in crossed


def test_few_hosts_receive_each_others_rows_by_name() -> None:
    """Send each host's digest to every zone while hosts are few, at least every 3 s.

    Guards against a split of limits that counts complete zones as cut off.  It occurs
    without any fault, with eight hosts in three zones: the split needs a row from each
    host within 3 s, and received zones' digests instead.
    """
    network = Network(zones=["a", "b", "c", "a", "b", "c", "a", "b"], seed=SEED)
    for index, node in enumerate(network.nodes):
        node.rows = [(demand(float(index + 1)), None), (report(node.name), None)]
    network.run(15.0)
    oldest = 0.0
    for _ in range(100):
        network.run(0.1)
        for node in network.nodes:
            observed_at_by_peer = {d.peer: d.observed_at for d in node.deliveries}
            others = {other.name for other in network.nodes if other is not node}
            assert observed_at_by_peer.keys() == others
            oldest = max(oldest, network.now - min(observed_at_by_peer.values()))
    assert oldest < 3.0
    far = network.nodes[1]
    assert far.last(report("e000"), peer="e000") is None


def test_withdrawn_row_is_not_delivered_again() -> None:
    """Stop delivering a row once its observer has withdrawn it.

    Guards against a backend server that stays marked as leaving after its return.  An
    observer reports a departure, withdraws it and stays alive; the fault occurs if the
    observer's signs of life still confirm the withdrawn row.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    observer, receiver, _ = network.nodes
    observer.rows = [(LeavingRow(host="w1"), None)]
    network.run(4.0)
    assert receiver.last(LeavingRow(host="w1"), peer=observer.name) is not None
    observer.rows = []
    network.run(4.0)
    receiver.deliveries.clear()
    network.run(10.0)
    assert receiver.last(LeavingRow(host="w1"), peer=observer.name) is None


def test_report_without_newer_answers_is_not_confirmed() -> None:
    """Let a report age on all hosts once the backend server stops answering queries.

    Guards against a frozen backend server that counts as confirmed for as long as the
    entry host that queries it is alive.  The queries stay unanswered; the fault occurs
    if a sign of life of that entry host confirms reports of any age.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    observer, receiver, _ = network.nodes
    queried_at = network.now
    observer.rows = [(report(), queried_at)]
    network.run(15.0)
    delivered = [d for d in receiver.deliveries if d.observation == report()]
    assert delivered
    assert all(delivery.observed_at <= queried_at for delivery in delivered)


def test_report_without_newer_answers_does_not_age_other_reports() -> None:
    """Exclude a frozen backend server's report from the reports the owner confirms.

    Guards against all groups of a zone that stop counting as complete when one host
    freezes.  One of the servers that an entry host queries stays silent while the
    others answer; the sign of life carries one age for all reports of a table, that of
    the oldest report.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    observer, receiver, _ = network.nodes
    frozen = (report("frozen"), network.now)
    for _ in range(40):
        observer.rows = [frozen, (report("well"), network.now)]
        network.run(0.25)
    delivered = [d for d in receiver.deliveries if d.observation == report("well")]
    assert network.now - delivered[-1].observed_at < 2.0


# (peer's hold, age of the row, true seconds since sending the echoed datagram, true
# seconds since the observation)
@pytest.mark.parametrize(
    ("hold", "age", "since_sending", "since_observation"),
    [
        pytest.param(10.0, 0.0, 10.0, 0.0, id="equal"),
        pytest.param(10.05, 0.0, 10.0, 0.0, id="fast_clock_holds_longer"),
        pytest.param(0.0, 9.95, 0.0, 10.0, id="slow_clock_counts_less"),
    ],
)
def test_a_clock_that_runs_differently_makes_no_row_younger(
    hold: float, age: float, since_sending: float, since_observation: float
) -> None:
    """Allow for clocks whose rates differ by 0.5%."""
    peer = Peer(address="p", draw=lambda: 5)
    sequence = peer.next_sequence(now=100.0)
    now = 100.0 + since_sending
    greeting = Message(
        sender="e2", availability_zone="a", boot=1, token=0, grant=9, sequence=1
    )
    peer.receive(greeting, now=100.0)
    message = replace(greeting, token=5, sequence=2, echo=sequence, hold=hold)
    composed_at = peer.receive(message, now=now).composed_at
    tables = Tables(accepts=lambda member, zone: True)
    update = TableUpdate(
        origin=1,
        member=Member(host="e2", availability_zone="a"),
        updates=(Update(slot=1, version=1, age=age, row=demand(1.0)),),
    )
    (table_row,) = tables.apply(update, zone="a", composed_at=composed_at, now=now)
    assert table_row.observed_at <= now - since_observation


def test_datagrams_stay_under_the_usual_path_size() -> None:
    """Bound the size and the rate of datagrams in a zone of the intended size."""
    network = Network(zones=["a"] * 35, seed=SEED)
    sizes: list[int] = []
    network.on_send = lambda source, address, message: sizes.append(
        len(encode_message(message, key=KEY))
    )
    for index, node in enumerate(network.nodes):
        node.rows = [
            *((demand(float(rate)), None) for rate in [index]),
            *(
                (LoadRow(target=f"group-{group}", n_in_flight=group), None)
                for group in range(18)
            ),
        ]
    network.run(10.0)
    assert max(sizes) <= 1472
    assert sum(sizes) / 10.0 / 35 < 10_000


def test_greetings_are_answered_at_a_bounded_rate() -> None:
    """Prevent a peer from flooding another peer when greetings are replayed.

    Guards against an entry host that sends without end to the address of a greeting.  A
    recorded greeting is sent a thousand times, and each copy is answered because its
    sender may have restarted.
    """
    network = Network(zones=["a"] * 2, seed=SEED)
    first, second = network.nodes
    recorded = _record(network, to=second)
    network.run(0.1)
    greeting = recorded[0][1]
    network.run(2.0)
    n_sent = 0

    def count(source: str, address: str, message: Message) -> None:
        nonlocal n_sent
        n_sent += 1

    network.on_send = count
    reborn = network.reboot(second)
    for _ in range(1000):
        network.inject(greeting, source=first.address, to=reborn)
    assert n_sent <= 1
