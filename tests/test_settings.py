"""Test how settings are read and checked."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from ryelever.settings import REQUIRED, SETTINGS, settings_table
from ryelever.settings_reader import read_settings

OPERATIONS = Path(__file__).parents[1] / "docs" / "OPERATIONS.md"

GOOD = {
    "host": "entry-1",
    "availability_zone": "brisbane",
    "availability_zones": ["brisbane", "ipswich"],
    "callers_address": "127.0.0.1:8080",
    "log_address": "127.0.0.1:9000",
    "hosts_list_address": "127.0.0.1:9001",
}


def faults_of(**changes: object) -> list[str]:
    """Return the faults of valid settings after some changes."""
    checked = read_settings(json.dumps(GOOD | changes, indent=2))
    return [] if checked.is_ok() else [str(fault) for fault in checked.error]


def test_comments_are_allowed() -> None:
    text = "// own\n" + json.dumps(GOOD).replace("{", "{ /* all */ ", 1)
    assert read_settings(text).ok.host == "entry-1"


def test_all_faults_are_reported_at_once_with_their_lines() -> None:
    faults = faults_of(host="", callers_address="localhost:80", max_bdy=1)
    assert [fault.partition(":")[0] for fault in faults] == [
        "max_bdy (line 11)",
        "host (line 2)",
        "callers_address (line 8)",
    ]
    assert all("expected" in fault for fault in faults)


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("", "file"),
        ("[]", "file"),
        ('{\n"host": ]}', "line 2"),
        ('{"host": "a", "host": "b"}', "file"),
        ("[" * 100_000, "file"),
    ],
)
def test_text_that_is_not_an_object_is_one_fault(text: str, place: str) -> None:
    (fault,) = read_settings(text).error
    assert fault.place == place


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("host", "a b"),
        ("host", 3),
        ("availability_zones", "brisbane"),
        ("callers_address", "::1:80"),
        ("callers_address", "127.0.0.1:99999"),
        ("log_address", "127.0.0.1"),
        ("peers", ["127.0.0.1"]),
        ("request_timeout", 0),
        ("request_timeout", True),
        ("request_timeout", "60"),
        ("request_timeout", float("inf")),
        ("max_body", 1.5),
        ("operator_key", "short"),
        ("availability_zones", ["ipswich"]),
        ("report_max_age", 0.1),
        ("peers", ["127.0.0.1:1"]),
    ],
)
def test_bad_value_is_refused(name: str, value: object) -> None:
    (fault,) = faults_of(**{name: value})
    assert fault.startswith(("peer_key" if name == "peers" else name, "peers"))


def test_secret_is_not_shown_in_its_fault() -> None:
    (fault,) = faults_of(operator_key="tooshort")
    assert "tooshort" not in fault


def test_defaults_are_valid() -> None:
    """Accept every default, so that a file with only the required settings is valid."""
    assert faults_of() == []
    assert all(
        setting.check(setting.default)
        for setting in SETTINGS
        if setting.default is not REQUIRED
    )


def test_reference_in_the_docs_is_current() -> None:
    """Compare the table in docs/OPERATIONS.md with the output of `make reference`."""
    found = re.search(
        r"<!-- settings -->\n(.*?)<!-- end of settings -->",
        OPERATIONS.read_text(),
        re.S,
    )
    assert found is not None
    assert found[1].strip() == settings_table().strip()
