"""One connection to a node: many parts are in flight at once and are answered in any order.

While the connection is not established, or while the kernel accepts no more bytes, calls are queued here rather than in
the buffer of asyncio's transport. So the channel knows which calls were written completely, and can take back queued
calls when the node begins to drain.

A served answer whose length is too short looks complete; only the bytes behind it show the fault. So a served answer
ends its attempt once a valid frame follows it, or once nothing has followed it for a short time.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Sequence
from typing import Protocol, cast

from badgerbend.api import Outcome
from badgerbend.frames.codec import (
    ControlFrame,
    Decoder,
    FrameHeadError,
    FrameNames,
    PartAnswer,
    PartRequest,
    encode_call,
    encode_frame,
)
from badgerbend.frames.recent_ids import RecentIds
from badgerbend.runtime.ports import Attempt

DELAYED_MS = 1.0
"""A part written later than this after the decision counts as delayed: its client may have left in the meantime."""

CONFIRMATION_S = 0.002
"""A served answer counts if nothing has followed it for this long. The segments of one write arrive closer together."""

MAX_REMEMBERED_IDS = 4096
"""Ids of sent parts that a connection remembers; with more, it carries nothing new until some are forgotten."""


class Owner(Protocol):
    """What a channel needs from the transport that it belongs to.

    `ended` is called once when an attempt ends, unless the attempt was cancelled before.
    """

    names: FrameNames
    streams: int
    max_frame: int
    part_id_retention_s: float

    def now_ms(self) -> float: ...

    def ended(self, attempt: Attempt, outcome: Outcome, value: bytes | None) -> None: ...

    def wanted(self, attempt: Attempt) -> bool:
        """Whether a client still waits for the attempt's result."""

    def forget(self, channel: Channel) -> None:
        """Called when the channel can no longer be used."""

    def freed(self, channel: Channel) -> None:
        """Called when the channel's file descriptor is free."""

    def give_up(self, channel: Channel) -> None:
        """Cancels opening the channel's connection."""

    def report_fault(self, kind: str, detail: str) -> None: ...


def part_request(attempt: Attempt) -> PartRequest:
    """Returns the request that the attempt sends to the node."""
    request = attempt.plan.payload
    assert isinstance(request, PartRequest)
    return request


