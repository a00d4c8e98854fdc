"""Frames: bytes in any pieces, spoilt answers, and what each end of a connection says of the parts that were out."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend.api import Outcome
from badgerbend.frames.channel import Channel
from badgerbend.frames.codec import MAX_LINE, ControlFrame, Decoder, PartAnswer, PartRequest, encode_call, encode_frame
from badgerbend.frames.transport import FrameLimits, FrameTransport
from badgerbend.platform.names import FRAMES
from badgerbend.runtime.ports import Attempt, PartPlan
from badgerbend.standin.framenode import FrameNode, Part
from tests.platform_stage import run
from tests.sockets import until

MOST = 65_536


def answer(part=b"q1.3", end=b"served", value=b"0123456789abcdef", score=b"7", report=b"-"):
    return encode_frame(b"a", b"%s %s %s %s\n%s" % (part, end, score, report, value))


def fed(*pieces):
    decoder = Decoder(FRAMES, MOST)
    out = [m for piece in pieces for m in decoder.feed(piece)]
    return out, decoder


def test_a_call_has_a_line_and_a_text_for_each_part():
    ask = [(PartRequest(b"q1.3", 3, None, b"c41e77d0"), 240.9), (PartRequest(b"q2.5", 5, b"k9", b"x\ny"), 0.2)]
    rest = b"q1.3 3 d=240 8\nc41e77d0q2.5 5 d=1,k=k9 3\nx\ny"
    assert encode_call(FRAMES, ask) == (len(rest) + 1).to_bytes(4, "little") + b"q" + rest


@given(st.lists(st.integers(1, 40), max_size=30), st.sampled_from([b"-", b"{}", b"what ever"]))
def test_any_pieces_give_the_same_messages(sizes, report):
    stream = answer(report=report) + answer(b"q1.4", b"skipped", b"") + encode_frame(b"p", b"served") + answer(b"q.5")
    pieces, at = [], 0
    for size in sizes:
        pieces.append(stream[at : at + size])
        at += size
    got, decoder = fed(*pieces, stream[at:])
    assert got == fed(stream)[0] == fed(*(stream[i : i + 1] for i in range(len(stream))))[0]
    assert got[:2] == [
        PartAnswer(b"q1.3", Outcome.OK, report, b"0123456789abcdef"),
        PartAnswer(b"q1.4", Outcome.REJECTED, b"-", b""),
    ]
    assert got[2] == ControlFrame(b"p", b"served")
    assert not decoder.inside
    assert decoder.error is None


SPOILT = {
    "noise": b"\x93\x01\xfe\xd0\x11\x7f",
    "a length of nothing": b"\0\0\0\0a",
    "gigabytes": (3 << 30).to_bytes(4, "little") + b"aq1.3 served 7 -\n" + b"x" * 100,
    "one more than may come": (MOST + 1).to_bytes(4, "little"),
    "an unknown letter": encode_frame(b"z", b"q1.3 served 7 -\nabc"),
    "an unknown letter, not whole": (500).to_bytes(4, "little") + b"z",
    "an unknown end": answer(end=b"sorted"),
    "an unknown end, not whole": answer(end=b"sorted", value=b"x" * 900)[:60],
    "a line without an end": encode_frame(b"a", b"q1.3 served 7 -" + b"y" * 600),
    "a line without an end, not whole": (MOST).to_bytes(4, "little") + b"a" + b"y" * MAX_LINE,
    "a short line": encode_frame(b"a", b"q1.3 served\nabc"),
    "a score that is none": answer(score=b"high"),
    "no id": answer(part=b""),
    "served without a value": answer(value=b""),
    "a value that is no text": answer(value=b"\xff\xfe\xfd"),
}


@pytest.mark.parametrize("what", SPOILT)
def test_spoilt_bytes_are_an_error_and_what_came_before_counts(what):
    got, decoder = fed(answer(), SPOILT[what])
    assert len(got) == 1
    assert decoder.error is not None
    assert decoder.feed(answer()) == []
    assert len(decoder.buffer) <= MOST


@given(st.binary(max_size=400))
def test_no_bytes_break_the_decoder(data):
    _, decoder = fed(data[: len(data) // 2], data[len(data) // 2 :])
    assert decoder.error is not None or len(decoder.buffer) <= len(data)


# -- one connection, with the kernel's side played by hand


class Kernel:
    """A transport that takes all or, when `full`, `takes` bytes of what comes next and then nothing."""

    def __init__(self):
        self.written, self.full, self.channel, self.aborted = b"", False, None, False
        self.left, self.takes = 0, 1

    def set_write_buffer_limits(self, high):
        assert high == 0

    def write(self, data):
        self.written += data
        if self.full:
            taken, self.takes = min(self.takes, len(data)), max(self.takes - len(data), 0)
            self.left += len(data) - taken
            self.channel.pause_writing()

    def get_write_buffer_size(self):
        return self.left

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True


class Owner:
    names, streams, max_frame = FRAMES, 8, MOST

    def __init__(self):
        self.ends, self.troubles, self.forgotten = [], [], []

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
        self.troubles.append(detail)


class Now:
    now = 0.0

    def time(self):
        return self.now


def attempt(shard, number=0, query=b"q1", text=b"text"):
    """Decided now: on the running loop's clock, or at the 0 of a test without one."""
    ask = PartRequest(b"%s.%d" % (query, shard), shard, None, text)
    try:
        sent_ms = asyncio.get_running_loop().time() * 1000.0
    except RuntimeError:
        sent_ms = 0.0
    return Attempt(shard, number, 1, PartPlan(shard, 0.5, None, ask), 1, sent_ms, 1000.0)


