"""Runs a broker process with clients that send many requests at once on a connection, and checks each response.

Requests come in pieces; some clients leave, some read slowly; the process is paused and in the end asked to stop. Each
response must be in its place, with the values of its own request, and in time. Many seeds are run by
`benchmarks/fault_soak.py --pipelining`, a few by tests/test_pipelining_soak.py.
"""

import asyncio
import math
import signal
import socket
import time
from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

import msgspec

from badgerbend.standin.framenode import Part
from tests.broker_process import HOST, Answer, read_answer, request
from tests.fault_soak import DEADLINES_MS, LATE_ANSWER_S, PAUSE_S, Sent, Soak
from tests.platform_stage import SHARDS

CLIENTS = 8
MAX_OUTSTANDING = 20  # requests of one client
PIECE_BYTES = (200, 600)
PIECE_INTERVAL_S = (0.001, 0.005)
RUN_S = 4.0
PAUSES = 3
RECEIVE_BUFFER_BYTES = 4096  # of a client that reads slowly, so that the broker's output is blocked
SLOW_READ_S = 0.05
LARGE_VALUE_REPEATS = 400
DELIVERY_S = 0.2  # what was sent this long before the end of its connection had reached the broker


class Kind(Enum):
    """How a client behaves beside sending."""

    USUAL = auto()
    READS_SLOWLY = auto()
    LEAVES = auto()


@dataclass(slots=True)
class PipelinedRequest(Sent):
    """A request on a connection. reads_at_once: whether the time of its answer can be judged."""

    parts: tuple[int, ...] = ()
    reads_at_once: bool = True


def value_of(part_id, text):
    """The value that a node gives for a part; every third one is large."""
    part = Part(None, b"%s 0 d=1 0" % part_id, text)
    return part.value() * (LARGE_VALUE_REPEATS if sum(part_id) % 3 == 0 else 1)


class PipeliningSoak(Soak):
    """One random run, determined by its seed."""

    def plan(self):
        return None

    def behave(self, part):
        """Answers after a random delay; some parts are never answered."""
        draw = self.random.random()
        if draw < 0.02:
            return
        delay_s = self.random.expovariate(1 / 0.01)
        asyncio.get_running_loop().call_later(delay_s, self._answer, part)

    @staticmethod
    def _answer(part):
        part.connection.send(part.answer(b"served", value_of(part.id, part.text)))

    async def _inject_faults(self, broker):
        """Pauses the process several times."""
        for _ in range(PAUSES):
            await asyncio.sleep(self.fault_random.uniform(0.3, 1.0))
            self.pause_s = PAUSE_S
            broker.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_S)
            broker.process.send_signal(signal.SIGCONT)

    async def _client(self, broker):
        while time.monotonic() < self.term_at:
            kind = self.random.choice([Kind.USUAL, Kind.USUAL, Kind.READS_SLOWLY, Kind.LEAVES])
            sock = socket.socket()
            if kind is Kind.READS_SLOWLY:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            try:
                await asyncio.get_running_loop().sock_connect(sock, (HOST, broker.port))
            except OSError:
                sock.close()
                await asyncio.sleep(0.05)
                continue
            reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BUFFER_BYTES * 16)
            await PipeliningClient(self, reader, writer, kind).run()

    # -- checks
    def _check_answer(self, sent, attempts):
        outgoing, answer = sent.request, sent.answer
        if answer is not None and answer.status == 200:
            self._check_values(sent)
        if sent.left_at is not None:
            return
        if answer.status is None:
            reached = answer.at > outgoing.sent_at + DELIVERY_S + self.pause_s + self.slack_s
            is_excused = outgoing.sent_at > self.term_at - DELIVERY_S
            if (attempts or reached) and not is_excused:
                self.violations.append(f"lost: {outgoing.name} was not answered")
            return
        late_s = answer.at - outgoing.sent_at - outgoing.deadline_ms / 1000.0
        if sent.reads_at_once and late_s > LATE_ANSWER_S + self.pause_s + self.slack_s:
            self.violations.append(f"lost: {outgoing.name} was answered {late_s:.3f} s after its deadline")

    def _check_values(self, sent):
        name = sent.request.name.encode()
        pieces = msgspec.json.decode(sent.answer.body)["pieces"]
        text = msgspec.json.decode(sent.request.data.split(b"\r\n\r\n", 1)[1])["statement"].encode()
        for piece in pieces:
            shard = piece["tablet"]
            if shard not in sent.parts:
                self.violations.append(f"foreign: {name.decode()} got a value of part {shard}")
            elif piece["cell"].encode() != value_of(b"%s.%d" % (name, shard), text):
                self.violations.append(f"foreign: {name.decode()} got another value for part {shard}")


