"""Datagrams between control machines in simulated time: loss, delay, duplicates and partitions."""

from badgerbend.consensus import messages as voting
from badgerbend.leases import messages as lease_messages
from tests.simfeed_settings import SLACK_S


class Network:
    """Delivers datagrams, and knows which hosts are partitioned."""

    def __init__(self, world):
        self.world = world
        self.cuts = {}  # (name, other name): until when nothing gets through

    def is_cut(self, host, other):
        """Whether nothing gets from one host to the other."""
        return self.cuts.get((host.name, other.name), 0.0) > self.world.now

    def latency(self, host, other):
        """A random one-way delay."""
        far = 0.0 if host.region == other.region else 0.01
        return far + self.world.rng.uniform(*self.world.chaos.delay)

    def send(self, source, to, deliver, data):
        """Send a datagram; `deliver` is called with the host and the data where it arrives."""
        if to not in self.world.hosts or self.world.rng.random() < self.world.chaos.loss:
            return
        delay = self.latency(source, self.world.hosts[to])
        if self.world.rng.random() < self.world.chaos.late:
            delay += self.world.rng.random() * self.world.chaos.late_s
        self.world.at(delay, self._arrive, source, self.world.hosts[to], deliver, data)

    def send_proposal(self, source, to, command):
        """Send a proposal. Some are delivered once more, much later: an old publisher's part after a new epoch."""
        if to not in self.world.hosts:
            return
        self.send(source, to, self.deliver_proposal, command)
        if self.world.rng.random() < self.world.chaos.late:
            other = self.world.hosts[self.world.rng.choice(self.world.voters)]
            delay = self.world.rng.random() * 6.0
            self.world.at(delay, self._arrive, source, other, self.deliver_proposal, command)

    def _arrive(self, source, host, deliver, data):
        if self.is_cut(source, host):
            return
        if self.world.when_running(host, self._arrive, source, host, deliver, data):
            deliver(host, data)
            self.world.runner.collect(host)

    def deliver_voter_message(self, host, datagram):
        """A voter receives a message of another one, with the time at which it was sent."""
        sent_at, data = datagram
        before = host.voter.confirmed_at
        host.voter.receive_from_voter(host.local(), voting.decode(data))
        if host.voter.confirmed_at > before:
            follower_bound_s = self.world.voter_bound_s() + self.world.now - sent_at
            host.age_bound_s = SLACK_S if host.voter.is_leader else follower_bound_s

    def deliver_holder_message(self, host, data):
        """A voter receives a request for a lease."""
        host.voter.receive_from_broker(host.local(), lease_messages.decode(data))

    def deliver_lease_reply(self, host, data):
        """A lease holder receives a reply."""
        host.holder.receive_reply(host.local(), lease_messages.decode(data))

    def deliver_proposal(self, host, data):
        """A voter receives a proposed command."""
        host.voter.propose(host.local(), data)

    def deliver_summary(self, host, summary):
        """A publisher receives a relay's summary."""
        host.publisher.record_summary(host.local(), summary)
