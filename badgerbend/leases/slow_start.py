"""Cold allowance as a duty: what brokers may send to cold servers, dealt by demand in slices that end. Pure.

Each broker has a share of its own of what a cold server bears, and the sum of these is what it bears
(`decisions`, `sites.tiers`). Where traffic is uneven most of that sum lies idle at brokers that have nothing to
send there. The holder of the duty moves it: what one broker does not want, for a stated time, another may send. It
makes nothing:

    sum over brokers of what each may send now  <=  sum of the shares that they have stated.

Why that holds without a clock in common, and with answers lost, late or out of order. What a broker may send beyond its
share counts at the broker from before it asked, shortened by the bound on clock rates; in the dealer's books from when
it was dealt, lengthened by it: so it has ended at the broker before the books say so. What a broker gives up counts
only once its next ask says that it heard of it, and then for a time from when it was dealt, while the broker keeps to
it from when it came, which was later. So long as several slices may be in force at a broker, the books count the most
of them. A new dealer deals nothing for one length after it may act, so that the last one's slices are over. An answer
that comes late, of whatever dealer, is over when it comes. Who does not ask, or is not answered, goes on with its own
share as without any dealer, and no query waits for a slice.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from badgerbend.leases.messages import MAX_SERVERS, BudgetDemand, BudgetGrant, BudgetReply, BudgetRequest

ASKS_MOST = 8  # datagrams in which one broker asks at once: 128 things, the most uneven of them
LIFE_BITS = 20  # asks of one life: 1,000,000, and a day has 400,000 quarters of a second
COUNTED_MOST = 4096  # parts counted between two asks for one thing
KEPT = 3.0  # lengths: one for the word and its answer, one for what is dealt out of it, one to spare


@dataclass(frozen=True, slots=True)
class BudgetTiming:
    """Times in milliseconds. slice_ms: how long a slice lasts. rate: the bound on how far any clock is off."""

    slice_ms: float
    rate: float

    @property
    def held_ms(self) -> float:
        """How long a broker counts on a slice, from before it asked."""
        return self.slice_ms * (1.0 - self.rate)

    @property
    def booked_ms(self) -> float:
        """How long the dealer counts a slice as out, from when it dealt it."""
        return self.slice_ms * (1.0 + self.rate)

    @property
    def kept_ms(self) -> float:
        """How long a broker keeps to less than its share, from when the word on it came: long enough that a dealer
        who hears of it in the usual time can deal out the rest for a whole length."""
        return KEPT * self.slice_ms

    @property
    def counted_ms(self) -> float:
        """How long a dealer counts on that, from when it dealt: both clocks may be off."""
        return KEPT * self.slice_ms * (1.0 - self.rate) / (1.0 + self.rate)


# -- a broker's side


@dataclass(slots=True)
class _Thing:
    """A cold server, or a site that comes back. Paces are a millisecond, and of a server as if it were warm."""

    name: str
    started: float
    own: float = 0.0
    wanted: float = 0.0  # since the last ask; of a site, now
    since: float = 0.0  # when the last ask was made
    counted: set[int] = field(default_factory=set)
    pace: float = 0.0  # as dealt
    until: float = -math.inf
    kept_until: float = -math.inf  # less than the own share is kept to until then
    heard: int = 0  # the ask whose answer is in force


class BrokerBudget:
    """What one broker was dealt: the module's `api.Allowance`. Times in ms of the clock of the decisions."""

    def __init__(self, name: str, duty: str, lengths: BudgetTiming, life: int) -> None:
        """life: greater than that of any earlier process of this name, as the time of its start in ms."""
        self.name, self.duty, self.lengths = name, duty, lengths
        self.nodes: dict[int, _Thing] = {}
        self.sites: dict[str, _Thing] = {}
        self.asked: dict[int, float] = {}  # by number: when
        self.dealt = 0
        self._seq = life << LIFE_BITS  # an answer to an earlier life fits no ask of this one

    # -- asked by the decisions
    def server_rate(self, now_ms: float, node: int, own: float, times: float, part: int, among: int) -> float:
        """See `api.Allowance`."""
        thing = self.nodes.get(node)
        if thing is None:
            return own
        if part not in thing.counted and len(thing.counted) < COUNTED_MOST:
            thing.counted.add(part)
            thing.wanted += 1.0 / (max(among, 1) * max(times, 1e-6))
        return self._now(thing, now_ms, own)

    def recovering_site_rate(self, now_ms: float, name: str, own: float, wanted: float) -> float:
        """See `api.Allowance`."""
        thing = self.sites.setdefault(f"site {name}", _Thing(f"site {name}", 0.0))
        thing.wanted = wanted
        return self._now(thing, now_ms, own)

    def _now(self, thing: _Thing, now_ms: float, own: float) -> float:
        thing.own = own
        if now_ms < thing.until:
            return thing.pace
        return min(thing.pace, own) if now_ms < thing.kept_until else own

    # -- asking
    def listed(self, now_ms: float, cold: Mapping[int, tuple[str, float]]) -> None:
        """Which servers are cold now: their names, and the starts that the list states. A new start voids a slice."""
        for node, (name, started) in cold.items():
            thing = self.nodes.get(node)
            if thing is None or (thing.name, thing.started) != (name, started):
                self.nodes[node] = _Thing(name, started, since=now_ms)
        for node in [n for n, t in self.nodes.items() if n not in cold and now_ms >= t.kept_until]:
            del self.nodes[node]  # sooner would break the word given on it, if the list takes it back

    def ask(self, now_ms: float) -> list[BudgetRequest]:
        """What to tell the dealer now: wants and own shares, also where nothing is wanted, for that is what others
        may be given. Empty where nothing is cold."""
        needs = list[BudgetDemand]()
        for thing in self.nodes.values():
            pace = thing.wanted / max(now_ms - thing.since, 1.0)
            needs.append(BudgetDemand(thing.name, thing.started, thing.own, pace, self._heard(thing, now_ms)))
            thing.wanted, thing.since = 0.0, now_ms
            thing.counted.clear()
        for thing in list(self.sites.values()):
            if thing.own > 0.0:
                needs.append(BudgetDemand(thing.name, 0.0, thing.own, thing.wanted, self._heard(thing, now_ms)))
                thing.own = 0.0  # stated anew as long as it comes back
            elif now_ms >= thing.kept_until:
                del self.sites[thing.name]
        needs.sort(key=lambda n: (-abs(n.wanted - n.own), n.thing))
        asks = list[BudgetRequest]()
        for i in range(0, min(len(needs), ASKS_MOST * MAX_SERVERS), MAX_SERVERS):
            self._seq += 1
            self.asked[self._seq] = now_ms
            asks.append(BudgetRequest(self.name, self.duty, self._seq, tuple(needs[i : i + MAX_SERVERS])))
        self.asked = {seq: at for seq, at in self.asked.items() if at > now_ms - self.lengths.slice_ms}
        return asks

    def _heard(self, thing: _Thing, now_ms: float) -> int:
        return thing.heard if now_ms < thing.kept_until else 0

    def told(self, now_ms: float, dealt: BudgetReply) -> None:
        """A dealer's act, which the fence let through. One for an ask that is forgotten or over changes nothing."""
        asked = self.asked.get(dealt.seq)
        if asked is None or now_ms >= asked + self.lengths.held_ms:
            return
        things = {(t.name, t.started): t for t in (*self.nodes.values(), *self.sites.values())}
        for row in dealt.slices:
            thing = things.get((row.thing, row.started))
            until = asked + self.lengths.held_ms
            if thing is not None and until >= thing.until:
                thing.pace, thing.until, thing.heard = row.pace, until, dealt.seq
                thing.kept_until = now_ms + self.lengths.kept_ms
                self.dealt += 1


