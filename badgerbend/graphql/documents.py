"""Documents parsed, validated and planned once, kept in a bounded cache.

A plan says for each root field which template its parts are fetched by. Limits are checked before the costly
work: bytes by the HTTP front, nesting and tokens before parsing, fields while fragments are written out.
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
from badgerbend.graphql.checks import Keys, is_number, object_keys
from badgerbend.graphql.schema import Subgraph
from badgerbend.graphql.selection import MARK, TooLarge, Writer, answer_key

RANK, TYPE, ROWS, IDENTITY = "_bb_rank", "_bb_type", "_bb_rows", "_bb_id"


class Rejected(Exception):
    """A request that is not executed: what the client is told."""

    def __init__(self, errors: list[GraphQLError]) -> None:
        super().__init__(errors[0].message)
        self.errors = errors


@dataclass(frozen=True, slots=True, eq=False)
class Template:
    """A fetch's text, with MARK for its alias, and the variables that it needs: name, type, and whose they are."""

    text: str
    declared: tuple[tuple[str, str], ...]  # arguments of the field, a_name
    passed: tuple[tuple[str, str], ...]  # the client's variables, v_name
    mutation: bool = False


@dataclass(frozen=True, slots=True, eq=False)
class RootField:
    key: str  # its name in the answer
    node: FieldNode
    conditions: tuple[tuple[bool, ValueNode], ...]  # @include (True) and @skip (False) above and at it
    definition: GraphQLField
    mapped: FieldMap | None  # None: `_service`, `_entities`, introspection
    template: Template | None
    detail: Template | None = None
    detail_keys: tuple[str, ...] = ()
    checks: Keys = ()
    direct: bool = False  # the checks cover all of a row: what passed them is the answer
    arguments: dict[str, Any] | None = None  # where no variable has a say in them


@dataclass(frozen=True, slots=True, eq=False)
class Prepared:
    document: DocumentNode
    operation: OperationDefinitionNode
    fields: tuple[RootField, ...]
    mutation: bool


class DocumentCache:
    """Prepared documents by text and operation name, the least lately used dropped first."""

    def __init__(self, subgraph: Subgraph, limits: Documents) -> None:
        self.subgraph, self.limits = subgraph, limits
        self.kept: OrderedDict[tuple[str, str | None], Prepared | Rejected] = OrderedDict()
        self.misses = 0

    def get(self, text: str, operation: str | None) -> Prepared:
        """Raises Rejected for a document that cannot be executed; that is kept too."""
        key = (text, operation)
        found = self.kept.get(key)
        if found is None:
            self.misses += 1
            try:
                found = self._prepare(text, operation)
            except Rejected as err:
                found = err
            self.kept[key] = found
            if len(self.kept) > self.limits.cached:
                self.kept.popitem(last=False)
        else:
            self.kept.move_to_end(key)
        if isinstance(found, Rejected):
            raise Rejected(found.errors)
        return found

    def _prepare(self, text: str, name: str | None) -> Prepared:
        check_nesting(text, 4 * self.limits.max_depth)
        try:
            document = parse(text, max_tokens=self.limits.max_tokens)
        except GraphQLError as err:
            raise Rejected([err]) from err
        except RecursionError as err:
            raise Rejected([GraphQLError("the document is nested too deep")]) from err
        operation = _operation(document, name)
        fragments = {d.name.value: d for d in document.definitions if isinstance(d, FragmentDefinitionNode)}
        writer = Writer(fragments, self.limits)
        try:
            _bounded(document, fragments, self.limits)
            errors = validate(self.subgraph.schema, document, max_errors=20)
            if errors:
                raise Rejected(errors)
            mutation = operation.operation == OperationType.MUTATION
            if operation.operation == OperationType.SUBSCRIPTION:
                raise Rejected([GraphQLError("subscriptions are not served", operation)])
            roots = self._roots(operation, writer)
            if len(roots) > self.limits.max_root_fields:
                raise TooLarge(f"more than {self.limits.max_root_fields} root fields")
            planner = _Planner(self.subgraph, writer, operation, mutation)
            merged: dict[str, list[tuple[FieldNode, tuple[tuple[bool, ValueNode], ...]]]] = {}
            for node, conditions in roots:
                merged.setdefault(answer_key(node), []).append((node, conditions))
            fields = tuple(planner.plan(key, pieces) for key, pieces in merged.items())
        except TooLarge as err:
            raise Rejected([GraphQLError(str(err))]) from err
        if not self.limits.introspection and any(f.node.name.value in ("__schema", "__type") for f in fields):
            raise Rejected([GraphQLError("introspection is turned off")])
        return Prepared(document, operation, fields, mutation)

    def _roots(
        self, operation: OperationDefinitionNode, writer: Writer
    ) -> list[tuple[FieldNode, tuple[tuple[bool, ValueNode], ...]]]:
        found: list[tuple[FieldNode, tuple[tuple[bool, ValueNode], ...]]] = []

        def walk(selections: SelectionSetNode, above: tuple[tuple[bool, ValueNode], ...]) -> None:
            for item in selections.selections:
                conditions = above + tuple(
                    (d.name.value == "include", a.value)
                    for d in item.directives or ()
                    for a in d.arguments or ()
                    if d.name.value in ("include", "skip")
                )
                if isinstance(item, FieldNode):
                    found.append((item, conditions))
                    if len(found) > self.limits.max_fields:
                        raise TooLarge(f"more than {self.limits.max_fields} fields, fragments written out")
                else:
                    walk(writer.fragment(item)[1], conditions)

        walk(operation.selection_set, ())
        return found


