"""Stream connections in simulated time: ordered bytes in chunks, limited bandwidth, breaks, ends that hear nothing.

A `Pipe` is one direction. What is written waits in it (the sender's buffers) until the network has taken it; chunks are
cut anywhere, so that frames arrive in halves. While a region is cut off the bytes wait, as they do for TCP's repeats.
"""

from collections import deque

from badgerbend.feed.errors import FeedError
from badgerbend.feed.framing import FrameReader

CHUNK_BYTES = (40, 4000)
RECEIVE_BUFFER = 8 * 1024  # bytes that are taken for a process that stands still
SLACK_S = 0.1  # for clocks that run off
RETRY_S = 0.2  # while nothing gets through


class Pipe:
    """One direction of a connection. deliver: takes bytes; taken: called when nothing waits any more."""

    def __init__(self, world, sender, receiver, bytes_per_second, deliver, taken=lambda: None):
        self.world, self.sender, self.receiver = world, sender, receiver
        self.bytes_per_second, self.deliver, self.taken = bytes_per_second, deliver, taken
        self.open = True
        self.waiting = bytearray()
        self._unread = 0  # bytes taken by the network that the receiver has not read
        self._busy = False
        self._arrives_at = 0.0
        self._arrived = deque()  # chunks that the receiver has not read
        self._written = deque()  # of frames not read yet: when they were written, and the sender's bound on ages then

    def write(self, data):
        if self.open:
            self.waiting += data
            self._written.append((self.world.now, self.sender.age_bound_s))
            self._go_on()

    def _go_on(self):
        if not self._busy and self.waiting and self.open:
            self._busy = True
            self.world.at(0.0, self._move)

    def _move(self):
        """The network takes the next chunk."""
        self._busy = False
        if not self.open or not self.waiting:
            return
        if self.world.network.is_cut(self.sender, self.receiver) or self._unread >= RECEIVE_BUFFER:
            self._busy = True
            self.world.at(RETRY_S, self._move)
            return
        size = self.world.rng.randint(*CHUNK_BYTES)
        chunk = bytes(self.waiting[:size])
        del self.waiting[:size]
        self._unread += len(chunk)
        took = len(chunk) / self.bytes_per_second
        self._arrives_at = max(
            self._arrives_at, self.world.now + took + self.world.network.latency(self.sender, self.receiver)
        )
        self.world.at_time(self._arrives_at, self._arrive, chunk)
        self._busy = True
        self.world.at(took, self._moved)

    def frame_read(self):
        """When the next frame was written, and its sender's bound on ages then. Called for each that is read."""
        return self._written.popleft()

    def _moved(self):
        self._busy = False
        if not self.waiting and self.open:
            self.taken()
        self._go_on()

    def _arrive(self, chunk):
        self._arrived.append(chunk)
        self._read()

    def _read(self):
        """The receiver reads what has arrived, once it runs."""
        if not self.open or not self._arrived or not self.world.when_running(self.receiver, self._read):
            return
        while self.open and self._arrived and self.world.now >= self.receiver.suspended_until:
            chunk = self._arrived.popleft()
            self._unread -= len(chunk)
            self.deliver(chunk)


class Stream:
    """A follower's connection to a relay, both directions."""

    def __init__(self, world, number, follower, attempt, relay):
        self.world, self.number, self.attempt = world, number, attempt
        self.follower, self.relay = follower, relay  # hosts
        self.incarnations = follower.incarnation, relay.incarnation
        speed = world.rng.choice(world.chaos.bytes_per_second)
        self.down = Pipe(world, relay, follower, speed, self._to_follower, self._taken)
        self.up = Pipe(world, follower, relay, speed, self._to_relay)
        self._down_frames, self._up_frames = FrameReader(), FrameReader()
        self.largest_frame = 0
        self.was_lied_to = False  # it was sent other frames than its relay's core sent

    def send_down(self, data):
        self.largest_frame = max(self.largest_frame, len(data))
        self.down.write(data)

    def alive(self, host):
        """Whether the host's process is still the one that has this connection."""
        return host.running and host.incarnation == self.incarnations[host is self.relay]

    def end(self, host, heard_after):
        """One end closes; the other hears of it later, or never (None)."""
        self.down.open = self.up.open = False
        other = self.relay if host is self.follower else self.follower
        self.world.streams.pop(self.number, None)
        if heard_after is not None:
            self.world.at(heard_after, self._tell_closed, other)

    def breaks(self, follower_hears, relay_hears):
        """The network loses the connection."""
        self.down.open = self.up.open = False
        self.world.streams.pop(self.number, None)
        for host, hears in ((self.follower, follower_hears), (self.relay, relay_hears)):
            if hears:
                self.world.at(self.world.rng.random() * 0.2, self._tell_closed, host)

    def _tell_closed(self, host):
        if not self.alive(host) or not self.world.when_running(host, self._tell_closed, host):
            return
        if host is self.follower:
            host.follower.closed(host.local(), self.attempt)
        else:
            host.relay.closed(host.local(), self.number)
        self.world.runner.collect(host)

    def _taken(self):
        if self.down.waiting or not self.alive(self.relay):  # written to again before a stopped relay heard of it
            return
        if self.world.when_running(self.relay, self._taken):
            self.relay.relay.drained(self.relay.local(), self.number)
            self.world.runner.collect(self.relay)

    def _to_follower(self, chunk):
        host = self.follower
        if not self.alive(host):
            return
        try:
            for message in self._down_frames.feed(chunk):
                self._received(host, message)
        except FeedError as error:
            host.follower.protocol_error(host.local(), self.attempt, error)
        self.world.runner.collect(host)

    def _received(self, host, message):
        written_at, bound_s = self.down.frame_read()
        before = host.follower.age_s(host.local())
        host.follower.received(host.local(), self.attempt, message)
        if host.follower.age_s(host.local()) < before:
            late_s = min(self.world.now - written_at, self.world.stream_bound_s())
            host.age_bound_s = bound_s + late_s + SLACK_S
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
