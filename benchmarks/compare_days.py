"""Compare variants of the code pairwise on the same emulated days.

Each variant is a checkout of its own.  The player is a command that plays one day of a
deployment inside a checkout and writes a JSON report, with the day's score under ``G``
and broken promises under ``breaks``.  ``{deployment}``, ``{day}``, ``{seed}`` and
``{report}`` in the player's arguments are filled in.  The first variant is the baseline
of the others.  Results are saved as they come in, and a stopped run resumes without
playing a saved day again::

    python -m benchmarks.compare_days --results FILE --player "PLAYER run {deployment}
        {day} --seed {seed} --small --report {report}" --variant baseline=DIR
        --variant changed=DIR --deployment FILE --day quiet-1 --seed 11 --jobs 6
"""

from __future__ import annotations

import argparse
import json
import math
import shlex
import statistics
import subprocess
import tempfile
from collections import defaultdict
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from itertools import product
from pathlib import Path
from typing import Any

#: Columns of the plot on each side of zero difference, and the score of one column.
PLOT_SIDE = 30
PLOT_STEP = 0.005


@dataclass(frozen=True, slots=True, kw_only=True)
class Play:
    """Identify one play: a day of a deployment with a seed, played by a variant."""

    variant: str
    deployment: str
    day: str
    seed: str

    @property
    def day_key(self) -> tuple[str, str, str]:
        """Return the key that the plays of all variants on one day share."""
        return self.deployment, self.day, self.seed


@dataclass(frozen=True, slots=True, kw_only=True)
class PlayOutcome:
    """Outcome of one play.

    Attributes
    ----------
    worth : float or None
        Score of the day, whose mean is the column "worth" of the table; None if the day
        was not played to its end.
    breaks : dict of str to int
        Broken promises by name.
    credit : float
        Sum of the weighted parts of the score, before prices.
    """

    play: Play
    worth: float | None
    credit: float = 0.0
    breaks: dict[str, Any] = field(default_factory=dict)


class Results:
    """Store outcomes in a file, one line of JSON for each play."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.by_play: dict[Play, PlayOutcome] = {}
        if path.exists():
            for line in path.read_text().splitlines():
                read = json.loads(line)
                self._store(PlayOutcome(**(read | {"play": Play(**read["play"])})))

    def add(self, outcome: PlayOutcome) -> None:
        """Store an outcome; a failed play is not saved, and the next run repeats it."""
        self._store(outcome)
        if outcome.worth is not None:
            with self._path.open("a") as file:
                file.write(json.dumps(asdict(outcome)) + "\n")

    def _store(self, outcome: PlayOutcome) -> None:
        self.by_play[outcome.play] = outcome


def play_day(play: Play, *, player: str, folder: Path, deployment: Path) -> PlayOutcome:
    """Play one day in a variant's checkout and return the outcome."""
    with tempfile.TemporaryDirectory() as reports:
        report = Path(reports) / "report.json"
        command = [
            argument.format(
                deployment=deployment, day=play.day, seed=play.seed, report=report
            )
            for argument in shlex.split(player)
        ]
        ended = subprocess.run(command, cwd=folder, capture_output=True, check=False)
        if not report.exists():
            print(f"{play}: no report, {ended.stdout[-300:]!r}", flush=True)
            return PlayOutcome(play=play, worth=None)
        read = json.loads(report.read_text())
    credit = sum(weight * value for _, weight, value in read.get("parts", ()))
    return PlayOutcome(
        play=play, worth=read["G"], credit=credit, breaks=read.get("breaks", {})
    )


def differences(
    results: Results, *, variant: str, first: str, deployment: str
) -> list[float]:
    """Return the scores of a variant's days minus those of the first variant's."""
    worth_by_pair: dict[tuple[str, str, str], dict[str, float]] = defaultdict(dict)
    for play, outcome in results.by_play.items():
        if play.deployment == deployment and outcome.worth is not None:
            worth_by_pair[play.day_key][play.variant] = outcome.worth
    return [
        worths[variant] - worths[first]
        for worths in worth_by_pair.values()
        if variant in worths and first in worths
    ]


def table(results: Results, *, variants: list[str]) -> Iterator[str]:
    """Yield the lines of the table: mean scores, and mean pairwise differences."""
    yield "| deployment | variant | days | worth | credit | difference | broken |"
    yield "|---|---|---|---|---|---|---|"
    for deployment in sorted({play.deployment for play in results.by_play}):
        for variant in variants:
            days = [
                outcome
                for play, outcome in results.by_play.items()
                if (play.variant, play.deployment) == (variant, deployment)
                and outcome.worth is not None
            ]
            if not days:
                continue
            score_differences = differences(
                results, variant=variant, first=variants[0], deployment=deployment
            )
            broken = sum(bool(outcome.breaks) for outcome in days)
            worth = statistics.mean(outcome.worth for outcome in days)
            credit = statistics.mean(outcome.credit for outcome in days)
            yield (
                f"| {deployment} | {variant} | {len(days)} | {worth:.4f} "
                f"| {credit:.4f} | {_spread(score_differences)} | {broken} |"
            )


def _spread(score_differences: list[float]) -> str:
    if len(score_differences) < 2:
        return "-"
    error = statistics.stdev(score_differences) / math.sqrt(len(score_differences))
    return f"{statistics.mean(score_differences):+.4f} ± {error:.4f}"


def plot(results: Results, *, variants: list[str]) -> Iterator[str]:
    """Yield a line for each day and variant: the difference to the first variant."""
    for outcome in sorted(results.by_play.values(), key=lambda item: item.play.day_key):
        play = outcome.play
        first = results.by_play.get(
            Play(**(asdict(play) | {"variant": variants[0]})),
        )
        if play.variant == variants[0] or play.variant not in variants:
            continue
        if first is None or None in (first.worth, outcome.worth):
            continue
        difference = outcome.worth - first.worth
        column = max(-PLOT_SIDE, min(PLOT_SIDE, round(difference / PLOT_STEP)))
        row = [" "] * (2 * PLOT_SIDE + 1)
        row[PLOT_SIDE] = "|"
        row[PLOT_SIDE + column] = "*"
        name = f"{play.deployment[:14]:14} {play.day[:14]:14} {play.seed:>12}"
        yield f"{name} {play.variant[:12]:12} {difference:+.3f} {''.join(row).rstrip()}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--results", type=Path, required=True)
    parser.add_argument("--player", required=True)
    parser.add_argument("--variant", action="append", required=True)
    parser.add_argument("--deployment", action="append", type=Path, default=[])
    parser.add_argument("--day", action="append", default=[])
    parser.add_argument("--seed", action="append", default=[])
    parser.add_argument("--jobs", type=int, default=1)
    arguments = parser.parse_args()
    folders = {
        name: Path(folder)
        for name, _, folder in (item.partition("=") for item in arguments.variant)
    }
    deployments = {path.stem: path for path in arguments.deployment}
    results = Results(arguments.results)
    plays = [
        Play(variant=variant, deployment=deployment, day=day, seed=seed)
        for deployment, day, seed, variant in product(
            deployments, arguments.day, arguments.seed, folders
        )
    ]
    with ThreadPoolExecutor(arguments.jobs) as pool:
        for outcome in pool.map(
            lambda play: play_day(
                play,
                player=arguments.player,
                folder=folders[play.variant],
                deployment=deployments[play.deployment],
            ),
            [play for play in plays if play not in results.by_play],
        ):
            results.add(outcome)
    for line in (
        *plot(results, variants=list(folders)),
        "",
        *table(results, variants=list(folders)),
    ):
        print(line)


if __name__ == "__main__":
    main()
