"""A process of the feed's scale test: it carries out commands from its standard input until that ends.

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

HEAD_BYTES = 4  # the length before each message


class Worker(Protocol):
    """What a process does."""

    async def handle(self, command: Command) -> Reply: ...


def packed(message: Command | Reply) -> bytes:
    """A message with its length before it."""
    data = msgspec.msgpack.encode(message)
    return len(data).to_bytes(HEAD_BYTES, "big") + data


async def read_message(reader: asyncio.StreamReader) -> bytes:
    """The next message's bytes. Raises IncompleteReadError at the end."""
    length = int.from_bytes(await reader.readexactly(HEAD_BYTES), "big")
    return await reader.readexactly(length)


def worker_named(role: str) -> Worker:
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


async def work(worker: Worker) -> None:
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    decoder = msgspec.msgpack.Decoder(Command)
    while True:
        try:
            command = decoder.decode(await read_message(reader))
        except asyncio.IncompleteReadError:
            return  # whoever started this process has ended
        sys.stdout.buffer.write(packed(await worker.handle(command)))
        sys.stdout.buffer.flush()


async def main() -> None:
    await work(worker_named(sys.argv[1]))
    os._exit(0)  # there is nothing to save; hundreds of connections end at once


if __name__ == "__main__":
    uvloop.run(main())
