"""Test the exchange of soft state under the faults of datagrams and peers."""

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
    """Keep what is known equal to what was told, whatever becomes of datagrams.

    Symptom: a peer counts demand that its observer took back long ago.
    Sequence: datagrams are lost, repeated, overtaken or late while rows change.
    Cause: each datagram would be taken for the newest word.
    """
    network = Network(zones=["a"] * 4, seed=SEED)
    network.route = fault(network)
    teller, *others = network.nodes
    for n_crashes in range(1, 61):
        teller.rows = [(SuspicionRow(fingerprint="f", n_crashes=n_crashes), None)]
        network.run(0.3)
    network.run(20.0)
    for node in others:
        told = [d.observation for d in node.deliveries if d.peer == teller.name]
        counts = [row.n_crashes for row in told]
        assert counts[-1] == 60
        assert counts == sorted(counts)


@pytest.mark.parametrize(
    "clock_rates",
    [(1.0, 1.0, 1.0), (1.005, 1.0, 0.995), (0.995, 1.0, 1.005)],
    ids=["equal", "teller_fast", "teller_slow"],
)
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_report_never_seems_younger_than_it_is(
    fault: Callable[[Network], Route], clock_rates: tuple[float, ...]
) -> None:
    """Count a report's age from no later than its question, on any clock.

    Symptom: a group counts as whole by a report older than the judge allows.
    Sequence: the datagram with the report is late, or the clocks differ.
    Cause: the age in it was right when it was sent, not when it arrived.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    network.route = fault(network)
    for node, rate in zip(network.nodes, clock_rates, strict=True):
        node.clock_rate = rate
    teller, *others = network.nodes
    asked_at_by_running: dict[int, float] = {}
    for running in range(40):
        asked_at_by_running[running] = network.now
        row = ReportRow(
            report=HostReport(
                host="w1", boot=str(running), state="ready", running=running
            )
        )
        teller.rows = [(row, network.now * teller.clock_rate)]
        network.run(0.5)
    n_checked = 0
    for node in others:
        for delivery in node.deliveries:
            if isinstance(delivery.observation, ReportRow):
                asked_at = asked_at_by_running[delivery.observation.report.running]
                assert delivery.observed_at <= asked_at * node.clock_rate + 1e-6
                n_checked += 1
    assert n_checked


def test_a_paused_peer_wakes_to_old_datagrams_and_calls_them_old() -> None:
    """Take what waited in the buffer of a paused process for as old as it is.

    Symptom: after a pause a dead backend server counts as confirmed.
    Sequence: a process is paused; datagrams wait; the server dies; it goes on.
    Cause: their ages were right when they were sent, a pause ago.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    teller, paused, witness = network.nodes
    teller.rows = [(report(), network.now)]
    network.run(3.0)
    paused.paused = True
    n_before = len(paused.deliveries)
    last_asked_at = network.now
    for _ in range(8):
        last_asked_at = network.now
        teller.rows = [(report(), last_asked_at)]
        network.run(0.5)
    teller.rows = []
    network.run(20.0)
    assert paused.name not in witness.exchange.live_members(now=network.now)
    paused.paused = False
    network.run(10.0)
    woken = [d for d in paused.deliveries[n_before:] if d.observation == report()]
    assert all(delivery.observed_at <= last_asked_at for delivery in woken)
    assert paused.name in witness.exchange.live_members(now=network.now)
    assert witness.name in paused.exchange.live_members(now=network.now)


def _record(network: Network, *, to: Node) -> list[tuple[str, Message]]:
    recorded: list[tuple[str, Message]] = []

    def keep(source: str, address: str, message: Message) -> None:
        if address == to.address:
            recorded.append((source, message))

    network.on_send = keep
    return recorded