class PipeliningClient:
    """One connection of a client."""

    def __init__(self, soak, reader, writer, kind):
        self.soak, self.reader, self.writer, self.kind = soak, reader, writer, kind
        self.draw = soak.random
        self.outstanding = asyncio.Queue()
        self.has_room = asyncio.Semaphore(MAX_OUTSTANDING)
        self.ended = False

    async def run(self):
        """Sends until the connection ends, the client leaves, or the process is asked to stop."""
        leaves_at = time.monotonic() + (self.draw.uniform(0.05, 0.8) if self.kind is Kind.LEAVES else 1000.0)
        reading = asyncio.create_task(self._read())
        sending = asyncio.create_task(self._send())
        while not self.ended and time.monotonic() < leaves_at:
            await asyncio.sleep(0.01)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        if not self.ended:
            self.writer.transport.abort()
            left_at = time.monotonic()
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)
            for sent in self._unanswered():
                sent.left_at = left_at
        else:
            self.writer.close()

    def _unanswered(self):
        while not self.outstanding.empty():
            yield self.outstanding.get_nowait()

    async def _send(self):
        """Sends requests in pieces, which end anywhere. A request counts as sent with its last byte."""
        pending, unsent = bytearray(), deque()  # the requests that are not fully sent, with the bytes up to their ends
        while time.monotonic() < self.soak.term_at:
            await self.has_room.acquire()
            sent = self._new_request()
            pending += sent.request.data
            unsent.append((sent, len(pending)))
            while pending and (len(pending) > PIECE_BYTES[1] or self.draw.random() < 0.7):
                size = min(self.draw.randint(*PIECE_BYTES), len(pending))
                self.writer.write(bytes(pending[:size]))
                del pending[:size]
                unsent = deque((sent, end - size) for sent, end in unsent)
                while unsent and unsent[0][1] <= 0:
                    unsent.popleft()[0].request.sent_at = time.monotonic()
                await asyncio.sleep(self.draw.uniform(*PIECE_INTERVAL_S))
        for sent, _ in unsent:
            sent.request.sent_at = time.monotonic()
        self.writer.write(bytes(pending))

    def _new_request(self):
        soak = self.soak
        soak.request_count += 1
        service_class = self.draw.choice(list(DEADLINES_MS))
        deadline_ms = self.draw.choice((*DEADLINES_MS[service_class], 150))
        parts = tuple(self.draw.sample(range(SHARDS), 3))
        name = f"q{soak.request_count}"
        outgoing = request(name, parts, service_class, deadline_ms, key=f"k{soak.request_count}")
        outgoing.sent_at = math.inf  # until its last byte is sent
        sent = PipelinedRequest(outgoing, parts=parts, reads_at_once=self.kind is not Kind.READS_SLOWLY)
        soak.sent.append(sent)
        self.outstanding.put_nowait(sent)
        return sent

    async def _read(self):
        """Reads the responses; each belongs to the request that has waited longest."""
        while True:
            sent = await self.outstanding.get()
            try:
                if self.kind is Kind.READS_SLOWLY:
                    await asyncio.sleep(self.draw.expovariate(1 / SLOW_READ_S))
                sent.answer = await read_answer(self.reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                self._end(sent)
                return
            except asyncio.CancelledError:
                sent.left_at = time.monotonic()
                raise
            self.has_room.release()
            if sent.answer.is_last or (time.monotonic() > self.soak.term_at and self.outstanding.empty()):
                self._end(None)
                return

    def _end(self, sent):
        """The connection has ended: what is unanswered stays so."""
        at = time.monotonic()
        for unanswered in [*([sent] if sent else []), *self._unanswered()]:
            unanswered.answer = Answer(None, at)
        self.ended = True
