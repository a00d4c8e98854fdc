"""Tiers of preference by site: the module's `api.Sites`. It puts together what the other files here decide.

A part goes to the broker's own site. It goes elsewhere where its shard has no sound holder there, where the site is
out, and, by a share, where the site is too full or too slow for all of its work or comes back from an outage. What
goes elsewhere takes from a limit for each site; near sites come before far ones. Where no limit has room, a part stays
with its own site if that is in at all, for it is only preferred elsewhere; else it waits, and queries are let in by
worth, so that few have to.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from badgerbend import api
from badgerbend.sites.evidence import LOAD_HALF_MS, Evidence, Fading, missing_ms
from badgerbend.sites.fleet import Fleet
from badgerbend.sites.limit import Bucket, allowance
from badgerbend.sites.presence import Presence, State
from badgerbend.sites.rules import FAR, OWN, Rules
from badgerbend.sites.worth import Bands

TICK_MS = 100.0  # how often states and limits are looked at; small beside a hold and a step
SAFETY = 0.95  # of the room for work that goes elsewhere is given out: retries and chance take the rest
NEARLY = 0.95  # a share of the work above this counts as all of it
FULL = 0.97  # an own site used beyond this gets no more than it can serve, if nobody else has room
SATURATED = 0.98  # of a site used more than this the load says only that it is full: settings say how far
DAMPING = 0.05  # of the way to the share that would fit, a tick: slower than the load is read, or it swings
LEAST_SHARE = 0.05  # an own site that is in keeps so much, or nothing would tell that it has recovered
SLOW = 3.0  # an own site slower than so many times another's answers gives up work in proportion
USUAL = 0.01  # a tick's weight in the usual load of the own site
WHOLE = 0.9  # a site with so many of its servers tells its usual load
TRIAL_PACE = 0.016  # parts a millisecond to a site on trial: a row of good answers takes half a second
EPS = 1e-4  # sums of weights may come up short by this
NO_SITE, NO_ROOM = "no site holds it", "spill limit"


@dataclass(slots=True)
class Site:
    """What this broker knows of one site, and what it may send there."""

    place: int
    name: str
    tier: int
    brokers: int
    presence: Presence
    seen: Evidence = field(default_factory=Evidence)
    bucket: Bucket = field(default_factory=Bucket)
    spilled: Fading = field(default_factory=lambda: Fading(LOAD_HALF_MS))
    room: float = 0.0  # parts a millisecond it can serve, as of the last look
    whole: float = 0.0  # and could, with all its servers there and warm
    answers: float = 0.0  # good ends so far
    opened: set[int] = field(default_factory=set)  # servers to which a connection was opened ahead

    @property
    def open(self) -> bool:
        """Whether usual work may go there, whatever its share."""
        drained = self.presence.drained and self.tier != OWN  # the own one keeps what fits nowhere else
        return self.presence.state in (State.IN, State.BACK) and not drained


class Tiers:
    """One broker's preference. `seed` makes its chance its own."""

    def __init__(self, rules: Rules, seed: int) -> None:
        self.rules, self.rng = rules, random.Random(seed)
        self.fleet, self.bands = Fleet(rules), Bands()
        self.sites = [
            Site(i, r.name, r.tier, r.brokers, Presence(rules, random.Random(seed * 31 + i)))
            for i, r in enumerate(rules.sites)
        ]
        self.own = next(s for s in self.sites if s.tier == OWN)
        self.others = sorted((s for s in self.sites if s.tier != OWN), key=lambda s: s.tier)
        self.demand = Fading(LOAD_HALF_MS)  # parts that queries need at least
        self.fits = self.quick = 1.0  # shares of its work that the own site's load, and its times, leave it
        self.carries = 1.0  # share of all its work that it can serve at all
        self.usual_load: float | None = None  # of the own site with all its servers and all its work
        self.now, self.next = 0.0, -math.inf
        self.refusals: Counter[tuple[str, int, int]] = Counter()  # by reason, class, tenant
        self.news: list[tuple[str, str]] = []  # what a person may want to hear: site, what
        self.listed_at = -math.inf
        self._sound: dict[tuple[int, int], float] = {}  # by site and cell, until the next look
        self._charge: Site | None = None  # whose limit the part just placed takes from
        self._ahead = Bucket()
        self.allowance: api.SlowStartBudget | None = None  # where brokers deal by demand what a returning site may get

    # -- What happens.
    def observe(self, now_ms: float, events: Sequence[api.Event]) -> None:
        self.now = now_ms
        for event in events:
            match event:
                case api.AttemptCompleted():
                    self._ended(event)
                case api.EndpointUpdate():
                    self._view(event)
        if now_ms >= self.next:
            self.next = now_ms + TICK_MS
            self._look()

    def _ended(self, event: api.AttemptCompleted) -> None:
        server = self.fleet.servers.get(event.node)
        key = (event.part, event.attempt)
        site = self.sites[server.site] if server is not None and server.site >= 0 else None
        if site is None or key not in site.seen.out:  # its server was moved or dropped since
            site = next((s for s in self.sites if key in s.seen.out), None)
        if site is None:
            return
        at, report = self.rules.util_at, event.report
        load = report[at] if at is not None and len(report) > at and math.isfinite(report[at]) else None
        site.seen.ended(self.now, key, event.outcome, load, missing_ms(site.seen.usual_ms))
        site.answers += event.outcome == api.Outcome.OK

    def _view(self, view: api.EndpointUpdate) -> None:
        if view.endpoints:
            self.listed_at = self.now
        for server in self.fleet.view(self.now, view):
            if server.site >= 0:
                self.sites[server.site].seen.failing.pop(server.id, None)
                self.sites[server.site].opened.discard(server.id)
        self._sound = {}
        self._rooms()
        self._states()

    def _look(self) -> None:
        self._sound = {}
        for site in self.sites:
            site.seen.miss(self.now, missing_ms(site.seen.usual_ms))
            site.seen.look(self.now)
        self._rooms()
        self._own_share()
        self._states()

    def _rooms(self) -> None:
        for site in self.sites:
            site.room, site.whole = self.fleet.room(self.now, site.place, site.seen.failing)

    def _states(self) -> None:
        for site in self.sites:
            self._presence(site)
        self._limits()

    def _presence(self, site: Site) -> None:
        presence, seen = site.presence, site.seen
        listed = self.fleet.listed(site.place) or self.listed_at == -math.inf  # no list yet: no news
        success = seen.success(self.now)
        if success is not None and success < self.rules.out_below and not self._elsewhere(site):
            success = None  # nowhere is better: giving it up would only refuse what may yet be answered
        if presence.tick(self.now, listed, success, seen.in_a_row, site.answers):
            if presence.state in (State.OUT, State.TRIAL):
                seen.forget()
            site.opened.clear()
            self.news.append((site.name, presence.state.value))
        presence.drain_step(self.now)

    def _elsewhere(self, site: Site) -> bool:
        """Whether another site is there and does better."""
        for other in self.sites:
            success = other.seen.success(self.now)
            well = success is None or success >= self.rules.out_below
            if other is not site and other.open and well and self.fleet.listed(other.place):
                return True
        return False

    def _own_share(self) -> None:
        """How much of its work the own site keeps while it is in: by load, by times. Both move in small steps."""
        own, seen = self.own, self.own.seen
        used = seen.used(self.now)
        if used:
            fits = min(1.0, max(self.fits * self.rules.fill / used, LEAST_SHARE))
            self.fits += (fits - self.fits) * DAMPING
            self._usual(used)
            self._carry(used)
        elsewhere = [s.seen.usual_ms for s in self.others if s.open and s.seen.usual_ms]
        took = seen.took_ms(self.now)
        if elsewhere and took:
            quick = min(1.0, max(SLOW * min(elsewhere) / took, LEAST_SHARE))
            self.quick += (quick - self.quick) * DAMPING
        if own.presence.state is not State.IN:
            self.fits = self.quick = self.carries = 1.0  # it comes back by its ramp alone

    def _carry(self, used: float) -> None:
        """What the own site can serve of the work that stays there, once it is full."""
        carries = min(1.0, max(self.carries * FULL / used, LEAST_SHARE))
        demand = self.demand.pace(self.now)
        if used > SATURATED and demand:
            carries = min(carries, max(FULL * self.own.room / self.own.brokers / demand, LEAST_SHARE))
        self.carries += (carries - self.carries) * (DAMPING if carries > self.carries else 4 * DAMPING)

    def _usual(self, used: float) -> None:
        room, whole = self.own.room, self.own.whole
        sends = sum(s.seen.sends.pace(self.now) for s in self.sites)
        kept = self.own.seen.sends.pace(self.now) / sends if sends else 1.0
        if self.own.presence.state is State.IN and whole and room >= WHOLE * whole and kept > 0.5:
            load = used * room / whole / kept
            self.usual_load = load if self.usual_load is None else self.usual_load + (load - self.usual_load) * USUAL

    def _limits(self) -> None:
        now, demand = self.now, self.demand.pace(self.now)
        for site in self.sites:
            presence, room = site.presence, site.room
            if presence.state is State.OUT or (presence.drained and site.tier != OWN):
                pace = 0.0
            elif presence.state is State.TRIAL:
                pace = TRIAL_PACE
            elif site.tier == OWN:  # limited on its way back only; its brokers take like shares of its room
                most = self.rules.fill * room / site.brokers
                if self.allowance is not None and presence.state is State.BACK:
                    most = self.allowance.recovering_site_rate(now, site.name, most, presence.share * demand)
                pace = min(presence.share * demand, most)
                pace = max(pace, TRIAL_PACE if presence.state is State.BACK else 0.0)
            else:
                foreign = self.rules.brokers - site.brokers
                pace = presence.share * allowance(
                    room, site.seen.used(now), demand, site.spilled.pace(now), self.rules.spill, site.brokers, foreign
                )
            site.bucket.set(now, pace)

    # -- What the module asks.
    def _has(self, site: Site, shard: int) -> float:
        """The share of a shard's holders there that can be asked."""
        key = (site.place, shard % self.rules.cells)
        if key not in self._sound:
            self._sound[key] = self.fleet.sound(site.place, shard, site.seen.failing)
        return self._sound[key]

    def _may(self, site: Site, shard: int) -> bool:
        if site.presence.state is State.TRIAL:
            return site.bucket.fill(self.now) >= 1.0 and self._listed(site, shard)
        return site.open and self._listed(site, shard)

    def _listed(self, site: Site, shard: int) -> bool:
        return any(s.ready for s in self.fleet.holders(site.place, shard))

    def admits(self, query: api.Query, over_quota: bool, fewest: int) -> bool:
        """A query that cannot be answered is refused at once; one that does not fit, by worth."""
        cls, now = self.rules.classes[query.class_index], self.now
        reached = sum(p.weight for p in query.parts if self.rank(p.shard))
        if reached < min(cls.minimum_weight, cls.complete_weight) - EPS:
            self.refusals[NO_SITE, query.class_index, query.tenant] += 1
            return False
        worth = cls.priority_weight * (self.rules.over_share_worth if over_quota else 1.0)
        band = (query.class_index, over_quota)
        self.bands.ask(now, band, worth, fewest, len(query.parts))
        self.demand.add(now, fewest)
        if self._fits_all() or self._tries(query, cls):
            return True
        if self.bands.lets_in(now, band, self._room()):
            return True
        self.refusals[NO_ROOM, query.class_index, query.tenant] += 1
        return False

    def _tries(self, query: api.Query, cls: api.QueryClass) -> bool:
        """Whether a query serves to try a site. Without it a site on trial would get none while all are refused."""
        return cls.effect == "safe" and any(
            s.presence.state is State.TRIAL and self._may(s, query.parts[0].shard) for s in self.sites
        )

    def _fits_all(self) -> bool:
        return self.own.presence.state is State.IN and self.carries > NEARLY

    def _room(self) -> float:
        """Parts a millisecond that this broker may send anywhere, trials apart."""
        inside = self.own.presence.state is State.IN
        room = self.carries * self.demand.pace(self.now) if inside else 0.0
        for site in self.sites:
            if site.presence.state is not State.TRIAL and not (site is self.own and inside):
                room += site.bucket.pace * SAFETY
        return room

    def allows_surplus(self) -> bool:
        return self._fits_all() or self.bands.spares(self.now, self._room())

    def rank(self, shard: int) -> int:
        return max((FAR + 1 - s.tier for s in self.sites if self._may(s, shard)), default=0)

    def eligible(self, shard: int, nodes: Sequence[int], safe: bool) -> Sequence[int]:
        self._charge = None
        here = self._by_site(nodes)
        own = here.get(self.own.place, [])
        if own and self._keeps(shard, safe):
            return own
        for site in self._elsewhere_first(here, shard, safe):
            self._charge = site if self._spills(shard) else None
            return here[site.place]
        stays = own and self.own.presence.state is State.IN
        return own if stays else here.get(-1, [])

    def _by_site(self, nodes: Sequence[int]) -> dict[int, list[int]]:
        here: dict[int, list[int]] = {}
        for node in nodes:
            server = self.fleet.servers.get(node)
            here.setdefault(server.site if server is not None else -1, []).append(node)
        return here

    def _spills(self, shard: int) -> bool:
        """Whether a shard's work is the own site's: what was never held there is at home where it is."""
        return any(True for _ in self.fleet.holders(self.own.place, shard))

    def _keeps(self, shard: int, safe: bool) -> bool:
        """Whether a part with holders at the own site goes there."""
        presence = self.own.presence
        if presence.kept < 1.0 and self.rng.random() >= presence.kept:
            return False
        match presence.state:
            case State.OUT:
                return False
            case State.TRIAL | State.BACK:
                if self.own.bucket.fill(self.now) < 1.0 or not (safe or presence.state is State.BACK):
                    return False
                self._charge = self.own
                return True
            case _:
                share = min(self.fits, self.quick, self._sound_share(shard), 1.0 - self.rules.watch)
                return self.rng.random() < share

    def _sound_share(self, shard: int) -> float:
        """What the sound holders of a shard can carry of its usual work, filled up to the stated share."""
        sound = self._has(self.own, shard)
        return min(1.0, sound * self.rules.fill / self.usual_load) if self.usual_load else sound

    def _elsewhere_first(self, here: dict[int, list[int]], shard: int, safe: bool) -> list[Site]:
        """Sites with room for one part: trials first, then by tier, the one with the most room first."""
        spills = self._spills(shard)
        out: list[tuple[int, float, int, Site]] = []
        for site in self.others:
            if site.place not in here:
                continue
            level = site.bucket.fill(self.now)
            if site.presence.state is State.TRIAL:
                if level >= 1.0 and safe:
                    out.append((0, -level, site.place, site))
            elif site.open and (level >= 1.0 or not spills):
                out.append((site.tier, -level, site.place, site))
        return [site for *_, site in sorted(out, key=lambda row: row[:3])]

    def site_rate(self, node: int) -> float:
        server = self.fleet.servers.get(node)
        site = self.sites[server.site] if server is not None and server.site >= 0 else self.own
        if site is self.own and site.presence.state is State.IN:
            return 0.0
        return site.bucket.pace / (site.room / self.rules.server_pace) if site.room else 0.0

    def attempt_sent(self, part: int, attempt: int, node: int) -> None:
        server = self.fleet.servers.get(node)
        if server is None or server.site < 0:
            return
        site, charge, self._charge = self.sites[server.site], self._charge, None
        site.seen.sent(self.now, (part, attempt), node)
        if charge is site:
            site.bucket.take(self.now)
            if site.tier != OWN:
                site.spilled.add(self.now, 1.0)

    # -- Connections, and what people ask and say.
    def ahead(self, now_ms: float) -> list[int]:
        """Servers of sites on their way back to which a connection is to be opened now."""
        self._ahead.set(now_ms, self.rules.connection_pace)
        out: list[int] = []
        for site in self.sites:
            if site.presence.state not in (State.TRIAL, State.BACK):
                continue
            for server in self.fleet.ready(site.place):
                if server.id not in site.opened and self._ahead.fill(now_ms) >= 1.0:
                    self._ahead.take(now_ms)
                    site.opened.add(server.id)
                    out.append(server.id)
        return out

    def connected(self, now_ms: float, node: int, well: bool) -> None:
        """How a connection opened ahead went. One that came about proves little; one that did not, much."""
        server = self.fleet.servers.get(node)
        if server is not None and server.site >= 0 and not well:
            self.sites[server.site].seen.refused_connection(now_ms, node)

    def named(self, name: str) -> Site | None:
        return next((s for s in self.sites if s.name == name), None)

    def drain(self, now_ms: float, site: Site, drained: bool) -> None:
        """By hand: moves a site's work elsewhere, or lets it come back."""
        site.presence.drain(now_ms, drained)
        self.news.append((site.name, "drained by hand" if drained else "returned by hand"))
