"""The adapter: speaks the bench's binary wire on standard input and output, and decides nothing."""

from __future__ import annotations

import gc
import math
import sys
import traceback
from dataclasses import dataclass, field
from struct import Struct
from struct import error as StructError
from typing import BinaryIO

from badgerbend import api
from badgerbend.decisions import Aggregator
from badgerbend.platform_settings import SettingError, parse_lines, read_settings

BATCH_HEAD, REPLY_HEAD = Struct(">IId"), Struct(">II")
EVENT_SIZE, LINE_SIZE, CLOCK_BYTES = 48, 22, 8

SELECT, START, VIEW, SHEET, SUBMIT, ACK, COMPLETED, INBOX, PROBED, EXIT, GONE, ALARM = (
    8,
    5,
    2,
    3,
    4,
    11,
    6,
    7,
    9,
    10,
    12,
    1,
)
U32, F_START, F_VIEW, F_SHEET = Struct(">I"), Struct(">QII"), Struct(">BQI"), Struct(">III")
F_SUBMIT, F_COMPLETED = Struct(">IQfdHBdHff"), Struct(">IHIHdBB4f")
F_ACK, F_PROBED, F_INBOX, F_ALARM = Struct(">IHId"), Struct(">IHdB4f"), Struct(">III"), Struct(">Q")
F_LINE = Struct(">HIdHBfB")

A_BEHALF, A_SEND, A_CANCEL = Struct(">BI19x"), Struct(">BIId7x"), Struct(">BIH17x")
A_REFUSE, A_ID, A_ALARM = Struct(">BId11x"), Struct(">BI19x"), Struct(">BdQ7x")
A_ANSWER, A_FLAG, A_BARE = Struct(">BIB18x"), Struct(">BB22x"), Struct(">B23x")
A_TEXT, A_TELL = Struct(">BII15x"), Struct(">BIII11x")

OUTCOMES = {
    0: api.Outcome.OK,
    255: api.Outcome.ERROR,
    254: api.Outcome.REJECTED,
    253: api.Outcome.TIMEOUT,
    252: api.Outcome.CONNECT_FAILED,
    251: api.Outcome.RESET,
    250: api.Outcome.CANCELLED,
    249: api.Outcome.NOT_SENT,
}
ALL_PEERS = 0xFFFFFFFF


class WireError(Exception):
    """The frame cannot be what the wire describes."""


@dataclass(slots=True)
class _Pending:
    """A query, or a second step, whose parts are still being read."""

    head: tuple[int, int, int, int, float, bool, float | None] | None
    number: int
    parts: list[api.Part] = field(default_factory=list)

    def event(self) -> api.Query | api.FollowUpParts:
        if self.head is None:
            return api.FollowUpParts(self.number, tuple(self.parts))
        qid, cls, tenant, key, left, retry, cost = self.head
        return api.Query(qid, self.number, cls, tenant, key, left, retry, cost, tuple(self.parts))


