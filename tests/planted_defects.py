"""Finds planted defects without effect: overrides and assignments of names that the product no longer has.

A test class that derives from a class of the product, to break or to observe it, has no effect once the method that it
overrides is renamed. The functions here analyse the source of a test file together with its imported module and report
each such place. One case is not detected: an attribute that is assigned on another object than `self` and is gone from
its class while some other class still has that name. Within a test class that derives from the product, only a class
in one of the packages imported by the test file or by the module of a base class can hide the missing name.
"""

from __future__ import annotations

import ast
import inspect
import sys
import textwrap
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from types import ModuleType

PRODUCT = "badgerbend"
TESTS = "tests"
FUNCTIONS = (ast.FunctionDef, ast.AsyncFunctionDef)


@dataclass(frozen=True, slots=True)
class Stale:
    """A name that a test file overrides or assigns, and that the product does not have.

    owner: the class that overrides it or assigns it to `self`, otherwise the expression on which it is assigned.
    """

    owner: str
    name: str
    line: int


def names_of_body(definition: ast.ClassDef) -> Iterator[tuple[str, int]]:
    """Yield the names that a class body defines, with their line numbers."""
    for statement in definition.body:
        match statement:
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name) | ast.ClassDef(name=name):
                yield name, statement.lineno
            case ast.Assign(targets=targets):
                yield from ((target.id, statement.lineno) for target in targets if isinstance(target, ast.Name))
            case ast.AnnAssign(target=ast.Name(id=name)):
                yield name, statement.lineno
            case _:
                pass


def assigned_attributes(tree: ast.AST) -> Iterator[ast.Attribute]:
    """Yield each attribute that the code assigns, on any object."""
    return (node for node in ast.walk(tree) if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store))


def names_defined(tree: ast.AST) -> set[str]:
    """Collect the functions, classes, attributes and fields that a syntax tree defines anywhere."""
    names = {attribute.attr for attribute in assigned_attributes(tree)}
    for node in ast.walk(tree):
        match node:
            case ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
                names.add(name)
            case ast.ClassDef():
                names.add(node.name)
                names.update(name for name, _ in names_of_body(node))
            case _:
                pass
    return names


@cache
def product_names(root: Path, place: str = PRODUCT) -> frozenset[str]:
    """Collect every name that the product, or one package or module of it such as `badgerbend.feed`, defines."""
    folder = root.joinpath(*place.split("."))
    paths = sorted(folder.rglob("*.py")) if folder.is_dir() else [folder.with_suffix(".py")]
    return frozenset().union(*(names_defined(ast.parse(path.read_text(encoding="utf-8"))) for path in paths))


def packages_imported(namespace: Mapping[str, object]) -> set[str]:
    """Find the packages and modules, one level below the product, from which a test module imports something."""
    sources = (
        value.__name__ if isinstance(value, ModuleType) else getattr(value, "__module__", None) or ""
        for value in namespace.values()
    )
    parts = (source.split(".") for source in sources)
    return {".".join(names[:2]) for names in parts if names[0] == PRODUCT and len(names) > 1}


@cache
def names_of_test_classes(root: Path) -> frozenset[str]:
    """Collect the names that classes of the tests define or assign to `self`."""
    names: set[str] = set()
    for path in sorted((root / TESTS).rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ClassDef):
                names.update(name for name, _ in names_of_body(node))
                names.update(self_attributes(node))
    return frozenset(names)


@cache
def class_names(cls: type) -> frozenset[str]:
    """Collect the names that a class has, including inherited ones and those that methods assign to `self`."""
    names = set(dir(cls))
    for base in cls.__mro__:
        names.update(getattr(base, "__annotations__", ()))
        names.update(getattr(base, "__slots__", ()))
        if base.__module__.partition(".")[0] in (PRODUCT, TESTS):
            names.update(self_attributes(ast.parse(textwrap.dedent(inspect.getsource(base)))))
    return frozenset(names)


def self_attributes(tree: ast.AST) -> set[str]:
    """Collect the attributes that the code assigns to `self`."""
    return {attribute.attr for attribute in assigned_attributes(tree) if is_self(attribute.value)}


def is_self(expression: ast.expr) -> bool:
    """Whether the expression is the name `self`."""
    return isinstance(expression, ast.Name) and expression.id == "self"


def is_character(expression: ast.expr) -> bool:
    """Whether the expression is a literal of one character. Such a character is meant to be replaced wherever it is."""
    return (
        isinstance(expression, ast.Constant)
        and isinstance(expression.value, str | bytes)
        and len(expression.value) == 1
    )


