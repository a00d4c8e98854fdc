"""Fetches to servers: the parts of a call become one GraphQL request, and its answer each part's outcome.

Parts that share text and variables are several representations of one `_entities`; others are aliases beside it.
An answer counts for a part only where it is what was asked for: as many entities, rows of the schema's types.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from badgerbend.api import Outcome
from badgerbend.graphql.checks import fits
from badgerbend.graphql.documents import ROWS, Template
from badgerbend.graphql.fields import Fetch
from badgerbend.graphql.selection import MARK
from badgerbend.net.client import Call, CallResult, Pool, Reply
from badgerbend.runtime.ports import Attempt

NOT_RUN = b"badgerbend-not-run"  # a server's proof that it read nothing of the request
_ENDS = {
    CallResult.CONNECT_FAILED: Outcome.CONNECT_FAILED,
    CallResult.RESET: Outcome.RESET,
    CallResult.MALFORMED: Outcome.ERROR,
}
Ended = Callable[[Attempt, Outcome, object, tuple[float, ...]], None]


class _Flight:
    """One call under way."""

    __slots__ = ("attempts", "call", "groups")

    def __init__(self, attempts: Sequence[Attempt], groups: list[list[Attempt]]) -> None:
        self.attempts, self.groups = set(attempts), groups
        self.call: Call | None = None


class FetchTransport:
    """The runtime's `Transport` over pools of HTTP connections."""

    def __init__(
        self, pool_of: Callable[[int], Pool | None], ended: Ended, broker: int, report: tuple[str, ...]
    ) -> None:
        self.pool_of, self.ended, self.report = pool_of, ended, report
        self.head = (
            b"POST /graphql HTTP/1.1\r\nhost: %s:%d\r\ncontent-type: application/json\r\n"
            b"accept: application/graphql-response+json, application/json\r\n"
            b"badgerbend-broker: {broker}\r\nbadgerbend-time-left-ms: %d\r\ncontent-length: %d\r\n\r\n"
        ).replace(b"{broker}", str(broker).encode())
        self.texts: dict[tuple[Template, int], str] = {}
        self.called_off = 0

    def send(self, node: int, attempts: Sequence[Attempt]) -> None:
        pool = self.pool_of(node)
        if pool is None:  # the list has dropped it since
            for attempt in attempts:
                self.ended(attempt, Outcome.CONNECT_FAILED, None, ())
            return
        reads = [a for a in attempts if not _fetch(a).template.mutation]
        writes = [a for a in attempts if _fetch(a).template.mutation]
        for some in (reads, writes):
            if some:
                self._request(pool, some)

    def _request(self, pool: Pool, attempts: list[Attempt]) -> None:
        groups: dict[object, list[Attempt]] = {}
        for a in attempts:
            fetch = _fetch(a)
            own = a.part_id if fetch.template.mutation else (fetch.template, id(fetch.arguments))
            groups.setdefault(own, []).append(a)
        flight = _Flight(attempts, list(groups.values()))
        body = self._body(flight.groups)
        left = int(min(a.timeout_ms for a in attempts))
        head = self.head % (pool.host.encode(), pool.port, left, len(body))
        for a in attempts:
            a.handle = flight
        begin_by = min(a.begin_by_ms for a in attempts) / 1000.0
        flight.call = pool.request(head + body, lambda reply: self._replied(flight, reply), begin_by)

    def _body(self, groups: list[list[Attempt]]) -> bytes:
        declared, texts, parts = [], [], []
        variables: dict[str, Any] = {}
        for number, group in enumerate(groups):
            fetch, alias = _fetch(group[0]), f"g{number}"
            template = fetch.template
            key = (template, number)
            text = self.texts.get(key)
            if text is None:
                if len(self.texts) > 10_000:
                    self.texts.clear()
                text = self.texts[key] = template.text.replace(MARK, alias)
            texts.append(text)
            if not template.mutation:
                declared.append(f"${alias}_r: [_Any!]!")
                variables[f"{alias}_r"] = [r for a in group for r in _fetch(a).representations]
            for sign, pairs in (("a", template.declared), ("v", template.passed)):
                for name, kind in pairs:
                    inner = f"{sign}_{name}"
                    if inner in fetch.arguments:
                        declared.append(f"${alias}{inner}: {kind}")
                        variables[f"{alias}{inner}"] = fetch.arguments[inner]
                    else:  # left out by the client: declared, so that the server's default holds
                        declared.append(f"${alias}{inner}: {kind.rstrip('!')}")
            for a in group:
                mine = _fetch(a)
                parts.append(
                    {
                        "alias": alias,
                        "count": len(mine.representations),
                        "trace": mine.asked.trace,
                        "query": a.query_id,
                        "field": mine.field,
                        "block": mine.block,
                        "kind": mine.kind,
                        "attempt": a.number,
                        "retry": mine.asked.is_retry,
                        "key": mine.asked.key,
                    }
                )
        kind = "mutation" if _fetch(groups[0][0]).template.mutation else "query"
        head = f"({', '.join(declared)})" if declared else ""
        return msgspec.json.encode(
            {
                "query": f"{kind}{head} {{ {' '.join(texts)} }}",
                "variables": variables,
                "extensions": {"badgerbend": {"parts": parts}},
            }
        )

    def cancel(self, attempt: Attempt) -> None:
        """Waits for this part no longer; the call is called off once nobody waits for any of its parts."""
        flight = attempt.handle
        if isinstance(flight, _Flight) and attempt in flight.attempts:
            flight.attempts.discard(attempt)
            if not flight.attempts and flight.call is not None:
                self.called_off += 1
                flight.call.abort()

    def begun(self, attempt: Attempt) -> bool:
        flight = attempt.handle
        waits = isinstance(flight, _Flight) and flight.call is not None and flight.call.connection is None
        return not waits

    def close_idle(self, node: int) -> None:
        pool = self.pool_of(node)
        if pool is not None:
            pool.close_idle()

    # -- answers
    def _replied(self, flight: _Flight, reply: Reply) -> None:
        live, flight.attempts = flight.attempts, set()
        outcome = _ENDS.get(reply.result)
        answer: dict[str, Any] = {}
        if outcome is None:
            if reply.status in (429, 503) and NOT_RUN in reply.headers:
                outcome = Outcome.REJECTED
            else:
                answer = _decoded(reply) or {}
                outcome = None if answer else Outcome.ERROR
        if outcome is not None:
            for a in live:
                self.ended(a, outcome, None, ())
            return
        report = self._report(answer)
        data = answer.get("data")
        bad = _error_paths(answer.get("errors"))
        for number, group in enumerate(flight.groups):
            alias = f"g{number}"
            found = data.get(alias) if isinstance(data, dict) else None
            results = _results(group, found, bad.get(alias, set()) | bad.get(None, set()))
            for a, result in zip(group, results, strict=True):
                if a in live:
                    good = result is not _BAD
                    self.ended(a, Outcome.OK if good else Outcome.ERROR, result if good else None, report)

    def _report(self, answer: dict[str, Any]) -> tuple[float, ...]:
        extensions = answer.get("extensions")
        load = extensions.get("load") if isinstance(extensions, dict) else None
        if not isinstance(load, dict):
            return ()
        values = [load.get(name) for name in self.report]
        return tuple(float(v) for v in values if isinstance(v, int | float)) if None not in values else ()


