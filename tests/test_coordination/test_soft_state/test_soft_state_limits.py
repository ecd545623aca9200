"""Test that the split of limits counts hosts that appear only in zones' digests."""

from __future__ import annotations

from ryelever.coordination.limits.limits import AccountLimits

from .soft_state_network import Network, Node

SEED = 11
ZONES = ["a"] * 3 + ["b"] * 4


def _run(network: Network, limits_by_host: dict[str, AccountLimits], *, n: int) -> None:
    for _ in range(4 * n):
        now = network.now
        for node in network.nodes:
            limits = limits_by_host[node.name]
            limits.arrived("pawroute", now=now)
            node.rows = [(row, None) for row in limits.observations(now=now)]
        network.run(0.25)
        for node in network.nodes:
            for delivery in node.deliveries:
                limits_by_host[node.name].observed(
                    delivery.observation,
                    peer=delivery.peer,
                    observed_at=delivery.observed_at,
                    now=network.now,
                )
            node.deliveries.clear()


def _limit_states(
    network: Network, limits_by_host: dict[str, AccountLimits]
) -> dict[str, set[tuple[bool, int]]]:
    states_by_zone: dict[str, set[tuple[bool, int]]] = {}
    for node in network.nodes:
        limits = limits_by_host[node.name]
        limits.rate("pawroute", 100.0, now=network.now)
        states_by_zone.setdefault(node.zone, set()).add((limits.cut_off, limits.n_live))
    return states_by_zone


def test_zone_digest_counts_as_all_its_hosts() -> None:
    """Count all hosts that a zone's digest represents.

    Guards against callers that are refused far below their limits with more than 16
    entry hosts.  Demand crosses zones as digests under one name per zone; if each name
    counts as one host, every host considers most hosts silent and itself cut off.
    """
    network = Network(zones=ZONES, seed=SEED, max_flat=0)
    limits_by_host = {
        node.name: AccountLimits(n_hosts=lambda: len(ZONES)) for node in network.nodes
    }
    _run(network, limits_by_host, n=20)
    assert _limit_states(network, limits_by_host) == {
        "a": {(False, 7)},
        "b": {(False, 7)},
    }

    def cut(sender: Node, receiver: Node) -> tuple[float, ...]:
        return (0.002,) if sender.zone == receiver.zone else ()

    network.route = cut
    _run(network, limits_by_host, n=8)
    assert _limit_states(network, limits_by_host) == {
        "a": {(True, 3)},
        "b": {(False, 4)},
    }
