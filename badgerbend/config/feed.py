"""Settings of the feed that a broker follows: who publishes, which relays serve it, and what of it is this broker's."""

from __future__ import annotations

from typing import Annotated

import msgspec

from badgerbend.config.value_types import Name, check_host_port

CONFIGURATION_PREFIX = "configuration/"  # keys of the feed that begin so hold a configuration
NODE_PREFIX = "node/"  # and those that begin so a server of the list
MOST_NAME = 64  # characters of a relay's or a region's name

ShortName = Annotated[str, msgspec.Meta(min_length=1, max_length=MOST_NAME)]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class RelayEndpoint(msgspec.Struct, frozen=True):
    """A relay of the feed, the region it stands in, and the TCP address where it listens."""

    name: ShortName
    region: ShortName
    address: Name

    def __post_init__(self) -> None:
        check_host_port(self.address, "address")


class Feed(msgspec.Struct, frozen=True):
    """The feed that this broker follows. Without this none is followed.

    public_key: the file with the publisher's public key, 64 hexadecimal digits. region: this broker's; relays of the
    same region are tried first. configuration: the key under which its configuration is published. list: whether the
    list of servers comes from the feed too, in place of Consul's.
    """

    public_key: Name
    region: ShortName
    relay: tuple[RelayEndpoint, ...]
    configuration: Key = f"{CONFIGURATION_PREFIX}broker"
    list: bool = False

    def __post_init__(self) -> None:
        if not self.relay:
            raise ValueError("a feed needs one relay or more")
        names = [relay.name for relay in self.relay]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"two relays are named {name}")
        if not self.configuration.startswith(CONFIGURATION_PREFIX) or self.configuration == CONFIGURATION_PREFIX:
            raise ValueError(f"configuration {self.configuration} is not {CONFIGURATION_PREFIX}NAME")
