"""Prometheus' XOR chunks: delta-of-delta timestamps and XORed values (Pelkonen et al., VLDB 2015).

A chunk consists of the number of samples (two bytes, big-endian) and a stream of bits. The first sample is stored as
its timestamp (a signed varint) and the 64 bits of its value. The second stores the delta of its timestamp as a uvarint;
later samples store the change of that delta in 0, 14, 17, 20 or 64 bits after a prefix. A value is XORed with the
previous one and stored as one 0 bit if they are equal. Otherwise the differing bits are stored within the previous
window of bits (prefix 10) or within a new one (prefix 11, five bits of leading zeros, six bits of length).

Reading single bits is slow in Python, so both directions buffer the stream in an integer and shift it.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence

MAX_SAMPLES = 0xFFFF
_DOUBLE, _BITS = struct.Struct(">d"), struct.Struct(">Q")


class BadChunk(Exception):
    """The bytes are not a valid chunk."""


def encode(samples: Sequence[tuple[int, float]]) -> bytes:
    """Encodes samples (milliseconds, value) that are sorted by timestamp as a chunk.

    Raises ValueError if there are no samples or too many, or if the first two are out of order.
    """
    if not 0 < len(samples) <= MAX_SAMPLES:
        raise ValueError(f"a chunk must have 1 to {MAX_SAMPLES} samples, not {len(samples)}")
    out = _Writer()
    previous_time, value = samples[0][0], _bits(samples[0][1])
    out.varint(previous_time)
    out.write(value, 64)
    delta, leading, trailing = 0, -1, 0
    for index, (timestamp, next_value) in enumerate(samples[1:], 1):
        next_delta, previous_time = timestamp - previous_time, timestamp
        if index == 1:
            if next_delta < 0:
                raise ValueError("samples must be sorted by timestamp")
            out.uvarint(next_delta)
        else:
            _write_delta_of_delta(out, next_delta - delta)
        delta = next_delta
        bits = _bits(next_value)
        xored, value = value ^ bits, bits
        if not xored:
            out.write(0, 1)
            continue
        leading_zeros = min(64 - xored.bit_length(), 31)  # stored in five bits
        trailing_zeros = (xored & -xored).bit_length() - 1
        if leading >= 0 and leading_zeros >= leading and trailing_zeros >= trailing:
            out.write(0b10, 2)
        else:
            leading, trailing = leading_zeros, trailing_zeros
            length = 64 - leading - trailing
            out.write(0b11, 2)
            out.write(leading, 5)
            out.write(length & 63, 6)  # a length of 64 is stored as 0
        out.write(xored >> trailing, 64 - leading - trailing)
    return len(samples).to_bytes(2, "big") + out.finish()


def decode(data: bytes) -> Iterator[tuple[int, float]]:
    """Yields the samples of a chunk. Raises BadChunk if the bytes are truncated or invalid."""
    if len(data) < 2:
        raise BadChunk("the number of samples is truncated")
    count = int.from_bytes(data[:2], "big")
    stream = _Reader(data[2:])
    timestamp = delta = value = 0
    leading, length = -1, 0
    for index in range(count):
        if index == 0:
            timestamp, value = stream.varint(), stream.read(64)
        else:
            if index == 1:
                delta = stream.uvarint()
            else:
                delta += _read_delta_of_delta(stream)
            timestamp += delta
            if stream.read(1):
                if stream.read(1):
                    leading, length = stream.read(5), stream.read(6) or 64
                    if leading + length > 64:
                        raise BadChunk("the window of a value exceeds 64 bits")
                elif leading < 0:
                    raise BadChunk("the previous window is reused before any window is defined")
                value ^= stream.read(length) << (64 - leading - length)
        yield timestamp, _DOUBLE.unpack(_BITS.pack(value))[0]


def _bits(value: float) -> int:
    bits: int = _BITS.unpack(_DOUBLE.pack(value))[0]
    return bits


_DELTA_OF_DELTA_CODES = ((14, 0b10, 2), (17, 0b110, 3), (20, 0b1110, 4))


def _write_delta_of_delta(out: _Writer, delta_of_delta: int) -> None:
    if delta_of_delta == 0:
        out.write(0, 1)
        return
    for bits, prefix, size in _DELTA_OF_DELTA_CODES:
        if -((1 << (bits - 1)) - 1) <= delta_of_delta <= 1 << (bits - 1):
            out.write(prefix, size)
            out.write(delta_of_delta & ((1 << bits) - 1), bits)
            return
    out.write(0b1111, 4)
    out.write(delta_of_delta & ((1 << 64) - 1), 64)


def _read_delta_of_delta(stream: _Reader) -> int:
    ones = 0
    while ones < 4 and stream.read(1):
        ones += 1
    if ones == 0:
        return 0
    bits = (14, 17, 20, 64)[ones - 1]
    delta_of_delta = stream.read(bits)
    if bits == 64:
        return delta_of_delta - (1 << 64) if delta_of_delta >> 63 else delta_of_delta
    return delta_of_delta - (1 << bits) if delta_of_delta > 1 << (bits - 1) else delta_of_delta


class _Writer:
    """Bits gathered in an integer, and moved to bytes now and then: a long integer makes each shift dearer."""

    def __init__(self) -> None:
        self.flushed = bytearray()
        self.bits = self.count = 0

    def write(self, value: int, count: int) -> None:
        self.bits = self.bits << count | value
        self.count += count
        if self.count >= 512:
            rest = self.count % 8
            self.flushed += (self.bits >> rest).to_bytes(self.count // 8, "big")
            self.bits &= (1 << rest) - 1
            self.count = rest

    def uvarint(self, value: int) -> None:
        while value > 0x7F:
            self.write(value & 0x7F | 0x80, 8)
            value >>= 7
        self.write(value, 8)

    def varint(self, value: int) -> None:
        self.uvarint((value << 1) ^ (value >> 63))

    def finish(self) -> bytes:
        rest = -self.count % 8
        return bytes(self.flushed) + (self.bits << rest).to_bytes((self.count + rest) // 8, "big")


class _Reader:
    """Reads bits from bytes, of which a few words are buffered in an integer."""

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0
        self.bits = self.count = 0

    def read(self, count: int) -> int:
        if self.count < count:
            piece = self.data[self.position : self.position + 64]
            self.position += len(piece)
            self.bits = self.bits << 8 * len(piece) | int.from_bytes(piece, "big")
            self.count += 8 * len(piece)
            if self.count < count:
                raise BadChunk("the samples are truncated")
        self.count -= count
        value = self.bits >> self.count
        self.bits &= (1 << self.count) - 1
        return value

    def uvarint(self) -> int:
        value = shift = 0
        while True:
            byte = self.read(8)
            value |= (byte & 0x7F) << shift
            if byte < 0x80:
                return value
            shift += 7
            if shift > 63:
                raise BadChunk("a varint has more than 64 bits")

    def varint(self) -> int:
        value = self.uvarint()
        return (value >> 1) ^ -(value & 1)
