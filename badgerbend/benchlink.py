"""The simulator's adapter: translates its binary frames on standard input and output to events and actions.

It runs as a process of its own (`sim` in `deploy/balancer.toml`) and makes no decisions. A batch frame contains the
simulated time, event records of a fixed size and a payload that records refer to by offset; a reply frame contains
action records and a payload. The simulator defines the codes and layouts of the records.
"""

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

BATCH_HEADER, REPLY_HEADER = Struct(">IId"), Struct(">II")
# Sizes in bytes. The clock ends the batch header and is as long as the two integers before it. The size in the header
# includes the clock.
EVENT_SIZE, ENDPOINT_SIZE, CLOCK_BYTES = 48, 22, 8

# Codes of the event records.
(
    SELECT_INSTANCE,
    START,
    ENDPOINT_UPDATE,
    ENDPOINT_LIST,
    SUBMIT,
    ATTEMPT_STARTED,
    ATTEMPT_COMPLETED,
    PEER_MESSAGE,
    HEALTH_CHECK_COMPLETED,
    STOP,
    CLIENT_DISCONNECTED,
    TIMER_FIRED,
) = (
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
# Fields of the event records after their code, and of an endpoint in an endpoint list.
ID_FIELD, START_FIELDS, ENDPOINT_UPDATE_FIELDS, ENDPOINT_LIST_FIELDS = (
    Struct(">I"),
    Struct(">QII"),
    Struct(">BQI"),
    Struct(">III"),
)
SUBMIT_FIELDS, ATTEMPT_COMPLETED_FIELDS = Struct(">IQfdHBdHff"), Struct(">IHIHdBB4f")
ATTEMPT_STARTED_FIELDS, HEALTH_CHECK_FIELDS, PEER_MESSAGE_FIELDS, TIMER_FIELDS = (
    Struct(">IHId"),
    Struct(">IHdB4f"),
    Struct(">III"),
    Struct(">Q"),
)
ENDPOINT_FIELDS = Struct(">HIdHBfB")

# Action records, each with its code and padded to the same size.
SELECT_RECORD, SEND_RECORD, CANCEL_RECORD = Struct(">BI19x"), Struct(">BIId7x"), Struct(">BIH17x")
REJECT_RECORD, ID_RECORD, TIMER_RECORD = Struct(">BId11x"), Struct(">BI19x"), Struct(">BdQ7x")
ANSWER_RECORD, FLAG_RECORD, BARE_RECORD = Struct(">BIB18x"), Struct(">BB22x"), Struct(">B23x")
TEXT_RECORD, PEER_RECORD = Struct(">BII15x"), Struct(">BIII11x")

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
    """A frame violates the protocol."""


@dataclass(slots=True)
class _PendingQuery:
    """A query whose parts are still being read; without a header, only the parts of a query's second step."""

    header: tuple[int, int, int, int, float, bool, float | None] | None
    number: int
    parts: list[api.Part] = field(default_factory=list)

    def event(self) -> api.Query | api.FollowUpParts:
        """The event, once all parts have been read."""
        if self.header is None:
            return api.FollowUpParts(self.number, tuple(self.parts))
        query_id, class_index, tenant, key, time_left_ms, is_retry, cost_ms = self.header
        return api.Query(
            query_id, self.number, class_index, tenant, key, time_left_ms, is_retry, cost_ms, tuple(self.parts)
        )


class Adapter:
    """All aggregator instances of one process. They share only the decoded endpoint lists, which are immutable."""

    def __init__(self) -> None:
        self.instances: dict[int, Aggregator] = {}
        self.endpoint_lists: dict[int, tuple[api.Endpoint, ...]] = {}

    def process_batch(self, frame: bytes) -> bytes:
        """Processes one batch frame, including its header, and returns the reply frame."""
        count, size, now_ms = BATCH_HEADER.unpack_from(frame)
        if not math.isfinite(now_ms):
            raise WireError("header: clock is not finite")
        payload_at = BATCH_HEADER.size + count * EVENT_SIZE
        if payload_at > len(frame) or size != len(frame) - CLOCK_BYTES:
            raise WireError(f"header: {count} records do not fit in {len(frame)} bytes")
        events: dict[int, list[api.Event | _PendingQuery]] = {}
        setting_errors: dict[int, str] = {}  # by instance
        selected: int | None = None
        for i in range(count):
            at = BATCH_HEADER.size + i * EVENT_SIZE
            try:
                code = frame[at]
                if code == SELECT_INSTANCE:
                    (selected,) = ID_FIELD.unpack_from(frame, at + 1)
                elif code == ENDPOINT_LIST:
                    slot, offset, length = ENDPOINT_LIST_FIELDS.unpack_from(frame, at + 1)
                    self.endpoint_lists[slot] = self._endpoints(frame, payload_at + offset, length)
                elif selected is None:
                    raise WireError("no instance selected")
                elif code == START:
                    seed, offset, length = START_FIELDS.unpack_from(frame, at + 1)
                    settings = self._payload(frame, payload_at + offset, length).decode("utf-8", "replace")
                    events[selected] = []
                    setting_errors.pop(selected, None)
                    self.instances.pop(selected, None)
                    try:
                        self.instances[selected] = Aggregator(read_settings(parse_lines(settings)), seed)
                    except SettingError as err:
                        setting_errors[selected] = str(err)
                elif code == STOP:
                    self.instances.pop(selected, None)
                    events.pop(selected, None)
                    setting_errors.pop(selected, None)
                else:
                    self._read_event(code, frame, at, payload_at, events.setdefault(selected, []))
            except (WireError, StructError, KeyError, ValueError, IndexError) as err:
                reason = str(err) if isinstance(err, WireError) else repr(err)
                raise WireError(f"record {i}: {reason}") from err
        reply = Reply()
        for instance_id, received in events.items():
            reply.select_instance(instance_id)
            if instance_id in setting_errors:
                reply.add_text(74, setting_errors[instance_id])
                continue
            instance = self.instances.get(instance_id)
            if instance is None:
                continue
            try:
                ready = [event.event() if isinstance(event, _PendingQuery) else event for event in received]
                reply.add_actions(instance.step(now_ms, ready))
            except Exception as err:
                last = traceback.extract_tb(err.__traceback__)[-1]
                reply.add_text(74, f"{type(err).__name__}: {err} at {last.name} line {last.lineno}")
        return reply.frame()

    @staticmethod
    def _payload(frame: bytes, at: int, length: int) -> bytes:
        if at + length > len(frame):
            raise WireError(f"{length} bytes of payload exceed the frame")
        return frame[at : at + length]

    def _endpoints(self, frame: bytes, at: int, count: int) -> tuple[api.Endpoint, ...]:
        encoded = self._payload(frame, at, count * ENDPOINT_SIZE)
        return tuple(
            api.Endpoint(node, cell, api.EndpointState(state), started_ms, zone, kind, size)
            for cell, node, started_ms, kind, zone, size, state in ENDPOINT_FIELDS.iter_unpack(encoded)
        )

    def _read_event(
        self, code: int, frame: bytes, at: int, payload_at: int, events: list[api.Event | _PendingQuery]
    ) -> None:
        """Decodes one event record and appends its event.

        A query comes as a record with a negative shard, followed by one record for each of its parts. Records of parts
        without a query's record before them belong to the second step of a query. In the flags, 1 means that the record
        contains a cost hint, and 2 that the query is a retry.
        """
        at += 1
        if code == SUBMIT:
            record_id, key, shard, time_left_ms, flags, class_index, cost_ms, tenant, number, weight = (
                SUBMIT_FIELDS.unpack_from(frame, at)
            )
            cost_hint_ms = cost_ms if flags & 1 else None
            last = events[-1] if events else None
            if shard < 0:
                events.append(
                    _PendingQuery(
                        (record_id, class_index, tenant, key, time_left_ms, bool(flags & 2), cost_hint_ms), int(number)
                    )
                )
                return
            if not isinstance(last, _PendingQuery) or last.number != int(number):
                last = _PendingQuery(None, int(number))
                events.append(last)
            last.parts.append(api.Part(record_id, int(shard), weight, cost_hint_ms))
        elif code == ATTEMPT_COMPLETED:
            part, attempt, node, outcome, elapsed_ms, _settled, report_size, *report = (
                ATTEMPT_COMPLETED_FIELDS.unpack_from(frame, at)
            )
            events.append(
                api.AttemptCompleted(part, attempt, node, OUTCOMES[outcome], elapsed_ms, tuple(report[:report_size]))
            )
        elif code == TIMER_FIRED:
            events.append(api.TimerFired(*TIMER_FIELDS.unpack_from(frame, at)))
        elif code == ENDPOINT_UPDATE:
            kind_code, _revision, slot = ENDPOINT_UPDATE_FIELDS.unpack_from(frame, at)
            kind = api.UpdateKind(kind_code)
            events.append(api.EndpointUpdate(kind, () if kind == api.UpdateKind.FAILED else self.endpoint_lists[slot]))
        elif code == HEALTH_CHECK_COMPLETED:
            node, outcome, elapsed_ms, report_size, *report = HEALTH_CHECK_FIELDS.unpack_from(frame, at)
            events.append(api.HealthCheckCompleted(node, OUTCOMES[outcome], elapsed_ms, tuple(report[:report_size])))
        elif code == CLIENT_DISCONNECTED:
            events.append(api.ClientDisconnected(*ID_FIELD.unpack_from(frame, at)))
        elif code == PEER_MESSAGE:
            peer, offset, length = PEER_MESSAGE_FIELDS.unpack_from(frame, at)
            events.append(api.PeerMessage(peer, self._payload(frame, payload_at + offset, length)))
        elif code == ATTEMPT_STARTED:
            events.append(api.AttemptStarted(*ATTEMPT_STARTED_FIELDS.unpack_from(frame, at)))
        else:
            raise WireError(f"unknown event code {code}")


class Reply:
    """Builds a reply frame from action records and their payload."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.payload = bytearray()

    def select_instance(self, instance_id: int) -> None:
        """Attributes the records that follow to an instance."""
        self.records.append(SELECT_RECORD.pack(78, instance_id))

    def add_text(self, code: int, text: str) -> None:
        """Adds a log line (code 73) or the error that ended an instance's step (code 74)."""
        encoded = text.encode()
        self.records.append(TEXT_RECORD.pack(code, len(self.payload), len(encoded)))
        self.payload += encoded

    def add_actions(self, actions: list[api.Action]) -> None:
        """Adds the actions of one step in their order."""
        add = self.records.append
        for action in actions:
            match action:
                case api.Send(part, node, timeout_ms):  # the protocol has no field for start_within_ms
                    add(SEND_RECORD.pack(65, part, node, timeout_ms))
                case api.SetTimer(after_ms, token):
                    add(TIMER_RECORD.pack(69, after_ms, token))
                case api.Cancel(part, attempt):
                    add(CANCEL_RECORD.pack(68, part, attempt))
                case api.Answer(query, complete):
                    add(ANSWER_RECORD.pack(77, query, complete))
                case api.Reject(query, retry_after_ms):
                    add(REJECT_RECORD.pack(66, query, retry_after_ms))
                case api.Fail(query):
                    add(ID_RECORD.pack(67, query))
                case api.StartHealthCheck(node):
                    add(ID_RECORD.pack(70, node))
                case api.CloseIdleConnections(node):
                    add(ID_RECORD.pack(71, node))
                case api.SendToPeer(peer, payload):
                    add(PEER_RECORD.pack(72, ALL_PEERS if peer is None else peer, len(self.payload), len(payload)))
                    self.payload += payload
                case api.FollowEndpointList(enabled):
                    add(FLAG_RECORD.pack(75, enabled))
                case api.FetchEndpointList():
                    add(BARE_RECORD.pack(76))
                case api.Log(text):
                    self.add_text(73, text)

    def frame(self) -> bytes:
        """The finished frame."""
        body = b"".join(self.records) + bytes(self.payload)
        return REPLY_HEADER.pack(len(self.records), len(body)) + body


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reads batches and writes a reply to each until the input ends."""
    adapter = Adapter()
    while header := source.read(CLOCK_BYTES):
        if len(header) < CLOCK_BYTES:
            raise WireError("header: input ended inside the header")
        _count, size = REPLY_HEADER.unpack(header)
        body = source.read(size)
        if len(body) < size or size < CLOCK_BYTES:
            raise WireError(f"frame: {size} bytes announced, {len(body)} received")
        sink.write(adapter.process_batch(header + body))
        sink.flush()


def main() -> int:
    """Serves standard input and output; returns 2 where the input violates the protocol."""
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as err:
        print(f"badgerbend: {err}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
