"""Settings of a fleet: peers that share their knowledge, sites, and duties that one broker at a time performs."""

from __future__ import annotations

from typing import Annotated

import msgspec

from badgerbend.config.value_types import (
    Count,
    CountOrZero,
    Fraction,
    FractionOrZero,
    Name,
    Port,
    Positive,
    check_host_port,
)


class Peers(msgspec.Struct, frozen=True):
    """Other brokers from which this one pulls knowledge. Without this form no port is opened.

    key: key files. The first key seals messages; messages sealed with a second one are accepted too.
    port: the UDP port for membership. knowledge_port: the TCP port on which peers read this broker's record.
    every_ms, ask, until_ms: until `until_ms` after the start, the broker pulls from `ask` peers every `every_ms`.
    """

    key: tuple[Name, ...]
    seed: tuple[Name, ...] = ()
    host: Name = "127.0.0.1"
    port: Port = 7946
    knowledge_port: Port = 7947
    period_ms: Positive = 1000.0
    ask: Annotated[int, msgspec.Meta(ge=1, le=16)] = 3
    every_ms: Positive = 5000.0
    until_ms: Positive = 30_000.0

    def __post_init__(self) -> None:
        if not 1 <= len(self.key) <= 2:
            raise ValueError("key takes one file, or two while one key replaces the other")
        for seed in self.seed:
            check_host_port(seed, "seed")


class Site(msgspec.Struct, frozen=True):
    """A group of machines that fail together.

    zones: the zones of its servers, as stated in the list of servers. brokers: the number of brokers at the site.
    near: sites that are preferred over the others when this site's work spills. The relation holds both ways.
    """

    name: Name
    zones: tuple[CountOrZero, ...]
    brokers: CountOrZero
    near: tuple[Name, ...] = ()


class Sites(msgspec.Struct, frozen=True):
    """Preference of a broker's own site over others. Without this form all servers are preferred equally.

    spill: the highest share of a site's spare capacity that work of other sites may use.
    server_parts_per_s: the capacity of a warm server of size 1.
    fill: the utilization up to which a site's servers are used before its work spills to other sites.
    watch: the share of parts that is sent to other sites anyway, so that the broker observes their state.
    util: the name of the reported value that states the share of a server's capacity in use.

    out_below: a site is ejected when the share of its parts that succeed falls below this.
    hold_ms: the shortest time of an ejection. It doubles with each ejection, up to hold_most_ms.
    fade_ms: the half-life of the record of past ejections.
    trials: the number of consecutive good answers after which an ejected site returns.
    first: the share of its work that a returning site gets at first; step_ms: the interval at which the share grows.
    connections_per_s: the rate at which connections to a returning site are opened in advance.
    key: a key file; whoever presents its content may drain and return sites.
    """

    site: tuple[Site, ...]
    server_parts_per_s: Positive
    spill: Fraction = 0.8
    fill: Fraction = 0.85
    watch: FractionOrZero = 0.03
    util: Name = "util"
    out_below: Fraction = 0.5
    hold_ms: Positive = 1500.0
    hold_most_ms: Positive = 60_000.0
    fade_ms: Positive = 30_000.0
    trials: Count = 8
    first: Fraction = 0.05
    step_ms: Positive = 500.0
    connections_per_s: Positive = 20.0
    key: Name | None = None

    def __post_init__(self) -> None:
        names = [s.name for s in self.site]
        zones = [z for s in self.site for z in s.zones]
        if len(self.site) < 2:
            raise ValueError("a preference needs two sites or more")
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"two sites are named {name}")
        for zone in zones:
            if zones.count(zone) > 1:
                raise ValueError(f"zone {zone} stands in two sites")
        for site in self.site:
            if not site.zones:
                raise ValueError(f"site {site.name} has no zones")
            for name in site.near:
                if name not in names or name == site.name:
                    raise ValueError(f"site {site.name} is near {name}, which is no other site")
        if self.hold_most_ms < self.hold_ms:
            raise ValueError("hold-most-ms must not be less than hold-ms")

    def site_of_zone(self, zone: int) -> Site | None:
        """The site to which a zone belongs; None if it belongs to none."""
        return next((s for s in self.site if zone in s.zones), None)


class VoterEndpoint(msgspec.Struct, frozen=True):
    """A broker that is a voter, and the UDP address at which other brokers reach it."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    address: Name

    def __post_init__(self) -> None:
        check_host_port(self.address, "address")


class Duties(msgspec.Struct, frozen=True):
    """Duties that one broker at a time performs for the whole fleet. Without this form no port is opened.

    All brokers of a fleet have the same values, except for `store`, `host`, `port` and `advertise`.

    voter: the brokers that form the quorum which grants leases on duties.
    key: key files. The first key seals messages; messages sealed with a second one are accepted too.
    store: the folder with this broker's voter store, made by `badgerbend voters create`; without it the broker is
    no voter.
    advertise: the address at which other brokers reach this one, if it is not host and port.

    lease_ms: a duty becomes free when its holder has not renewed the lease for this long.
    clock_rate: the largest relative error of any machine's clock rate, on which the leases' safety rests.
    ask_ms: the interval at which a candidate sends its lease requests.
    stall_ms: a broker whose event loop stalled for this long acts again only after its lease is confirmed.
    election_ms: without a leader for one to two times this long, voters elect another.
    beat_ms: the interval of a leader's heartbeats.

    probing: whether the holder of the duty sends health checks to suspected servers: to each one every
    `probe_every_ms`, and to at most `probes` at once.
    dealing: whether the requests that brokers may send to servers that are warming up are divided among the brokers
    by demand. A grant lasts `slice_ms`.
    """

    key: tuple[Name, ...]
    voter: tuple[VoterEndpoint, ...]
    host: Name = "127.0.0.1"
    port: Port = 7960
    advertise: Name | None = None
    store: Name | None = None
    lease_ms: Positive = 2000.0
    clock_rate: Annotated[float, msgspec.Meta(ge=0, lt=0.5)] = 0.01
    ask_ms: Positive = 1000.0
    stall_ms: Positive = 500.0
    election_ms: Positive = 500.0
    beat_ms: Positive = 100.0
    probing: bool = True
    probe_every_ms: Positive = 500.0
    probes: Count = 8
    dealing: bool = True
    slice_ms: Positive = 1000.0

    def __post_init__(self) -> None:
        if not 1 <= len(self.key) <= 2:
            raise ValueError("key takes one file, or two while one key replaces the other")
        if len(self.voter) not in (1, 3, 5, 7):
            raise ValueError(f"{len(self.voter)} voters; 1, 3, 5 or 7 leave no tie")
        for label, values in (("name", [v.name for v in self.voter]), ("address", [v.address for v in self.voter])):
            for value in values:
                if values.count(value) > 1:
                    raise ValueError(f"two voters have the {label} {value}")
        if self.advertise is not None:
            check_host_port(self.advertise, "advertise")
        if self.lease_ms < 2 * self.stall_ms:
            raise ValueError("lease-ms must be at least twice stall-ms")
        if self.slice_ms > self.lease_ms:
            raise ValueError("slice-ms must not be longer than lease-ms: a new dealer waits for the last one's slices")
        if self.election_ms < 3 * self.beat_ms:
            raise ValueError("election-ms must be at least three times beat-ms, or one lost beat elects another")
