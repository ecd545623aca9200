"""Measure the credit that groups earn over many emulated days with server losses.

Runs the planners' own code (``ryelever.emulator``) on several deployments.  For each
deployment it prints the mean credit over all models with the standard error over days,
the credit of each model, the credit of the worst two seconds, and the number of loads.
``--set`` changes a constant of a module, which compares variants on the same days::

    .venv/bin/python -m benchmarks.group_days --days 60
    .venv/bin/python -m benchmarks.group_days --set forming.SPARE_SHARE=0
"""

from __future__ import annotations

import argparse
import concurrent.futures
import importlib
import statistics

from ryelever.emulator import (
    DayResult,
    Deployment,
    EmulatedModel,
    LossPattern,
    simulate_day,
)


def _deployment(
    *,
    domain_size: int,
    sizes: tuple[int, int],
    demand: tuple[float, float],
    n_domains: int = 2,
    share: float = 0.67,
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


def play(name: str, seed: int, changes: tuple[str, ...]) -> DayResult:
    """Emulate one day after applying changes of the form ``MODULE.NAME=VALUE``."""
    for change in changes:
        place, _, value = change.partition("=")
        module_name, _, constant = place.partition(".")
        module = importlib.import_module(f"ryelever.coordination.groups.{module_name}")
        if not hasattr(module, constant):
            raise SystemExit(f"--set {change}: {module_name} has no {constant}")
        setattr(module, constant, float(value))
    deployment, losses = DAYS[name]
    return simulate_day(deployment=deployment, losses=losses, seed=seed)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=int, default=24)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--set", action="append", default=[], metavar="MODULE.NAME=X")
    arguments = parser.parse_args()
    changes = tuple(arguments.set)
    means = []
    print("| deployment | mean | error | large | small | worst 2 s | loads |")
    print("|---|---|---|---|---|---|---|")
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        for name in DAYS:
            n = arguments.days
            days = list(pool.map(play, [name] * n, range(n), [changes] * n))
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
