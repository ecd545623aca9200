"""Test the choice of groups to form, their members and the weights to stage."""

from __future__ import annotations

import pytest

from ryelever.coordination.groups.forming import (
    SIZE_EXPONENT,
    FormingRules,
    choose_formations,
    choose_second_weights,
    choose_staging,
)
from ryelever.coordination.groups.warm_up import choose_warm_ups
from ryelever.state.directory import BackendServer
from ryelever.state.routes import EngineProfile, ModelProfile

from .group_fakes import server

LARGE = ModelProfile(
    name="large", size=4, share=0.67, pace=1.0, load_time=16.0, warm_time=1.6
)
SMALL = ModelProfile(
    name="small", size=2, share=0.33, pace=0.6, load_time=12.0, warm_time=1.1
)

ENGINE = EngineProfile(
    slots=13,
    step_time=0.006,
    step_time_per_request=0.0005,
    prefill_rate=46000.0,
    tokens_per_event=5,
    form_time=0.3,
    loads_per_second=4.0,
    loads_at_once=8.0,
    usual_prompt=1000.0,
    usual_answer=100.0,
    models_by_name={"large": LARGE, "small": SMALL},
)

L = frozenset({"large"})
S = frozenset({"small"})


def rules_of(
    *,
    demand: tuple[float, float] = (1.0, 1.0),
    groups: tuple[int, int] = (1, 1),
    n_servers: int = 16,
    quick: bool = False,
) -> FormingRules:
    return FormingRules(
        engine=ENGINE,
        demand_by_model={"large": demand[0], "small": demand[1]},
        groups_by_model={"large": groups[0], "small": groups[1]},
        n_servers=n_servers,
        loads_are_quick=quick,
    )


def servers_of(
    n: int,
    domain: str = "d0",
    *,
    staged: frozenset[str] = frozenset(),
    models: frozenset[str] = frozenset(),
    start: int = 0,
) -> list[BackendServer]:
    return [
        server(f"{domain}-{index}", domain=domain, staged=staged, models=models)
        for index in range(start, start + n)
    ]


def _formed_models(
    free: list[BackendServer], rules: FormingRules
) -> list[tuple[str, set[str]]]:
    return [
        (formation.model.name, {item.domain for item in formation.members})
        for formation in choose_formations(free, rules)
    ]


def test_new_zone_forms_groups_of_both_models_and_keeps_spares() -> None:
    free = servers_of(8, "d0") + servers_of(8, "d1")
    chosen = choose_formations(
        free, rules_of(demand=(2.14, 2.11), groups=(0, 0), quick=True)
    )
    names = [formation.model.name for formation in chosen]
    assert (names.count("large"), names.count("small")) == (2, 3)
    assert all(len({item.domain for item in one.members}) == 1 for one in chosen)
    member_ids = [item.id for formation in chosen for item in formation.members]
    assert len(member_ids) == len(set(member_ids)) == 14


def test_groups_are_not_formed_across_domains() -> None:
    free = servers_of(3, "d0", staged=L) + servers_of(3, "d1", staged=L)
    assert _formed_models(free, rules_of(demand=(9.0, 0.0))) == []


def test_survivors_and_a_staged_spare_repair_at_once() -> None:
    free = servers_of(3, models=L) + servers_of(1, staged=L, start=3)
    assert _formed_models(free, rules_of(demand=(0.1, 0.1))) == [("large", {"d0"})]


def test_survivors_do_not_wait_for_a_long_load() -> None:
    """Guard against a group that takes fifteen seconds to serve again.

    A member is lost, and the only spare has no weights staged.  If the survivors joined
    a group with that spare, they couldn't form a group with a better one meanwhile.
    """
    free = servers_of(3, models=L) + servers_of(1, start=3)
    rules = rules_of(demand=(2.0, 0.1))
    assert _formed_models(free, rules) == []
    [warm_up] = choose_warm_ups(free, rules)
    assert ([item.id for item in warm_up.members], warm_up.model.name) == (
        ["d0-3"],
        "large",
    )
    # A spare with another model's weights stages the needed ones.
    free = servers_of(3, models=L) + servers_of(1, staged=S, start=3)
    staging = choose_staging(free, rules)
    assert [(item.id, model.name) for item, model in staging] == [("d0-3", "large")]


