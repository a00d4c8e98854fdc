"""Bad HTTP and bad GraphQL requests: each gets a clear answer, and the broker serves the next one."""

import asyncio

import msgspec
import pytest

from badgerbend.net.client import CallResult, Pool, PoolLimits
from badgerbend.net.server import HttpServer, ServerLimits
from tests.replacing import replaced
from tests.sockets import BrokerFixture, run, until

GOOD = b'{"query":"{ fullQuote(blocks: [1], amount: 5) { id } }"}'


def post(body, *headers, length=None):
    lines = b"".join(h + b"\r\n" for h in (b"host: x", b"content-type: application/json", *headers))
    size = len(body) if length is None else length
    return b"POST /graphql HTTP/1.1\r\n" + lines + b"content-length: %d\r\n\r\n" % size + body


async def talk(port, data, until_closed=False):
    """What comes back to raw bytes: the first answer's status line, headers and body."""
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


BAD = {
    "no http": (b"hello\r\n\r\n", 400, b"malformed"),
    "a length and chunks": (post(GOOD, b"transfer-encoding: chunked"), 400, b""),
    "two lengths": (post(GOOD, b"content-length: 3"), 400, b""),
    "a length that is none": (replaced(post(GOOD), b"content-length: 5", b"content-length: x5"), 400, b""),
    "two hosts": (post(GOOD, b"host: y"), 400, b"came twice"),
    "a space before the colon": (post(GOOD, b"content-length : 4"), 400, b""),
    "long headers": (post(GOOD, b"x: " + b"a" * 20_000), 431, b"too large"),
    "many headers": (post(GOOD, *[b"x%d: %s" % (i, b"a" * 100) for i in range(200)]), 431, b"too large"),
    "a long body": (post(b"", length=10_000_000), 413, b"too large"),
    "no json": (post(b"{query"), 400, b"no GraphQL request"),
    "no utf-8": (post(b'{"query":"\xff\xfe"}'), 400, b"no GraphQL request"),
    "json nested deep": (post(b'{"query":' + b"[" * 100_000), 400, b""),
    "a query that is no text": (post(b'{"query":7}'), 400, b"str"),
    "variables that are a list": (post(b'{"query":"{a}","variables":[]}'), 400, b"object"),
    "no query": (post(b"{}"), 400, b"query is missing"),
    "another type": (replaced(post(GOOD), b"application/json", b"text/plain"), 415, b"application/json"),
    "another method": (replaced(post(GOOD), b"POST", b"PUT"), 405, b"POST or GET"),
    "another path": (replaced(post(GOOD), b"/graphql", b"/other"), 404, b"/graphql"),
    "no time": (post(GOOD, b"badgerbend-time-left-ms: soon"), 400, b"milliseconds"),
    "nothing acceptable": (post(GOOD, b"accept: text/html"), 406, b""),
}


def test_bad_requests_get_a_clear_answer_each():
    async def main():
        async with BrokerFixture() as s:
            for name, (data, status, says) in BAD.items():
                got = await talk(s.port, data)
                assert got.startswith(b"HTTP/1.1 %d " % status), (name, got)
                assert says in got, (name, got)
                good = await talk(s.port, post(GOOD))
                assert b'"1:0"' in good, name
            assert not s.broker.driver.queries

    run(main)


def test_requests_sent_ahead_are_answered_in_order():
    async def main():
        async with BrokerFixture() as s:
            one = b'{"query":"{ fullQuote(blocks: [%d], amount: 5) { id } }"}'
            data = b"".join(post(one % n) for n in range(1, 15)) + post(one % 15, b"connection: close")
            got = await talk(s.port, data, until_closed=True)
            places = [got.index(b'"%d:0"' % n) for n in range(1, 16)]
            assert places == sorted(places)
            assert got.count(b"HTTP/1.1 200") == 15

    run(main)


