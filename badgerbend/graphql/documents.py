"""Parses, validates and plans GraphQL documents once, and keeps the results in a bounded cache for the front end.

The plan of a document has, for each root field, the template of the requests for its parts; a part is what one block
contributes to the field. Limits are checked before the costly work: bytes by the HTTP server, nesting before parsing,
tokens while parsing, and the number of fields before fragments are expanded.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from graphql import (
    DocumentNode,
    FieldNode,
    FragmentDefinitionNode,
    GraphQLError,
    ListValueNode,
    ObjectValueNode,
    OperationDefinitionNode,
    OperationType,
    SelectionSetNode,
    ValueNode,
    VariableNode,
    get_named_type,
    parse,
    print_ast,
    validate,
)
from graphql.execution.values import get_argument_values
from graphql.type import GraphQLField, GraphQLObjectType

from badgerbend.config.settings import Documents, FieldMap
from badgerbend.graphql.checks import MemberChecks, is_number, object_checks
from badgerbend.graphql.schema import Subgraph
from badgerbend.graphql.selection import ALIAS_PLACEHOLDER, DocumentTooLargeError, SelectionWriter, response_key

# Aliases of fields that the broker adds to the requests to servers.
RANK, TYPE, ROWS, IDENTITY = "_bb_rank", "_bb_type", "_bb_rows", "_bb_id"


class RequestRejectedError(Exception):
    """A request that is not executed, with the errors for the client."""

    def __init__(self, errors: list[GraphQLError]) -> None:
        super().__init__(errors[0].message)
        self.errors = errors


@dataclass(frozen=True, slots=True, eq=False)
class Template:
    """The text of a fetch, with ALIAS_PLACEHOLDER for its alias, and the names and types of its variables."""

    text: str
    argument_types: tuple[tuple[str, str], ...]  # for arguments of the field, sent as a_NAME
    variable_types: tuple[tuple[str, str], ...]  # for the client's variables, sent as v_NAME
    mutation: bool = False


@dataclass(frozen=True, slots=True, eq=False)
class RootField:
    """A root field of a document, and how it is fetched.

    detail: the template of the second step, which fetches the members `detail_keys` of the rows that remain after the
    first step has ranked and limited them.
    """

    key: str  # in the response
    node: FieldNode
    conditions: tuple[tuple[bool, ValueNode], ...]  # @include (True) and @skip (False), also of enclosing fragments
    definition: GraphQLField
    field_map: FieldMap | None  # None for `_service`, `_entities` and introspection
    template: Template | None
    detail: Template | None = None
    detail_keys: tuple[str, ...] = ()
    checks: MemberChecks = ()
    direct: bool = False  # the checks cover a row completely: rows that pass need no executor
    arguments: dict[str, Any] | None = None  # None if they depend on variables


@dataclass(frozen=True, slots=True, eq=False)
class PreparedDocument:
    """A validated document, the operation to execute and its planned root fields."""

    document: DocumentNode
    operation: OperationDefinitionNode
    fields: tuple[RootField, ...]
    mutation: bool


class DocumentCache:
    """Prepared documents by text and operation name; the least recently used one is evicted first."""

    def __init__(self, subgraph: Subgraph, limits: Documents) -> None:
        self.subgraph, self.limits = subgraph, limits
        self.entries: OrderedDict[tuple[str, str | None], PreparedDocument | RequestRejectedError] = OrderedDict()
        self.misses = 0

    def get(self, text: str, operation: str | None) -> PreparedDocument:
        """Prepares a document or returns it from the cache. Raises RequestRejectedError, which is cached too."""
        key = (text, operation)
        found = self.entries.get(key)
        if found is None:
            self.misses += 1
            try:
                found = self._prepare(text, operation)
            except RequestRejectedError as err:
                found = err
            self.entries[key] = found
            if len(self.entries) > self.limits.cached:
                self.entries.popitem(last=False)
        else:
            self.entries.move_to_end(key)
        if isinstance(found, RequestRejectedError):
            raise RequestRejectedError(found.errors)
        return found

    def _prepare(self, text: str, name: str | None) -> PreparedDocument:
        check_nesting(text, 4 * self.limits.max_depth)
        try:
            document = parse(text, max_tokens=self.limits.max_tokens)
        except GraphQLError as err:
            raise RequestRejectedError([err]) from err
        except RecursionError as err:
            raise RequestRejectedError([GraphQLError("the document is nested too deep")]) from err
        operation = _operation(document, name)
        fragments = {d.name.value: d for d in document.definitions if isinstance(d, FragmentDefinitionNode)}
        writer = SelectionWriter(fragments, self.limits)
        try:
            _check_field_count(document, fragments, self.limits)
            errors = validate(self.subgraph.schema, document, max_errors=20)
            if errors:
                raise RequestRejectedError(errors)
            mutation = operation.operation == OperationType.MUTATION
            if operation.operation == OperationType.SUBSCRIPTION:
                raise RequestRejectedError([GraphQLError("subscriptions are not served", operation)])
            roots = self._root_fields(operation, writer)
            if len(roots) > self.limits.max_root_fields:
                raise DocumentTooLargeError(f"more than {self.limits.max_root_fields} root fields")
            planner = _Planner(self.subgraph, writer, operation, mutation)
            merged: dict[str, list[tuple[FieldNode, tuple[tuple[bool, ValueNode], ...]]]] = {}
            for node, conditions in roots:
                merged.setdefault(response_key(node), []).append((node, conditions))
            fields = tuple(planner.plan(key, occurrences) for key, occurrences in merged.items())
        except DocumentTooLargeError as err:
            raise RequestRejectedError([GraphQLError(str(err))]) from err
        if not self.limits.introspection and any(f.node.name.value in ("__schema", "__type") for f in fields):
            raise RequestRejectedError([GraphQLError("introspection is turned off")])
        return PreparedDocument(document, operation, fields, mutation)

    def _root_fields(
        self, operation: OperationDefinitionNode, writer: SelectionWriter
    ) -> list[tuple[FieldNode, tuple[tuple[bool, ValueNode], ...]]]:
        found: list[tuple[FieldNode, tuple[tuple[bool, ValueNode], ...]]] = []

        def walk(selections: SelectionSetNode, enclosing: tuple[tuple[bool, ValueNode], ...]) -> None:
            for item in selections.selections:
                conditions = enclosing + tuple(
                    (d.name.value == "include", a.value)
                    for d in item.directives or ()
                    for a in d.arguments or ()
                    if d.name.value in ("include", "skip")
                )
                if isinstance(item, FieldNode):
                    found.append((item, conditions))
                    if len(found) > self.limits.max_fields:
                        raise DocumentTooLargeError(f"more than {self.limits.max_fields} fields, fragments written out")
                else:
                    walk(writer.fragment(item)[1], conditions)

        walk(operation.selection_set, ())
        return found


def check_nesting(text: str, max_depth: int) -> None:
    """Rejects brackets nested too deep, before the recursive parser reads them.

    Brackets within strings count too; an opening one can only make the check stricter.
    """
    depth = 0
    for char in text:
        if char in "{[(":
            depth += 1
            if depth > max_depth:
                raise RequestRejectedError([GraphQLError(f"the document is nested deeper than {max_depth} brackets")])
        elif char in "}])":
            depth -= 1


def _operation(document: DocumentNode, name: str | None) -> OperationDefinitionNode:
    found = [d for d in document.definitions if isinstance(d, OperationDefinitionNode)]
    if name is not None:
        found = [d for d in found if d.name and d.name.value == name]
        if not found:
            raise RequestRejectedError([GraphQLError(f"there is no operation named {name}")])
    if len(found) != 1:
        what = "no operation" if not found else "several operations and no operationName"
        raise RequestRejectedError([GraphQLError(f"the document has {what}")])
    return found[0]


def _check_field_count(document: DocumentNode, fragments: dict[str, FragmentDefinitionNode], limits: Documents) -> None:
    """Rejects documents with too many fields once fragments are expanded.

    The size of each fragment is computed once, so that fragments which spread others twice cost no exponential time.
    """
    sizes: dict[str, int] = {}

    def size(node: SelectionSetNode | None, path: tuple[str, ...]) -> int:
        total = 0
        for item in node.selections if node else ():
            spread_name = getattr(item, "name", None) if not isinstance(item, FieldNode) else None
            if spread_name is not None:
                key = spread_name.value
                if key in path:
                    raise DocumentTooLargeError(f"fragment {key} contains itself")
                if key not in sizes:
                    sizes[key] = size(fragments[key].selection_set, (*path, key)) if key in fragments else 0
                total += sizes[key]
            else:
                total += 1 + size(getattr(item, "selection_set", None), path)
        return total

    total_fields = sum(
        size(d.selection_set, ()) for d in document.definitions if isinstance(d, OperationDefinitionNode)
    )
    if total_fields > limits.max_fields:
        raise DocumentTooLargeError(f"more than {limits.max_fields} fields, fragments written out")


class _Planner:
    """Plans the root fields of one operation: how each is fetched and how its results are checked."""

    def __init__(
        self, subgraph: Subgraph, writer: SelectionWriter, operation: OperationDefinitionNode, mutation: bool
    ) -> None:
        self.subgraph, self.writer, self.mutation = subgraph, writer, mutation
        schema = subgraph.schema
        root = schema.mutation_type if mutation else schema.query_type
        assert root is not None
        self.root = root
        self.types_by_variable = {
            d.variable.name.value: print_ast(d.type) for d in operation.variable_definitions or ()
        }

    def plan(self, key: str, occurrences: list[tuple[FieldNode, tuple[tuple[bool, ValueNode], ...]]]) -> RootField:
        node, conditions = occurrences[0]
        if any(c for _, c in occurrences) and len(occurrences) > 1:
            raise RequestRejectedError([GraphQLError(f"{key} is selected more than once, with conditions", node)])
        if len(occurrences) > 1:
            selections = tuple(
                s for n, _ in occurrences for s in (n.selection_set.selections if n.selection_set else ())
            )
            node = FieldNode(
                name=node.name,
                alias=node.alias,
                arguments=node.arguments,
                directives=node.directives,
                selection_set=SelectionSetNode(selections=selections),
                loc=node.loc,
            )
        name = node.name.value
        definition = self.root.fields.get(name)
        if definition is None:  # introspection
            schema_field = self.subgraph.schema.get_field(self.root, name)
            assert schema_field is not None
            return RootField(key, node, conditions, schema_field, None, None)
        field_map = self.subgraph.fields.get(name)
        if field_map is None:
            template = self._entities_template(node) if name == "_entities" else None
            return RootField(key, node, conditions, definition, None, template)
        if self.mutation:
            return RootField(key, node, conditions, definition, field_map, self._mutation_template(node, definition))
        detail_fields = self.writer.top_level_fields(node.selection_set, field_map.detail) if field_map.detail else []
        template, checks, direct = self._rows_template(node, definition, field_map, detail_fields)
        detail, keys = self._detail_template(definition, detail_fields)
        constant_arguments = None
        if not any(_has_variable(a.value) for a in node.arguments or ()):
            try:
                constant_arguments = get_argument_values(definition, node)
            except GraphQLError as err:
                raise RequestRejectedError([err]) from err
        return RootField(
            key, node, conditions, definition, field_map, template, detail, keys, checks, direct, constant_arguments
        )

    def _variable_types(self, names: set[str]) -> tuple[tuple[str, str], ...]:
        return tuple((n, self.types_by_variable[n]) for n in sorted(names))

    def _rows_template(
        self, node: FieldNode, definition: GraphQLField, field_map: FieldMap, detail_fields: list[FieldNode]
    ) -> tuple[Template, MemberChecks, bool]:
        row = get_named_type(definition.type)
        assert isinstance(row, GraphQLObjectType)
        selection = self.writer.write(node.selection_set, without=field_map.detail)
        extra = f" {RANK}: {field_map.rank_by}" if field_map.rank_by else ""
        extra += f" {IDENTITY}: id" if detail_fields else ""
        broker_arguments = {field_map.blocks, field_map.first_by}
        argument_types = tuple((n, str(a.type)) for n, a in definition.args.items() if n not in broker_arguments)
        inner = ", ".join(f"{n}: ${ALIAS_PLACEHOLDER}a_{n}" for n, _ in argument_types)
        body = (selection.text or "__typename") + extra
        text = (
            f"{ALIAS_PLACEHOLDER}: _entities(representations: ${ALIAS_PLACEHOLDER}_r) {{ ... on {field_map.entity} "
            f"{{ {ROWS}: {field_map.fetch}{f'({inner})' if inner else ''} {{ {body} }} }} }}"
        )
        checks, direct = object_checks(row, node.selection_set, self.writer.fragments)
        if detail_fields:
            direct = False  # the detail is fetched in the second step
            detail_keys = {response_key(f) for f in detail_fields}
            checks = tuple(check for check in checks if check[0] not in detail_keys)
        if field_map.rank_by:
            checks += ((RANK, is_number),)
        return Template(text, argument_types, self._variable_types(selection.variables)), checks, direct

    def _detail_template(
        self, definition: GraphQLField, detail_fields: list[FieldNode]
    ) -> tuple[Template | None, tuple[str, ...]]:
        if not detail_fields:
            return None, ()
        row = get_named_type(definition.type)
        detail_selections = SelectionSetNode(selections=tuple(detail_fields))
        selection = self.writer.write(detail_selections)
        text = (
            f"{ALIAS_PLACEHOLDER}: _entities(representations: ${ALIAS_PLACEHOLDER}_r) "
            f"{{ ... on {row.name} {{ {selection.text} }} }}"
        )
        keys = tuple(map(response_key, detail_fields))
        return Template(text, (), self._variable_types(selection.variables)), keys

    def _entities_template(self, node: FieldNode) -> Template:
        selection = self.writer.write(node.selection_set)
        text = (
            f"{ALIAS_PLACEHOLDER}: _entities(representations: ${ALIAS_PLACEHOLDER}_r) "
            f"{{ {TYPE}: __typename {selection.text} }}"
        )
        return Template(text, (), self._variable_types(selection.variables))

    def _mutation_template(self, node: FieldNode, definition: GraphQLField) -> Template:
        selection = self.writer.write(node.selection_set)
        argument_types = tuple((n, str(a.type)) for n, a in definition.args.items())
        inner = ", ".join(f"{n}: ${ALIAS_PLACEHOLDER}a_{n}" for n, _ in argument_types)
        body = f" {{ {selection.text} }}" if selection.text else ""
        text = f"{ALIAS_PLACEHOLDER}: {node.name.value}({inner}){body}"
        return Template(text, argument_types, self._variable_types(selection.variables), mutation=True)


def _has_variable(node: ValueNode) -> bool:
    if isinstance(node, ListValueNode):
        return any(map(_has_variable, node.values))
    if isinstance(node, ObjectValueNode):
        return any(_has_variable(f.value) for f in node.fields)
    return isinstance(node, VariableNode)


def conditions_hold(conditions: tuple[tuple[bool, ValueNode], ...], variables: dict[str, Any]) -> bool:
    """Whether a field with these conditions is in the response."""
    for expected, node in conditions:
        value = variables.get(node.name.value) if isinstance(node, VariableNode) else getattr(node, "value", None)
        if bool(value) != expected:
            return False
    return True
