"""A relay's listening socket: connections of followers between `feed.relay.Relay` and TCP."""

from __future__ import annotations

import asyncio
from itertools import count

from badgerbend.feed.errors import FeedError
from badgerbend.feed.messages import Message
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import Close, SendTo
from badgerbend.feed_service.stream import MessageStream
from badgerbend.feed_service.timer import Clock, Timer, monotonic

BACKLOG = 4096  # connections that wait to be accepted: a zone's followers return at once
ROUNDS = 16  # of catching up in one turn of the loop; the rest comes in the next


class RelayServer:
    """Built and used on one running loop."""

    def __init__(self, relay: Relay, clock: Clock = monotonic) -> None:
        self.relay, self.clock = relay, clock
        self.loop = asyncio.get_running_loop()
        self.connections_accepted = 0
        self._numbers = count(1)
        self._streams: dict[int, MessageStream] = {}
        self._written = set[int]()  # connections written to since their core was told that they took it
        self._timer = Timer(clock, self._tick)
        self._server: asyncio.Server | None = None
        self._again: asyncio.Handle | None = None

    async def start(self, host: str, port: int) -> int:
        """Listens; returns the port. Raises OSError."""
        self._server = await self.loop.create_server(self._accepted, host, port, backlog=BACKLOG)
        return int(self._server.sockets[0].getsockname()[1])

    def published(self) -> None:
        """The relay's log has grown."""
        self.relay.log_advanced(self.clock())
        self.process_actions()

    def confirmed(self, as_of: float) -> None:
        """The relay's log held all that was agreed on at this time."""
        self.relay.mark_current(self.clock(), as_of)

    def process_actions(self) -> None:
        """Carries out what the core wants. Call it after each of its calls."""
        for _ in range(ROUNDS):
            actions = self.relay.take_actions()
            if not actions and not self._written:
                break
            for action in actions:
                self._carry_out(action)
            self._tell_drained()
        else:
            self._pump_again()
        self._timer.schedule(self.relay.next_at)

    @property
    def connections(self) -> int:
        """Connections that stand."""
        return len(self._streams)

    def max_unsent_bytes(self) -> int:
        """Bytes that wait for the socket of the slowest follower."""
        return max((stream.unsent_bytes for stream in self._streams.values()), default=0)

    async def stop(self) -> None:
        """Closes the socket and all connections."""
        self._timer.cancel()
        if self._again is not None:
            self._again.cancel()
        if self._server is not None:
            self._server.close()
        for stream in list(self._streams.values()):
            stream.abort()
        self._streams.clear()
        self._written.clear()
        if self._server is not None:
            await self._server.wait_closed()

    # -- the connections' side
    def stream_opened(self, stream: MessageStream) -> None:
        if self._server is None or not self._server.is_serving():
            stream.abort()  # it was accepted just before the stop
            return
        self.connections_accepted += 1
        self._streams[stream.number] = stream
        self.relay.opened(self.clock(), stream.number)
        self.process_actions()

    def stream_message(self, stream: MessageStream, message: Message) -> None:
        self.relay.received(self.clock(), stream.number, message)
        self.process_actions()

    def stream_malformed(self, stream: MessageStream, error: FeedError) -> None:
        self.relay.protocol_error(self.clock(), stream.number, error)
        self.process_actions()

    def stream_writable(self, stream: MessageStream) -> None:
        self._written.add(stream.number)
        self.process_actions()

    def stream_closed(self, stream: MessageStream) -> None:
        self._forget(stream.number)
        self.relay.closed(self.clock(), stream.number)
        self.process_actions()

    # -- inside
    def _accepted(self) -> MessageStream:
        return MessageStream(self, next(self._numbers))

    def _tick(self) -> None:
        self.relay.tick(self.clock())
        self.process_actions()

    def _carry_out(self, action: SendTo | Close) -> None:
        stream = self._streams.get(action.session)
        if stream is None:
            return
        if isinstance(action, Close):
            self._forget(action.session)
            stream.abort()
            return
        stream.write(action.frame)
        self._written.add(action.session)

    def _tell_drained(self) -> None:
        """Connections that are not full have taken what was written; full ones say so when they have."""
        written, self._written = self._written, set()
        for number in written:
            if not self._streams[number].full:
                self.relay.drained(self.clock(), number)

    def _forget(self, number: int) -> None:
        self._streams.pop(number, None)
        self._written.discard(number)

    def _pump_again(self) -> None:
        if self._again is None:
            self._again = self.loop.call_soon(self._pumped_again)

    def _pumped_again(self) -> None:
        self._again = None
        self.process_actions()
