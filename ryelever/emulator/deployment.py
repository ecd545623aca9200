"""Describe the deployment that is emulated."""

from __future__ import annotations

from dataclasses import dataclass

from ..state.routes import EngineProfile, ModelProfile

__all__ = ["SERVICE", "Deployment", "EmulatedModel", "engine_of"]

#: Name of the one service that there is.
SERVICE = "engines"


@dataclass(slots=True, kw_only=True, frozen=True)
class EmulatedModel:
    """Describe one model and the work that arrives for it.

    Attributes
    ----------
    size : int
        Backend servers of one group.
    demand : float
        Work that arrives, in groups kept busy.
    share : float
        Part of the work that the operator expects.
    load_time, warm_time : float
        Seconds to load the weights from the store, and from the host.
    """

    size: int
    demand: float
    share: float
    load_time: float
    warm_time: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Deployment:
    """Describe where planners are to work.

    Attributes
    ----------
    n_domains, domain_size : int
        Fabric domains of each availability zone, and servers of each domain.
    stall_time : float
        Seconds for which a group stands still before it breaks off.
    loads_per_second, loads_at_once : float
        What the weight store starts, and makes at once without slowing.
    """

    n_zones: int
    n_domains: int
    domain_size: int
    models_by_name: dict[str, EmulatedModel]
    stall_time: float
    loads_per_second: float
    loads_at_once: float

    @property
    def zones(self) -> list[str]:
        """Return the names of the availability zones."""
        return [f"z{index}" for index in range(self.n_zones)]

    @property
    def n_servers(self) -> int:
        """Return how many backend servers there are at the start."""
        return self.n_zones * self.n_domains * self.domain_size

    @property
    def demand(self) -> dict[str, float]:
        """Return the work that arrives, by model."""
        return {name: model.demand for name, model in self.models_by_name.items()}


def engine_of(deployment: Deployment) -> EngineProfile:
    """Return the engines' profile as the operator's configuration would have it."""
    models = {
        name: ModelProfile(
            name=name,
            size=model.size,
            share=model.share,
            pace=1.0,
            load_time=model.load_time,
            warm_time=model.warm_time,
        )
        for name, model in deployment.models_by_name.items()
    }
    return EngineProfile(
        slots=13,
        step_time=0.006,
        step_time_per_request=0.0005,
        prefill_rate=46000.0,
        tokens_per_event=5,
        form_time=0.3,
        loads_per_second=deployment.loads_per_second,
        loads_at_once=deployment.loads_at_once,
        usual_prompt=1000.0,
        usual_answer=100.0,
        models_by_name=models,
    )
