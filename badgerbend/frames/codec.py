"""Encodes and decodes frames without I/O: bytes go in, messages or one error come out; every length is bounded.

A frame consists of a length (four bytes, little-endian), one byte for the kind of the frame, and the payload. The
length counts the kind and the payload.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from struct import Struct

from badgerbend.api import Outcome

LENGTH = Struct("<I")
HEAD = LENGTH.size + 1
MAX_LINE_BYTES = 512  # the header line of an answer: an id, an outcome, a score and a report


class FrameError(Exception):
    """The bytes received are not a valid frame, so nothing after them on the connection can be decoded."""


class FrameHeadError(FrameError):
    """No frame can begin where the previous one ended, so the length of that one may be wrong as well."""


@dataclass(frozen=True, slots=True)
class FrameNames:
    """The kinds of frames, the outcomes of an answer and the option keys of a part, as bytes."""

    query: bytes
    cancel: bytes
    probe: bytes
    load: bytes
    answer: bytes
    error: bytes
    outcomes: Mapping[bytes, Outcome]
    wait: bytes  # option of a part: how long the broker waits for it, in milliseconds
    key: bytes  # option of a part: the query's idempotency key


@dataclass(frozen=True, slots=True)
class PartRequest:
    """What is sent to a node for one part. All fields are as the client gave them, already validated."""

    id: bytes
    shard: int
    key: bytes | None
    text: bytes


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """A node's answer for one part. report: the node's report as received, `-` if there is none."""

    id: bytes
    outcome: Outcome
    report: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class ControlFrame:
    """A frame that is not the answer for a part: the answer to a probe, or an error message."""

    kind: bytes
    text: bytes


def encode_frame(kind: bytes, payload: bytes = b"") -> bytes:
    """Encodes one frame."""
    return LENGTH.pack(len(kind) + len(payload)) + kind + payload


def encode_call(names: FrameNames, parts: Sequence[tuple[PartRequest, float]]) -> bytes:
    """Encodes one call for several parts, each with the milliseconds for which the broker waits for it."""
    out = bytearray()
    for request, wait_ms in parts:
        wait = max(int(wait_ms), 1)
        if request.key is None:
            out += b"%s %d %s=%d %d\n" % (request.id, request.shard, names.wait, wait, len(request.text))
        else:
            line = (request.id, request.shard, names.wait, wait, names.key, request.key, len(request.text))
            out += b"%s %d %s=%d,%s=%s %d\n" % line
        out += request.text
    return encode_frame(names.query, bytes(out))


class Decoder:
    """Decodes what a node sends.

    max_frame: the maximum of a frame's length; a longer frame is an error as soon as its length has arrived. After a
    `FrameError` nothing more is decoded, but messages that were complete before it are still returned.
    """

    def __init__(self, names: FrameNames, max_frame: int) -> None:
        self.names, self.max_frame = names, max_frame
        self.buffer = bytearray()
        self.error: FrameError | None = None
        self._answer_kind, self._known_kinds = names.answer[0], names.answer + names.error + names.probe + names.load

    @property
    def in_frame(self) -> bool:
        """Whether part of a frame has been received."""
        return bool(self.buffer)

    @property
    def has_head(self) -> bool:
        """Whether a valid length and kind of an incomplete frame have been received."""
        return len(self.buffer) >= HEAD

    def discard(self) -> None:
        """Drops what was received of an incomplete frame."""
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[PartAnswer | ControlFrame]:
        """Returns the messages that are now complete; sets `error` if the bytes after them cannot be decoded."""
        out: list[PartAnswer | ControlFrame] = []
        if self.error is not None:
            return out
        buffer = self.buffer
        buffer += data
        offset, end = 0, len(buffer)
        try:
            while end - offset >= LENGTH.size:
                (size,) = LENGTH.unpack_from(buffer, offset)
                if not 1 <= size <= self.max_frame:
                    raise FrameHeadError(f"frame length {size} is out of range; the maximum is {self.max_frame} bytes")
                if end - offset < HEAD:
                    break
                kind = buffer[offset + LENGTH.size]
                if kind not in self._known_kinds:
                    raise FrameHeadError(f"unknown frame kind {kind:#04x}")
                if end - offset < LENGTH.size + size:
                    if kind == self._answer_kind:
                        self._check_partial_answer(offset + HEAD, end)
                    break
                payload = bytes(buffer[offset + HEAD : offset + LENGTH.size + size])
                offset += LENGTH.size + size
                out.append(
                    self._decode_answer(payload) if kind == self._answer_kind else ControlFrame(bytes([kind]), payload)
                )
        except FrameError as err:
            self.error = err.with_traceback(None)  # the traceback would keep the input in memory
            self.discard()
            return out
        del buffer[:offset]
        return out

    def _check_partial_answer(self, offset: int, end: int) -> None:
        """Checks the header line of an incomplete answer, so that errors in it are found before the frame ends."""
        line_end = self.buffer.find(b"\n", offset, min(end, offset + MAX_LINE_BYTES))
        if line_end >= 0:
            self._decode_line(bytes(self.buffer[offset:line_end]))
        elif end - offset >= MAX_LINE_BYTES:
            raise FrameError("the header line has no end or is too long")

    def _decode_answer(self, payload: bytes) -> PartAnswer:
        line_end = payload.find(b"\n", 0, MAX_LINE_BYTES)
        if line_end < 0:
            raise FrameError("the header line has no end or is too long")
        part, outcome, report = self._decode_line(payload[:line_end])
        value = payload[line_end + 1 :]
        if outcome is Outcome.OK and not _is_text(value):
            raise FrameError("a served answer has an empty value, or one that is not UTF-8")
        return PartAnswer(part, outcome, report, value)

    def _decode_line(self, line: bytes) -> tuple[bytes, Outcome, bytes]:
        fields = line.split(b" ", 3)
        if len(fields) != 4 or not fields[0]:
            raise FrameError(f"the header line needs 4 fields and an id that is not empty; it has {len(fields)} fields")
        outcome = self.names.outcomes.get(fields[1])
        if outcome is None:
            raise FrameError(f"unknown outcome {fields[1][:20]!r}")
        if not fields[2].removeprefix(b"-").isdigit():
            raise FrameError(f"the score is not an integer: {fields[2][:20]!r}")
        return fields[0], outcome, fields[3]


def _is_text(value: bytes) -> bool:
    if value.isalnum():  # fast path: most values are ASCII letters and digits
        return True
    try:
        return bool(value.decode())
    except UnicodeDecodeError:
        return False
