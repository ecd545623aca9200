"""Test that the platform's names occur only in the package that translates them."""

from __future__ import annotations

import re
from pathlib import Path

import ryelever
from ryelever.platform import wire_names

PACKAGE = Path(ryelever.__file__).parent

#: Fields and paths of the platform that the rest of the project doesn't use as names.
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


def test_platform_names_occur_in_no_other_package() -> None:
    """Search all modules outside of the platform package."""
    names_to_find = [*FIELDS, *_headers()]
    # The product's own interface to callers also has these two headers.
    names_to_find.remove("retry-after")
    names_to_find.remove("request-id")
    alternatives = "|".join(map(re.escape, names_to_find))
    pattern = re.compile(rf"(?<![\w-])(?:{alternatives})(?![\w-])", re.IGNORECASE)
    found = [
        f"{path.relative_to(PACKAGE)}: {match[0]}"
        for path in PACKAGE.rglob("*.py")
        if PACKAGE / "platform" not in path.parents
        for match in pattern.finditer(path.read_text())
    ]
    assert found == []
    assert len(_headers()) > 8


def test_platform_package_is_small() -> None:
    """Keep the translation under a tenth of the lines of the whole product."""

    def lines(folder: Path) -> int:
        return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))

    assert lines(PACKAGE / "platform") * 10 < lines(PACKAGE)
