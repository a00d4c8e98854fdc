"""Chunks of samples as Prometheus keeps them: delta-of-delta times and XORed values (Pelkonen et al., VLDB 2015).

A chunk is the number of samples (two bytes, big end first) and a stream of bits. The first sample is its time as a
signed varint and its value's 64 bits. The second has the time's delta as a varint; later ones how that delta changed,
in 0, 14, 17, 20 or 64 bits after a prefix. Values are XORed with the one before: one 0 bit if equal; else the bits that
differ, within the window used last (10) or a new one (11, five bits of leading zeros, six of length).

Python reads bits slowly one at a time, so both ways keep the stream in one integer and shift.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence

MOST_SAMPLES = 0xFFFF
_DOUBLE, _BITS = struct.Struct(">d"), struct.Struct(">Q")


class BadChunk(Exception):
    """Bytes that are no chunk."""


def encode(samples: Sequence[tuple[int, float]]) -> bytes:
    """A chunk of samples (milliseconds, value) in the order of their times. Raises ValueError for too many or none."""
    if not 0 < len(samples) <= MOST_SAMPLES:
        raise ValueError(f"a chunk holds 1 to {MOST_SAMPLES} samples, not {len(samples)}")
    out = _Writer()
    time, value = samples[0][0], _bits(samples[0][1])
    out.varint(time)
    out.put(value, 64)
    delta, leading, trailing = 0, -1, 0
    for place, (at, number) in enumerate(samples[1:], 1):
        change, time = at - time, at
        if place == 1:
            if change < 0:
                raise ValueError("samples must be in the order of their times")
            out.uvarint(change)
        else:
            _put_change(out, change - delta)
        delta = change
        bits = _bits(number)
        differ, value = value ^ bits, bits
        if not differ:
            out.put(0, 1)
            continue
        ahead = min(64 - differ.bit_length(), 31)  # five bits tell it
        behind = (differ & -differ).bit_length() - 1
        if leading >= 0 and ahead >= leading and behind >= trailing:
            out.put(0b10, 2)
        else:
            leading, trailing = ahead, behind
            length = 64 - leading - trailing
            out.put(0b11, 2)
            out.put(leading, 5)
            out.put(length & 63, 6)  # 64 is told as 0
        out.put(differ >> trailing, 64 - leading - trailing)
    return len(samples).to_bytes(2, "big") + out.done()


def decode(data: bytes) -> Iterator[tuple[int, float]]:
    """The samples of a chunk. Raises BadChunk where the bytes end too soon or say what cannot be."""
    if len(data) < 2:
        raise BadChunk("shorter than its count")
    count = int.from_bytes(data[:2], "big")
    stream = _Reader(data[2:])
    time = delta = value = 0
    leading, length = -1, 0
    for place in range(count):
        if place == 0:
            time, value = stream.varint(), stream.take(64)
        else:
            if place == 1:
                delta = stream.uvarint()
            else:
                delta += _take_change(stream)
            time += delta
            if stream.take(1):
                if stream.take(1):
                    leading, length = stream.take(5), stream.take(6) or 64
                    if leading + length > 64:
                        raise BadChunk("a value of more than 64 bits")
                elif leading < 0:
                    raise BadChunk("a window is used before one is given")
                value ^= stream.take(length) << (64 - leading - length)
        yield time, _DOUBLE.unpack(_BITS.pack(value))[0]


def _bits(value: float) -> int:
    bits: int = _BITS.unpack(_DOUBLE.pack(value))[0]
    return bits


_CHANGES = ((14, 0b10, 2), (17, 0b110, 3), (20, 0b1110, 4))


def _put_change(out: _Writer, change: int) -> None:
    if change == 0:
        out.put(0, 1)
        return
    for bits, prefix, size in _CHANGES:
        if -((1 << (bits - 1)) - 1) <= change <= 1 << (bits - 1):
            out.put(prefix, size)
            out.put(change & ((1 << bits) - 1), bits)
            return
    out.put(0b1111, 4)
    out.put(change & ((1 << 64) - 1), 64)


def _take_change(stream: _Reader) -> int:
    ones = 0
    while ones < 4 and stream.take(1):
        ones += 1
    if ones == 0:
        return 0
    bits = (14, 17, 20, 64)[ones - 1]
    change = stream.take(bits)
    if bits == 64:
        return change - (1 << 64) if change >> 63 else change
    return change - (1 << bits) if change > 1 << (bits - 1) else change


class _Writer:
    """Bits gathered in an integer, and moved to bytes now and then: a long integer makes each shift dearer."""

    def __init__(self) -> None:
        self.whole = bytearray()
        self.bits = self.count = 0

    def put(self, value: int, count: int) -> None:
        self.bits = self.bits << count | value
        self.count += count
        if self.count >= 512:
            rest = self.count % 8
            self.whole += (self.bits >> rest).to_bytes(self.count // 8, "big")
            self.bits &= (1 << rest) - 1
            self.count = rest

    def uvarint(self, value: int) -> None:
        while value > 0x7F:
            self.put(value & 0x7F | 0x80, 8)
            value >>= 7
        self.put(value, 8)

    def varint(self, value: int) -> None:
        self.uvarint((value << 1) ^ (value >> 63))

    def done(self) -> bytes:
        rest = -self.count % 8
        return bytes(self.whole) + (self.bits << rest).to_bytes((self.count + rest) // 8, "big")


class _Reader:
    """Bits from bytes, a few words of them held in an integer."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0
        self.bits = self.count = 0

    def take(self, count: int) -> int:
        if self.count < count:
            some = self.data[self.at : self.at + 64]
            self.at += len(some)
            self.bits = self.bits << 8 * len(some) | int.from_bytes(some, "big")
            self.count += 8 * len(some)
            if self.count < count:
                raise BadChunk("the samples end too soon")
        self.count -= count
        value = self.bits >> self.count
        self.bits &= (1 << self.count) - 1
        return value

    def uvarint(self) -> int:
        value = shift = 0
        while True:
            byte = self.take(8)
            value |= (byte & 0x7F) << shift
            if byte < 0x80:
                return value
            shift += 7
            if shift > 63:
                raise BadChunk("a number of more than 64 bits")

    def varint(self) -> int:
        value = self.uvarint()
        return (value >> 1) ^ -(value & 1)
