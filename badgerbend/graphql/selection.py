"""Writes a client's selections as text for requests to servers, with fragments expanded within limits."""

from __future__ import annotations

from dataclasses import dataclass, field

from graphql import (
    ArgumentNode,
    DirectiveNode,
    FieldNode,
    FragmentDefinitionNode,
    FragmentSpreadNode,
    InlineFragmentNode,
    ListValueNode,
    ObjectValueNode,
    SelectionSetNode,
    ValueNode,
    VariableNode,
    print_ast,
)

from badgerbend.config.settings import Documents

ALIAS_PLACEHOLDER = "\x00"  # replaced in a template by the alias of each fetch


class DocumentTooLargeError(Exception):
    """The document exceeds a limit."""


@dataclass(slots=True)
class SelectionText:
    """A selection as text, and the client's variables that it uses."""

    text: str
    variables: set[str] = field(default_factory=set)


class SelectionWriter:
    """Writes selections as text. There is one for each document, so that the limit on fields covers the document."""

    def __init__(self, fragments: dict[str, FragmentDefinitionNode], limits: Documents) -> None:
        self.fragments, self.limits = fragments, limits
        self.fields = 0

    def write(self, selections: SelectionSetNode | None, without: str | None = None) -> SelectionText:
        """Returns the text between the braces. without: the name of a field to omit at the top level."""
        out = SelectionText("")
        out.text = self._write_set(selections, out.variables, 1, without)
        return out

    def _write_set(
        self, node: SelectionSetNode | None, used_variables: set[str], depth: int, without: str | None
    ) -> str:
        if node is None:
            return ""
        if depth > self.limits.max_depth:
            raise DocumentTooLargeError(f"selections nested deeper than {self.limits.max_depth}")
        pieces = []
        for item in node.selections:
            self.fields += 1
            if self.fields > self.limits.max_fields:
                raise DocumentTooLargeError(f"more than {self.limits.max_fields} fields, fragments written out")
            if isinstance(item, FieldNode):
                if item.name.value == without:
                    continue
                alias = f"{item.alias.value}: " if item.alias else ""
                inner = self._write_set(item.selection_set, used_variables, depth + 1, None)
                pieces.append(
                    f"{alias}{item.name.value}{format_arguments(item.arguments or (), used_variables)}"
                    f"{format_directives(item.directives or (), used_variables)}{f' {{ {inner} }}' if inner else ''}"
                )
                continue
            type_name, selections = self.fragment(item)
            inner = self._write_set(selections, used_variables, depth, without)
            if inner:
                pieces.append(
                    f"...{f' on {type_name}' if type_name else ''}"
                    f"{format_directives(item.directives or (), used_variables)} {{ {inner} }}"
                )
        return " ".join(pieces)

    def fragment(self, node: object) -> tuple[str | None, SelectionSetNode]:
        return resolve_fragment(node, self.fragments)

    def top_level_fields(self, node: SelectionSetNode | None, name: str) -> list[FieldNode]:
        """The fields of that name at the top level, including those inside fragments."""
        found: list[FieldNode] = []
        for item in node.selections if node else ():
            if isinstance(item, FieldNode):
                found += [item] if item.name.value == name else []
            else:
                found += self.top_level_fields(self.fragment(item)[1], name)
        return found


def resolve_fragment(node: object, fragments: dict[str, FragmentDefinitionNode]) -> tuple[str | None, SelectionSetNode]:
    """The type condition and the selections of a fragment spread or an inline fragment."""
    if isinstance(node, FragmentSpreadNode):
        found = fragments[node.name.value]
        return found.type_condition.name.value, found.selection_set
    assert isinstance(node, InlineFragmentNode)
    return node.type_condition.name.value if node.type_condition else None, node.selection_set


def response_key(node: FieldNode) -> str:
    """The key of a field in the response."""
    return node.alias.value if node.alias else node.name.value


def format_arguments(nodes: tuple[ArgumentNode, ...], used_variables: set[str]) -> str:
    if not nodes:
        return ""
    return "(" + ", ".join(f"{a.name.value}: {_format_value(a.value, used_variables)}" for a in nodes) + ")"


def format_directives(nodes: tuple[DirectiveNode, ...], used_variables: set[str]) -> str:
    return "".join(f" @{d.name.value}{format_arguments(d.arguments or (), used_variables)}" for d in nodes)


def _format_value(node: ValueNode, used_variables: set[str]) -> str:
    if isinstance(node, VariableNode):
        used_variables.add(node.name.value)
        return f"${ALIAS_PLACEHOLDER}v_{node.name.value}"
    if isinstance(node, ListValueNode):
        return "[" + ", ".join(_format_value(v, used_variables) for v in node.values) + "]"
    if isinstance(node, ObjectValueNode):
        return "{" + ", ".join(f"{f.name.value}: {_format_value(f.value, used_variables)}" for f in node.fields) + "}"
    return print_ast(node)
