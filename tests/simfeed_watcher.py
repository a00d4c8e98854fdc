"""What the checker sees of the simulated feed, beside installs: ages, memory, and whether all has settled."""

from tests.simfeed_settings import RELAY


class Watcher:
    """Looks at all hosts in regular intervals."""

    def __init__(self, world):
        self.world = world

    def watch(self):
        """Look at the ages and the memory of all hosts that run."""
        for host in self.world.hosts.values():
            if not host.running:
                continue
            if host.voter is not None and self.world.now >= host.suspended_until:
                self.world.runner.collect(host)
            if host.follower is not None:
                self._watch_age(host, host.follower)
            if host.voter is not None:
                self._watch_age(host, host.relay)
            if host.relay is not None:
                self._watch_relay(host)

    def watch_stream(self, host, stream):
        """Look at the bytes in flight of a connection."""
        if not stream.was_lied_to:
            allowed = RELAY.send_window + stream.largest_frame
            self.world.checker.check_in_flight(host.name, stream.number, len(stream.down.waiting), allowed)

    def _watch_age(self, host, part):
        self.world.checker.check_age(
            self.world.now, host.name, host.log.revision, part.age_s(host.local()), host.age_bound_s
        )

    def _watch_relay(self, host):
        images = [s.image for s in host.relay.sessions.values() if s.image is not None]
        loading = len(images)
        retained = {id(image) for image in (*images, host.relay.transfers.cache.image) if image is not None}
        self.world.checker.check_relay_memory(
            host.name,
            len(retained),
            loading,
            RELAY.max_concurrent_snapshots,
        )

    def unsettled(self):
        """Why not all hosts hold the newest revision with the publisher knowing it; empty if they do."""
        newest = self.world.checker.agreed.newest
        if any(not host.running for host in self.world.hosts.values()):
            return "a host is down"
        publishers = [host for host in self.world.running_controls() if host.publisher.epoch]
        if len(publishers) != 1:
            return f"{len(publishers)} publishers"
        publisher = publishers[0].publisher
        if not publisher.is_idle:
            return "a publication is on its way"
        behind = [h.name for h in self.world.hosts.values() if h.log.revision != newest]
        if behind:
            return f"behind: {behind}"
        if len({host.log.content.digest() for host in self.world.hosts.values()}) != 1:
            return "digests differ"
        progress = publisher.progress(publishers[0].local(), newest)
        followers = sum(host.follower is not None for host in self.world.hosts.values())
        if (progress.followers, progress.applied) != (followers, followers):
            return f"progress says {progress.applied} of {progress.followers}, {followers} run"
        return ""
