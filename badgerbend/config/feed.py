"""Settings of the feed that a broker follows: its publisher, the relays that serve it, and the keys that are used."""

from __future__ import annotations

from typing import Annotated

import msgspec

from badgerbend.config.value_types import Name, check_host_port

CONFIGURATION_PREFIX = "configuration/"  # prefix of the feed's keys whose value is a configuration
NODE_PREFIX = "node/"  # prefix of the feed's keys whose value is a server of the list
MAX_NAME_LENGTH = 64  # characters in the name of a relay or region

ShortName = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Key = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]


class RelayEndpoint(msgspec.Struct, frozen=True):
    """A relay of the feed, its region, and the TCP address on which it listens."""

    name: ShortName
    region: ShortName
    address: Name

    def __post_init__(self) -> None:
        check_host_port(self.address, "address")


class Feed(msgspec.Struct, frozen=True):
    """The feed that this broker follows. Without this form the broker follows none.

    public_key: the file with the publisher's public key as 64 hexadecimal digits.
    region: the broker's own region; relays of the same region are tried first.
    configuration: the key under which the broker's configuration is published.
    list: whether the list of servers is taken from the feed instead of Consul.
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
