"""Test that the platform's words stay in the folder that translates them."""

from __future__ import annotations

import re
from pathlib import Path

import ryelever
from ryelever.platform import wire_names

PACKAGE = Path(ryelever.__file__).parent

#: Fields and paths of the platform that are no words of the project as well.
FIELDS = (
    "traffic_split",
    "target_latency_ms",
    "target_gap_ms",
    "max_conns",
    "api_keys",
    "heartbeat_ms",
    "cold_per_s",
    "cold_remaining_ms",
    "port_range",
    "drain_ms",
    "grace_s",
    "stall_ms",
    "budget_slack",
    "per_seq_ms",
    "read_per_s",
    "load_s",
    "warm_s",
    "close_mode",
    "log-append",
    "log-read",
    "log-newest",
    "keyed.op",
    "keyed.servers",
    "RYELEVER_NODE_FILE",
)


def _headers() -> list[str]:
    return [
        value.decode()
        for value in vars(wire_names).values()
        if isinstance(value, bytes) and b"-" in value
    ]


def test_no_word_of_the_platform_stands_elsewhere() -> None:
    """Look through all modules outside of the folder."""
    wanted = [*FIELDS, *_headers()]
    # The product's own interface towards callers has these two headers as well.
    wanted.remove("retry-after")
    wanted.remove("request-id")
    words_only = "|".join(map(re.escape, wanted))
    pattern = re.compile(rf"(?<![\w-])(?:{words_only})(?![\w-])", re.IGNORECASE)
    found = [
        f"{path.relative_to(PACKAGE)}: {match[0]}"
        for path in PACKAGE.rglob("*.py")
        if PACKAGE / "platform" not in path.parents
        for match in pattern.finditer(path.read_text())
    ]
    assert found == []
    assert len(_headers()) > 8


def test_the_folder_is_small() -> None:
    """Count its lines: what only translates is under a tenth of the package."""

    def lines(folder: Path) -> int:
        return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))

    assert lines(PACKAGE / "platform") * 10 < lines(PACKAGE)
