"""Guards against clients that send at full speed: memory that grows, and usual clients that are answered late.

All forms are played by `benchmarks/floods.py`; see docs/incidents/2026-12-06-floods.md.
"""

import asyncio

import pytest

from badgerbend.net import turn_queue
from badgerbend.net.http_connection import MAX_PARSE_WORK, PARSE_CHUNK_BYTES, HttpConnection, no_deadline
from badgerbend.net.request_parser import REQUEST_WORK
from badgerbend.net.server_limits import ServerLimits
from badgerbend.net.turn_queue import TURNS_S, Priority, TurnQueue
from tests.floods import Play
from tests.platform_stage import run

SECONDS = 3.0
MEMORY_MB = 192
BUSY = 3  # processes beside the broker on its core, so that it gets a quarter of it
INPUT_FRACTION = 0.25  # of the memory: an eighth for the input of all connections, and as much again in their shares


@pytest.mark.parametrize("form", ["unknown path", "no JSON"])
def test_input_of_one_connection_takes_no_more_memory_than_is_set_aside(form):
    # Input that waited was one buffer, of which several copies were held while it grew and was used up.
    async def main():
        result = await Play(form, seconds=SECONDS, memory_mb=MEMORY_MB, descriptors=1024).run()
        assert result.peak_kb - result.start_kb <= INPUT_FRACTION * MEMORY_MB * 1024
        assert result.beside.lost == []

    run(main)


@pytest.mark.parametrize("connections", [1, 20])
@pytest.mark.parametrize("how", ["pipelined", "sequential"])
def test_usual_clients_are_answered_beside_bodies_in_tiny_chunks(how, connections):
    # Each read was parsed at once: 43,000 chunks of a byte took tens of milliseconds in each iteration of the loop.
    async def main():
        result = await Play("60 KB in tiny chunks", how, connections, SECONDS, busy=BUSY).run()
        assert result.beside.lost == []
        assert set(result.beside.statuses) == {200}

    run(main)


@pytest.mark.parametrize("form", ["no JSON", "new class", "many fields", "1 ms left"])
def test_usual_clients_are_answered_beside_small_or_invalid_requests_at_full_speed(form):
    async def main():
        result = await Play(form, "pipelined", 20, SECONDS, busy=BUSY).run()
        assert result.beside.lost == []
        assert set(result.beside.statuses) == {200}

    run(main)


TINY_CHUNKS = (
    b"POST /x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n"
)
SMALL_REQUESTS = b"GET / HTTP/1.1\r\n\r\n" * 10_000
MANY_HEADERS = (b"GET / HTTP/1.1\r\n" + b"".join(b"%x:\r\n" % n for n in range(90)) + b"\r\n") * 300


@pytest.mark.parametrize("data", [TINY_CHUNKS, SMALL_REQUESTS, MANY_HEADERS], ids=["chunks", "requests", "headers"])
def test_the_work_of_one_call_is_bounded_whatever_the_bytes_are(data):
    connection = HttpConnection(ServerLimits(), no_deadline)
    work_of_piece = max(PARSE_CHUNK_BYTES, PARSE_CHUNK_BYTES // 18 * REQUEST_WORK)
    connection.receive(data, 0.0, 0.0)
    most = connection._parser.work
    while connection.unparsed:
        before = connection._parser.work
        connection.waiting.clear()
        connection.parse_ahead()
        most = max(most, connection._parser.work - before)
    assert most <= MAX_PARSE_WORK + work_of_piece


class Turn:
    """A connection whose turn takes some time on a fake clock."""

    def __init__(self, clock, seconds, taken):
        self.clock, self.seconds, self.taken = clock, seconds, taken

    def take_turn(self):
        self.clock[0] += self.seconds
        self.taken.append(self)


def test_turns_of_one_iteration_take_a_bounded_time_and_none_is_forgotten(monkeypatch):
    async def main():
        clock, taken = [0.0], []
        monkeypatch.setattr(turn_queue.time, "monotonic", lambda: clock[0])
        queue = TurnQueue()
        waiting = [Turn(clock, TURNS_S / 4, taken) for _ in range(20)]
        invalid = [Turn(clock, TURNS_S, taken) for _ in range(5)]
        prompt = Turn(clock, TURNS_S, taken)
        for one in invalid:
            queue.add(one, Priority.INVALID)
        for one in waiting:
            queue.add(one, Priority.WAITING)
        queue.add(prompt, Priority.PROMPT)
        await asyncio.sleep(0)
        assert len(taken) == 4 + 1 + 1
        assert taken[:4] == waiting[:4]
        assert prompt in taken
        assert invalid[0] in taken
        for _ in range(5):
            await asyncio.sleep(0)
        assert len(queue) == 0
        assert [one for one in taken if one in waiting] == waiting
        assert [one for one in taken if one in invalid] == invalid

    run(main)