@pytest.fixture
def scene():
    owner, kernel = Owner(), Kernel()
    channel = kernel.channel = Channel(owner, 1, Now())
    return channel, kernel, owner


def test_nothing_that_waits_for_the_connection_has_run_if_it_never_comes_up(scene):
    channel, _, owner = scene
    channel.send([attempt(1), attempt(2)])
    channel.failed_to_connect()
    assert [(i, o) for i, o, _ in owner.ends] == [(b"q1.1", Outcome.CONNECT_FAILED), (b"q1.2", Outcome.CONNECT_FAILED)]
    assert owner.forgotten == [channel]


def test_what_was_written_whole_may_have_run_and_the_rest_never_did(scene):
    channel, kernel, owner = scene
    channel.connection_made(kernel)
    channel.send([attempt(1)])
    kernel.full = True
    channel.send([attempt(2)])  # its last byte stays above the kernel
    channel.send([attempt(3)])  # waits here
    assert b"q1.2" in kernel.written
    assert b"q1.3" not in kernel.written
    channel.connection_lost(ConnectionResetError())
    assert {i: o for i, o, _ in owner.ends} == {
        b"q1.1": Outcome.RESET,
        b"q1.2": Outcome.CONNECT_FAILED,
        b"q1.3": Outcome.CONNECT_FAILED,
    }


def test_what_waits_goes_out_when_the_kernel_takes_more_and_comes_back_for_a_drain(scene):
    channel, kernel, owner = scene
    channel.connection_made(kernel)
    kernel.full = True
    channel.send([attempt(1)])
    channel.send([attempt(2)])
    kernel.full, kernel.left, kernel.takes = False, 0, 1
    channel.resume_writing()
    assert b"q1.2" in kernel.written
    kernel.full = True
    channel.send([attempt(3)])
    channel.send([attempt(4)])
    assert [a.plan.shard for a in channel.withdraw()] == [4]
    channel.resume_writing()
    assert b"q1.4" not in kernel.written
    channel.connection_lost(None)
    assert {i for i, o, _ in owner.ends if o is Outcome.RESET} == {b"q1.1", b"q1.2", b"q1.3"}


def test_a_call_of_which_the_kernel_took_nothing_comes_back_and_never_leaves(scene):
    channel, kernel, owner = scene
    channel.connection_made(kernel)
    channel.send([attempt(1)])
    kernel.full, kernel.takes = True, 0
    two, three = attempt(2), attempt(3)
    channel.send([two, three])  # lies whole in the buffer above the kernel
    assert channel.begun(attempt(1))
    assert not channel.begun(two)
    assert channel.withdraw() == [two, three]
    assert kernel.aborted
    assert owner.ends == [(b"q1.1", Outcome.RESET, None)]


def test_a_part_given_up_in_a_call_not_begun_takes_its_buffer_along(scene):
    channel, kernel, owner = scene
    channel.connection_made(kernel)
    kernel.full, kernel.takes = True, 0
    two, three = attempt(2), attempt(3)
    channel.send([two, three])
    channel.cancel(two)
    assert kernel.aborted
    assert owner.ends == [(b"q1.3", Outcome.CONNECT_FAILED, None)]