def test_a_get_asks_queries_and_no_mutations():
    async def main():
        async with BrokerFixture() as s:
            got = await talk(s.port, b"GET /graphql?query=%7B%20__typename%20%7D HTTP/1.1\r\nhost: x\r\n\r\n")
            assert b'{"data":{"__typename":"Query"}}' in got
            text = b"mutation%20%7B%20holdRate(block%3A1%2Crate%3A%22x%22)%20%7B%20id%20%7D%20%7D"
            got = await talk(s.port, b"GET /graphql?query=" + text + b" HTTP/1.1\r\nhost: x\r\n\r\n")
            assert got.startswith(b"HTTP/1.1 405")
            assert not s.seen("arrive")

    run(main)


def test_a_slow_sender_is_cut_off_and_an_idle_one_closed():
    async def main():
        async with BrokerFixture(listen={"read_timeout_ms": 300.0, "idle_timeout_ms": 300.0}) as s:
            reader, writer = await asyncio.open_connection("127.0.0.1", s.port)
            writer.write(b"POST /graphql HTTP/1.1\r\nhost: x\r\nx-")
            assert (await reader.read()).startswith(b"HTTP/1.1 408")
            writer.close()
            reader, writer = await asyncio.open_connection("127.0.0.1", s.port)
            writer.write(post(GOOD))
            assert (await reader.read()).startswith(b"HTTP/1.1 200")  # and then closed when idle
            writer.close()

    run(main)


def test_at_the_limit_the_connection_idle_longest_makes_room():
    async def main():
        async with BrokerFixture(listen={"max_connections": 2}) as s:
            held = []
            for n in (1, 2):
                held.append(await asyncio.open_connection("127.0.0.1", s.port))
                await until(lambda n=n: len(s.broker.server.connections) == n)
                next(iter(s.broker.server.connections)).since -= 1.0 if n == 1 else 0.0  # the loop counts whole ms
            reader, writer = await asyncio.open_connection("127.0.0.1", s.port)
            with pytest.raises(ConnectionError):
                if not await held[0][0].read():
                    raise ConnectionError
            writer.write(post(GOOD, b"connection: close"))
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            assert s.broker.server.rejected_connections == 0
            for _, w in (*held, (reader, writer)):
                w.close()

    run(main)


def test_where_all_connections_hold_queries_a_new_one_is_turned_away():
    async def main():
        async with BrokerFixture(listen={"max_connections": 1}) as s:
            for server in s.world.servers.values():
                server.machine.model.part_ms = 300.0
            reader, writer = await asyncio.open_connection("127.0.0.1", s.port)
            writer.write(post(GOOD, b"connection: close"))
            await until(lambda: s.broker.driver.queries)
            other, second = await asyncio.open_connection("127.0.0.1", s.port)
            with pytest.raises(ConnectionError):
                if not await other.read():
                    raise ConnectionError
            assert s.broker.server.rejected_connections == 1
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            writer.close()
            second.close()

    run(main)


def test_stopping_lets_what_is_held_end():
    async def main():
        async with BrokerFixture() as s:
            for server in s.world.servers.values():
                server.machine.model.part_ms = 200.0
            asked = asyncio.ensure_future(s.client.query("{ fullQuote(blocks: [1], amount: 5) { id } }"))
            await until(lambda: s.seen("ran"))
            stopping = asyncio.ensure_future(s.broker.stop())
            status, answer, headers = await asked
            assert status == 200
            assert len(answer["data"]["fullQuote"]) == 4
            assert headers[b"connection"] == b"close"
            assert await stopping == 0
            with pytest.raises(OSError):
                await asyncio.open_connection("127.0.0.1", s.port)

    run(main)


def test_a_taken_port_is_an_error_and_not_a_second_listener():
    async def main():
        first, second = HttpServer(lambda e: None, ServerLimits()), HttpServer(lambda e: None, ServerLimits())
        port = await first.start("127.0.0.1", 0)
        with pytest.raises(OSError):
            await second.start("127.0.0.1", port)
        await first.close(0)

    run(main)


