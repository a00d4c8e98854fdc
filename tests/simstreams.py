"""Stream connections in simulated time: ordered chunks of bytes, limited bandwidth, and half-open connections.

A `Pipe` is one direction of a connection. Written bytes wait in it, as in the sender's buffers, until the network takes
them. Chunks are split at any byte, so that frames arrive in pieces. While a region is partitioned the bytes wait, as
they would for retransmissions of TCP.
"""

from collections import deque

from badgerbend.feed.errors import FeedError
from badgerbend.feed.framing import FrameReader

CHUNK_BYTES = (40, 4000)
RECEIVE_BUFFER = 8 * 1024  # unread bytes that are accepted for a suspended process
SLACK_S = 0.1  # for the drift of clocks
RETRY_S = 0.2  # interval between attempts to move bytes while the network is cut or the receive buffer is full


class Pipe:
    """One direction of a connection.

    deliver: called with each chunk that the receiver reads. on_drained: called when no written bytes wait any more.
    """

    def __init__(self, world, sender, receiver, bytes_per_second, deliver, on_drained=lambda: None):
        self.world, self.sender, self.receiver = world, sender, receiver
        self.bytes_per_second, self.deliver, self.on_drained = bytes_per_second, deliver, on_drained
        self.open = True
        self.waiting = bytearray()
        self._unread = 0  # bytes that the network has taken and the receiver has not read
        self._busy = False
        self._arrives_at = 0.0
        self._arrived = deque()  # chunks that the receiver has not read
        self._written = deque()  # for each unread frame: the time of its write, and the sender's age bound at that time

    def write(self, data):
        if self.open:
            self.waiting += data
            self._written.append((self.world.now, self.sender.age_bound_s))
            self._schedule_move()

    def _schedule_move(self):
        if not self._busy and self.waiting and self.open:
            self._busy = True
            self.world.call_after(0.0, self._move)

    def _move(self):
        """Move the next chunk into the network."""
        self._busy = False
        if not self.open or not self.waiting:
            return
        if self.world.network.is_cut(self.sender, self.receiver) or self._unread >= RECEIVE_BUFFER:
            self._busy = True
            self.world.call_after(RETRY_S, self._move)
            return
        size = self.world.rng.randint(*CHUNK_BYTES)
        chunk = bytes(self.waiting[:size])
        del self.waiting[:size]
        self._unread += len(chunk)
        transfer_s = len(chunk) / self.bytes_per_second
        self._arrives_at = max(
            self._arrives_at, self.world.now + transfer_s + self.world.network.latency(self.sender, self.receiver)
        )
        self.world.call_at(self._arrives_at, self._arrive, chunk)
        self._busy = True
        self.world.call_after(transfer_s, self._moved)

    def frame_read(self):
        """Return when the next frame was written, and the sender's age bound at that time.

        Called once for each frame that is read.
        """
        return self._written.popleft()

    def _moved(self):
        self._busy = False
        if not self.waiting and self.open:
            self.on_drained()
        self._schedule_move()

    def _arrive(self, chunk):
        self._arrived.append(chunk)
        self._read()

    def _read(self):
        """Read the chunks that have arrived, once the receiver runs."""
        if not self.open or not self._arrived or not self.world.when_running(self.receiver, self._read):
            return
        while self.open and self._arrived and self.world.now >= self.receiver.suspended_until:
            chunk = self._arrived.popleft()
            self._unread -= len(chunk)
            self.deliver(chunk)


class Stream:
    """A follower's connection to a relay, in both directions."""

    def __init__(self, world, number, follower, attempt, relay):
        self.world, self.number, self.attempt = world, number, attempt
        self.follower, self.relay = follower, relay  # hosts
        self.incarnations = follower.incarnation, relay.incarnation
        speed = world.rng.choice(world.chaos.bytes_per_second)
        self.down = Pipe(world, relay, follower, speed, self._to_follower, self._relay_drained)
        self.up = Pipe(world, follower, relay, speed, self._to_relay)
        self._down_frames, self._up_frames = FrameReader(), FrameReader()
        self.largest_frame = 0
        self.was_tampered_with = False  # other frames were sent than the relay's state machine sent

    def send_down(self, data):
        self.largest_frame = max(self.largest_frame, len(data))
        self.down.write(data)

    def alive(self, host):
        """Return whether the host still runs the process that has this connection."""
        return host.running and host.incarnation == self.incarnations[host is self.relay]

    def end(self, host, notify_after_s):
        """Close the connection at one end; the other end learns of it after a delay, or never (None)."""
        self.down.open = self.up.open = False
        other = self.relay if host is self.follower else self.follower
        self.world.streams.pop(self.number, None)
        if notify_after_s is not None:
            self.world.call_after(notify_after_s, self._notify_closed, other)

    def disconnect(self, notify_follower, notify_relay):
        """Break the connection in the network; the flags say which ends learn of it."""
        self.down.open = self.up.open = False
        self.world.streams.pop(self.number, None)
        for host, notify in ((self.follower, notify_follower), (self.relay, notify_relay)):
            if notify:
                self.world.call_after(self.world.rng.random() * 0.2, self._notify_closed, host)

    def _notify_closed(self, host):
        if not self.alive(host) or not self.world.when_running(host, self._notify_closed, host):
            return
        if host is self.follower:
            host.follower.closed(host.local(), self.attempt)
        else:
            host.relay.closed(host.local(), self.number)
        self.world.runner.collect(host)

    def _relay_drained(self):
        if self.down.waiting or not self.alive(self.relay):  # new bytes were written before a suspended relay resumed
            return
        if self.world.when_running(self.relay, self._relay_drained):
            self.relay.relay.drained(self.relay.local(), self.number)
            self.world.runner.collect(self.relay)

    def _to_follower(self, chunk):
        host = self.follower
        if not self.alive(host):
            return
        try:
            for message in self._down_frames.feed(chunk):
                self._deliver_to_follower(host, message)
        except FeedError as error:
            host.follower.protocol_error(host.local(), self.attempt, error)
        self.world.runner.collect(host)

    def _deliver_to_follower(self, host, message):
        written_at, bound_s = self.down.frame_read()
        before = host.follower.age_s(host.local())
        host.follower.received(host.local(), self.attempt, message)
        if host.follower.age_s(host.local()) < before:
            delay_s = min(self.world.now - written_at, self.world.stream_delay_bound_s())
            host.age_bound_s = bound_s + delay_s + SLACK_S
        self.world.runner.collect(host)

    def _to_relay(self, chunk):
        host = self.relay
        if not self.alive(host):
            return
        try:
            for message in self._up_frames.feed(chunk):
                host.relay.received(host.local(), self.number, message)
        except FeedError as error:
            host.relay.protocol_error(host.local(), self.number, error)
        self.world.runner.collect(host)
