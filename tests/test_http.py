"""Malformed HTTP and GraphQL requests get a clear error response, and the broker serves the next request."""

import asyncio

import msgspec
import pytest

from badgerbend.net.calls import CallResult
from badgerbend.net.client import Pool
from badgerbend.net.pool_limits import PoolLimits
from badgerbend.net.server import HttpServer
from badgerbend.net.server_limits import ServerLimits
from tests.replacing import replaced
from tests.sockets import BrokerFixture, run, until

GOOD = b'{"query":"{ fullQuote(blocks: [1], amount: 5) { id } }"}'


def post(body, *headers, length=None):
    lines = b"".join(h + b"\r\n" for h in (b"host: x", b"content-type: application/json", *headers))
    size = len(body) if length is None else length
    return b"POST /graphql HTTP/1.1\r\n" + lines + b"content-length: %d\r\n\r\n" % size + body


async def send_raw(port, data, until_closed=False):
    """Sends raw bytes; returns the first response, or all that is received until the connection is closed."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    try:
        if until_closed:
            return await reader.read()
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(int(x.split(b":")[1]) for x in head.lower().split(b"\r\n") if x.startswith(b"content-length"))
        return head + await reader.readexactly(length)
    finally:
        writer.close()


BAD_REQUESTS = {
    "not HTTP": (b"hello\r\n\r\n", 400, b"malformed"),
    "both a length and chunks": (post(GOOD, b"transfer-encoding: chunked"), 400, b""),
    "two lengths": (post(GOOD, b"content-length: 3"), 400, b""),
    "an invalid length": (replaced(post(GOOD), b"content-length: 5", b"content-length: x5"), 400, b""),
    "two hosts": (post(GOOD, b"host: y"), 400, b"came twice"),
    "a space before the colon": (post(GOOD, b"content-length : 4"), 400, b""),
    "long headers": (post(GOOD, b"x: " + b"a" * 20_000), 431, b"too large"),
    "many headers": (post(GOOD, *[b"x%d: %s" % (i, b"a" * 100) for i in range(200)]), 431, b"too large"),
    "a long body": (post(b"", length=10_000_000), 413, b"too large"),
    "not JSON": (post(b"{query"), 400, b"no GraphQL request"),
    "not UTF-8": (post(b'{"query":"\xff\xfe"}'), 400, b"no GraphQL request"),
    "deeply nested JSON": (post(b'{"query":' + b"[" * 100_000), 400, b""),
    "a query that is not a string": (post(b'{"query":7}'), 400, b"str"),
    "variables that are a list": (post(b'{"query":"{a}","variables":[]}'), 400, b"object"),
    "no query": (post(b"{}"), 400, b"query is missing"),
    "another content type": (replaced(post(GOOD), b"application/json", b"text/plain"), 415, b"application/json"),
    "another method": (replaced(post(GOOD), b"POST", b"PUT"), 405, b"POST or GET"),
    "another path": (replaced(post(GOOD), b"/graphql", b"/other"), 404, b"/graphql"),
    "an invalid time": (post(GOOD, b"badgerbend-time-left-ms: soon"), 400, b"milliseconds"),
    "nothing acceptable": (post(GOOD, b"accept: text/html"), 406, b""),
}


def test_each_bad_request_gets_a_clear_error_response():
    async def main():
        async with BrokerFixture() as fixture:
            for name, (data, status, expected_text) in BAD_REQUESTS.items():
                got = await send_raw(fixture.port, data)
                assert got.startswith(b"HTTP/1.1 %d " % status), (name, got)
                assert expected_text in got, (name, got)
                good = await send_raw(fixture.port, post(GOOD))
                assert b'"1:0"' in good, name
            assert not fixture.broker.driver.queries

    run(main)


def test_pipelined_requests_are_answered_in_order():
    async def main():
        async with BrokerFixture() as fixture:
            one = b'{"query":"{ fullQuote(blocks: [%d], amount: 5) { id } }"}'
            data = b"".join(post(one % n) for n in range(1, 15)) + post(one % 15, b"connection: close")
            got = await send_raw(fixture.port, data, until_closed=True)
            positions = [got.index(b'"%d:0"' % n) for n in range(1, 16)]
            assert positions == sorted(positions)
            assert got.count(b"HTTP/1.1 200") == 15

    run(main)


def test_get_allows_queries_but_no_mutations():
    async def main():
        async with BrokerFixture() as fixture:
            got = await send_raw(fixture.port, b"GET /graphql?query=%7B%20__typename%20%7D HTTP/1.1\r\nhost: x\r\n\r\n")
            assert b'{"data":{"__typename":"Query"}}' in got
            text = b"mutation%20%7B%20holdRate(block%3A1%2Crate%3A%22x%22)%20%7B%20id%20%7D%20%7D"
            got = await send_raw(fixture.port, b"GET /graphql?query=" + text + b" HTTP/1.1\r\nhost: x\r\n\r\n")
            assert got.startswith(b"HTTP/1.1 405")
            assert not fixture.seen("arrive")

    run(main)


def test_a_slow_request_times_out_and_an_idle_connection_is_closed():
    async def main():
        async with BrokerFixture(listen={"read_timeout_ms": 300.0, "idle_timeout_ms": 300.0}) as fixture:
            reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
            writer.write(b"POST /graphql HTTP/1.1\r\nhost: x\r\nx-")
            assert (await reader.read()).startswith(b"HTTP/1.1 408")
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
            writer.write(post(GOOD))
            assert (await reader.read()).startswith(b"HTTP/1.1 200")  # and then closed when idle
            writer.close()

    run(main)


def test_at_the_limit_the_longest_idle_connection_is_closed_for_a_new_one():
    async def main():
        async with BrokerFixture(listen={"max_connections": 2}) as fixture:
            connections = []
            for n in (1, 2):
                connections.append(await asyncio.open_connection("127.0.0.1", fixture.port))
                await until(lambda n=n: len(fixture.broker.server.connections) == n)
                # The clock of the loop has a resolution of 1 ms.
                next(iter(fixture.broker.server.connections)).phase_started_at -= 1.0 if n == 1 else 0.0
            reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
            with pytest.raises(ConnectionError):
                if not await connections[0][0].read():
                    raise ConnectionError
            writer.write(post(GOOD, b"connection: close"))
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            assert fixture.broker.server.rejected_connections == 0
            for _, w in (*connections, (reader, writer)):
                w.close()

    run(main)


def test_a_new_connection_is_rejected_if_all_others_have_open_queries():
    async def main():
        async with BrokerFixture(listen={"max_connections": 1}) as fixture:
            for server in fixture.world.servers.values():
                server.machine.model.part_ms = 300.0
            reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
            writer.write(post(GOOD, b"connection: close"))
            await until(lambda: fixture.broker.driver.queries)
            other, second = await asyncio.open_connection("127.0.0.1", fixture.port)
            with pytest.raises(ConnectionError):
                if not await other.read():
                    raise ConnectionError
            assert fixture.broker.server.rejected_connections == 1
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            writer.close()
            second.close()

    run(main)


def test_stopping_waits_for_open_queries():
    async def main():
        async with BrokerFixture() as fixture:
            for server in fixture.world.servers.values():
                server.machine.model.part_ms = 200.0
            query = asyncio.ensure_future(fixture.client.query("{ fullQuote(blocks: [1], amount: 5) { id } }"))
            await until(lambda: fixture.seen("ran"))
            stopping = asyncio.ensure_future(fixture.broker.stop())
            status, answer, headers = await query
            assert status == 200
            assert len(answer["data"]["fullQuote"]) == 4
            assert headers[b"connection"] == b"close"
            assert await stopping == 0
            with pytest.raises(OSError):
                await asyncio.open_connection("127.0.0.1", fixture.port)

    run(main)


def test_a_port_in_use_is_an_error():
    async def main():
        first, second = HttpServer(lambda e: None, ServerLimits()), HttpServer(lambda e: None, ServerLimits())
        port = await first.start("127.0.0.1", 0)
        with pytest.raises(OSError):
            await second.start("127.0.0.1", port)
        await first.close(0)

    run(main)


def start_scripted_server(response):
    """Starts a server that sends these bytes in reply to any request."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        writer.close()

    return asyncio.start_server(handle, "127.0.0.1", 0)


