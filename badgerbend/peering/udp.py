"""Runs the membership protocol on a UDP socket: passes the time and datagrams to its state machine, and sets timers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from badgerbend.membership.swim import Address, MemberChanged, Swim
from badgerbend.net.seal import DatagramSealer
from badgerbend.net.udp import SealedSocket

MIN_WAKEUP_S = 0.001


class MembershipSocket(SealedSocket):
    """Drives one `Swim`, which is None before `start` and after `close`, and passes its events to `on_change`."""

    def __init__(self, sealer: DatagramSealer, on_change: Callable[[MemberChanged], None]) -> None:
        super().__init__(sealer)
        self.on_change = on_change
        self.swim: Swim | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self, swim: Swim, seeds: tuple[Address, ...]) -> None:
        """Join the group through its seeds. The socket must be open."""
        self.swim = swim
        swim.join(time.monotonic(), seeds)
        self._process_output(swim)

    def close(self) -> None:
        """Leave the group, and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self.swim is not None:
            self.swim.leave(time.monotonic())
            self._flush(self.swim)
            self.swim = None
        self.close_socket()

    def body(self, body: bytes, source: Address) -> None:
        """Handle the body of an authenticated datagram."""
        if self.swim is not None:
            self.swim.receive(time.monotonic(), body, source)
            self._process_output(self.swim)

    def _process_output(self, swim: Swim) -> None:
        """Send the datagrams and report the events that the state machine has produced, and set the timer again."""
        self._flush(swim)
        if self.swim is None:
            return  # closed by an event handler
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(swim.next_wakeup_at - time.monotonic(), MIN_WAKEUP_S)
        self._timer = self.loop.call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        if self.swim is not None:
            self.swim.tick(time.monotonic())
            self._process_output(self.swim)

    def _flush(self, swim: Swim) -> None:
        output = swim.take_output()
        for datagram in output.datagrams:
            self.send(datagram.destination, datagram.payload)
        for event in output.events:
            self.on_change(event)
