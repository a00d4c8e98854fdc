"""Passes ages and memory of the simulated hosts to the invariant checker, and finds out whether all has settled."""

from tests.simfeed_settings import RELAY


class Watcher:
    """Inspects all hosts at intervals."""

    def __init__(self, world):
        self.world = world

    def check_hosts(self):
        """Check the ages and the memory of all hosts that run."""
        for host in self.world.hosts.values():
            if not host.running:
                continue
            if host.voter is not None and self.world.now >= host.suspended_until:
                self.world.runner.collect(host)
            if host.follower is not None:
                self._check_age(host, host.follower)
            if host.voter is not None:
                self._check_age(host, host.relay)
            if host.relay is not None:
                self._check_relay(host)

    def check_stream(self, host, stream):
        """Check the bytes in flight on a connection."""
        if not stream.was_tampered_with:
            allowed = RELAY.send_window + stream.largest_frame
            self.world.checker.check_in_flight(host.name, stream.number, len(stream.down.waiting), allowed)

    def _check_age(self, host, part):
        self.world.checker.check_age(
            self.world.now, host.name, host.log.revision, part.age_s(host.local()), host.age_bound_s
        )

    def _check_relay(self, host):
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
        """Return why the feed has not settled, or an empty string.

        It has settled when all hosts have the newest revision and the publisher knows it.
        """
        newest = self.world.checker.agreed.newest
        if any(not host.running for host in self.world.hosts.values()):
            return "a host is down"
        publishers = [host for host in self.world.running_controls() if host.publisher.epoch]
        if len(publishers) != 1:
            return f"{len(publishers)} publishers"
        publisher = publishers[0].publisher
        if not publisher.is_idle:
            return "a publication is in flight"
        behind = [h.name for h in self.world.hosts.values() if h.log.revision != newest]
        if behind:
            return f"behind: {behind}"
        if len({host.log.content.digest() for host in self.world.hosts.values()}) != 1:
            return "digests differ"
        progress = publisher.progress(publishers[0].local(), newest)
        followers = sum(host.follower is not None for host in self.world.hosts.values())
        if (progress.followers, progress.applied) != (followers, followers):
            return (
                f"the publisher counts {progress.applied} of {progress.followers} followers as current; {followers} run"
            )
        return ""
