"""A broker's subscription: it follows relays, validates configurations and activates them in the broker."""

from __future__ import annotations

import asyncio
from pathlib import Path

from badgerbend.config.feed import NODE_PREFIX, Feed, RelayEndpoint
from badgerbend.config.settings import Settings
from badgerbend.discovery.keyed import KeyedList
from badgerbend.feed.configuration import ActiveConfiguration
from badgerbend.feed.errors import FeedError
from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import FollowerTuning, RelayAddress
from badgerbend.feed.messages import Change
from badgerbend.feed.signature import Ed25519Verifier
from badgerbend.feed_service.follower import FollowerClient
from badgerbend.feed_subscription.public_key import read_public_key
from badgerbend.feed_subscription.reader import ConfigurationReader, UsableConfiguration
from badgerbend.feed_subscription.rejections import describe_rejection
from badgerbend.generations.manager import GenerationManager
from badgerbend.log import get_logger
from badgerbend.metrics import Metrics

WAITING_FOR_CAPACITY = "waits for queries under earlier configurations to end"  # reported to relays
DEFAULT_TUNING = FollowerTuning()


class FeedSubscription:
    """The owner of a broker's follower, see `feed_service.follower.FollowerOwner`. Used on the broker's loop only.

    folder: the directory that the path of the public key is relative to. endpoint_list: receives the entries of servers
    if the endpoint list comes from the feed. Raises OSError or PublicKeyError if the public key cannot be read.
    """

    def __init__(
        self,
        settings: Settings,
        feed: Feed,
        folder: Path,
        generations: GenerationManager,
        metrics: Metrics,
        endpoint_list: KeyedList | None = None,
        tuning: FollowerTuning = DEFAULT_TUNING,
    ) -> None:
        self.feed = feed
        self.generations = generations
        self.metrics = metrics
        self.endpoint_list = endpoint_list
        self.log = get_logger(part="feed")
        reader = ConfigurationReader(settings, feed.configuration, generations)
        self.active_configuration = ActiveConfiguration(
            reader.read, UsableConfiguration(settings, generations.current.graph)
        )
        follower = Follower(
            f"broker-{settings.identity.index}",
            feed.region,
            [_relay_address(relay) for relay in feed.relay],
            Ed25519Verifier(read_public_key(folder / feed.public_key)),
            tuning,
            settings.seed * 104_729 + settings.identity.index,
        )
        self.client = FollowerClient(follower, self)
        self._waiting_for_capacity = False  # a usable configuration waits for a generation to drain
        self._activation: asyncio.Handle | None = None
        generations.on_drained = self._schedule_activation

    def start(self) -> None:
        """Start to follow the feed."""
        self.client.start()

    def close(self) -> None:
        """Stop following the feed; the active configuration is kept."""
        self.client.stop()
        self._waiting_for_capacity = False
        if self._activation is not None:
            self._activation.cancel()

    @property
    def age_s(self) -> float:
        """Upper bound of the age of the replica in seconds; infinite before the first heartbeat of a relay."""
        return self.client.follower.age_s(self.client.clock())

    # Implementation of FollowerOwner.

    def install(self, revision: int, changes: tuple[Change, ...]) -> str:
        """Apply changes. Returns why the newest configuration is not active, or an empty string."""
        if self.endpoint_list is not None:
            self.endpoint_list.change(_endpoint_rows(changes))
        for change in changes:
            if change.key == self.feed.configuration:
                self._receive_configuration(revision, change.value)
        if self.active_configuration.rejected is not None:
            return self.active_configuration.rejected.reason
        return WAITING_FOR_CAPACITY if self._waiting_for_capacity else ""

    def rejected(self, relay: str, error: FeedError) -> None:
        """Report the rejection of data from a relay as a fault."""
        self.metrics.report_fault("feed not used", describe_rejection(relay, error))

    # Activation.

    def _receive_configuration(self, revision: int, value: bytes | None) -> None:
        """Validate and activate a configuration; its removal (None) leaves the active one unchanged."""
        if value is None:
            self.active_configuration.rejected = None
            return
        reason = self.active_configuration.stage(revision, value)
        if reason:
            self.metrics.report_fault("configuration not usable", f"revision {revision}: {reason}")
            return
        self._activate()

    def _activate(self) -> None:
        """Activate the newest usable configuration, or wait until another generation may begin."""
        self._waiting_for_capacity = not self.generations.has_capacity
        if self._waiting_for_capacity or not self.active_configuration.activate():
            return
        usable = self.active_configuration.current.settings
        if usable.settings != self.generations.current.settings:
            self.generations.activate(usable.settings, usable.graph)
        self.log.info(
            "configuration in force",
            revision=self.active_configuration.current.revision,
            earlier=len(self.generations.draining),
        )

    def _schedule_activation(self) -> None:
        """Activate a waiting configuration after the current turn of the loop, in which a generation has drained."""
        if self._waiting_for_capacity and self._activation is None:
            self._activation = self.client.loop.call_soon(self._activate_waiting)

    def _activate_waiting(self) -> None:
        self._activation = None
        self._activate()
        if not self._waiting_for_capacity and self.active_configuration.rejected is None:
            self.client.follower.accepted(self.client.clock())


def _endpoint_rows(changes: tuple[Change, ...]) -> dict[str, bytes | None]:
    """Return the changed entries of the endpoint list by server name."""
    rows = (change for change in changes if change.key.startswith(NODE_PREFIX))
    return {change.key.removeprefix(NODE_PREFIX): change.value for change in rows}


def _relay_address(relay: RelayEndpoint) -> RelayAddress:
    host, _, port = relay.address.rpartition(":")
    return RelayAddress(relay.name, relay.region, host, int(port))
