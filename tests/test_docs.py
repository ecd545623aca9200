"""Test that the tests and pages that the documentation names exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parents[1]
PROMISES = ROOT / "docs" / "PROMISES.md"

#: Reference to a test in a page: file, function and, if any, the id of a parameter set.
TEST_REFERENCE = re.compile(r"`(test_\w+\.py)::(\w+)(?:\[([^`]+)\])?`")


def _missing_test(file: str, function: str, row: str) -> str:
    """Return the reference to a test if it does not exist, else an empty string."""
    for path in ROOT.glob(f"tests/**/{file}"):
        text = path.read_text()
        names = {
            getattr(target, "id", "")
            for node in ast.parse(text).body
            for target in getattr(node, "targets", [])
        }
        names |= {getattr(node, "name", "") for node in ast.parse(text).body}
        is_collected = function.startswith(("test_", "Test")) and function in names
        if is_collected and (not row or f'"{row}"' in text):
            return ""
    return f"{file}::{function}[{row}]"


def test_every_test_that_the_page_names_exists() -> None:
    """Look up each test that docs/PROMISES.md names, with its parameter set."""
    text = PROMISES.read_text()
    references = TEST_REFERENCE.findall(text)
    assert [fault for name in references if (fault := _missing_test(*name))] == []
    # A reference that TEST_REFERENCE does not match would stay unchecked.
    assert text.count(".py::") == len(references) > 50
    assert all(f"\n## {number}. " in text for number in range(1, 9))


def test_every_test_that_the_findings_name_exists() -> None:
    """Look up each test that docs/FINDINGS.md names."""
    references = TEST_REFERENCE.findall((ROOT / "docs" / "FINDINGS.md").read_text())
    assert [fault for name in references if (fault := _missing_test(*name))] == []
    assert len(references) > 8


def test_every_page_that_is_named_exists() -> None:
    """Look up each page that README.md, CONTRIBUTING.md or another page names."""
    pages = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *ROOT.glob("docs/**/*.md")]
    names = {
        name
        for page in pages
        for name in re.findall(r"docs/(?:design/)?[\w-]+\.md", page.read_text())
    }
    assert {"docs/PROMISES.md", "docs/design/losses.md"} <= names
    assert [name for name in sorted(names) if not (ROOT / name).exists()] == []
