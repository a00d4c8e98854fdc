"""The subgraph that a broker serves: the operator's types and those of federation (`_service`, `_entities`, `_Any`)."""

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
FEDERATION_DEFINITIONS = """
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
    """The schema is invalid or does not match the settings; the message says why."""


@dataclass(frozen=True, slots=True)
class Subgraph:
    """A schema, and the settings of its root fields and entities."""

    schema: GraphQLSchema
    sdl: str  # the result of `_service`, and what `badgerbend sdl` prints
    fields: dict[str, FieldMap]  # root fields by name
    entities: dict[str, EntityMap]  # by type name
    text: str  # the operator's types, as read


def build_subgraph(text: str, entity_types: list[str]) -> tuple[GraphQLSchema, str]:
    """Builds the schema of the types with the federation fields, and the SDL for routers. Raises SchemaError."""
    try:
        document = parse(text)
        sdl = LINK + print_ast(document) + "\n"
        extra = FEDERATION_DEFINITIONS + "extend type Query { _service: _Service! }\n"
        types_with_key = _types_with_key(document)
        for name in entity_types:
            if name not in types_with_key:
                raise SchemaError(f"entity {name} has no @key in the schema")
        if entity_types:
            extra += f"union _Entity = {' | '.join(entity_types)}\n"
            extra += "extend type Query { _entities(representations: [_Any!]!): [_Entity]! }\n"
        schema = build_schema(text + "\nextend schema " + LINK.removeprefix("extend schema ") + extra)
    except GraphQLError as err:
        raise SchemaError(str(err)) from err
    except TypeError as err:  # graphql-core raises it for an inconsistent schema
        raise SchemaError(str(err)) from err
    return schema, sdl


def _types_with_key(document: DocumentNode) -> set[str]:
    return {
        definition.name.value
        for definition in document.definitions
        if isinstance(definition, ObjectTypeDefinitionNode)
        and any(directive.name.value == "key" for directive in definition.directives or ())
    }


def create_subgraph(settings: Settings, text: str) -> Subgraph:
    """Creates the subgraph of a broker. Raises SchemaError unless the settings cover and match every root field."""
    schema, sdl = build_subgraph(text, [e.name for e in settings.entity])
    fields = {f.name: f for f in settings.field}
    seen = set()
    for root in (schema.query_type, schema.mutation_type):
        for name, field in root.fields.items() if root else ():
            if name in ("_service", "_entities"):
                continue
            if name not in fields:
                raise SchemaError(
                    f"root field {root.name if root else ''}.{name} has no (field {name} ...) in the settings"
                )
            seen.add(name)
            _check_field(schema, fields[name], field, root is schema.mutation_type)
    for name in fields:
        if name not in seen:
            raise SchemaError(f"the settings have (field {name} ...), but the schema has no such root field")
    if schema.subscription_type:
        raise SchemaError("subscriptions are not served")
    for entity in settings.entity:
        entity_type = schema.type_map[entity.name]
        if not isinstance(entity_type, GraphQLObjectType) or entity.key not in entity_type.fields:
            raise SchemaError(f"entity {entity.name} has no field {entity.key}")
    return Subgraph(schema, sdl, fields, {e.name: e for e in settings.entity}, text)


def _check_field(schema: GraphQLSchema, field_map: FieldMap, field: GraphQLField, mutation: bool) -> None:
    def require(condition: bool, problem: str) -> None:
        if not condition:
            raise SchemaError(f"field {field_map.name}: {problem}")

    require(field_map.blocks in field.args, f"has no argument {field_map.blocks}")
    require(
        not isinstance(field.type, GraphQLNonNull),
        "must be nullable, or one rejected field would make the whole result null",
    )
    row_type = get_named_type(field.type)
    if mutation:
        require(not field_map.fetch, "fetch cannot be set for a mutation")
        require(not field_map.rank_by and not field_map.detail, "rank-by and detail cannot be set for a mutation")
        return
    require(is_list_type(field.type), "must be a list of rows")
    require(isinstance(row_type, GraphQLObjectType | GraphQLInterfaceType), "must be a list of objects")
    assert isinstance(row_type, GraphQLObjectType | GraphQLInterfaceType)
    require(field_map.fetch is not None, "fetch must be set for a query field")
    require(field_map.first_by is None or field_map.first_by in field.args, f"has no argument {field_map.first_by}")
    for name in filter(None, (field_map.rank_by, field_map.detail)):
        require(name in row_type.fields, f"{row_type.name} has no field {name}")
    if field_map.rank_by:
        require(
            is_leaf_type(get_named_type(row_type.fields[field_map.rank_by].type)),
            f"{field_map.rank_by} must be a number, since rank-by names it",
        )
    if field_map.detail:
        require("id" in row_type.fields, f"{row_type.name} must have a field id if detail is set")
        require(
            not isinstance(row_type.fields[field_map.detail].type, GraphQLNonNull),
            f"{field_map.detail} must be nullable",
        )
