"""Guards against serving a value that is cut off because its answer has a length that is too short.

Such an answer decodes as a complete frame. The broker ended its attempt as served before it saw that the bytes behind
the frame were no frame, so the client got status 200 and a value without its end.
"""

import asyncio
import itertools

import msgspec
import pytest

from badgerbend.api import Outcome
from badgerbend.frames.channel import CONFIRMATION_S
from badgerbend.standin.framenode import LENGTH, Part
from tests.broker_process import BrokerProcess, request
from tests.platform_stage import run
from tests.sockets import until
from tests.test_frames import attempt, node_with_transport

COUNT = 24


def short_answer(part, missing):
    """The answer to a part with a length that leaves out the last bytes."""
    whole = part.answer(b"served", part.value())
    return LENGTH.pack(len(whole) - LENGTH.size - missing) + whole[LENGTH.size :]


class SpoilsSome:
    """Sends every third answer with a length that is too short; its connection is of no further use then."""

    def __init__(self, missing, first_bytes=None, delay_s=0.0):
        self.missing, self.first_bytes, self.delay_s = missing, first_bytes, delay_s
        self.numbers, self.spoilt, self.useless = itertools.count(1), 0, set()

    def __call__(self, part):
        connection = part.connection
        if connection in self.useless:
            return
        if next(self.numbers) % 3:
            part.served()
            return
        self.useless.add(connection)
        self.spoilt += 1
        data = short_answer(part, self.missing)
        cut = len(data) - self.missing if self.first_bytes is None else self.first_bytes
        connection.send(data[:cut])
        if self.delay_s:
            asyncio.get_running_loop().call_later(self.delay_s, connection.send, data[cut:])
        else:
            connection.send(data[cut:])


@pytest.mark.parametrize("missing", [1, 2, 3, 4, 5, 9, 15])
def test_no_client_is_served_a_value_that_is_cut_off(missing):
    async def main():
        behave = SpoilsSome(missing)
        async with BrokerProcess(each=2, behave=behave) as broker:
            for number in range(COUNT):
                answer = await broker.ask(request(f"q{number}", [1, 2]))
                pieces = msgspec.json.decode(answer.body)["pieces"] if answer.status == 200 else []
                values = {arrival.part.shard: arrival.part.value().decode() for arrival in broker.arrivals[-8:]}
                assert all(piece["cell"] == values[piece["tablet"]] for piece in pieces)
            assert behave.spoilt >= COUNT // 4

    run(main)


async def until_ended(transport, ends):
    """Waits for the end of an attempt, or until its answer has stalled."""
    loop = asyncio.get_running_loop()
    await until(lambda: transport.sweep(loop.time()) or ends)


async def outcome_of_short_answer(missing, first_bytes, delay_s):
    spoils = SpoilsSome(missing, first_bytes, delay_s)
    spoils.numbers = itertools.count(3)
    async with node_with_transport(spoils) as (_, transport, ends):
        transport.send(1, [attempt(1)])
        await until_ended(transport, ends)
        return ends[0][1]


@pytest.mark.parametrize("missing", [1, 3, 4, 15])
@pytest.mark.parametrize("first_bytes", [None, 3, 5, -1])
@pytest.mark.parametrize("delay_s", [0.0, CONFIRMATION_S / 4])
def test_an_attempt_whose_answer_has_a_short_length_fails_however_the_bytes_are_split(missing, first_bytes, delay_s):
    async def main():
        assert await outcome_of_short_answer(missing, first_bytes, delay_s) is Outcome.ERROR

    run(main)


@pytest.mark.parametrize("end", [b"\x93\x01", b"\xff" * 40, b"x"])
def test_an_answer_with_noise_right_behind_it_has_failed(end):
    # The broker can't tell this from a length that is too short.
    async def main():
        def answer_and_noise(part):
            part.connection.send(part.answer(b"served", part.value()) + end)

        async with node_with_transport(answer_and_noise) as (_, transport, ends):
            transport.send(1, [attempt(1)])
            await until_ended(transport, ends)
            assert ends == [(1, Outcome.ERROR, None)]

    run(main)


@pytest.mark.parametrize("bytes_behind", [0, 1, 4, 5, 20])
def test_a_good_answer_counts_whatever_part_of_the_next_frame_is_read_with_it(bytes_behind):
    async def main():
        async with node_with_transport(lambda part: None) as (node, transport, ends):
            transport.send(1, [attempt(1), attempt(2)])
            await until(lambda: len(node.parts()) == 2)
            one, two = node.parts()
            second = two.answer(b"served", two.value())
            one.connection.send(one.answer(b"served", one.value()) + second[:bytes_behind])
            if bytes_behind not in (1, 4):  # part of a head shows nothing yet
                await until(lambda: ends)
            await asyncio.sleep(3 * CONFIRMATION_S)
            one.connection.send(second[bytes_behind:])
            await until(lambda: len(ends) == 2)
            assert ends == [(1, Outcome.OK, one.value()), (2, Outcome.OK, two.value())]

    run(main)


def test_a_good_answer_counts_if_its_connection_ends_right_behind_it():
    async def main():
        def answer_and_close(part):
            Part.served(part)
            part.connection.transport.close()

        async with node_with_transport(answer_and_close) as (node, transport, ends):
            transport.send(1, [attempt(1)])
            await until(lambda: ends)
            assert ends == [(1, Outcome.OK, node.parts()[0].value())]

    run(main)


def test_an_attempt_that_is_cancelled_before_its_answer_is_confirmed_has_no_end():
    async def main():
        async with node_with_transport(lambda part: None) as (node, transport, ends):
            one = attempt(1)
            transport.send(1, [one])
            await until(lambda: node.parts())
            channel = one.handle
            channel.data_received(node.parts()[0].answer(b"served", b"value"))
            assert ends == []
            transport.cancel(one)
            await asyncio.sleep(3 * CONFIRMATION_S)
            assert ends == []
            assert channel.idle()

    run(main)
