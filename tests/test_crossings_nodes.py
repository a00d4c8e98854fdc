"""Pairs of events between a broker and its nodes that happen at the same time, forced in one order over loopback."""

import asyncio
import time

import pytest

from badgerbend.api import Outcome
from badgerbend.platform.names import FRAMES
from badgerbend.standin.framenode import FrameNode, Part
from tests.platform_stage import DelayedConnections, Stage, query, run
from tests.replacing import replace_attribute
from tests.sockets import until
from tests.test_frames import attempt, transport_to

SHORT_WINDOW = {"categories.2.repeatWindowMs": 300.0, "ceilings.connectTimeoutMs": 2000.0}


def test_a_repeat_whose_connection_is_established_after_the_window_is_not_sent():
    # A repeat was decided 302 ms after the first attempt, within its window of 477 ms, but it was sent only when its
    # connection was established, after 529 ms.
    async def main():
        stage = Stage(each=2, settings=SHORT_WINDOW, behave=lambda part: None)
        async with stage, DelayedConnections(lambda: stage.nodes.values()) as dials:
            pending = asyncio.create_task(stage.ask((1,), b"accept"))
            await until(lambda: dials.waiting)
            dials.release()
            await until(lambda: stage.sent())
            stage.sent()[0].connection.cut()  # the attempt may have run
            await until(lambda: dials.waiting)  # the repeat was decided within the window
            now = asyncio.get_running_loop().time
            decided = now()
            await until(lambda: now() > decided + 0.3)
            dials.release()
            status, _ = await pending  # the window is over: answered at once, not at the deadline of three seconds
            assert status == 502
            assert now() - decided < 1.5
            await until(lambda: not stage.service.transport._connecting)
            assert (await stage.ask((2,), b"quote", X_Time_Left_Ms="50"))[0] == 503  # lets the event loop run again
            assert [part.shard for part in stage.sent() if part.shard == 1] == [1]

    run(main)


@pytest.mark.parametrize("cancel", [True, False])
def test_no_part_is_sent_for_a_client_that_disconnected_while_the_part_waited_for_a_connection(cancel):
    # If the settings allow no cancellation, the part was sent nevertheless once its connection was established.
    async def main():
        settings = {"ceilings.cancel": cancel, "ceilings.connectTimeoutMs": 2000.0}
        stage = Stage(settings=settings)
        async with stage, DelayedConnections(lambda: stage.nodes.values()) as dials:
            _, writer = await asyncio.open_connection("127.0.0.1", stage.port)
            writer.write(stage.head(query((1, 2)), X_Correlation_Id="left"))
            await until(lambda: len(dials.waiting) == 2)
            writer.close()
            await until(lambda: not stage.service.front.open)
            dials.release()
            assert (await stage.ask((4,)))[0] == 200
            assert [part.id for part in stage.sent() if part.id.startswith(b"left")] == []

    run(main)


def test_no_part_is_sent_for_a_query_that_was_answered_while_the_part_waited_for_a_connection():
    async def main():
        received = []
        settings = {"ceilings.cancel": False, "ceilings.connectTimeoutMs": 2000.0}
        async with Stage(each=1, settings=settings, behave=received.append) as stage:
            first = asyncio.create_task(stage.ask((1,)))
            await until(lambda: received)
            received.pop().served()
            assert (await first)[0] == 200  # a connection to the cell of shard 1 is established
            async with DelayedConnections(lambda: stage.nodes.values()) as dials:
                some = asyncio.create_task(stage.ask((1, 2), b"some"))  # one of the two parts completes the answer
                await until(lambda: received and dials.waiting)
                received.pop().served()
                status, body = await some
                assert status == 200
                assert len(body["pieces"]) == 1
                dials.release()
                await until(lambda: not stage.service.transport._connecting)
            last = asyncio.create_task(stage.ask((4,)))
            await until(lambda: received)
            received.pop().served()
            assert (await last)[0] == 200
            assert not [part for part in stage.sent() if part.shard == 2]

    run(main)


def test_calls_on_a_connection_that_is_established_as_it_times_out_count_as_sent(monkeypatch):
    # The parts were reported as never sent, and so might be sent again, although the node had received them.
    async def main():
        node = FrameNode(lambda part: None)
        transport, ends, _ = await transport_to(await node.start(), connect_timeout_s=0.05)
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def connect_late(factory, *address):
            def slow_factory():
                time.sleep(0.1)  # blocks the event loop beyond the timeout as the connection is established
                return factory()

            return await connect(slow_factory, *address)

        monkeypatch.setattr(loop, "create_connection", connect_late)
        transport.send(1, [attempt(1)])
        await until(lambda: ends)
        await until(lambda: node.parts() or (node.accepted and not node.connections))
        assert bool(node.parts()) == (ends[0][1] is not Outcome.CONNECT_FAILED)
        await until(lambda: transport.open == 0)
        assert len(ends) == 1
        node.stop()

    run(main)


