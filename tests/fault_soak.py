"""Runs a broker process under random faults and signals, with clients that stay connected until it ends, and checks it.

The checks use only what is observed outside the broker: when each client sent its request, received the answer or
disconnected, when each node received each attempt, and when the discovery agent published which state. Many seeds are
run by `benchmarks/fault_soak.py`, a few by tests/test_fault_soak.py.
"""

import asyncio
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field

from badgerbend.standin.framenode import Part
from tests.broker_process import Answer, BrokerProcess, read_answer, request
from tests.platform_stage import SETTINGS, SHARDS
from tests.rough_agent import Excess, RoughAgent

GRACE_S = 0.5
SLACK_S = 0.05
PAUSE_S = 0.15  # the broker may be paused for this time between reading its clock and writing
TICK_S = 0.01  # how often the lateness of the checking event loop is measured
AFTER_END_S = 0.1  # an attempt may arrive at most this long after its client disconnected or was answered
DEADLINE_SLACK_S = 0.15
LATE_ANSWER_S = 0.5  # a final answer may arrive at most this long after its deadline
MAX_DEADLINE_S = 3.0  # the longest deadline that the broker waits for when it ends
KILL_AFTER_S = MAX_DEADLINE_S + 0.7  # the earliest SIGKILL after SIGTERM
ACCEPTED_AFTER_TERM_S = 0.7  # a request sent less than this after SIGTERM may be interrupted by SIGKILL
DEADLINES_MS = {"quote": (400, 1200), "accept": (500, 3000)}
CLIENTS, CROWD = 6, 40
RUN_S = 5.0
SLOW_AGENT_S = 0.35  # an agent that takes longer tells a drain with its first answer
WINDOW_S = SETTINGS["categories"][2]["repeatWindowMs"] / 1000.0
MAX_ATTEMPTS = SETTINGS["ceilings"]["maxAttempts"]


@dataclass(slots=True)
class Sent:
    """A request and how it ended. left_at: when its client closed the connection before the answer, if it did."""

    request: object
    answer: Answer | None = None
    left_at: float | None = None

    @property
    def ended_at(self):
        return self.left_at if self.left_at is not None else self.answer.at if self.answer else None


