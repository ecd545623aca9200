"""Test that only the failures listed in KNOWN-RED.txt are expected."""

from __future__ import annotations

import pytest

CONFTEST = """
from pathlib import Path
from tests.known_red import mark_known_red

def pytest_collection_modifyitems(config, items):
    whole_files = not any("::" in argument for argument in config.args)
    mark_known_red(
        items, whole_files=whole_files, path=Path(__file__).with_name("KNOWN-RED.txt")
    )
"""

SUITE = """
import pytest

def test_good(): pass
def test_red(): assert False, "the fault"
def test_other(): assert False, "another fault"

@pytest.mark.parametrize("key", ["a,b"])
def test_comma(key): assert False
"""

GOOD = "test_suite.py::test_good, it fails at times, 7"
RED = "test_suite.py::test_red, the fault, which is known, 8"
OTHER = "test_suite.py::test_other, another, 9"
RARE = "test_suite.py::test_good, intermittent: once in forty runs, 7"
RARE_RED = "test_suite.py::test_red, intermittent: once in forty runs, 7"
COMMA = "test_suite.py::test_comma[a,b], a comma in its name, 10"


@pytest.mark.parametrize(
    ("lines", "selected", "exit_code", "printed"),
    [
        ([RED], "test_red", 0, "XFAIL test_suite.py::test_red - the fault, which*8"),
        ([COMMA], "test_comma", 0, "XFAIL test_suite.py::test_comma*10"),
        ([RED, OTHER, COMMA], "", 0, "*1 passed, 3 xfailed*"),
        ([GOOD], "test_good", 1, "FAILED*test_good*XPASS(strict)*it fails at times*"),
        ([RARE], "test_good", 0, "XPASS test_suite.py::test_good*once in forty*"),
        ([RARE_RED], "test_red", 0, "XFAIL test_suite.py::test_red*once in forty*"),
        ([RARE], "test_red", 1, "FAILED test_suite.py::test_red*the fault*"),
        ([RED], "test_other", 1, "FAILED test_suite.py::test_other*another fault*"),
        ([], "test_red", 1, "FAILED test_suite.py::test_red*the fault*"),
        ([GOOD, RED, OTHER, COMMA], "", 4, "*more than 3 lines*"),
        (["test_suite.py::test_gone, it fails, 7"], "", 4, "*there is no test*_gone*"),
        (
            ["test_suite.py::test_red, no issue"],
            "",
            4,
            "*line without a cause or an issue*",
        ),
    ],
)
def test_only_listed_failures_are_expected(
    pytester: pytest.Pytester,
    lines: list[str],
    selected: str,
    exit_code: int,
    printed: str,
) -> None:
    """Expect and print listed failures; fail for other failures and for stale lines.

    Symptom: a run passes although a test fails that is not listed, or a repaired test
    stays on the list.  Sequence: a line is added for one test; later that test is
    repaired or renamed, or another one fails.  Cause: a line applies to tests that it
    does not name, or remains valid after the repair.
    """
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(test_suite=SUITE)
    pytester.path.joinpath("KNOWN-RED.txt").write_text("\n".join(lines))
    result = pytester.runpytest("-ra", "-k", selected)
    assert result.ret == exit_code
    (result.stderr if exit_code == 4 else result.stdout).fnmatch_lines([printed])
