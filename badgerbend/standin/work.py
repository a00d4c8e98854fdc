"""The work model of a stand-in server: cores, a waiting room, slow start, and a cold server that falls over.

Pure: it is told what arrives and when, and says what starts and when it would end. Times in milliseconds.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import msgspec


class Model(msgspec.Struct):
    """A server's make. overload_factor: so many times its present capacity, for fall_ms, fells it while cold."""

    cores: int = 2
    part_ms: float = 10.0
    call_ms: float = 1.0
    spread: float = 0.3  # sigma of the lognormal spread of a part's work
    room: int = 64  # calls waiting
    heavy: float = 8.0  # times the work, for amounts of a million and more
    cold_from: float = 0.25
    cold_ms: float = 5000.0
    overload_factor: float = 3.0
    fall_ms: float = 1000.0


@dataclass(slots=True, eq=False)
class Job:
    parts: int
    work_ms: float
    heavy: float = 1.0
    running: bool = False
    over: bool = False


@dataclass(slots=True)
class Machine:
    """One server's state. `started_ms` None: warm from long ago."""

    model: Model
    rng: random.Random
    started_ms: float | None = None
    slowdown: float = 1.0
    busy: int = 0
    waiting: deque[Job] = field(default_factory=deque)
    pressure: deque[tuple[float, float]] = field(default_factory=deque)
    usual_ms: float = 0.0

    def warmth(self, now: float) -> float:
        """The share of its capacity that it can give now."""
        if self.started_ms is None:
            return 1.0
        age = max(now - self.started_ms, 0.0) / self.model.cold_ms
        return min(1.0, self.model.cold_from + (1 - self.model.cold_from) * age)

    def job(self, parts: int, heavy: float = 1.0) -> Job:
        spread = self.model.spread
        work = sum(self.rng.lognormvariate(-spread * spread / 2, spread) for _ in range(parts))
        return Job(parts, self.model.call_ms + work * self.model.part_ms * heavy, heavy)

    def falls(self, job: Job, now: float) -> bool:
        """Counts a job as pressure; whether that fells the server, which only a cold one can be."""
        self.pressure.append((now, job.work_ms))
        while self.pressure and self.pressure[0][0] < now - self.model.fall_ms:
            self.pressure.popleft()
        warmth = self.warmth(now)
        if warmth >= 1.0:
            return False
        most = self.model.overload_factor * warmth * self.model.cores * self.model.fall_ms
        slack = 3 * (self.model.part_ms + self.model.call_ms)
        return sum(w for _, w in self.pressure) > most + slack

    def admit(self, job: Job, now: float) -> bool | None:
        """True: it starts now. False: it waits. None: there is no room."""
        if self.busy < self.model.cores:
            self.busy += 1
            job.running = True
            return True
        if len(self.waiting) >= self.model.room:
            return None
        self.waiting.append(job)
        return False

    def lasts(self, job: Job, now: float) -> float:
        """How long a job that starts now takes."""
        return job.work_ms * self.slowdown / self.warmth(now)

    def leave(self, job: Job) -> Job | None:
        """A job ends or is called off; the next one that starts in its place, if any."""
        if job.over:
            return None
        job.over = True
        if not job.running:
            if job in self.waiting:
                self.waiting.remove(job)
            return None
        self.busy -= 1
        if self.waiting:
            nxt = self.waiting.popleft()
            self.busy += 1
            nxt.running = True
            return nxt
        return None

    def report(self) -> dict[str, float]:
        """What goes with each answer."""
        return {
            "util": self.busy / self.model.cores,
            "queue": float(len(self.waiting)),
            "latency_ms": self.usual_ms,
        }
