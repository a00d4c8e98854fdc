"""Plays bad clients and bad nodes to a broker process and measures its memory, with usual clients beside them.

All cases are played by `benchmarks/memory_faults.py`, some of them by tests/test_incident_client_memory.py.
"""

import asyncio
import contextlib
import itertools
import random
import signal
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from badgerbend.standin.framenode import LENGTH, Part
from tests.broker_process import ROOT, BrokerProcess, read_answer, request
from tests.memory_clients import FORMS, chunks_of, small_headers
from tests.platform_stage import SHARDS

MEMORY_MB, DESCRIPTORS = 88, 576
USUAL_CLIENTS = 10
USUAL_DEADLINE_MS = 2000
LATE_ANSWER_S = 0.55  # a final answer may arrive at most this long after its deadline
QUIET_S = 1.0  # usual clients alone, before and after the bad ones
SAMPLE_S = 0.02
CLOSED_UNREAD = object()  # how a request ended: its connection was closed without an answer
SETTINGS = {"ceilings.maxOpen": 600, "ceilings.streamsPerConn": 32, "specifics.partsACall": 16}


def limits(memory_mb, descriptors):
    return {"memory_mb": memory_mb, "sockets": descriptors}


@dataclass(frozen=True, slots=True)
class Case:
    """form: of the bad clients in tests/memory_clients.py. nodes: how nodes answer.

    agent: how the discovery agent answers that a new configuration names.
    """

    form: str | None = None
    clients: int = 150
    nodes: str = "slow"
    agent: str | None = None
    limits: dict[str, float] = field(default_factory=lambda: limits(MEMORY_MB, DESCRIPTORS))


@dataclass(slots=True)
class Result:
    """Memory in kB. lost: requests of usual clients without a final answer in time. statuses: of their answers."""

    before_kb: int
    peak_kb: int
    after_kb: int
    limit_kb: int
    lost: list[str]
    statuses: Counter

    @property
    def is_broken(self):
        return self.peak_kb > self.limit_kb or bool(self.lost)


