"""The broker's settings: the keys, their bounds and defaults, and the constraints between them.

Times are in milliseconds unless the name of a key states seconds. `config.reading` reads the settings from a file;
`config.module` derives the settings of the decision module.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from badgerbend.config.feed import Feed
from badgerbend.config.fleet import Duties, Peers, Sites
from badgerbend.config.value_types import (
    Count,
    CountOrZero,
    Fraction,
    FractionOrZero,
    Name,
    NonNegative,
    Port,
    Positive,
)


class Listen(msgspec.Struct, frozen=True):
    """The address on which the broker serves clients, and the limits of their connections."""

    host: Name = "127.0.0.1"
    port: Port = 8080
    max_connections: Count = 10_000
    max_head_bytes: Count = 16_384
    max_body_bytes: Count = 262_144
    read_timeout_ms: Positive = 10_000.0
    idle_timeout_ms: Positive = 75_000.0
    stop_timeout_ms: Positive = 10_000.0
    answer_allowance_ms: NonNegative = 120.0  # part of the client's time reserved for merging and writing the answer


class Identity(msgspec.Struct, frozen=True):
    """Which of the brokers this is: its index, the number of brokers, and its zone."""

    index: CountOrZero = 0
    count: Count = 1
    zone: CountOrZero = 0

    def __post_init__(self) -> None:
        if self.index >= self.count:
            raise ValueError(f"index {self.index} must be less than count {self.count}")


class Layout(msgspec.Struct, frozen=True):
    """Shard s is held by the servers of cells s mod cells to s mod cells + reach - 1."""

    shards: Count
    cells: Count
    reach: Count = 1

    def __post_init__(self) -> None:
        if self.reach > self.cells:
            raise ValueError(f"reach {self.reach} must not exceed cells {self.cells}")


class Discovery(msgspec.Struct, frozen=True):
    """Consul's health endpoint, which provides the list of servers.

    mode: with `push` the broker keeps a blocking watch open; with `ask` it polls when the decision module requests it.
    """

    host: Name = "127.0.0.1"
    port: Port = 8500
    service: Name = "rates"
    mode: Literal["push", "ask"] = "push"
    wait_ms: Positive = 30_000.0
    must_ask_ms: Positive = 10_000.0
    max_bytes: Annotated[int, msgspec.Meta(ge=1, le=1 << 30)] = 16_777_216  # enough for thousands of servers


class Servers(msgspec.Struct, frozen=True):
    """Connections to servers, and how servers behave during slow start and under overload.

    idle_ms: servers close a connection that has been idle for this long.
    report: the names of the values that servers report about their load.
    cold_from: the share of its full capacity that a server has right after its start.
    cold_ms: the time after its start at which a server has its full capacity.
    overload_factor: the multiple of its usual load at which a server fails. fall_ms: the window over which that load
    is counted.
    """

    parts_per_call: Count = 1
    connect_timeout_ms: Positive = 250.0
    idle_ms: Positive = 15_000.0
    max_answer_bytes: Annotated[int, msgspec.Meta(ge=1, le=1 << 30)] = 4_194_304
    report: tuple[Name, ...] = ("util", "latency_ms")
    cold_from: Fraction = 0.2
    cold_ms: Positive = 15_000.0
    overload_factor: Positive = 3.0
    fall_ms: Positive = 1000.0


class Attempts(msgspec.Struct, frozen=True):
    """Attempts of a part, and the retry budget.

    most: the limit for one part, including the first attempt.
    second_copies: whether a part may have more than one attempt in flight.
    cancel: whether attempts in flight may be cancelled.
    free, share, window_ms: the retry budget: the retries that are always allowed within the window, and those allowed
    per query and part accepted within it. Without them there is no retry budget.
    """

    most: Count = 4
    second_copies: bool = True
    cancel: bool = True
    free: NonNegative | None = None
    share: NonNegative | None = None
    window_ms: Positive | None = None

    def __post_init__(self) -> None:
        if len({self.free is None, self.share is None, self.window_ms is None}) > 1:
            raise ValueError("free, share and window-ms make the budget together: give all three or none")


class Class(msgspec.Struct, frozen=True):
    """A class of query.

    aim_ms: the latency objective; an answer within this time has its full value.
    deadline_ms: how long a client waits in total, including its retries.
    effect: whether the query is safe, keyed (idempotent with an idempotency key) or unsafe to repeat.
    repeat_window_ms: how long servers recognize and drop repeated requests of a keyed query.
    late_worth: the share of its value that an answer keeps after the latency objective.
    worth: the priority weight of the class.
    need: the share of the parts' weight that makes an answer complete.
    floor: the least share that a partial answer needs; without it, the same as need.
    partial: a factor on the value of a partial answer.
    second_step: the number of parts in a second step after the first answer; 0 for none.
    """

    name: Name
    aim_ms: Positive
    deadline_ms: Positive
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    repeat_window_ms: NonNegative = 0.0
    late_worth: FractionOrZero = 0.3
    worth: NonNegative = 1.0
    need: Fraction = 1.0
    floor: Fraction | None = None
    partial: FractionOrZero = 0.9
    second_step: CountOrZero = 0

    def __post_init__(self) -> None:
        if self.deadline_ms < self.aim_ms:
            raise ValueError("deadline-ms must not be less than aim-ms")
        if self.floor is not None and self.floor > self.need:
            raise ValueError("floor must not exceed need")
        if (self.effect == "keyed") != (self.repeat_window_ms > 0):
            raise ValueError("repeat-window-ms goes with effect keyed, and only with it")


class Tenant(msgspec.Struct, frozen=True):
    """A tenant's quota in queries per second, over all brokers."""

    name: Name
    quota_per_s: NonNegative


