"""The broker's settings: what can be set, its bounds, its default, and how the parts must fit together.

Times are milliseconds unless a name says seconds. `module_settings` gives the decision module its share.
"""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from badgerbend import api
from badgerbend.config.decode import decode
from badgerbend.config.sexpr import Atom, Form, SettingsError, Symbol, read

Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
ShareOrNone = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
CountOrNone = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Listen(msgspec.Struct, frozen=True):
    host: Name = "127.0.0.1"
    port: Port = 8080
    max_connections: Count = 10_000
    max_head_bytes: Count = 16_384
    max_body_bytes: Count = 262_144
    read_timeout_ms: Positive = 10_000.0
    idle_timeout_ms: Positive = 75_000.0
    stop_timeout_ms: Positive = 10_000.0
    answer_allowance_ms: NotNegative = 120.0  # kept back of a client's time, to merge and write the answer


class Identity(msgspec.Struct, frozen=True):
    index: CountOrNone = 0
    count: Count = 1
    zone: CountOrNone = 0

    def __post_init__(self) -> None:
        if self.index >= self.count:
            raise ValueError(f"index {self.index} must be less than count {self.count}")


class Layout(msgspec.Struct, frozen=True):
    """Shard s is held by the servers of cells s mod cells .. s mod cells + reach - 1."""

    shards: Count
    cells: Count
    reach: Count = 1

    def __post_init__(self) -> None:
        if self.reach > self.cells:
            raise ValueError(f"reach {self.reach} must not exceed cells {self.cells}")


class Discovery(msgspec.Struct, frozen=True):
    """Consul's health endpoint; push keeps a watch up by itself, ask waits for the decision to follow."""

    host: Name = "127.0.0.1"
    port: Port = 8500
    service: Name = "rates"
    mode: Literal["push", "ask"] = "push"
    wait_ms: Positive = 30_000.0
    must_ask_ms: Positive = 10_000.0
    max_bytes: Annotated[int, msgspec.Meta(ge=1, le=1 << 30)] = 16_777_216  # thousands of servers


class Servers(msgspec.Struct, frozen=True):
    parts_per_call: Count = 1
    connect_timeout_ms: Positive = 250.0
    idle_ms: Positive = 15_000.0
    max_answer_bytes: Annotated[int, msgspec.Meta(ge=1, le=1 << 30)] = 4_194_304
    report: tuple[Name, ...] = ("util", "latency_ms")
    cold_from: Share = 0.2
    cold_ms: Positive = 15_000.0
    overload_factor: Positive = 3.0
    fall_ms: Positive = 1000.0


class Attempts(msgspec.Struct, frozen=True):
    most: Count = 4
    second_copies: bool = True
    cancel: bool = True
    free: NotNegative | None = None
    share: NotNegative | None = None
    window_ms: Positive | None = None

    def __post_init__(self) -> None:
        if len({self.free is None, self.share is None, self.window_ms is None}) > 1:
            raise ValueError("free, share and window-ms make the budget together: give all three or none")


class Class(msgspec.Struct, frozen=True):
    """A class of query. need, floor: shares of the parts' weight for a whole and for any answer."""

    name: Name
    aim_ms: Positive
    deadline_ms: Positive
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    repeat_window_ms: NotNegative = 0.0
    late_worth: ShareOrNone = 0.3
    worth: NotNegative = 1.0
    need: Share = 1.0
    floor: Share | None = None
    partial: ShareOrNone = 0.9
    second_step: CountOrNone = 0

    def __post_init__(self) -> None:
        if self.deadline_ms < self.aim_ms:
            raise ValueError("deadline-ms must not be less than aim-ms")
        if self.floor is not None and self.floor > self.need:
            raise ValueError("floor must not exceed need")
        if (self.effect == "keyed") != (self.repeat_window_ms > 0):
            raise ValueError("repeat-window-ms goes with effect keyed, and only with it")


class Tenant(msgspec.Struct, frozen=True):
    name: Name
    quota_per_s: NotNegative


