"""Datagrams under a keyed MAC, with replays refused. The MAC is HMAC-SHA256 from the cryptography library.

A sealed datagram is: key number (1 byte), sender's life (8), counter (8), body, MAC (16, truncated). A life is the
sender's start in milliseconds of its own clock, so that a later start outdoes an earlier one. For each sender the
counters of the present life are kept in a window; a datagram seen before, too old, or of an earlier life is refused.

What that leaves: a member that has just started knows no lives, so an attacker on the path could show it datagrams of
a life that has ended. It then holds a member alive that is not, until its first probes of it; news carry incarnations,
and those of the present life win.
"""

from __future__ import annotations

import struct
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import constant_time, hashes
from cryptography.hazmat.primitives.hmac import HMAC

HEADER = struct.Struct(">BQQ")
MAC_BYTES = 16
LEAST_KEY_BYTES = 16
WINDOW = 1024  # counters: so far may datagrams of one sender overtake each other
MAX_SENDERS = 8192  # whose counters are kept: a fleet's, and those of the day's replaced ones


class KeyFileError(Exception):
    """A key file cannot be used; the text says which and why."""


class UnsealError(Exception):
    """A datagram is not sealed by a key of ours, or was seen before."""


def read_key(path: str | Path) -> bytes:
    """The key in a file, its last line end left out. Raises BadKey."""
    try:
        key = Path(path).read_bytes().rstrip(b"\r\n")
    except OSError as err:
        raise KeyFileError(f"{path}: {err}") from err
    if len(key) < LEAST_KEY_BYTES:
        raise KeyFileError(f"{path}: {len(key)} bytes; a key has {LEAST_KEY_BYTES} or more")
    return key


@dataclass(slots=True)
class _Seen:
    life: int
    newest: int
    window: int  # bit n: counter newest - n was seen


class DatagramSealer:
    """Seals with the first key and accepts either, so that a key can be replaced while all go on."""

    def __init__(self, keys: tuple[bytes, ...], life: int) -> None:
        if not 1 <= len(keys) <= 2:
            raise ValueError("one key, or two while one replaces the other")
        self.keys = tuple((sign(key, b"number")[0], key) for key in keys)  # a number tells keys apart, and no more
        self.life, self.counter = life, 0
        self.seen: OrderedDict[bytes, _Seen] = OrderedDict()

    def seal(self, body: bytes, sender: bytes) -> bytes:
        """The sealed datagram. `sender` names who sends it; it is under the MAC, and not in the datagram."""
        self.counter += 1
        number, key = self.keys[0]
        head = HEADER.pack(number, self.life, self.counter)
        return head + body + self._mac(key, head + body, sender)

    def open(self, data: bytes, sender: bytes) -> bytes:
        """The body. Raises Refused."""
        if len(data) < HEADER.size + MAC_BYTES:
            raise UnsealError("short")
        number, life, counter = HEADER.unpack_from(data)
        inner, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not any(
            own == number and constant_time.bytes_eq(self._mac(key, inner, sender), mac) for own, key in self.keys
        ):
            raise UnsealError("not sealed by a key of ours")
        self._once(sender, life, counter)
        return inner[HEADER.size :]

    def _once(self, sender: bytes, life: int, counter: int) -> None:
        seen = self.seen.get(sender)
        if seen is None or life > seen.life:
            self._keep(sender, _Seen(life, counter, 1))
            return
        if life < seen.life:
            raise UnsealError("of an earlier life")
        if counter > seen.newest:
            seen.window = ((seen.window << (counter - seen.newest)) | 1) & ((1 << WINDOW) - 1)
            seen.newest = counter
            self.seen.move_to_end(sender)
            return
        behind = seen.newest - counter
        if behind >= WINDOW or seen.window >> behind & 1:
            raise UnsealError("seen before, or too old")
        seen.window |= 1 << behind

    def _keep(self, sender: bytes, seen: _Seen) -> None:
        """Where there are too many, the one that has been silent for longest is forgotten."""
        self.seen[sender] = seen
        self.seen.move_to_end(sender)
        if len(self.seen) > MAX_SENDERS:
            self.seen.popitem(last=False)

    @staticmethod
    def _mac(key: bytes, data: bytes, sender: bytes) -> bytes:
        return sign(key, struct.pack(">H", len(sender)) + sender + data)[:MAC_BYTES]


def has_bearer_key(authorization: bytes, keys: Sequence[bytes]) -> bool:
    """Whether an Authorization header's bearer token is one of the keys."""
    given = authorization.removeprefix(b"Bearer ").strip()
    return any(constant_time.bytes_eq(given, key) for key in keys)


def verify(key: bytes, data: bytes, mac: bytes) -> bool:
    """Whether a whole MAC-SHA256 is this key's over the data."""
    check = HMAC(key, hashes.SHA256())
    check.update(data)
    try:
        check.verify(mac)
    except InvalidSignature:
        return False
    return True


def sign(key: bytes, data: bytes) -> bytes:
    """The whole HMAC-SHA256 of the data."""
    mac = HMAC(key, hashes.SHA256())
    mac.update(data)
    return mac.finalize()
