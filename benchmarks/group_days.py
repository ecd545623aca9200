"""Measure the credit that groups earn over many emulated days with server losses.

Runs the planners' own code (``ryelever.emulator``) on several deployments.  For each
deployment it prints the mean credit over all models with the standard error over days,
the credit of each model, the credit of the worst two seconds, and the number of loads.
``--set`` changes a constant of a module, which compares variants on the same days::

    .venv/bin/python -m benchmarks.group_days --days 60
    .venv/bin/python -m benchmarks.group_days --set forming.SPARE_SHARE=0

``--contention off`` plays the days of contended services without their rules.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import importlib
import statistics
from dataclasses import replace

from ryelever.emulator import (
    Burst,
    DayResult,
    Deployment,
    EmulatedModel,
    LossPattern,
    simulate_day,
)
from ryelever.relay_settings import ContentionMode


def _deployment(
    *,
    domain_size: int,
    sizes: tuple[int, int],
    demand: tuple[float, float],
    n_domains: int = 2,
    share: float = 0.67,
    burst: Burst | None = None,
) -> Deployment:
    """Return a deployment of three zones with a large and a small model.

    The load rates of the weight store grow in proportion to the number of servers.
    """
    large, small = sizes
    scale = n_domains * domain_size / 22
    return Deployment(
        n_zones=3,
        n_domains=n_domains,
        domain_size=domain_size,
        models_by_name={
            "large": EmulatedModel(
                size=large, demand=demand[0], share=share, load_time=16.0, warm_time=1.6
            ),
            "small": EmulatedModel(
                size=small,
                demand=demand[1],
                share=1.0 - share,
                load_time=12.0,
                warm_time=1.1,
            ),
        },
        stall_time=5.0,
        loads_per_second=5.5 * scale,
        loads_at_once=8.0 * scale,
        burst=burst,
    )


def _small_model_rushes(*, begin: float, end: float) -> Deployment:
    """Return 162 servers with a burst of the small model, in seconds of the day."""
    return _deployment(
        domain_size=27,
        sizes=(12, 6),
        demand=(2.6, 8.5),
        share=0.5,
        burst=Burst(model="small", factor=1.7, begin=begin, end=end),
    )


#: Deployment and server losses by name of the day.  Calm days have lower demands than
#: loaded ones.
DAYS = {
    "66 servers, calm": (
        _deployment(domain_size=11, sizes=(6, 3), demand=(3.3, 4.3)),
        LossPattern(domain_lost_at=11.0, domain_outage_time=8.0),
    ),
    "66 servers, loaded": (
        _deployment(domain_size=11, sizes=(6, 3), demand=(4.1, 5.3)),
        LossPattern(),
    ),
    "66 servers, small model rushes": (
        _deployment(domain_size=11, sizes=(6, 3), demand=(3.5, 8.0)),
        LossPattern(domain_lost_at=11.0),
    ),
    "48 servers, calm": (
        _deployment(domain_size=8, sizes=(4, 2), demand=(3.2, 3.6)),
        LossPattern(domain_lost_at=11.0),
    ),
    "48 servers, loaded": (
        _deployment(domain_size=8, sizes=(4, 2), demand=(4.0, 5.0)),
        LossPattern(n_lost_at_once=2, loss_interval=(3.0, 5.0)),
    ),
    "171 servers, small model in demand, calm": (
        _deployment(
            n_domains=3, domain_size=19, sizes=(8, 4), demand=(2.7, 11.9), share=0.5
        ),
        LossPattern(n_lost_at_once=2, domain_lost_at=11.0, domain_outage_time=8.0),
    ),
    "171 servers, small model in demand, loaded": (
        _deployment(
            n_domains=3, domain_size=19, sizes=(8, 4), demand=(3.3, 14.7), share=0.5
        ),
        LossPattern(n_lost_at_once=3),
    ),
    "36 servers, small model in demand, calm": (
        _deployment(
            n_domains=1, domain_size=12, sizes=(4, 2), demand=(0.7, 2.3), share=0.5
        ),
        LossPattern(n_lost_at_once=2, domain_lost_at=11.0, domain_outage_time=8.0),
    ),
}


#: As ``DAYS``, for services whose callers compete for capacity: the demand of one model
#: rises for some seconds while the other one has groups to spare, or demand exceeds
#: what all servers can run.
CONTENDED_DAYS = {
    "162 servers, small model rushes": (
        _small_model_rushes(begin=14.0, end=17.8),
        LossPattern(),
    ),
    "162 servers, small model rushes for long": (
        _small_model_rushes(begin=12.0, end=24.0),
        LossPattern(),
    ),
    "222 servers, small model overloaded": (
        _deployment(domain_size=37, sizes=(16, 4), demand=(4.2, 24.0), share=0.55),
        LossPattern(),
    ),
    "222 servers, large model rushes": (
        _deployment(
            domain_size=37,
            sizes=(16, 4),
            demand=(4.2, 14.0),
            share=0.55,
            burst=Burst(model="large", factor=1.9, begin=14.0, end=24.0),
        ),
        LossPattern(),
    ),
}


def play(
    name: str, seed: int, changes: tuple[str, ...], contention: str = "on"
) -> DayResult:
    """Emulate one day after applying changes of the form ``MODULE.NAME=VALUE``.

    Parameters
    ----------
    contention : {"on", "off"}
        Whether the rules for contended services apply on ``CONTENDED_DAYS``.
    """
    for change in changes:
        place, _, value = change.partition("=")
        module_name, _, constant = place.partition(".")
        module = importlib.import_module(f"ryelever.coordination.groups.{module_name}")
        if not hasattr(module, constant):
            raise SystemExit(f"--set {change}: {module_name} has no {constant}")
        setattr(module, constant, float(value))
    deployment, losses = (DAYS | CONTENDED_DAYS)[name]
    if name in CONTENDED_DAYS:
        deployment = replace(deployment, contention=ContentionMode(contention))
    return simulate_day(deployment=deployment, losses=losses, seed=seed)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=24)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--set", action="append", default=[], metavar="MODULE.NAME=X")
    parser.add_argument("--contention", choices=("on", "off"), default="on")
    arguments = parser.parse_args()
    changes = tuple(arguments.set)
    means = []
    print("| deployment | mean | error | large | small | worst 2 s | loads |")
    print("|---|---|---|---|---|---|---|")
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        for name in DAYS | CONTENDED_DAYS:
            n = arguments.days
            modes = [arguments.contention] * n
            days = list(pool.map(play, [name] * n, range(n), [changes] * n, modes))
            mean = statistics.mean(day.mean for day in days)
            error = statistics.stdev(day.mean for day in days) / n**0.5
            large, small = (
                statistics.mean(day.served_by_model[model] for day in days)
                for model in ("large", "small")
            )
            worst = statistics.mean(day.worst for day in days)
            loads = statistics.mean(day.n_loads for day in days)
            means.append(mean)
            print(
                f"| {name} | {mean:.3f} | {error:.3f} | {large:.3f} | {small:.3f} "
                f"| {worst:.3f} | {loads:.1f} |"
            )
    print(f"mean of all: {statistics.mean(means):.4f}")


if __name__ == "__main__":
    main()
