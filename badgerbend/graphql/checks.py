"""Compiled checks of whether a server's value is a valid result of a selection on a type.

A selection that can be checked completely (objects, lists and built-in scalars, without directives or abstract types)
needs no executor: a value that passes is the result. Everything else is left to graphql-core, which is the reference;
tests compare the checks with it on random selections.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from graphql import FieldNode, FragmentDefinitionNode, SelectionSetNode
from graphql.type import (
    GraphQLList,
    GraphQLNonNull,
    GraphQLObjectType,
    GraphQLScalarType,
    is_list_type,
    is_non_null_type,
)

from badgerbend.graphql.selection import resolve_fragment, response_key

Check = Callable[[Any], bool]
MemberChecks = tuple[tuple[str, Check], ...]
MAX_DEPTH = 20


def is_number(value: Any) -> bool:
    return value.__class__ in _NUMBERS


_NUMBERS = (float, int)  # the classes that JSON numbers decode to; that of a boolean is neither
_SCALARS: dict[str, Check] = {
    "Float": is_number,
    "Int": lambda v: v.__class__ is int and -(2**31) <= v < 2**31,
    "Boolean": lambda v: v.__class__ is bool,
    "String": lambda v: v.__class__ is str,
    "ID": lambda v: v.__class__ is str,
}


def object_checks(
    kind: GraphQLObjectType,
    selections: SelectionSetNode | None,
    fragments: dict[str, FragmentDefinitionNode],
    depth: int = 0,
) -> tuple[MemberChecks, bool]:
    """Compiles the checks of an object's members by response key, and whether they cover the whole selection."""
    checks: dict[str, Check] = {}
    is_complete = depth < MAX_DEPTH
    for item in selections.selections if selections and is_complete else ():
        if item.directives:
            is_complete = False
        elif isinstance(item, FieldNode):
            key = response_key(item)
            check = _field_check(kind, item, fragments, depth)
            if check is None or (key in checks and item.selection_set):
                is_complete = False
            if check is not None:
                checks[key] = check
        else:
            type_name, inner_selections = resolve_fragment(item, fragments)
            if type_name not in (None, kind.name):
                is_complete = False
                continue
            more, more_complete = object_checks(kind, inner_selections, fragments, depth + 1)
            is_complete = is_complete and more_complete and not any(k in checks for k, _ in more)
            checks.update(more)
    return tuple(checks.items()), is_complete


def _field_check(
    kind: GraphQLObjectType, node: FieldNode, fragments: dict[str, FragmentDefinitionNode], depth: int
) -> Check | None:
    if node.name.value == "__typename":
        return lambda v: v == kind.name
    return value_check(kind.fields[node.name.value].type, node.selection_set, fragments, depth)


def value_check(
    kind: Any, selections: SelectionSetNode | None, fragments: dict[str, FragmentDefinitionNode], depth: int = 0
) -> Check | None:
    """Compiles the check of a value of this type; None if only the executor can check it."""
    if is_non_null_type(kind):
        assert isinstance(kind, GraphQLNonNull)
        if isinstance(kind.of_type, GraphQLScalarType):
            return _SCALARS.get(kind.of_type.name)  # no scalar check accepts None
        inner = _nullable_check(kind.of_type, selections, fragments, depth)
        return inner and (lambda v: v is not None and inner(v))
    return _nullable_check(kind, selections, fragments, depth)


def _nullable_check(
    kind: Any, selections: SelectionSetNode | None, fragments: dict[str, FragmentDefinitionNode], depth: int
) -> Check | None:
    if isinstance(kind, GraphQLScalarType):
        scalar = _SCALARS.get(kind.name)
        return scalar and (lambda v: v is None or scalar(v))
    if is_list_type(kind):
        assert isinstance(kind, GraphQLList)
        each = value_check(kind.of_type, selections, fragments, depth)
        return each and (lambda v: v is None or (isinstance(v, list) and all(map(each, v))))
    if isinstance(kind, GraphQLObjectType):
        member_checks, is_complete = object_checks(kind, selections, fragments, depth + 1)
        return (lambda v: v is None or matches(v, member_checks, len(member_checks))) if is_complete else None
    return None


def matches(value: Any, member_checks: MemberChecks, size: int | None) -> bool:
    """Whether an object has these members with valid values, and `size` members in total unless `size` is None."""
    if not isinstance(value, dict) or (size is not None and len(value) != size):
        return False
    for key, check in member_checks:  # noqa: SIM110 - this runs for every row, and a generator doubles its cost
        if key not in value or not check(value[key]):
            return False
    return True
