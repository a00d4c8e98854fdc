"""Carries out the actions of the feed's state machines in simulated time."""

from badgerbend.consensus import messages as voting
from badgerbend.feed.control import ChangesAbandoned, Propose, ReportSummary
from badgerbend.feed.follower_types import (
    Connect,
    Disconnect,
    Install,
    MessageRejected,
    Send,
)
from badgerbend.feed.relay_types import Close, SendTo
from badgerbend.leases import messages as lease_messages
from tests.simfeed_settings import SUMMARY_INTERVAL_S, UNCHANGED_CHECK_PROBABILITY


class ActionRunner:
    """Collects and carries out the actions of a host's parts after each call."""

    def __init__(self, world):
        self.world = world

    def collect(self, host):
        """Carry out the actions of a host's parts, unless it is down or suspended."""
        if not host.running or self.world.now < host.suspended_until:
            return
        if host.voter is not None:
            self._collect_voter(host)
            if not host.running:
                return
        if host.follower is not None:
            self._collect_follower(host)
        if host.relay is not None and host.running:
            self._collect_relay(host)
        if host.running:
            self.world.wake(host)

    def _collect_voter(self, host):
        self._carry_out_voter_output(host)
        if self._crashes_before_fan_out(host):
            self.world.count("crash before fan-out")
            self.world.crash(host.name, self.world.rng.random() * 3.0)
            return
        epoch_before = host.publisher.epoch
        if host.control.synchronize(host.local()):
            self.world.checker.check_voter(host.name, host.incarnation, host.machine.log)
        if host.publisher.epoch not in (0, epoch_before):
            self.world.count("lease")
        for action in host.control.take_actions():
            self._carry_out_control_action(host, action)

    def _carry_out_voter_output(self, host):
        world = self.world
        network = world.network
        output = host.voter.drain_output()
        disk = world.disks[host.name]
        for number, record in output.records:
            disk.records.append(voting.encode(record))
            delay = world.rng.uniform(*world.chaos.sync)
            world.call_after(delay, self._synced, host, host.incarnation, number, len(disk.records))
        for name, message in output.to_voters:
            network.send(host, name, network.deliver_voter_message, (world.now, voting.encode(message)))
        for name, reply in output.to_brokers:
            network.send(host, name, network.deliver_lease_reply, lease_messages.encode(reply))
        for name, message in host.holder.drain_output():
            network.send(host, name, network.deliver_holder_message, lease_messages.encode(message))

    def _crashes_before_fan_out(self, host):
        """Return whether the host, as a leader, is to crash between the commit of a publication and its fan-out."""
        if not host.control.log_changed or not host.voter.is_leader or self.world.healed:
            return False
        return self.world.rng.random() < self.world.chaos.crash_before_fan_out

    def _carry_out_control_action(self, host, action):
        network = self.world.network
        match action:
            case Propose(leader, command):
                network.send_proposal(host, leader, command)
            case ReportSummary(publisher, summary):
                network.send(host, publisher, network.deliver_summary, summary)
            case ChangesAbandoned(changes):
                self.world.checker.check_lease_lost(host.name, changes)

    def _synced(self, host, incarnation, number, length):
        """Record that the disk has synced all records up to length."""
        if host.incarnation != incarnation or not host.running:
            return
        disk = self.world.disks[host.name]
        disk.synced = max(disk.synced, length)
        if self.world.when_running(host, self._synced, host, incarnation, number, length):
            host.voter.persisted(host.local(), number)
            self.collect(host)

    def _collect_follower(self, host):
        world = self.world
        local = host.local()
        for action in host.follower.take_actions():
            self._carry_out_follower_action(host, action, local)
        if world.rng.random() < UNCHANGED_CHECK_PROBABILITY:
            world.checker.check_unchanged(host.name, host.log)
        if host.relay is not None:
            host.relay.mark_current(local, local - host.follower.age_s(local))

    def _carry_out_follower_action(self, host, action, local):
        world = self.world
        match action:
            case Connect(attempt, address):
                world.connections.connect(host, attempt, world.hosts[address.name])
            case Send(attempt, data):
                stream = world.connections.stream_of(host, attempt)
                if stream is not None:
                    stream.up.write(data)
            case Disconnect(attempt):
                stream = world.connections.stream_of(host, attempt)
                if stream is not None:
                    is_cut_off = world.network.is_cut(host, stream.relay)
                    stream.end(host, None if is_cut_off else world.network.latency(host, stream.relay))
            case Install(revision):
                world.checker.check_install(host.name, action, host.log)
                host.follower.applied(local, revision)
                if host.relay is not None:
                    host.relay.log_advanced(local)
            case MessageRejected(_, error):
                world.count(type(error).__name__)
                stream = world.connections.stream_of(host, host.follower.attempt)
                world.checker.check_rejection(host.name, error, stream is None or stream.was_tampered_with)

    def _collect_relay(self, host):
        world = self.world
        for action in host.relay.take_actions():
            stream = world.streams.get(action.session)
            if stream is not None and stream.relay is host:
                self._carry_out_relay_action(host, action, stream)
        if host.control is None and world.now >= host.summary_at:
            host.summary_at = world.now + SUMMARY_INTERVAL_S
            summary = host.relay.summary()
            for name in world.voters:
                world.network.send(host, name, world.network.deliver_summary, summary)

    def _carry_out_relay_action(self, host, action, stream):
        match action:
            case SendTo(_, data):
                frames = [data] if host.tamperer is None else host.tamperer.replacement_frames(data, action.session)
                stream.was_tampered_with = stream.was_tampered_with or frames != [data]
                for frame in frames:
                    stream.send_down(frame)
                self.world.watcher.check_stream(host, stream)
            case Close():
                self.world.count("closed by relay")
                stream.end(host, self.world.network.latency(host, stream.follower))
