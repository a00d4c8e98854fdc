"""The runtime's `Transport` over channels: which connection a call rides on, and what comes of it.

Which node a part goes to is the module's choice. Here it is only seen to that a connection carries no more parts than
the settings allow, that none idle for too long is written to, and that nothing waits for a node that drains.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from badgerbend.api import Outcome
from badgerbend.frames.channel import Channel, part_request
from badgerbend.frames.codec import Names
from badgerbend.runtime.ports import Attempt

Ended = Callable[[Attempt, Outcome, object, tuple[float, ...]], None]
IDLE_SHARE = 0.9  # of the time after which the other side may close: what is written then may cross the close


@dataclass(frozen=True, slots=True)
class FrameLimits:
    """Times in seconds, sizes in bytes."""

    streams: int  # parts at once on a connection
    connections: int  # in all
    connect_timeout_s: float
    idle_s: float
    stall_s: float  # a frame that has begun ends within this
    max_frame: int = 65_536


class FrameTransport:
    """`address_of` gives where a node listens, None for one that is not on the list."""

    def __init__(
        self,
        names: Names,
        limits: FrameLimits,
        address_of: Callable[[int], tuple[str, int] | None],
        ended: Ended,
        trouble: Callable[[str, str], None],
        wanted: Callable[[Attempt], bool] = lambda attempt: True,
    ) -> None:
        self.names, self.limits, self.address_of = names, limits, address_of
        self.streams, self.max_frame = limits.streams, limits.max_frame
        self.tell, self.report_fault, self.wanted = ended, trouble, wanted
        self.loop = asyncio.get_running_loop()
        self.channels: dict[int, list[Channel]] = {}
        self.addresses: dict[int, tuple[str, int]] = {}  # that a node's channels were made for
        self.leaving: set[int] = set()  # nodes that drain
        self.retired: set[Channel] = set()  # of nodes that moved or left, until their last answer
        self.opened = 0
        self._held: set[Channel] = set()  # those that hold a descriptor, given up or not
        self._connecting: dict[Channel, asyncio.Task[object]] = {}

    @property
    def open(self) -> int:
        """Descriptors held, also by what was given up and still connects."""
        return len(self._held)

    # -- ports.Transport
    def send(self, node: int, attempts: Sequence[Attempt]) -> None:
        address = self.address_of(node)
        if address is None or node in self.leaving:
            self._all(attempts, Outcome.NOT_SENT)
            return
        if self.addresses.get(node, address) != address:  # a list is in force, and not told to its end
            self._retire(node)
        channel = self._channel(node, attempts) or self._open(node, address)
        if channel is None:
            self.report_fault("no room for connections", f"{self.open} open")
            self._all(attempts, Outcome.NOT_SENT)
            return
        for attempt in attempts:
            attempt.handle = channel
        channel.send(attempts)

    def cancel(self, attempt: Attempt) -> None:
        if isinstance(attempt.handle, Channel):
            attempt.handle.cancel(attempt)

    def begun(self, attempt: Attempt) -> bool:
        return not isinstance(attempt.handle, Channel) or attempt.handle.begun(attempt)

    def close_idle(self, node: int) -> None:
        for channel in list(self.channels.get(node, ())):
            if channel.idle():
                channel.drop()

    # -- the list's side
    def drains(self, node: int) -> None:
        """The node wants nothing new: what has not begun to be written to it comes back unsent. So does what the turn
        that heard of it had decided already: waiting for a connection it would outlast the grace."""
        self.leaving.add(node)
        for channel in list(self.channels.get(node, ())):
            self._all(channel.withdraw(), Outcome.NOT_SENT)

    def ready(self, node: int) -> None:
        """The node takes work, also one that drained."""
        self.leaving.discard(node)

    def left(self, node: int) -> None:
        """The node is off the list: its connections end with their last answer."""
        self.leaving.discard(node)  # it has no address: nothing goes there
        self._retire(node)

    def moved(self, addresses: Mapping[int, tuple[str, int]]) -> None:
        """The list in force: connections to where nodes listen no more end with their last answer."""
        for node in [n for n, address in self.addresses.items() if addresses.get(n) != address]:
            self._retire(node)
        self.leaving &= addresses.keys()

    def sweep(self, now: float) -> None:
        """Ends what idled for too long, stalls inside a frame, or waits for nothing more. now: the loop's time."""
        for channel in [*self._in_use(), *self.retired]:
            needless = channel.idle() and (channel in self.retired or self._stale(channel, now))
            if not channel.stalled(now, self.limits.stall_s) and needless:
                channel.drop()

    def close(self) -> None:
        for channel in [*self._in_use(), *self.retired]:
            channel.close()
        for task in list(self._connecting.values()):
            task.cancel()

    # -- a channel's side
    def now_ms(self) -> float:
        return self.loop.time() * 1000.0

    def ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None) -> None:
        self.tell(attempt, outcome, value, ())

    def give_up(self, channel: Channel) -> None:
        """Ends its connecting, if it does still: what comes up late would cost the node a handshake."""
        if channel in self._connecting:
            self._connecting[channel].cancel()

    def freed(self, channel: Channel) -> None:
        self._held.discard(channel)

    def forget(self, channel: Channel) -> None:
        self.retired.discard(channel)
        channels = self.channels.get(channel.node)
        if channels is not None and channel in channels:
            channels.remove(channel)
            if not channels:
                del self.channels[channel.node]
                self.addresses.pop(channel.node, None)

    # -- inside
    def _in_use(self) -> list[Channel]:
        return [channel for channels in self.channels.values() for channel in channels]

    def _all(self, attempts: Sequence[Attempt], outcome: Outcome) -> None:
        for attempt in attempts:
            self.ended(attempt, outcome, None)

    def _channel(self, node: int, attempts: Sequence[Attempt]) -> Channel | None:
        """The first with room, so that the later ones fall idle and end; not one where a word on an earlier attempt
        for the same part may still come, since both would carry one id."""
        now, parts = self.loop.time(), [part_request(a).id for a in attempts]
        for channel in list(self.channels.get(node, ())):
            if channel.idle() and self._stale(channel, now):
                channel.drop()
            elif channel.load() + len(parts) <= self.streams and not any(map(channel.knows, parts)):
                return channel
        return None

    def _stale(self, channel: Channel, now: float) -> bool:
        return channel.transport is not None and now - channel.since > self.limits.idle_s * IDLE_SHARE

    def _open(self, node: int, address: tuple[str, int]) -> Channel | None:
        if self.open >= self.limits.connections:
            idle = [c for c in self._in_use() if c.idle()]
            if not idle:
                return None
            min(idle, key=lambda c: c.since).drop()
        channel = Channel(self, node, self.loop)
        self.channels.setdefault(node, []).append(channel)
        self.addresses[node] = address
        self._held.add(channel)
        self.opened += 1
        connecting = self.loop.create_connection(lambda: channel, *address)
        task = self._connecting[channel] = self.loop.create_task(connecting)
        limit = self.loop.call_later(self.limits.connect_timeout_s, self.give_up, channel)
        task.add_done_callback(lambda task: self._connected(channel, task, limit))
        return channel

    def _connected(self, channel: Channel, task: asyncio.Task[object], limit: asyncio.TimerHandle) -> None:
        limit.cancel()
        del self._connecting[channel]
        if task.cancelled() or task.exception() is not None:
            channel.failed_to_connect()
            if not channel.up:
                self.freed(channel)

    def _retire(self, node: int) -> None:
        """What waits to be written comes back: the address may be another node's by now, or nobody's."""
        channels = self.channels.pop(node, [])
        self.retired.update(channels)
        self.addresses.pop(node, None)
        for channel in channels:
            self._all(channel.withdraw(), Outcome.NOT_SENT)