@pytest.mark.parametrize("restarted", ["nobody", "receiver", "sender", "both"])
def test_recorded_datagrams_change_nothing(restarted: str) -> None:
    """Refuse every datagram that has been sent before.

    Symptom: demand and suspicion of an hour ago come back.
    Sequence: datagrams are recorded and sent again, also after either end restarts.
    Cause: they bear the right key, and a restarted process remembers no sequence.
    """
    network = Network(zones=["a"] * 2, seed=SEED)
    teller, receiver = network.nodes
    recorded = _record(network, to=receiver)
    teller.rows = [(SuspicionRow(fingerprint="old", n_crashes=1), None)]
    network.run(5.0)
    network.on_send = None
    teller.rows = []
    if restarted in ("sender", "both"):
        teller = network.reboot(teller)
    if restarted in ("receiver", "both"):
        receiver = network.reboot(receiver)
    network.run(5.0)
    receiver.deliveries.clear()
    haves_before = dict(_current_haves(receiver, teller))
    network.route = lambda sender, receiver: ()
    sent = _record(network, to=teller)
    for source, message in recorded:
        network.inject(message, source=source, to=receiver)
    # At most one answer, to a greeting: its sender might have restarted.
    assert len(sent) <= 1
    network.on_send = None
    assert receiver.deliveries == []
    assert _current_haves(receiver, teller) == haves_before
    network.route = lambda sender, receiver: (0.002,)
    teller.rows = [(demand(5.0), None)]
    network.run(5.0)
    assert receiver.last(demand(5.0), peer=teller.name) is not None


def _current_haves(node: Node, other: Node) -> dict[int, int]:
    return node.exchange.peers_by_address[other.address].current.haves


def test_a_restarted_peer_is_not_counted_twice() -> None:
    """Drop the table of an earlier boot once the later one is known.

    Symptom: an account's demand doubles for seconds whenever an entry host restarts.
    Sequence: a process restarts within the expiry of its rows.
    Cause: the tables of both boots live side by side.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    teller, *others = network.nodes
    teller.rows = [(demand(10.0), None)]
    network.run(4.0)
    teller = network.reboot(teller)
    teller.rows = [(demand(3.0), None)]
    network.run(4.0)
    for node in others:
        tables = node.exchange.tables.tables_by_origin.values()
        owners = [t.member.host for t in tables if not t.member.digest]
        assert owners.count(teller.name) == 1
        told = [d.observation for d in node.deliveries if d.peer == teller.name]
        assert told[-1] == demand(3.0)


def test_two_faults_at_once_lose_nothing() -> None:
    """Agree again after a restart during a partition with lost datagrams.

    Symptom: a peer never again hears of one that restarted.
    Sequence: a partition begins; a peer restarts inside it; a third of the datagrams
    is lost when it heals.
    Cause: proving a new boot needs several datagrams, each of which may be lost.
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
    told = network.nodes[0].deliveries[-20:]
    assert any(d.peer == "zone/b" and d.observation == demand(9.0) for d in told)


def _cut(network: Network, first: str, second: str) -> Route:
    def route(sender: Node, receiver: Node) -> tuple[float, ...]:
        return () if {sender.zone, receiver.zone} == {first, second} else (0.002,)

    return route


