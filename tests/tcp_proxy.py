"""A TCP proxy between two processes of a test.

Its link can be cut, either silently or with all connections reset.
"""

import asyncio
from enum import Enum, auto

CHUNK_BYTES = 64 * 1024


class Link(Enum):
    """The state of a link."""

    UP = auto()
    BLACK_HOLE = auto()  # connections stay open and new ones are accepted; their bytes are lost, also after `heal`
    REFUSED = auto()  # open and new connections are reset


class TcpProxy:
    """Listens on loopback and forwards connections to one address."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.link = Link.UP
        self._link_changes = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        self._server.close()
        self._reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)  # the tasks end with their connections

    @property
    def listening_port(self):
        return self._server.sockets[0].getsockname()[1]

    def cut(self, link):
        """Cut the link; bytes in flight are lost."""
        self.link = link
        self._link_changes += 1
        if link is Link.REFUSED:
            self._reset()

    def heal(self):
        """Restore the link for new connections. The old ones have lost bytes and forward nothing any more."""
        self.link = Link.UP
        self._link_changes += 1

    def _reset(self):
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        try:
            if self.link is Link.REFUSED:
                writer.transport.abort()
                return
            upstream_reader, upstream_writer = await asyncio.open_connection(self.host, self.port)
            self._writers.add(upstream_writer)
            await asyncio.gather(self._forward(reader, upstream_writer), self._forward(upstream_reader, writer))
        except OSError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())

    async def _forward(self, reader, writer):
        """Forward until one side ends; bytes that arrive after the link was cut are lost."""
        link_changes = self._link_changes if self.link is Link.UP else None
        while data := await reader.read(CHUNK_BYTES):
            if link_changes == self._link_changes:
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
