"""Runs the platform's broker with system calls that fail as Linux documents it: `python -m tests.faulty_calls`.

The plan stands in the environment's `FAULTS`, as JSON of a `Plan`. Sockets are wrapped before anything of the product
is imported. Nothing that a fault withholds is lost: a call that fails for a moment succeeds when it is made again.
"""

from __future__ import annotations

import errno
import os
import random
import socket
import sys
import time

import msgspec

from tests.replacing import replace_attribute

ACCEPT = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.EINTR)
CREATE = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN, errno.EHOSTUNREACH, errno.ETIMEDOUT)
BROKEN = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
SHORT_BYTES = 7


class Plan(msgspec.Struct):
    """Rates are shares of calls. spans: from when to when calls fail, in seconds from the start; clock_steps: when the
    wall clock steps, and by how many seconds."""

    seed: int = 1
    accept: float = 0.0
    create: float = 0.0
    connect: float = 0.0
    write_short: float = 0.0
    write_blocked: float = 0.0
    read_short: float = 0.0
    broken: float = 0.0
    spans: tuple[tuple[float, float], ...] = ((0.0, 1e9),)
    clock_steps: tuple[tuple[float, float], ...] = ()


class Faults:
    """Draws from a plan whether a call fails."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.began = time.monotonic()
        self.unix = time.time

    def happens(self, rate: float) -> bool:
        if not rate or self.random.random() >= rate:
            return False
        elapsed = time.monotonic() - self.began
        return any(begin <= elapsed < end for begin, end in self.plan.spans)

    def raise_one(self, numbers: tuple[int, ...]) -> None:
        number = self.random.choice(numbers)
        raise OSError(number, os.strerror(number))

    def wall_clock(self) -> float:
        elapsed = time.monotonic() - self.began
        return self.unix() + sum(step for at, step in self.plan.clock_steps if at <= elapsed)


FAULTS = Faults(msgspec.json.decode(os.environ.get("FAULTS", "{}"), type=Plan))  # without one nothing fails


class FaultySocket(socket.socket):
    """A socket whose calls fail by the plan. Accepted ones are made without a family argument, and never fail there."""

    broken: int | None = None

    def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
        if fileno is None and FAULTS.happens(FAULTS.plan.create):
            FAULTS.raise_one(CREATE)
        super().__init__(family, type, proto, fileno)

    def accept(self):
        if FAULTS.happens(FAULTS.plan.accept):
            FAULTS.raise_one(ACCEPT)
        return super().accept()

    def connect(self, address):
        if FAULTS.happens(FAULTS.plan.connect):
            FAULTS.raise_one(CONNECT)
        super().connect(address)

    def _breaks(self):
        """A connection that broke stays broken, and its peer is told nothing until it is closed."""
        if self.family != socket.AF_INET:  # the loop's own pair
            return
        if self.broken is None and FAULTS.happens(FAULTS.plan.broken):
            self.broken = FAULTS.random.choice(BROKEN)
        if self.broken is not None:
            raise OSError(self.broken, os.strerror(self.broken))

    def send(self, data, flags=0):
        self._breaks()
        if self.family != socket.AF_INET:
            return super().send(data, flags)
        if FAULTS.happens(FAULTS.plan.write_blocked):
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        if FAULTS.happens(FAULTS.plan.write_short):
            data = memoryview(data)[:SHORT_BYTES]
        return super().send(data, flags)

    def recv(self, size, flags=0):
        self._breaks()
        return super().recv(SHORT_BYTES if FAULTS.happens(FAULTS.plan.read_short) else size, flags)


if __name__ == "__main__":
    replace_attribute(socket, "socket", FaultySocket)
    replace_attribute(time, "time", FAULTS.wall_clock)
    from badgerbend.platform.__main__ import main

    sys.exit(main())