class FieldMap(msgspec.Struct, frozen=True):
    """How a root field of the schema is served.

    blocks: its argument that names the blocks. A query field fetches `fetch` of each block's `entity`; a
    mutation is sent to the server as it is. Rows are ranked by `rank_by` (ascending, ties by block) where it is
    given and cut to the argument `first_by`. `detail` is fetched in the class's second step for the best rows.
    """

    name: Name
    class_: Name
    blocks: Name
    entity: Name = "RateBlock"
    fetch: Name | None = None
    rank_by: Name | None = None
    first_by: Name | None = None
    detail: Name | None = None


class EntityMap(msgspec.Struct, frozen=True):
    """An entity that routers may refer to. Its key begins with its block's number, ended by a colon or its end."""

    name: Name
    class_: Name
    key: Name = "id"


class Documents(msgspec.Struct, frozen=True):
    """Limits on what a client may send, before anything is fetched."""

    cached: Count = 1000
    max_tokens: Count = 2000
    max_depth: Count = 12
    max_root_fields: Count = 20
    max_fields: Count = 500
    max_blocks: Count = 200
    max_representations: Count = 200
    introspection: bool = True


class Advice(msgspec.Struct, frozen=True):
    retry_after: bool = True
    max_retry_after_ms: NotNegative = 1000.0


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
            _host_port(seed, "seed")


class Snapshot(msgspec.Struct, frozen=True):
    """What the broker has seen, on disk, for its own next start."""

    file: Name
    every_ms: Positive = 2000.0


class Site(msgspec.Struct, frozen=True):
    """Machines that fail together. zones: of its servers, as the list states them; brokers: how many stand there.

    near: sites that come before the others when this one's work goes elsewhere, both ways.
    """

    name: Name
    zones: tuple[CountOrNone, ...]
    brokers: CountOrNone
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
    spill: Share = 0.8
    fill: Share = 0.85
    watch: ShareOrNone = 0.03
    util: Name = "util"
    out_below: Share = 0.5
    hold_ms: Positive = 1500.0
    hold_most_ms: Positive = 60_000.0
    fade_ms: Positive = 30_000.0
    trials: Count = 8
    first: Share = 0.05
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

    def home(self, zone: int) -> Site | None:
        """The site of a zone."""
        return next((s for s in self.site if zone in s.zones), None)


def _host_port(text: str, what: str) -> None:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{what} {text} is not HOST:PORT")


class VoterAt(msgspec.Struct, frozen=True):
    """A broker that votes, and the UDP address where others reach it."""

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    address: Name

    def __post_init__(self) -> None:
        _host_port(self.address, "address")


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
    voter: tuple[VoterAt, ...]
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
            _host_port(self.advertise, "advertise")
        if self.lease_ms < 2 * self.stall_ms:
            raise ValueError("lease-ms must be at least twice stall-ms")
        if self.slice_ms > self.lease_ms:
            raise ValueError("slice-ms must not be longer than lease-ms: a new dealer waits for the last one's slices")
        if self.election_ms < 3 * self.beat_ms:
            raise ValueError("election-ms must be at least three times beat-ms, or one lost beat elects another")


class Log(msgspec.Struct, frozen=True):
    form: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Settings(msgspec.Struct, frozen=True):
    layout: Layout
    class_: tuple[Class, ...]
    schema: Name
    field: tuple[FieldMap, ...]
    entity: tuple[EntityMap, ...] = ()
    listen: Listen = Listen()
    identity: Identity = Identity()
    discovery: Discovery = Discovery()
    servers: Servers = Servers()
    attempts: Attempts = Attempts()
    tenant: tuple[Tenant, ...] = ()
    documents: Documents = Documents()
    advice: Advice = Advice()
    log: Log = Log()
    peers: Peers | None = None
    snapshot: Snapshot | None = None
    sites: Sites | None = None
    duties: Duties | None = None
    max_open: Count = 20_000
    over_share_worth: NotNegative = 0.1
    seed: CountOrNone = 1

    def __post_init__(self) -> None:
        for what, names in (
            ("class", [c.name for c in self.class_]),
            ("tenant", [t.name for t in self.tenant]),
            ("field", [f.name for f in self.field]),
            ("entity", [e.name for e in self.entity]),
        ):
            for name in names:
                if names.count(name) > 1:
                    raise ValueError(f"two settings for {what} {name}")
        known = {c.name: c for c in self.class_}
        users: tuple[FieldMap | EntityMap, ...] = (*self.field, *self.entity)
        for user in users:
            if user.class_ not in known:
                raise ValueError(f"{user.name} has class {user.class_}, which is none of {', '.join(known)}")
        for field in self.field:
            if field.detail and not known[field.class_].second_step:
                raise ValueError(f"field {field.name} has a detail, but class {field.class_} no second-step")

        if self.sites is not None:
            home = self.sites.home(self.identity.zone)
            stand = sum(s.brokers for s in self.sites.site)
            if home is None or not home.brokers:
                raise ValueError(f"identity's zone {self.identity.zone} is in no site that has brokers")
            if stand != self.identity.count:
                raise ValueError(f"the sites have {stand} brokers together, identity counts {self.identity.count}")

    def class_index(self, name: str) -> int:
        return next(i for i, c in enumerate(self.class_) if c.name == name)


