"""Hold the subpackages of decisions to their faces."""

from __future__ import annotations

import ast
import functools
from pathlib import Path

import pytest

import ryelever

ROOT = Path(ryelever.__file__).parent
COORDINATION = ROOT / "coordination"
FAMILIES = sorted(path.parent.name for path in COORDINATION.glob("*/__init__.py"))


@functools.cache
def _imports(path: Path) -> tuple[tuple[str, tuple[str, ...]], ...]:
    """Return each module of the package that a file imports from, and the names."""
    package = ["ryelever", *path.relative_to(ROOT).parts[:-1]]
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom):
            continue
        base = package[: len(package) - node.level + 1] if node.level else []
        module = ".".join([*base, *([node.module] if node.module else [])])
        found.append((module, tuple(alias.name for alias in node.names)))
    return tuple(found)


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


def _source_of(module: str, name: str) -> str:
    """Return the module that a name comes from, where a face only shows it."""
    path = ROOT.joinpath(*module.split(".")[1:], "__init__.py")
    if not path.exists():
        return module
    for source, names in _imports(path):
        if name in names:
            return source
    return f"{module}.{name}"


def _imports_by_module() -> dict[str, set[str]]:
    """Return which modules each module imports from, for types too."""
    paths = {
        ".".join(("ryelever", *path.relative_to(ROOT).with_suffix("").parts)): path
        for path in ROOT.rglob("*.py")
        if path.name != "__init__.py"
    }
    return {
        importer: paths.keys()
        & {
            _source_of(module, name)
            for module, names in _imports(path)
            for name in names
        }
        for importer, path in paths.items()
    }


def _circles(imported: dict[str, set[str]]) -> set[str]:
    """Return the names that import each other, directly or by way of others."""
    left = {name: set(found) - {name} for name, found in imported.items()}
    while True:
        used = set().union(*left.values()) if left else set()
        outside = {name for name, found in left.items() if not found} | (
            left.keys() - used
        )
        if not outside:
            return set(left)
        left = {
            name: found - outside for name, found in left.items() if name not in outside
        }


def _family_of(module: str) -> str:
    parts = module.split(".")
    return parts[2] if parts[1] == "coordination" and len(parts) > 3 else ""


def test_no_modules_import_each_other() -> None:
    """Find circles, imports for types and by way of faces included."""
    assert _circles(_imports_by_module()) == set()


def test_no_families_import_each_other() -> None:
    """Find circles of families, imports for types included."""
    imported: dict[str, set[str]] = {}
    for importer, modules in _imports_by_module().items():
        families = {_family_of(module) for module in modules} - {""}
        if family := _family_of(importer):
            imported.setdefault(family, set()).update(families)
    assert imported.keys() == set(FAMILIES)
    assert _circles(imported) == set()
