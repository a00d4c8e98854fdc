"""The platform's clients: HTTP requests in, one query each, one answer out. Nothing that cannot be read goes further.

A request that names what does not exist, or contradicts itself, gets a 4xx and touches nothing else; so does one with
the id of a request that is open.
"""

from __future__ import annotations

import asyncio
import math
import re
import zlib
from collections.abc import Callable, Sequence

import msgspec

from badgerbend.frames.codec import PartRequest
from badgerbend.net.server import Exchange, Headers
from badgerbend.platform import names
from badgerbend.platform.config import Config
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.ports import PartPlan, QueryPlan

JSON, TEXT = b"application/json", b"text/plain; charset=utf-8"
ID = re.compile(rb"[0-9A-Za-z_\-]{1,128}").fullmatch  # it stands in a frame's line: no blank, comma or line end
TOKEN = re.compile(r"[0-9A-Fa-f]{16}").fullmatch
MOST_DIGITS = 9  # of a time left in milliseconds: eleven days
SUM_WITHIN = 1e-3  # weights are rounded where they were written
_encode = msgspec.json.encode


class _Part(msgspec.Struct, rename=names.PART_FIELDS):
    shard: int
    weight: float
    cost_us: float | None = None
    token: str | None = None


class _Body(msgspec.Struct, rename=names.REQUEST_FIELDS):
    parts: list[_Part]
    text: str


_decode = msgspec.json.Decoder(_Body).decode


class Rejected(Exception):
    """A request that is turned away unread by anyone else, with the status it is owed."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


class Front:
    """Serves a configuration's classes over a driver."""

    def __init__(self, config: Config, driver: Driver, ready: Callable[[], bool]) -> None:
        self.driver, self.ready, self.loop = driver, ready, asyncio.get_running_loop()
        self.shards = config.shards
        self.classes = {name.encode(): i for i, name in enumerate(config.classes)}
        self.tenants = {name.encode(): i for i, name in enumerate(config.tenants)}
        self.settings = config.settings
        self.open: dict[bytes, _Pending] = {}
        self.rejected = 0
        self.over_at = math.inf  # on the loop's clock: whoever has no answer by then gets none

    def handle(self, exchange: Exchange) -> None:
        """Takes any request."""
        try:
            if exchange.method == b"GET" and exchange.target == names.HEALTH:
                good = self.ready()
                exchange.respond(200 if good else 503, b"ready\n" if good else b"no list yet\n", TEXT)
                return
            request, plan = self.read(exchange)
        except Rejected as err:
            self.rejected += 1
            exchange.respond(err.status, err.why.encode() + b"\n", TEXT)
            return
        pending = self.open[request] = _Pending(self, request, exchange)
        exchange.on_disconnect = pending.gone
        pending.query_id = self.driver.submit(plan, pending)

    def read(self, exchange: Exchange) -> tuple[bytes, QueryPlan]:
        """A request's id and query. Raises Rejected."""
        if exchange.method != b"POST":
            raise Rejected(405, "queries are asked by POST")
        headers = exchange.headers
        path = exchange.target.split(b"?", 1)[0].split(b"/")
        number = self.classes.get(path[1]) if len(path) in (2, 3) and not path[0] else None
        if number is None:
            raise Rejected(404, "the path names no class")
        if headers.get(names.CLASS, path[1]) != path[1]:
            raise Rejected(400, "path and header name different classes")
        cls = self.settings.classes[number]
        request = headers.get(names.ID, b"")
        if not ID(request):
            raise Rejected(400, "no usable id")
        self._check_not_open(request)
        tenant = self.tenants.get(headers.get(names.TENANT, b""))
        if tenant is None and self.tenants:
            raise Rejected(403, "no such account")
        key = headers.get(names.KEY) if cls.effect == "keyed" else None
        if cls.effect == "keyed" and not ID(key or b""):
            raise Rejected(400, "this class needs an idempotency key")
        left = headers.get(names.TIME_LEFT, b"")
        if not left.isdigit() or len(left) > MOST_DIGITS or not int(left):
            raise Rejected(400, "no usable time left")
        about = zlib.crc32(path[2]) if len(path) == 3 else 0
        parts = self._parts(exchange.body, request, key)
        retry = headers.get(names.RETRY) == b"1"
        now = self.loop.time()
        waited_ms = max(now - exchange.received_at, 0.0) * 1000.0  # unread, or behind another request
        time_left = min(min(float(int(left)), cls.deadline_ms) - waited_ms, (self.over_at - now) * 1000.0)
        if time_left <= 0:
            raise Rejected(503, "no time is left")
        return request, QueryPlan(number, tenant or 0, about, time_left, retry, None, parts, request.decode())

    def _check_not_open(self, request: bytes) -> None:
        """Raises Rejected for the id of an open request. A client whose connection broke sends the same request once
        more on another one, perhaps before the end of the first was read here: then the first ends now."""
        pending = self.open.get(request)
        if pending is None:
            return
        if not pending.client_has_left():
            raise Rejected(409, "a request with this id is open")
        pending.gone()

    def _parts(self, raw: bytes, request: bytes, key: bytes | None) -> list[PartPlan]:
        try:
            body = _decode(raw)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
            raise Rejected(400, f"the body is no query: {err}") from err
        text, seen, plans, total = body.text.encode(), set[int](), list[PartPlan](), 0.0
        for part in body.parts:
            shard, weight, cost = part.shard, part.weight, part.cost_us
            if not 0 <= shard < self.shards or shard in seen:
                raise Rejected(400, "a shard that does not exist, or comes twice")
            if not 0.0 < weight <= 1.0 or (cost is not None and not 0.0 <= cost < 1e12):
                raise Rejected(400, "a weight or guess out of range")
            if part.token is not None and not TOKEN(part.token):
                raise Rejected(400, "a token is 16 hexadecimal digits")
            seen.add(shard)
            total += weight
            ask = PartRequest(b"%s.%d" % (request, shard), shard, key, text)
            plans.append(PartPlan(shard, weight, None if cost is None else cost / 1000.0, ask))
        if not plans or abs(total - 1.0) > SUM_WITHIN:
            raise Rejected(400, "the weights do not add up to 1")
        return plans


