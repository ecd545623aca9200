"""Test how much of the engines' batches one entry host may fill."""

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


class FewTargets:
    """Offer usable targets, and count how often one is judged."""

    def __init__(self, targets: list[Target]) -> None:
        self.usable_by_name = {target.name: target for target in targets}
        self.n_judged = 0
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
            own_zone=candidates,
            other_zones=(),
            names=(),
            keys=(),
            built_at=0.0,
            offsets=(),
        )

    def candidates(self, work, *, now):
        return self._found

    def target(self, candidate, *, now):
        self.n_judged += 1
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
        confirmations.reported(report, asked_at=0.0)
    return GroupCapacity(
        targets=FewTargets(targets),
        confirmations=confirmations,
        batch=lambda: 16,
        n_hosts=lambda: n_hosts,
        n_hosts_waiting=lambda now: n_hosts_waiting,
    )


@pytest.mark.parametrize(
    ("reported", "n_in_flight", "n_hosts_waiting", "slots"),
    [
        ([], 0, 1, 0.0),  # nothing serves
        ([0, 0], 0, 1, 32.0),  # all of it is lent to the only one that asks
        ([0, 0], 0, 4, 8.0),  # four share the room
        ([8, 8], 4, 1, 20.0),  # others hold 12
        ([16, 16], 0, 1, 8.0),  # full of others' work: the even part stays
        ([16, 16], 32, 1, 32.0),  # full of own work: no more, and none is ended
        ([40, 40], 12, 1, 12.0),  # queues in the engines: no more
        ([0, 0], 20, 1, 32.0),  # reports that lag behind the own grants
        ([16], 0, 1, 4.0),  # a group was lost
    ],
)
def test_slots(reported, n_in_flight, n_hosts_waiting, slots) -> None:
    room = capacity(reported, n_hosts_waiting=n_hosts_waiting)
    assert room.slots(arrival(CHAT), n_in_flight=n_in_flight, now=0.5) == slots


def test_own_grants_since_the_look_count_at_once() -> None:
    """Between two looks at the reports, granted slots are used up.

    Symptom: a host sends the same free room several times over.
    Sequence: room for 32; 30 are granted; the reports still say that nothing runs.
    Cause: reports lag behind the host's own grants.
    """
    room = capacity([0, 0], n_hosts_waiting=2)
    assert room.slots(arrival(CHAT), n_in_flight=0, now=0.5) == 16.0
    assert room.slots(arrival(CHAT), n_in_flight=30, now=0.55) == 31.0


@pytest.mark.parametrize(("reported", "slots"), [([0], float("inf")), ([], 0.0)])
def test_plain_services_have_no_batch(reported: list[int], slots: float) -> None:
    room = capacity(reported)
    assert room.slots(arrival(CALL), n_in_flight=5, now=0.5) == slots


def test_large_fleet_is_judged_in_turns() -> None:
    """Look at 800 groups again and again while 600 of them are lost.

    Symptom: milliseconds of each request go into admission.  Sequence: requests come
    at a large fleet, further apart than a look is kept.  Cause: each look judged all
    groups.
    """
    view = FewTargets(
        [Target(name=f"g{n}", address="", hosts=(f"h{n}",)) for n in range(800)]
    )
    room = GroupCapacity(
        targets=view,
        confirmations=Confirmations(max_age=2.0),
        batch=lambda: 16,
        n_hosts=lambda: 4,
        n_hosts_waiting=lambda now: 1,
    )
    assert room.slots(arrival(CHAT), n_in_flight=0, now=0.0) == 800 * 16
    for number in range(600):
        del view.usable_by_name[f"g{number}"]
    view.n_judged = 0
    slots = [
        room.slots(arrival(CHAT), n_in_flight=0, now=look / 8) for look in range(1, 26)
    ]
    assert view.n_judged == 25 * 32
    assert slots[-1] == 200 * 16
    room.slots(arrival(CHAT), n_in_flight=0, now=99.0)
    assert view.n_judged == 25 * 32 + 800


@pytest.mark.parametrize(
    ("reported", "courses", "slots"),
    [
        ([16, 16], [(0.0, 32), (0.1, 32), (0.3, 20)], 32.0),  # 12 have ended
        ([16, 16], [(0.0, 20), (0.3, 20)], 20.0),  # 12 are others'
        ([5, 5], [(-10.0, 5), (0.3, 0)], 22.0),  # the own ones had ended long before
        ([5, 5], [(-0.05, 0), (0.0, 10), (0.3, 30)], 32.0),  # 20 granted since
    ],
)
def test_own_requests_are_told_from_others(reported, courses, slots) -> None:
    """Requests that the host has ended since the reports are not taken for others'.

    Symptom: 6% of the slots are idle while callers wait at the only busy host.
    Sequence: the host has requests in flight; the reports count them; some end.
    Cause: reports of some time ago were compared with the own requests of now.
    """
    room = capacity(reported)
    for at, n_in_flight in courses:
        found = room.slots(arrival(CHAT), n_in_flight=n_in_flight, now=at)
    assert found == slots
