"""GraphQL over HTTP: requests in, one answer each. Root fields become queries to the module; the answer waits for all.

The merged values are completed by graphql-core's executor, so that aliases, fragments, types and nulls are as the
specification has them. Nothing is written after the client's deadline.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from graphql import ExecutionResult, GraphQLError, GraphQLResolveInfo, execute_sync, located_error
from graphql.execution.values import get_argument_values, get_variable_values

from badgerbend.config.settings import Settings
from badgerbend.graphql.documents import TYPE, DocumentCache, Prepared, Rejected, RootField, holds
from badgerbend.graphql.fields import (
    Asked,
    EntitiesField,
    Fetch,
    FieldQuery,
    MutationField,
    RowsField,
    block_of,
)
from badgerbend.graphql.schema import Subgraph
from badgerbend.net.server import Exchange
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.ports import PartPlan, QueryPlan

JSON, RESPONSE_JSON = b"application/json; charset=utf-8", b"application/graphql-response+json; charset=utf-8"
TIME_LEFT, RETRY, TENANT, KEY = (
    b"badgerbend-time-left-ms",
    b"badgerbend-retry",
    b"badgerbend-tenant",
    b"idempotency-key",
)


class Body(msgspec.Struct):
    """A request's body as GraphQL over HTTP has it."""

    query: str | None = None
    operationName: str | None = None  # noqa: N815 - the specification's name
    variables: dict[str, Any] | None = None
    extensions: dict[str, Any] | None = None


class ByName(dict[str, Any]):
    """A value whose members are found by field name; all others come from servers, by their names in the answer."""


_DECODER = msgspec.json.Decoder(Body)


class GraphQLFront:
    """Serves one subgraph over a driver. `now_ms` is the driver's clock."""

    def __init__(self, settings: Settings, subgraph: Subgraph, driver: Driver, now_ms: Callable[[], float]) -> None:
        self.settings, self.subgraph, self.driver, self.now_ms = settings, subgraph, driver, now_ms
        self.documents = DocumentCache(subgraph, settings.documents)
        self.tenants = {t.name.encode(): i for i, t in enumerate(settings.tenant)}
        self.operations: set[_Operation] = set()
        self.late = 0  # answers that were ready only after the client's deadline, and so not written

    def handle(self, exchange: Exchange) -> None:
        """Takes a request for the GraphQL path."""
        media = _media(exchange.headers.get(b"accept", b"*/*"))
        if media is None:
            exchange.respond(406, b"", b"", ())
            return
        try:
            body = self._body(exchange)
            operation = self._operation(exchange, body, media)
        except _Http as err:
            exchange.respond(err.status, _errors([GraphQLError(err.text)]), media, err.extra)
            return
        except Rejected as err:
            status = 200 if media is JSON and _well_formed(err) else 400
            exchange.respond(status, _errors(err.errors), media)
            return
        operation.start()

    def _body(self, exchange: Exchange) -> Body:
        if exchange.method == b"POST":
            kind = exchange.headers.get(b"content-type", b"").split(b";")[0].strip().lower()
            if kind != b"application/json":
                raise _Http(415, "the body must be application/json")
            try:
                return _DECODER.decode(exchange.body)
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
                raise _Http(400, f"the body is no GraphQL request: {err}") from err
        if exchange.method == b"GET":
            try:
                asked = parse_qs(urlsplit(exchange.target.decode("ascii")).query, strict_parsing=True)
                raw = asked.get("variables", ["null"])[0]
                variables = msgspec.json.decode(raw.encode(), type=dict[str, Any] | None)
                return Body(asked.get("query", [None])[0], asked.get("operationName", [None])[0], variables)
            except (ValueError, msgspec.DecodeError, RecursionError) as err:
                raise _Http(400, f"the target is no GraphQL request: {err}") from err
        raise _Http(405, "GraphQL is asked by POST or GET", ((b"allow", b"GET, POST"),))

    def _operation(self, exchange: Exchange, body: Body, media: bytes) -> _Operation:
        if not body.query:
            raise _Http(400, "query is missing")
        prepared = self.documents.get(body.query, body.operationName)
        if prepared.mutation and exchange.method == b"GET":
            raise _Http(405, "a mutation is asked by POST", ((b"allow", b"POST"),))
        defined = prepared.operation.variable_definitions or ()
        variables = get_variable_values(self.subgraph.schema, defined, body.variables or {}, max_errors=5)
        if isinstance(variables, list):
            raise Rejected(variables)
        headers = exchange.headers
        left = _number(headers, TIME_LEFT)
        tenant = self.tenants.get(headers.get(TENANT, b""))
        if tenant is None and self.tenants:
            raise _Http(403, f"{TENANT.decode()} names no tenant of this broker")
        asked = Asked(
            _trace(headers.get(b"traceparent", b"")),
            headers[KEY].decode("latin-1") if KEY in headers else None,
            headers.get(RETRY, b"") in (b"1", b"true"),
        )
        return _Operation(self, exchange, prepared, body.variables or {}, variables, media, left, tenant or 0, asked)


