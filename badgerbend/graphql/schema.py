"""The subgraph that a broker is: the operator's types, with what federation adds (`_service`, `_entities`, `_Any`)."""

from __future__ import annotations

from dataclasses import dataclass

from graphql import (
    DocumentNode,
    GraphQLError,
    GraphQLInterfaceType,
    GraphQLObjectType,
    GraphQLSchema,
    ObjectTypeDefinitionNode,
    build_schema,
    get_named_type,
    is_leaf_type,
    is_list_type,
    parse,
    print_ast,
)
from graphql.type import GraphQLField, GraphQLNonNull

from badgerbend.config.settings import EntityMap, FieldMap, Settings

LINK = 'extend schema @link(url: "https://specs.apollo.dev/federation/v2.3", import: ["@key", "@shareable"])\n'
DEFINITIONS = """
directive @link(url: String!, as: String, for: link__Purpose, import: [link__Import]) repeatable on SCHEMA
directive @key(fields: federation__FieldSet!, resolvable: Boolean = true) repeatable on OBJECT | INTERFACE
directive @shareable repeatable on OBJECT | FIELD_DEFINITION
scalar link__Import
scalar federation__FieldSet
enum link__Purpose { SECURITY EXECUTION }
scalar _Any
type _Service { sdl: String! }
"""


class SchemaError(Exception):
    """The schema and the settings do not fit together; the text says what is wrong."""


@dataclass(frozen=True, slots=True)
class Subgraph:
    schema: GraphQLSchema
    sdl: str  # what `_service` answers and `badgerbend sdl` prints
    fields: dict[str, FieldMap]  # root fields by name
    entities: dict[str, EntityMap]  # by type name
    text: str  # the operator's types, as they were read


def build_subgraph(text: str, entity_types: list[str]) -> tuple[GraphQLSchema, str]:
    """The schema of types with their federation fields, and the document for routers. Raises SchemaError."""
    try:
        document = parse(text)
        sdl = LINK + print_ast(document) + "\n"
        extra = DEFINITIONS + "extend type Query { _service: _Service! }\n"
        keyed = _keyed(document)
        for name in entity_types:
            if name not in keyed:
                raise SchemaError(f"entity {name} has no @key in the schema")
        if entity_types:
            extra += f"union _Entity = {' | '.join(entity_types)}\n"
            extra += "extend type Query { _entities(representations: [_Any!]!): [_Entity]! }\n"
        schema = build_schema(text + "\nextend schema " + LINK.removeprefix("extend schema ") + extra)
    except GraphQLError as err:
        raise SchemaError(str(err)) from err
    except TypeError as err:  # how graphql-core reports a schema that does not hold together
        raise SchemaError(str(err)) from err
    return schema, sdl


def _keyed(document: DocumentNode) -> set[str]:
    return {
        d.name.value
        for d in document.definitions
        if isinstance(d, ObjectTypeDefinitionNode) and any(x.name.value == "key" for x in d.directives or ())
    }


def create_subgraph(settings: Settings, text: str) -> Subgraph:
    """The broker's own subgraph; every root field must have its settings and these must fit the types."""
    schema, sdl = build_subgraph(text, [e.name for e in settings.entity])
    fields = {f.name: f for f in settings.field}
    seen = set()
    for root in (schema.query_type, schema.mutation_type):
        for name, field in root.fields.items() if root else ():
            if name in ("_service", "_entities"):
                continue
            if name not in fields:
                raise SchemaError(f"root field {root.name if root else ''}.{name} has no (field {name} ...)")
            seen.add(name)
            _check(schema, fields[name], field, root is schema.mutation_type)
    for name in fields:
        if name not in seen:
            raise SchemaError(f"(field {name} ...) names no root field of the schema")
    if schema.subscription_type:
        raise SchemaError("subscriptions are not served")
    for entity in settings.entity:
        kind = schema.type_map[entity.name]
        if not isinstance(kind, GraphQLObjectType) or entity.key not in kind.fields:
            raise SchemaError(f"entity {entity.name} has no field {entity.key}")
    return Subgraph(schema, sdl, fields, {e.name: e for e in settings.entity}, text)


def _check(schema: GraphQLSchema, mapped: FieldMap, field: GraphQLField, mutation: bool) -> None:
    def must(holds: bool, problem: str) -> None:
        if not holds:
            raise SchemaError(f"field {mapped.name}: {problem}")

    must(mapped.blocks in field.args, f"has no argument {mapped.blocks}")
    must(not isinstance(field.type, GraphQLNonNull), "must be nullable, or one refusal would void the others")
    row = get_named_type(field.type)
    if mutation:
        must(not mapped.fetch, "a mutation takes no fetch")
        must(not mapped.rank_by and not mapped.detail, "a mutation takes no rank-by and no detail")
        return
    must(is_list_type(field.type), "must be a list of rows")
    must(isinstance(row, GraphQLObjectType | GraphQLInterfaceType), "must be a list of objects")
    assert isinstance(row, GraphQLObjectType | GraphQLInterfaceType)
    must(mapped.fetch is not None, "fetch is missing")
    must(mapped.first_by is None or mapped.first_by in field.args, f"has no argument {mapped.first_by}")
    for name in filter(None, (mapped.rank_by, mapped.detail)):
        must(name in row.fields, f"{row.name} has no field {name}")
    if mapped.rank_by:
        must(is_leaf_type(get_named_type(row.fields[mapped.rank_by].type)), f"{mapped.rank_by} is no number")
    if mapped.detail:
        must("id" in row.fields, f"{row.name} needs an id for its detail")
        must(not isinstance(row.fields[mapped.detail].type, GraphQLNonNull), f"{mapped.detail} must be nullable")
