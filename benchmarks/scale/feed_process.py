"""Processes of the feed's scale test, as the one that started them sees them. They end with it."""

from __future__ import annotations

import asyncio
import os
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import TypeVar

import msgspec

from scale.feed_child import packed, read_message
from scale.feed_messages import Command, Measure, Measured, Reply

BENCHMARKS = Path(__file__).parent.parent
END_WITHIN_S = 5.0
ANSWER_WITHIN_S = 120.0

ReplyType = TypeVar("ReplyType")


class Child:
    """One process; a command at a time."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._turn = asyncio.Lock()
        self._decoder = msgspec.msgpack.Decoder(Reply)

    @classmethod
    async def start(cls, role: str) -> Child:
        path = os.pathsep.join([str(BENCHMARKS.parent), str(BENCHMARKS)])
        program = str(Path(__file__).with_name("feed_child.py"))
        environment = os.environ | {"PYTHONPATH": path}
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable, program, role, stdin=PIPE, stdout=PIPE, env=environment
            )
        )

    async def ask(self, command: Command, wanted: type[ReplyType]) -> ReplyType:
        """Raises RuntimeError for another reply, TimeoutError for none."""
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        async with self._turn, asyncio.timeout(ANSWER_WITHIN_S):
            self._process.stdin.write(packed(command))
            await self._process.stdin.drain()
            reply = self._decoder.decode(await read_message(self._process.stdout))
        if not isinstance(reply, wanted):
            raise RuntimeError(f"{type(reply).__name__} after {type(command).__name__}")
        return reply

    async def measure(self) -> Measured:
        return await self.ask(Measure(), Measured)

    async def kill(self) -> None:
        """Ends it at once, by its id."""
        self._process.kill()
        await self._process.wait()

    async def end(self) -> None:
        """By the end of its input; a process that goes on is killed, by its id."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            async with asyncio.timeout(END_WITHIN_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