class Link:
    """All instances of one process. They share nothing but the decoded lists, which are never changed."""

    def __init__(self) -> None:
        self.instances: dict[int, Aggregator] = {}
        self.sheets: dict[int, tuple[api.Endpoint, ...]] = {}

    def turn(self, frame: bytes) -> bytes:
        """One batch (whole, with its header) to one reply."""
        count, size, now = BATCH_HEAD.unpack_from(frame)
        if not math.isfinite(now):
            raise WireError("header: the clock is not finite")
        tail = BATCH_HEAD.size + count * EVENT_SIZE
        if tail > len(frame) or size != len(frame) - CLOCK_BYTES:
            raise WireError(f"header: {count} records do not fit in {len(frame)} bytes")
        events: dict[int, list[api.Event | _Pending]] = {}
        unfit: dict[int, str] = {}  # what is wrong with an instance's settings
        me: int | None = None
        for i in range(count):
            at = BATCH_HEAD.size + i * EVENT_SIZE
            try:
                code = frame[at]
                if code == SELECT:
                    (me,) = U32.unpack_from(frame, at + 1)
                elif code == SHEET:
                    slot, offset, n = F_SHEET.unpack_from(frame, at + 1)
                    self.sheets[slot] = self._lines(frame, tail + offset, n)
                elif me is None:
                    raise WireError("no instance is selected")
                elif code == START:
                    seed, offset, n = F_START.unpack_from(frame, at + 1)
                    settings = self._bytes(frame, tail + offset, n).decode("utf-8", "replace")
                    events[me] = []
                    unfit.pop(me, None)
                    self.instances.pop(me, None)
                    try:
                        self.instances[me] = Aggregator(read_settings(parse_lines(settings)), seed)
                    except SettingError as err:
                        unfit[me] = str(err)
                elif code == EXIT:
                    self.instances.pop(me, None)
                    events.pop(me, None)
                    unfit.pop(me, None)
                else:
                    self._read(code, frame, at, tail, events.setdefault(me, []))
            except (WireError, StructError, KeyError, ValueError, IndexError) as err:
                why = str(err) if isinstance(err, WireError) else repr(err)
                raise WireError(f"record {i}: {why}") from err
        reply = Reply()
        for who, came in events.items():
            reply.act_for(who)
            if who in unfit:
                reply.text(74, unfit[who])
                continue
            instance = self.instances.get(who)
            if instance is None:
                continue
            try:
                ready = [e.event() if isinstance(e, _Pending) else e for e in came]
                reply.write(instance.step(now, ready))
            except Exception as err:
                last = traceback.extract_tb(err.__traceback__)[-1]
                reply.text(74, f"{type(err).__name__}: {err} at {last.name} line {last.lineno}")
        return reply.frame()

    @staticmethod
    def _bytes(frame: bytes, at: int, n: int) -> bytes:
        if at + n > len(frame):
            raise WireError(f"{n} bytes of tail run past the end")
        return frame[at : at + n]

    def _lines(self, frame: bytes, at: int, n: int) -> tuple[api.Endpoint, ...]:
        raw = self._bytes(frame, at, n * LINE_SIZE)
        return tuple(
            api.Endpoint(node, cell, api.EndpointState(state), start, zone, kind, size)
            for cell, node, start, kind, zone, size, state in F_LINE.iter_unpack(raw)
        )

    def _read(self, code: int, frame: bytes, at: int, tail: int, out: list[api.Event | _Pending]) -> None:
        at += 1
        if code == SUBMIT:
            rid, key, shard, left, bits, cls, cost, tenant, number, amount = F_SUBMIT.unpack_from(frame, at)
            hint = cost if bits & 1 else None
            last = out[-1] if out else None
            if shard < 0:
                out.append(_Pending((rid, cls, tenant, key, left, bool(bits & 2), hint), int(number)))
                return
            if not isinstance(last, _Pending) or last.number != int(number):
                last = _Pending(None, int(number))
                out.append(last)
            last.parts.append(api.Part(rid, int(shard), amount, hint))
        elif code == COMPLETED:
            part, attempt, node, outcome, took, _settled, n, *load = F_COMPLETED.unpack_from(frame, at)
            out.append(api.AttemptCompleted(part, attempt, node, OUTCOMES[outcome], took, tuple(load[:n])))
        elif code == ALARM:
            out.append(api.TimerFired(*F_ALARM.unpack_from(frame, at)))
        elif code == VIEW:
            how, _rev, slot = F_VIEW.unpack_from(frame, at)
            kind = api.UpdateKind(how)
            out.append(api.EndpointUpdate(kind, () if kind == api.UpdateKind.FAILED else self.sheets[slot]))
        elif code == PROBED:
            node, outcome, took, n, *load = F_PROBED.unpack_from(frame, at)
            out.append(api.HealthCheckCompleted(node, OUTCOMES[outcome], took, tuple(load[:n])))
        elif code == GONE:
            out.append(api.ClientDisconnected(*U32.unpack_from(frame, at)))
        elif code == INBOX:
            who, offset, n = F_INBOX.unpack_from(frame, at)
            out.append(api.PeerMessage(who, self._bytes(frame, tail + offset, n)))
        elif code == ACK:
            out.append(api.AttemptStarted(*F_ACK.unpack_from(frame, at)))
        else:
            raise WireError(f"unknown event code {code}")


class Reply:
    """Builds one reply frame."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def act_for(self, instance: int) -> None:
        self.records.append(A_BEHALF.pack(78, instance))

    def text(self, code: int, text: str) -> None:
        raw = text.encode()
        self.records.append(A_TEXT.pack(code, len(self.tail), len(raw)))
        self.tail += raw

    def write(self, actions: list[api.Action]) -> None:
        add = self.records.append
        for a in actions:
            match a:
                case api.Send(part, node, timeout):  # the wire knows no time to begin by
                    add(A_SEND.pack(65, part, node, timeout))
                case api.SetTimer(after, token):
                    add(A_ALARM.pack(69, after, token))
                case api.Cancel(part, attempt):
                    add(A_CANCEL.pack(68, part, attempt))
                case api.Answer(query, whole):
                    add(A_ANSWER.pack(77, query, whole))
                case api.Reject(query, after):
                    add(A_REFUSE.pack(66, query, after))
                case api.Fail(query):
                    add(A_ID.pack(67, query))
                case api.StartHealthCheck(node):
                    add(A_ID.pack(70, node))
                case api.CloseIdleConnections(node):
                    add(A_ID.pack(71, node))
                case api.SendToPeer(peer, payload):
                    add(A_TELL.pack(72, ALL_PEERS if peer is None else peer, len(self.tail), len(payload)))
                    self.tail += payload
                case api.FollowEndpointList(on):
                    add(A_FLAG.pack(75, on))
                case api.FetchEndpointList():
                    add(A_BARE.pack(76))
                case api.Log(text):
                    self.text(73, text)

    def frame(self) -> bytes:
        body = b"".join(self.records) + bytes(self.tail)
        return REPLY_HEAD.pack(len(self.records), len(body)) + body


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Batches in, replies out, until the input ends."""
    link = Link()
    while head := source.read(CLOCK_BYTES):
        if len(head) < CLOCK_BYTES:
            raise WireError("header: the input ends inside it")
        _count, size = REPLY_HEAD.unpack(head)
        body = source.read(size)
        if len(body) < size or size < CLOCK_BYTES:
            raise WireError(f"frame: {size} bytes announced, {len(body)} came")
        sink.write(link.turn(head + body))
        sink.flush()


def main() -> int:
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as err:
        print(f"badgerbend: {err}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