def test_zones_go_on_during_a_partition_and_meet_after_it() -> None:
    """Exchange inside each zone while zones are cut off, and across once healed.

    Symptom: zones that lost each other for an hour never share demand again.
    Sequence: all datagrams between two zones are lost for long, then flow.
    Cause: peers that were silent for long would be given up.
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
    assert not any(d.peer == "zone/a" and now_is(d, network) for d in far.deliveries)
    network.route = lambda sender, receiver: (0.002,)
    network.run(130.0)
    told = [d for d in far.deliveries if d.peer == "zone/a"]
    # The sum of what the zone's hosts tell, and nothing of a single host.
    assert told[-1].observation.rate == 15.0
    assert {d.peer for d in far.deliveries if d.peer.startswith("e")} <= {
        "e003",
        "e004",
    }


def now_is(delivery: object, network: Network) -> bool:
    return network.now - delivery.observed_at < 20.0


def test_only_sums_cross_between_zones() -> None:
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


def test_few_hosts_hear_of_each_other_by_name() -> None:
    """Tell every zone of each host while hosts are few, and keep that fresh.

    Symptom: limits split over all hosts count whole zones as cut off.
    Sequence: eight hosts in three zones; nothing fails.
    Cause: the split needs to hear of each host within 3 s, and heard sums of zones.
    """
    network = Network(zones=["a", "b", "c", "a", "b", "c", "a", "b"], seed=SEED)
    for index, node in enumerate(network.nodes):
        node.rows = [(demand(float(index + 1)), None), (report(node.name), None)]
    network.run(15.0)
    oldest = 0.0
    for _ in range(100):
        network.run(0.1)
        for node in network.nodes:
            heard_at = {d.peer: d.observed_at for d in node.deliveries}
            others = {other.name for other in network.nodes if other is not node}
            assert heard_at.keys() == others
            oldest = max(oldest, network.now - min(heard_at.values()))
    assert oldest < 3.0
    far = network.nodes[1]
    assert far.last(report("e000"), peer="e000") is None


def test_what_the_observer_took_back_is_not_told_any_more() -> None:
    """Stop delivering a row once its observer no longer stands by it.

    Symptom: a backend server stays marked as leaving after it has come back.
    Sequence: an observer tells of a departure, then takes it back; it lives on.
    Cause: its signs of life would keep standing for a row it took back.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    teller, receiver, _ = network.nodes
    teller.rows = [(LeavingRow(host="w1"), None)]
    network.run(4.0)
    assert receiver.last(LeavingRow(host="w1"), peer=teller.name) is not None
    teller.rows = []
    network.run(4.0)
    receiver.deliveries.clear()
    network.run(10.0)
    assert receiver.last(LeavingRow(host="w1"), peer=teller.name) is None


def test_an_observer_stops_standing_by_a_report_that_gets_no_younger() -> None:
    """Let a report grow old everywhere once its askers get no answer.

    Symptom: a frozen backend server counts as confirmed for as long as askers live.
    Sequence: its asker's questions stay unanswered; the asker lives on.
    Cause: a sign of life would stand for reports whatever their age.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    teller, receiver, _ = network.nodes
    asked_at = network.now
    teller.rows = [(report(), asked_at)]
    network.run(15.0)
    told = [d for d in receiver.deliveries if d.observation == report()]
    assert told
    assert all(delivery.observed_at <= asked_at for delivery in told)


def test_a_report_that_gets_no_younger_does_not_age_the_others() -> None:
    """Leave a frozen backend server's report out of what the owner stands by.

    Symptom: all groups of a zone stop counting as whole when one host freezes.
    Sequence: one of an asker's servers stays silent; the others answer.
    Cause: one age stands for all reports of a table, that of the oldest.
    """
    network = Network(zones=["a"] * 3, seed=SEED)
    teller, receiver, _ = network.nodes
    frozen = (report("frozen"), network.now)
    for _ in range(40):
        teller.rows = [frozen, (report("well"), network.now)]
        network.run(0.25)
    told = [d for d in receiver.deliveries if d.observation == report("well")]
    assert network.now - told[-1].observed_at < 2.0


# (peer's hold, age of the row, true seconds since: own sending, observation)
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
    """Allow for clocks that differ by half a hundredth."""
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
    (kept,) = tables.take(update, zone="a", composed_at=composed_at, now=now)
    assert kept.observed_at <= now - since_observation


def test_datagrams_stay_under_the_usual_path_size() -> None:
    """Bound each datagram and the rate of them in a zone of the size designed for."""
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
    """Let nobody use a peer to flood another with recorded greetings.

    Symptom: one entry host sends without end to an address that greets it.
    Sequence: a recorded greeting is sent again a thousand times.
    Cause: each is answered, since its sender might have restarted.
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
