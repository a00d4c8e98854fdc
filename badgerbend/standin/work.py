"""The work model of a stand-in server: cores, a queue, slow start, and a crash when it is overloaded while cold.

The model has no clock or timers: the caller passes the current time and schedules the ends. Times in milliseconds.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import msgspec


class Model(msgspec.Struct):
    """The properties of a server.

    overload_factor: a cold server crashes if more than this multiple of its present capacity arrives within fall_ms.
    """

    cores: int = 2
    part_ms: float = 10.0
    call_ms: float = 1.0
    spread: float = 0.3  # sigma of the lognormal spread of a part's work
    room: int = 64  # calls that may wait
    heavy: float = 8.0  # factor on the work of a call, for amounts of a million and more
    cold_from: float = 0.25
    cold_ms: float = 5000.0
    overload_factor: float = 3.0
    fall_ms: float = 1000.0


@dataclass(slots=True, eq=False)
class Job:
    """The work of one call."""

    parts: int
    work_ms: float
    heavy: float = 1.0
    running: bool = False
    over: bool = False


@dataclass(slots=True)
class Machine:
    """The state of one server. started_ms: None if it has been warm all along."""

    model: Model
    rng: random.Random
    started_ms: float | None = None
    slowdown: float = 1.0
    busy: int = 0
    waiting: deque[Job] = field(default_factory=deque)
    recent_work: deque[tuple[float, float]] = field(default_factory=deque)  # arrival and work of recent jobs
    mean_latency_ms: float = 0.0

    def warm_up_fraction(self, now: float) -> float:
        """The share of its full capacity that the server has now."""
        if self.started_ms is None:
            return 1.0
        age = max(now - self.started_ms, 0.0) / self.model.cold_ms
        return min(1.0, self.model.cold_from + (1 - self.model.cold_from) * age)

    def job(self, parts: int, heavy: float = 1.0) -> Job:
        """Draws the work of a call with this number of parts."""
        spread = self.model.spread
        work = sum(self.rng.lognormvariate(-spread * spread / 2, spread) for _ in range(parts))
        return Job(parts, self.model.call_ms + work * self.model.part_ms * heavy, heavy)

    def overloads(self, job: Job, now: float) -> bool:
        """Counts a job as arrived. Returns whether that overloads the server, which only happens while it is cold."""
        self.recent_work.append((now, job.work_ms))
        while self.recent_work and self.recent_work[0][0] < now - self.model.fall_ms:
            self.recent_work.popleft()
        warm_up_fraction = self.warm_up_fraction(now)
        if warm_up_fraction >= 1.0:
            return False
        limit = self.model.overload_factor * warm_up_fraction * self.model.cores * self.model.fall_ms
        slack = 3 * (self.model.part_ms + self.model.call_ms)
        return sum(w for _, w in self.recent_work) > limit + slack

    def admit(self, job: Job, now: float) -> bool | None:
        """Returns True if the job starts now, False if it waits, None if the queue is full."""
        if self.busy < self.model.cores:
            self.busy += 1
            job.running = True
            return True
        if len(self.waiting) >= self.model.room:
            return None
        self.waiting.append(job)
        return False

    def duration_ms(self, job: Job, now: float) -> float:
        """The duration of a job that starts now."""
        return job.work_ms * self.slowdown / self.warm_up_fraction(now)

    def finish(self, job: Job) -> Job | None:
        """Removes a job that has ended or is cancelled. Returns the job that starts in its place, if any."""
        if job.over:
            return None
        job.over = True
        if not job.running:
            if job in self.waiting:
                self.waiting.remove(job)
            return None
        self.busy -= 1
        if self.waiting:
            following = self.waiting.popleft()
            self.busy += 1
            following.running = True
            return following
        return None

    def report(self) -> dict[str, float]:
        """The load report that accompanies each answer."""
        return {
            "util": self.busy / self.model.cores,
            "queue": float(len(self.waiting)),
            "latency_ms": self.mean_latency_ms,
        }
