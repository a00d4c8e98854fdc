"""Property tests of the parsers of external input: no input raises, or is accepted although it is invalid."""

import asyncio
from types import SimpleNamespace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from badgerbend.api import Outcome
from badgerbend.config.settings import Tenant
from badgerbend.graphql.documents import Template
from badgerbend.graphql.fetch import FetchTransport
from badgerbend.graphql.fields import Fetch, RequestContext
from badgerbend.net.calls import CallResult, Reply
from badgerbend.net.server import HttpServer
from badgerbend.net.server_connection import ServerConnection
from badgerbend.net.server_limits import ServerLimits
from badgerbend.runtime.ports import Attempt, PartPlan
from tests.client_transport import ClientTransport
from tests.sockets import BrokerFixture, run

CONTEXT = RequestContext("0" * 32, None, False)


class RecordingPool:
    """A connection pool that records the request and lets the test reply."""

    host, port = "x", 1

    def request(self, data, on_reply, send_by):
        self.body = msgspec.json.decode(data.partition(b"\r\n\r\n")[2])
        self.reply = on_reply
        return SimpleNamespace(abort=lambda: None)


def send_parts(blocks, template=None):
    """Sends a call with one part per block; returns the pool and the list of attempts that have ended."""
    ended_attempts, pool = [], RecordingPool()
    transport = FetchTransport(
        lambda node: pool, lambda a, o, r, load: ended_attempts.append((a.part_id, o, r)), 0, ("util",)
    )
    text = "\x00: _entities(representations: $\x00_r) { ... on RateBlock { _bb_rows: rates { id } } }"
    template = template or Template(text, (), ())
    shared = {}
    checks = (("id", lambda v: isinstance(v, str)),)
    attempts = []
    for block in blocks:
        one = [{"__typename": "RateBlock", "id": str(block)}]
        fetch = Fetch(template, shared, CONTEXT, one, block, "rows", "f", checks, 1)
        attempts.append(Attempt(block, 0, 7, PartPlan(block, 1.0, None, fetch), 1, 0.0, 100.0))
    transport.send(7, attempts)
    return pool, ended_attempts


json = st.recursive(
    st.none() | st.booleans() | st.floats(allow_nan=False) | st.text(max_size=3) | st.integers(-9, 9),
    lambda x: (
        st.lists(x, max_size=4)
        | st.dictionaries(st.sampled_from(["data", "g0", "_bb_rows", "id", "errors", "path", "extensions", "load"]), x)
    ),
)


@settings(max_examples=300)
@given(st.binary(max_size=60) | json.map(msgspec.json.encode), st.sampled_from([200, 200, 400, 503]))
def test_any_response_ends_each_part_once_and_only_valid_rows_count(body, status):
    pool, ended_attempts = send_parts([1, 2, 3])
    pool.reply(Reply(CallResult.ANSWER, status, {}, body))
    assert sorted(e[0] for e in ended_attempts) == [1, 2, 3]
    for _, outcome, rows in ended_attempts:
        if outcome == Outcome.OK:
            assert status == 200
            assert all(set(r) == {"id"} and isinstance(r["id"], str) for r in rows)
        else:
            assert outcome == Outcome.ERROR
            assert rows is None


@given(st.lists(st.booleans(), min_size=1, max_size=5))
def test_an_error_in_one_part_does_not_affect_the_others(bad):
    pool, ended_attempts = send_parts(list(range(len(bad))))
    rows = [None if b else {"_bb_rows": [{"id": "a"}]} for b in bad]
    errors = [{"message": "no", "path": ["g0", i, "_bb_rows"]} for i, b in enumerate(bad) if b]
    pool.reply(Reply(CallResult.ANSWER, 200, {}, msgspec.json.encode({"data": {"g0": rows}, "errors": errors})))
    assert [o == Outcome.ERROR for _, o, _ in sorted(ended_attempts, key=lambda e: e[0])] == bad


def test_only_the_header_with_a_matching_status_counts_as_not_run():
    for status, headers, outcome in (
        (503, {b"badgerbend-not-run": b"1"}, Outcome.REJECTED),
        (503, {}, Outcome.ERROR),
        (500, {b"badgerbend-not-run": b"1"}, Outcome.ERROR),
    ):
        pool, ended_attempts = send_parts([1])
        pool.reply(Reply(CallResult.ANSWER, status, headers, b""))
        assert ended_attempts[0][1] == outcome


http_fragments = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /graphql HTTP/1.1\r\n",
        b"host: x\r\n",
        b"content-length: 3\r\n",
        b"\r\n",
        b"abc",
        b"transfer-encoding: chunked\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"connection: upgrade\r\nupgrade: h2c\r\n",
        b"\x00",
        b"expect: 100-continue\r\n",
        b"content-length: -1\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        b" ",
        b"\n",
        b":",
    ]
)


@settings(max_examples=300)
@given(st.lists(http_fragments | st.binary(max_size=8), max_size=14))
def test_any_bytes_are_served_or_refused(data):
    loop = asyncio.new_event_loop()
    try:
        seen = []
        server = HttpServer(lambda e: seen.append(e) or e.respond(200, b"", b""), ServerLimits())
        connection, transport = ServerConnection(server, loop), ClientTransport()
        connection.connection_made(transport)
        for piece in data:
            before = len(seen)
            over = transport.ended
            if not transport.closed:
                connection.data_received(piece)
            assert not over or len(seen) == before  # input after the end is discarded
        answers = transport.written.count(b"HTTP/1.1 200")
        assert answers <= len(seen)
        assert transport.written.count(b"HTTP/1.1 4") <= 1
        if transport.written.count(b"HTTP/1.1 4"):
            assert transport.closed or transport.ended
    finally:
        loop.close()


def test_a_tenant_is_required_if_tenants_are_configured():
    async def main():
        async with BrokerFixture(tenant=(Tenant("a", 1000.0), Tenant("b", 1000.0))) as fixture:
            text = "{ fullQuote(blocks: [1], amount: 5) { id } }"
            assert (await fixture.client.query(text))[0] == 403
            assert (await fixture.client.query(text, badgerbend_tenant="c"))[0] == 403
            assert (await fixture.client.query(text, badgerbend_tenant="b"))[0] == 200
            assert set(fixture.broker.driver.module.rates.tenants) == {1}

    run(main)
