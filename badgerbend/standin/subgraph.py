"""The subgraph of the rate servers: its types, and rates that depend on block, amount and months only.

All servers of a block return the same rows, so a client can tell a correct answer from a wrong one.
"""

from __future__ import annotations

import zlib
from typing import Any

from graphql import (
    DocumentNode,
    ExecutionResult,
    GraphQLError,
    GraphQLResolveInfo,
    execute_sync,
    parse,
    validate,
)

from badgerbend.graphql.schema import build_subgraph

TYPES = """
type Query { blocks: [Int!]! }
type Mutation { holdRate(block: Int!, rate: ID!): Hold  signLease(block: Int!, rate: ID!): Hold }
type Rate @key(fields: "id") {
  id: ID! block: Int! lender: String! months: Int! monthly: Float! apr: Float! terms: Terms
}
type Terms @shareable { deposit: Float! fee: Float! wording: String! }
type RateBlock @key(fields: "id") { id: ID! rates(amount: Float!, months: Int): [Rate!]! }
type Hold { id: ID! rate: ID! server: String! }
"""
ROWS = 4  # rates in a block
LENDERS = ("Tui", "Kea", "Weka", "Pukeko", "Moa", "Huia", "Takahe")
SCHEMA, SDL = build_subgraph(TYPES, ["Rate", "RateBlock"])


def rates(block: int, amount: float, months: int | None) -> list[dict[str, Any]]:
    """The rows of a block, the same on every server."""
    months = 36 if months is None else months
    out = []
    for i in range(ROWS):
        checksum = zlib.crc32(f"{block}:{i}".encode())
        apr = 3.0 + (checksum % 900) / 100.0
        out.append(
            {
                "__typename": "Rate",
                "id": f"{block}:{i}",
                "block": block,
                "lender": LENDERS[checksum % len(LENDERS)],
                "months": months,
                "apr": apr,
                "monthly": round(amount / months * (1 + apr / 100), 2),
            }
        )
    return out


class Subgraph:
    """Executes requests for one server and caches parsed documents."""

    def __init__(self, name: str, blocks: list[int]) -> None:
        self.name, self.blocks = name, blocks
        self.cached_documents: dict[str, DocumentNode | list[GraphQLError]] = {}

    def execute(self, text: str, variables: dict[str, Any]) -> ExecutionResult:
        cached = self.cached_documents.get(text)
        if cached is None:
            try:
                document = parse(text)
                errors = validate(SCHEMA, document)
                cached = errors or document
            except GraphQLError as err:
                cached = [err]
            if len(self.cached_documents) > 1000:
                self.cached_documents.clear()
            self.cached_documents[text] = cached
        if isinstance(cached, list):
            return ExecutionResult(None, cached)
        return execute_sync(
            SCHEMA, cached, self, variable_values=variables, field_resolver=self._field, type_resolver=self._type_name
        )

    def _field(self, source: Any, info: GraphQLResolveInfo[Any], **arguments: Any) -> Any:
        name = info.field_name
        if source is self:
            if name == "_service":
                return {"sdl": SDL}
            if name == "_entities":
                return [self._entity(r) for r in arguments["representations"]]
            if name == "blocks":
                return self.blocks
            return {"id": f"{name}:{arguments['rate']}", "rate": arguments["rate"], "server": self.name}
        if name == "rates":
            return rates(int(source["id"]), arguments["amount"], arguments.get("months"))
        if name == "terms":
            return {"deposit": 500.0, "fee": 25.0, "wording": f"Terms of {source['id']}"}
        return source.get(name)

    def _entity(self, representation: Any) -> Any:
        type_name, key = representation.get("__typename"), str(representation.get("id", ""))
        block = key.split(":", 1)[0]
        if type_name not in ("Rate", "RateBlock") or not block.isdigit() or int(block) not in self.blocks:
            return GraphQLError(f"{type_name} {key} is not held by {self.name}")
        if type_name == "RateBlock":
            return {"__typename": type_name, "id": key}
        found = [r for r in rates(int(block), 1000.0, None) if r["id"] == key]
        return found[0] if found else None

    @staticmethod
    def _type_name(value: Any, _info: GraphQLResolveInfo[Any], _type: Any) -> str | None:
        return value.get("__typename") if isinstance(value, dict) else None
