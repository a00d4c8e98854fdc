"""One connection to a node: many parts at once, answered in any order.

What is handed over while the connection is not up, or while the kernel takes no more, waits here and not in a buffer
beneath: so it is known what was written whole, and what waits can be taken back when the node begins to drain.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Sequence
from typing import Protocol, cast

from badgerbend.api import Outcome
from badgerbend.frames.codec import Decoder, Names, PartAnswer, PartRequest, encode_call, encode_frame
from badgerbend.runtime.ports import Attempt

DELAYED_MS = 1.0
"""A part written later than this after its decision was delayed: things may have changed since."""


class Owner(Protocol):
    """What a channel needs of the transport it belongs to."""

    names: Names
    streams: int
    max_frame: int

    def now_ms(self) -> float: ...

    def ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None) -> None: ...

    def wanted(self, attempt: Attempt) -> bool:
        """Whether a client still waits for it."""

    def forget(self, channel: Channel) -> None:
        """It is of no further use."""

    def freed(self, channel: Channel) -> None:
        """Its descriptor is."""

    def give_up(self, channel: Channel) -> None:
        """Ends its connecting."""

    def report_fault(self, what: str, detail: str) -> None: ...


def part_request(attempt: Attempt) -> PartRequest:
    ask = attempt.plan.payload
    assert isinstance(ask, PartRequest)
    return ask


class Channel(asyncio.Protocol):
    """Made by its transport, which connects it. Times are the loop's, in seconds."""

    def __init__(self, owner: Owner, node: int, loop: asyncio.AbstractEventLoop) -> None:
        self.owner, self.node, self.loop = owner, node, loop
        self.transport: asyncio.Transport | None = None
        self.decoder = Decoder(owner.names, owner.max_frame)
        self.out: dict[bytes, Attempt] = {}  # written, and waited for
        self.waiting: list[list[Attempt]] = []  # calls not written yet
        self.calls_off: OrderedDict[bytes, None] = OrderedDict()  # given up here; their answers may still come
        self.last_call: list[Attempt] = []  # its last byte may not be written while `blocked`
        self.call_size, self.since_call = 0, 0  # its bytes, and those handed over from its first on
        self.blocked = False
        self.up, self.dead = False, False
        self.since = loop.time()  # last use
        self.inside_since: float | None = None  # when the frame that is being read began

    # -- the transport's side
    def load(self) -> int:
        """Parts that are out or wait here."""
        return len(self.out) + sum(map(len, self.waiting))

    def knows(self, part: bytes) -> bool:
        """Whether a word on an earlier attempt for this part may still come here."""
        return part in self.out or part in self.calls_off

    def send(self, attempts: Sequence[Attempt]) -> None:
        """One call. It is written at once if the connection takes it."""
        self.waiting.append(list(attempts))
        self._pump()

    def cancel(self, attempt: Attempt) -> None:
        """Nothing more is told of it. The node hears of it unless it was never sent."""
        for call_ in self.waiting:
            if attempt in call_:
                call_.remove(attempt)
                if not call_:
                    self.waiting.remove(call_)
                return
        part = part_request(attempt).id
        if self.out.get(part) is attempt:
            del self.out[part]
            if not self._begun(attempt):
                self._cut()
                return
            self.calls_off[part] = None
            while len(self.calls_off) > 4 * self.owner.streams:
                self.calls_off.popitem(last=False)
            self.since = self.loop.time()
            if self.transport is not None and not self.transport.is_closing():
                self._write(encode_frame(self.owner.names.cancel, part))

    def begun(self, attempt: Attempt) -> bool:
        """Whether a byte of its call may have left for the node."""
        return not any(attempt in call_ for call_ in self.waiting) and self._begun(attempt)

    def withdraw(self) -> list[Attempt]:
        """Takes back what was not begun to be written: the node wants nothing new."""
        back = [a for call_ in self.waiting for a in call_]
        self.waiting = []
        stuck = [a for a in self.out.values() if not self._begun(a)]
        if stuck:
            self.out = {part: a for part, a in self.out.items() if a not in stuck}
            self._cut()
        return back + stuck

    def idle(self) -> bool:
        return not self.out and not self.waiting

    def close(self) -> None:
        """Cuts the connection; what is out on it ends as reset."""
        if self.transport is not None:
            self.transport.abort()

    def drop(self) -> None:
        """Ends an idle connection, also one that is not up yet; the transport forgets it at once."""
        self._over(Outcome.RESET)
        self.close()
        self.owner.give_up(self)

    def failed_to_connect(self) -> None:
        """It did not come up in time. One that came up in that very turn has written its calls, which may run: asyncio
        closes it, and its end is told as that of any other."""
        if not self.up:
            self._over(Outcome.CONNECT_FAILED)

    # -- asyncio's side
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.up = cast(asyncio.Transport, transport), True
        if self.dead:  # given up while it was opening
            self.transport.abort()
            return
        self.transport.set_write_buffer_limits(high=0)  # so that `blocked` says whether bytes are left above the kernel
        self.since = self.loop.time()
        self._pump()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._over(Outcome.RESET)
        self.owner.freed(self)

    def pause_writing(self) -> None:
        self.blocked = True

    def resume_writing(self) -> None:
        self.blocked, self.last_call = False, []
        self._pump()

    def data_received(self, data: bytes) -> None:
        if self.dead:
            return
        self.since = self.loop.time()
        for message in self.decoder.feed(data):
            if isinstance(message, PartAnswer):
                if not self._answered(message):
                    return
            elif message.kind == self.owner.names.error:
                self._spoilt(f"the node could not read: {message.text[:80]!r}")
                return
            else:
                self._spoilt("an answer to a probe that was not sent")
                return
        if self.decoder.error is not None:
            self._spoilt(str(self.decoder.error))
            return
        if not self.decoder.inside:
            self.inside_since = None
        elif self.inside_since is None:
            self.inside_since = self.since

    def stalled(self, now: float, most_s: float) -> bool:
        """Gives the connection up if a frame that has begun does not end within `most_s`."""
        if self.inside_since is not None and now - self.inside_since > most_s and not self.dead:
            self._spoilt("a frame without an end")
            return True
        return False

    # -- inside
    def _pump(self) -> None:
        transport = self.transport
        while self.waiting and transport is not None and not self.blocked and not transport.is_closing():
            now_ms = self.owner.now_ms()
            handed_over = self.waiting.pop(0)
            attempts = [attempt for attempt in handed_over if self._may_begin(attempt, now_ms)]
            for attempt in attempts:
                self.out[part_request(attempt).id] = attempt
            if attempts:
                data = encode_call(self.owner.names, [(part_request(a), a.time_left_ms(now_ms)) for a in attempts])
                self.last_call, self.call_size, self.since_call = attempts, len(data), 0
                self.since = self.loop.time()
                self._write(data)
            for attempt in handed_over:
                if attempt not in attempts:
                    self.owner.ended(attempt, Outcome.NOT_SENT, None)

    def _may_begin(self, attempt: Attempt, now_ms: float) -> bool:
        """Whether it may still be written, after this connection came up or was full for a while."""
        if now_ms > attempt.begin_by_ms or attempt.time_left_ms(now_ms) <= 0.0:
            return False
        return now_ms - attempt.sent_ms < DELAYED_MS or self.owner.wanted(attempt)

    def _write(self, data: bytes) -> None:
        assert self.transport is not None
        self.since_call += len(data)
        self.transport.write(data)

    def _begun(self, attempt: Attempt) -> bool:
        """Of a written one. While the kernel takes nothing, a whole call may lie in the buffer above it."""
        if not self.blocked or self.transport is None or attempt not in self.last_call:
            return True
        return self.transport.get_write_buffer_size() < self.since_call

    def _cut(self) -> None:
        """Drops a buffer of which nothing may be sent any more: there is no other way to take a call out of it."""
        self._over(Outcome.RESET)
        self.close()

    def _answered(self, message: PartAnswer) -> bool:
        attempt = self.out.pop(message.id, None)
        if attempt is not None:
            served = message.outcome is Outcome.OK
            self.owner.ended(attempt, message.outcome, message.value if served else None)
            return True
        if message.id in self.calls_off:
            del self.calls_off[message.id]
            return True
        self._spoilt(f"an answer to nothing: {message.id[:40]!r}")
        return False

    def _spoilt(self, why: str) -> None:
        """The connection is of no further use: what is out on it has failed and may have run."""
        self.owner.report_fault("spoilt answer", f"server {self.node}: {why}")
        self._over(Outcome.ERROR)
        self.close()

    def _over(self, outcome: Outcome) -> None:
        if self.dead:
            return
        self.dead = True
        # Bytes are left above the kernel, and those of the last call are the last: it was not written whole. With the
        # word on a part given up behind them, only that word may be what is left.
        cut_short = self.blocked and self.since_call == self.call_size
        unwritten = set(map(id, self.last_call)) if cut_short else set()
        never = self.withdraw()
        never += [a for a in self.out.values() if id(a) in unwritten]
        rest = [a for a in self.out.values() if id(a) not in unwritten]
        self.out, self.last_call = {}, []
        self.calls_off.clear()
        self.owner.forget(self)
        for a in never:
            self.owner.ended(a, Outcome.CONNECT_FAILED, None)
        for a in rest:
            self.owner.ended(a, outcome, None)
