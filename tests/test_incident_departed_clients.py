"""Parts of queries were sent to servers 0.1 to 0.3 s after the query had ended or its client had left.

Seen: servers received first bytes of a part 78, 185 and 309 ms after the end of its query, in the two seconds after an
outage of discovery. What the process did then could not be read from its log, which had no times.

How it can come about, found by reading and by these tests: a process that is held up, or whose `accept` fails for a
moment and is put off by a second, finds a request and the end of its connection waiting together. The request was read
in one turn of the loop and sent on in the next, before the end was read.

Proof: a process stopped for 0.3 s, with a request and a close in the meantime, sends the request on. If the socket is
asked whether its client is still there before anything is sent on, it does not.
"""

import asyncio
import signal
import time

from badgerbend.standin.framenode import Part
from tests.broker_process import BrokerProcess, request
from tests.platform_stage import run
from tests.sockets import until

HELD_UP_S = 0.3
TRIES = 5
QUIET_S = 0.3  # in which an attempt would arrive


async def stopped(broker, action):
    """Does something while the process stands still for `HELD_UP_S`."""
    broker.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(0.05)
    await action()
    await asyncio.sleep(HELD_UP_S)
    broker.process.send_signal(signal.SIGCONT)


def test_a_request_whose_client_left_while_the_process_was_held_up_is_not_sent_on():
    async def main():
        async with BrokerProcess() as broker:
            for number in range(TRIES):
                asked = request(f"left{number}")
                _, writer = await broker.connect()
                await broker.ask(request(f"before{number}"))  # the connection is accepted by now

                async def send_and_leave(writer=writer, asked=asked):
                    writer.write(asked.data)
                    await asyncio.sleep(0.01)
                    writer.close()

                await stopped(broker, send_and_leave)
                await asyncio.sleep(QUIET_S)
                assert broker.arrived(asked) == []

    run(main)


def test_a_new_connection_whose_client_left_before_it_was_accepted_is_not_sent_on():
    async def main():
        async with BrokerProcess() as broker:
            for number in range(TRIES):
                asked = request(f"left{number}")

                async def connect_send_and_leave(asked=asked):
                    _, writer = await broker.connect()
                    writer.write(asked.data)
                    await asyncio.sleep(0.01)
                    writer.close()

                await stopped(broker, connect_send_and_leave)
                await asyncio.sleep(QUIET_S)
                assert broker.arrived(asked) == []

    run(main)


def test_a_failed_accept_is_made_again_at_once():
    async def main():
        # asyncio leaves a listener alone for a second where it is out of descriptors or memory for a moment
        async with BrokerProcess(faults={"accept": 0.5, "seed": 3}) as broker:
            for number in range(4 * TRIES):
                began = time.monotonic()
                answer = await broker.ask(request(f"q{number}"))
                assert answer.status == 200
                assert answer.at - began < 0.5

    run(main)


def test_a_request_sent_once_more_as_its_connection_broke_is_served():
    # The first copy was still open: its client had closed, and nobody had read that yet.
    async def main():
        held = []
        async with BrokerProcess(behave=held.append) as broker:
            asked = request("twice")
            _, writer = await broker.connect()
            writer.write(asked.data)
            await until(lambda: broker.arrived(asked))
            broker.behave = Part.served
            second = None

            async def close_and_send_once_more():
                nonlocal second
                writer.close()
                second = asyncio.create_task(broker.ask(asked))

            await stopped(broker, close_and_send_once_more)
            assert (await second).status == 200

    run(main)
