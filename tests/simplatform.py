"""The whole service of the platform in a time and on a network of the test's own, and a judge of what it was told.

Real: service, watch, pool, directory, driver, module, transport and channels, on a loop whose clock moves only when it
sleeps and by what a turn costs. Made up: discovery's agents, the nodes, connections between them, the queries.

The judge asks the broker nothing. It knows what each agent had and when, and when the first byte of each part left.
What an agent has counts as told at once, whether or not a call is open, and from the process's first moment; while
discovery is down the agent is silent and learns nothing; after a move to another agent what that has counts 4 s later.
"""

import asyncio
import random
import selectors
from dataclasses import dataclass, field, replace
from types import SimpleNamespace

import msgspec

from badgerbend.frames.codec import PartRequest, encode_frame
from badgerbend.net import server as servers
from badgerbend.platform import config
from badgerbend.platform import service as services
from badgerbend.runtime import loop as schedules
from badgerbend.runtime.ports import PartPlan, QueryPlan
from tests.platform_stage import CELLS, SHARDS, file_of
from tests.replacing import replace_attribute

UNIX = 1_790_000_000.0  # Unix time at the loop's 0
SLACK_S, MOVED_S = 0.05, 4.0
HEAR_S, HEAR_TURNS = 0.03, 8  # an agent that falls silent or is left sooner after its news had no time to tell them
GRACES = (0.25, 0.5, 1.0)
AGENT_DELAYS = (0.0, 0.0, 0.2, 0.3)  # in graces


class Asleep(Exception):
    """Nothing is left to happen."""


class _Selector(selectors.SelectSelector):
    loop = None

    def select(self, timeout=None):
        if timeout is None:
            raise Asleep
        self.loop.now += max(timeout, 0.0) + self.loop.turn_s
        return []


class SimLoop(asyncio.SelectorEventLoop):
    """turn_s: what each turn takes, as on part of a core."""

    def __init__(self, world):
        self.now, self.turn_s, self.world = 1000.0, 0.0, world
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.now

    async def create_connection(self, factory, host, port):
        return await self.world.connect(factory, (host, port))

    def add_reader(self, fd, callback, *args): ...

    def remove_reader(self, fd): ...


async def bound_socket(loop, host, port):
    def accept():
        raise BlockingIOError

    return SimpleNamespace(
        getsockname=lambda: (host, port),
        listen=lambda backlog: None,
        fileno=lambda: -1,
        accept=accept,
        close=lambda: None,
    )


class _Link:
    """asyncio's transport, and the wire to the other end, which is told in order and after `delay_s`."""

    def __init__(self, loop, protocol, far):
        self.loop, self.protocol, self.far, self.closed = loop, protocol, far, False

    def write(self, data):
        self.far.heard(self, data)

    def tell(self, data):
        if not self.closed:
            self.protocol.data_received(data)

    def abort(self):
        if not self.closed:
            self.closed = True
            self.loop.call_soon(self.protocol.connection_lost, None)

    close = abort

    def is_closing(self):
        return self.closed

    def set_write_buffer_limits(self, high=None, low=None): ...


@dataclass
class Day:
    """What is drawn for a seed. Times are the loop's, in seconds; news: when, which server, what changes in its row."""

    seed: int
    length: float = 14.0
    spans: dict[int, list[tuple[float, float]]] = field(default_factory=dict)  # each agent's silences
    news: list[tuple[float, str, dict]] = field(default_factory=list)
    moves: list[float] = field(default_factory=list)  # to the next agent each, by a new configuration
    resets: list[float] = field(default_factory=list)  # of all calls to the agent


