"""The cost of encoding and decoding a query: its request and answer in HTTP, its calls and their answers in frames.

The product's own protocols are given bytes directly. There is no socket, so the kernel's share is not included.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import cast

import msgspec

from badgerbend.api import Outcome
from badgerbend.frames import codec
from badgerbend.frames.channel import Channel
from badgerbend.net.server import HttpServer
from badgerbend.net.server_connection import ServerConnection
from badgerbend.net.server_limits import ServerLimits
from badgerbend.platform import names
from badgerbend.platform.front import Front
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.ports import Attempt, PartPlan, QueryPlan, Sink
from scale.target import CLASS, TENANT, configuration

TEXT = "SELECT id, lender, monthly FROM rates WHERE amount = 5000 AND term = 36 ORDER BY monthly LIMIT 20"
VALUE = b"0123456789abcdef"
TIME_LEFT_MS = 540.0
MAX_FRAME = 65_536


def request(number: int, shards: Sequence[int]) -> bytes:
    """Encodes a client's query over these shards as an HTTP request."""
    fields = names.PART_FIELDS
    parts = [
        {
            fields["shard"]: shard,
            fields["weight"]: 1 / len(shards),
            fields["cost_us"]: 900.0,
            fields["token"]: f"{shard:016x}",
        }
        for shard in shards
    ]
    body = msgspec.json.encode({names.REQUEST_FIELDS["parts"]: parts, names.REQUEST_FIELDS["text"]: TEXT})
    head = b"POST /%s/a HTTP/1.1\r\nhost: b0\r\n%s: q%d\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\ncontent-length: %d\r\n\r\n" % (
        CLASS.encode(),
        names.ID,
        number,
        names.CLASS,
        CLASS.encode(),
        names.TENANT,
        TENANT.encode(),
        names.TIME_LEFT,
        int(TIME_LEFT_MS),
        len(body),
    )
    return head + body


def answer_frame(part: bytes) -> bytes:
    """Encodes a node's answer for one part as a frame."""
    return codec.encode_frame(names.FRAMES.answer, b"%s served 7 -\n%s" % (part, VALUE))


@dataclass(slots=True)
class RecordingTransport:
    """Stands in for asyncio's transport: keeps all bytes and accepts them without delay."""

    data: list[bytes] = field(default_factory=list)

    def write(self, data: bytes) -> None:
        self.data.append(data)

    def is_closing(self) -> bool:
        return False

    def get_extra_info(self, name: str) -> None:
        """Returns None, since there is no socket."""

    def set_write_buffer_limits(self, high: int) -> None:
        """Does nothing, since nothing is buffered."""

    def get_write_buffer_size(self) -> int:
        return 0

    def abort(self) -> None:
        """Does nothing, since no connection is open."""


class RecordingDriver:
    """Stands in for the driver: keeps the queries that the front end submits, and their sinks."""

    def __init__(self) -> None:
        self.submitted: list[tuple[QueryPlan, Sink]] = []

    def submit(self, plan: QueryPlan, sink: Sink) -> int:
        self.submitted.append((plan, sink))
        return len(self.submitted)


class ChannelOwner:
    """Stands in for the transport: keeps the outcomes of attempts."""

    def __init__(self) -> None:
        self.names, self.streams, self.max_frame = names.FRAMES, 64, MAX_FRAME
        self.part_id_retention_s = TIME_LEFT_MS / 1000.0
        self.ends: list[tuple[Outcome, bytes | None]] = []

    def now_ms(self) -> float:
        return time.monotonic() * 1000.0

    def ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None) -> None:
        self.ends.append((outcome, value))

    def wanted(self, attempt: Attempt) -> bool:
        """No client leaves, so every attempt is still wanted."""
        return True

    def forget(self, channel: Channel) -> None:
        """Channels stay up."""

    def freed(self, channel: Channel) -> None:
        """Channels stay up."""

    def give_up(self, channel: Channel) -> None:
        """Channels stay up."""

    def report_fault(self, what: str, detail: str) -> None:
        raise ValueError(f"{what}: {detail}")


