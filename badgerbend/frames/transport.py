"""The runtime's `Transport` over channels: chooses the connection for each call and reports how attempts end.

The aggregator chooses the node for a part. This module ensures that a connection carries no more parts than the
settings allow, that nothing is written to a connection that was idle for too long, and that nothing waits for a
connection to a draining node.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from badgerbend.api import Outcome
from badgerbend.frames.channel import Channel, part_request
from badgerbend.frames.codec import FrameNames
from badgerbend.runtime.ports import Attempt

AttemptCallback = Callable[[Attempt, Outcome, object, tuple[float, ...]], None]
MAX_CALL_BYTES = 65_536  # of the texts of one call; while a node reads nothing, each of its connections buffers one
# Fraction of the idle timeout of the other side. Later than this, a request could cross the closing of the connection.
IDLE_FRACTION = 0.9


@dataclass(frozen=True, slots=True)
class FrameLimits:
    """The limits of a transport; times in seconds, sizes in bytes."""

    streams: int  # parts in flight on one connection
    connections: int  # to all nodes together
    connect_timeout_s: float
    idle_s: float
    stall_s: float  # a frame has to be complete this long after its first byte
    part_id_retention_s: float  # attempts for a part that begin within this time use different connections
    max_frame: int = 65_536


class FrameTransport:
    """Sends parts to nodes over their channels.

    address_of: returns the address of a node, or None if it is not on the list.
    """

    def __init__(
        self,
        names: FrameNames,
        limits: FrameLimits,
        address_of: Callable[[int], tuple[str, int] | None],
        on_attempt_completed: AttemptCallback,
        report_fault: Callable[[str, str], None],
        wanted: Callable[[Attempt], bool] = lambda attempt: True,
    ) -> None:
        self.names, self.limits, self.address_of = names, limits, address_of
        self.streams, self.max_frame = limits.streams, limits.max_frame
        self.part_id_retention_s = limits.part_id_retention_s
        self.on_attempt_completed, self.report_fault, self.wanted = on_attempt_completed, report_fault, wanted
        self.loop = asyncio.get_running_loop()
        self.channels: dict[int, list[Channel]] = {}
        self.addresses: dict[int, tuple[str, int]] = {}  # the address that the channels of a node connect to
        self.draining: set[int] = set()  # nodes that are draining
        self.retired: set[Channel] = set()  # channels of nodes that moved or left, until their last answer
        self.opened = 0
        self._descriptors: set[Channel] = set()  # channels that use a file descriptor, abandoned or not
        self._connecting: dict[Channel, asyncio.Task[object]] = {}

    @property
    def open(self) -> int:
        """The file descriptors in use, including those of abandoned channels that are still connecting."""
        return len(self._descriptors)

    # -- ports.Transport
    def send(self, node: int, attempts: Sequence[Attempt]) -> None:
        """Sends attempts to a node; ends them as not sent if the node is draining or off the list.

        They share a call, unless their texts are too large for one.
        """
        for call in _split(attempts):
            self._send_call(node, call)

    def _send_call(self, node: int, attempts: Sequence[Attempt]) -> None:
        address = self.address_of(node)
        if address is None or node in self.draining:
            self._end_all(attempts, Outcome.NOT_SENT)
            return
        if self.addresses.get(node, address) != address:  # a new list is applied but not completely published
            self._retire(node)
        channel = self._find_channel(node, attempts) or self._open_channel(node, address)
        if channel is None:
            self.report_fault("no room for connections", f"{self.open} open")
            self._end_all(attempts, Outcome.NOT_SENT)
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
        """Closes the idle connections to a node."""
        for channel in list(self.channels.get(node, ())):
            if channel.idle():
                channel.drop()

    # -- called when the list changes
    def start_draining(self, node: int) -> None:
        """Returns all attempts that have not begun to be written to a node that drains, as not sent.

        This includes attempts that were decided on in the turn in which the drain was learned of: waiting for a
        connection, they could outlast the drain grace period.
        """
        self.draining.add(node)
        for channel in list(self.channels.get(node, ())):
            self._end_all(channel.withdraw(), Outcome.NOT_SENT)

    def end_draining(self, node: int) -> None:
        """Allows sending to a node that is ready, even if it drained before."""
        self.draining.discard(node)

    def remove_node(self, node: int) -> None:
        """Retires the connections of a node that left the list; they end with their last answer."""
        self.draining.discard(node)  # nothing is sent to a node without an address
        self._retire(node)

    def update_addresses(self, addresses: Mapping[int, tuple[str, int]]) -> None:
        """Retires connections to addresses that are no longer in the current list; they end with their last answer."""
        for node in [n for n, address in self.addresses.items() if addresses.get(n) != address]:
            self._retire(node)
        self.draining &= addresses.keys()

    def sweep(self, now: float) -> None:
        """Closes channels that were idle for too long, are stalled inside a frame, or are retired and unused.

        now: time of the event loop.
        """
        for channel in [*self._in_use(), *self.retired]:
            is_unused = channel.idle() and (channel in self.retired or self._is_stale(channel, now))
            if not channel.stalled(now, self.limits.stall_s) and is_unused:
                channel.drop()

    def close(self) -> None:
        """Closes all connections and cancels those that are being opened."""
        for channel in [*self._in_use(), *self.retired]:
            channel.close()
        for task in list(self._connecting.values()):
            task.cancel()

    # -- called by channels
    def now_ms(self) -> float:
        return self.loop.time() * 1000.0

    def ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None) -> None:
        self.on_attempt_completed(attempt, outcome, value, ())

    def give_up(self, channel: Channel) -> None:
        """Cancels a connection that is still being opened, to spare the node the handshake."""
        if channel in self._connecting:
            self._connecting[channel].cancel()

    def freed(self, channel: Channel) -> None:
        self._descriptors.discard(channel)

    def forget(self, channel: Channel) -> None:
        self.retired.discard(channel)
        channels = self.channels.get(channel.node)
        if channels is not None and channel in channels:
            channels.remove(channel)
            if not channels:
                del self.channels[channel.node]
                self.addresses.pop(channel.node, None)

    # -- internals
    def _in_use(self) -> list[Channel]:
        return [channel for channels in self.channels.values() for channel in channels]

    def _end_all(self, attempts: Sequence[Attempt], outcome: Outcome) -> None:
        for attempt in attempts:
            self.ended(attempt, outcome, None)

    def _find_channel(self, node: int, attempts: Sequence[Attempt]) -> Channel | None:
        """Returns the first channel with spare capacity, so that later ones become idle and are closed.

        A channel on which a message about an earlier attempt for the same part may still arrive is skipped, since both
        attempts have the same id.
        """
        now, parts = self.loop.time(), [part_request(a).id for a in attempts]
        for channel in list(self.channels.get(node, ())):
            if channel.idle() and self._is_stale(channel, now):
                channel.drop()
            elif channel.has_room_for(parts, now):
                return channel
        return None

    def _is_stale(self, channel: Channel, now: float) -> bool:
        return channel.transport is not None and now - channel.last_used > self.limits.idle_s * IDLE_FRACTION

    def _open_channel(self, node: int, address: tuple[str, int]) -> Channel | None:
        if self.open >= self.limits.connections:
            idle = [c for c in self._in_use() if c.idle()]
            if not idle:
                return None
            min(idle, key=lambda c: c.last_used).drop()
        channel = Channel(self, node, self.loop)
        self.channels.setdefault(node, []).append(channel)
        self.addresses[node] = address
        self._descriptors.add(channel)
        self.opened += 1
        connecting = self.loop.create_connection(lambda: channel, *address)
        task = self._connecting[channel] = self.loop.create_task(connecting)
        timer = self.loop.call_later(self.limits.connect_timeout_s, self.give_up, channel)
        task.add_done_callback(lambda task: self._on_connected(channel, task, timer))
        return channel

    def _on_connected(self, channel: Channel, task: asyncio.Task[object], timer: asyncio.TimerHandle) -> None:
        timer.cancel()
        del self._connecting[channel]
        if task.cancelled() or task.exception() is not None:
            channel.failed_to_connect()
            if not channel.connected:
                self.freed(channel)

    def _retire(self, node: int) -> None:
        """Retires the channels of a node and returns what waits to be written on them: the address may by now belong
        to another node, or to none."""
        channels = self.channels.pop(node, [])
        self.retired.update(channels)
        self.addresses.pop(node, None)
        for channel in channels:
            self._end_all(channel.withdraw(), Outcome.NOT_SENT)


def _split(attempts: Sequence[Attempt]) -> list[list[Attempt]]:
    """Splits attempts into calls of at most `MAX_CALL_BYTES` of text; a call has at least one attempt."""
    calls: list[list[Attempt]] = []
    size = 0
    for attempt in attempts:
        text_size = len(part_request(attempt).text)
        if not calls or size + text_size > MAX_CALL_BYTES:
            calls.append([])
            size = 0
        calls[-1].append(attempt)
        size += text_size
    return calls
