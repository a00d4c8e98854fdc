"""A TCP proxy between followers and relays that disturbs the streams that pass it.

It does not simulate a lossy network. A stall stands for the effect of a lost packet and its retransmission on a stream,
a reset for a connection that the network broke, and a cut delays all data without closing any connection. A connection
that is opened during a cut is accepted here, whereas a network would leave it unanswered.
"""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress

from scale.feed_messages import (
    Address,
    Command,
    Disturb,
    Done,
    Listening,
    Measure,
    Measured,
    OpenProxy,
    Reply,
)
from scale.feed_relays import HOST
from scale.feed_usage import peak_bytes, resident_bytes

CHUNK_BYTES = 16 * 1024
STALL_S = 0.2  # the usual minimum of the retransmission timeout of TCP
RESET_INTERVAL_S = 0.1
BACKLOG = 4096


class Group:
    """Links that are disturbed in the same way."""

    def __init__(self) -> None:
        self.disturbed = Disturb("")
        self.not_cut = asyncio.Event()
        self.not_cut.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.random = random.Random(1)

    def disturb(self, command: Disturb) -> None:
        self.disturbed = command
        if command.cut:
            self.not_cut.clear()
        else:
            self.not_cut.set()

    async def delay(self) -> None:
        """Delays a chunk before it is forwarded, by a stall or until the cut ends."""
        if self.random.random() < self.disturbed.stall:
            await asyncio.sleep(STALL_S)
        await self.not_cut.wait()

    async def reset_connections(self) -> None:
        """Resets connections at random, each at the configured mean interval."""
        while True:
            await asyncio.sleep(RESET_INTERVAL_S)
            if not self.disturbed.reset_every_s:
                continue
            probability = RESET_INTERVAL_S / self.disturbed.reset_every_s
            for writer in list(self.writers):
                if self.random.random() < probability:
                    writer.transport.abort()


class Link:
    """The listening socket for one target, and the connections to it."""

    def __init__(self, target: Address, group: Group) -> None:
        self.target, self.group = target, group

    async def listen(self) -> int:
        server = await asyncio.start_server(self._accepted, HOST, 0, backlog=BACKLOG)
        return int(server.sockets[0].getsockname()[1])

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.group.not_cut.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(HOST, self.target.port)
        except OSError:
            writer.transport.abort()
            return
        self.group.writers.add(writer)
        await asyncio.gather(self._forward(reader, target_writer), self._forward(target_reader, writer))
        self.group.writers.discard(writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forwards one direction until it ends, then aborts the connection on the other side."""
        with suppress(OSError):  # either side was reset
            while data := await reader.read(CHUNK_BYTES):
                await self.group.delay()
                if writer.is_closing():  # it was reset in the meantime
                    break
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


class ProxyWorker:
    """Executes the commands for the proxy."""

    def __init__(self) -> None:
        self.groups: dict[str, Group] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def handle(self, command: Command) -> Reply:
        match command:
            case OpenProxy():
                return await self._open(command)
            case Disturb():
                self.groups[command.group].disturb(command)
                return Done(time.monotonic())
            case Measure():
                return Measured(time.monotonic(), time.process_time(), 0.0, resident_bytes(), peak_bytes())
        raise ValueError(type(command).__name__)

    async def _open(self, command: OpenProxy) -> Listening:
        group = self.groups[command.group] = Group()
        self._tasks.append(asyncio.create_task(group.reset_connections()))
        return Listening(tuple([await Link(target, group).listen() for target in command.targets]))