class World:
    """One broker's surroundings for a day drawn from a seed."""

    def __init__(self, seed, rows=None):
        self.rng = rng = random.Random(seed)
        self.grace = rng.choice(GRACES)
        self.loop = SimLoop(self)
        self.day = day = Day(seed)
        self.servers = rows or rng.choice([9, 18, 18, 60])
        self.begin = self.loop.now
        self.start_s = rng.choice([0.1, 0.4, 1.5])  # until the program can do anything
        self.known_old = rng.random() < 0.7
        self.keeps = rng.random() < 0.5  # an agent that answers, at its return, what waited when it fell silent
        self.fields = rng.choice(["all", "all", "few"])
        self.drops, self.late_links = rng.choice([1, 1, 4]), rng.choice([0.0, 0.0, 0.24, 1.5])
        self.turn_s = rng.choice([0.0, 0.002, 0.01 * self.grace])
        self.agent_delay_s = random.Random(-seed).choice(AGENT_DELAYS) * self.grace  # until it reads what it is asked
        self._draw(rng, day)
        self.links, self.sends, self.broken, self.ended, self.asked = [], 0, [], 0, 0

    def _draw(self, rng, day):
        for agent in (0, 1, 2):
            at, day.spans[agent] = self.begin + rng.uniform(-3.0, 4.0), []
            for _ in range(rng.choice([0, 1, 1, 2])):
                end = at + rng.choice([rng.uniform(0.05, 0.6), rng.uniform(0.6, 6.0)])
                day.spans[agent].append((at, end))
                at = end + rng.uniform(0.3, 4.0)
        if rng.random() < 0.5:
            first = self.begin + rng.uniform(2.0, 9.0)
            again = first + rng.choice([rng.uniform(0.0, 0.1), rng.uniform(0.1, 6.0)])
            day.moves = [first, again][: rng.choice([1, 2])]
        day.resets = [self.begin + rng.uniform(1.0, 12.0) for _ in range(rng.choice([0, 0, 2]))]
        names = [f"s{i}" for i in range(self.servers)]
        around = [end for spans in day.spans.values() for _, end in spans] + [self.begin, *day.moves]
        for name in rng.sample(names, max(self.servers // 3, 2)):  # others stay, or nothing would be sent
            near = rng.choice(around)
            at = max(near + rng.uniform(-1.5, 1.5), self.begin - 3.0)
            moves = {"endpoint": f"10.9.0.{names.index(name)}:9", "state": "up"}
            after = [{"state": "removed"}, {"state": "up"}, moves]
            day.news.append((at, name, rng.choice([{"state": "draining"}, *after[::2]])))
            if rng.random() < 0.4:
                day.news.append((at + rng.uniform(0.2, 3.0), name, rng.choice(after)))
        day.news.sort(key=lambda item: item[0])

    # -- what discovery and its agents hold
    def audible(self, agent, at):
        """The first moment from `at` on at which the agent speaks."""
        for begin, end in self.day.spans[agent]:
            if begin <= at < end:
                at = end
        return at

    def has(self, agent, now):
        """How many news the agent has at `now`."""
        return sum(self.audible(agent, at) <= now for at, _, _ in self.day.news)

    def row(self, name, upto):
        row = {
            "uid": name,
            "endpoint": f"10.0.0.{name[1:]}:9",
            "az": "here",
            "model": "m",
            "pod_group": int(name[1:]) % CELLS,
            "state": "up",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for _, which, change in self.day.news[:upto]:
            row |= change if which == name else {}
        return row

    def whole(self, upto):
        rows = [self.row(f"s{i}", upto) for i in range(self.servers)]
        return {"rev": upto, "all": True, "targets": [row for row in rows if row["state"] != "removed"]}

    def changes(self, since, upto):
        rows = [self.row(name, upto) for name in dict.fromkeys(name for _, name, _ in self.day.news[since:upto])]
        few = self.fields == "few"
        return {
            "rev": upto,
            "all": False,
            "targets": [
                {"uid": row["uid"], "state": row["state"]} if few and row["state"] != "up" else row for row in rows
            ],
        }

    # -- the network
    async def connect(self, factory, address):
        host, port = address
        agent = port - 8500 if host == "10.2.0.1" else None
        if agent is None and self.late_links:
            await asyncio.sleep(self.rng.uniform(0.0, self.late_links))
        protocol = factory()
        link = _Link(self.loop, protocol, _Node(self, address) if agent is None else _Agent(self, agent))
        self.links.append(link)
        protocol.connection_made(link)
        return link, protocol

    def cut_watches(self):
        for link in self.links:
            if isinstance(link.far, _Agent):
                link.abort()

    # -- the judge
    def leaving_since(self, name, host, now):
        """When the broker was told that the server leaves or is elsewhere; None if discovery's last word is neither."""
        wrong = None
        row = self.row(name, 0)
        for at, which, change in self.day.news:
            if which == name and at <= now:
                row |= change
                good = row["state"] == "up" and row["endpoint"].startswith(f"{host}:")
                wrong = None if good else at if wrong is None else wrong
        if wrong is None:
            return None
        at = wrong
        told = self.told(0, max(at, self.begin + self.start_s if self.silent_soon(0, self.begin) else self.begin))
        for agent, moved in enumerate(self.day.moves, 1):
            if told + self.hear_s() > moved:
                told = self.told(agent, max(at, moved + MOVED_S))
        return told

    def hear_s(self):
        return HEAR_S + HEAR_TURNS * self.turn_s + 2 * self.agent_delay_s  # a poll may have been read just before

    def silent_soon(self, agent, at):
        """Whether the agent has no time to tell, before it falls silent, what it hears at `at` or a start later."""
        until = at + (self.start_s if at == self.begin else 0.0) + self.hear_s()
        return any(begin <= until and at < end for begin, end in self.day.spans[agent])

    def told(self, agent, at):
        """When the agent has told what happened at `at`, but for the time that telling takes."""
        at = self.audible(agent, at)
        while self.silent_soon(agent, at):
            at = self.audible(agent, at + self.hear_s())
        return at

    def sent(self, address, part):
        self.sends += 1
        name, now = f"s{address[0].split('.')[3]}", self.loop.now
        told = self.leaving_since(name, address[0], now)
        if told is not None and now > told + self.grace + SLACK_S:
            self.broken.append((round(now - self.begin, 3), name, round(now - told, 3)))

    # -- the day
    def play(self):
        """Plays the day; what was broken, as (time, server, seconds after it was told)."""
        asyncio.set_event_loop(self.loop)
        then = schedules.time, services.time, servers.bound_socket
        replace_attribute(servers, "bound_socket", bound_socket)
        clock = SimpleNamespace(
            monotonic=self.loop.time, time=lambda: UNIX + self.loop.now, perf_counter=self.loop.time
        )
        schedules.time = services.time = clock
        try:
            self.loop.run_until_complete(self._main())
        finally:
            schedules.time, services.time, servers.bound_socket = then
            self.loop.run_until_complete(asyncio.sleep(0.0))
            self.loop.close()
            asyncio.set_event_loop(None)
        return self.broken

    async def _main(self):
        known = self.whole(0 if self.known_old else self.has(0, self.begin))
        figures = {"obligations.drainGraceMs": self.grace * 1000.0, "ceilings.connectTimeoutMs": 2000.0}
        file = file_of(8500, known, settings=figures)
        made = replace(config.parse(file, {}), discovery=("10.2.0.1", 8500), seed=self.day.seed)
        await asyncio.sleep(self.start_s)
        self.loop.turn_s = self.turn_s
        self.service = service = services.Service(made)
        replace_attribute(service.observer, "line", lambda what, **values: None)
        for agent, at in enumerate(self.day.moves, 1):
            moved = replace(made, discovery=("10.2.0.1", 8500 + agent))
            self._at(at, lambda moved=moved: service.reload(lambda: moved))
        for at in self.day.resets:
            self._at(at, self.cut_watches)
        await service.start()
        end = self.begin + self.day.length
        while self.loop.now < end:
            for _ in range(self.rng.choice([1, 1, 4])):
                self._query()
            await asyncio.sleep(self.rng.expovariate(1 / 0.1))
        await asyncio.sleep(5.0)
        service.watch.close()
        service.transport.close()
        service._sweeper.cancel()
        service.server._sweeper.cancel()

    def _at(self, when, what):
        if when < self.begin + self.day.length:
            self.loop.call_at(when, what)

    def _query(self):
        self.asked += 1
        name = f"q{self.asked}"
        shards = self.rng.sample(range(SHARDS), 3)
        parts = [PartPlan(s, 1 / 3, None, PartRequest(b"%s.%d" % (name.encode(), s), s, None, b"text")) for s in shards]
        self.service.driver.submit(QueryPlan(0, 0, 0, 2500.0, False, None, parts, name), _Sink(self))


class _Sink:
    def __init__(self, world):
        self.world, self.over = world, False

    def client_has_left(self):
        return False

    def follow_up_parts(self, results):
        return ()

    def end(self, *_):
        assert not self.over
        self.over = True
        self.world.ended += 1

    answered = rejected = end

    def failed(self):
        self.end()


class _Node:
    """Serves each part after a while."""

    def __init__(self, world, address):
        self.world, self.address = world, address

    def heard(self, link, data):
        size = int.from_bytes(data[:4], "little")
        if data[4:5] != b"q":
            return
        rest = data[5 : 4 + size]
        while rest:
            line, rest = rest.split(b"\n", 1)
            part, _, _, length = line.split(b" ")
            rest = rest[int(length) :]
            self.world.sent(self.address, part)
            answer = encode_frame(b"a", part + b" served 1 -\nvalue")
            self.world.loop.call_later(self.world.rng.expovariate(1 / 0.03), link.tell, answer)


class _Agent:
    """What it was asked while it is silent it never answers; what waited then, only if the day says so."""

    def __init__(self, world, agent):
        self.world, self.agent = world, agent

    def heard(self, link, data):
        self.world.loop.call_later(self.world.agent_delay_s, self._read, link, data)

    def _read(self, link, data):
        world, loop, now = self.world, self.world.loop, self.world.loop.now
        if world.audible(self.agent, now) > now:
            return
        if b"since=" not in data:
            self._tell(link, world.whole(world.has(self.agent, now)))
            return
        since = int(data.split(b"since=")[1].split(b"&")[0])
        wait = int(data.split(b"timeout_ms=")[1].split()[0]) / 1000.0
        times = sorted(world.audible(self.agent, at) for at, _, _ in world.day.news)
        until = min([now + wait, *(t for t in times[since:] if t > now)])
        if world.has(self.agent, now) > since:
            until = now
        silent = next((a for a, _ in world.day.spans[self.agent] if now < a <= until), None)
        if silent is not None:
            if not world.keeps:
                return
            until = max(until, world.audible(self.agent, silent))
        loop.call_at(until, self._news, link, since)

    def _news(self, link, since):
        world = self.world
        upto = world.has(self.agent, world.loop.now)
        whole = upto > since and world.rng.random() < 0.2
        self._tell(link, world.whole(upto) if whole else world.changes(since, upto))

    def _tell(self, link, answer):
        body = msgspec.json.encode(answer)
        if self.world.rng.random() < 0.3:
            body = msgspec.json.format(body)
        data = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
        step = -(-len(data) // self.world.drops)
        for place, at in enumerate(range(0, len(data), step)):
            self.world.loop.call_later(0.0005 + 0.004 * place, link.tell, data[at : at + step])