def test_spares_are_not_used_up_unless_groups_are_overloaded() -> None:
    free = servers_of(2, staged=S)
    calm = rules_of(demand=(0.1, 1.2), groups=(1, 1))
    assert _formed_models(free, calm) == []
    overloaded = rules_of(demand=(0.1, 1.3), groups=(1, 1))
    assert _formed_models(free, overloaded) == [("small", {"d0"})]


def test_the_busiest_model_comes_first() -> None:
    free = servers_of(4, staged=L | S)
    assert _formed_models(free, rules_of(demand=(2.0, 1.0)))[0][0] == "large"
    assert _formed_models(free, rules_of(demand=(1.0, 2.0)))[0][0] == "small"


@pytest.mark.parametrize(
    ("n_free", "demand", "model"),
    [
        pytest.param(1, (0.1, 0.1), "large", id="no-model-in-need"),
        pytest.param(1, (0.1, 2.0), "large", id="too-few-for-any"),
        pytest.param(3, (2.0, 2.0), "small", id="too-few-for-the-neediest"),
        pytest.param(4, (2.0, 2.0), "large", id="enough"),
    ],
)
def test_model_loaded_by_empty_servers(
    n_free: int, demand: tuple[float, float], model: str
) -> None:
    free = servers_of(n_free - 1, models=S, staged=L) + servers_of(1, start=n_free)
    [warm_up] = choose_warm_ups(free, rules_of(demand=demand))
    assert warm_up.model.name == model
    assert [server.id for server in warm_up.members] == [f"d0-{n_free}"]


def test_staged_spare_changes_its_model_only_under_overload() -> None:
    free = servers_of(1, models=S) + servers_of(1, staged=L, start=1)
    assert choose_staging(free, rules_of(demand=(0.1, 1.2))) == []
    assert [
        (item.id, model.name)
        for item, model in choose_staging(free, rules_of(demand=(0.1, 1.3)))
    ] == [("d0-1", "small")]


def test_members_stage_the_other_models_weights() -> None:
    members = servers_of(4, models=L, staged=L)
    members += servers_of(2, "d1", models=S, staged=S | L)
    chosen = choose_second_weights(members, rules_of())
    assert {model.name for _, model in chosen} == {"small"}
    assert len(chosen) == 4


def test_spares_stage_the_other_models_weights() -> None:
    spares = servers_of(1, models=L, staged=L) + servers_of(
        1, models=S, staged=L, start=1
    )
    chosen = choose_second_weights(spares + servers_of(1, start=2), rules_of())
    assert [(server.id, model.name) for server, model in chosen] == [("d0-0", "small")]


def test_larger_groups_count_as_busier_once_requests_arrive() -> None:
    """Guard against a large model that loses all its groups under load.

    The large model went from eight groups to none while the small one kept eight of
    twelve.  When servers are lost one after the other, each loss is more likely to hit
    a large group, whose repair needs more free servers of one domain.  Larger groups
    are therefore complete for less of the time, and must count as busier.
    """
    groups = {"large": 3, "small": 6}
    rules = rules_of(demand=(2.0, 4.0))
    assert rules.utilization("small", groups) == pytest.approx(4.0 / 6)
    assert rules.utilization("large", groups) == pytest.approx(
        2.0 / 3 * 2**SIZE_EXPONENT
    )
    assert [model.name for model in rules.models_by_need(groups)] == ["large", "small"]
    # Before the first request no group has been lost, and the models' shares decide.
    first = rules_of(demand=(2.0, 4.0), quick=True)
    assert first.utilization("large", groups) == pytest.approx(2.0 / 3)