def memory_kb(pid):
    """The memory of a process that is its own: without what it shares with files."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("RssAnon")).split()[1])


# -- how nodes answer
def slow(part):
    asyncio.get_running_loop().call_later(random.uniform(0.09, 0.13), Part.served, part)


def hanging(part):
    """Half of the parts are never answered."""
    if random.random() < 0.5:
        slow(part)


def large_values(part):
    part.connection.send(part.answer(b"served", b"v" * 60_000))


def half_frames(part):
    """Answers with the beginning of a long frame on half of the parts."""
    if random.random() < 0.5:
        slow(part)
    else:
        line = b"a%s served 7 -\n" % part.id
        part.connection.send(LENGTH.pack(65_000) + line + b"v" * 60_000)


def endless_values(part):
    """Says on some parts that a value has 3 GB, and keeps sending it."""
    if random.random() < 0.7:
        slow(part)
    else:
        part.connection.send(LENGTH.pack(3_000_000_000) + b"a%s served 7 -\n" % part.id + b"v" * 1_000_000)


def reading_nothing(part):
    """Half of the nodes stop to read once they have received a part."""
    if part.connection.node.port % 2:
        if part.connection.transport is not None:
            part.connection.transport.pause_reading()
    else:
        slow(part)


NODES = {f.__name__: f for f in (slow, hanging, large_values, half_frames, endless_values, reading_nothing)} | {
    "quick": Part.served
}


# -- how the discovery agent answers
ANSWER_BYTES = 4_000_000  # an answer may hold 4 MiB
AGENT_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
LIST_START = b'{"rev":9,"all":true,"targets":['


AGENTS = {  # what is sent in answer to each poll; the rest never comes
    "large": AGENT_HEAD + b"Content-Length: %d\r\n\r\n" % ANSWER_BYTES + (LIST_START + b" " * ANSWER_BYTES)[:-99],
    "tiny chunks": AGENT_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks_of(LIST_START + b" " * 1_000_000, 2),
    "small headers": AGENT_HEAD + small_headers(400_000),
    "a long header": AGENT_HEAD + b"X-Long: " + b"y" * 3_000_000,
}


class AgentServer:
    """Stands in for an agent: answers each poll with the same bytes."""

    def __init__(self, answer):
        self.answer = answer

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()

    @property
    def http(self):
        return self

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.answer)
            await writer.drain()
            await reader.read()
        writer.close()


# Memory, descriptors and clients. A broker accepts 0.55 times its descriptors of connections.
CROWDS = ((32, 256, 300), (32, 1024, 600), (88, 576, 300), (192, 1024, 600))
CROWD_FORMS = (
    "slow_body",
    "slow_tiny_chunks",
    "slow_body_behind_requests",
    "slow_short_fields",
    "slow_and_whole",
    "half_body",
    "half_tiny_chunks",
    "half_small_headers",
    "half_short_fields",
    "half_repeated_fields",
    "half_body_behind_requests",
    "half_body_behind_short_fields",
    "growing_halves",
    "pipelined_small_headers",
    "pipelined_short_fields",
    "short_fields_behind_request",
    "silent",
)
CASES = {
    "usual clients alone": Case(clients=0),
    **{form: Case(form) for form in FORMS},
    **{
        f"{form}, 20 clients": Case(form, 20)
        for form in ("pipelined_large", "pipelined_tiny_chunks", "pipelined_small_headers", "endless_trailers")
    },
    **{
        f"{form}, quick nodes": Case(form, 150, "quick")
        for form in ("pipelined_large", "sequential_large", "large_and_gone", "sequential_large_many_parts")
    },
    **{
        f"{form}, hanging nodes": Case(form, 150, "hanging")
        for form in ("pipelined_large", "sequential_large", "large_and_gone", "sequential_large_many_parts")
    },
    **{
        f"{form}, nodes reading nothing": Case(form, 150, "reading_nothing")
        for form in ("pipelined_large", "sequential_large", "sequential_large_many_parts")
    },
    **{
        f"{form}, large values": Case(form, 150, "large_values")
        for form in ("pipelined_small", "sequential_large_many_parts", "reads_no_values")
    },
    **{f"agent, {name}": Case(clients=0, agent=name) for name in AGENTS},
    **{
        f"{form}, {memory_mb} MB": Case(form, descriptors // 4, nodes, limits=limits(memory_mb, descriptors))
        for memory_mb, descriptors in ((40, 256), (192, 1024))
        for form, nodes in (
            ("pipelined_large", "slow"),
            ("pipelined_small_headers", "slow"),
            ("half_body", "slow"),
            ("sequential_large", "hanging"),
            ("huge_chunked_body", "slow"),
            ("pipelined_small", "half_frames"),
        )
    },
    **{
        f"crowd of {clients}, {form}, {memory_mb} MB, {descriptors}": Case(
            form, clients, limits=limits(memory_mb, descriptors)
        )
        for memory_mb, descriptors, clients in CROWDS
        for form in CROWD_FORMS
    },
    "pipelined_small, half frames": Case("pipelined_small", 150, "half_frames"),
    "pipelined_small, endless values": Case("pipelined_small", 150, "endless_values"),
}


class Play:
    """One case, played for some seconds."""

    def __init__(self, case, seconds=4.0):
        self.case, self.seconds = case, seconds
        self.numbers = itertools.count()
        self.statuses, self.lost = Counter(), []
        self.ends_at = float("inf")

    async def run(self):
        case = self.case
        changes = {"limits": {"cores": 1.0, **case.limits}, "settings": SETTINGS}
        async with BrokerProcess(each=2, behave=NODES[case.nodes], **changes) as broker:
            pid = broker.process.pid
            usual = [asyncio.create_task(self._usual_client(broker)) for _ in range(USUAL_CLIENTS)]
            before = await self._peak(pid, QUIET_S)
            await self._replace_agent(broker)
            bad = self._start_bad_clients(broker.port)
            peak = await self._peak(pid, self.seconds)
            if bad is not None:
                bad.kill()
                bad.wait()
            self.ends_at = time.monotonic() + QUIET_S
            peak = max(peak, await self._peak(pid, QUIET_S))
            await asyncio.gather(*usual)
            after = memory_kb(pid) if broker.process.poll() is None else 0
            if broker.process.poll() is not None:
                self.lost.append(f"the process ended with {broker.process.returncode}")
            return Result(before, peak, after, int(case.limits["memory_mb"] * 1024), self.lost, self.statuses)

    async def _replace_agent(self, broker):
        """Moves discovery to the agent of the case, if it has one."""
        if self.case.agent is not None:
            agent = AgentServer(AGENTS[self.case.agent])
            await agent.start()
            broker.write_configuration(agent)
            broker.process.send_signal(signal.SIGHUP)

    def _start_bad_clients(self, port):
        if self.case.form is None:
            return None
        command = [sys.executable, "-m", "tests.memory_clients", self.case.form, str(port), str(self.case.clients)]
        return subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)

    async def _peak(self, pid, seconds):
        peak, end_at = 0, time.monotonic() + seconds
        while time.monotonic() < end_at:
            with contextlib.suppress(OSError, StopIteration):
                peak = max(peak, memory_kb(pid))
            await asyncio.sleep(SAMPLE_S)
        return peak

    async def _usual_client(self, broker):
        """Sends one request after the other; each has to get its final answer in time."""
        connection = None
        while time.monotonic() < self.ends_at:
            name = f"usual{next(self.numbers)}"
            asked = request(name, random.sample(range(SHARDS), 3), deadline_ms=USUAL_DEADLINE_MS)
            asked.sent_at = time.monotonic()
            is_new = connection is None
            try:
                connection = await self._ask(broker, connection, asked)
                if connection is CLOSED_UNREAD and not is_new:  # its close crossed the request, which is sent once more
                    connection = await self._ask(broker, None, asked)
                if connection is CLOSED_UNREAD:
                    self.lost.append(f"{name}: closed without an answer")
                    connection = None
            except TimeoutError:
                self.lost.append(f"{name}: no answer {time.monotonic() - asked.sent_at:.2f} s after it was sent")
                connection = None
            await asyncio.sleep(random.uniform(0.1, 0.3))
        if connection is not None:
            connection[1].close()

    async def _ask(self, broker, connection, asked):
        """Returns the connection if it stays open, CLOSED_UNREAD if it ended without an answer, else None."""
        async with asyncio.timeout(asked.sent_at + USUAL_DEADLINE_MS / 1000.0 + LATE_ANSWER_S - time.monotonic()):
            try:
                reader, writer = connection or await broker.connect()
                writer.write(asked.data)
                answer = await read_answer(reader)
            except (asyncio.IncompleteReadError, OSError):
                return CLOSED_UNREAD
        self.statuses[answer.status] += 1
        if answer.is_last:
            writer.close()
            return None
        return reader, writer


async def play(case, seconds=4.0):
    return await Play(case, seconds).run()
