"""A broker of the platform in a process of its own; its discovery agent and its nodes run in the process of the test.

With `faults`, the broker is run by `tests/faulty_calls.py`, which makes system calls fail by a plan.
"""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from badgerbend.standin.agent import Agent
from badgerbend.standin.fault_proxy import free_port
from badgerbend.standin.framenode import FrameNode, Part
from tests.platform_stage import CELLS, SETTINGS, file_of, query
from tests.sockets import until

ROOT = Path(__file__).parent.parent
ACCOUNT = SETTINGS["tenants"][0]["name"]
HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class Arrival:
    """An attempt as a node received it. at: seconds on the monotonic clock. deadline_ms: as sent with the attempt."""

    at: float
    node: str
    part_id: str
    key: bytes | None
    deadline_ms: int
    part: Part = field(compare=False, repr=False)

    @property
    def request(self):
        return self.part_id.rpartition(".")[0]


@dataclass(slots=True)
class Answer:
    """How a request ended for its client. status: None if the connection ended without a response."""

    status: int | None
    at: float
    body: bytes = b""
    is_last: bool = False  # the response closes its connection


@dataclass(slots=True)
class Request:
    """The bytes of a request, its deadline, and the time at which it was sent."""

    name: str
    data: bytes
    deadline_ms: int
    sent_at: float = field(default=0.0)


def request(name, parts=(1, 2, 3), service_class="quote", deadline_ms=3000, key="k1", text="c41e77d0"):
    body = query(parts, text)
    head = (
        f"POST /{service_class}/abc HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {name}\r\n"
        f"X-Service-Class: {service_class}\r\nX-Account: {ACCOUNT}\r\nX-Time-Left-Ms: {deadline_ms}\r\n"
        f"Idempotency-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return Request(name, head.encode() + body, deadline_ms)


async def read_answer(reader):
    """Reads a response with a content length. Raises IncompleteReadError or ConnectionError if the connection ends."""
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split(b" ", 2)[1])
    length = next(
        int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")
    )
    body = await reader.readexactly(length)
    return Answer(status, time.monotonic(), body, b"connection: close" in head.lower())


class BrokerProcess:
    """An async context manager.

    each: number of nodes per cell. behave: called by a node with each part. agent: the discovery agent, an `Agent` by
    default. changes: made to the settings.
    """

    def __init__(self, each=2, behave=Part.served, faults=None, agent=None, **changes):
        self.each, self.behave, self.faults, self.changes = each, behave, faults, changes
        self.agent = agent or Agent()
        self.nodes = {}
        self.arrivals = []
        self.lines = []
        self.port = free_port()
        self.folder = tempfile.TemporaryDirectory()
        self.process = None
        self._reader = None

    async def __aenter__(self):
        await self.agent.start()
        for number in range(CELLS * self.each):
            await self.add_node(f"s{number}", number % CELLS)
        await self.start()
        return self

    async def __aexit__(self, *_):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await asyncio.to_thread(self.process.wait)
        await self._reader
        self.process.stderr.close()
        for node in self.nodes.values():
            node.stop()
        await self.agent.close()
        self.folder.cleanup()

    async def add_node(self, name, cell, **extra):
        node = self.nodes[name] = FrameNode(lambda part: self._arrived(name, part))
        node.cell = cell
        await node.start()
        self.agent.put(name, node.port, cell, **extra)
        return node

    def _arrived(self, name, part):
        self.arrivals.append(Arrival(time.monotonic(), name, part.id.decode(), part.key, part.wait_ms, part))
        self.behave(part)

    def put(self, name, state):
        """Changes the state of a node in the endpoint list."""
        node = self.nodes[name]
        self.agent.put(name, node.port, node.cell, state)

    def write_configuration(self, agent):
        """Writes the configuration with the address of an agent; returns its path."""
        path = Path(self.folder.name) / "config.json"
        path.write_bytes(file_of(agent.http.address[1], listen=self.port, **self.changes))
        return path

    async def start(self):
        """Starts the process and waits until it listens."""
        path = self.write_configuration(self.agent)
        env = {"PATH": os.environ["PATH"], "ROUTER_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        program = ["-m", "badgerbend.platform"]
        if self.faults is not None:
            program = ["-m", "tests.faulty_calls"]
            env["FAULTS"] = msgspec.json.encode(self.faults).decode()
        command = [sys.executable, *program]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stderr=subprocess.PIPE)
        self._reader = asyncio.create_task(asyncio.to_thread(self._read_log, self.process))
        await until(lambda: self.logged("listening") or self.process.poll() is not None)
        assert self.logged("listening"), self.lines

    def _read_log(self, process):
        for line in process.stderr:
            try:
                self.lines.append(msgspec.json.decode(line))
            except msgspec.DecodeError:
                self.lines.append({"what": "no JSON", "text": line.decode(errors="replace")})

    def logged(self, what, kind=None):
        return [line for line in self.lines if line["what"] == what and (kind is None or line.get("kind") == kind)]

    async def connect(self):
        return await asyncio.open_connection(HOST, self.port)

    async def ask(self, request):
        """Sends a request on a new connection and waits for the response."""
        request.sent_at = time.monotonic()
        reader, writer = await self.connect()
        try:
            writer.write(request.data)
            return await read_answer(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(None, time.monotonic())
        finally:
            writer.close()

    def arrived(self, request):
        return [arrival for arrival in self.arrivals if arrival.request == request.name]
