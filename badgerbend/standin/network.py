"""A datagram network for members in simulated time, with loss, delay, duplicates, corruption and partitions."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from itertools import count

from badgerbend.membership.messages import MemberState
from badgerbend.membership.swim import Address, MemberChanged, Swim, SwimConfig


class Network:
    """Members on one simulated clock. All random draws come from the seed.

    At equal times datagrams arrive before members tick, and members tick in the order of their names.
    """

    member_class: type[Swim] = Swim

    def __init__(self, seed: int, tuning: SwimConfig = SwimConfig()) -> None:  # noqa: B008 - frozen
        self.rng, self.tuning = random.Random(seed), tuning
        self.now = 0.0
        self.members: dict[str, Swim] = {}
        self.partitions: dict[str, int] = {}  # each member's partition: datagrams cross none
        self.loss = self.duplicates = self.corruption = 0.0
        self.delay = (0.001, 0.01)
        self.sent = self.bytes = 0
        self.events: list[tuple[float, str, MemberChanged]] = []
        self._in_flight: list[tuple[float, int, str, bytes, Address]] = []
        self._wakeups: list[tuple[float, str]] = []  # a heap; an entry is stale if its member wakes at another time
        self._wakes_at: dict[str, float] = {}  # the newest entry of each member
        self._order = count()
        self._incarnations = count(1)

    def address(self, name: str) -> Address:
        return (name, 1)

    def start(self, name: str, seeds: tuple[str, ...] = ()) -> Swim:
        """Starts or restarts a member with a new incarnation."""
        incarnation = next(self._incarnations) * 1000
        member = self.member_class(name, self.address(name), incarnation, "", self.tuning, self.rng.getrandbits(32))
        self.members[name] = member
        self.partitions.setdefault(name, 0)
        member.join(self.now, tuple(self.address(s) for s in seeds))
        self._collect(name)
        return member

    def crash(self, name: str) -> None:
        self.members.pop(name, None)

    def leave(self, name: str) -> None:
        self.members[name].leave(self.now)
        self._collect(name)
        self.members.pop(name)

    def run(self, seconds: float, until: Callable[[], bool] | None = None) -> bool:
        """Advances the time. Returns True as soon as `until` holds, which is checked twenty times a probe interval."""
        end, check_at = self.now + seconds, self.now
        for name in self.members:  # a test may have driven one directly since the last run
            self._schedule(name)
        while True:
            wakeup = self._next_wakeup()
            arrival = self._in_flight[0][0] if self._in_flight else math.inf
            at = min(wakeup, arrival)
            if until is not None and at >= check_at:
                check_at = max(at, self.now) + self.tuning.probe_interval_s / 20
                if until():
                    return True
            if at > end:
                self.now = end
                return until is not None and until()
            self.now = max(self.now, at)
            if arrival <= wakeup:
                self._deliver()
            else:
                self._tick()

    def _schedule(self, name: str) -> None:
        """Ensures that the heap has an entry for the time at which this member wakes next."""
        at = self.members[name].next_wakeup_at
        if self._wakes_at.get(name) != at:
            self._wakes_at[name] = at
            heapq.heappush(self._wakeups, (at, name))

    def _next_wakeup(self) -> float:
        """When the next member wakes. Stale entries before it are dropped."""
        while self._wakeups:
            at, name = self._wakeups[0]
            member = self.members.get(name)
            if member is not None and member.next_wakeup_at == at:
                return at
            self._drop_wakeup()
        return math.inf

    def _drop_wakeup(self) -> str:
        """Removes the first entry from the heap and returns its member."""
        at, name = heapq.heappop(self._wakeups)
        if self._wakes_at.get(name) == at:
            del self._wakes_at[name]
        return name

    def _deliver(self) -> None:
        _, _, name, data, source = heapq.heappop(self._in_flight)
        member = self.members.get(name)
        if member is not None and self.partitions[name] == self.partitions.get(source[0], 0):
            member.receive(self.now, data, source)
            self._collect(name)

    def _tick(self) -> None:
        name = self._drop_wakeup()
        self.members[name].tick(self.now)
        self._collect(name)

    def _collect(self, name: str) -> None:
        output = self.members[name].take_output()
        self._schedule(name)
        self.events += [(self.now, name, e) for e in output.events]
        for datagram in output.datagrams:
            to = datagram.destination[0]
            data = datagram.payload
            self.sent += 1
            self.bytes += len(data)
            for _ in range(2 if self.rng.random() < self.duplicates else 1):
                if self.rng.random() < self.loss:
                    continue
                payload = data
                if self.rng.random() < self.corruption:
                    position = self.rng.randrange(len(data))
                    payload = data[:position] + bytes([self.rng.randrange(256)]) + data[position + 1 :]
                at = self.now + self.rng.uniform(*self.delay)
                heapq.heappush(self._in_flight, (at, next(self._order), to, payload, self.address(name)))

    def views(self) -> dict[str, dict[str, MemberState]]:
        """The state that each running member has recorded for every other."""
        return {n: {m.name: m.state for m in s.members.values()} for n, s in self.members.items()}

    def has_converged(self) -> bool:
        """Whether every running member sees exactly the other running members as alive, and suspects none."""
        live = set(self.members)
        return all(
            {o for o, state in view.items() if state == MemberState.ALIVE} == live - {name}
            and not any(state == MemberState.SUSPECT for state in view.values())
            for name, view in self.views().items()
        )
