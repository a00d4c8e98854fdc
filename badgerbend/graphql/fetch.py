"""Fetches parts of queries from servers. The parts of a call become one GraphQL request, and its response determines
the outcome of each part.

Parts that share text and variables become several representations of one `_entities` field; the others become fields
with aliases of their own. A response counts for a part only if it matches the request: the number of entities must be
right, and the rows must be of the types in the schema.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from badgerbend.api import Outcome
from badgerbend.graphql.checks import matches
from badgerbend.graphql.documents import ROWS, Template
from badgerbend.graphql.fields import Fetch
from badgerbend.graphql.selection import ALIAS_PLACEHOLDER
from badgerbend.net.calls import Call, CallResult, Reply
from badgerbend.net.client import Pool
from badgerbend.runtime.ports import Attempt

NOT_RUN = b"badgerbend-not-run"  # header by which a server proves that it ran nothing of the request
_OUTCOMES = {
    CallResult.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    CallResult.RESET: Outcome.RESET,
    CallResult.MALFORMED: Outcome.ERROR,
}
AttemptEnded = Callable[[Attempt, Outcome, object, tuple[float, ...]], None]


class _CallInFlight:
    """A call, the attempts that still wait for it, and all of its attempts in groups, one for each alias."""

    __slots__ = ("attempts", "call", "groups")

    def __init__(self, attempts: Sequence[Attempt], groups: list[list[Attempt]]) -> None:
        self.attempts, self.groups = set(attempts), groups
        self.call: Call | None = None


class FetchTransport:
    """The runtime's `Transport` over pools of HTTP connections.

    ended: called at the end of each attempt. report: names of the load values that servers report in their responses.
    """

    def __init__(
        self, pool_of: Callable[[int], Pool | None], ended: AttemptEnded, broker: int, report: tuple[str, ...]
    ) -> None:
        self.pool_of, self.ended, self.report = pool_of, ended, report
        self.head = (
            b"POST /graphql HTTP/1.1\r\nhost: %s:%d\r\ncontent-type: application/json\r\n"
            b"accept: application/graphql-response+json, application/json\r\n"
            b"badgerbend-broker: {broker}\r\nbadgerbend-time-left-ms: %d\r\ncontent-length: %d\r\n\r\n"
        ).replace(b"{broker}", str(broker).encode())
        # Texts of templates with their aliases filled in, by template and number of the alias. Emptied when there are
        # more than 10,000.
        self.texts: dict[tuple[Template, int], str] = {}
        self.cancelled_calls = 0

    def send(self, node: int, attempts: Sequence[Attempt]) -> None:
        """Sends attempts to a server in one call; mutations go in a call of their own."""
        pool = self.pool_of(node)
        if pool is None:  # the server has been removed from the list in the meantime
            for attempt in attempts:
                self.ended(attempt, Outcome.CONNECT_FAILED, None, ())
            return
        queries = [attempt for attempt in attempts if not _payload(attempt).template.mutation]
        mutations = [attempt for attempt in attempts if _payload(attempt).template.mutation]
        for batch in (queries, mutations):
            if batch:
                self._request(pool, batch)

    def _request(self, pool: Pool, attempts: list[Attempt]) -> None:
        groups: dict[object, list[Attempt]] = {}
        for attempt in attempts:
            fetch = _payload(attempt)
            group_key = attempt.part_id if fetch.template.mutation else (fetch.template, id(fetch.arguments))
            groups.setdefault(group_key, []).append(attempt)
        call_in_flight = _CallInFlight(attempts, list(groups.values()))
        body = self._body(call_in_flight.groups)
        time_left_ms = int(min(attempt.timeout_ms for attempt in attempts))
        head = self.head % (pool.host.encode(), pool.port, time_left_ms, len(body))
        for attempt in attempts:
            attempt.handle = call_in_flight
        send_by = min(attempt.begin_by_ms for attempt in attempts) / 1000.0
        call_in_flight.call = pool.request(head + body, lambda reply: self._replied(call_in_flight, reply), send_by)

    def _body(self, groups: list[list[Attempt]]) -> bytes:
        declarations, texts, parts = [], [], []
        variables: dict[str, Any] = {}
        for number, group in enumerate(groups):
            fetch, alias = _payload(group[0]), f"g{number}"
            template = fetch.template
            key = (template, number)
            text = self.texts.get(key)
            if text is None:
                if len(self.texts) > 10_000:
                    self.texts.clear()
                text = self.texts[key] = template.text.replace(ALIAS_PLACEHOLDER, alias)
            texts.append(text)
            if not template.mutation:
                declarations.append(f"${alias}_r: [_Any!]!")
                variables[f"{alias}_r"] = [r for attempt in group for r in _payload(attempt).representations]
            for prefix, pairs in (("a", template.argument_types), ("v", template.variable_types)):
                for name, kind in pairs:
                    variable = f"{prefix}_{name}"
                    if variable in fetch.arguments:
                        declarations.append(f"${alias}{variable}: {kind}")
                        variables[f"{alias}{variable}"] = fetch.arguments[variable]
                    else:  # omitted by the client: declared without a value, so that the server's default applies
                        declarations.append(f"${alias}{variable}: {kind.rstrip('!')}")
            for attempt in group:
                part = _payload(attempt)
                parts.append(
                    {
                        "alias": alias,
                        "count": len(part.representations),
                        "trace": part.context.trace,
                        "query": attempt.query_id,
                        "field": part.field,
                        "block": part.block,
                        "kind": part.kind,
                        "attempt": attempt.number,
                        "retry": part.context.is_retry,
                        "key": part.context.key,
                    }
                )
        kind = "mutation" if _payload(groups[0][0]).template.mutation else "query"
        head = f"({', '.join(declarations)})" if declarations else ""
        return msgspec.json.encode(
            {
                "query": f"{kind}{head} {{ {' '.join(texts)} }}",
                "variables": variables,
                "extensions": {"badgerbend": {"parts": parts}},
            }
        )

    def cancel(self, attempt: Attempt) -> None:
        """Stops waiting for an attempt, and cancels its call if no other attempt waits for it."""
        call_in_flight = attempt.handle
        if isinstance(call_in_flight, _CallInFlight) and attempt in call_in_flight.attempts:
            call_in_flight.attempts.discard(attempt)
            if not call_in_flight.attempts and call_in_flight.call is not None:
                self.cancelled_calls += 1
                call_in_flight.call.abort()

    def begun(self, attempt: Attempt) -> bool:
        """Whether any byte of an attempt may have been sent."""
        call_in_flight = attempt.handle
        is_waiting = (
            isinstance(call_in_flight, _CallInFlight)
            and call_in_flight.call is not None
            and call_in_flight.call.connection is None
        )
        return not is_waiting

    def close_idle(self, node: int) -> None:
        pool = self.pool_of(node)
        if pool is not None:
            pool.close_idle()

    # -- responses
    def _replied(self, call_in_flight: _CallInFlight, reply: Reply) -> None:
        waiting, call_in_flight.attempts = call_in_flight.attempts, set()
        outcome = _OUTCOMES.get(reply.result)
        answer: dict[str, Any] = {}
        if outcome is None:
            if reply.status in (429, 503) and NOT_RUN in reply.headers:
                outcome = Outcome.REJECTED
            else:
                answer = _decode(reply) or {}
                outcome = None if answer else Outcome.ERROR
        if outcome is not None:
            for attempt in waiting:
                self.ended(attempt, outcome, None, ())
            return
        report = self._report(answer)
        data = answer.get("data")
        error_positions = _error_positions(answer.get("errors"))
        for number, group in enumerate(call_in_flight.groups):
            alias = f"g{number}"
            found = data.get(alias) if isinstance(data, dict) else None
            results = _results(group, found, error_positions.get(alias, set()) | error_positions.get(None, set()))
            for attempt, result in zip(group, results, strict=True):
                if attempt in waiting:
                    is_valid = result is not _INVALID
                    self.ended(attempt, Outcome.OK if is_valid else Outcome.ERROR, result if is_valid else None, report)

    def _report(self, answer: dict[str, Any]) -> tuple[float, ...]:
        """The server's load values, in the order of `report`; empty if one is missing."""
        extensions = answer.get("extensions")
        load = extensions.get("load") if isinstance(extensions, dict) else None
        if not isinstance(load, dict):
            return ()
        values = [load.get(name) for name in self.report]
        return tuple(float(v) for v in values if isinstance(v, int | float)) if None not in values else ()


