"""A process of the feed's scale benchmark, which executes commands from its standard input until end of file.

Started by `feed_process`, never by hand: `feed_child.py relay|voter|followers|proxy`.
"""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Protocol

import msgspec
import uvloop

from scale.feed_messages import Command, Reply

LENGTH_BYTES = 4  # the length prefix of each message


class Worker(Protocol):
    """The role of a process: it executes commands."""

    async def handle(self, command: Command) -> Reply: ...


def encode_message(message: Command | Reply) -> bytes:
    """Encodes a message with its length prefix."""
    data = msgspec.msgpack.encode(message)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """Reads the next message. Raises IncompleteReadError at end of file."""
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    return await reader.readexactly(length)


def worker_for(role: str) -> Worker:
    if role == "relay":
        from scale.feed_relays import RelayWorker

        return RelayWorker()
    if role == "voter":
        from scale.feed_voters import VoterWorker

        return VoterWorker()
    if role == "followers":
        from scale.feed_followers import FollowersWorker

        return FollowersWorker()
    from scale.feed_proxy import ProxyWorker

    return ProxyWorker()


async def serve(worker: Worker) -> None:
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    decoder = msgspec.msgpack.Decoder(Command)
    while True:
        try:
            command = decoder.decode(await read_message(reader))
        except asyncio.IncompleteReadError:
            return  # the parent process has ended
        sys.stdout.buffer.write(encode_message(await worker.handle(command)))
        sys.stdout.buffer.flush()


async def main() -> None:
    await serve(worker_for(sys.argv[1]))
    os._exit(0)  # nothing needs to be saved, so hundreds of connections are not closed one by one


if __name__ == "__main__":
    uvloop.run(main())
