"""A follower's connection: `feed.follower.Follower` between its owner and TCP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from badgerbend.feed.errors import FeedError
from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import Action, Connect, Disconnect, Install, MessageRejected, Send
from badgerbend.feed.messages import Change, Message
from badgerbend.feed_service.stream import MessageStream
from badgerbend.feed_service.timer import Clock, Timer, monotonic


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes of the feed's frames, without the network's own headers."""

    received_bytes: int
    sent_bytes: int

    def plus(self, stream: MessageStream) -> Traffic:
        """Return this traffic and that of one connection so far."""
        return Traffic(self.received_bytes + stream.bytes_received, self.sent_bytes + stream.bytes_sent)


class FollowerOwner(Protocol):
    """Who puts in force what the feed brings. Called between two turns of the loop, never amid one."""

    def install(self, revision: int, changes: tuple[Change, ...]) -> str:
        """Puts changes in force; why the newest configuration of the feed is not in force, or nothing. One that cannot
        be used leaves what was in force as it is. An exception ends the follower, and is raised in the loop."""
        ...

    def rejected(self, relay: str, error: FeedError) -> None:
        """A relay sent something that was not used."""
        ...


class FollowerClient:
    """Built and used on one running loop."""

    def __init__(self, follower: Follower, owner: FollowerOwner, clock: Clock = monotonic) -> None:
        self.follower, self.owner, self.clock = follower, owner, clock
        self.loop = asyncio.get_running_loop()
        self._closed_traffic = Traffic(0, 0)  # of connections that have ended
        self._stream: MessageStream | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._timer = Timer(clock, self._tick)
        self._pumping = False

    def start(self) -> None:
        """Begins to look for a relay."""
        self.follower.start(self.clock())
        self._pump()

    def stop(self) -> None:
        """Ends the connection; the replica stays."""
        self.follower.stop()
        self._pump()
        self._timer.cancel()

    @property
    def traffic(self) -> Traffic:
        """Bytes received and sent so far, over all connections, without the network's own headers."""
        if self._stream is None:
            return self._closed_traffic
        return self._closed_traffic.plus(self._stream)

    # -- the connection's side
    def stream_opened(self, stream: MessageStream) -> None:
        self.follower.connected(self.clock(), stream.number)
        self._pump()

    def stream_message(self, stream: MessageStream, message: Message) -> None:
        self.follower.received(self.clock(), stream.number, message)
        self._pump()

    def stream_malformed(self, stream: MessageStream, error: FeedError) -> None:
        self.follower.protocol_error(self.clock(), stream.number, error)
        self._pump()

    def stream_writable(self, stream: MessageStream) -> None:
        """What a follower sends is small; nothing waits for room."""

    def stream_closed(self, stream: MessageStream) -> None:
        self._forget(stream)
        self.follower.closed(self.clock(), stream.number)
        self._pump()

    # -- inside
    def _tick(self) -> None:
        self.follower.tick(self.clock())
        self._pump()

    def _pump(self) -> None:
        """Carries out what the core wants, in its order."""
        if self._pumping:
            return
        self._pumping = True
        try:
            while actions := self.follower.take_actions():
                for action in actions:
                    self._carry_out(action)
        except Exception:
            self._fail()
            raise
        finally:
            self._pumping = False
        self._timer.schedule(self.follower.next_at)

    def _fail(self) -> None:
        """Its owner failed amid an install: what is in force is not known, so nothing more is reported or taken."""
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

    async def _connect(self, action: Connect) -> None:
        stream = MessageStream(self, action.attempt)
        self._stream = stream
        try:
            await self.loop.create_connection(lambda: stream, action.relay.host, action.relay.port)
        except OSError:
            self._forget(stream)
            self.follower.closed(self.clock(), action.attempt)
            self._pump()

    def _disconnect(self) -> None:
        if self._connecting is not None and not self._connecting.done():
            self._connecting.cancel()
        if self._stream is not None:
            self._stream.abort()
            self._forget(self._stream)

    def _forget(self, stream: MessageStream) -> None:
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
