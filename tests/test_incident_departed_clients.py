"""Guards against sending parts to servers after the client has disconnected.

After an outage of discovery, servers received the first bytes of parts 78, 185 and 309 ms after the end of the query.
This can come about as follows: a process that is stalled, or that pauses accepting for a second after a failed
`accept`, finds a request and the end of its connection at the same time. The request was read in one iteration of the
loop and its parts were sent in the next, before the end of the connection was read. The tests stop the process for
0.3 s, in which a client sends a request and disconnects; the broker must poll the socket of the client before it sends
anything.
"""

import asyncio
import signal
import time

from badgerbend.standin.framenode import Part
from tests.broker_process import BrokerProcess, request
from tests.platform_stage import run
from tests.sockets import until

STOPPED_S = 0.3
REPEATS = 5
QUIET_S = 0.3  # in which an attempt would arrive at a node


async def act_while_stopped(broker, action):
    """Performs an action while the process is stopped for `STOPPED_S`."""
    broker.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(0.05)
    await action()
    await asyncio.sleep(STOPPED_S)
    broker.process.send_signal(signal.SIGCONT)


def test_a_request_is_not_sent_on_if_its_client_disconnected_while_the_process_was_stopped():
    async def main():
        async with BrokerProcess() as broker:
            for number in range(REPEATS):
                sent = request(f"left{number}")
                _, writer = await broker.connect()
                await broker.ask(request(f"before{number}"))  # by now the connection is accepted

                async def send_and_leave(writer=writer, sent=sent):
                    writer.write(sent.data)
                    await asyncio.sleep(0.01)
                    writer.close()

                await act_while_stopped(broker, send_and_leave)
                await asyncio.sleep(QUIET_S)
                assert broker.arrived(sent) == []

    run(main)


def test_a_request_is_not_sent_on_if_its_client_disconnected_before_the_accept():
    async def main():
        async with BrokerProcess() as broker:
            for number in range(REPEATS):
                sent = request(f"left{number}")

                async def connect_send_and_leave(sent=sent):
                    _, writer = await broker.connect()
                    writer.write(sent.data)
                    await asyncio.sleep(0.01)
                    writer.close()

                await act_while_stopped(broker, connect_send_and_leave)
                await asyncio.sleep(QUIET_S)
                assert broker.arrived(sent) == []

    run(main)


def test_a_failed_accept_is_retried_soon():
    async def main():
        # asyncio pauses accepting for a second after a temporary lack of descriptors or memory.
        async with BrokerProcess(faults={"accept": 0.5, "seed": 3}) as broker:
            for number in range(4 * REPEATS):
                started_at = time.monotonic()
                answer = await broker.ask(request(f"q{number}"))
                assert answer.status == 200
                assert answer.at - started_at < 0.5

    run(main)


def test_a_request_that_is_repeated_after_its_connection_broke_is_served():
    # The first copy was still open: the client had closed the connection, which the broker had yet to read.
    async def main():
        unanswered_parts = []
        async with BrokerProcess(behave=unanswered_parts.append) as broker:
            sent = request("twice")
            _, writer = await broker.connect()
            writer.write(sent.data)
            await until(lambda: broker.arrived(sent))
            broker.behave = Part.served
            second = None

            async def close_and_repeat():
                nonlocal second
                writer.close()
                second = asyncio.create_task(broker.ask(sent))

            await act_while_stopped(broker, close_and_repeat)
            assert (await second).status == 200

    run(main)