def scripted(answer):
    """A server that sends these bytes to whatever it gets."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        writer.close()

    return asyncio.start_server(handle, "127.0.0.1", 0)


@pytest.mark.parametrize(
    ("answer", "end"),
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
def test_the_asking_side_names_how_a_call_ended(answer, end):
    async def main():
        server = await scripted(answer)
        pool = Pool("127.0.0.1", server.sockets[0].getsockname()[1], PoolLimits(max_answer_bytes=1000))
        ends = []
        pool.request(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", lambda r: ends.append(r.result))
        await until(lambda: ends)
        await asyncio.sleep(0.02)
        assert ends == [end]
        pool.close()
        server.close()

    run(main)


def test_kept_connections_are_used_again_and_closed_when_idle():
    async def main():
        server = HttpServer(lambda e: e.respond(200, b"x", b""), ServerLimits())
        port = await server.start("127.0.0.1", 0)
        pool, ends = Pool("127.0.0.1", port, PoolLimits(idle_s=5.0)), []
        for n in range(3):
            pool.request(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", lambda r: ends.append(r.status))
            await until(lambda n=n: len(ends) == n + 1 and pool.idle)
        assert pool.opened == 1
        assert ends == [200] * 3
        pool.sweep(asyncio.get_running_loop().time() + 4.0)
        assert len(pool.idle) == 1
        pool.sweep(asyncio.get_running_loop().time() + 6.0)
        await until(lambda: not pool.open)
        pool.close()
        await server.close(0)

    run(main)


def test_an_answer_has_the_asked_media_type_and_status():
    async def main():
        async with BrokerFixture() as s:
            for server in s.world.servers.values():
                server.faults.silent = True
            body = msgspec.json.encode({"query": "{ nothing }"})
            got = await talk(s.port, post(body, b"accept: application/graphql-response+json"))
            assert got.startswith(b"HTTP/1.1 400")
            assert b"application/graphql-response+json" in got
            got = await talk(s.port, post(body, b"accept: application/json"))
            assert got.startswith(b"HTTP/1.1 200")
            assert b"Cannot query field" in got

    run(main)


def test_a_handler_that_breaks_costs_its_own_request_only():
    def handler(exchange):
        if exchange.target == b"/bad":
            raise RuntimeError("a defect")
        exchange.respond(200, b"x", b"")

    async def main():
        seen = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: seen.append(context["exception"]))
        server = HttpServer(handler, ServerLimits())
        port = await server.start("127.0.0.1", 0)
        data = b"GET /bad HTTP/1.1\r\nhost: x\r\n\r\nGET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        got = await talk(port, data, until_closed=True)
        assert got.startswith(b"HTTP/1.1 500")
        assert b"HTTP/1.1 200" in got
        assert len(seen) == 1
        await server.close(0)

    run(main)


def test_what_breaks_over_an_answer_is_heard_of_and_not_taken_for_a_bad_answer():
    async def main():
        seen, ends = [], []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: seen.append(context.get("exception")))
        server = HttpServer(lambda e: e.respond(200, b"x", b""), ServerLimits())
        pool = Pool("127.0.0.1", await server.start("127.0.0.1", 0), PoolLimits())

        def broken(reply):
            ends.append(reply.result)
            raise RuntimeError("a defect")

        pool.request(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", broken)
        await until(lambda: seen)
        assert ends == [CallResult.ANSWER]
        assert isinstance(seen[0], RuntimeError)
        pool.close()
        await server.close(0)

    run(main)


def test_a_request_whose_connection_comes_up_after_the_time_to_begin_is_not_sent():
    async def main():
        asked = []
        server = HttpServer(lambda exchange: asked.append(exchange), ServerLimits())
        port = await server.start("127.0.0.1", 0)
        pool, ends = Pool("127.0.0.1", port, PoolLimits()), []
        pool.request(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n", lambda r: ends.append(r.result), 0.0)  # long over
        await until(lambda: ends)
        assert ends == [CallResult.CONNECT_FAILED]
        assert not asked
        assert len(pool.idle) == 1
        pool.close()
        await server.close(0.0)

    run(main)
