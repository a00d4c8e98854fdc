"""Measures what usual clients of a broker process get while other clients send at full speed."""

import asyncio
import contextlib
import itertools
import os
import random
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

from tests.broker_process import ROOT, BrokerProcess, read_answer, request
from tests.memory_faults import LATE_ANSWER_S, SETTINGS, limits, memory_kb, slow
from tests.platform_stage import SHARDS

USUAL_CLIENTS = 10
DEADLINE_MS = 2000
CORES = itertools.cycle(sorted(os.sched_getaffinity(0)))
PAUSE_S = (0.05, 0.15)  # of a usual client between requests


@dataclass(slots=True)
class Usual:
    """What usual clients got. lost: requests without a final answer in time. latencies: of all answers, in seconds."""

    statuses: Counter = field(default_factory=Counter)
    latencies: list = field(default_factory=list)
    lost: list = field(default_factory=list)

    def quantile(self, q):
        ordered = sorted(self.latencies)
        return ordered[min(int(q * len(ordered)), len(ordered) - 1)] if ordered else float("nan")


@dataclass(slots=True)
class Result:
    before: Usual
    beside: Usual
    start_kb: int  # memory when the flood begins
    peak_kb: int
    cpu_share: float


class SharedCore:
    """A context in which a process shares one core with busy processes, so that it gets a part of the core only."""

    def __init__(self, pid, busy):
        self.pid, self.busy = pid, busy

    def __enter__(self):
        core = {next(CORES)} if self.busy else os.sched_getaffinity(0)
        os.sched_setaffinity(self.pid, core)
        self.processes = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(self.busy)]
        for process in self.processes:
            os.sched_setaffinity(process.pid, core)

    def __exit__(self, *_):
        for process in self.processes:
            process.kill()
            process.wait()


class Play:
    """One flood: usual clients alone for a while, then beside the flood. busy: processes that share the core."""

    def __init__(self, form, how="pipelined", connections=1, seconds=4.0, memory_mb=88, descriptors=576, busy=0):
        self.form, self.how, self.connections, self.seconds, self.busy = form, how, connections, seconds, busy
        self.limits = limits(memory_mb, descriptors)
        self.usual, self.numbers, self.ended = Usual(), itertools.count(), False

    async def run(self):
        changes = {"limits": {"cores": 1.0, **self.limits}, "settings": SETTINGS}
        async with BrokerProcess(each=2, behave=slow, **changes) as broker:
            with SharedCore(broker.process.pid, self.busy):
                return await self._beside(broker)

    async def _beside(self, broker):
        tasks = [asyncio.create_task(self._client(broker)) for _ in range(USUAL_CLIENTS)]
        await asyncio.sleep(1.0)
        before, self.usual = self.usual, Usual()
        command = [sys.executable, "-m", "tests.flood_clients", self.form, self.how]
        flood = subprocess.Popen(
            [*command, str(broker.port), str(self.connections)], cwd=ROOT, stderr=subprocess.DEVNULL
        )
        started_at, cpu = time.monotonic(), cpu_seconds(broker.process.pid)
        start_kb = peak = memory_kb(broker.process.pid)
        while time.monotonic() - started_at < self.seconds and broker.process.poll() is None:
            with contextlib.suppress(OSError, StopIteration):
                peak = max(peak, memory_kb(broker.process.pid))
            await asyncio.sleep(0.05)
        used = cpu_seconds(broker.process.pid) - cpu
        self.ended = True
        await asyncio.gather(*tasks)
        flood.kill()
        flood.wait()
        if broker.process.poll() is not None:
            self.usual.lost.append("the process ended")
        return Result(before, self.usual, start_kb, peak, used / self.seconds)

    async def _client(self, broker):
        connection = None
        while not self.ended:
            asked = request(f"u{next(self.numbers)}", random.sample(range(SHARDS), 2), deadline_ms=DEADLINE_MS)
            sent_at, usual = time.monotonic(), self.usual
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000.0 + LATE_ANSWER_S):
                    is_new = connection is None
                    try:
                        connection, answer = await self._ask(broker, connection, asked)
                    except (asyncio.IncompleteReadError, OSError):
                        if is_new:
                            raise
                        connection, answer = await self._ask(broker, None, asked)
                usual.latencies.append(time.monotonic() - sent_at)
                usual.statuses[answer.status] += 1
            except (asyncio.IncompleteReadError, OSError) as err:
                connection = None
                usual.lost.append(f"{asked.name}: {type(err).__name__} after {time.monotonic() - sent_at:.3f} s")
            await asyncio.sleep(random.uniform(*PAUSE_S))
        if connection is not None:
            connection[1].close()

    async def _ask(self, broker, connection, asked):
        reader, writer = connection or await broker.connect()
        writer.write(asked.data)
        answer = await read_answer(reader)
        if answer.is_last:
            writer.close()
            return None, answer
        return (reader, writer), answer


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0
