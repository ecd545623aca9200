"""Measure the start of an entry host on the platform, up to reading its settings.

Starts an entry host whose settings file is missing: the process imports all modules
that serving needs, finds no settings file and exits.  Prints the medians of processor
time and peak memory, and the number of imported modules.  With ``--before`` an earlier
checkout is measured alternately in the same run, because the speed of a machine
drifts::

    .venv/bin/python -m benchmarks.host_start --before ../earlier
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

#: Modules and arguments that start an entry host, those of newer checkouts first.
COMMANDS = (("ryelever.relay_host",), ("ryelever", "serve"))

#: Program that runs a start command and prints the number of modules then imported.
COUNT = """
import runpy, sys
sys.argv[1:] = {arguments}
try:
    runpy.run_module({module!r}, run_name="__main__")
except SystemExit:
    pass
print(len(sys.modules))
"""


@dataclass(frozen=True, slots=True, kw_only=True)
class Start:
    """Cost of one start: seconds of processor time, and peak memory in bytes."""

    processor: float
    memory: int


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", type=Path, help="an earlier checkout")
    parser.add_argument("--runs", type=int, default=9)
    arguments = parser.parse_args()
    trees = [Path.cwd(), *([arguments.before] if arguments.before else [])]
    starts_by_tree: dict[Path, list[Start]] = {tree: [] for tree in trees}
    for run in range(arguments.runs + 1):
        for tree in trees:
            start = measure(tree)
            # The first start isn't counted, because it may compile bytecode.
            if run:
                starts_by_tree[tree].append(start)
    print("| checkout | s of processor time | MB at the peak | modules |")
    print("|---|---|---|---|")
    for tree, starts in starts_by_tree.items():
        processor = statistics.median(start.processor for start in starts)
        memory = statistics.median(start.memory for start in starts) / 1e6
        name = "this" if tree == Path.cwd() else "before"
        print(f"| {name} | {processor:.3f} | {memory:.1f} | {n_modules(tree)} |")


def measure(tree: Path) -> Start:
    """Start an entry host of a checkout once and return the cost."""
    process = subprocess.Popen(
        [sys.executable, "-m", *_command(tree)],
        cwd=tree,
        env=_environment(),
        stderr=subprocess.DEVNULL,
    )
    _, _, usage = os.wait4(process.pid, 0)
    process.returncode = 0
    return Start(
        processor=usage.ru_utime + usage.ru_stime, memory=usage.ru_maxrss * 1024
    )


def n_modules(tree: Path) -> int:
    """Return the number of modules that an entry host of a checkout imports."""
    module, *rest = _command(tree)
    module = f"{module}.__main__" if rest else module
    code = COUNT.format(module=module, arguments=rest)
    answer = subprocess.run(
        [sys.executable, "-c", code],
        cwd=tree,
        env=_environment(),
        capture_output=True,
        check=True,
    )
    return int(answer.stdout)


def _command(tree: Path) -> tuple[str, ...]:
    for command in COMMANDS:
        path = tree.joinpath(*command[0].split("."))
        if path.with_suffix(".py").exists() or path.is_dir():
            return command
    raise SystemExit(f"{tree}: no module of an entry host in this checkout")


def _environment() -> dict[str, str]:
    return {"PATH": os.environ["PATH"], "RYELEVER_NODE_FILE": "/missing"}


if __name__ == "__main__":
    main()
