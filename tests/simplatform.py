"""A simulation of the platform's complete service in simulated time, which checks that drains and removals are obeyed.

Real are the service, its watch, pool, directory, driver, aggregator, transport and channels, on an event loop whose
clock advances only while the loop sleeps and by the cost of each turn. Simulated are the discovery agents, the nodes,
the connections to them and the queries.

The checks use nothing that the broker reports. They know what each agent had at which time, and when the first byte of
each part was sent. The broker counts as notified at once of what an agent has, from the start of its process and
whether or not a poll is open. While discovery is down, the agent is silent and learns nothing. After a switch to
another agent, the broker counts as notified of what that agent has 4 s later.
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

UNIX = 1_790_000_000.0  # Unix time at time 0 of the event loop
TOLERANCE_S, SWITCH_DELAY_S = 0.05, 4.0
ANSWER_TIME_S, ANSWER_TURNS = 0.03, 8  # an agent needs this long to answer before a silence or a switch
GRACES = (0.25, 0.5, 1.0)
AGENT_DELAYS = (0.0, 0.0, 0.2, 0.3)  # in grace periods


class NothingScheduledError(Exception):
    """No further event is scheduled."""


class _Selector(selectors.SelectSelector):
    loop = None

    def select(self, timeout=None):
        if timeout is None:
            raise NothingScheduledError
        self.loop.now += max(timeout, 0.0) + self.loop.turn_s
        return []


class SimLoop(asyncio.SelectorEventLoop):
    """An event loop in simulated time. turn_s: the duration of each turn, as on a fraction of a core."""

    def __init__(self, platform):
        self.now, self.turn_s, self.platform = 1000.0, 0.0, platform
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.now

    async def create_connection(self, factory, host, port):
        return await self.platform.connect(factory, (host, port))

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
    """Takes the place of asyncio's transport and passes what is written to the simulated remote side."""

    def __init__(self, loop, protocol, remote):
        self.loop, self.protocol, self.remote, self.closed = loop, protocol, remote, False

    def write(self, data):
        self.remote.receive(self, data)

    def deliver(self, data):
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
class Scenario:
    """The random events of a seed. Times are the event loop's, in seconds.

    changes: time, server and changed fields of its row.
    """

    seed: int
    length: float = 14.0
    silences: dict[int, list[tuple[float, float]]] = field(default_factory=dict)  # by agent
    changes: list[tuple[float, str, dict]] = field(default_factory=list)
    switches: list[float] = field(default_factory=list)  # each to the next agent, by a new configuration
    watch_resets: list[float] = field(default_factory=list)  # resets of all connections to the agent


