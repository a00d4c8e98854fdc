"""The network client of a follower: connects `feed.follower.Follower` to its owner and to TCP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol, assert_never

from badgerbend.feed.errors import FeedError
from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import Action, Connect, Disconnect, Install, MessageRejected, Send
from badgerbend.feed.messages import Change, Message
from badgerbend.feed_service.stream import MessageStream
from badgerbend.feed_service.timer import Clock, Timer, monotonic


@dataclass(frozen=True, slots=True)
class Traffic:
    """Traffic in bytes of the feed's frames, not counting the headers of network protocols."""

    received_bytes: int
    sent_bytes: int

    def plus(self, stream: MessageStream) -> Traffic:
        """Return the sum of this traffic and that of a connection so far."""
        return Traffic(self.received_bytes + stream.bytes_received, self.sent_bytes + stream.bytes_sent)


class FollowerOwner(Protocol):
    """Applies the changes of the feed. It is called between two turns of the owner's loop, never within one."""

    def install(self, revision: int, changes: tuple[Change, ...]) -> str:
        """Apply changes. Returns why the newest configuration of the feed is not active, or an empty string.

        A configuration that cannot be used leaves the active one unchanged. An exception stops the follower and
        propagates to the event loop.
        """
        ...

    def rejected(self, relay: str, error: FeedError) -> None:
        """Handle the rejection of a message or of invalid bytes from a relay."""
        ...


class FollowerClient:
    """A follower and its connection. Created and used on one running event loop."""

    def __init__(self, follower: Follower, owner: FollowerOwner, clock: Clock = monotonic) -> None:
        self.follower = follower
        self.owner = owner
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        self._closed_traffic = Traffic(0, 0)  # total of the connections that have ended
        self._stream: MessageStream | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._timer = Timer(clock, self._tick)
        self._processing = False

    def start(self) -> None:
        """Start the follower, which then connects to a relay."""
        self.follower.start(self.clock())
        self._process_actions()

    def stop(self) -> None:
        """Close the connection; the replica is kept."""
        self.follower.stop()
        self._process_actions()
        self._timer.cancel()

    @property
    def traffic(self) -> Traffic:
        """The total traffic of all connections so far."""
        if self._stream is None:
            return self._closed_traffic
        return self._closed_traffic.plus(self._stream)

    # Implementation of StreamListener.

    def stream_opened(self, stream: MessageStream) -> None:
        """Notify the follower that its connection attempt has succeeded."""
        self.follower.connected(self.clock(), stream.number)
        self._process_actions()

    def stream_message(self, stream: MessageStream, message: Message) -> None:
        """Pass a message to the follower."""
        self.follower.received(self.clock(), stream.number, message)
        self._process_actions()

    def stream_malformed(self, stream: MessageStream, error: FeedError) -> None:
        """Report invalid bytes to the follower."""
        self.follower.protocol_error(self.clock(), stream.number, error)
        self._process_actions()

    def stream_writable(self, stream: MessageStream) -> None:
        """Do nothing: a follower sends only small messages and does not wait for the write buffer."""

    def stream_closed(self, stream: MessageStream) -> None:
        """Notify the follower that its connection has ended."""
        self._remove_stream(stream)
        self.follower.closed(self.clock(), stream.number)
        self._process_actions()

    # Internal.

    def _tick(self) -> None:
        self.follower.tick(self.clock())
        self._process_actions()

    def _process_actions(self) -> None:
        """Carry out the follower's actions in order. A call from within an action leaves the rest to the outer call."""
        if self._processing:
            return
        self._processing = True
        try:
            while actions := self.follower.take_actions():
                for action in actions:
                    self._carry_out(action)
        except Exception:
            self._fail()
            raise
        finally:
            self._processing = False
        self._timer.schedule(self.follower.next_at)

    def _fail(self) -> None:
        """Stop after an exception while carrying out actions, such as a failed install.

        It is then unknown what has been applied, so nothing is reported.
        """
        self.follower.stop()
        self.follower.take_actions()
        self._disconnect()
        self._timer.cancel()

    def _carry_out(self, action: Action) -> None:
        match action:
            case Connect():
                self._connecting = self.loop.create_task(self._connect(action))
            case Send():
                if self._stream is not None and self._stream.number == action.attempt:
                    self._stream.write(action.frame)
            case Disconnect():
                self._disconnect()
            case Install():
                self._install(action)
            case MessageRejected():
                self.owner.rejected(action.relay, action.error)
            case _:
                assert_never(action)

    async def _connect(self, action: Connect) -> None:
        stream = MessageStream(self, action.attempt)
        self._stream = stream
        try:
            await self.loop.create_connection(lambda: stream, action.relay.host, action.relay.port)
        except OSError:
            self._remove_stream(stream)
            self.follower.closed(self.clock(), action.attempt)
            self._process_actions()

    def _disconnect(self) -> None:
        if self._connecting is not None and not self._connecting.done():
            self._connecting.cancel()
        if self._stream is not None:
            self._stream.abort()
            self._remove_stream(self._stream)

    def _remove_stream(self, stream: MessageStream) -> None:
        self._closed_traffic = self._closed_traffic.plus(stream)
        if self._stream is stream:
            self._stream = None

    def _install(self, action: Install) -> None:
        reason = self.owner.install(action.revision, action.changes)
        now = self.clock()
        if not reason and self.follower.status.rejected_revision:
            self.follower.accepted(now)
        elif reason and reason != self.follower.status.rejected_reason:
            self.follower.rejected(now, action.revision, reason)
        self.follower.applied(now, action.revision)
