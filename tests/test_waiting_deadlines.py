"""Requests that wait on a connection behind others: each has its response inside its time, in its place."""

import asyncio
import re
import time

import pytest

from badgerbend.standin.work import Model
from tests import sockets
from tests.broker_process import BrokerProcess, read_answer, request
from tests.platform_stage import Stage, query, run
from tests.replacing import replace_attribute
from tests.sockets import BrokerFixture, until

LATE_S = 0.55  # that a response may come after its client's time


async def read_responses(reader, count):
    """Reads until so many responses have begun; returns what was read, and when the last part of it came."""
    received = b""
    while received.count(b"HTTP/1.1") < count:
        data = await reader.read(65_536)
        assert data, received
        received += data
    return received, asyncio.get_running_loop().time()


def statuses(received):
    return [int(status) for status in re.findall(rb"HTTP/1.1 (\d+)", received)]


BEHIND = {"one": (1, b"quote", 503), "one that may have run": (1, b"accept", 502), "many": (40, b"quote", 503)}


@pytest.mark.parametrize(("count", "cls", "status"), BEHIND.values(), ids=BEHIND)
def test_a_request_behind_others_with_later_deadlines_is_refused_inside_its_time(count, cls, status):
    # It waited for the end of the time of those before it.
    async def main():
        async with Stage(behave=lambda part: None) as stage:
            reader, writer = await asyncio.open_connection("127.0.0.1", stage.port)
            loop = asyncio.get_running_loop()
            writer.write(stage.head(query((1,)), cls, X_Time_Left_Ms="3000"))
            await until(lambda: stage.sent())
            sent_at = loop.time()
            for number in range(count):
                writer.write(stage.head(query((1,)), X_Time_Left_Ms="300" if number == count - 1 else "3000"))
            received, at = await read_responses(reader, 1 + count)
            assert statuses(received) == [status] + [503] * count
            assert at - sent_at < 0.3 + LATE_S
            assert not stage.service.front.open
            # The connection serves on.
            writer.write(b"GET /_health HTTP/1.1\r\nhost: x\r\n\r\n")
            await read_responses(reader, 1)
            writer.close()

    run(main)


def test_a_request_that_waits_is_served_if_those_before_it_end_in_time():
    async def main():
        async with Stage(behave=lambda part: asyncio.get_running_loop().call_later(0.05, part.served)) as stage:
            reader, writer = await asyncio.open_connection("127.0.0.1", stage.port)
            for time_left_ms in ("3000", "1000", "2000"):
                writer.write(stage.head(query((1,)), X_Time_Left_Ms=time_left_ms))
            received, _ = await read_responses(reader, 3)
            assert statuses(received) == [200, 200, 200]
            writer.close()

    run(main)


def test_a_request_with_the_id_of_the_one_before_it_is_served_after_it():
    async def main():
        async with Stage() as stage:
            reader, writer = await asyncio.open_connection("127.0.0.1", stage.port)
            for shard in (1, 2):
                writer.write(stage.head(query((shard,)), X_Correlation_Id="same"))
            received, _ = await read_responses(reader, 2)
            assert statuses(received) == [200, 200]
            assert received.index(b'"tablet":1') < received.index(b'"tablet":2')
            writer.close()

    run(main)


def test_a_client_that_ends_its_sending_side_has_gone_and_nothing_is_begun_for_it():
    # The protocol page: a client that closes its connection has gone away.
    async def main():
        async with Stage(behave=lambda part: None) as stage:
            reader, writer = await asyncio.open_connection("127.0.0.1", stage.port)
            writer.write(stage.head(query((1,))) + stage.head(query((2,))))
            await until(lambda: stage.sent())
            writer.write_eof()
            assert await asyncio.wait_for(reader.read(), 1.0) == b""
            await until(lambda: not stage.service.server.connections)
            await asyncio.sleep(0.1)
            assert {part.shard for part in stage.sent()} == {1}
            assert not stage.service.front.open
            writer.close()

    run(main)


REJECTED = {
    400: b"\x93\x01noise\r\n\r\n",
    413: b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 999999999\r\n\r\n",
    431: b"GET / HTTP/1.1\r\n" + b"x: " + b"y" * 20_000,
}


@pytest.mark.parametrize("status", REJECTED)
def test_a_rejection_follows_the_responses_to_the_requests_that_wait(status):
    async def main():
        async with Stage() as stage:
            reader, writer = await asyncio.open_connection("127.0.0.1", stage.port)
            writer.write(b"".join(stage.head(query((1,))) for _ in range(3)) + REJECTED[status])
            assert statuses(await reader.read()) == [200, 200, 200, status]
            writer.close()

    run(main)


def graphql(time_left_ms, field="fullQuote(blocks: [1], amount: 5) { id }"):
    body = b'{"query": "{ %s }"}' % field.encode()
    head = b"POST /graphql HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\nbadgerbend-time-left-ms: %d\r\n"
    return head % time_left_ms + b"content-length: %d\r\n\r\n" % len(body) + body


def test_a_graphql_request_behind_one_with_a_later_deadline_is_refused_inside_its_time():
    async def main():
        async with BrokerFixture(model=Model(part_ms=2500.0)) as fixture:
            reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
            sent_at = asyncio.get_running_loop().time()
            writer.write(graphql(3000) + graphql(400))
            received, at = await read_responses(reader, 2)
            assert statuses(received) == [503, 503]
            assert at - sent_at < 0.4 + LATE_S
            assert not fixture.broker.front.operations
            writer.close()

    sockets.run(main)


def note_time_left(told_ms, handler):
    def handle(exchange):
        if b"badgerbend-time-left-ms" in exchange.headers:
            told_ms.append(float(exchange.headers[b"badgerbend-time-left-ms"]))
        handler(exchange)

    return handle


def test_the_time_of_a_graphql_request_counts_from_its_receipt():
    # It counted from when the request was begun: servers were told a time that the client no longer had.
    async def main():
        async with BrokerFixture(model=Model(part_ms=300.0)) as fixture:
            told_ms = []
            for server in fixture.world.servers.values():
                replace_attribute(server.http, "handler", note_time_left(told_ms, server.http.handler))
            reader, writer = await asyncio.open_connection("127.0.0.1", fixture.port)
            writer.write(graphql(1000) + graphql(1000, "fullQuote(blocks: [2], amount: 5) { id }"))
            await read_responses(reader, 2)
            assert told_ms[1] < told_ms[0] - 200.0
            writer.close()

    sockets.run(main)


def test_requests_behind_those_that_are_parsed_ahead_are_answered_once_the_others_have_expired():
    # Input behind the requests that are parsed ahead (64) was parsed after a response of a handler only, and refusals
    # have none: the rest got no answer (review/7).
    async def main():
        async with BrokerProcess(behave=lambda part: None) as broker:
            reader, writer = await broker.connect()
            asked = [request(f"q{number}", [1], deadline_ms=1000) for number in range(100)]
            sent_at = time.monotonic()
            writer.write(b"".join(one.data for one in asked))
            statuses = [(await read_answer(reader)).status for _ in asked]
            assert set(statuses) <= {502, 503}
            assert time.monotonic() - sent_at < 1.5
            writer.close()

    run(main)
