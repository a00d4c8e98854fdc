"""Settings of a fleet: other brokers to learn from, sites that fail together, and duties that one broker holds."""

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
    """Other brokers to learn from. Without this nothing is opened. key: files, the first seals, a second is accepted.

    port: UDP, for membership; knowledge_port: TCP, where records are read. Learning goes on until `until_ms` after
    the start, every `every_ms`, from `ask` peers each time.
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
    """Machines that fail together. zones: of its servers, as the list states them; brokers: how many stand there.

    near: sites that come before the others when this one's work goes elsewhere, both ways.
    """

    name: Name
    zones: tuple[CountOrZero, ...]
    brokers: CountOrZero
    near: tuple[Name, ...] = ()


class Sites(msgspec.Struct, frozen=True):
    """Preference among sites. Without this all servers stand alike.

    spill: at most this share of a site's spare room is taken by work of other sites. server_parts_per_s: what a warm
    server of size 1 can serve. fill: a site's servers are filled to this before its work goes elsewhere. watch: the
    share of parts that goes to other sites even so, by which a broker knows their state. util: the name, among those
    reported by servers, of the share of a server's capacity in use.

    out_below: a site that brings fewer of its parts to a good end is out. hold_ms: it stays so at least this long,
    twice as long with each turn, up to hold_most_ms; what is held against it halves in fade_ms. trials: so many good
    answers one after another let it return. first: the share of its work it then gets; step_ms: how often that
    grows. connections_per_s: the pace at which connections to a returning site are opened ahead. key: a file; who
    sends its content may drain and return sites.
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
        """The site of a zone."""
        return next((s for s in self.site if zone in s.zones), None)


class VoterEndpoint(msgspec.Struct, frozen=True):
    """A broker that votes, and the UDP address where others reach it."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    address: Name

    def __post_init__(self) -> None:
        check_host_port(self.address, "address")


class Duties(msgspec.Struct, frozen=True):
    """What one broker at a time does for all. Without this nothing is opened. The same for the whole fleet, but for
    `store`, `host`, `port` and `advertise`.

    voter: the few brokers that agree on who holds what. key: files, the first seals, a second is accepted. store: the
    folder in which this broker votes, made by `badgerbend voters create`; none: it does not vote. advertise: where
    others reach it, if not at host and port.

    lease_ms: a duty whose holder is silent falls free after this. clock_rate: no machine's clock runs faster or slower
    than true time by more than this share. ask_ms: a candidate shows itself so often. stall_ms: a broker whose loop
    stood still for so long acts again only once confirmed. election_ms: without a leader for one to two of these,
    voters choose another; beat_ms: a leader is heard so often.

    probing: whether doubted servers are asked by the duty's holder, each every `probe_every_ms`, `probes` at once.
    dealing: whether what brokers may send to cold servers is dealt by demand; a slice of it lasts `slice_ms`.
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
        for what, texts in (("name", [v.name for v in self.voter]), ("address", [v.address for v in self.voter])):
            for text in texts:
                if texts.count(text) > 1:
                    raise ValueError(f"two voters have the {what} {text}")
        if self.advertise is not None:
            check_host_port(self.advertise, "advertise")
        if self.lease_ms < 2 * self.stall_ms:
            raise ValueError("lease-ms must be at least twice stall-ms")
        if self.slice_ms > self.lease_ms:
            raise ValueError("slice-ms must not be longer than lease-ms: a new dealer waits for the last one's slices")
        if self.election_ms < 3 * self.beat_ms:
            raise ValueError("election-ms must be at least three times beat-ms, or one lost beat elects another")
