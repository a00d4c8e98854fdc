"""Frames: decoding in arbitrary pieces, invalid answers, and outcomes of parts when their connection ends."""

import asyncio
import contextlib
import gc
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend.api import Outcome
from badgerbend.frames.channel import Channel
from badgerbend.frames.codec import (
    MAX_LINE_BYTES,
    ControlFrame,
    Decoder,
    PartAnswer,
    PartRequest,
    encode_call,
    encode_frame,
)
from badgerbend.frames.transport import FrameLimits, FrameTransport
from badgerbend.platform.names import FRAMES
from badgerbend.runtime.ports import Attempt, PartPlan
from badgerbend.standin.framenode import FrameNode, Part
from tests.platform_stage import run
from tests.sockets import until

MAX_FRAME = 65_536


def answer(part=b"q1.3", outcome=b"served", value=b"0123456789abcdef", score=b"7", report=b"-"):
    return encode_frame(b"a", b"%s %s %s %s\n%s" % (part, outcome, score, report, value))


def decode(*pieces):
    decoder = Decoder(FRAMES, MAX_FRAME)
    out = [m for piece in pieces for m in decoder.feed(piece)]
    return out, decoder


def test_a_call_has_a_header_line_and_a_text_for_each_part():
    requests = [(PartRequest(b"q1.3", 3, None, b"c41e77d0"), 240.9), (PartRequest(b"q2.5", 5, b"k9", b"x\ny"), 0.2)]
    payload = b"q1.3 3 d=240 8\nc41e77d0q2.5 5 d=1,k=k9 3\nx\ny"
    assert encode_call(FRAMES, requests) == (len(payload) + 1).to_bytes(4, "little") + b"q" + payload


@given(st.lists(st.integers(1, 40), max_size=30), st.sampled_from([b"-", b"{}", b"what ever"]))
def test_messages_do_not_depend_on_how_bytes_are_split(sizes, report):
    stream = answer(report=report) + answer(b"q1.4", b"skipped", b"") + encode_frame(b"p", b"served") + answer(b"q.5")
    pieces, at = [], 0
    for size in sizes:
        pieces.append(stream[at : at + size])
        at += size
    messages, decoder = decode(*pieces, stream[at:])
    assert messages == decode(stream)[0] == decode(*(stream[i : i + 1] for i in range(len(stream))))[0]
    assert messages[:2] == [
        PartAnswer(b"q1.3", Outcome.OK, report, b"0123456789abcdef"),
        PartAnswer(b"q1.4", Outcome.REJECTED, b"-", b""),
    ]
    assert messages[2] == ControlFrame(b"p", b"served")
    assert not decoder.in_frame
    assert decoder.error is None


INVALID = {
    "noise": b"\x93\x01\xfe\xd0\x11\x7f",
    "a length of zero": b"\0\0\0\0a",
    "a huge length": (3 << 30).to_bytes(4, "little") + b"aq1.3 served 7 -\n" + b"x" * 100,
    "one byte above the maximum": (MAX_FRAME + 1).to_bytes(4, "little"),
    "an unknown kind": encode_frame(b"z", b"q1.3 served 7 -\nabc"),
    "an unknown kind, incomplete": (500).to_bytes(4, "little") + b"z",
    "an unknown outcome": answer(outcome=b"sorted"),
    "an unknown outcome, incomplete": answer(outcome=b"sorted", value=b"x" * 900)[:60],
    "a header line without an end": encode_frame(b"a", b"q1.3 served 7 -" + b"y" * 600),
    "a header line without an end, incomplete": (MAX_FRAME).to_bytes(4, "little") + b"a" + b"y" * MAX_LINE_BYTES,
    "a short header line": encode_frame(b"a", b"q1.3 served\nabc"),
    "a score that is not a number": answer(score=b"high"),
    "no id": answer(part=b""),
    "served without a value": answer(value=b""),
    "a value that is not text": answer(value=b"\xff\xfe\xfd"),
}


@pytest.mark.parametrize("what", INVALID)
def test_invalid_bytes_are_an_error_and_earlier_messages_count(what):
    messages, decoder = decode(answer(), INVALID[what])
    assert len(messages) == 1
    assert decoder.error is not None
    assert decoder.feed(answer()) == []
    assert len(decoder.buffer) <= MAX_FRAME