@dataclass
class Soak:
    """One random run, determined by its seed."""

    seed: int
    sent: list[Sent] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    term_at: float = float("inf")
    killed_at: float | None = None

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.fault_random = random.Random(f"faults of {self.seed}")  # not shared with the clients, whose order varies
        self.request_count = 0
        self.crowd = self.random.random() < 0.3
        self.arrivals = 0
        self.skipped_parts = set()
        self.agent = None  # the discovery agent that publishes the drains
        self.next_agent = None  # the one that a new configuration names, if any
        self.published_at = float("inf")  # when the drains were published
        self.drained = set()  # the nodes that drain
        self.pause_s = 0.0  # how long the process was paused
        self.max_lateness_s = 0.0  # of the event loop of this process, which measures all times

    def plan(self):
        """Draws the faults of this seed: the rate of each kind and the time spans in which they occur."""
        draw = self.random
        rates = {}
        for kind, most in (
            ("accept", 0.5),
            ("create", 0.2),
            ("connect", 0.3),
            ("write_short", 0.5),
            ("write_blocked", 0.3),
            ("read_short", 0.5),
        ):
            if draw.random() < 0.4:
                rates[kind] = draw.uniform(0.05, most)
        begin = draw.uniform(1.0, 2.5)
        steps = [(draw.uniform(1.0, 4.0), draw.choice([-3600.0, -3.0, 3.0, 3600.0]))] if draw.random() < 0.5 else []
        spans = [(begin, begin + draw.uniform(0.5, 3.0)), (6.0, 20.0)] if draw.random() < 0.7 else [(1.0, 20.0)]
        return {"seed": self.seed, "spans": spans, "clock_steps": steps, **rates}

    def behave(self, part):
        """Handles a part at a node: answers after a random delay, skips it, hangs or closes the connection."""
        draw = self.random.random()
        loop = asyncio.get_running_loop()
        if draw < 0.04:
            self.skipped_parts.add(part)
            part.connection.send(part.answer(b"skipped"))
        elif draw < 0.07:
            loop.call_later(0.05, part.connection.cut)
        elif draw > 0.95:
            return  # never answered
        else:
            loop.call_later(self.random.expovariate(1 / 0.02), Part.served, part)

    async def play(self):
        """Runs the broker and its clients. Returns one line for each violated rule."""
        settings = {"obligations.drainGraceMs": GRACE_S * 1000.0}
        self.agent = RoughAgent()
        broker_process = BrokerProcess(behave=self.behave, faults=self.plan(), agent=self.agent, settings=settings)
        async with broker_process as broker:
            count = CLIENTS + (CROWD if self.crowd else 0)
            clients = [asyncio.create_task(self._client(broker)) for _ in range(count)]
            fault_injection = asyncio.create_task(self._inject_faults(broker))
            watch = asyncio.create_task(self._measure_lateness())
            await asyncio.sleep(RUN_S)
            await fault_injection
            await self._end(broker)
            await asyncio.gather(*clients)
            watch.cancel()
            if self.next_agent is not None:
                await self.next_agent.close()
            self._check(broker)
            self.arrivals = len(broker.arrivals)
        return self.violations

    @property
    def slack_s(self):
        return SLACK_S + self.max_lateness_s

    async def _measure_lateness(self):
        while True:
            began = time.monotonic()
            await asyncio.sleep(TICK_S)
            self.max_lateness_s = max(self.max_lateness_s, time.monotonic() - began - TICK_S)

    async def _inject_faults(self, broker):
        """Causes an outage of a rough agent, drains when it ends, a pause of the process, and a move or a reload."""
        draw = self.fault_random
        await asyncio.sleep(draw.uniform(0.2, 0.8))
        self._make_agent_rough()
        self.agent.silent = draw.random() < 0.6
        await asyncio.sleep(draw.uniform(0.2, 2.2))
        self.drained = set(draw.sample(["s0", "s1", "s2"], draw.randint(1, 3)))  # each cell keeps a node
        for name in self.drained:
            broker.put(name, "draining")
        self.published_at = time.monotonic()  # a state that a slow agent still delays counts as published
        self.agent.speak()
        if draw.random() < 0.5:
            await asyncio.sleep(draw.uniform(0.0, 0.3))
            await self._reload(broker)
        if draw.random() < 0.5:
            self.pause_s = PAUSE_S
            broker.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PAUSE_S)
            broker.process.send_signal(signal.SIGCONT)

    def _make_agent_rough(self):
        """Draws how the agent behaves: quick, slow, crowded, or with connections that die."""
        draw, agent = self.fault_random, self.agent
        agent.answers_stale = draw.random() < 0.3
        agent.computes_early = draw.random() < 0.3
        agent.pieces = draw.choice([1, 1, 4])
        agent.piece_interval_s = 0.02
        match draw.choice(["quick", "slow", "very slow", "crowded", "dead"]):
            case "slow":
                agent.delay_s = draw.choice([0.1, 0.2])
            case "very slow":
                agent.delay_s = draw.choice([0.5, 0.8, 1.2])
            case "crowded":
                agent.max_connections = draw.choice([3, 4, 6])
                agent.excess = draw.choice([Excess.RESET, Excess.REJECTED])
            case "dead":
                agent.http.silence_connections()

    async def _reload(self, broker):
        """Sends SIGHUP, once or in a series. The new configuration may name another agent, which may be silent."""
        if self.fault_random.random() < 0.5:
            self.next_agent = RoughAgent()
            await self.next_agent.start()
            for name, row in self.agent.members.items():
                node = broker.nodes[name]
                self.next_agent.put(name, node.port, node.cell, row["state"])
            self.next_agent.silent = self.fault_random.random() < 0.5
            broker.write_configuration(self.next_agent)
        for _ in range(self.fault_random.choice([1, 1, 3])):
            broker.process.send_signal(signal.SIGHUP)

    def _told_at(self):
        """When the broker counts as notified of the drains."""
        if self.agent.delay_s <= SLOW_AGENT_S:
            return self.published_at
        answers = [agent.answered_at.get(agent.rev) for agent in (self.agent, self.next_agent) if agent is not None]
        return min((at for at in answers if at is not None), default=float("inf"))

    async def _end(self, broker):
        """Sends SIGTERM, and SIGKILL at the earliest moment; clients continue until then."""
        self.term_at = time.monotonic()
        for _ in range(self.fault_random.choice([1, 1, 3])):
            broker.process.send_signal(signal.SIGTERM)
        while time.monotonic() < self.term_at + KILL_AFTER_S and broker.process.poll() is None:
            await asyncio.sleep(0.01)
        self.killed_at = time.monotonic()
        if broker.process.poll() is None:
            broker.process.kill()
        elif broker.process.returncode != 0:
            self.violations.append(f"the process ended with {broker.process.returncode}")

    async def _client(self, broker):
        """Sends requests on one connection while it stays open, and opens new ones until the process ends."""
        while time.monotonic() < self.term_at + 0.3:
            try:
                reader, writer = await broker.connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while await self._send_request(broker, reader, writer):
                    await asyncio.sleep(self.random.expovariate(1 / 0.05))
            finally:
                writer.close()

    async def _send_request(self, broker, reader, writer):
        """Sends one request. Returns whether the connection can be used again."""
        self.request_count += 1
        kind = self.random.choice(list(DEADLINES_MS))
        deadline_ms = self.random.choice(DEADLINES_MS[kind])
        parts = self.random.sample(range(SHARDS), 3)
        outgoing = request(f"q{self.request_count}", parts, kind, deadline_ms, key=f"k{self.request_count}")
        sent = Sent(outgoing)
        if reader.at_eof():
            return False
        outgoing.sent_at = time.monotonic()
        self.sent.append(sent)
        writer.write(outgoing.data)
        answer = asyncio.ensure_future(read_answer(reader))
        timeout_s = self.random.uniform(0.01, 0.3) if self.random.random() < 0.1 else 20.0
        done, _ = await asyncio.wait([answer], timeout=timeout_s)
        if not done:
            writer.transport.abort()
            sent.left_at = time.monotonic()
            answer.cancel()
            return False
        try:
            sent.answer = answer.result()
        except (asyncio.IncompleteReadError, ConnectionError):
            sent.answer = Answer(None, time.monotonic())
            return False
        return True

    # -- checks
    def _check(self, broker):
        arrivals = {}
        for arrival in broker.arrivals:
            arrivals.setdefault(arrival.request, []).append(arrival)
        for sent in self.sent:
            self._check_answer(sent, arrivals.get(sent.request.name, []))
            for arrival in arrivals.get(sent.request.name, []):
                self._check_attempt(sent, arrival)
            self._check_repeats(arrivals.get(sent.request.name, []))
        told_at = self._told_at()
        for arrival in broker.arrivals:
            if arrival.node in self.drained and arrival.at > told_at + GRACE_S + self.slack_s:
                self.violations.append(
                    f"drain: {arrival.part_id} sent to {arrival.node} {arrival.at - told_at:.3f} s after its drain"
                )
        defects = [line for line in broker.lines if line.get("kind") in ("step failed", "ended by the watch")]
        defects += [line for line in broker.lines if line.get("how") == "failed by the watch"]
        defects += [line for line in broker.lines if line["what"] == "no JSON"]  # a traceback
        self.violations += [f"log: {line}" for line in defects]

    def _check_answer(self, sent, attempts):
        """Each answer must be in time, and a request of which parts were sent must be answered."""
        outgoing, answer = sent.request, sent.answer
        if sent.left_at is not None:
            return
        late_s = answer.at - outgoing.sent_at - outgoing.deadline_ms / 1000.0
        excused = outgoing.sent_at < self.term_at + ACCEPTED_AFTER_TERM_S and answer.at >= self.killed_at
        if answer.status is None and attempts and not excused:
            after = outgoing.sent_at - self.term_at
            self.violations.append(
                f"lost: {outgoing.name} was not answered although parts were sent, {after:.3f} s after SIGTERM"
            )
        elif late_s > LATE_ANSWER_S + self.slack_s:
            self.violations.append(f"lost: {outgoing.name} was answered {late_s:.3f} s after its deadline")

    def _check_repeats(self, arrivals):
        """A part of a request with an idempotency key is repeated only within the window that begins with the first
        attempt that may have run, and not more often than the settings allow."""
        first = {}
        for arrival in arrivals:
            if arrival.part in self.skipped_parts:
                continue
            earlier = first.setdefault(arrival.part_id, arrival)
            if arrival.key is not None and arrival.at > earlier.at + WINDOW_S + self.slack_s:
                self.violations.append(
                    f"duplicate: {arrival.part_id} {arrival.at - earlier.at:.3f} s after its first attempt"
                )
        most = max(Counter(arrival.part_id for arrival in arrivals).values(), default=0)
        if most > MAX_ATTEMPTS:
            self.violations.append(f"attempts: {most} for one part of {arrivals[0].request}")

    def _check_attempt(self, sent, arrival):
        outgoing = sent.request
        if sent.ended_at is not None and arrival.at > sent.ended_at + AFTER_END_S + self.pause_s + self.slack_s:
            after = arrival.at - sent.ended_at
            self.violations.append(f"lost: {arrival.part_id} arrived {after:.3f} s after the end of its request")
        left_s = outgoing.deadline_ms / 1000.0 - (arrival.at - outgoing.sent_at)
        if arrival.deadline_ms / 1000.0 > left_s + DEADLINE_SLACK_S + self.slack_s:
            self.violations.append(
                f"deadline: {arrival.part_id} was sent with {arrival.deadline_ms} ms, but {left_s:.3f} s were left"
            )
