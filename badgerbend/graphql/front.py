"""Serves GraphQL over HTTP. Root fields become queries to the decision module; the response waits for all of them.

The merged values are completed by graphql-core's executor, so that aliases, fragments, types and nulls follow the
specification. No result is written after the client's deadline.
"""

from __future__ import annotations

import asyncio
import math
import os
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
from graphql import ExecutionResult, GraphQLError, GraphQLResolveInfo, execute_sync, located_error
from graphql.execution.values import get_argument_values, get_variable_values

from badgerbend.config.settings import Settings
from badgerbend.graphql.documents import (
    TYPE,
    DocumentCache,
    PreparedDocument,
    RequestRejectedError,
    RootField,
    conditions_hold,
)
from badgerbend.graphql.fields import (
    EntitiesField,
    Fetch,
    FieldQuery,
    MutationField,
    RequestContext,
    RowsField,
    block_of,
)
from badgerbend.graphql.schema import Subgraph
from badgerbend.net.exchange import Exchange
from badgerbend.net.request_parser import Request
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.ports import PartPlan, QueryPlan

JSON, RESPONSE_JSON = b"application/json; charset=utf-8", b"application/graphql-response+json; charset=utf-8"
# Request headers of clients.
TIME_LEFT, RETRY, TENANT, KEY = (
    b"badgerbend-time-left-ms",
    b"badgerbend-retry",
    b"badgerbend-tenant",
    b"idempotency-key",
)


class RequestBody(msgspec.Struct):
    """The body of a request, as the specification of GraphQL over HTTP defines it."""

    query: str | None = None
    operationName: str | None = None  # noqa: N815 - the specification's name
    variables: dict[str, Any] | None = None
    extensions: dict[str, Any] | None = None


class FieldNameDict(dict[str, Any]):
    """A value keyed by field names. Values from servers are plain dicts, keyed by response keys (aliases, if given)."""


_DECODER = msgspec.json.Decoder(RequestBody)


class GraphQLFront:
    """Serves the requests for one subgraph, whose queries it submits to a driver. now_ms: the clock of the driver."""

    def __init__(self, settings: Settings, subgraph: Subgraph, driver: Driver, now_ms: Callable[[], float]) -> None:
        self.settings, self.subgraph, self.driver, self.now_ms = settings, subgraph, driver, now_ms
        self.documents = DocumentCache(subgraph, settings.documents)
        self.tenants = {t.name.encode(): i for i, t in enumerate(settings.tenant)}
        self.operations: set[_Operation] = set()
        self.late_responses = 0  # responses that were not written because the client's deadline had passed

    def handle(self, exchange: Exchange) -> None:
        """Handles a request for the GraphQL path."""
        media_type = _select_media_type(exchange.headers.get(b"accept", b"*/*"))
        if media_type is None:
            exchange.respond(406, b"", b"", ())
            return
        try:
            body = self._body(exchange)
            operation = self._operation(exchange, body, media_type)
        except _HttpError as err:
            exchange.respond(err.status, _errors([GraphQLError(err.text)]), media_type, err.extra)
            return
        except RequestRejectedError as err:
            status = 200 if media_type is JSON and _well_formed(err) else 400
            exchange.respond(status, _errors(err.errors), media_type)
            return
        operation.start()

    def answer_by(self, request: Request) -> float:
        """When the client of a request that waits for its turn stops waiting, on the event loop's clock."""
        try:
            time_left_ms = _milliseconds(request.headers, TIME_LEFT)
        except _HttpError:
            time_left_ms = None  # the request is rejected in its turn
        return math.inf if time_left_ms is None else request.received_at + time_left_ms / 1000.0

    def _body(self, exchange: Exchange) -> RequestBody:
        if exchange.method == b"POST":
            content_type = exchange.headers.get(b"content-type", b"").split(b";")[0].strip().lower()
            if content_type != b"application/json":
                raise _HttpError(415, "the body must be application/json")
            try:
                return _DECODER.decode(exchange.body)
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
                raise _HttpError(400, f"the body is no GraphQL request: {err}") from err
        if exchange.method == b"GET":
            try:
                query_parameters = parse_qs(urlsplit(exchange.target.decode("ascii")).query, strict_parsing=True)
                raw_variables = query_parameters.get("variables", ["null"])[0]
                variables = msgspec.json.decode(raw_variables.encode(), type=dict[str, Any] | None)
                return RequestBody(
                    query_parameters.get("query", [None])[0],
                    query_parameters.get("operationName", [None])[0],
                    variables,
                )
            except (ValueError, msgspec.DecodeError, RecursionError) as err:
                raise _HttpError(400, f"the target is no GraphQL request: {err}") from err
        raise _HttpError(405, "GraphQL is asked by POST or GET", ((b"allow", b"GET, POST"),))

    def _operation(self, exchange: Exchange, body: RequestBody, media_type: bytes) -> _Operation:
        if not body.query:
            raise _HttpError(400, "query is missing")
        prepared = self.documents.get(body.query, body.operationName)
        if prepared.mutation and exchange.method == b"GET":
            raise _HttpError(405, "a mutation is asked by POST", ((b"allow", b"POST"),))
        defined = prepared.operation.variable_definitions or ()
        variables = get_variable_values(self.subgraph.schema, defined, body.variables or {}, max_errors=5)
        if isinstance(variables, list):
            raise RequestRejectedError(variables)
        headers = exchange.headers
        time_left_ms = _milliseconds(headers, TIME_LEFT)
        tenant = self.tenants.get(headers.get(TENANT, b""))
        if tenant is None and self.tenants:
            raise _HttpError(403, f"{TENANT.decode()} names no tenant of this broker")
        context = RequestContext(
            _trace_id(headers.get(b"traceparent", b"")),
            headers[KEY].decode("latin-1") if KEY in headers else None,
            headers.get(RETRY, b"") in (b"1", b"true"),
        )
        return _Operation(
            self, exchange, prepared, body.variables or {}, variables, media_type, time_left_ms, tenant or 0, context
        )


