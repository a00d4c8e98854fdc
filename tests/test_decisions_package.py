"""Guards on the package of the decisions: what it may import, its size, and who may touch which state."""

import ast
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "badgerbend" / "decisions"
MODULES = sorted(PACKAGE.glob("*.py"))
STANDARD = {
    "__future__",
    "bisect",
    "collections",
    "collections.abc",
    "dataclasses",
    "enum",
    "itertools",
    "math",
    "random",
    "statistics",
    "typing",
}
MAX_CLASS_LINES = 200
MAX_FUNCTION_LINES = 40

modules = pytest.mark.parametrize("module", MODULES, ids=lambda module: module.name)


def imported(module):
    names = set()
    for node in ast.walk(ast.parse(module.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add(node.module)
    return names


@modules
def test_module_stays_within_the_projects_width(module):
    assert max(map(len, module.read_text().splitlines())) <= 120


def test_module_names_its_interface_first():
    lines = (PACKAGE / "__init__.py").read_text().splitlines()
    docstring = lines[: lines.index('"""') + 1]
    assert "badgerbend/api.py" in "\n".join(docstring)


@modules
def test_module_reads_no_clock(module):
    own = {"badgerbend", "badgerbend.api"} | {f"badgerbend.decisions.{other.stem}" for other in MODULES}
    assert imported(module) <= STANDARD | own


@modules
def test_module_touches_no_private_state_of_another(module):
    tree = ast.parse(module.read_text())
    private = [n for n in ast.walk(tree) if isinstance(n, ast.Attribute) and n.attr.startswith("_")]
    assert [ast.unparse(n) for n in private if not (isinstance(n.value, ast.Name) and n.value.id == "self")] == []


@modules
def test_classes_and_functions_stay_short(module):
    for node in ast.walk(ast.parse(module.read_text())):
        lines = getattr(node, "end_lineno", 0) - getattr(node, "lineno", 0) + 1
        if isinstance(node, ast.ClassDef):
            assert lines <= MAX_CLASS_LINES, node.name
        elif isinstance(node, ast.FunctionDef) and node.name != "__init__":
            assert lines <= MAX_FUNCTION_LINES, node.name


def test_the_deploy_file_names_each_file_of_the_decisions():
    policy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert policy == [module.relative_to(ROOT).as_posix() for module in MODULES]