class ImmediateLoop:
    """An event loop for channels. What is to be called later is called at once, so that an answer counts at once."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.time, self.call_soon = loop.time, loop.call_soon

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        callback()


@dataclass(frozen=True, slots=True)
class BytesCost:
    """The cost of one query: processor time in seconds, and bytes. channel_s includes codec_s."""

    http_s: float
    channel_s: float
    codec_s: float
    client_bytes: int  # request and answer
    node_bytes: int  # calls and answers


class QueryBytes:
    """One client's connection and one channel for each part, on a running event loop."""

    def __init__(self, parts: int, cells: int) -> None:
        loop = asyncio.get_running_loop()
        config = configuration(cells)
        self.shards = range(min(parts, config.shards))
        self.driver = RecordingDriver()
        front = Front(config, cast(Driver, self.driver), lambda: True)
        self.client = RecordingTransport()
        self.connection = ServerConnection(HttpServer(front.handle, ServerLimits()), loop)
        self.connection.connection_made(cast(asyncio.Transport, self.client))
        self.owner = ChannelOwner()
        self.transports = [RecordingTransport() for _ in self.shards]
        channel_loop = cast(asyncio.AbstractEventLoop, ImmediateLoop(loop))
        self.channels = [Channel(self.owner, node, channel_loop) for node in self.shards]
        for channel, transport in zip(self.channels, self.transports, strict=True):
            channel.connection_made(cast(asyncio.Transport, transport))

    def query(self, number: int) -> BytesCost:
        """Passes one query through all protocols. Raises ValueError if its answer is incomplete."""
        data = request(number, self.shards)
        began_reading = time.process_time()
        self.connection.data_received(data)
        read_s = time.process_time() - began_reading
        plan, sink = self.driver.submitted.pop()
        channel_s = self._channel_s(plan.parts, number)
        codec_s, node_bytes = self._codec_cost(plan.parts)
        results = [(part, cast(object, VALUE)) for part in plan.parts]
        began = time.process_time()
        sink.answered(results, True)
        http_s = read_s + time.process_time() - began
        answer = b"".join(self.client.data)
        self.client.data.clear()
        if answer.count(VALUE) != len(self.shards):
            raise ValueError(f"incomplete answer: {answer[:200]!r}")
        return BytesCost(http_s, channel_s, codec_s, len(data) + len(answer), node_bytes)

    def _channel_s(self, parts: Sequence[PartPlan], number: int) -> float:
        """Returns the seconds that channels take to write calls and read answers, including the codec."""
        now_ms = self.owner.now_ms()
        attempts = [
            Attempt(i, 0, i, part, number, now_ms, TIME_LEFT_MS, now_ms + TIME_LEFT_MS) for i, part in enumerate(parts)
        ]
        answers = [answer_frame(_request_of(part).id) for part in parts]
        began = time.process_time()
        for channel, attempt, answer in zip(self.channels, attempts, answers, strict=True):
            channel.send([attempt])
            channel.data_received(answer)
        channel_s = time.process_time() - began
        served, self.owner.ends = [end for end in self.owner.ends if end == (Outcome.OK, VALUE)], []
        if len(served) != len(parts):
            raise ValueError(f"{len(served)} of {len(parts)} parts were answered")
        for transport in self.transports:
            transport.data.clear()
        return channel_s

    def _codec_cost(self, parts: Sequence[PartPlan]) -> tuple[float, int]:
        """Returns the seconds of the codec alone, and the bytes to and from the nodes."""
        answers = [answer_frame(_request_of(part).id) for part in parts]
        decoder, size = codec.Decoder(names.FRAMES, MAX_FRAME), 0
        began = time.process_time()
        for part, answer in zip(parts, answers, strict=True):
            size += len(codec.encode_call(names.FRAMES, [(_request_of(part), TIME_LEFT_MS)]))
            decoder.feed(answer)
        return time.process_time() - began, size + sum(map(len, answers))


def _request_of(part: PartPlan) -> codec.PartRequest:
    assert isinstance(part.payload, codec.PartRequest)
    return part.payload