class SimulatedPlatform:
    """One broker and its environment in a random scenario."""

    def __init__(self, seed, rows=None):
        self.rng = rng = random.Random(seed)
        self.grace = rng.choice(GRACES)
        self.loop = SimLoop(self)
        self.scenario = scenario = Scenario(seed)
        self.servers = rows or rng.choice([9, 18, 18, 60])
        self.begin = self.loop.now
        self.start_s = rng.choice([0.1, 0.4, 1.5])  # the time that the process needs to start
        self.starts_with_old_list = rng.random() < 0.7
        self.answers_stale_polls = rng.random() < 0.5  # answers the polls that waited when the silence began
        self.row_fields = rng.choice(["all", "all", "few"])
        self.pieces, self.max_connect_delay_s = rng.choice([1, 1, 4]), rng.choice([0.0, 0.0, 0.24, 1.5])
        self.turn_s = rng.choice([0.0, 0.002, 0.01 * self.grace])
        self.agent_delay_s = random.Random(-seed).choice(AGENT_DELAYS) * self.grace  # before the agent reads a request
        self._draw(rng, scenario)
        self.links, self.parts_sent, self.violations, self.queries_ended, self.queries_sent = [], 0, [], 0, 0

    def _draw(self, rng, scenario):
        for agent in (0, 1, 2):
            at, scenario.silences[agent] = self.begin + rng.uniform(-3.0, 4.0), []
            for _ in range(rng.choice([0, 1, 1, 2])):
                end = at + rng.choice([rng.uniform(0.05, 0.6), rng.uniform(0.6, 6.0)])
                scenario.silences[agent].append((at, end))
                at = end + rng.uniform(0.3, 4.0)
        if rng.random() < 0.5:
            first = self.begin + rng.uniform(2.0, 9.0)
            again = first + rng.choice([rng.uniform(0.0, 0.1), rng.uniform(0.1, 6.0)])
            scenario.switches = [first, again][: rng.choice([1, 2])]
        scenario.watch_resets = [self.begin + rng.uniform(1.0, 12.0) for _ in range(rng.choice([0, 0, 2]))]
        names = [f"s{i}" for i in range(self.servers)]
        event_times = [end for silences in scenario.silences.values() for _, end in silences] + [
            self.begin,
            *scenario.switches,
        ]
        for name in rng.sample(names, max(self.servers // 3, 2)):  # the others stay, so that parts are sent
            event_time = rng.choice(event_times)
            at = max(event_time + rng.uniform(-1.5, 1.5), self.begin - 3.0)
            new_address = {"endpoint": f"10.9.0.{names.index(name)}:9", "state": "up"}
            after = [{"state": "removed"}, {"state": "up"}, new_address]
            scenario.changes.append((at, name, rng.choice([{"state": "draining"}, *after[::2]])))
            if rng.random() < 0.4:
                scenario.changes.append((at + rng.uniform(0.2, 3.0), name, rng.choice(after)))
        scenario.changes.sort(key=lambda item: item[0])

    # -- the state of discovery and its agents
    def speaks_from(self, agent, at):
        """Returns the first time from `at` on at which the agent is not silent."""
        for begin, end in self.scenario.silences[agent]:
            if begin <= at < end:
                at = end
        return at

    def version_at(self, agent, now):
        """Returns the number of changes that the agent has at `now`."""
        return sum(self.speaks_from(agent, at) <= now for at, _, _ in self.scenario.changes)

    def row(self, name, version):
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
        for _, which, change in self.scenario.changes[:version]:
            row |= change if which == name else {}
        return row

    def complete_list(self, version):
        rows = [self.row(f"s{i}", version) for i in range(self.servers)]
        return {"rev": version, "all": True, "targets": [row for row in rows if row["state"] != "removed"]}

    def changes(self, since, version):
        rows = [
            self.row(name, version)
            for name in dict.fromkeys(name for _, name, _ in self.scenario.changes[since:version])
        ]
        state_only = self.row_fields == "few"
        return {
            "rev": version,
            "all": False,
            "targets": [
                {"uid": row["uid"], "state": row["state"]} if state_only and row["state"] != "up" else row
                for row in rows
            ],
        }

    # -- the network
    async def connect(self, factory, address):
        host, port = address
        agent = port - 8500 if host == "10.2.0.1" else None
        if agent is None and self.max_connect_delay_s:
            await asyncio.sleep(self.rng.uniform(0.0, self.max_connect_delay_s))
        protocol = factory()
        link = _Link(self.loop, protocol, _Node(self, address) if agent is None else _Agent(self, agent))
        self.links.append(link)
        protocol.connection_made(link)
        return link, protocol

    def reset_watches(self):
        for link in self.links:
            if isinstance(link.remote, _Agent):
                link.abort()

    # -- the checks
    def notified_of_departure_at(self, name, host, now):
        """Returns when the broker was notified that the server drains, left or moved; None if it did not."""
        departed_at = None
        row = self.row(name, 0)
        for at, which, change in self.scenario.changes:
            if which == name and at <= now:
                row |= change
                is_current = row["state"] == "up" and row["endpoint"].startswith(f"{host}:")
                departed_at = None if is_current else at if departed_at is None else departed_at
        if departed_at is None:
            return None
        at = departed_at
        notified_at = self.notified_at(
            0, max(at, self.begin + self.start_s if self.falls_silent_soon(0, self.begin) else self.begin)
        )
        for agent, moved in enumerate(self.scenario.switches, 1):
            if notified_at + self.answer_time_s() > moved:
                notified_at = self.notified_at(agent, max(at, moved + SWITCH_DELAY_S))
        return notified_at

    def answer_time_s(self):
        # The delay counts twice, because a poll may have been read just before the change.
        return ANSWER_TIME_S + ANSWER_TURNS * self.turn_s + 2 * self.agent_delay_s

    def falls_silent_soon(self, agent, at):
        """Whether the agent falls silent before it can answer with what it learns at `at` or during the start."""
        until = at + (self.start_s if at == self.begin else 0.0) + self.answer_time_s()
        return any(begin <= until and at < end for begin, end in self.scenario.silences[agent])

    def notified_at(self, agent, at):
        """Returns when the agent notifies the broker of an event at `at`, without the time of the answer."""
        at = self.speaks_from(agent, at)
        while self.falls_silent_soon(agent, at):
            at = self.speaks_from(agent, at + self.answer_time_s())
        return at

    def part_sent(self, address, part):
        self.parts_sent += 1
        name, now = f"s{address[0].split('.')[3]}", self.loop.now
        notified_at = self.notified_of_departure_at(name, address[0], now)
        if notified_at is not None and now > notified_at + self.grace + TOLERANCE_S:
            self.violations.append((round(now - self.begin, 3), name, round(now - notified_at, 3)))

    # -- the run
    def run(self):
        """Runs the scenario; returns the violations as (time, server, seconds after the notification)."""
        asyncio.set_event_loop(self.loop)
        originals = schedules.time, services.time, servers.bound_socket
        replace_attribute(servers, "bound_socket", bound_socket)
        clock = SimpleNamespace(
            monotonic=self.loop.time, time=lambda: UNIX + self.loop.now, perf_counter=self.loop.time
        )
        schedules.time = services.time = clock
        try:
            self.loop.run_until_complete(self._main())
        finally:
            schedules.time, services.time, servers.bound_socket = originals
            self.loop.run_until_complete(asyncio.sleep(0.0))
            self.loop.close()
            asyncio.set_event_loop(None)
        return self.violations

    async def _main(self):
        known = self.complete_list(0 if self.starts_with_old_list else self.version_at(0, self.begin))
        settings = {"obligations.drainGraceMs": self.grace * 1000.0, "ceilings.connectTimeoutMs": 2000.0}
        file = file_of(8500, known, settings=settings)
        configuration = replace(config.parse(file, {}), discovery=("10.2.0.1", 8500), seed=self.scenario.seed)
        await asyncio.sleep(self.start_s)
        self.loop.turn_s = self.turn_s
        self.service = service = services.Service(configuration)
        replace_attribute(service.observer, "write_line", lambda what, **values: None)
        for agent, at in enumerate(self.scenario.switches, 1):
            moved = replace(configuration, discovery=("10.2.0.1", 8500 + agent))
            self._schedule(at, lambda moved=moved: service.reload(lambda: moved))
        for at in self.scenario.watch_resets:
            self._schedule(at, self.reset_watches)
        await service.start()
        end = self.begin + self.scenario.length
        while self.loop.now < end:
            for _ in range(self.rng.choice([1, 1, 4])):
                self._send_query()
            await asyncio.sleep(self.rng.expovariate(1 / 0.1))
        await asyncio.sleep(5.0)
        service.watch.close()
        service.transport.close()
        service._sweeper.cancel()
        service.server._sweeper.cancel()

    def _schedule(self, at, what):
        if at < self.begin + self.scenario.length:
            self.loop.call_at(at, what)

    def _send_query(self):
        self.queries_sent += 1
        name = f"q{self.queries_sent}"
        shards = self.rng.sample(range(SHARDS), 3)
        parts = [PartPlan(s, 1 / 3, None, PartRequest(b"%s.%d" % (name.encode(), s), s, None, b"text")) for s in shards]
        self.service.driver.submit(QueryPlan(0, 0, 0, 2500.0, False, None, parts, name), _Sink(self))


class _Sink:
    def __init__(self, platform):
        self.platform, self.has_ended = platform, False

    def client_has_left(self):
        return False

    def follow_up_parts(self, results):
        return ()

    def end(self, *_):
        assert not self.has_ended
        self.has_ended = True
        self.platform.queries_ended += 1

    answered = rejected = end

    def failed(self):
        self.end()


class _Node:
    """A node that answers each part after a random delay."""

    def __init__(self, platform, address):
        self.platform, self.address = platform, address

    def receive(self, link, data):
        size = int.from_bytes(data[:4], "little")
        if data[4:5] != b"q":
            return
        rest = data[5 : 4 + size]
        while rest:
            line, rest = rest.split(b"\n", 1)
            part, _, _, length = line.split(b" ")
            rest = rest[int(length) :]
            self.platform.part_sent(self.address, part)
            answer = encode_frame(b"a", part + b" served 1 -\nvalue")
            self.platform.loop.call_later(self.platform.rng.expovariate(1 / 0.03), link.deliver, answer)


class _Agent:
    """An agent that never answers polls that arrive during a silence.

    Polls that wait when a silence begins are answered after it if the scenario says so.
    """

    def __init__(self, platform, agent):
        self.platform, self.agent = platform, agent

    def receive(self, link, data):
        self.platform.loop.call_later(self.platform.agent_delay_s, self._read, link, data)

    def _read(self, link, data):
        platform, loop, now = self.platform, self.platform.loop, self.platform.loop.now
        if platform.speaks_from(self.agent, now) > now:
            return
        if b"since=" not in data:
            self._send_answer(link, platform.complete_list(platform.version_at(self.agent, now)))
            return
        since = int(data.split(b"since=")[1].split(b"&")[0])
        wait = int(data.split(b"timeout_ms=")[1].split()[0]) / 1000.0
        times = sorted(platform.speaks_from(self.agent, at) for at, _, _ in platform.scenario.changes)
        until = min([now + wait, *(t for t in times[since:] if t > now)])
        if platform.version_at(self.agent, now) > since:
            until = now
        silent = next((a for a, _ in platform.scenario.silences[self.agent] if now < a <= until), None)
        if silent is not None:
            if not platform.answers_stale_polls:
                return
            until = max(until, platform.speaks_from(self.agent, silent))
        loop.call_at(until, self._answer_poll, link, since)

    def _answer_poll(self, link, since):
        platform = self.platform
        version = platform.version_at(self.agent, platform.loop.now)
        whole = version > since and platform.rng.random() < 0.2
        self._send_answer(link, platform.complete_list(version) if whole else platform.changes(since, version))

    def _send_answer(self, link, answer):
        body = msgspec.json.encode(answer)
        if self.platform.rng.random() < 0.3:
            body = msgspec.json.format(body)
        data = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
        step = -(-len(data) // self.platform.pieces)
        for index, at in enumerate(range(0, len(data), step)):
            self.platform.loop.call_later(0.0005 + 0.004 * index, link.deliver, data[at : at + step])