class FieldMap(msgspec.Struct, frozen=True):
    """How a root field of the schema is served.

    blocks: the argument that lists the blocks. A query field fetches the field `fetch` of each block's `entity`; a
    mutation is sent to the server unchanged. If `rank_by` is set, rows are sorted by it (ascending, ties by block)
    and limited to the number in the argument `first_by`. `detail` is fetched in the class's second step for the rows
    that remain.
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
    """An entity that routers may refer to. Its key is its block's number, optionally followed by a colon and more."""

    name: Name
    class_: Name
    key: Name = "id"


class Documents(msgspec.Struct, frozen=True):
    """Limits on a client's document, checked before anything is fetched."""

    cached: Count = 1000
    max_tokens: Count = 2000
    max_depth: Count = 12
    max_root_fields: Count = 20
    max_fields: Count = 500
    max_blocks: Count = 200
    max_representations: Count = 200
    introspection: bool = True


class Advice(msgspec.Struct, frozen=True):
    """Whether a rejection tells the client when to retry, and the longest delay that it may state."""

    retry_after: bool = True
    max_retry_after_ms: NonNegative = 1000.0


class Snapshot(msgspec.Struct, frozen=True):
    """The file in which the broker stores its observations for its own next start."""

    file: Name
    every_ms: Positive = 2000.0


class Log(msgspec.Struct, frozen=True):
    form: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Settings(msgspec.Struct, frozen=True):
    """All settings of a broker.

    max_open: the limit of open queries and parts at the broker.
    over_share_worth: a factor on the priority weight of queries beyond their tenant's quota.
    """

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
    feed: Feed | None = None
    max_open: Count = 20_000
    over_share_worth: NonNegative = 0.1
    seed: CountOrZero = 1

    def __post_init__(self) -> None:
        for label, names in (
            ("class", [c.name for c in self.class_]),
            ("tenant", [t.name for t in self.tenant]),
            ("field", [f.name for f in self.field]),
            ("entity", [e.name for e in self.entity]),
        ):
            for name in names:
                if names.count(name) > 1:
                    raise ValueError(f"two settings for {label} {name}")
        known = {c.name: c for c in self.class_}
        mappings: tuple[FieldMap | EntityMap, ...] = (*self.field, *self.entity)
        for mapping in mappings:
            if mapping.class_ not in known:
                raise ValueError(f"{mapping.name} has class {mapping.class_}, which is none of {', '.join(known)}")
        for field in self.field:
            if field.detail and not known[field.class_].second_step:
                raise ValueError(f"field {field.name} has a detail, but class {field.class_} no second-step")

        if self.sites is not None:
            home = self.sites.site_of_zone(self.identity.zone)
            brokers = sum(s.brokers for s in self.sites.site)
            if home is None or not home.brokers:
                raise ValueError(f"identity's zone {self.identity.zone} is in no site that has brokers")
            if brokers != self.identity.count:
                raise ValueError(f"the sites have {brokers} brokers together, identity counts {self.identity.count}")

    def class_index(self, name: str) -> int:
        """The position of a class among the classes, by which other code refers to it."""
        return next(i for i, c in enumerate(self.class_) if c.name == name)
