"""Frames as bytes, and bytes as frames. Sans-I/O: bytes in, messages or one error out; every length is bounded.

A frame is a length of four bytes, least significant first, a letter, and the rest; the length counts letter and rest.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from struct import Struct

from badgerbend.api import Outcome

LENGTH = Struct("<I")
HEAD = LENGTH.size + 1
MAX_LINE = 512  # bytes of an answer's line: an id, an end, two numbers


class FrameError(Exception):
    """What came is no frame of this protocol; nothing after it on the connection can be read."""


@dataclass(frozen=True, slots=True)
class Names:
    """Letters of the frames, ends of an answer, and keys of a part's list, as bytes."""

    query: bytes
    cancel: bytes
    probe: bytes
    load: bytes
    answer: bytes
    error: bytes
    ends: Mapping[bytes, Outcome]
    wait: bytes  # in a part's list: how long the broker waits, in milliseconds
    key: bytes  # in a part's list: the query's idempotency key


@dataclass(frozen=True, slots=True)
class PartRequest:
    """What a node is sent of one part. id, shard, key and text are as the client gave them, already checked."""

    id: bytes
    shard: int
    key: bytes | None
    text: bytes


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """A node's answer for one part. report: as it came, `-` where there is none."""

    id: bytes
    outcome: Outcome
    report: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class ControlFrame:
    """A frame that answers no part: a probe's answer, or the words of an error."""

    kind: bytes
    text: bytes


def encode_frame(kind: bytes, rest: bytes = b"") -> bytes:
    return LENGTH.pack(len(kind) + len(rest)) + kind + rest


def encode_call(names: Names, parts: Sequence[tuple[PartRequest, float]]) -> bytes:
    """One call for these parts, each with the milliseconds it is waited for."""
    out = bytearray()
    for ask, wait_ms in parts:
        wait = max(int(wait_ms), 1)
        if ask.key is None:
            out += b"%s %d %s=%d %d\n" % (ask.id, ask.shard, names.wait, wait, len(ask.text))
        else:
            line = (ask.id, ask.shard, names.wait, wait, names.key, ask.key, len(ask.text))
            out += b"%s %d %s=%d,%s=%s %d\n" % line
        out += ask.text
    return encode_frame(names.query, bytes(out))


class Decoder:
    """Reads what a node sends. max_frame: bytes of letter and rest; a longer one is an error once it is announced.

    After a `FrameError` it reads nothing more. Messages that came whole before it are still to be had.
    """

    def __init__(self, names: Names, max_frame: int) -> None:
        self.names, self.max_frame = names, max_frame
        self.buffer = bytearray()
        self.error: FrameError | None = None
        self._answer, self._letters = names.answer[0], names.answer + names.error + names.probe + names.load

    @property
    def inside(self) -> bool:
        """Whether a frame has begun and not ended."""
        return bool(self.buffer)

    def feed(self, data: bytes) -> list[PartAnswer | ControlFrame]:
        """The messages that are whole now; `error` is set if what follows them cannot be read."""
        out: list[PartAnswer | ControlFrame] = []
        if self.error is not None:
            return out
        buffer = self.buffer
        buffer += data
        at, end = 0, len(buffer)
        try:
            while end - at >= LENGTH.size:
                (size,) = LENGTH.unpack_from(buffer, at)
                if not 1 <= size <= self.max_frame:
                    raise FrameError(f"a frame of {size} bytes, where at most {self.max_frame} are read")
                if end - at < HEAD:
                    break
                letter = buffer[at + LENGTH.size]
                if letter not in self._letters:
                    raise FrameError(f"unknown letter {letter:#04x}")
                if end - at < LENGTH.size + size:
                    if letter == self._answer:
                        self._check_begun(at + HEAD, end)
                    break
                rest = bytes(buffer[at + HEAD : at + LENGTH.size + size])
                at += LENGTH.size + size
                out.append(self._answered(rest) if letter == self._answer else ControlFrame(bytes([letter]), rest))
        except FrameError as err:
            self.error = err
            self.buffer = bytearray()
            return out
        del buffer[:at]
        return out

    def _check_begun(self, at: int, end: int) -> None:
        """An answer that is not whole yet: what can be told from its line is told now, not at its end."""
        stop = self.buffer.find(b"\n", at, min(end, at + MAX_LINE))
        if stop >= 0:
            self._line(bytes(self.buffer[at:stop]))
        elif end - at >= MAX_LINE:
            raise FrameError("a line without an end")

    def _answered(self, rest: bytes) -> PartAnswer:
        stop = rest.find(b"\n", 0, MAX_LINE)
        if stop < 0:
            raise FrameError("a line without an end")
        part, outcome, report = self._line(rest[:stop])
        value = rest[stop + 1 :]
        if outcome is Outcome.OK and not _is_text(value):
            raise FrameError("served with no value that can be passed on")
        return PartAnswer(part, outcome, report, value)

    def _line(self, line: bytes) -> tuple[bytes, Outcome, bytes]:
        words = line.split(b" ", 3)
        if len(words) != 4 or not words[0]:
            raise FrameError(f"a line of {len(words)} words")
        outcome = self.names.ends.get(words[1])
        if outcome is None:
            raise FrameError(f"unknown end {words[1][:20]!r}")
        if not words[2].removeprefix(b"-").isdigit():
            raise FrameError(f"no score: {words[2][:20]!r}")
        return words[0], outcome, words[3]


def _is_text(value: bytes) -> bool:
    if value.isalnum():  # ASCII digits and letters: what most values are
        return True
    try:
        return bool(value.decode())
    except UnicodeDecodeError:
        return False