def test_a_word_on_another_part_behind_a_call_does_not_prove_that_the_call_never_left(scene):
    channel, kernel, owner = scene
    channel.connection_made(kernel)
    one, two = attempt(1), attempt(2)
    channel.send([one, two])
    kernel.full = True
    channel.cancel(one)  # a byte of this word is left above the kernel; the call is the node's
    channel.connection_lost(ConnectionResetError())
    assert owner.ends == [(b"q1.2", Outcome.RESET, None)]


def test_what_is_late_to_begin_is_not_written_when_the_connection_comes_up_or_takes_more(scene):
    channel, kernel, owner = scene
    soon, late = attempt(1), attempt(2)
    soon.begin_by_ms = late.begin_by_ms = 300.0
    channel.send([soon, attempt(3)])
    owner.now = 300.1
    channel.connection_made(kernel)
    assert owner.ends == [(b"q1.1", Outcome.NOT_SENT, None)]
    assert b"q1.1" not in kernel.written
    assert b"q1.3" in kernel.written
    owner.now, kernel.full = 299.9, True
    channel.send([attempt(4)])
    channel.send([late])
    owner.now, kernel.full, kernel.left = 300.1, False, 0
    channel.resume_writing()
    assert owner.ends[1:] == [(b"q1.2", Outcome.NOT_SENT, None)]
    assert b"q1.2" not in kernel.written


def test_a_part_given_up_is_told_to_the_node_and_its_late_answer_changes_nothing(scene):
    channel, kernel, owner = scene
    channel.connection_made(kernel)
    one, two = attempt(1), attempt(2)
    channel.send([one, two])
    channel.cancel(one)
    assert kernel.written.endswith(encode_frame(b"c", b"q1.1"))
    assert channel.knows(b"q1.1")
    channel.data_received(answer(b"q1.1") + answer(b"q1.2"))
    assert [(i, o) for i, o, _ in owner.ends] == [(b"q1.2", Outcome.OK)]
    assert not kernel.aborted
    assert not channel.knows(b"q1.1")
    assert not owner.troubles


def test_a_part_given_up_before_it_was_sent_is_never_sent(scene):
    channel, kernel, _ = scene
    one = attempt(1)
    channel.send([one, attempt(2)])
    channel.cancel(one)
    channel.connection_made(kernel)
    assert b"q1.1" not in kernel.written
    assert b"q1.2" in kernel.written


@pytest.mark.parametrize(
    "spoil",
    [
        answer(b"q9.9"),
        answer(b"q1.1", b"huh"),
        b"\xff" * 40,
        encode_frame(b"e", b"cannot read"),
        encode_frame(b"l", b"0.5"),
        (3 << 30).to_bytes(4, "little") + b"aq1.1 served 7 -\n",
    ],
)
def test_a_spoilt_answer_fails_all_that_is_out_and_ends_the_connection(scene, spoil):
    channel, kernel, owner = scene
    channel.connection_made(kernel)
    channel.send([attempt(1), attempt(2), attempt(3)])
    channel.data_received(answer(b"q1.3") + spoil)
    assert {i: o for i, o, _ in owner.ends} == {
        b"q1.1": Outcome.ERROR,
        b"q1.2": Outcome.ERROR,
        b"q1.3": Outcome.OK,
    }
    assert kernel.aborted
    assert owner.troubles
    channel.connection_lost(None)
    assert len(owner.ends) == 3
    assert owner.forgotten == [channel]


def test_a_second_copy_right_behind_counts_once_and_the_connection_is_not_used_again(scene):
    channel, kernel, owner = scene
    channel.connection_made(kernel)
    channel.send([attempt(1)])
    channel.data_received(answer(b"q1.1") * 2)
    assert [o for _, o, _ in owner.ends] == [Outcome.OK]
    assert kernel.aborted


def test_a_frame_that_never_ends_is_given_up(scene):
    channel, kernel, owner = scene
    channel.connection_made(kernel)
    channel.send([attempt(1)])
    channel.data_received(answer(b"q1.1")[:-3])
    channel.loop.now = 0.2
    assert not channel.stalled(0.2, 0.25)
    channel.data_received(b"f")  # a byte now and then is no frame
    assert channel.stalled(0.3, 0.25)
    assert owner.ends == [(b"q1.1", Outcome.ERROR, None)]
    assert kernel.aborted


