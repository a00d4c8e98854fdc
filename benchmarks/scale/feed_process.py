"""The parent's side of the processes of the feed's scale benchmark. They end when the parent ends."""

from __future__ import annotations

import asyncio
import os
import sys
from asyncio.subprocess import PIPE, Process
from pathlib import Path
from typing import TypeVar

import msgspec

from scale.feed_child import encode_message, read_message
from scale.feed_messages import Command, Measure, Measured, Reply

BENCHMARKS = Path(__file__).parent.parent
END_TIMEOUT_S = 5.0
REPLY_TIMEOUT_S = 120.0

ReplyType = TypeVar("ReplyType")


class Child:
    """A child process that executes one command at a time."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._lock = asyncio.Lock()
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

    async def call(self, command: Command, reply_type: type[ReplyType]) -> ReplyType:
        """Sends a command and returns the reply.

        Raises RuntimeError for a reply of another type, TimeoutError if there is none.
        """
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        async with self._lock, asyncio.timeout(REPLY_TIMEOUT_S):
            self._process.stdin.write(encode_message(command))
            await self._process.stdin.drain()
            reply = self._decoder.decode(await read_message(self._process.stdout))
        if not isinstance(reply, reply_type):
            raise RuntimeError(f"{type(command).__name__} was answered with {type(reply).__name__}")
        return reply

    async def measure(self) -> Measured:
        return await self.call(Measure(), Measured)

    async def kill(self) -> None:
        """Kills the process."""
        self._process.kill()
        await self._process.wait()

    async def end(self) -> None:
        """Closes the input of the process, which ends it; kills it if it keeps running."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
