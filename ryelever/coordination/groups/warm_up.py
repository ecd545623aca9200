"""Load a model on empty servers before a group needs them.

A host keeps the weights of one model staged, and a server rejoins groups of the model
that it served last almost instantly.  An empty server therefore joins a warm-up group,
which has one member and never opens, and then stages another model's weights.  Such a
spare can repair groups of either model within two seconds.  If every spare held one
model's weights only, most would wait for a group for which their domain has too few
servers, while the other model's groups are overloaded.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .forming import GROWTH_UTILIZATION, Formation, by_domain

if TYPE_CHECKING:
    from ...state.directory import BackendServer
    from ...state.routes import ModelProfile
    from .forming import FormingRules

__all__ = ["choose_warm_ups"]


def choose_warm_ups(free: list[BackendServer], rules: FormingRules) -> list[Formation]:
    """Return the warm-up groups to form: one for each empty server.

    Parameters
    ----------
    free : list of BackendServer
        Free servers that are not about to join another group.
    """
    return [
        Formation(model=_model_for(servers, rules), members=(server,))
        for servers in by_domain(free).values()
        for server in servers
        if not server.models and not server.staged
    ]


def _model_for(servers: list[BackendServer], rules: FormingRules) -> ModelProfile:
    """Return the neediest model for which a domain has enough free servers.

    If the domain has too few for any model in need, return the model with the largest
    groups, whose next loss leaves the most free servers.
    """
    for model in rules.models_by_need(rules.groups_by_model):
        is_needed = (
            rules.utilization(model.name, rules.groups_by_model) >= GROWTH_UTILIZATION
        )
        if is_needed and len(servers) >= model.size:
            return model
    return max(rules.engine.models_by_name.values(), key=lambda model: model.size)
