"""Changes that are submitted to the simulated publishers."""

from badgerbend.feed.messages import Change
from tests.simfeed_settings import KEYS


class ChangeSource:
    """Submits random changes to the hosts that publish."""

    def __init__(self, world):
        self.world = world

    def submit(self):
        """Submit a few changes to each publisher that is running."""
        for name in self.world.voters:
            host = self.world.hosts[name]
            if (
                host.running
                and self.world.now >= host.suspended_until
                and host.publisher.epoch
                and not self.world.healed
            ):
                self.submit_to(host, self.world.rng.randint(1, 4))

    def submit_to(self, host, number):
        """Submit a number of changes. Some batches change one key twice: the later change must win."""
        changes = [self._random_change() for _ in range(number)]
        if self.world.rng.random() < 0.2:
            changes.append(Change(changes[0].key, self._random_value()))
        if not host.publisher.submit(host.local(), changes):
            self.world.checker.record_submitted(host.name, changes)
        self.world.runner.collect(host)

    def _random_change(self):
        key = f"node/{self.world.rng.randrange(KEYS)}"
        return Change(key, None if self.world.rng.random() < 0.2 else self._random_value())

    def _random_value(self):
        size = self.world.rng.choice((5, 40, 40, 200, 200, 1200))
        return f"{next(self.world.values)} ".encode() + self.world.rng.randbytes(size)
