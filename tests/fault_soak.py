"""A broker process under drawn faults, signals and clients that stay until its end, and what is judged of it.

The judge knows when each client sent, got its answer or left, when each node received each attempt, and what the agent
told when. It asks the broker nothing. `benchmarks/fault_soak.py` plays many seeds, tests/test_fault_soak.py a few.
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

GRACE_S = 0.5
SLACK_S = 0.05
HELD_UP_S = 0.15  # a broker may be held up for so long between its clock and its write
TICK_S = 0.01  # how often the judge looks how late it is itself
LEFT_S = 0.1  # an attempt may begin so long after its client left
DEADLINE_SLACK_S = 0.15
LATE_ANSWER_S = 0.5  # a final answer may come so long after its time
LONGEST_S = 3.0  # of a deadline, as it counts at an end
KILL_AFTER_S = LONGEST_S + 0.7  # of SIGTERM, at the earliest
TAKEN_AFTER_END_S = 0.7  # requests that came sooner after SIGTERM may be cut by SIGKILL
DEADLINES_MS = {"quote": (400, 1200), "accept": (500, 3000)}
CLIENTS, CROWD = 6, 40
RUN_S = 4.0
WINDOW_S = SETTINGS["categories"][2]["repeatWindowMs"] / 1000.0
MOST_ATTEMPTS = SETTINGS["ceilings"]["maxAttempts"]


@dataclass(slots=True)
class Sent:
    """A request and how it ended. left_at: when its client closed the connection, if it did."""

    asked: object
    answer: Answer | None = None
    left_at: float | None = None

    @property
    def ended_at(self):
        return self.left_at if self.left_at is not None else self.answer.at if self.answer else None


@dataclass
class Soak:
    """One run drawn from a seed."""

    seed: int
    sent: list[Sent] = field(default_factory=list)
    told: dict[str, float] = field(default_factory=dict)  # when a node's drain was told
    broken: list[str] = field(default_factory=list)
    term_at: float = float("inf")
    killed_at: float | None = None

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.names = 0
        self.crowd = self.random.random() < 0.3
        self.arrivals = 0
        self.turned_away = set()
        self.hold_up_s = 0.0  # of the process, if there was one
        self.judge_late_s = 0.0  # at most; times are taken by the judge's own loop

    def plan(self):
        """Faults of this seed: a mix of some kinds, in spans."""
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
        """Nodes answer after a while; some turn away, some hang, some break the connection."""
        draw = self.random.random()
        loop = asyncio.get_running_loop()
        if draw < 0.04:
            self.turned_away.add(part)
            part.connection.send(part.answer(b"skipped"))
        elif draw < 0.07:
            loop.call_later(0.05, part.connection.cut)
        elif draw > 0.95:
            return  # it hangs
        else:
            loop.call_later(self.random.expovariate(1 / 0.02), Part.served, part)

    async def play(self):
        """Plays it; what was broken, a line each."""
        settings = {"obligations.drainGraceMs": GRACE_S * 1000.0}
        async with BrokerProcess(behave=self.behave, faults=self.plan(), settings=settings) as broker:
            count = CLIENTS + (CROWD if self.crowd else 0)
            clients = [asyncio.create_task(self._client(broker)) for _ in range(count)]
            trouble = asyncio.create_task(self._trouble(broker))
            watch = asyncio.create_task(self._watch_own_lateness())
            await asyncio.sleep(RUN_S)
            await trouble
            await self._end(broker)
            await asyncio.gather(*clients)
            watch.cancel()
            self._judge(broker)
            self.arrivals = len(broker.arrivals)
        return self.broken

    @property
    def slack_s(self):
        return SLACK_S + self.judge_late_s

    async def _watch_own_lateness(self):
        while True:
            began = time.monotonic()
            await asyncio.sleep(TICK_S)
            self.judge_late_s = max(self.judge_late_s, time.monotonic() - began - TICK_S)

    async def _trouble(self, broker):
        """An outage of discovery, drains at its return, a slow agent, hold-ups and a new configuration."""
        draw = self.random
        await asyncio.sleep(draw.uniform(0.2, 0.8))
        broker.agent.silent = draw.random() < 0.6
        await asyncio.sleep(draw.uniform(0.2, 1.2))
        for name in draw.sample(["s0", "s1", "s2"], draw.randint(1, 3)):  # each cell keeps a node
            broker.put(name, "draining")
        broker.agent.delay_s = draw.choice([0.0, 0.1, 0.2])
        broker.agent.silent = False
        told = time.monotonic()  # what a slow agent has counts too
        self.told = {name: told for name, row in broker.agent.members.items() if row["state"] == "draining"}
        if draw.random() < 0.5:
            await asyncio.sleep(draw.uniform(0.0, 0.3))
            broker.process.send_signal(signal.SIGHUP)
        if draw.random() < 0.5:
            self.hold_up_s = HELD_UP_S
            broker.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(HELD_UP_S)
            broker.process.send_signal(signal.SIGCONT)

    async def _end(self, broker):
        """SIGTERM, SIGKILL at the earliest moment; clients go on until then."""
        self.term_at = time.monotonic()
        for _ in range(self.random.choice([1, 1, 3])):
            broker.process.send_signal(signal.SIGTERM)
        while time.monotonic() < self.term_at + KILL_AFTER_S and broker.process.poll() is None:
            await asyncio.sleep(0.01)
        self.killed_at = time.monotonic()
        if broker.process.poll() is None:
            broker.process.kill()
        elif broker.process.returncode != 0:
            self.broken.append(f"the process ended with {broker.process.returncode}")

    async def _client(self, broker):
        """Asks on one connection for as long as it stays open, and opens others until the end."""
        while time.monotonic() < self.term_at + 0.3:
            try:
                reader, writer = await broker.connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                while await self._ask(broker, reader, writer):
                    await asyncio.sleep(self.random.expovariate(1 / 0.05))
            finally:
                writer.close()

    async def _ask(self, broker, reader, writer):
        """One request; whether the connection goes on."""
        self.names += 1
        kind = self.random.choice(list(DEADLINES_MS))
        deadline_ms = self.random.choice(DEADLINES_MS[kind])
        parts = self.random.sample(range(SHARDS), 3)
        asked = request(f"q{self.names}", parts, kind, deadline_ms, key=f"k{self.names}")
        sent = Sent(asked)
        if reader.at_eof():
            return False
        asked.sent_at = time.monotonic()
        self.sent.append(sent)
        writer.write(asked.data)
        answer = asyncio.ensure_future(read_answer(reader))
        patience_s = self.random.uniform(0.01, 0.3) if self.random.random() < 0.1 else 20.0
        done, _ = await asyncio.wait([answer], timeout=patience_s)
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

    # -- the judge
    def _judge(self, broker):
        arrivals = {}
        for arrival in broker.arrivals:
            arrivals.setdefault(arrival.request, []).append(arrival)
        for sent in self.sent:
            self._judge_answer(sent, arrivals.get(sent.asked.name, []))
            for arrival in arrivals.get(sent.asked.name, []):
                self._judge_attempt(sent, arrival)
            self._judge_repeats(arrivals.get(sent.asked.name, []))
        for arrival in broker.arrivals:
            told = self.told.get(arrival.node)
            if told is not None and arrival.at > told + GRACE_S + self.slack_s:
                self.broken.append(
                    f"drain: {arrival.part_id} to {arrival.node} {arrival.at - told:.3f} s after it was told"
                )
        steps = [line for line in broker.lines if line.get("kind") in ("step failed", "ended by the watch")]
        self.broken += [f"log: {line}" for line in steps]

    def _judge_answer(self, sent, attempts):
        """A request gets its final answer; one on a connection that was closed unread is the client's to send again."""
        asked, answer = sent.asked, sent.answer
        if sent.left_at is not None:
            return
        late_s = answer.at - asked.sent_at - asked.deadline_ms / 1000.0
        excused = asked.sent_at < self.term_at + TAKEN_AFTER_END_S and answer.at >= self.killed_at
        if answer.status is None and attempts and not excused:
            after = asked.sent_at - self.term_at
            self.broken.append(f"lost: {asked.name} was sent on and got no answer, sent {after:.3f} s after SIGTERM")
        elif late_s > LATE_ANSWER_S + self.slack_s:
            self.broken.append(f"lost: {asked.name} was answered {late_s:.3f} s after its time")

    def _judge_repeats(self, arrivals):
        """A part of a keyed request is repeated within its window, which begins with the first attempt that may have
        run, and not more often than the settings allow."""
        first = {}
        for arrival in arrivals:
            if arrival.part in self.turned_away:
                continue
            earlier = first.setdefault(arrival.part_id, arrival)
            if arrival.key is not None and arrival.at > earlier.at + WINDOW_S + self.slack_s:
                self.broken.append(
                    f"duplicate: {arrival.part_id} {arrival.at - earlier.at:.3f} s after its first attempt"
                )
        most = max(Counter(arrival.part_id for arrival in arrivals).values(), default=0)
        if most > MOST_ATTEMPTS:
            self.broken.append(f"attempts: {most} for one part of {arrivals[0].request}")

    def _judge_attempt(self, sent, arrival):
        asked = sent.asked
        if sent.ended_at is not None and arrival.at > sent.ended_at + LEFT_S + self.hold_up_s + self.slack_s:
            after = arrival.at - sent.ended_at
            self.broken.append(f"lost: {arrival.part_id} began {after:.3f} s after the end of its request")
        left_s = asked.deadline_ms / 1000.0 - (arrival.at - asked.sent_at)
        if arrival.deadline_ms / 1000.0 > left_s + DEADLINE_SLACK_S + self.slack_s:
            self.broken.append(
                f"deadline: {arrival.part_id} was told {arrival.deadline_ms} ms, {left_s:.3f} s were left"
            )