class Channel(asyncio.Protocol):
    """One connection, created and opened by its transport. Times are the event loop's, in seconds."""

    def __init__(self, owner: Owner, node: int, loop: asyncio.AbstractEventLoop) -> None:
        self.owner, self.node, self.loop = owner, node, loop
        self.transport: asyncio.Transport | None = None
        self.decoder = Decoder(owner.names, owner.max_frame)
        self.in_flight: dict[bytes, Attempt] = {}  # written and not answered yet, by part id
        self.queued_calls: list[list[Attempt]] = []  # calls that are not written yet
        self.cancelled: OrderedDict[bytes, None] = OrderedDict()  # cancelled parts; their answers may still arrive
        self.sent_ids = RecentIds(owner.part_id_retention_s, loop.time())
        self.last_call: list[Attempt] = []  # while `blocked`, its last byte may not be written
        self.last_call_bytes, self.bytes_since_call = 0, 0  # bytes of the last call; bytes written since its start
        self.blocked = False
        self.connected, self.ended = False, False
        self.last_used = loop.time()
        self.frame_started_at: float | None = None  # when the incomplete frame began to arrive
        self._unconfirmed: PartAnswer | None = None  # a served answer; its attempt is still in flight
        self._confirmation: asyncio.TimerHandle | None = None

    # -- called by the transport
    def part_count(self) -> int:
        """The number of parts that are in flight or queued on this channel."""
        return len(self.in_flight) + sum(map(len, self.queued_calls))

    def may_receive_answer(self, part: bytes) -> bool:
        """Whether a message about an earlier attempt for this part may still arrive here.

        All attempts for a part have the same id. Nodes may send a second copy of an answer, so an answer to one attempt
        can't be told from a copy of the answer to an earlier one.
        """
        return part in self.in_flight or part in self.cancelled or part in self.sent_ids

    def has_room_for(self, parts: Sequence[bytes], now: float) -> bool:
        """Whether these parts may be sent here."""
        self.sent_ids.expire(now)
        return (
            self.part_count() + len(parts) <= self.owner.streams
            and len(self.sent_ids) < MAX_REMEMBERED_IDS
            and not any(map(self.may_receive_answer, parts))
        )

    def send(self, attempts: Sequence[Attempt]) -> None:
        """Sends attempts as one call; it is written at once if the connection accepts it."""
        self.queued_calls.append(list(attempts))
        for attempt in attempts:
            self.sent_ids.add(part_request(attempt).id)
        self._write_calls()

    def cancel(self, attempt: Attempt) -> None:
        """Ends an attempt without reporting an outcome. The node is notified unless the attempt was never sent."""
        for one in self.queued_calls:
            if attempt in one:
                one.remove(attempt)
                if not one:
                    self.queued_calls.remove(one)
                return
        part = part_request(attempt).id
        if self.in_flight.get(part) is attempt:
            del self.in_flight[part]
            if not self._has_begun(attempt):
                self._discard_buffer()
                return
            self.cancelled[part] = None
            while len(self.cancelled) > 4 * self.owner.streams:
                self.cancelled.popitem(last=False)
            self.last_used = self.loop.time()
            if self.transport is not None and not self.transport.is_closing():
                self._write(encode_frame(self.owner.names.cancel, part))

    def begun(self, attempt: Attempt) -> bool:
        """Whether a byte of the attempt's call may have been sent to the node."""
        return not any(attempt in one for one in self.queued_calls) and self._has_begun(attempt)

    def withdraw(self) -> list[Attempt]:
        """Takes back the attempts of which no byte was sent, because the node accepts no new work."""
        queued = [a for one in self.queued_calls for a in one]
        self.queued_calls = []
        buffered = [a for a in self.in_flight.values() if not self._has_begun(a)]
        if buffered:
            self.in_flight = {part: a for part, a in self.in_flight.items() if a not in buffered}
            self._discard_buffer()
        return queued + buffered

    def idle(self) -> bool:
        """Whether no part is in flight or queued."""
        return not self.in_flight and not self.queued_calls

    def close(self) -> None:
        """Aborts the connection; attempts in flight on it end as reset."""
        if self.transport is not None:
            self.transport.abort()

    def drop(self) -> None:
        """Closes an idle connection, even one that is still being opened; the transport forgets it at once."""
        self._end(Outcome.RESET)
        self.close()
        self.owner.give_up(self)

    def failed_to_connect(self) -> None:
        """Ends the channel because the connection was not established in time.

        A connection that was established in that same turn has already written its calls, which may run: asyncio
        closes it, and its end is reported like that of any other connection.
        """
        if not self.connected:
            self._end(Outcome.CONNECT_FAILED)

    # -- asyncio.Protocol
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.connected = cast(asyncio.Transport, transport), True
        if self.ended:  # abandoned while it was being opened
            self.transport.abort()
            return
        # With this limit, `blocked` states whether bytes are left in the buffer above the kernel.
        self.transport.set_write_buffer_limits(high=0)
        self.last_used = self.loop.time()
        self._write_calls()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._end(Outcome.RESET)
        self.owner.freed(self)

    def pause_writing(self) -> None:
        self.blocked = True

    def resume_writing(self) -> None:
        self.blocked, self.last_call = False, []
        # Not at once: asyncio ends a connection twice if a write fails in this callback.
        self.loop.call_soon(self._write_calls)

    def data_received(self, data: bytes) -> None:
        if self.ended:
            return
        self.last_used = self.loop.time()
        for message in self.decoder.feed(data):
            if not self._confirm_answer() or not self._handle_message(message):
                return
        self._check_rest()

    def _handle_message(self, message: PartAnswer | ControlFrame) -> bool:
        """Handles a complete message; returns whether the connection goes on."""
        if isinstance(message, PartAnswer):
            if message.outcome is Outcome.OK and message.id in self.in_flight:
                self._unconfirmed = message
                return True
            return self._handle_answer(message)
        if message.kind == self.owner.names.error:
            self._fail_connection(f"the node could not decode a frame: {message.text[:80]!r}")
        else:
            self._fail_connection("received an answer to a probe, but none was sent")
        return False

    def _check_rest(self) -> None:
        """Handles what follows the last complete message: an error, the beginning of a frame, or nothing."""
        decoder = self.decoder
        is_error_behind_head = decoder.error is not None and not isinstance(decoder.error, FrameHeadError)
        if (decoder.has_head or is_error_behind_head) and not self._confirm_answer():
            return
        if decoder.error is not None:
            self._fail_connection(str(decoder.error))
            return
        if decoder.in_frame:
            if self.frame_started_at is None:
                self.frame_started_at = self.last_used
            return
        self.frame_started_at = None
        if self._unconfirmed is not None:
            self._confirmation = self.loop.call_later(CONFIRMATION_S, self._confirm_if_alone)

    def stalled(self, now: float, limit_s: float) -> bool:
        """Fails the connection if a frame is still incomplete `limit_s` after it began."""
        if self.frame_started_at is not None and now - self.frame_started_at > limit_s and not self.ended:
            self._fail_connection("timed out waiting for the rest of a frame")
            return True
        return False

    # -- internals
    def _write_calls(self) -> None:
        transport = self.transport
        while self.queued_calls and transport is not None and not self.blocked and not transport.is_closing():
            now_ms = self.owner.now_ms()
            queued = self.queued_calls.pop(0)
            attempts = [attempt for attempt in queued if self._may_begin(attempt, now_ms)]
            for attempt in attempts:
                self.in_flight[part_request(attempt).id] = attempt
            if attempts:
                data = encode_call(self.owner.names, [(part_request(a), a.time_left_ms(now_ms)) for a in attempts])
                self.last_call_bytes, self.bytes_since_call = len(data), 0
                self.last_used = self.loop.time()
                self._write(data)
                self.last_call = attempts if self.blocked else []
            for attempt in queued:
                if attempt not in attempts:
                    self.owner.ended(attempt, Outcome.NOT_SENT, None)

    def _may_begin(self, attempt: Attempt, now_ms: float) -> bool:
        """Whether an attempt may still be written after it waited for the connection to be established or to drain."""
        if now_ms > attempt.begin_by_ms or attempt.time_left_ms(now_ms) <= 0.0:
            return False
        return now_ms - attempt.sent_ms < DELAYED_MS or self.owner.wanted(attempt)

    def _write(self, data: bytes) -> None:
        assert self.transport is not None
        self.bytes_since_call += len(data)
        self.transport.write(data)

    def _has_begun(self, attempt: Attempt) -> bool:
        """Whether a byte of a written attempt has reached the kernel; while it accepts nothing, a complete call may lie
        in the buffer above it."""
        if not self.blocked or self.transport is None or attempt not in self.last_call:
            return True
        return self.transport.get_write_buffer_size() < self.bytes_since_call

    def _discard_buffer(self) -> None:
        """Drops the connection with its write buffer, because a call cannot be removed from that buffer."""
        self._end(Outcome.RESET)
        self.close()

    def _confirm_answer(self) -> bool:
        """Ends the attempt of the answer that waits for its confirmation; returns whether the connection goes on."""
        message = self._take_unconfirmed()
        return message is None or self._handle_answer(message)

    def _take_unconfirmed(self) -> PartAnswer | None:
        """Returns the answer that waits for its confirmation, which no longer waits."""
        if self._confirmation is not None:
            self._confirmation.cancel()
            self._confirmation = None
        message, self._unconfirmed = self._unconfirmed, None
        return message

    def _confirm_if_alone(self) -> None:
        self._confirmation = None
        if not self.decoder.in_frame:
            self._confirm_answer()

    def _handle_answer(self, message: PartAnswer) -> bool:
        attempt = self.in_flight.pop(message.id, None)
        if attempt is not None:
            served = message.outcome is Outcome.OK
            self.owner.ended(attempt, message.outcome, message.value if served else None)
            return True
        if message.id in self.cancelled:
            del self.cancelled[message.id]
            return True
        if message.id in self.sent_ids and self.in_flight:
            self.owner.report_fault("second answer", f"server {self.node}: {message.id[:40]!r}")
            return True  # frames are still in step, and the other parts are not affected
        self._fail_connection(f"received an answer for an unknown part: {message.id[:40]!r}")
        return False

    def _fail_connection(self, reason: str) -> None:
        """Closes a connection that is no longer usable: attempts in flight on it have failed and may have run."""
        self.owner.report_fault("spoilt answer", f"server {self.node}: {reason}")
        self._end(Outcome.ERROR)
        self.close()

    def _end(self, outcome: Outcome) -> None:
        if not self.ended and outcome is not Outcome.ERROR and not self.decoder.in_frame:
            self._confirm_answer()  # the connection ended right behind the answer
        if self.ended:
            return
        self.ended = True
        self._take_unconfirmed()
        # If bytes are left above the kernel and the last call was written last, that call was not sent completely. If a
        # cancellation was written after the call, the remaining bytes may belong to the cancellation alone.
        cut_short = self.blocked and self.bytes_since_call == self.last_call_bytes
        incomplete = set(map(id, self.last_call)) if cut_short else set()
        unsent = self.withdraw()
        unsent += [a for a in self.in_flight.values() if id(a) in incomplete]
        sent = [a for a in self.in_flight.values() if id(a) not in incomplete]
        self.in_flight, self.last_call = {}, []
        self.cancelled.clear()
        self.decoder.discard()  # attempts that have failed refer to their channel until their query ends
        self.owner.forget(self)
        for attempt in unsent:
            self.owner.ended(attempt, Outcome.CONNECT_FAILED, None)
        for attempt in sent:
            self.owner.ended(attempt, outcome, None)
