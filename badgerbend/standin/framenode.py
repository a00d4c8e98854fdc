"""A stand-in for a node of the frame protocol. It records what it receives; `behave` decides how it answers."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from struct import Struct
from typing import cast

LENGTH = Struct("<I")


class Part:
    """One part as a node received it. wait_ms and key come from the list of pairs in its line."""

    __slots__ = ("connection", "id", "key", "shard", "text", "wait_ms")

    def __init__(self, connection: Connection, line: bytes, text: bytes) -> None:
        self.connection, self.text = connection, text
        name, shard, listed, _ = line.split(b" ")
        pairs = dict(pair.split(b"=", 1) for pair in listed.split(b","))
        self.id, self.shard, self.wait_ms = name, int(shard), int(pairs.pop(b"d"))
        self.key = pairs.pop(b"k", None)
        if pairs:
            raise ValueError(f"a list with {sorted(pairs)}")

    def value(self) -> bytes:
        """The value that answers this part. It depends on its id and text only, so it is the same on every node."""
        return hashlib.sha256(self.id + b"\n" + self.text).hexdigest()[:16].encode()

    def served(self) -> None:
        """Answers the part with its value."""
        self.connection.send(self.answer(b"served", self.value()))

    def answer(self, end: bytes, value: bytes = b"", report: bytes = b"-") -> bytes:
        """Builds the frame of an answer to this part."""
        return frame(b"a", b"%s %s 7 %s\n%s" % (self.id, end, report, value))


def frame(letter: bytes, rest: bytes) -> bytes:
    return LENGTH.pack(len(rest) + 1) + letter + rest


class FrameNode:
    """A node on a loopback port. behave: called with each part; it may answer at once, later or never."""

    def __init__(self, behave: Callable[[Part], None] = Part.served) -> None:
        self.behave = behave
        self.calls: list[list[Part]] = []
        self.cancelled: list[bytes] = []
        self.connections: set[Connection] = set()
        self.accepted = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> int:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Connection(self), "127.0.0.1", port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def parts(self) -> list[Part]:
        """All parts received so far, in order."""
        return [part for call in self.calls for part in call]

    def stop(self) -> None:
        """Stops listening and resets all connections, as when the process dies."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.cut()


class Connection(asyncio.Protocol):
    """A broker's connection to the node."""

    def __init__(self, node: FrameNode) -> None:
        self.node, self.buffer = node, bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.node.connections.add(self)
        self.node.accepted += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.node.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self.buffer)
            if len(self.buffer) < LENGTH.size + size:
                return
            body = bytes(self.buffer[LENGTH.size : LENGTH.size + size])
            del self.buffer[: LENGTH.size + size]
            self._frame(body[:1], body[1:])

    def _frame(self, letter: bytes, rest: bytes) -> None:
        if letter == b"c":
            self.node.cancelled.append(rest)
            return
        try:
            if letter != b"q":
                raise ValueError(f"letter {letter!r}")
            parts, at = list[Part](), 0
            while at < len(rest):
                stop = rest.index(b"\n", at)
                line = rest[at:stop]
                size = int(line.rsplit(b" ", 1)[1])
                if stop + 1 + size > len(rest):
                    raise ValueError("a text beyond the frame")
                parts.append(Part(self, line, rest[stop + 1 : stop + 1 + size]))
                at = stop + 1 + size
        except (ValueError, KeyError) as err:
            self.send(frame(b"e", str(err).encode()))
            if self.transport is not None:
                self.transport.close()
            return
        self.node.calls.append(parts)
        for part in parts:
            self.node.behave(part)

    def send(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def cut(self) -> None:
        if self.transport is not None:
            self.transport.abort()
