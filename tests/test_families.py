"""Check that subpackages of ryelever.coordination are used only via their interfaces.

A subpackage is called a family; its interface is the ``__init__.py``.
"""

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
    """Return the modules that a file imports from, each with the imported names."""
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
def test_other_modules_import_from_the_interface_only(family: str) -> None:
    """Check that no module outside a family imports from the family's modules."""
    inside = COORDINATION / family
    for path in ROOT.rglob("*.py"):
        if inside in path.parents:
            continue
        for module, names in _imports(path):
            place = f"{path.relative_to(ROOT)} imports {names} from {module}"
            assert not module.startswith(f"ryelever.coordination.{family}."), place


@pytest.mark.parametrize("family", FAMILIES)
def test_interface_exports_exactly_the_names_in_use(family: str) -> None:
    interface = COORDINATION / family / "__init__.py"
    declared = {
        element.value
        for node in ast.walk(ast.parse(interface.read_text()))
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
    """Return the module that defines a name, also if an interface re-exports it."""
    path = ROOT.joinpath(*module.split(".")[1:], "__init__.py")
    if not path.exists():
        return module
    for source, names in _imports(path):
        if name in names:
            return source
    return f"{module}.{name}"


def _imports_by_module() -> dict[str, set[str]]:
    """Return the modules that each module imports from, also for type checking only."""
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


def _in_cycles(imports_by_name: dict[str, set[str]]) -> set[str]:
    """Return the names that are part of import cycles, or lie between two cycles."""
    left = {name: set(found) - {name} for name, found in imports_by_name.items()}
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
    """Return the name of a module's family, or an empty string outside families."""
    parts = module.split(".")
    return parts[2] if parts[1] == "coordination" and len(parts) > 3 else ""


def test_modules_have_no_import_cycles() -> None:
    """Detect cycles, including imports for type checking and through interfaces."""
    assert _in_cycles(_imports_by_module()) == set()


def test_families_have_no_import_cycles() -> None:
    """Detect cycles of families, including imports for type checking."""
    imports_by_family: dict[str, set[str]] = {}
    for importer, modules in _imports_by_module().items():
        families = {_family_of(module) for module in modules} - {""}
        if family := _family_of(importer):
            imports_by_family.setdefault(family, set()).update(families)
    assert imports_by_family.keys() == set(FAMILIES)
    assert _in_cycles(imports_by_family) == set()
