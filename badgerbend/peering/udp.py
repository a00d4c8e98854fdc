"""Membership on a UDP socket: the state machine's clock and timers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from badgerbend.membership.swim import Address, MemberChanged, Swim
from badgerbend.net.seal import Seal
from badgerbend.net.udp import SealedSocket


class MembershipSocket(SealedSocket):
    """Drives one `Swim`. Events go to `on_change`."""

    def __init__(self, seal: Seal, on_change: Callable[[MemberChanged], None]) -> None:
        super().__init__(seal)
        self.on_change = on_change
        self.swim: Swim | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, swim: Swim, seeds: tuple[Address, ...]) -> None:
        self.swim = swim
        swim.join(time.monotonic(), seeds)
        self._after()

    def close(self) -> None:
        """Tells some others, and ends."""
        if self._timer is not None:
            self._timer.cancel()
        if self.swim is not None:
            self.swim.leave(time.monotonic())
            self._flush()
            self.swim = None
        self.shut()

    def body(self, body: bytes, source: Address) -> None:
        if self.swim is not None:
            self.swim.receive(time.monotonic(), body, source)
            self._after()

    def _after(self) -> None:
        self._flush()
        if self.swim is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_later(max(self.swim.next_wakeup_at - time.monotonic(), 0.001), self._tick)

    def _tick(self) -> None:
        self._timer = None
        if self.swim is not None:
            self.swim.tick(time.monotonic())
            self._after()

    def _flush(self) -> None:
        assert self.swim is not None
        output = self.swim.take_output()
        for datagram in output.datagrams:
            self.send(datagram.destination, datagram.payload)
        for event in output.events:
            self.on_change(event)
