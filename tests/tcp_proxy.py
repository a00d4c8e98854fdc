"""A TCP proxy between two processes of a test whose link can be cut, silently or with its connections reset."""

import asyncio
from enum import Enum, auto

CHUNK_BYTES = 64 * 1024


class Link(Enum):
    """The state of a link."""

    UP = auto()
    BLACK_HOLE = auto()  # connections stay open and are accepted; their bytes are lost, now and after `heal`
    REFUSED = auto()  # all connections are reset, new ones too


class TcpProxy:
    """Listens on loopback and forwards to one address."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.link = Link.UP
        self._cuts = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_):
        self._server.close()
        self._reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)  # they end with their connections

    @property
    def listening_port(self):
        return self._server.sockets[0].getsockname()[1]

    def cut(self, link):
        """Cut the link; bytes in flight are lost."""
        self.link = link
        self._cuts += 1
        if link is Link.REFUSED:
            self._reset()

    def heal(self):
        """Restore the link, for new connections only: the old ones, which have lost bytes, stay silent."""
        self.link = Link.UP
        self._cuts += 1

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
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
            self._writers.add(far_writer)
            await asyncio.gather(self._forward(reader, far_writer), self._forward(far_reader, writer))
        except OSError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._tasks.discard(asyncio.current_task())

    async def _forward(self, reader, writer):
        """Forward until one side ends; bytes that arrive after the link was cut are lost."""
        cuts = self._cuts if self.link is Link.UP else None
        while data := await reader.read(CHUNK_BYTES):
            if cuts == self._cuts:
                writer.write(data)
                await writer.drain()
        writer.transport.abort()
