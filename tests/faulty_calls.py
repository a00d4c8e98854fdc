"""Runs the platform's broker with system calls that fail as Linux documents it: `python -m tests.faulty_calls`.

The environment variable `FAULTS` contains the plan, a `Plan` as JSON. Sockets are replaced before any module of the
product is imported. Faults lose no data: a call that failed temporarily succeeds when it is repeated.
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

ACCEPT_ERRORS = (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.EINTR)
CREATE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.EAGAIN,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
)
BROKEN_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
SHORT_BYTES = 7


class Plan(msgspec.Struct):
    """Which calls fail. Rates are fractions of calls.

    spans: begin and end of the times in which calls fail, in seconds from the start. clock_steps: times at which the
    wall clock steps, and by how many seconds.
    """

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
    """Decides at random, by a plan, whether a call fails."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.random = random.Random(plan.seed)
        self.started_at = time.monotonic()
        self.real_time = time.time

    def should_fail(self, rate: float) -> bool:
        if not rate or self.random.random() >= rate:
            return False
        elapsed = time.monotonic() - self.started_at
        return any(begin <= elapsed < end for begin, end in self.plan.spans)

    def raise_any(self, codes: tuple[int, ...]) -> None:
        code = self.random.choice(codes)
        raise OSError(code, os.strerror(code))

    def wall_clock(self) -> float:
        elapsed = time.monotonic() - self.started_at
        return self.real_time() + sum(step for at, step in self.plan.clock_steps if at <= elapsed)


FAULTS = Faults(msgspec.json.decode(os.environ.get("FAULTS", "{}"), type=Plan))  # by default nothing fails


class FaultySocket(socket.socket):
    """A socket whose calls fail by the plan.

    Creating the socket of an accepted connection never fails: it is created with `fileno`.
    """

    broken: int | None = None

    def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
        if fileno is None and FAULTS.should_fail(FAULTS.plan.create):
            FAULTS.raise_any(CREATE_ERRORS)
        super().__init__(family, type, proto, fileno)

    def accept(self):
        if FAULTS.should_fail(FAULTS.plan.accept):
            FAULTS.raise_any(ACCEPT_ERRORS)
        return super().accept()

    def connect(self, address):
        if FAULTS.should_fail(FAULTS.plan.connect):
            FAULTS.raise_any(CONNECT_ERRORS)
        super().connect(address)

    def _fail_if_broken(self):
        """Fails all calls on a broken connection; its peer does not notice until the connection is closed."""
        if self.family != socket.AF_INET:  # the socket pair of the event loop
            return
        if self.broken is None and FAULTS.should_fail(FAULTS.plan.broken):
            self.broken = FAULTS.random.choice(BROKEN_ERRORS)
        if self.broken is not None:
            raise OSError(self.broken, os.strerror(self.broken))

    def send(self, data, flags=0):
        self._fail_if_broken()
        if self.family != socket.AF_INET:
            return super().send(data, flags)
        if FAULTS.should_fail(FAULTS.plan.write_blocked):
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        if FAULTS.should_fail(FAULTS.plan.write_short):
            data = bytes(memoryview(data)[:SHORT_BYTES])  # a view would lock asyncio's buffer while an error is handled
        return super().send(data, flags)

    def recv(self, size, flags=0):
        self._fail_if_broken()
        return super().recv(SHORT_BYTES if FAULTS.should_fail(FAULTS.plan.read_short) else size, flags)


if __name__ == "__main__":
    replace_attribute(socket, "socket", FaultySocket)
    replace_attribute(time, "time", FAULTS.wall_clock)
    from badgerbend.platform.__main__ import main

    sys.exit(main())