def check_nesting(text: str, most: int) -> None:
    """Refuses brackets nested too deep before the recursive parser meets them. Strings only err to the safe side."""
    depth = 0
    for char in text:
        if char in "{[(":
            depth += 1
            if depth > most:
                raise Rejected([GraphQLError(f"the document is nested deeper than {most} brackets")])
        elif char in "}])":
            depth -= 1


def _operation(document: DocumentNode, name: str | None) -> OperationDefinitionNode:
    found = [d for d in document.definitions if isinstance(d, OperationDefinitionNode)]
    if name is not None:
        found = [d for d in found if d.name and d.name.value == name]
        if not found:
            raise Rejected([GraphQLError(f"there is no operation named {name}")])
    if len(found) != 1:
        what = "no operation" if not found else "several operations and no operationName"
        raise Rejected([GraphQLError(f"the document has {what}")])
    return found[0]


def _bounded(document: DocumentNode, fragments: dict[str, FragmentDefinitionNode], limits: Documents) -> None:
    """Counts fields with fragments written out, by sums a fragment, so that doubling spreads cost nothing here."""
    sizes: dict[str, int] = {}

    def size(node: SelectionSetNode | None, open_: tuple[str, ...]) -> int:
        total = 0
        for item in node.selections if node else ():
            spread = getattr(item, "name", None) if not isinstance(item, FieldNode) else None
            if spread is not None:
                key = spread.value
                if key in open_:
                    raise TooLarge(f"fragment {key} contains itself")
                if key not in sizes:
                    sizes[key] = size(fragments[key].selection_set, (*open_, key)) if key in fragments else 0
                total += sizes[key]
            else:
                total += 1 + size(getattr(item, "selection_set", None), open_)
        return total

    whole = sum(size(d.selection_set, ()) for d in document.definitions if isinstance(d, OperationDefinitionNode))
    if whole > limits.max_fields:
        raise TooLarge(f"more than {limits.max_fields} fields, fragments written out")