class _Pending:
    """One request until its one answer: the runtime's `Sink`."""

    __slots__ = ("exchange", "front", "query_id", "request")

    def __init__(self, front: Front, request: bytes, exchange: Exchange) -> None:
        self.front, self.request, self.exchange = front, request, exchange
        self.query_id: int | None = None

    def client_has_left(self) -> bool:
        return self.exchange.client_has_left()

    def follow_up_parts(self, results: Sequence[tuple[PartPlan, object]]) -> Sequence[PartPlan]:
        return ()

    def answered(self, results: Sequence[tuple[PartPlan, object]], whole: bool) -> None:
        hits = b",".join(
            b'{"%s":%d,"%s":%s}' % (names.HIT_SHARD, plan.shard, names.HIT_VALUE, _text(value))
            for plan, value in results
        )
        full = b"true" if whole else b"false"
        self._end(200, b'{"%s":%s,"%s":[%s]}' % (names.WHOLE, full, names.HITS, hits), JSON)

    def rejected(self, retry_after_ms: float) -> None:
        advice = ((b"retry-after", b"%.3f" % (retry_after_ms / 1000.0)),) if retry_after_ms > 0 else ()
        self._end(503, b"refused; nothing is lost by asking again\n", TEXT, advice)

    def failed(self) -> None:
        self._end(502, b"failed; parts of it may have run\n", TEXT)

    def gone(self) -> None:
        self.exchange.on_disconnect = None
        self.front.open.pop(self.request, None)
        if self.query_id is not None:
            self.front.driver.client_disconnected(self.query_id)

    def _end(self, status: int, body: bytes, kind: bytes, extra: Headers = ()) -> None:
        self.front.open.pop(self.request, None)
        self.exchange.on_disconnect = None  # it points back here: else each request waits for the garbage collector
        self.exchange.respond(status, body, kind, extra)


def _text(value: object) -> bytes:
    assert isinstance(value, bytes)
    return b'"%s"' % value if value.isalnum() else _encode(value.decode())
