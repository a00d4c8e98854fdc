"""A simulated datagram network for members: loss, delay, duplicates, corruption, partitions, in time of its own."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from itertools import count

from badgerbend.membership.messages import MemberState
from badgerbend.membership.swim import Address, MemberChanged, Swim, SwimConfig


class Network:
    """Members on one simulated clock. All chance comes from the seed.

    At equal times datagrams arrive before members tick, and members tick in the order of their names.
    """

    member_class: type[Swim] = Swim

    def __init__(self, seed: int, tuning: SwimConfig = SwimConfig()) -> None:  # noqa: B008 - frozen
        self.rng, self.tuning = random.Random(seed), tuning
        self.now = 0.0
        self.members: dict[str, Swim] = {}
        self.partitions: dict[str, int] = {}  # partitions: members of different sides do not hear each other
        self.loss = self.duplicates = self.corruption = 0.0
        self.delay = (0.001, 0.01)
        self.sent = self.bytes = 0
        self.events: list[tuple[float, str, MemberChanged]] = []
        self._in_flight: list[tuple[float, int, str, bytes, Address]] = []
        self._wakeups: list[tuple[float, str]] = []  # a heap; an entry is stale where its member wakes at another time
        self._wakes_at: dict[str, float] = {}  # the newest entry of each member
        self._order = count()
        self._incarnations = count(1)

    def address(self, name: str) -> Address:
        return (name, 1)

    def start(self, name: str, seeds: tuple[str, ...] = ()) -> Swim:
        """A member begins, or begins again in a new life."""
        life = next(self._incarnations) * 1000
        member = self.member_class(name, self.address(name), life, "", self.tuning, self.rng.getrandbits(32))
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
        """Lets time pass; True as soon as `until` holds, which is asked twenty times a period."""
        end, look = self.now + seconds, self.now
        for name in self.members:  # one may have been driven from outside since the last run
            self._schedule(name)
        while True:
            wakeup = self._next_wakeup()
            arrival = self._in_flight[0][0] if self._in_flight else math.inf
            at = min(wakeup, arrival)
            if until is not None and at >= look:
                look = max(at, self.now) + self.tuning.probe_interval_s / 20
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
        """Sees to it that the heap holds an entry for when this member has something to do."""
        at = self.members[name].next_wakeup_at
        if self._wakes_at.get(name) != at:
            self._wakes_at[name] = at
            heapq.heappush(self._wakeups, (at, name))

    def _next_wakeup(self) -> float:
        """When the first member wakes; stale entries before it are dropped."""
        while self._wakeups:
            at, name = self._wakeups[0]
            member = self.members.get(name)
            if member is not None and member.next_wakeup_at == at:
                return at
            self._drop_wakeup()
        return math.inf

    def _drop_wakeup(self) -> str:
        """Takes the first entry off the heap; returns its member."""
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
                    place = self.rng.randrange(len(data))
                    payload = data[:place] + bytes([self.rng.randrange(256)]) + data[place + 1 :]
                at = self.now + self.rng.uniform(*self.delay)
                heapq.heappush(self._in_flight, (at, next(self._order), to, payload, self.address(name)))

    def views(self) -> dict[str, dict[str, MemberState]]:
        """What each live member holds of all others."""
        return {n: {m.name: m.state for m in s.members.values()} for n, s in self.members.items()}

    def has_converged(self) -> bool:
        """Whether each live member holds exactly the live members alive."""
        live = set(self.members)
        return all(
            {o for o, state in view.items() if state == MemberState.ALIVE} == live - {name}
            and not any(state == MemberState.SUSPECT for state in view.values())
            for name, view in self.views().items()
        )