_INVALID = object()


def _payload(attempt: Attempt) -> Fetch:
    payload = attempt.plan.payload
    assert isinstance(payload, Fetch)
    return payload


def _decode(reply: Reply) -> dict[str, Any] | None:
    if reply.status != 200:
        return None
    try:
        answer = msgspec.json.decode(reply.body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return answer if isinstance(answer, dict) else None


def _error_positions(errors: object) -> dict[object, set[object]]:
    """The positions that have errors in the list of each alias.

    The position None stands for the whole list, the alias None for the whole response.
    """
    out: dict[object, set[object]] = {}
    for error in errors if isinstance(errors, list) else ():
        path = error.get("path") if isinstance(error, dict) else None
        if isinstance(path, list) and path and isinstance(path[0], str):
            position = path[1] if len(path) > 1 and isinstance(path[1], int) else None
            out.setdefault(path[0], set()).add(position)
        else:
            out.setdefault(None, set()).add(None)
    return out


def _results(group: list[Attempt], found: object, error_positions: set[object]) -> list[object]:
    """The result of each attempt, _INVALID if the response does not count for it."""
    first = _payload(group[0])
    if first.kind == "mutation":
        return [_INVALID if error_positions or found is None else found]
    expected = sum(len(_payload(attempt).representations) for attempt in group)
    if not isinstance(found, list) or len(found) != expected or None in error_positions:
        return [_INVALID] * len(group)
    out: list[object] = []
    start = 0
    for attempt in group:
        fetch = _payload(attempt)
        size = len(fetch.representations)
        values = found[start : start + size]
        if any(start + i in error_positions for i in range(size)):
            out.append(_INVALID)
        elif fetch.kind == "entities":
            out.append(values if all(v is None or isinstance(v, dict) for v in values) else _INVALID)
        else:
            out.append(_rows(values[0], fetch))
        start += size
    return out


def _rows(entity: object, fetch: Fetch) -> object:
    rows = entity.get(ROWS) if isinstance(entity, dict) else None
    if not isinstance(rows, list):
        return _INVALID
    checks, member_count = fetch.checks, fetch.member_count
    for row in rows:
        if not matches(row, checks, member_count):
            return _INVALID
    return rows