_BAD = object()


def _fetch(attempt: Attempt) -> Fetch:
    payload = attempt.plan.payload
    assert isinstance(payload, Fetch)
    return payload


def _decoded(reply: Reply) -> dict[str, Any] | None:
    if reply.status != 200:
        return None
    try:
        answer = msgspec.json.decode(reply.body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return answer if isinstance(answer, dict) else None


def _error_paths(errors: object) -> dict[object, set[object]]:
    """By alias: the places in its list that have errors; None in a set: all of it. Key None: the whole answer."""
    out: dict[object, set[object]] = {}
    for error in errors if isinstance(errors, list) else ():
        path = error.get("path") if isinstance(error, dict) else None
        if isinstance(path, list) and path and isinstance(path[0], str):
            place = path[1] if len(path) > 1 and isinstance(path[1], int) else None
            out.setdefault(path[0], set()).add(place)
        else:
            out.setdefault(None, set()).add(None)
    return out


def _results(group: list[Attempt], found: object, bad: set[object]) -> list[object]:
    """Each attempt's result, or _BAD where the answer cannot be counted for it."""
    first = _fetch(group[0])
    if first.kind == "mutation":
        return [_BAD if bad or found is None else found]
    expected = sum(len(_fetch(a).representations) for a in group)
    if not isinstance(found, list) or len(found) != expected or None in bad:
        return [_BAD] * len(group)
    out: list[object] = []
    at = 0
    for attempt in group:
        fetch = _fetch(attempt)
        size = len(fetch.representations)
        mine = found[at : at + size]
        if any(at + i in bad for i in range(size)):
            out.append(_BAD)
        elif fetch.kind == "entities":
            out.append(mine if all(m is None or isinstance(m, dict) for m in mine) else _BAD)
        else:
            out.append(_rows(mine[0], fetch))
        at += size
    return out


def _rows(entity: object, fetch: Fetch) -> object:
    rows = entity.get(ROWS) if isinstance(entity, dict) else None
    if not isinstance(rows, list):
        return _BAD
    checks, size = fetch.checks, fetch.size
    for row in rows:
        if not fits(row, checks, size):
            return _BAD
    return rows
