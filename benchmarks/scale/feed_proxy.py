"""A TCP proxy between followers and relays that disturbs the streams that pass it.

It is no lossy network: a stall takes the place of what a lost packet and its retransmission do to a stream, a reset
that of a connection that a network ended, and a cut holds everything back without closing anything. A connection that
is opened during a cut is accepted here, where a network would leave it unanswered.
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

CHUNK = 16 * 1024
STALL_S = 0.2  # as long as the least retransmission timeout of a TCP
RESET_STEP_S = 0.1
BACKLOG = 4096


class Group:
    """Links that are disturbed alike."""

    def __init__(self) -> None:
        self.disturbed = Disturb("")
        self.passes = asyncio.Event()
        self.passes.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.random = random.Random(1)

    def disturb(self, command: Disturb) -> None:
        self.disturbed = command
        if command.cut:
            self.passes.clear()
        else:
            self.passes.set()

    async def delay(self) -> None:
        """Before a chunk goes on."""
        if self.random.random() < self.disturbed.stall:
            await asyncio.sleep(STALL_S)
        await self.passes.wait()

    async def reset_some(self) -> None:
        """Ends connections at random, each as often as asked for."""
        while True:
            await asyncio.sleep(RESET_STEP_S)
            if not self.disturbed.reset_every_s:
                continue
            chance = RESET_STEP_S / self.disturbed.reset_every_s
            for writer in list(self.writers):
                if self.random.random() < chance:
                    writer.transport.abort()


class Link:
    """One target's listening socket."""

    def __init__(self, target: Address, group: Group) -> None:
        self.target, self.group = target, group

    async def listen(self) -> int:
        server = await asyncio.start_server(self._accepted, HOST, 0, backlog=BACKLOG)
        return int(server.sockets[0].getsockname()[1])

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.group.passes.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(HOST, self.target.port)
        except OSError:
            writer.transport.abort()
            return
        self.group.writers.add(writer)
        await asyncio.gather(self._pass(reader, target_writer), self._pass(target_reader, writer))
        self.group.writers.discard(writer)

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carries one direction until it ends, then ends the connection beyond."""
        with suppress(OSError):  # either side was reset
            while data := await reader.read(CHUNK):
                await self.group.delay()
                if writer.is_closing():  # it was reset meanwhile
                    break
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


class ProxyWorker:
    """Carries out the proxy's commands."""

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
        self._tasks.append(asyncio.create_task(group.reset_some()))
        return Listening(tuple([await Link(target, group).listen() for target in command.targets]))