@pytest.mark.parametrize(
    ("response", "expected_result"),
    [
        (b"", CallResult.RESET),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf", CallResult.RESET),
        (b"SSH-2.0-x\r\n", CallResult.MALFORMED),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc", CallResult.MALFORMED),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n" + b"x" * 9999, CallResult.MALFORMED),
        (b"HTTP/1.1 200 OK\r\nx: " + b"y" * 9999 + b"\r\n\r\n", CallResult.MALFORMED),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", CallResult.ANSWER),
    ],
)
def test_the_client_reports_how_a_call_ended(response, expected_result):
    async def main():
        server = await start_scripted_server(response)
        pool = Pool("127.0.0.1", server.sockets[0].getsockname()[1], PoolLimits(max_answer_bytes=1000))
        results = []
        pool.request(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", lambda r: results.append(r.result))
        await until(lambda: results)
        await asyncio.sleep(0.02)
        assert results == [expected_result]
        pool.close()
        server.close()

    run(main)


ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@pytest.mark.parametrize(
    "behind", [ANSWER, b"\0noise\r\n\r\n", ANSWER[:30]], ids=["an answer", "noise", "half an answer"]
)
def test_what_comes_with_a_complete_response_does_not_take_it_away_and_closes_the_connection(behind):
    # A second response put the connection into the idle list twice; noise left the call without its reply.
    async def main():
        async def handle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(ANSWER + behind)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        pool, replies = Pool("127.0.0.1", server.sockets[0].getsockname()[1], PoolLimits()), []
        pool.request(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", replies.append)
        await until(lambda: replies)
        await asyncio.sleep(0.05)
        assert [(reply.result, reply.body) for reply in replies] == [(CallResult.ANSWER, b"ok")]
        assert len(pool.idle) <= 1
        if behind != ANSWER[:30]:
            assert not pool.idle
            assert pool.unsolicited == 1
        pool.close()
        server.close()

    run(main)


def test_persistent_connections_are_reused_and_closed_when_idle_too_long():
    async def main():
        server = HttpServer(lambda e: e.respond(200, b"x", b""), ServerLimits())
        port = await server.start("127.0.0.1", 0)
        pool, results = Pool("127.0.0.1", port, PoolLimits(idle_s=5.0)), []
        for n in range(3):
            pool.request(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", lambda r: results.append(r.status))
            await until(lambda n=n: len(results) == n + 1 and pool.idle)
        assert pool.opened == 1
        assert results == [200] * 3
        pool.sweep(asyncio.get_running_loop().time() + 4.0)
        assert len(pool.idle) == 1
        pool.sweep(asyncio.get_running_loop().time() + 6.0)
        await until(lambda: not pool.open)
        pool.close()
        await server.close(0)

    run(main)


def test_a_response_has_the_requested_media_type_and_its_status():
    async def main():
        async with BrokerFixture() as fixture:
            for server in fixture.world.servers.values():
                server.faults.silent = True
            body = msgspec.json.encode({"query": "{ nothing }"})
            got = await send_raw(fixture.port, post(body, b"accept: application/graphql-response+json"))
            assert got.startswith(b"HTTP/1.1 400")
            assert b"application/graphql-response+json" in got
            got = await send_raw(fixture.port, post(body, b"accept: application/json"))
            assert got.startswith(b"HTTP/1.1 200")
            assert b"Cannot query field" in got

    run(main)


def test_an_exception_in_a_handler_fails_only_its_own_request():
    def handler(exchange):
        if exchange.target == b"/bad":
            raise RuntimeError("a defect")
        exchange.respond(200, b"x", b"")

    async def main():
        errors = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context["exception"]))
        server = HttpServer(handler, ServerLimits())
        port = await server.start("127.0.0.1", 0)
        data = b"GET /bad HTTP/1.1\r\nhost: x\r\n\r\nGET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        got = await send_raw(port, data, until_closed=True)
        assert got.startswith(b"HTTP/1.1 500")
        assert b"HTTP/1.1 200" in got
        assert len(errors) == 1
        await server.close(0)

    run(main)


def test_an_exception_in_a_reply_callback_is_reported_and_not_taken_for_a_malformed_response():
    async def main():
        errors, results = [], []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: errors.append(context.get("exception")))
        server = HttpServer(lambda e: e.respond(200, b"x", b""), ServerLimits())
        pool = Pool("127.0.0.1", await server.start("127.0.0.1", 0), PoolLimits())

        def fail(reply):
            results.append(reply.result)
            raise RuntimeError("a defect")

        pool.request(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", fail)
        await until(lambda: errors)
        assert results == [CallResult.ANSWER]
        assert isinstance(errors[0], RuntimeError)
        pool.close()
        await server.close(0)

    run(main)


def test_a_request_is_not_sent_if_its_connection_opens_after_its_deadline():
    async def main():
        received = []
        server = HttpServer(lambda exchange: received.append(exchange), ServerLimits())
        port = await server.start("127.0.0.1", 0)
        pool, results = Pool("127.0.0.1", port, PoolLimits()), []
        # The deadline for sending is in the past.
        pool.request(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", lambda r: results.append(r.result), 0.0)
        await until(lambda: results)
        assert results == [CallResult.CONNECT_FAILED]
        assert not received
        assert len(pool.idle) == 1
        pool.close()
        await server.close(0.0)

    run(main)
