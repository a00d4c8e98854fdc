"""A broker's part in the feed: it follows relays, checks configurations and puts them in force in the broker."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from badgerbend.config.feed import NODE_PREFIX, Feed, RelayAt
from badgerbend.config.published import settings_in_force
from badgerbend.config.settings import Settings
from badgerbend.config.sexpr import SettingsError
from badgerbend.discovery.keyed import KeyedList
from badgerbend.feed.configuration import ActiveConfiguration, UnusableConfigurationError
from badgerbend.feed.errors import FeedError
from badgerbend.feed.follower import Follower, FollowerTuning, RelayAddress
from badgerbend.feed.messages import Change
from badgerbend.feed.signature import Ed25519Verifier
from badgerbend.feed_service.follower import FollowerClient
from badgerbend.generation import Generations
from badgerbend.graphql.schema import SchemaError, Subgraph, subgraph
from badgerbend.log import get
from badgerbend.metrics import Metrics

PUBLIC_KEY_BYTES = 32
WAITS = "waits for queries under earlier configurations to end"
TUNING = FollowerTuning()


@dataclass(frozen=True, slots=True)
class Usable:
    """A configuration that this broker can use, and its subgraph."""

    settings: Settings
    graph: Subgraph


def read_public_key(file: Path) -> bytes:
    """The publisher's public key of a file, 64 hexadecimal digits. Raises OSError or ValueError."""
    try:
        key = bytes.fromhex(file.read_text(encoding="ascii"))
    except ValueError as error:
        raise ValueError(f"the feed's public key {file} is not hexadecimal") from error
    if len(key) != PUBLIC_KEY_BYTES:
        raise ValueError(f"the feed's public key {file} has {len(key)} bytes and not {PUBLIC_KEY_BYTES}")
    return key


class Feeding:
    """The owner of a broker's follower (`feednet.follower.FollowerOwner`). Built and used on the broker's loop.

    folder: what the public key's file is relative to. listed: what takes the list of servers, where the feed brings it.
    Raises OSError or ValueError for the public key's file.
    """

    def __init__(
        self,
        settings: Settings,
        feed: Feed,
        folder: Path,
        generations: Generations,
        metrics: Metrics,
        listed: KeyedList | None = None,
        tuning: FollowerTuning = TUNING,
    ) -> None:
        self.own, self.feed, self.generations, self.metrics = settings, feed, generations, metrics
        self.listed = listed
        self.log = get(part="feed")
        self.in_force = ActiveConfiguration(self._read, Usable(settings, generations.newest.graph))
        follower = Follower(
            f"broker-{settings.identity.index}",
            feed.region,
            [_relay_address(relay) for relay in feed.relay],
            Ed25519Verifier(read_public_key(folder / feed.public_key)),
            tuning,
            settings.seed * 104_729 + settings.identity.index,
        )
        self.client = FollowerClient(follower, self)
        self._waiting = False  # a usable configuration waits for room
        self._again: asyncio.Handle | None = None
        generations.on_ended = self._generation_ended

    def start(self) -> None:
        """Begins to follow."""
        self.client.start()

    def close(self) -> None:
        """Follows no longer; what is in force stays."""
        self.client.stop()
        self._waiting = False
        if self._again is not None:
            self._again.cancel()

    @property
    def age_s(self) -> float:
        """How old the replica may be; infinite before a relay was heard."""
        return self.client.follower.age_s(self.client.clock())

    # -- the follower's side
    def install(self, revision: int, changes: tuple[Change, ...]) -> str:
        """Puts changes in force; why the newest configuration is not in force, or nothing."""
        if self.listed is not None:
            self.listed.change(_node_rows(changes))
        for change in changes:
            if change.key == self.feed.configuration:
                self._configure(revision, change.value)
        if self.in_force.rejected is not None:
            return self.in_force.rejected[1]
        return WAITS if self._waiting else ""

    def rejected(self, relay: str, error: FeedError) -> None:
        """A relay sent something that was not used."""
        self.metrics.trouble("feed not used", f"{relay}: {type(error).__name__}: {error}")

    # -- inside
    def _configure(self, revision: int, value: bytes | None) -> None:
        """A configuration that was taken away leaves the one in force as it is."""
        if value is None:
            self.in_force.rejected = None
            return
        reason = self.in_force.stage(revision, value)
        if reason:
            self.metrics.trouble("configuration not usable", f"revision {revision}: {reason}")
            return
        self._put_in_force()

    def _put_in_force(self) -> None:
        self._waiting = not self.generations.room
        if self._waiting or not self.in_force.activate():
            return
        revision, usable = self.in_force.current.revision, self.in_force.current.settings
        if usable.settings != self.generations.newest.settings:
            self.generations.replace(usable.settings, usable.graph)
        self.log.info("configuration in force", revision=revision, earlier=len(self.generations.earlier))

    def _generation_ended(self) -> None:
        """Called amid a turn of the loop; what waits for room is put in force between two."""
        if self._waiting and self._again is None:
            self._again = self.client.loop.call_soon(self._put_waiting_in_force)

    def _put_waiting_in_force(self) -> None:
        self._again = None
        self._put_in_force()
        if not self._waiting and self.in_force.rejected is None:
            self.client.follower.accepted(self.client.clock())

    def _read(self, data: bytes) -> Usable:
        """Raises UnusableConfiguration."""
        key = self.feed.configuration
        try:
            settings = settings_in_force(self.own, data.decode(), key)
            return Usable(settings, self._graph(settings))
        except UnicodeDecodeError as error:
            raise UnusableConfigurationError(f"{key}: not UTF-8 at byte {error.start}") from error
        except SettingsError as error:
            raise UnusableConfigurationError(str(error)) from error
        except SchemaError as error:
            raise UnusableConfigurationError(f"{key}: schema: {error}") from error

    def _graph(self, settings: Settings) -> Subgraph:
        """The subgraph of settings; the one in force where nothing that it is made of has changed."""
        newest = self.generations.newest
        if (settings.field, settings.entity) == (newest.settings.field, newest.settings.entity):
            return newest.graph
        return subgraph(settings, newest.graph.text)


def _node_rows(changes: tuple[Change, ...]) -> dict[str, bytes | None]:
    """Rows of the list of servers among changes, by the server's name."""
    nodes = (change for change in changes if change.key.startswith(NODE_PREFIX))
    return {change.key.removeprefix(NODE_PREFIX): change.value for change in nodes}


def _relay_address(relay: RelayAt) -> RelayAddress:
    host, _, port = relay.address.rpartition(":")
    return RelayAddress(relay.name, relay.region, host, int(port))
