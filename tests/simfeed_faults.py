"""Faults that are injected into the simulated feed, all chosen by the random source of the world."""

from badgerbend.feed.messages import Change
from tests.feed_tampering import FrameTamperer
from tests.simfeed_settings import REGIONS


class FaultInjector:
    """Injects random faults, one in each call of `inject`."""

    def __init__(self, world):
        self.world = world

    def inject(self):
        """Choose a fault and inject it, unless the world is healed."""
        world = self.world
        if world.healed:
            return
        kind = self._choice(world.chaos.faults)
        name = self._choice(list(world.hosts))
        control = world.hosts[self._choice(world.voters)]
        world.count(kind)
        match kind:
            case "crash":
                world.crash(name, self._choice((0.05, 1.0, 6.0)) * world.rng.random())
            case "crash leader":
                self._crash_leaders()
            case "crash mid-snapshot":
                self._crash_mid_snapshot()
            case "damaged replica":
                self._damage(self._choice(world.brokers()))
            case "burst of changes":
                self._burst(world.rng.randint(5, 40))
            case "lying relay":
                self._tamper(world.hosts[self._choice(world.relays).name])
            case "zone restart":
                self._restart_zone()
            case "lease release" if control.running:
                control.holder.release(control.local())
            case "leadership transfer" if control.running and world.now >= control.suspended_until:
                control.voter.raft.transfer_leadership(control.local())
                world.runner.collect(control)
            case _:
                self._inject_interruption(kind, control)

    def _inject_interruption(self, kind, control):
        """Suspend processes, cut the network, or break connections."""
        world = self.world
        match kind:
            case "suspended relay":
                self._suspend(world.hosts[self._choice(world.relays).name], world.chaos.max_suspension_s)
            case "suspended followers":
                for host in world.brokers():
                    if world.rng.random() < 0.2:
                        self._suspend(host, world.chaos.max_follower_suspension_s)
            case "partitioned region":
                region = self._choice(REGIONS)
                self._partition([host for host in world.hosts.values() if host.region == region])
            case "partitioned control":
                self._partition([control], one_way=world.rng.random() < 0.3)
            case "broken connections":
                for stream in list(world.streams.values()):
                    if world.rng.random() < 0.1:
                        stream.disconnect(world.rng.random() < 0.8, world.rng.random() < 0.8)

    def _choice(self, options):
        return self.world.rng.choice(options)

    def _crash_leaders(self):
        for leader in [host.name for host in self.world.running_controls() if host.voter.is_leader]:
            self.world.crash(leader, self.world.rng.random() * 4.0)

    def _crash_mid_snapshot(self):
        """Crash a relay that is sending snapshots."""
        running = [host for host in self.world.hosts.values() if host.running and host.relay is not None]
        sending = [host for host in running if host.relay.transfers.active]
        for host in sending[:1]:
            self.world.crash(host.name, self.world.rng.random() * 2.0)

    def _restart_zone(self):
        """Crash all brokers of a region and restart them together; changes follow while they receive snapshots."""
        region = self._choice(REGIONS)
        restart_s = self.world.rng.random() * 3.0
        for host in self.world.brokers():
            if host.region == region:
                self.world.crash(host.name, restart_s)
        self.world.call_after(restart_s + 0.3, self._burst, 10)

    def _tamper(self, host):
        """Have a relay tamper with its frames for a while."""
        host.tamperer = FrameTamperer(self.world.rng)
        self.world.call_after(1.0 + self.world.rng.random() * 4.0, self._stop_tampering, host)

    def _damage(self, host):
        """Alter a replica in memory and break its connection: the next relay must detect it by the digest."""
        stream = self.world.connections.stream_of(host, host.follower.attempt) if host.running else None
        if stream is None or not len(host.log.content):
            return
        key, _ = self.world.rng.choice(sorted(host.log.content.items()))
        host.log.content.apply([Change(key, b"damaged")])
        self.world.checker.followers[host.name].damaged = True
        stream.disconnect(True, True)

    def _burst(self, remaining):
        """Publish faster than slow followers receive."""
        for host in self.world.running_controls():
            if host.publisher.epoch:
                self.world.changes.submit_to(host, 2)
        if remaining and not self.world.healed:
            self.world.call_after(0.07, self._burst, remaining - 1)

    def _suspend(self, host, max_s):
        """Suspend a process for a random time of up to max_s."""
        if host.running:
            host.suspended_until = max(host.suspended_until, self.world.now + max_s * self.world.rng.random())
            self.world.wake(host)

    def _partition(self, hosts, one_way=False):
        """Cut the network between these hosts and all others; one_way: only from these hosts to the others."""
        until = self.world.now + self.world.rng.choice(self.world.chaos.partition_s) * self.world.rng.uniform(0.5, 1.0)
        inside = {host.name for host in hosts}
        for name in inside:
            for other in self.world.hosts.keys() - inside:
                self.world.network.cuts[name, other] = until
                if not one_way:
                    self.world.network.cuts[other, name] = until

    def _stop_tampering(self, host):
        host.tamperer = None
