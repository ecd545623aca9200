"""Test how much of the engines' batches one entry host may use."""

from __future__ import annotations

import pytest

from ryelever.coordination.actions import Arrival, ChatWork, ServiceWork, Target
from ryelever.coordination.admission.capacity import GroupCapacity
from ryelever.coordination.confirmation import Confirmations
from ryelever.coordination.routing.targets import Candidate, CandidateSet
from ryelever.state.fleet import HostReport

CHAT = ChatWork(model="m", messages=[], max_tokens=1, streamed=False)
CALL = ServiceWork(service="s", method="GET", path="/", content_type="", body=b"")


def arrival(work: ChatWork | ServiceWork) -> Arrival:
    return Arrival(
        request_id="r", client_account="a", work=work, arrived_at=0.0, deadline=9.0
    )


class FakeTargets:
    """Return usable targets, and count the checks of candidates."""

    def __init__(self, targets: list[Target]) -> None:
        self.usable_by_name = {target.name: target for target in targets}
        self.n_checked = 0
        candidates = tuple(
            Candidate(
                name=target.name,
                availability_zone="z",
                hosts=target.hosts,
                seed=0,
                n_accelerators=1,
            )
            for target in targets
        )
        self._found = CandidateSet(
            local_zone=candidates,
            other_zones=(),
            names=(),
            keys=(),
            built_at=0.0,
            offsets=(),
        )

    def candidates(self, work, *, now):
        return self._found

    def target(self, candidate, *, now):
        self.n_checked += 1
        return self.usable_by_name.get(candidate.name)


def capacity(
    reported: list[int], *, n_hosts: int = 4, n_hosts_waiting: int = 1
) -> GroupCapacity:
    confirmations = Confirmations(max_age=2.0)
    targets = []
    for index, running in enumerate(reported):
        host = f"h{index}"
        targets.append(Target(name=f"g{index}", address="", hosts=(host,)))
        report = HostReport(host=host, boot="b", state="ready", running=running)
        confirmations.reported(report, requested_at=0.0)
    return GroupCapacity(
        targets=FakeTargets(targets),
        confirmations=confirmations,
        batch_size=lambda: 16,
        n_hosts=lambda: n_hosts,
        n_hosts_waiting=lambda now: n_hosts_waiting,
    )


@pytest.mark.parametrize(
    ("reported", "n_in_flight", "n_hosts_waiting", "slots"),
    [
        ([], 0, 1, 0.0),  # no group serves
        ([0, 0], 0, 1, 32.0),  # all slots are lent to the only host with requests
        ([0, 0], 0, 4, 8.0),  # four hosts share the room
        ([8, 8], 4, 1, 20.0),  # peers use 12 slots
        ([16, 16], 0, 1, 8.0),  # full of peers' requests: the even share stays
        ([16, 16], 32, 1, 32.0),  # full of local requests: no more, and none is ended
        ([40, 40], 12, 1, 12.0),  # requests queue in the engines: no more slots
        ([0, 0], 20, 1, 32.0),  # reports lag behind the local grants
        ([16], 0, 1, 4.0),  # a group was lost
    ],
)
def test_slots(reported, n_in_flight, n_hosts_waiting, slots) -> None:
    group_capacity = capacity(reported, n_hosts_waiting=n_hosts_waiting)
    assert (
        group_capacity.slots(arrival(CHAT), n_in_flight=n_in_flight, now=0.5) == slots
    )


def test_grants_since_the_last_refresh_count_at_once() -> None:
    """Count granted slots as used between two refreshes of the capacity.

    Guards against a host that grants the same free room several times, because
    reports lag behind the host's own grants.  There is room for 32 requests, 30 slots
    are granted, and the reports still show no running requests.
    """
    group_capacity = capacity([0, 0], n_hosts_waiting=2)
    assert group_capacity.slots(arrival(CHAT), n_in_flight=0, now=0.5) == 16.0
    assert group_capacity.slots(arrival(CHAT), n_in_flight=30, now=0.55) == 31.0


@pytest.mark.parametrize(("reported", "slots"), [([0], float("inf")), ([], 0.0)])
def test_plain_services_have_no_batch(reported: list[int], slots: float) -> None:
    group_capacity = capacity(reported)
    assert group_capacity.slots(arrival(CALL), n_in_flight=5, now=0.5) == slots


def test_large_fleet_is_checked_in_parts() -> None:
    """Refresh the capacity of 800 groups repeatedly while 600 of them are lost.

    Guards against admission that takes milliseconds per request.  In a large fleet,
    requests arrive more than ``REFRESH_INTERVAL`` apart, no computed capacity is
    reused, and each refresh would check all groups.
    """
    view = FakeTargets(
        [Target(name=f"g{n}", address="", hosts=(f"h{n}",)) for n in range(800)]
    )
    group_capacity = GroupCapacity(
        targets=view,
        confirmations=Confirmations(max_age=2.0),
        batch_size=lambda: 16,
        n_hosts=lambda: 4,
        n_hosts_waiting=lambda now: 1,
    )
    assert group_capacity.slots(arrival(CHAT), n_in_flight=0, now=0.0) == 800 * 16
    for number in range(600):
        del view.usable_by_name[f"g{number}"]
    view.n_checked = 0
    slots = [
        group_capacity.slots(arrival(CHAT), n_in_flight=0, now=refresh / 8)
        for refresh in range(1, 26)
    ]
    assert view.n_checked == 25 * 32
    assert slots[-1] == 200 * 16
    group_capacity.slots(arrival(CHAT), n_in_flight=0, now=99.0)
    assert view.n_checked == 25 * 32 + 800


@pytest.mark.parametrize(
    ("reported", "samples", "slots"),
    [
        # 12 local requests have ended since the reports.
        ([16, 16], [(0.0, 32), (0.1, 32), (0.3, 20)], 32.0),
        # 12 of the reported requests are peers'.
        ([16, 16], [(0.0, 20), (0.3, 20)], 20.0),
        # The local requests had ended long before the reports.
        ([5, 5], [(-10.0, 5), (0.3, 0)], 22.0),
        # 20 slots were granted since the reports.
        ([5, 5], [(-0.05, 0), (0.0, 10), (0.3, 30)], 32.0),
    ],
)
def test_local_requests_are_distinguished_from_those_of_peers(
    reported, samples, slots
) -> None:
    """End local requests after the reports that count them.

    Guards against counting these requests as other hosts' requests, so that 6% of the
    slots are idle while callers wait at the only busy host.  This happens if older
    reports are compared with the current number of local requests.
    """
    group_capacity = capacity(reported)
    for at, n_in_flight in samples:
        found = group_capacity.slots(arrival(CHAT), n_in_flight=n_in_flight, now=at)
    assert found == slots
