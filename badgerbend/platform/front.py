"""Serves the platform's clients: each HTTP request becomes one query and gets one answer.

A request that is malformed, names something unknown, contradicts itself or has the id of an open request is rejected
with a 4xx status and has no other effect.
"""

from __future__ import annotations

import asyncio
import math
import re
import zlib
from collections.abc import Callable, Sequence

import msgspec

from badgerbend.frames.codec import PartRequest
from badgerbend.frames.recent_ids import RecentIds
from badgerbend.net.exchange import Exchange
from badgerbend.net.request_parser import Request
from badgerbend.net.responses import Headers
from badgerbend.platform import names
from badgerbend.platform.config import Config
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.ports import PartPlan, QueryPlan

JSON, TEXT = b"application/json", b"text/plain; charset=utf-8"
ID = re.compile(rb"[0-9A-Za-z_\-]{1,128}").fullmatch  # stands in a frame's line: no space, comma or line break
TOKEN = re.compile(r"[0-9A-Fa-f]{16}").fullmatch
MAX_TIME_LEFT_DIGITS = 9  # in milliseconds: eleven days
MAX_BODY_BYTES = 65_536  # of a request, of an answer and therefore of its values
USED_ID_RETENTION_S = 60.0
MAX_USED_IDS = 20_000  # beyond it, the older half is forgotten earlier
WEIGHT_TOLERANCE = 1e-3  # clients send rounded weights
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
    """A request that is rejected here, with the HTTP status of its answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


class Front:
    """Turns requests for the query classes of a configuration into queries to the driver."""

    def __init__(self, config: Config, driver: Driver, ready: Callable[[], bool]) -> None:
        self.driver, self.ready, self.loop = driver, ready, asyncio.get_running_loop()
        self.shards = config.shards
        self.classes = {name.encode(): i for i, name in enumerate(config.classes)}
        self.tenants = {name.encode(): i for i, name in enumerate(config.tenants)}
        self.settings = config.settings
        self.open: dict[bytes, _OpenRequest] = {}
        # Ids of requests that have ended and may have run, of classes that are not safe to repeat.
        self.used_ids = RecentIds(USED_ID_RETENTION_S, self.loop.time())
        self.rejected = 0
        self.deadline = math.inf  # on the event loop's clock: all requests have to be answered by then

    def handle(self, exchange: Exchange) -> None:
        """Handles any HTTP request."""
        try:
            if exchange.method == b"GET" and exchange.target == names.HEALTH:
                is_ready = self.ready()
                exchange.respond(200 if is_ready else 503, b"ready\n" if is_ready else b"no list yet\n", TEXT)
                return
            request_id, plan = self.read(exchange)
        except Rejected as err:
            self.rejected += 1
            exchange.respond(err.status, err.reason.encode() + b"\n", TEXT)
            return
        exchange.drop_body()  # the query holds a decoded copy
        is_safe = self.settings.classes[plan.cls].effect == "safe"
        pending = self.open[request_id] = _OpenRequest(self, request_id, exchange, is_safe)
        exchange.on_disconnect = pending.client_disconnected
        exchange.on_expiry = pending.expired
        pending.query_id = self.driver.submit(plan, pending)

    def answer_by(self, request: Request) -> float:
        """When the client of a request that waits for its turn stops waiting, if it says so."""
        time_left_ms = _time_left_ms(request.headers)
        return math.inf if time_left_ms is None else request.received_at + time_left_ms / 1000.0

    def keep_value(self, part_id: bytes, value: bytes) -> bool:
        """Counts a value that is kept until its request is answered. Returns False if it is too large to be kept."""
        pending = self.open.get(part_id.rpartition(b".")[0])
        return pending is None or pending.keep_value(len(value))

    def read(self, exchange: Exchange) -> tuple[bytes, QueryPlan]:
        """Returns the id and the query of a request. Raises Rejected."""
        if exchange.method != b"POST":
            raise Rejected(405, "queries are asked by POST")
        headers = exchange.headers
        path = exchange.target.split(b"?", 1)[0].split(b"/")
        class_index = self.classes.get(path[1]) if len(path) in (2, 3) and not path[0] else None
        if class_index is None:
            raise Rejected(404, "the path names no class")
        if headers.get(names.CLASS, path[1]) != path[1]:
            raise Rejected(400, "path and header name different classes")
        class_settings = self.settings.classes[class_index]
        request_id = headers.get(names.ID, b"")
        if not ID(request_id):
            raise Rejected(400, "no usable id")
        self._check_id_is_free(request_id)
        tenant = self.tenants.get(headers.get(names.TENANT, b""))
        if tenant is None and self.tenants:
            raise Rejected(403, "no such account")
        key = headers.get(names.KEY) if class_settings.effect == "keyed" else None
        if class_settings.effect == "keyed" and not ID(key or b""):
            raise Rejected(400, "this class needs an idempotency key")
        stated_ms = _time_left_ms(headers)
        if stated_ms is None:
            raise Rejected(400, "no usable time left")
        routing_key = zlib.crc32(path[2]) if len(path) == 3 else 0
        parts = self._parts(exchange.body, request_id, key)
        retry = headers.get(names.RETRY) == b"1"
        now = self.loop.time()
        waited_ms = exchange.waited_ms(now)
        time_left = min(min(stated_ms, class_settings.deadline_ms) - waited_ms, (self.deadline - now) * 1000.0)
        if time_left <= 0:
            raise Rejected(503, "no time is left")
        return request_id, QueryPlan(
            class_index, tenant or 0, routing_key, time_left, retry, None, parts, request_id.decode()
        )

    def _check_id_is_free(self, request_id: bytes) -> None:
        """Raises Rejected for the id of an open request, and for one that may have run and may not run twice.

        A client whose connection broke sends the same request again on another connection, perhaps before the end of
        the first connection was read here. In that case the first request ends now.
        """
        pending = self.open.get(request_id)
        if pending is not None:
            if not pending.client_has_left():
                raise Rejected(409, "a request with this id is open")
            pending.client_disconnected()
        if request_id in self.used_ids:
            raise Rejected(409, "a request with this id may have run")

    def remember_id(self, request_id: bytes) -> None:
        """Remembers the id of a request that has ended and may not run again."""
        now = self.loop.time()
        self.used_ids.expire(now)
        if len(self.used_ids) >= MAX_USED_IDS:
            self.used_ids.forget_older(now)
        self.used_ids.add(request_id)

    def _parts(self, raw: bytes, request_id: bytes, key: bytes | None) -> list[PartPlan]:
        try:
            body = _decode(raw)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
            raise Rejected(400, f"the body is no query: {err}") from err
        text, shards_seen, plans, weight_sum = body.text.encode(), set[int](), list[PartPlan](), 0.0
        for part in body.parts:
            shard, weight, cost = part.shard, part.weight, part.cost_us
            if not 0 <= shard < self.shards or shard in shards_seen:
                raise Rejected(400, "a shard that does not exist, or comes twice")
            if not 0.0 < weight <= 1.0 or (cost is not None and not 0.0 <= cost < 1e12):
                raise Rejected(400, "a weight or guess out of range")
            if part.token is not None and not TOKEN(part.token):
                raise Rejected(400, "a token is 16 hexadecimal digits")
            shards_seen.add(shard)
            weight_sum += weight
            part_request = PartRequest(b"%s.%d" % (request_id, shard), shard, key, text)
            plans.append(PartPlan(shard, weight, None if cost is None else cost / 1000.0, part_request))
        if not plans or abs(weight_sum - 1.0) > WEIGHT_TOLERANCE:
            raise Rejected(400, "the weights do not add up to 1")
        return plans


class _OpenRequest:
    """One open request; it implements the runtime's `Sink`."""

    __slots__ = ("exchange", "front", "is_safe", "query_id", "request_id", "value_bytes")

    def __init__(self, front: Front, request_id: bytes, exchange: Exchange, is_safe: bool) -> None:
        self.front, self.request_id, self.exchange, self.is_safe = front, request_id, exchange, is_safe
        self.query_id: int | None = None
        self.value_bytes = 0  # of the values that have been received

    def keep_value(self, size: int) -> bool:
        if self.value_bytes + size > MAX_BODY_BYTES or not self.exchange.reserve(size):
            return False
        self.value_bytes += size
        return True

    def client_has_left(self) -> bool:
        """Whether the client has left. If that can't be known, the request ends now: no attempt may begin for it."""
        if self.exchange.client_has_left():
            return True
        if not self.exchange.client_may_have_left():
            return False
        self.expired()
        return True

    def follow_up_parts(self, results: Sequence[tuple[PartPlan, object]]) -> Sequence[PartPlan]:
        return ()

    def answered(self, results: Sequence[tuple[PartPlan, object]], complete: bool) -> None:
        results_json = b",".join(
            b'{"%s":%d,"%s":%s}' % (names.RESULT_SHARD, plan.shard, names.RESULT_VALUE, _text(value))
            for plan, value in results
        )
        complete_json = b"true" if complete else b"false"
        self._remember_id()
        self._end(200, b'{"%s":%s,"%s":[%s]}' % (names.COMPLETE, complete_json, names.RESULTS, results_json), JSON)

    def rejected(self, retry_after_ms: float) -> None:
        retry_header = ((b"retry-after", b"%.3f" % (retry_after_ms / 1000.0)),) if retry_after_ms > 0 else ()
        self._end(503, b"refused; nothing is lost by asking again\n", TEXT, retry_header)

    def failed(self) -> None:
        self._remember_id()
        self._end(502, b"failed; parts of it may have run\n", TEXT)

    def expired(self) -> None:
        """Ends the query before its time, as the client's time is over for a request behind it."""
        if self.query_id is not None:
            self.front.driver.client_disconnected(self.query_id)
        if self.is_safe:
            self.rejected(0.0)
        else:
            self.failed()

    def client_disconnected(self) -> None:
        self.exchange.on_disconnect = self.exchange.on_expiry = None
        self.front.open.pop(self.request_id, None)
        if self.query_id is not None:
            if self.front.driver.has_attempts(self.query_id):
                self._remember_id()
            self.front.driver.client_disconnected(self.query_id)

    def _remember_id(self) -> None:
        if not self.is_safe:
            self.front.remember_id(self.request_id)

    def _end(self, status: int, body: bytes, kind: bytes, extra: Headers = ()) -> None:
        self.front.open.pop(self.request_id, None)
        # The callbacks refer back to this object; without this line each request would wait for the garbage collector.
        self.exchange.on_disconnect = self.exchange.on_expiry = None
        self.exchange.respond(status, body, kind, extra)


def _time_left_ms(headers: dict[bytes, bytes]) -> float | None:
    """How long the client of a request waits for its answer, if it says so in a usable form."""
    text = headers.get(names.TIME_LEFT, b"")
    is_usable = text.isdigit() and len(text) <= MAX_TIME_LEFT_DIGITS
    return float(int(text)) or None if is_usable else None


def _text(value: object) -> bytes:
    assert isinstance(value, bytes)
    return b'"%s"' % value if value.isalnum() else _encode(value.decode())