def test_parts_given_up_are_remembered_within_bounds(scene):
    channel, kernel, owner = scene
    channel.connection_made(kernel)
    for n in range(1000):
        one = attempt(1, query=b"q%d" % n)
        channel.send([one])
        channel.cancel(one)
    assert len(channel.calls_off) == 4 * owner.streams
    assert not channel.out


# -- on sockets


class Ends(list):
    def __call__(self, attempt, outcome, value, report):
        self.append((attempt.plan.shard, outcome, value))


async def transport_to(*ports, **limits):
    ends = Ends()
    limits = {"streams": 2, "connections": 10, "connect_timeout_s": 1.0, "idle_s": 30.0, "stall_s": 0.25} | limits
    addresses = {i + 1: ("127.0.0.1", port) for i, port in enumerate(ports)}
    made = FrameTransport(FRAMES, FrameLimits(**limits), lambda n: addresses.get(n), ends, lambda *_: None)
    return made, ends, addresses


def test_a_connection_carries_no_more_parts_than_allowed():
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


def test_no_further_connections_than_allowed_and_the_module_is_told():
    async def main():
        node = FrameNode(lambda part: None)
        transport, ends, _ = await transport_to(await node.start(), connections=1, streams=1)
        transport.send(1, [attempt(1)])
        transport.send(1, [attempt(2)])
        assert ends == [(2, Outcome.NOT_SENT, None)]
        transport.close()
        node.stop()

    run(main)


def test_one_part_again_on_a_node_goes_on_another_connection_while_its_first_answer_may_come():
    async def main():
        node = FrameNode(lambda part: None)
        transport, ends, _ = await transport_to(await node.start())
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
        transport.close()
        node.stop()

    run(main)


def test_ends_of_connections_as_outcomes():
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


def test_nothing_waits_for_a_connection_to_a_node_that_drains_or_has_moved():
    # A connection that comes up late outlasts the grace of a drain. What one turn decided and heard of at once was
    # handed over after the news; what waited on a connection retired by a new address was never taken back.
    async def main():
        node = FrameNode(lambda part: None)
        port = await node.start()
        transport, ends, addresses = await transport_to(port)
        transport.send(1, [attempt(1)])  # its connection is not up yet
        transport.drains(1)
        transport.send(1, [attempt(2)])
        assert [(shard, how) for shard, how, _ in ends] == [(1, Outcome.NOT_SENT), (2, Outcome.NOT_SENT)]
        transport.ready(1)
        transport.send(1, [attempt(3)])
        addresses[1] = ("127.0.0.1", port + 1 if port < 65535 else port - 1)
        transport.moved(addresses)
        assert ends[2][:2] == (3, Outcome.NOT_SENT)
        assert not transport.channels
        addresses[1] = ("127.0.0.1", port)
        transport.send(1, [attempt(4)])
        await until(lambda: node.parts())
        assert [part.shard for part in node.parts()] == [4]
        transport.drains(1)
        transport.moved({})
        assert len(ends) == 3
        assert not transport.leaving
        transport.close()
        node.stop()

    run(main)


def test_a_node_on_a_new_address_is_another_connection_and_the_old_one_ends_with_its_last_answer():
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


def test_a_connection_that_idled_long_is_not_written_to():
    async def main():
        node = FrameNode()
        transport, ends, _ = await transport_to(await node.start())
        transport.send(1, [attempt(1)])
        await until(lambda: ends)
        (channel,) = transport.channels[1]
        channel.since -= 29.0
        transport.send(1, [attempt(2)])
        await until(lambda: len(ends) == 2)
        assert node.accepted == 2
        assert transport.open == 1
        transport.close()
        node.stop()

    run(main)


def test_a_connection_given_up_while_it_opens_is_not_kept():
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


def test_the_stand_in_reads_what_is_sent_as_the_protocol_has_it():
    part = Part(None, b"q1.3 3 d=240,k=abc 8", b"c41e77d0")
    assert (part.id, part.shard, part.wait_ms, part.key) == (b"q1.3", 3, 240, b"abc")
    with pytest.raises(ValueError, match="a list with"):
        Part(None, b"q1.3 3 d=240,z=1 8", b"c41e77d0")