def load(path: str | Path) -> Settings:
    """The settings in a file, one form `(broker ...)`. Raises SettingsError, also for a file not to be read."""
    return parse(read_text(path), str(path))


def read_text(path: str | Path) -> str:
    """A settings file's text. Raises SettingsError where it cannot be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise SettingsError(str(path), 1, 1, "", f"cannot be read: {err}") from err


def parse(text: str, file: str) -> Settings:
    """As `load`, from a text; `file` is named in errors."""
    return decode(Settings, only_form(text, file, "broker"), file, "broker")


def only_form(text: str, file: str, name: str) -> Form:
    """The one top form of a file, which must begin with `name`."""
    items = read(text, file)
    if not items:
        raise SettingsError(file, 1, 1, "", f"expected ({name} ...), found nothing")
    form = items[0]
    head = form.items[0] if isinstance(form, Form) and form.items else None
    if not isinstance(form, Form) or not isinstance(head, Atom) or head.value != Symbol(name):
        raise SettingsError(file, form.line, form.column, "", f"expected ({name} ...)")
    if len(items) > 1:
        raise SettingsError(file, items[1].line, items[1].column, "", f"expected nothing after ({name} ...)")
    return form


def form_name(path: str | Path) -> str:
    """The name of a file's first form, as `day`; empty where there is none. Raises SettingsError."""
    items = read(read_text(path), str(path))
    form = items[0] if items else None
    head = form.items[0] if isinstance(form, Form) and form.items else None
    return head.value.name if isinstance(head, Atom) and isinstance(head.value, Symbol) else ""


def module_settings(s: Settings) -> api.Settings:
    """What the decision module is told of the settings."""
    return api.Settings(
        classes=tuple(
            api.QueryClass(
                c.aim_ms, c.deadline_ms, c.effect, c.repeat_window_ms, c.late_worth, c.worth, c.need,
                c.need if c.floor is None else c.floor, c.partial, c.second_step,
            )
            for c in s.class_
        ),
        tenants=tuple(api.Tenant(t.quota_per_s) for t in s.tenant),
        broker=s.identity.index,
        brokers=s.identity.count,
        zone=s.identity.zone,
        cells=s.layout.cells,
        reach=s.layout.reach,
        parts_per_call=s.servers.parts_per_call,
        max_attempts=s.attempts.most,
        max_open=s.max_open,
        second_copies=s.attempts.second_copies,
        cancel=s.attempts.cancel,
        probing=False,
        retry_after=s.advice.retry_after,
        max_retry_after_ms=s.advice.max_retry_after_ms,
        conn_idle_ms=s.servers.idle_ms,
        connect_timeout_ms=s.servers.connect_timeout_ms,
        list_by_asking=s.discovery.mode == "ask",
        must_ask_ms=s.discovery.must_ask_ms if s.discovery.mode == "ask" else math.inf,
        over_share_worth=s.over_share_worth,
        cold_from=s.servers.cold_from,
        cold_ms=s.servers.cold_ms,
        overload_factor=s.servers.overload_factor,
        fall_ms=s.servers.fall_ms,
        extra_free=s.attempts.free,
        extra_share=s.attempts.share,
        extra_window_ms=s.attempts.window_ms,
    )  # fmt: skip