class _Operation:
    """The execution of one request of a client."""

    def __init__(
        self,
        front: GraphQLFront,
        exchange: Exchange,
        prepared: PreparedDocument,
        raw_variables: dict[str, Any],
        variables: Any,
        media_type: bytes,
        time_left_ms: float | None,
        tenant: int,
        context: RequestContext,
    ) -> None:
        self.front, self.exchange, self.prepared = front, exchange, prepared
        self.raw_variables, self.variables, self.media_type = raw_variables, variables, media_type
        waited_ms = exchange.waited_ms(asyncio.get_running_loop().time())
        self.deadline = None if time_left_ms is None else front.now_ms() + time_left_ms - waited_ms
        self.tenant, self.context = tenant, context
        self.values: dict[str, Any] = {}
        self.completeness: dict[str, Any] = {}
        self.retry_after_ms = 0.0
        self.refused = 0
        self.remaining: list[RootField] = []
        self.pending: set[FieldQuery] = set()
        self.variable_arguments = {f"v_{k}": v for k, v in variables.coerced.items()}

    def start(self) -> None:
        """Executes all root fields in parallel; those of a mutation one after the other."""
        coerced = self.variables.coerced
        self.remaining = [f for f in self.prepared.fields if conditions_hold(f.conditions, coerced)]
        self.remaining.reverse()
        self.front.operations.add(self)
        self.exchange.on_disconnect = self.client_disconnected
        self.exchange.on_expiry = self.expired
        if self.prepared.mutation:
            self._start_next()
            return
        ready: list[tuple[FieldQuery, QueryPlan]] = []
        while self.remaining:
            self._plan(self.remaining.pop(), ready)
        self.pending |= {q for q, _ in ready}
        for query, plan in ready:
            self._submit(query, plan)
        self._finish_if_done()

    def _submit(self, query: FieldQuery, plan: QueryPlan) -> None:
        query.client_has_left = self.exchange.client_has_left
        query.query_id = self.front.driver.submit(plan, query)

    def _start_next(self) -> None:
        while self.remaining and not self.pending and not self.exchange.disconnected:
            ready: list[tuple[FieldQuery, QueryPlan]] = []
            self._plan(self.remaining.pop(), ready)
            for query, plan in ready:
                self.pending.add(query)
                self._submit(query, plan)
        self._finish_if_done()

    def _plan(self, root: RootField, ready: list[tuple[FieldQuery, QueryPlan]]) -> None:
        """Adds the query of a root field to `ready`. `_service` and fields with invalid arguments get a value instead.

        Introspection fields get neither; the executor resolves them.
        """
        name = root.node.name.value
        try:
            if name == "_service":
                self.values[root.key] = FieldNameDict(sdl=self.front.subgraph.sdl)
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
        if root.field_map is None:
            class_name, parts, count = self._entity_parts(root, arguments["representations"])
            query = EntitiesField(root, parts, self._done, count)
        else:
            class_name, field_map = root.field_map.class_, root.field_map
            block_argument = arguments.get(field_map.blocks)
            blocks = self._blocks(block_argument)
            shared = {f"a_{k}": v for k, v in arguments.items()} | self.variable_arguments
            assert root.template is not None
            if self.prepared.mutation:
                many = isinstance(block_argument, list)
                parts = [
                    self._part(
                        b,
                        len(blocks),
                        Fetch(
                            root.template,
                            {**shared, f"a_{field_map.blocks}": [b] if many else b},
                            self.context,
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
                member_count = len(root.checks) if root.direct else None
                parts = [
                    self._part(
                        b,
                        len(blocks),
                        Fetch(
                            root.template,
                            shared,
                            self.context,
                            [{"__typename": field_map.entity, "id": str(b)}],
                            b,
                            "rows",
                            root.key,
                            root.checks,
                            member_count,
                        ),
                    )
                    for b in blocks
                ]
                first = arguments.get(field_map.first_by) if field_map.first_by else None
                if isinstance(first, int) and first < 0:
                    raise GraphQLError(f"{field_map.first_by} must not be negative", root.node, extensions=BAD_INPUT)
                step = settings.class_[settings.class_index(class_name)].second_step
                query = RowsField(root, parts, self._done, first if isinstance(first, int) else None, step)
        index = settings.class_index(class_name)
        time_left_ms = settings.class_[index].deadline_ms
        if self.deadline is not None:
            time_left_ms = min(time_left_ms, self.deadline - self.front.now_ms())
        time_left_ms = max(time_left_ms - settings.listen.answer_allowance_ms, 0.0)
        return query, QueryPlan(index, self.tenant, 0, time_left_ms, self.context.is_retry, None, parts)

    def _blocks(self, argument: Any) -> list[int]:
        shards, max_blocks = self.front.settings.layout.shards, self.front.settings.documents.max_blocks
        blocks = list(dict.fromkeys(argument if isinstance(argument, list) else [argument]))
        if not blocks or any(not isinstance(b, int) or not 0 <= b < shards for b in blocks):
            raise GraphQLError(f"blocks must be one or more of 0 to {shards - 1}", extensions=BAD_INPUT)
        if len(blocks) > max_blocks:
            raise GraphQLError(f"more than {max_blocks} blocks", extensions=BAD_INPUT)
        return blocks

    def _entity_parts(self, root: RootField, representations: list[Any]) -> tuple[str, list[PartPlan], int]:
        entities, shards = self.front.subgraph.entities, self.front.settings.layout.shards
        if len(representations) > self.front.settings.documents.max_representations:
            raise GraphQLError("too many representations", root.node, extensions=BAD_INPUT)
        by_block: dict[int, list[tuple[int, dict[str, Any]]]] = {}
        class_name = ""
        for position, representation in enumerate(representations):
            entity = entities.get(representation.get("__typename", "")) if isinstance(representation, dict) else None
            block = block_of(representation.get(entity.key)) if entity else None
            if entity is None or block is None or block >= shards:
                problem = "names no entity of this subgraph, or has no key of its"
                raise GraphQLError(f"representation {position} {problem}", root.node, extensions=BAD_INPUT)
            class_name = class_name or entity.class_
            by_block.setdefault(block, []).append((position, representation))
        if not by_block:
            raise GraphQLError("representations are empty", root.node, extensions=BAD_INPUT)
        assert root.template is not None
        parts = [
            self._part(
                block,
                len(by_block),
                Fetch(
                    root.template,
                    self.variable_arguments,
                    self.context,
                    [representation for _, representation in members],
                    block,
                    "entities",
                    root.key,
                    (),
                    None,
                    tuple(position for position, _ in members),
                ),
            )
            for block, members in by_block.items()
        ]
        return class_name, parts, len(representations)

    @staticmethod
    def _part(block: int, count: int, fetch: Fetch) -> PartPlan:
        return PartPlan(block, 1 / count, None, fetch)

    # -- completion
    def _done(self, query: FieldQuery, value: object) -> None:
        self.pending.discard(query)
        self.values[query.root.key] = value
        if isinstance(value, GraphQLError):
            self.refused += 1
            self.retry_after_ms = max(self.retry_after_ms, query.retry_after_ms)
        if query.completeness is not None:
            self.completeness[query.root.key] = query.completeness.as_json()
        if self.prepared.mutation:
            self._start_next()
        else:
            self._finish_if_done()

    def client_disconnected(self) -> None:
        """Ends the queries without a response, after the client has closed its connection."""
        self.front.operations.discard(self)
        self.remaining.clear()
        for query in list(self.pending):
            if query.query_id is not None:
                self.front.driver.client_disconnected(query.query_id)
        self.pending.clear()

    def expired(self) -> None:
        """Ends the queries before their time, as the client's time is over for a request behind this one."""
        self.client_disconnected()
        status, text = (502, "failed; parts of it may have run") if self.prepared.mutation else (503, "refused")
        error = GraphQLError(f"{text}: no time is left for a later request on the connection")
        self.exchange.respond(status, _errors([error]), self.media_type)

    def _finish_if_done(self) -> None:
        if self.pending or self.remaining or self not in self.front.operations:
            return
        self.front.operations.discard(self)
        if self.deadline is not None and self.front.now_ms() > self.deadline:
            self.front.late_responses += 1
            self.exchange.drop()  # the client has given up
            return
        if all(f.direct for f in self.prepared.fields):
            self._respond(self._direct())
            return
        try:
            result = self._execute()
        except Exception as err:  # a value that neither the checks nor the executor handle
            self.exchange.respond(
                500, _errors([GraphQLError(f"internal error: {type(err).__name__}")]), self.media_type
            )
            raise
        self._respond(result)

    def _execute(self) -> ExecutionResult:
        return execute_sync(
            self.front.subgraph.schema,
            self.prepared.document,
            self.values,
            variable_values=self.raw_variables,
            operation_name=self.prepared.operation.name.value if self.prepared.operation.name else None,
            field_resolver=_resolve_field,
            type_resolver=_resolve_type,
        )

    def _direct(self) -> ExecutionResult:
        """Builds the result without the executor, from rows that passed their checks and from errors."""
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
        if self.completeness:
            answer["extensions"] = {"badgerbend": {"fields": self.completeness}}
        status = 200
        if result.data is None and self.media_type is RESPONSE_JSON:
            status = 503 if self.refused else 500
        extra: tuple[tuple[bytes, bytes], ...] = ()
        if self.retry_after_ms > 0:  # the header is in whole seconds; `retryAfterMs` is exact
            extra = ((b"retry-after", b"%d" % -(-self.retry_after_ms // 1000)),)
        self.exchange.respond(status, msgspec.json.encode(answer), self.media_type, extra)


BAD_INPUT = {"code": "BAD_USER_INPUT"}


class _HttpError(Exception):
    """A request that is answered with an HTTP status and an error text."""

    def __init__(self, status: int, text: str, extra: tuple[tuple[bytes, bytes], ...] = ()) -> None:
        super().__init__(text)
        self.status, self.text, self.extra = status, text, extra


def _errors(errors: list[GraphQLError]) -> bytes:
    return msgspec.json.encode({"errors": [e.formatted for e in errors]})


def _well_formed(err: RequestRejectedError) -> bool:
    """Whether no error is a syntax error; errors then have the status 200 in application/json, as specified."""
    return all("Syntax Error" not in e.message for e in err.errors)


def _select_media_type(accept: bytes) -> bytes | None:
    """Selects the media type of the response: JSON by default, None if the client accepts no supported type."""
    best: tuple[float, int, bytes] | None = None
    for position, item in enumerate(accept.split(b",")):
        name, *parameters = (p.strip().lower() for p in item.split(b";"))
        quality = next((p[2:] for p in parameters if p.startswith(b"q=")), b"1")
        try:
            weight = float(quality)
        except ValueError:
            weight = 0.0
        media_type = {
            b"application/graphql-response+json": RESPONSE_JSON,
            b"application/json": JSON,
            b"application/*": JSON,
            b"*/*": JSON,
        }.get(name)
        if media_type is not None and weight > 0 and (best is None or (weight, -position) > best[:2]):
            best = (weight, -position, media_type)
    return best[2] if best else None


def _milliseconds(headers: dict[bytes, bytes], name: bytes) -> float | None:
    value = headers.get(name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 9:
        raise _HttpError(400, f"{name.decode()} must be a whole number of milliseconds")
    return float(value)


def _trace_id(parent: bytes) -> str:
    """The trace id of the client (W3C Trace Context), or a new one."""
    fields = parent.split(b"-")
    if len(fields) == 4 and len(fields[1]) == 32 and all(c in b"0123456789abcdef" for c in fields[1]):
        return fields[1].decode()
    return os.urandom(16).hex()


def _resolve_field(source: Any, info: GraphQLResolveInfo[Any], **_arguments: Any) -> Any:
    if isinstance(source, dict):
        value = source.get(info.field_name if isinstance(source, FieldNameDict) else str(info.path.key))
        if isinstance(value, Exception):
            raise value
        return value
    raise GraphQLError("a server's value is not of its type")


def _resolve_type(value: Any, _info: GraphQLResolveInfo[Any], _kind: Any) -> str | None:
    found = value.get(TYPE) or value.get("__typename") if isinstance(value, dict) else None
    return found if isinstance(found, str) else None
