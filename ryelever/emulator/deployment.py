"""Define the emulated deployment: its servers, models and weight store."""

from __future__ import annotations

from dataclasses import dataclass

from ..relay_settings import ContentionMode
from ..state.routes import EngineProfile, ModelProfile

__all__ = ["SERVICE", "Burst", "Deployment", "EmulatedModel", "engine_profile"]

#: Name of the only service of an emulated deployment.
SERVICE = "engines"


@dataclass(slots=True, kw_only=True, frozen=True)
class EmulatedModel:
    """One model and the work that arrives for it.

    Attributes
    ----------
    size : int
        Backend servers of one group.
    demand : float
        Work that arrives, as the number of groups that it keeps fully busy.
    share : float
        Fraction of all work that the operator expects for this model.
    load_time, warm_time : float
        Seconds to load the weights from the weight store, and from the server's host.
    """

    size: int
    demand: float
    share: float
    load_time: float
    warm_time: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Burst:
    """A factor of the demand for one model between two seconds of the day."""

    model: str
    factor: float
    begin: float
    end: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Deployment:
    """An emulated deployment: its servers, its models and its weight store.

    Attributes
    ----------
    n_domains, domain_size : int
        Fabric domains of each availability zone, and servers of each domain.
    stall_time : float
        Seconds for which a group is stalled before its head reports the group broken.
    loads_per_second, loads_at_once : float
        Loads that the weight store can start in a second, and loads that it can serve
        at the same time without slowing down.
    contention : ContentionMode
        Whether the service counts as contended.
    burst : Burst or None
        Change of the demand during the day.
    """

    n_zones: int
    n_domains: int
    domain_size: int
    models_by_name: dict[str, EmulatedModel]
    stall_time: float
    loads_per_second: float
    loads_at_once: float
    contention: ContentionMode = ContentionMode.OFF
    burst: Burst | None = None

    @property
    def zones(self) -> list[str]:
        """Return the names of the availability zones."""
        return [f"z{index}" for index in range(self.n_zones)]

    @property
    def n_servers(self) -> int:
        """Return the number of backend servers at the start."""
        return self.n_zones * self.n_domains * self.domain_size

    def demand(self, now: float) -> dict[str, float]:
        """Return the work that arrives for each model at a second of the day."""
        demand = {name: model.demand for name, model in self.models_by_name.items()}
        burst = self.burst
        if burst is not None and burst.begin <= now < burst.end:
            demand[burst.model] *= burst.factor
        return demand


def engine_profile(deployment: Deployment) -> EngineProfile:
    """Return the engine profile that an operator would configure for a deployment."""
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