def test_a_file_descriptor_counts_until_its_connection_attempt_ends():
    async def main():
        node = FrameNode(lambda part: None)
        transport, ends, _ = await transport_to(await node.start(), connections=2, connect_timeout_s=30.0)
        async with DelayedConnections(lambda: [node]) as dials:
            cancelled = [attempt(shard) for shard in (1, 2)]
            for one in cancelled:
                transport.send(1, [one])
                transport.cancel(one)
                transport.close_idle(1)
            assert transport.open == 2
            assert not transport.channels
            await until(lambda: transport.open == 0)
            transport.send(1, [attempt(3)])
            await until(lambda: dials.waiting)
            dials.release()
            await until(lambda: node.parts())
        assert node.accepted == 1
        assert transport.open == 1
        assert not ends
        transport.close()
        node.stop()

    run(main)


def test_a_node_that_drains_while_its_connection_is_blocked_receives_no_queued_call():
    async def main():
        node = FrameNode(lambda part: None)
        transport, ends, _ = await transport_to(await node.start(), streams=1000)
        first = attempt(1)
        transport.send(1, [first])
        await until(lambda: node.parts())
        (connection,) = node.connections
        connection.transport.pause_reading()
        (channel,) = transport.channels[1]
        long = b"x" * 60_000
        shard = 2
        while not channel.blocked:  # the node stopped reading, so the kernel's buffers fill up
            transport.send(1, [attempt(shard, text=long)])
            await asyncio.sleep(0)
            shard += 1
        stuck = attempt(shard, text=long)
        transport.send(1, [stuck])
        assert not transport.begun(stuck)
        transport.start_draining(1)
        assert (shard, Outcome.NOT_SENT, None) in ends
        connection.transport.resume_reading()
        await until(lambda: len(node.parts()) > 1)
        assert stuck.plan.payload.id not in [part.id for part in node.parts()]
        transport.close()
        node.stop()

    run(main)


def test_an_answer_and_the_cancellation_of_its_part_cross():
    async def main():
        received: list[Part] = []
        node = FrameNode(received.append)
        transport, ends, _ = await transport_to(await node.start())
        one, two = attempt(1), attempt(2)
        transport.send(1, [one, two])
        await until(lambda: len(received) == 2)
        received[0].served()  # this answer is in flight during the cancellation
        transport.cancel(one)
        received[1].served()
        await until(lambda: ends and node.cancelled)
        assert ends == [(2, Outcome.OK, received[1].value())]
        assert transport.open == 1
        assert node.cancelled == [b"q1.1"]
        assert FRAMES.cancel == b"c"
        transport.close()
        node.stop()

    run(main)


def test_a_call_on_an_idle_connection_that_its_node_closes_counts_as_possibly_run():
    async def main():
        node = FrameNode()
        transport, ends, _ = await transport_to(await node.start())
        transport.send(1, [attempt(1)])
        await until(lambda: ends)
        (connection,) = node.connections
        connection.cut()
        transport.send(1, [attempt(2)])  # written before the end of the connection is noticed here
        await until(lambda: len(ends) == 2)
        assert ends[1] == (2, Outcome.RESET, None)
        transport.close()
        node.stop()

    run(main)


def test_a_part_that_waited_for_its_connection_carries_the_remaining_time():
    async def main():
        node = FrameNode(lambda part: None)
        transport, _, _ = await transport_to(await node.start(), connect_timeout_s=30.0)
        async with DelayedConnections(lambda: [node]) as dials:
            transport.send(1, [attempt(1)])
            await until(lambda: dials.waiting)
            await asyncio.sleep(0.2)
            dials.release()
            await until(lambda: node.parts())
        remaining_ms = node.parts()[0].wait_ms
        assert 0 < remaining_ms <= 800  # the deadline was a second
        node.stop()

    run(main)


def test_a_part_whose_client_disconnected_while_it_waited_for_its_connection_is_not_written():
    async def main():
        node = FrameNode(lambda part: None)
        transport, ends, _ = await transport_to(await node.start(), connect_timeout_s=30.0)
        replace_attribute(transport, "wanted", lambda attempt: False)
        async with DelayedConnections(lambda: [node]) as dials:
            transport.send(1, [attempt(1)])
            await until(lambda: dials.waiting)
            await asyncio.sleep(0.05)
            dials.release()
            await until(lambda: ends)
        assert [end[1] for end in ends] == [Outcome.NOT_SENT]
        assert node.parts() == []
        node.stop()

    run(main)
