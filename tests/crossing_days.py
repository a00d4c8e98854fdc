"""Random pairs of events within one turn of the event loop, over the real service on loopback, and a check of rules.

The check uses only outside observations: what each client sent and received and when it disconnected, what each node
received and when, and which states the agent listed.
"""

import asyncio
import contextlib
import hashlib
import random
import re
from collections import defaultdict
from dataclasses import dataclass, replace

import msgspec

from tests.platform_stage import DelayedConnections, Stage, query, run
from tests.sockets import until

GRACE_S, WINDOW_S = 0.25, 0.3
SLACK_S = 0.05  # tolerance of the rules for delays on sockets
TRANSIT_S = 0.05  # tolerance of the check itself, from when a byte is sent until it is read
ABANDONED_S = 0.1  # no attempt may begin later than this after its client disconnected or got its answer


@dataclass
class SentRequest:
    """A client's request, and what the client saw of it."""

    writer: asyncio.StreamWriter
    cls: bytes
    unsent: bytes = b""
    left_at: float | None = None
    answered_at: float | None = None
    status: int = 0
    body: bytes = b""


class Day:
    """One run from a seed. `play` returns the rules that were broken, each with a time or a name."""

    def __init__(self, seed, rounds=30):
        self.rng, self.rounds = random.Random(seed), rounds
        self.requests, self.sent, self.pending = {}, [], []
        self.draining, self.drained_at = {}, defaultdict(list)
        self.violations, self.readers = [], []

    def play(self):
        run(self._main)
        return self.violations

    async def _main(self):
        self.loop, rng = asyncio.get_running_loop(), self.rng
        settings = {
            "categories.2.repeatWindowMs": WINDOW_S * 1000.0,
            "obligations.drainGraceMs": GRACE_S * 1000.0,
            "ceilings.cancel": rng.random() < 0.5,
            "ceilings.secondCopies": rng.random() < 0.7,
            "ceilings.connectTimeoutMs": rng.choice([100.0, 2000.0, 2000.0]),
            "ceilings.streamsPerConn": rng.choice([1, 4]),
        }
        self.stage = stage = Stage(each=3, settings=settings, behave=self._part)
        async with stage, DelayedConnections(lambda: stage.nodes.values()) as self.dials:
            kinds = [self.ask, self.leave, self.finish, self.cut, self.end, self.release, self.drain, self.back]
            kinds += [self.reset_watch, self.move]
            for _ in range(self.rounds):
                for _ in range(rng.choice([0, 1, 2])):
                    await self.connect(rng.random() < 0.2)
                for event in rng.sample(kinds, 2):  # in one turn of the loop, in this order
                    event()
                    for _ in range(rng.choice([0, 0, 0, 1, 3])):
                        await asyncio.sleep(0)
                for _ in range(rng.choice([0, 2, 4])):
                    self.end()
                if rng.random() < 0.15:
                    self.release()
                await asyncio.sleep(rng.choice([0.0, 0.003, 0.03, 0.1, 0.2]))
            self.rng = random.Random(1)
            await self._settle()
        self._check_rules()

    async def _settle(self):
        """Waits until all requests have ended, finishing those that are incomplete."""
        while any(one.answered_at is None and one.left_at is None for one in self.requests.values()):
            self.finish()
            self.release()
            self.end()
            await asyncio.sleep(0.005)
        await asyncio.sleep(2 * ABANDONED_S)
        for one in self.requests.values():
            one.writer.transport.abort()
        for reader in self.readers:
            reader.cancel()
        await until(lambda: not self.stage.service.driver.queries and not self.stage.service.driver._in_flight)
        if self.stage.service.driver.module.queries.attempts:
            self.violations.append(("an attempt that was never made", 0.0))

    # -- events
    async def connect(self, half):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.stage.port)
        cls = self.rng.choice([b"quote", b"some", b"accept", b"accept", b"accept"])
        shards = self.rng.sample(range(18), 1 if cls == b"accept" else self.rng.choice([2, 4]))
        name = f"c{len(self.requests)}"
        data = self.stage.head(query(shards), cls, X_Correlation_Id=name, X_Time_Left_Ms="1500")
        cut = self.rng.randrange(1, len(data)) if half else len(data)
        one = self.requests[name.encode()] = SentRequest(writer, cls, data[cut:])
        writer.write(data[:cut])
        self.readers.append(self.loop.create_task(self._read(reader, one)))

    async def _read(self, reader, one):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            size = int(re.search(rb"content-length: (\d+)", head)[1])
            one.body = await reader.readexactly(size)
            one.status = int(head[9:12])
            if await reader.read():
                self.violations.append(("a second answer", self.loop.time()))
        if one.left_at is None and not one.status:
            self.violations.append(("a request that was lost", self.loop.time()))
        one.answered_at = self.loop.time() if one.status else None

    def _open(self):
        return [one for one in self.requests.values() if one.answered_at is None and one.left_at is None]

    def ask(self):
        self.readers.append(self.loop.create_task(self.connect(False)))

    def leave(self):
        if open_requests := self._open():
            one = self.rng.choice(open_requests)
            one.writer.transport.abort() if self.rng.random() < 0.5 else one.writer.close()
            one.left_at = self.loop.time()

    def finish(self):
        for one in self._open():
            one.writer.write(one.unsent)
            one.unsent = b""

    def cut(self):
        node = self.rng.choice(list(self.stage.nodes.values()))
        if node.connections:
            self.rng.choice(list(node.connections)).cut()

    def end(self):
        if self.pending:
            part = self.pending.pop(self.rng.randrange(len(self.pending)))
            how = self.rng.choice(["served", "served", "broke", "broke", "skipped"])
            if how == "skipped":
                self.sent = [row for row in self.sent if row[3] is not part]  # a skipped part never ran
            part.connection.send(part.answer(how.encode(), part.value() if how == "served" else b""))

    def release(self):
        self.dials.release()

    def drain(self):
        uid = self.rng.choice([u for u in self.stage.nodes if int(u[1:]) >= 3])  # one node of each cell stays up
        if uid not in self.draining:
            self._put(uid, "draining")
            self.draining[uid] = self.loop.time()

    def back(self):
        if self.draining:
            uid = self.rng.choice(list(self.draining))
            self.drained_at[uid].append((self.draining.pop(uid), self.loop.time()))
            self._put(uid, "up")

    def _put(self, uid, state):
        node = self.stage.nodes[uid]
        self.stage.agent.put(uid, node.port, node.cell, state)

    def reset_watch(self):
        for connection in list(self.stage.agent.http.connections):
            connection.abort()

    def move(self):
        self.stage.service.reload(lambda: replace(self.stage.config))

    def _part(self, part):
        node = part.connection.node
        uid = next(u for u, n in self.stage.nodes.items() if n is node)
        self.sent.append((self.loop.time(), uid, part.id, part))
        self.pending.append(part)

    # -- the check
    def _check_rules(self):
        for uid, since in self.draining.items():
            self.drained_at[uid].append((since, float("inf")))
        first = {}
        for at, uid, part, sent in self.sent:
            name, _, _ = part.partition(b".")
            one = self.requests[name]
            for what, over_at in (
                ("begun for a client that left", one.left_at),
                ("begun after the answer", one.answered_at),
            ):
                if over_at is not None and at > over_at + ABANDONED_S + TRANSIT_S:
                    self.violations.append((what, round(at - over_at, 3)))
            if any(since + GRACE_S + SLACK_S + TRANSIT_S < at < until for since, until in self.drained_at[uid]):
                self.violations.append(("sent to a node that is draining", at))
            if one.cls == b"accept" and at > first.setdefault(part, at) + WINDOW_S + SLACK_S:
                self.violations.append(("sent again after its window", round(at - first[part], 3)))
            assert sent.id == part
        for name, one in self.requests.items():
            if one.status == 200:
                for piece in msgspec.json.decode(one.body)["pieces"]:
                    expected = hashlib.sha256(b"%s.%d\nc41e77d0" % (name, piece["tablet"])).hexdigest()[:16]
                    if piece["cell"] != expected:
                        self.violations.append(("an answer that no node sent", name))