class _Planner:
    """Turns root fields into templates."""

    def __init__(self, subgraph: Subgraph, writer: Writer, operation: OperationDefinitionNode, mutation: bool) -> None:
        self.subgraph, self.writer, self.mutation = subgraph, writer, mutation
        schema = subgraph.schema
        root = schema.mutation_type if mutation else schema.query_type
        assert root is not None
        self.root = root
        self.types = {d.variable.name.value: print_ast(d.type) for d in operation.variable_definitions or ()}

    def plan(self, key: str, pieces: list[tuple[FieldNode, tuple[tuple[bool, ValueNode], ...]]]) -> RootField:
        node, conditions = pieces[0]
        if any(c for _, c in pieces) and len(pieces) > 1:
            raise Rejected([GraphQLError(f"{key} is selected more than once, with conditions", node)])
        if len(pieces) > 1:
            selections = tuple(s for n, _ in pieces for s in (n.selection_set.selections if n.selection_set else ()))
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
        mapped = self.subgraph.fields.get(name)
        if mapped is None:
            template = self._entities(node) if name == "_entities" else None
            return RootField(key, node, conditions, definition, None, template)
        if self.mutation:
            return RootField(key, node, conditions, definition, mapped, self._mutation(node, definition))
        wanted = self.writer.pick(node.selection_set, mapped.detail) if mapped.detail else []
        template, checks, direct = self._rows(node, definition, mapped, wanted)
        detail, keys = self._detail(definition, wanted)
        fixed = None
        if not any(_has_variable(a.value) for a in node.arguments or ()):
            try:
                fixed = get_argument_values(definition, node)
            except GraphQLError as err:
                raise Rejected([err]) from err
        return RootField(key, node, conditions, definition, mapped, template, detail, keys, checks, direct, fixed)

    def _passed(self, names: set[str]) -> tuple[tuple[str, str], ...]:
        return tuple((n, self.types[n]) for n in sorted(names))

    def _rows(
        self, node: FieldNode, definition: GraphQLField, mapped: FieldMap, wanted: list[FieldNode]
    ) -> tuple[Template, Keys, bool]:
        row = get_named_type(definition.type)
        assert isinstance(row, GraphQLObjectType)
        written = self.writer.write(node.selection_set, without=mapped.detail)
        extra = f" {RANK}: {mapped.rank_by}" if mapped.rank_by else ""
        extra += f" {IDENTITY}: id" if wanted else ""
        own = {mapped.blocks, mapped.first_by}
        declared = tuple((n, str(a.type)) for n, a in definition.args.items() if n not in own)
        inner = ", ".join(f"{n}: ${MARK}a_{n}" for n, _ in declared)
        body = (written.text or "__typename") + extra
        text = (
            f"{MARK}: _entities(representations: ${MARK}_r) {{ ... on {mapped.entity} "
            f"{{ {ROWS}: {mapped.fetch}{f'({inner})' if inner else ''} {{ {body} }} }} }}"
        )
        keys, direct = object_keys(row, node.selection_set, self.writer.fragments)
        if wanted:
            direct = False  # it comes in the second step
            later = {answer_key(f) for f in wanted}
            keys = tuple(k for k in keys if k[0] not in later)
        if mapped.rank_by:
            keys += ((RANK, is_number),)
        return Template(text, declared, self._passed(written.variables)), keys, direct

    def _detail(self, definition: GraphQLField, wanted: list[FieldNode]) -> tuple[Template | None, tuple[str, ...]]:
        if not wanted:
            return None, ()
        row = get_named_type(definition.type)
        keep = SelectionSetNode(selections=tuple(wanted))
        written = self.writer.write(keep)
        text = f"{MARK}: _entities(representations: ${MARK}_r) {{ ... on {row.name} {{ {written.text} }} }}"
        keys = tuple(map(answer_key, wanted))
        return Template(text, (), self._passed(written.variables)), keys

    def _entities(self, node: FieldNode) -> Template:
        written = self.writer.write(node.selection_set)
        text = f"{MARK}: _entities(representations: ${MARK}_r) {{ {TYPE}: __typename {written.text} }}"
        return Template(text, (), self._passed(written.variables))

    def _mutation(self, node: FieldNode, definition: GraphQLField) -> Template:
        written = self.writer.write(node.selection_set)
        declared = tuple((n, str(a.type)) for n, a in definition.args.items())
        inner = ", ".join(f"{n}: ${MARK}a_{n}" for n, _ in declared)
        body = f" {{ {written.text} }}" if written.text else ""
        text = f"{MARK}: {node.name.value}({inner}){body}"
        return Template(text, declared, self._passed(written.variables), mutation=True)


def _has_variable(node: ValueNode) -> bool:
    if isinstance(node, ListValueNode):
        return any(map(_has_variable, node.values))
    if isinstance(node, ObjectValueNode):
        return any(_has_variable(f.value) for f in node.fields)
    return isinstance(node, VariableNode)


def holds(conditions: tuple[tuple[bool, ValueNode], ...], variables: dict[str, Any]) -> bool:
    """Whether a field with these conditions is in the answer."""
    for wanted, node in conditions:
        value = variables.get(node.name.value) if isinstance(node, VariableNode) else getattr(node, "value", None)
        if bool(value) != wanted:
            return False
    return True
