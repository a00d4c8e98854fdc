"""The network server of a relay: connects `feed.relay.Relay` to the TCP connections of followers."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import assert_never

from badgerbend.feed.errors import FeedError
from badgerbend.feed.messages import Message
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import Close, SendTo
from badgerbend.feed_service.stream import MessageStream
from badgerbend.feed_service.timer import Clock, Timer, monotonic

BACKLOG = 4096  # connections waiting to be accepted; the followers of a whole zone may reconnect at once
MAX_ROUNDS = 16  # of actions in one iteration of the event loop; the rest follows in the next one


class RelayServer:
    """A relay and its connections. Created and used on one running event loop.

    connections_accepted: number of connections accepted since the start.
    """

    def __init__(self, relay: Relay, clock: Clock = monotonic) -> None:
        self.relay = relay
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self.connections_accepted = 0
        self._numbers = count(1)
        self._streams: dict[int, MessageStream] = {}
        self._written = set[int]()  # connections written to since drained connections were last reported
        self._timer = Timer(clock, self._tick)
        self._server: asyncio.Server | None = None
        self._next_turn: asyncio.Handle | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen on an address and return the port. Raises OSError."""
        self._server = await self.loop.create_server(self._create_stream, host, port, backlog=BACKLOG)
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        self._timer.cancel()
        if self._next_turn is not None:
            self._next_turn.cancel()
        if self._server is not None:
            self._server.close()
        for stream in list(self._streams.values()):
            stream.abort()
        self._streams.clear()
        self._written.clear()
        if self._server is not None:
            await self._server.wait_closed()

    def log_advanced(self) -> None:
        """Notify the relay that its log has grown."""
        self.relay.log_advanced(self.clock())
        self.process_actions()

    def mark_current(self, as_of: float) -> None:
        """Notify the relay that its log contained everything committed by a time of `clock`."""
        self.relay.mark_current(self.clock(), as_of)

    def process_actions(self) -> None:
        """Carry out the relay's actions. Must be called after each call of the relay."""
        for _ in range(MAX_ROUNDS):
            actions = self.relay.take_actions()
            if not actions and not self._written:
                break
            for action in actions:
                self._carry_out(action)
            self._report_drained()
        else:
            self._continue_next_turn()
        self._timer.schedule(self.relay.next_at)

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._streams)

    def max_unsent_bytes(self) -> int:
        """Return the largest number of unsent bytes of any connection."""
        return max((stream.unsent_bytes for stream in self._streams.values()), default=0)

    # Implementation of StreamListener.

    def stream_opened(self, stream: MessageStream) -> None:
        """Start a session, unless the server has been stopped since it accepted the connection."""
        if self._server is None or not self._server.is_serving():
            stream.abort()
            return
        self.connections_accepted += 1
        self._streams[stream.number] = stream
        self.relay.opened(self.clock(), stream.number)
        self.process_actions()

    def stream_message(self, stream: MessageStream, message: Message) -> None:
        """Pass a message to the relay."""
        self.relay.received(self.clock(), stream.number, message)
        self.process_actions()

    def stream_malformed(self, stream: MessageStream, error: FeedError) -> None:
        """Report invalid bytes to the relay."""
        self.relay.protocol_error(self.clock(), stream.number, error)
        self.process_actions()

    def stream_writable(self, stream: MessageStream) -> None:
        """Report to the relay that the connection accepts further frames."""
        self._written.add(stream.number)
        self.process_actions()

    def stream_closed(self, stream: MessageStream) -> None:
        """End the session."""
        self._remove_stream(stream.number)
        self.relay.closed(self.clock(), stream.number)
        self.process_actions()

    # Internal.

    def _create_stream(self) -> MessageStream:
        return MessageStream(self, next(self._numbers))

    def _tick(self) -> None:
        self.relay.tick(self.clock())
        self.process_actions()

    def _carry_out(self, action: SendTo | Close) -> None:
        stream = self._streams.get(action.session)
        if stream is None:
            return
        match action:
            case SendTo():
                stream.write(action.frame)
                self._written.add(action.session)
            case Close():
                self._remove_stream(action.session)
                stream.abort()
            case _:
                assert_never(action)

    def _report_drained(self) -> None:
        """Notify the relay of connections that are not full; a full one is reported once it is writable again."""
        written = self._written
        self._written = set()
        for number in written:
            if not self._streams[number].full:
                self.relay.drained(self.clock(), number)

    def _remove_stream(self, number: int) -> None:
        self._streams.pop(number, None)
        self._written.discard(number)

    def _continue_next_turn(self) -> None:
        if self._next_turn is None:
            self._next_turn = self.loop.call_soon(self._continue)

    def _continue(self) -> None:
        self._next_turn = None
        self.process_actions()