def is_of_product(cls: type) -> bool:
    """Whether a class or one of its bases is defined by the product."""
    return any(base.__module__.partition(".")[0] == PRODUCT for base in cls.__mro__)


class DefectReader:
    """Analyses one test file together with the module that was imported from it."""

    def __init__(self, path: Path, module: ModuleType, root: Path) -> None:
        self.tree = ast.parse(path.read_text(encoding="utf-8"))
        self.namespace = vars(module)
        self.product = product_names(root)
        self.all_names = self.product | names_of_test_classes(root)
        self.root = root
        self.definitions = {node.name: node for node in ast.walk(self.tree) if isinstance(node, ast.ClassDef)}

    def stale(self) -> set[Stale]:
        """Return each name that the file overrides or assigns without effect."""
        found = set(self._stale_on_others(self.tree, self.all_names))
        for node in ast.walk(self.tree):
            match node:
                case ast.ClassDef():
                    found.update(self._stale_of_class(node))
                case ast.Call(func=ast.Name(id="type"), args=[name, ast.Tuple(elts=bases), ast.Dict(keys=keys)]):
                    written = [(ast.literal_eval(key), key.lineno) for key in keys if key is not None]
                    found.update(self._missing(ast.unparse(name), bases, written))
                case _:
                    pass
        return found

    def unchecked(self) -> list[str]:
        """Return the replacements that would silently do nothing if their target did not exist."""
        functions = {node.name for node in ast.walk(self.tree) if isinstance(node, FUNCTIONS)}
        found = []
        for node in ast.walk(self.tree):
            match node:
                case ast.Assign(targets=targets, value=ast.Lambda() | ast.Name() as value):
                    is_function = isinstance(value, ast.Lambda) or value.id in functions
                    found += [ast.unparse(target) for target in targets if is_function and self._is_product(target)]
                case ast.Call(func=ast.Attribute(attr="replace"), args=[old, _, *_]) if not is_character(old):
                    found.append(ast.unparse(node))
                case ast.Call(keywords=keywords):
                    found += [ast.unparse(node) for keyword in keywords if keyword.arg in ("raising", "create")]
                case _:
                    pass
        return found

    def _is_product(self, target: ast.expr) -> bool:
        """Whether an assignment target is an attribute, not of `self`, whose name the product defines."""
        return isinstance(target, ast.Attribute) and not is_self(target.value) and target.attr in self.product

    def _stale_of_class(self, definition: ast.ClassDef) -> Iterator[Stale]:
        """Yield the names that a class derived from the product overrides or assigns without effect."""
        written = [
            *names_of_body(definition),
            *((node.attr, node.lineno) for node in assigned_attributes(definition) if is_self(node.value)),
        ]
        yield from self._missing(definition.name, definition.bases, written)
        bases = [base for cls in self._resolved(definition.bases) for base in cls.__mro__ if is_of_product(base)]
        if bases:
            yield from self._stale_on_others(definition, self._names_in_reach(bases))

    def _names_in_reach(self, bases: list[type]) -> frozenset[str]:
        """Collect the names defined by the packages from which the file, or the module of a base class, imports."""
        namespaces = [self.namespace, *(vars(sys.modules[base.__module__]) for base in bases)]
        places = set().union(*(packages_imported(namespace) for namespace in namespaces))
        return frozenset().union(*(product_names(self.root, place) for place in places))

    @staticmethod
    def _stale_on_others(tree: ast.AST, known: frozenset[str]) -> Iterator[Stale]:
        """Yield the attributes that are assigned on other objects than `self` and are not known."""
        for attribute in assigned_attributes(tree):
            if not is_self(attribute.value) and attribute.attr not in known:
                yield Stale(ast.unparse(attribute.value), attribute.attr, attribute.lineno)

    def _missing(self, owner: str, bases: list[ast.expr], written: Iterable[tuple[str, int]]) -> Iterator[Stale]:
        """Yield the names that no base has, if one of the bases derives from the product."""
        classes = self._resolved(bases)
        if not any(is_of_product(cls) for cls in classes):
            return
        known = frozenset().union(*(class_names(cls) for cls in classes))
        yield from (Stale(owner, name, line) for name, line in written if name not in known)

    def _resolved(self, bases: list[ast.expr]) -> list[type]:
        """Resolve the expressions to classes; a class that is defined in a function resolves to its own bases."""
        found: list[type] = []
        for base in bases:
            name = ast.unparse(base)
            if isinstance(base, ast.Name) and name not in self.namespace and name in self.definitions:
                found += self._resolved(self.definitions[name].bases)
                continue
            value = eval(name, dict(self.namespace))  # the expression is from the repository's own test file
            if isinstance(value, type):
                found.append(value)
        return found