@given(st.binary(max_size=400))
def test_arbitrary_bytes_do_not_break_the_decoder(data):
    _, decoder = decode(data[: len(data) // 2], data[len(data) // 2 :])
    assert decoder.error is not None or len(decoder.buffer) <= len(data)


# -- one channel on a fake transport


class FakeTransport:
    """A transport that accepts everything or, when `full`, the next `takes` bytes and then nothing."""

    def __init__(self):
        self.written, self.full, self.channel, self.aborted = b"", False, None, False
        self.buffered, self.accepts = 0, 1

    def set_write_buffer_limits(self, high):
        assert high == 0

    def write(self, data):
        self.written += data
        if self.full:
            taken, self.accepts = min(self.accepts, len(data)), max(self.accepts - len(data), 0)
            self.buffered += len(data) - taken
            self.channel.pause_writing()

    def get_write_buffer_size(self):
        return self.buffered

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True


class Owner:
    names, streams, max_frame, part_id_retention_s = FRAMES, 8, MAX_FRAME, 6.0

    def __init__(self):
        self.ends, self.faults, self.forgotten = [], [], []

    now = 0.0

    def now_ms(self):
        return self.now

    def ended(self, attempt, outcome, value):
        self.ends.append((attempt.plan.payload.id, outcome, value))

    def forget(self, channel):
        self.forgotten.append(channel)

    def freed(self, channel): ...

    def give_up(self, channel): ...

    def wanted(self, attempt):
        return True

    def report_fault(self, what, detail):
        self.faults.append(detail)


class FakeLoop:
    """A loop that runs what it is given at once."""

    now = 0.0

    def time(self):
        return self.now

    def call_soon(self, callback):
        callback()

    def call_later(self, delay_s, callback):
        callback()


def attempt(shard, number=0, query=b"q1", text=b"text"):
    """Returns an attempt decided on now: by the running loop's clock, or at time 0 in a test without one."""
    requests = PartRequest(b"%s.%d" % (query, shard), shard, None, text)
    try:
        sent_ms = asyncio.get_running_loop().time() * 1000.0
    except RuntimeError:
        sent_ms = 0.0
    return Attempt(shard, number, 1, PartPlan(shard, 0.5, None, requests), 1, sent_ms, 1000.0)


@pytest.fixture
def channel_setup():
    owner, fake = Owner(), FakeTransport()
    channel = fake.channel = Channel(owner, 1, FakeLoop())
    return channel, fake, owner


def test_queued_calls_never_ran_if_the_connection_is_not_established(channel_setup):
    channel, _, owner = channel_setup
    channel.send([attempt(1), attempt(2)])
    channel.failed_to_connect()
    assert [(i, o) for i, o, _ in owner.ends] == [(b"q1.1", Outcome.CONNECT_FAILED), (b"q1.2", Outcome.CONNECT_FAILED)]
    assert owner.forgotten == [channel]


def test_completely_written_calls_may_have_run_and_the_others_did_not(channel_setup):
    channel, fake, owner = channel_setup
    channel.connection_made(fake)
    channel.send([attempt(1)])
    fake.full = True
    channel.send([attempt(2)])  # its last byte stays above the kernel
    channel.send([attempt(3)])  # is queued in the channel
    assert b"q1.2" in fake.written
    assert b"q1.3" not in fake.written
    channel.connection_lost(ConnectionResetError())
    assert {i: o for i, o, _ in owner.ends} == {
        b"q1.1": Outcome.RESET,
        b"q1.2": Outcome.CONNECT_FAILED,
        b"q1.3": Outcome.CONNECT_FAILED,
    }


def test_a_channel_keeps_no_attempt_that_was_written_completely_and_has_ended(channel_setup):
    # Each channel kept the texts of its last call until its next one.
    channel, fake, owner = channel_setup
    channel.connection_made(fake)
    one = attempt(1)
    channel.send([one])
    channel.data_received(answer(b"q1.1"))
    assert [(i, o) for i, o, _ in owner.ends] == [(b"q1.1", Outcome.OK)]
    assert not any(one in held for held in (channel.last_call, channel.queued_calls, channel.in_flight.values()))


def test_a_failed_connection_keeps_no_input():
    # The error of a decoder referred by its traceback to all that had been read, and a failed attempt to its channel.
    decoder = Decoder(FRAMES, MAX_FRAME)
    gc.collect()
    gc.disable()
    try:
        decoder.feed(INVALID["a huge length"])
        assert decoder.error.__traceback__ is None
        assert not decoder.buffer
        del decoder
        assert gc.collect() == 0
    finally:
        gc.enable()


def test_an_attempt_whose_connection_ended_within_a_frame_keeps_no_input(channel_setup):
    channel, fake, _ = channel_setup
    channel.connection_made(fake)
    channel.send([attempt(1)])
    channel.data_received(answer(value=b"x" * 60_000)[:-1])
    assert len(channel.decoder.buffer) > 60_000
    channel.connection_lost(None)
    assert not channel.decoder.buffer


def test_queued_calls_are_written_later_and_are_returned_for_a_drain(channel_setup):
    channel, fake, owner = channel_setup
    channel.connection_made(fake)
    fake.full = True
    channel.send([attempt(1)])
    channel.send([attempt(2)])
    fake.full, fake.buffered, fake.accepts = False, 0, 1
    channel.resume_writing()
    assert b"q1.2" in fake.written
    fake.full = True
    channel.send([attempt(3)])
    channel.send([attempt(4)])
    assert [a.plan.shard for a in channel.withdraw()] == [4]
    channel.resume_writing()
    assert b"q1.4" not in fake.written
    channel.connection_lost(None)
    assert {i for i, o, _ in owner.ends if o is Outcome.RESET} == {b"q1.1", b"q1.2", b"q1.3"}


def test_a_call_of_which_the_kernel_accepted_nothing_is_returned_and_never_sent(channel_setup):
    channel, fake, owner = channel_setup
    channel.connection_made(fake)
    channel.send([attempt(1)])
    fake.full, fake.accepts = True, 0
    two, three = attempt(2), attempt(3)
    channel.send([two, three])  # lies completely in the buffer above the kernel
    assert channel.begun(attempt(1))
    assert not channel.begun(two)
    assert channel.withdraw() == [two, three]
    assert fake.aborted
    assert owner.ends == [(b"q1.1", Outcome.RESET, None)]


def test_cancelling_a_part_of_an_unsent_call_discards_the_buffer(channel_setup):
    channel, fake, owner = channel_setup
    channel.connection_made(fake)
    fake.full, fake.accepts = True, 0
    two, three = attempt(2), attempt(3)
    channel.send([two, three])
    channel.cancel(two)
    assert fake.aborted
    assert owner.ends == [(b"q1.3", Outcome.CONNECT_FAILED, None)]


def test_an_unsent_cancellation_does_not_make_the_call_before_it_unsent(channel_setup):
    channel, fake, owner = channel_setup
    channel.connection_made(fake)
    one, two = attempt(1), attempt(2)
    channel.send([one, two])
    fake.full = True
    channel.cancel(one)  # a byte of the cancellation is left above the kernel, but the node has the call
    channel.connection_lost(ConnectionResetError())
    assert owner.ends == [(b"q1.2", Outcome.RESET, None)]


def test_an_attempt_past_its_begin_deadline_is_not_written(channel_setup):
    channel, fake, owner = channel_setup
    soon, late = attempt(1), attempt(2)
    soon.begin_by_ms = late.begin_by_ms = 300.0
    channel.send([soon, attempt(3)])
    owner.now = 300.1
    channel.connection_made(fake)
    assert owner.ends == [(b"q1.1", Outcome.NOT_SENT, None)]
    assert b"q1.1" not in fake.written
    assert b"q1.3" in fake.written
    owner.now, fake.full = 299.9, True
    channel.send([attempt(4)])
    channel.send([late])
    owner.now, fake.full, fake.buffered = 300.1, False, 0
    channel.resume_writing()
    assert owner.ends[1:] == [(b"q1.2", Outcome.NOT_SENT, None)]
    assert b"q1.2" not in fake.written


def test_the_node_is_notified_of_a_cancelled_part_and_its_late_answer_is_ignored(channel_setup):
    channel, fake, owner = channel_setup
    channel.connection_made(fake)
    one, two = attempt(1), attempt(2)
    channel.send([one, two])
    channel.cancel(one)
    assert fake.written.endswith(encode_frame(b"c", b"q1.1"))
    assert channel.may_receive_answer(b"q1.1")
    channel.data_received(answer(b"q1.1") + answer(b"q1.2"))
    assert [(i, o) for i, o, _ in owner.ends] == [(b"q1.2", Outcome.OK)]
    assert not fake.aborted
    assert channel.may_receive_answer(b"q1.1")  # a second copy
    assert not owner.faults


def test_a_part_cancelled_before_it_was_sent_is_never_sent(channel_setup):
    channel, fake, _ = channel_setup
    one = attempt(1)
    channel.send([one, attempt(2)])
    channel.cancel(one)
    channel.connection_made(fake)
    assert b"q1.1" not in fake.written
    assert b"q1.2" in fake.written


@pytest.mark.parametrize(
    ("invalid", "outcome_before"),
    [
        (answer(b"q9.9"), Outcome.OK),
        (answer(b"q1.1", b"huh"), Outcome.OK),
        (b"\xff" * 40, Outcome.ERROR),  # the length of the answer before may be wrong
        (encode_frame(b"e", b"cannot read"), Outcome.OK),
        (encode_frame(b"l", b"0.5"), Outcome.OK),
        ((3 << 30).to_bytes(4, "little") + b"aq1.1 served 7 -\n", Outcome.ERROR),
    ],
)
def test_an_invalid_answer_fails_all_parts_in_flight_and_closes_the_connection(channel_setup, invalid, outcome_before):
    channel, fake, owner = channel_setup
    channel.connection_made(fake)
    channel.send([attempt(1), attempt(2), attempt(3)])
    channel.data_received(answer(b"q1.3") + invalid)
    assert {i: o for i, o, _ in owner.ends} == {
        b"q1.1": Outcome.ERROR,
        b"q1.2": Outcome.ERROR,
        b"q1.3": outcome_before,
    }
    assert fake.aborted
    assert owner.faults
    channel.connection_lost(None)
    assert len(owner.ends) == 3
    assert owner.forgotten == [channel]


def test_a_duplicate_answer_counts_once_and_closes_the_connection(channel_setup):
    channel, fake, owner = channel_setup
    channel.connection_made(fake)
    channel.send([attempt(1)])
    channel.data_received(answer(b"q1.1") * 2)
    assert [o for _, o, _ in owner.ends] == [Outcome.OK]
    assert fake.aborted


def test_a_frame_that_never_ends_times_out(channel_setup):
    channel, fake, owner = channel_setup
    channel.connection_made(fake)
    channel.send([attempt(1)])
    channel.data_received(answer(b"q1.1")[:-3])
    channel.loop.now = 0.2
    assert not channel.stalled(0.2, 0.25)
    channel.data_received(b"f")  # single bytes do not complete the frame
    assert channel.stalled(0.3, 0.25)
    assert owner.ends == [(b"q1.1", Outcome.ERROR, None)]
    assert fake.aborted


def test_the_number_of_remembered_cancellations_is_bounded(channel_setup):
    channel, fake, owner = channel_setup
    channel.connection_made(fake)
    for n in range(1000):
        one = attempt(1, query=b"q%d" % n)
        channel.send([one])
        channel.cancel(one)
    assert len(channel.cancelled) == 4 * owner.streams
    assert not channel.in_flight


# -- on sockets


class RecordedEnds(list):
    def __call__(self, attempt, outcome, value, report):
        self.append((attempt.plan.shard, outcome, value))


async def transport_to(*ports, **limits):
    ends = RecordedEnds()
    limits = {
        "streams": 2,
        "connections": 10,
        "connect_timeout_s": 1.0,
        "idle_s": 30.0,
        "stall_s": 0.25,
        "part_id_retention_s": 6.0,
    } | limits
    addresses = {i + 1: ("127.0.0.1", port) for i, port in enumerate(ports)}
    transport = FrameTransport(FRAMES, FrameLimits(**limits), lambda n: addresses.get(n), ends, lambda *_: None)
    return transport, ends, addresses


@contextlib.asynccontextmanager
async def node_with_transport(behave=Part.served, **limits):
    """A node, a transport that is connected to it as node 1, and the ends of attempts."""
    node = FrameNode(behave)
    transport, ends, _ = await transport_to(await node.start(), **limits)
    try:
        yield node, transport, ends
    finally:
        transport.close()
        node.stop()


def test_a_connection_carries_no_more_parts_than_the_limit():
    async def main():
        node = FrameNode(lambda part: None)
        transport, ends, _ = await transport_to(await node.start())
        transport.send(1, [attempt(1), attempt(2)])
        transport.send(1, [attempt(3)])
        await until(lambda: len(node.parts()) == 3)
        assert node.accepted == 2
        assert [len(c) for c in node.calls] in ([2, 1], [1, 2])
        for part in node.parts():
            part.served()
        await until(lambda: len(ends) == 3)
        transport.send(1, [attempt(4)])
        await until(lambda: len(node.parts()) == 4)
        assert node.accepted == 2
        assert transport.open == 2
        transport.close()
        node.stop()

    run(main)


def test_large_texts_do_not_share_a_call():
    # A call of 16 parts with 60 KB each lay in the write buffer of each connection to a node that reads nothing.
    async def main():
        node = FrameNode(lambda part: None)
        transport, _, _ = await transport_to(await node.start(), streams=8)
        large, small = b"x" * 30_000, b"y" * 100
        transport.send(1, [attempt(n, text=large) for n in range(5)] + [attempt(n, text=small) for n in range(5, 8)])
        await until(lambda: len(node.parts()) == 8)
        assert [len(call) for call in node.calls] == [2, 2, 4]
        assert node.accepted == 1
        transport.close()
        node.stop()

    run(main)


class StubbornSocket(socket.socket):
    """A socket that takes nothing at first, then one write, and fails with each further one."""

    def __init__(self, fileno):
        super().__init__(fileno=fileno)
        self.outcomes = [BlockingIOError, None]

    def send(self, data, *flags):
        outcome = self.outcomes.pop(0) if self.outcomes else ConnectionResetError
        if outcome is not None:
            raise outcome
        return super().send(data, *flags)


def test_a_write_that_fails_as_writing_resumes_ends_the_connection_once():
    # asyncio called connection_lost twice and logged a traceback: the call was written within its own callback.
    async def main():
        loop, errors = asyncio.get_running_loop(), []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        stubborn = StubbornSocket(ours.detach())
        stubborn.setblocking(False)
        owner = Owner()
        channel = Channel(owner, 1, loop)
        await loop.create_connection(lambda: channel, sock=stubborn)
        channel.send([attempt(1)])
        channel.send([attempt(2)])
        await until(lambda: channel.ended)
        await asyncio.sleep(0.05)
        assert errors == []
        assert [(i, o) for i, o, _ in owner.ends] == [(b"q1.1", Outcome.RESET), (b"q1.2", Outcome.RESET)]
        theirs.close()

    run(main)


def test_attempts_beyond_the_connection_limit_end_as_not_sent():
    async def main():
        node = FrameNode(lambda part: None)
        transport, ends, _ = await transport_to(await node.start(), connections=1, streams=1)
        transport.send(1, [attempt(1)])
        transport.send(1, [attempt(2)])
        assert ends == [(2, Outcome.NOT_SENT, None)]
        transport.close()
        node.stop()

    run(main)


def test_a_retry_on_the_same_node_uses_another_connection_while_the_first_answer_may_arrive():
    async def main():
        async with node_with_transport(lambda part: None) as (node, transport, ends):
            first = attempt(1)
            transport.send(1, [first])
            await until(lambda: node.parts())
            transport.cancel(first)
            transport.send(1, [attempt(1, 1)])
            await until(lambda: len(node.parts()) == 2)
            assert node.accepted == 2
            node.parts()[0].connection.send(node.parts()[0].answer(b"skipped"))
            node.parts()[1].served()
            await until(lambda: ends)
            assert ends == [(1, Outcome.OK, node.parts()[1].value())]

    run(main)


def test_outcomes_for_the_ends_of_connections():
    async def main():
        node = FrameNode(lambda part: None)
        port = await node.start()
        transport, ends, addresses = await transport_to(port)
        transport.send(1, [attempt(1)])
        await until(lambda: node.parts())
        node.stop()
        await until(lambda: ends)
        assert ends.pop() == (1, Outcome.RESET, None)
        assert transport.open == 0
        transport.send(1, [attempt(2)])
        await until(lambda: ends)
        assert ends.pop() == (2, Outcome.CONNECT_FAILED, None)
        assert transport.open == 0
        transport.send(7, [attempt(3)])
        assert ends.pop() == (3, Outcome.NOT_SENT, None)  # not on the list
        assert not transport.channels
        assert not transport.addresses

    run(main)


def test_no_attempt_waits_for_a_connection_to_a_node_that_drains_or_moved():
    # A connection that is established late can outlast the drain grace period. Guards against two faults: attempts that
    # were decided on in the turn of the drain were handed over after it, and attempts that waited on a connection
    # retired by a new address were never returned.
    async def main():
        node = FrameNode(lambda part: None)
        port = await node.start()
        transport, ends, addresses = await transport_to(port)
        transport.send(1, [attempt(1)])  # its connection is not established yet
        transport.start_draining(1)
        transport.send(1, [attempt(2)])
        assert [(shard, how) for shard, how, _ in ends] == [(1, Outcome.NOT_SENT), (2, Outcome.NOT_SENT)]
        transport.end_draining(1)
        transport.send(1, [attempt(3)])
        addresses[1] = ("127.0.0.1", port + 1 if port < 65535 else port - 1)
        transport.update_addresses(addresses)
        assert ends[2][:2] == (3, Outcome.NOT_SENT)
        assert not transport.channels
        addresses[1] = ("127.0.0.1", port)
        transport.send(1, [attempt(4)])
        await until(lambda: node.parts())
        assert [part.shard for part in node.parts()] == [4]
        transport.start_draining(1)
        transport.update_addresses({})
        assert len(ends) == 3
        assert not transport.draining
        transport.close()
        node.stop()

    run(main)


def test_a_new_address_uses_a_new_connection_and_the_old_one_ends_with_its_last_answer():
    async def main():
        old, new = FrameNode(lambda part: None), FrameNode()
        transport, ends, addresses = await transport_to(await old.start())
        transport.send(1, [attempt(1)])
        await until(lambda: old.parts())
        addresses[1] = ("127.0.0.1", await new.start())
        transport.send(1, [attempt(2)])
        await until(lambda: ends)
        assert ends == [(2, Outcome.OK, new.parts()[0].value())]
        transport.sweep(asyncio.get_running_loop().time())
        assert old.connections
        old.parts()[0].served()
        await until(lambda: len(ends) == 2)
        transport.sweep(asyncio.get_running_loop().time())
        await until(lambda: not old.connections)
        assert ends[1][1] is Outcome.OK
        assert transport.open == 1
        assert not transport.retired
        transport.close()
        old.stop()
        new.stop()

    run(main)


def test_nothing_is_written_to_a_connection_that_was_idle_for_long():
    async def main():
        node = FrameNode()
        transport, ends, _ = await transport_to(await node.start())
        transport.send(1, [attempt(1)])
        await until(lambda: ends)
        (channel,) = transport.channels[1]
        channel.last_used -= 29.0
        transport.send(1, [attempt(2)])
        await until(lambda: len(ends) == 2)
        assert node.accepted == 2
        assert transport.open == 1
        transport.close()
        node.stop()

    run(main)


def test_a_connection_abandoned_while_it_is_opened_is_closed():
    async def main():
        node = FrameNode()
        transport, ends, _ = await transport_to(await node.start())
        one = attempt(1)
        transport.send(1, [one])
        transport.cancel(one)
        transport.close_idle(1)
        await until(lambda: transport.open == 0)
        assert not ends
        assert not node.connections
        assert not node.calls
        node.stop()

    run(main)


def test_the_simulated_node_parses_the_header_line_of_a_part():
    part = Part(None, b"q1.3 3 d=240,k=abc 8", b"c41e77d0")
    assert (part.id, part.shard, part.wait_ms, part.key) == (b"q1.3", 3, 240, b"abc")
    with pytest.raises(ValueError, match="a list with"):
        Part(None, b"q1.3 3 d=240,z=1 8", b"c41e77d0")
