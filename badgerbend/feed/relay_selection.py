"""Selection of the relay that a follower connects to next, and of the backoff before it. This module does no I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from badgerbend.feed.follower_types import FollowerTuning, RelayAddress

MAX_BACKOFF_DOUBLINGS = 20  # prevents overflow; `backoff_max` is reached with fewer doublings
STALE_RETRY_MIN_FACTOR = 0.5  # of the interval; the jitter keeps followers from returning to a stale relay together


class RelaySelector:
    """Prefers relays of the follower's region, skips relays to be avoided, and backs off exponentially."""

    def __init__(self, region: str, relays: Sequence[RelayAddress], tuning: FollowerTuning, rng: random.Random) -> None:
        self.region = region
        self.tuning = tuning
        self._random = rng
        self._relays = self._by_preference(relays)
        self._avoided_until: dict[str, float] = {}
        self._failures = 0

    def next_relay(self, now: float) -> RelayAddress:
        """Select a relay by round robin, starting with the preferred one.

        Relays to be avoided are selected only if there are no others.
        """
        usable = [relay for relay in self._relays if self._is_usable(relay, now)]
        candidates = usable or self._relays
        return candidates[self._failures % len(candidates)]

    def next_backoff(self) -> float:
        """Count a failure and return the backoff before the next attempt in seconds, with full jitter."""
        doubled = self.tuning.backoff_base * 2.0 ** min(self._failures, MAX_BACKOFF_DOUBLINGS)
        self._failures += 1
        return self._random.random() * min(self.tuning.backoff_max, doubled)

    def record_success(self) -> None:
        """Reset the backoff and start again with the preferred relay, as the follower has caught up with its relay."""
        self._failures = 0

    def quarantine(self, relay: RelayAddress, now: float) -> None:
        """Avoid a relay that sent invalid data."""
        self._avoided_until[relay.name] = now + self.tuning.quarantine

    def avoid_stale(self, relay: RelayAddress, now: float) -> None:
        """Avoid a relay whose own log is stale."""
        factor = self._random.uniform(STALE_RETRY_MIN_FACTOR, 1.0)
        self._avoided_until[relay.name] = now + self.tuning.stale_retry_interval * factor

    def has_alternative(self, relay: RelayAddress, now: float) -> bool:
        """Whether a relay other than this one may be tried now."""
        return any(other != relay and self._is_usable(other, now) for other in self._relays)

    def is_remote(self, relay: RelayAddress) -> bool:
        """Whether this relay is in another region although the follower's own region has relays."""
        has_local = any(other.region == self.region for other in self._relays)
        return has_local and relay.region != self.region

    def _by_preference(self, relays: Sequence[RelayAddress]) -> list[RelayAddress]:
        """Return the relays with those of the own region first.

        Each group is in random order, so that followers are spread over the relays.
        """
        shuffled = list(relays)
        self._random.shuffle(shuffled)
        return sorted(shuffled, key=lambda relay: relay.region != self.region)

    def _is_usable(self, relay: RelayAddress, now: float) -> bool:
        return self._avoided_until.get(relay.name, -math.inf) <= now
