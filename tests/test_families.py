"""Hold the subpackages of decisions to their faces."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import ryelever

ROOT = Path(ryelever.__file__).parent
COORDINATION = ROOT / "coordination"
FAMILIES = sorted(path.parent.name for path in COORDINATION.glob("*/__init__.py"))


def _imports(path: Path) -> Iterator[tuple[str, tuple[str, ...]]]:
    """Yield each module of the package that a file imports from, and the names."""
    package = ["ryelever", *path.relative_to(ROOT).parts[:-1]]
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom):
            continue
        base = package[: len(package) - node.level + 1] if node.level else []
        module = ".".join([*base, *([node.module] if node.module else [])])
        yield module, tuple(alias.name for alias in node.names)


@pytest.mark.parametrize("family", FAMILIES)
def test_others_use_the_face_only(family: str) -> None:
    """Let nobody outside import what a family keeps to itself."""
    inside = COORDINATION / family
    for path in ROOT.rglob("*.py"):
        if inside in path.parents:
            continue
        for module, names in _imports(path):
            place = f"{path.relative_to(ROOT)} imports {names} from {module}"
            assert not module.startswith(f"ryelever.coordination.{family}."), place


@pytest.mark.parametrize("family", FAMILIES)
def test_a_face_shows_what_others_use(family: str) -> None:
    face = COORDINATION / family / "__init__.py"
    declared = {
        element.value
        for node in ast.walk(ast.parse(face.read_text()))
        if isinstance(node, ast.Assign)
        for element in node.value.elts
    }
    used: set[str] = set()
    for path in ROOT.rglob("*.py"):
        if COORDINATION / family in path.parents:
            continue
        for module, names in _imports(path):
            if module == f"ryelever.coordination.{family}":
                used |= set(names)
    assert declared == used


def _circles() -> list[list[str]]:
    """Return the groups of modules that import each other, for types too."""
    modules = {
        ".".join(("ryelever", *path.relative_to(ROOT).with_suffix("").parts)): path
        for path in ROOT.rglob("*.py")
        if path.name != "__init__.py"
    }
    imported: dict[str, set[str]] = {}
    for name, path in modules.items():
        found = set()
        for module, names in _imports(path):
            found |= {module, *(f"{module}.{item}" for item in names)}
        imported[name] = found & modules.keys()
    circles = []
    while True:
        ends = {name for name, found in imported.items() if not found}
        if not ends:
            break
        imported = {
            name: found - ends for name, found in imported.items() if name not in ends
        }
    while True:
        used = set().union(*imported.values()) if imported else set()
        starts = imported.keys() - used
        if not starts:
            break
        for name in starts:
            del imported[name]
    if imported:
        circles.append(sorted(imported))
    return circles


def test_no_modules_import_each_other() -> None:
    """Find circles, imports for types included."""
    assert _circles() == []