# -- the dealer's side


@dataclass(slots=True)
class _Row:
    """One broker and one thing. out: what was dealt, by the number of the ask: pace, and when."""

    own: float
    wanted: float
    heard: int = 0
    last: int = 0  # the newest ask
    said_at: float = -math.inf
    out: dict[int, tuple[float, float]] = field(default_factory=dict)


class BudgetAllocator:
    """The holder's books: by thing and start, by broker. Times in milliseconds of its own clock."""

    def __init__(self, name: str, duty: str, lengths: BudgetTiming) -> None:
        self.name, self.duty, self.lengths = name, duty, lengths
        self.books: dict[tuple[str, float], dict[str, _Row]] = {}
        self.since = math.inf  # when this broker began to act
        self.swept = -math.inf
        self.slices = 0

    def begin(self, now_ms: float) -> None:
        """It holds the duty from now on, and knows nothing of what was dealt before."""
        self.books, self.since = {}, now_ms

    def stop(self) -> None:
        self.books, self.since = {}, math.inf

    def ask(self, now_ms: float, epoch: int, ask: BudgetRequest) -> BudgetReply | None:
        """The answer to a broker's word, to be sent at once. None while slices of the last dealer may be out."""
        self._sweep(now_ms)
        slices = list[BudgetGrant]()
        for need in ask.needs:
            row = self.books.setdefault((need.thing, need.started), {}).setdefault(
                ask.source, _Row(need.own, need.wanted)
            )
            if ask.seq <= row.last:
                continue  # come twice, or overtaken: a second answer to it might be in force beside the first
            row.own, row.wanted, row.heard, row.last, row.said_at = need.own, need.wanted, need.heard, ask.seq, now_ms
            if need.heard in row.out:  # what was asked for before it is in force no more
                row.out = {seq: dealt for seq, dealt in row.out.items() if seq >= need.heard}
            if now_ms >= self.since + self.lengths.booked_ms:
                slices.append(self._deal(now_ms, ask, need))
        self.slices += len(slices)
        return BudgetReply(self.name, self.duty, epoch, ask.seq, tuple(slices)) if slices else None

    def holds(self, now_ms: float, row: _Row) -> float:
        """The most that a broker may send at any time while a slice dealt now lasts."""
        live = max((pace for pace, at in row.out.values() if now_ms < at + self.lengths.booked_ms), default=0.0)
        if row.heard not in row.out:
            return max(live, row.own)
        kept = now_ms + self.lengths.booked_ms <= row.out[row.heard][1] + self.lengths.counted_ms
        keeps = max(pace for seq, (pace, _) in row.out.items() if seq >= row.heard)  # it may have heard of any of them
        return max(live, min(keeps, row.own) if kept else row.own)

    def _deal(self, now_ms: float, ask: BudgetRequest, need: BudgetDemand) -> BudgetGrant:
        book = self.books[need.thing, need.started]
        rest = sum(r.own for r in book.values())
        rest -= sum(self.holds(now_ms, r) for broker, r in book.items() if broker != ask.source)
        pace = max(min(fair(book, ask.source), rest), 0.0)
        book[ask.source].out[ask.seq] = pace, now_ms
        return BudgetGrant(need.thing, need.started, pace)

    def _sweep(self, now_ms: float) -> None:
        """Forgets what is over, and brokers that ask no more: they are back at their own shares."""
        lengths = self.lengths
        if now_ms < self.swept + lengths.slice_ms:
            return
        self.swept = now_ms
        for key, book in list(self.books.items()):
            for broker, row in list(book.items()):
                row.out = {seq: (p, at) for seq, (p, at) in row.out.items() if now_ms < at + lengths.counted_ms}
                if not row.out and now_ms > row.said_at + lengths.counted_ms:
                    del book[broker]
            if not book:
                del self.books[key]


def fair(book: Mapping[str, _Row], broker: str) -> float:
    """A broker's part of the sum of all shares: as much as it wants of its own, and of what others leave over a part
    that is the same for all who want more, or all that it wants if that is less. What nobody wants goes back in
    proportion: a broker whose traffic comes a moment later has its share ready."""
    spare = sum(max(r.own - r.wanted, 0.0) for r in book.values())
    wants = sorted(max(r.wanted - r.own, 0.0) for r in book.values())
    level, left, given = 0.0, spare, 0.0
    for i, want in enumerate(wants):
        step = min(want - level, left / (len(wants) - i))
        level, left = level + step, left - step * (len(wants) - i)
    given = spare - left
    row = book[broker]
    if row.wanted >= row.own:
        return row.own + min(row.wanted - row.own, level)
    return row.own - (row.own - row.wanted) * (given / spare)
