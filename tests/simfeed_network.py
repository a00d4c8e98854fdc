"""Datagrams between control machines in simulated time: loss, delay, duplicates and partitions."""

from badgerbend.consensus import messages as voting
from badgerbend.leases import messages as lease_messages
from tests.simfeed_settings import SLACK_S


class Network:
    """Delivers datagrams and holds the partitions of the network."""

    def __init__(self, world):
        self.world = world
        self.cuts = {}  # (source name, destination name): until when nothing is delivered

    def is_cut(self, host, other):
        """Return whether nothing is delivered from one host to the other."""
        return self.cuts.get((host.name, other.name), 0.0) > self.world.now

    def latency(self, host, other):
        """Return a random one-way delay."""
        region_delay = 0.0 if host.region == other.region else 0.01
        return region_delay + self.world.rng.uniform(*self.world.chaos.delay)

    def send(self, source, to, deliver, data):
        """Send a datagram; when it arrives, `deliver` is called with the receiving host and the data."""
        if to not in self.world.hosts or self.world.rng.random() < self.world.chaos.loss:
            return
        delay = self.latency(source, self.world.hosts[to])
        if self.world.rng.random() < self.world.chaos.late:
            delay += self.world.rng.random() * self.world.chaos.late_s
        self.world.call_after(delay, self._arrive, source, self.world.hosts[to], deliver, data)

    def send_proposal(self, source, to, command):
        """Send a proposal.

        Some are delivered again, much later: a part from an old publisher may arrive after a new epoch has begun.
        """
        if to not in self.world.hosts:
            return
        self.send(source, to, self.deliver_proposal, command)
        if self.world.rng.random() < self.world.chaos.late:
            other = self.world.hosts[self.world.rng.choice(self.world.voters)]
            delay = self.world.rng.random() * 6.0
            self.world.call_after(delay, self._arrive, source, other, self.deliver_proposal, command)

    def _arrive(self, source, host, deliver, data):
        if self.is_cut(source, host):
            return
        if self.world.when_running(host, self._arrive, source, host, deliver, data):
            deliver(host, data)
            self.world.runner.collect(host)

    def deliver_voter_message(self, host, datagram):
        """Deliver a voter's message, with the time at which it was sent, to another voter."""
        sent_at, data = datagram
        before = host.voter.confirmed_at
        host.voter.receive_from_voter(host.local(), voting.decode(data))
        if host.voter.confirmed_at > before:
            follower_bound_s = self.world.voter_age_bound_s() + self.world.now - sent_at
            host.age_bound_s = SLACK_S if host.voter.is_leader else follower_bound_s

    def deliver_holder_message(self, host, data):
        """Deliver a request for a lease to a voter."""
        host.voter.receive_from_broker(host.local(), lease_messages.decode(data))

    def deliver_lease_reply(self, host, data):
        """Deliver a voter's reply to a lease holder."""
        host.holder.receive_reply(host.local(), lease_messages.decode(data))

    def deliver_proposal(self, host, data):
        """Deliver a proposed command to a voter."""
        host.voter.propose(host.local(), data)

    def deliver_summary(self, host, summary):
        """Deliver a relay's summary to a publisher."""
        host.publisher.record_summary(host.local(), summary)