class _Operation:
    """One request from the client, until its one answer."""

    def __init__(
        self,
        front: GraphQLFront,
        exchange: Exchange,
        prepared: Prepared,
        raw: dict[str, Any],
        variables: Any,
        media: bytes,
        left: float | None,
        tenant: int,
        asked: Asked,
    ) -> None:
        self.front, self.exchange, self.prepared = front, exchange, prepared
        self.raw, self.variables, self.media = raw, variables, media
        self.deadline = None if left is None else front.now_ms() + left
        self.tenant, self.asked = tenant, asked
        self.values: dict[str, Any] = {}
        self.marks: dict[str, Any] = {}
        self.advice_ms = 0.0
        self.refused = 0
        self.todo: list[RootField] = []
        self.waiting: set[FieldQuery] = set()
        self.passed = {f"v_{k}": v for k, v in variables.coerced.items()}

    def start(self) -> None:
        """Asks for all root fields at once; those of a mutation one after the other."""
        coerced = self.variables.coerced
        self.todo = [f for f in self.prepared.fields if holds(f.conditions, coerced)]
        self.todo.reverse()
        self.front.operations.add(self)
        self.exchange.on_disconnect = self.gone
        if self.prepared.mutation:
            self._next()
            return
        ready: list[tuple[FieldQuery, QueryPlan]] = []
        while self.todo:
            self._plan(self.todo.pop(), ready)
        self.waiting |= {q for q, _ in ready}
        for query, plan in ready:
            self._submit(query, plan)
        self._finish_if_done()

    def _submit(self, query: FieldQuery, plan: QueryPlan) -> None:
        query.client_has_left = self.exchange.client_has_left
        query.query_id = self.front.driver.submit(plan, query)

    def _next(self) -> None:
        while self.todo and not self.waiting and not self.exchange.disconnected:
            ready: list[tuple[FieldQuery, QueryPlan]] = []
            self._plan(self.todo.pop(), ready)
            for query, plan in ready:
                self.waiting.add(query)
                self._submit(query, plan)
        self._finish_if_done()

    def _plan(self, root: RootField, ready: list[tuple[FieldQuery, QueryPlan]]) -> None:
        """A root field's query; one that needs none, or cannot be asked, has its value at once."""
        name = root.node.name.value
        try:
            if name == "_service":
                self.values[root.key] = ByName(sdl=self.front.subgraph.sdl)
            elif root.template is not None:
                ready.append(self._query(root))
        except GraphQLError as err:
            self.values[root.key] = err

    def _query(self, root: RootField) -> tuple[FieldQuery, QueryPlan]:
        arguments = root.arguments
        if arguments is None:
            arguments = get_argument_values(root.definition, root.node, self.variables)
        settings = self.front.settings
        query: FieldQuery
        if root.mapped is None:
            class_name, parts, count = self._entity_parts(root, arguments["representations"])
            query = EntitiesField(root, parts, self._done, count)
        else:
            class_name, mapped = root.mapped.class_, root.mapped
            named = arguments.get(mapped.blocks)
            blocks = self._blocks(named)
            shared = {f"a_{k}": v for k, v in arguments.items()} | self.passed
            assert root.template is not None
            if self.prepared.mutation:
                many = isinstance(named, list)
                parts = [
                    self._part(
                        b,
                        len(blocks),
                        Fetch(
                            root.template,
                            {**shared, f"a_{mapped.blocks}": [b] if many else b},
                            self.asked,
                            [],
                            b,
                            "mutation",
                            root.key,
                        ),
                    )
                    for b in blocks
                ]
                query = MutationField(root, parts, self._done, many)
            else:
                size = len(root.checks) if root.direct else None
                parts = [
                    self._part(
                        b,
                        len(blocks),
                        Fetch(
                            root.template,
                            shared,
                            self.asked,
                            [{"__typename": mapped.entity, "id": str(b)}],
                            b,
                            "rows",
                            root.key,
                            root.checks,
                            size,
                        ),
                    )
                    for b in blocks
                ]
                first = arguments.get(mapped.first_by) if mapped.first_by else None
                if isinstance(first, int) and first < 0:
                    raise GraphQLError(f"{mapped.first_by} must not be negative", root.node, extensions=BAD_INPUT)
                step = settings.class_[settings.class_index(class_name)].second_step
                query = RowsField(root, parts, self._done, first if isinstance(first, int) else None, step)
        index = settings.class_index(class_name)
        left = settings.class_[index].deadline_ms
        if self.deadline is not None:
            left = min(left, self.deadline - self.front.now_ms())
        left = max(left - settings.listen.answer_allowance_ms, 0.0)
        return query, QueryPlan(index, self.tenant, 0, left, self.asked.is_retry, None, parts)

    def _blocks(self, named: Any) -> list[int]:
        shards, most = self.front.settings.layout.shards, self.front.settings.documents.max_blocks
        blocks = list(dict.fromkeys(named if isinstance(named, list) else [named]))
        if not blocks or any(not isinstance(b, int) or not 0 <= b < shards for b in blocks):
            raise GraphQLError(f"blocks must be one or more of 0 to {shards - 1}", extensions=BAD_INPUT)
        if len(blocks) > most:
            raise GraphQLError(f"more than {most} blocks", extensions=BAD_INPUT)
        return blocks

    def _entity_parts(self, root: RootField, given: list[Any]) -> tuple[str, list[PartPlan], int]:
        entities, shards = self.front.subgraph.entities, self.front.settings.layout.shards
        if len(given) > self.front.settings.documents.max_representations:
            raise GraphQLError("too many representations", root.node, extensions=BAD_INPUT)
        by_block: dict[int, list[tuple[int, dict[str, Any]]]] = {}
        class_name = ""
        for place, one in enumerate(given):
            entity = entities.get(one.get("__typename", "")) if isinstance(one, dict) else None
            block = block_of(one.get(entity.key)) if entity else None
            if entity is None or block is None or block >= shards:
                problem = "names no entity of this subgraph, or has no key of its"
                raise GraphQLError(f"representation {place} {problem}", root.node, extensions=BAD_INPUT)
            class_name = class_name or entity.class_
            by_block.setdefault(block, []).append((place, one))
        if not by_block:
            raise GraphQLError("representations are empty", root.node, extensions=BAD_INPUT)
        assert root.template is not None
        parts = [
            self._part(
                block,
                len(by_block),
                Fetch(
                    root.template,
                    self.passed,
                    self.asked,
                    [one for _, one in some],
                    block,
                    "entities",
                    root.key,
                    (),
                    None,
                    tuple(place for place, _ in some),
                ),
            )
            for block, some in by_block.items()
        ]
        return class_name, parts, len(given)

    @staticmethod
    def _part(block: int, count: int, fetch: Fetch) -> PartPlan:
        return PartPlan(block, 1 / count, None, fetch)

    # -- ends
    def _done(self, query: FieldQuery, value: object) -> None:
        self.waiting.discard(query)
        self.values[query.root.key] = value
        if isinstance(value, GraphQLError):
            self.refused += 1
            self.advice_ms = max(self.advice_ms, query.advice_ms)
        if query.mark is not None:
            self.marks[query.root.key] = query.mark.as_json()
        if self.prepared.mutation:
            self._next()
        else:
            self._finish_if_done()

    def gone(self) -> None:
        """The client closed its connection: its queries end without an answer."""
        self.front.operations.discard(self)
        self.todo.clear()
        for query in list(self.waiting):
            if query.query_id is not None:
                self.front.driver.client_disconnected(query.query_id)
        self.waiting.clear()

    def _finish_if_done(self) -> None:
        if self.waiting or self.todo or self not in self.front.operations:
            return
        self.front.operations.discard(self)
        if self.deadline is not None and self.front.now_ms() > self.deadline:
            self.front.late += 1
            self.exchange.drop()  # an answer now would come to someone who has given up
            return
        if all(f.direct for f in self.prepared.fields):
            self._respond(self._direct())
            return
        try:
            result = self._execute()
        except Exception as err:  # a value that neither checks nor executor foresaw
            self.exchange.respond(500, _errors([GraphQLError(f"internal error: {type(err).__name__}")]), self.media)
            raise
        self._respond(result)

    def _execute(self) -> ExecutionResult:
        return execute_sync(
            self.front.subgraph.schema,
            self.prepared.document,
            self.values,
            variable_values=self.raw,
            operation_name=self.prepared.operation.name.value if self.prepared.operation.name else None,
            field_resolver=_resolve,
            type_resolver=_type_of,
        )

    def _direct(self) -> ExecutionResult:
        """The answer without the executor: rows that passed their checks, and refusals, which are null and an error."""
        data, errors = {}, []
        for root in self.prepared.fields:
            if root.key in self.values:
                value = self.values[root.key]
                if isinstance(value, GraphQLError):
                    errors.append(located_error(value, [root.node], [root.key]))
                    value = None
                data[root.key] = value
        return ExecutionResult(data, errors or None)

    def _respond(self, result: ExecutionResult) -> None:
        answer: dict[str, Any] = {"data": result.data}
        if result.errors:
            answer["errors"] = [e.formatted for e in result.errors]
        if self.marks:
            answer["extensions"] = {"badgerbend": {"fields": self.marks}}
        status = 200
        if result.data is None and self.media is RESPONSE_JSON:
            status = 503 if self.refused else 500
        extra: tuple[tuple[bytes, bytes], ...] = ()
        if self.advice_ms > 0:  # the header counts whole seconds; `retryAfterMs` is exact
            extra = ((b"retry-after", b"%d" % -(-self.advice_ms // 1000)),)
        self.exchange.respond(status, msgspec.json.encode(answer), self.media, extra)


BAD_INPUT = {"code": "BAD_USER_INPUT"}


class _Http(Exception):
    def __init__(self, status: int, text: str, extra: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        super().__init__(text)
        self.status, self.text, self.extra = status, text, extra


def _errors(errors: list[GraphQLError]) -> bytes:
    return msgspec.json.encode({"errors": [e.formatted for e in errors]})


def _well_formed(err: Rejected) -> bool:
    """Whether the document at least parsed: then application/json answers with 200, as the specification has it."""
    return all("Syntax Error" not in e.message for e in err.errors)


def _media(accept: bytes) -> bytes | None:
    """The media type of the answer; JSON where the client does not say, None where it takes neither."""
    best: tuple[float, int, bytes] | None = None
    for place, piece in enumerate(accept.split(b",")):
        name, *parameters = (p.strip().lower() for p in piece.split(b";"))
        quality = next((p[2:] for p in parameters if p.startswith(b"q=")), b"1")
        try:
            weight = float(quality)
        except ValueError:
            weight = 0.0
        kind = {
            b"application/graphql-response+json": RESPONSE_JSON,
            b"application/json": JSON,
            b"application/*": JSON,
            b"*/*": JSON,
        }.get(name)
        if kind is not None and weight > 0 and (best is None or (weight, -place) > best[:2]):
            best = (weight, -place, kind)
    return best[2] if best else None


def _number(headers: dict[bytes, bytes], name: bytes) -> float | None:
    raw = headers.get(name)
    if raw is None:
        return None
    if not raw.isdigit() or len(raw) > 9:
        raise _Http(400, f"{name.decode()} must be a whole number of milliseconds")
    return float(raw)


def _trace(parent: bytes) -> str:
    """The trace that the client is part of (W3C Trace Context), or a new one."""
    pieces = parent.split(b"-")
    if len(pieces) == 4 and len(pieces[1]) == 32 and all(c in b"0123456789abcdef" for c in pieces[1]):
        return pieces[1].decode()
    return os.urandom(16).hex()


def _resolve(source: Any, info: GraphQLResolveInfo[Any], **_arguments: Any) -> Any:
    if isinstance(source, dict):
        value = source.get(info.field_name if isinstance(source, ByName) else str(info.path.key))
        if isinstance(value, Exception):
            raise value
        return value
    raise GraphQLError("a server's value is not of its type")


def _type_of(value: Any, _info: GraphQLResolveInfo[Any], _kind: Any) -> str | None:
    found = value.get(TYPE) or value.get("__typename") if isinstance(value, dict) else None
    return found if isinstance(found, str) else None
