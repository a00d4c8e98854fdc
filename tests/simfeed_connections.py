"""Connections of followers to relays in simulated time."""

from tests.simstreams import Stream


class Connections:
    """Opens connections, which `tests.simstreams` simulates."""

    def __init__(self, world):
        self.world = world

    def connect(self, host, attempt, relay):
        """Open a connection; it may be refused, or there may be no answer."""
        if self.world.network.is_cut(host, relay) or not relay.running:
            if self.world.rng.random() < 0.5 and not relay.running:  # refused; otherwise there is no answer
                self.world.call_after(
                    self.world.network.latency(host, relay), self._refused, host, host.incarnation, attempt
                )
            return
        number = next(self.world.numbers)
        stream = Stream(self.world, number, host, attempt, relay)
        self.world.streams[number] = stream
        delay = self.world.network.latency(host, relay)
        self.world.call_after(delay, self._opened, stream)
        self.world.call_after(2 * delay, self._connected, stream)

    def _refused(self, host, incarnation, attempt):
        if host.incarnation == incarnation and self.world.when_running(host, self._refused, host, incarnation, attempt):
            host.follower.closed(host.local(), attempt)
            self.world.runner.collect(host)

    def _opened(self, stream):
        is_open = stream.alive(stream.relay) and stream.down.open
        if is_open and self.world.when_running(stream.relay, self._opened, stream):
            stream.relay.relay.opened(stream.relay.local(), stream.number)
            self.world.runner.collect(stream.relay)

    def _connected(self, stream):
        host = stream.follower
        if stream.alive(host) and stream.down.open and self.world.when_running(host, self._connected, stream):
            host.follower.connected(host.local(), stream.attempt)
            self.world.runner.collect(host)

    def stream_of(self, host, attempt):
        """Return the open connection of a follower's connection attempt, or None."""
        for stream in self.world.streams.values():
            if stream.follower is host and stream.attempt == attempt and stream.incarnations[0] == host.incarnation:
                return stream
        return None
