"""Datagrams authenticated by a keyed MAC and protected against replay. The MAC is HMAC-SHA256.

A sealed datagram consists of key number (1 byte), incarnation of the sender (8), counter (8), body, and MAC (16,
truncated). The incarnation is the time of the sender's start in milliseconds of its own clock, so that a later start
supersedes an earlier one. For each sender, a sliding window holds the counters of the current incarnation; a datagram
that was seen before, is too old, or is of an earlier incarnation is rejected.

Remaining weakness: a member that has just started knows no incarnations, so an attacker on the path can replay
datagrams of an incarnation that has ended. The member then believes that a dead member is alive, until its first probes
of it fail. Membership updates carry incarnations, and those of the current incarnation win.
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
MIN_KEY_BYTES = 16
WINDOW = 1024  # counters; how far datagrams of one sender may be reordered
MAX_SENDERS = 8192  # senders whose counters are kept: the members of a fleet, and those replaced within a day


class KeyFileError(Exception):
    """A key file cannot be used; the text names the file and the reason."""


class UnsealError(Exception):
    """A datagram fails authentication or is a replay."""


def read_key(path: str | Path) -> bytes:
    """Reads the key in a file, without line ends at its end. Raises KeyFileError."""
    try:
        key = Path(path).read_bytes().rstrip(b"\r\n")
    except OSError as err:
        raise KeyFileError(f"{path}: {err}") from err
    if len(key) < MIN_KEY_BYTES:
        raise KeyFileError(f"{path}: {len(key)} bytes; a key has {MIN_KEY_BYTES} or more")
    return key


@dataclass(slots=True)
class _SenderState:
    """The counters received from one sender in its current incarnation."""

    incarnation: int
    newest: int
    window: int  # bit n is set if counter `newest - n` was received


class DatagramSealer:
    """Seals with the first key and accepts either of two, so that a key can be replaced without an interruption.

    incarnation: that of the own process, the time of its start in milliseconds.
    """

    def __init__(self, keys: tuple[bytes, ...], incarnation: int) -> None:
        if not 1 <= len(keys) <= 2:
            raise ValueError("there must be one key, or two while one replaces the other")
        # The key number only selects the key; it proves nothing.
        self.keys = tuple((sign(key, b"number")[0], key) for key in keys)
        self.incarnation, self.counter = incarnation, 0
        self.senders: OrderedDict[bytes, _SenderState] = OrderedDict()

    def seal(self, body: bytes, sender: bytes) -> bytes:
        """Returns the sealed datagram. `sender` identifies the sender; the MAC covers it, the datagram omits it."""
        self.counter += 1
        number, key = self.keys[0]
        header = HEADER.pack(number, self.incarnation, self.counter)
        return header + body + self._mac(key, header + body, sender)

    def open(self, data: bytes, sender: bytes) -> bytes:
        """Returns the body of a sealed datagram. `sender`: as given to `seal`. Raises UnsealError."""
        if len(data) < HEADER.size + MAC_BYTES:
            raise UnsealError("datagram too short")
        number, incarnation, counter = HEADER.unpack_from(data)
        authenticated, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not any(
            key_number == number and constant_time.bytes_eq(self._mac(key, authenticated, sender), mac)
            for key_number, key in self.keys
        ):
            raise UnsealError("not sealed by a known key")
        self._reject_replay(sender, incarnation, counter)
        return authenticated[HEADER.size :]

    def _reject_replay(self, sender: bytes, incarnation: int, counter: int) -> None:
        state = self.senders.get(sender)
        if state is None or incarnation > state.incarnation:
            self._store(sender, _SenderState(incarnation, counter, 1))
            return
        if incarnation < state.incarnation:
            raise UnsealError("earlier incarnation of the sender")
        if counter > state.newest:
            state.window = ((state.window << (counter - state.newest)) | 1) & ((1 << WINDOW) - 1)
            state.newest = counter
            self.senders.move_to_end(sender)
            return
        behind = state.newest - counter
        if behind >= WINDOW or state.window >> behind & 1:
            raise UnsealError("seen before, or too old")
        state.window |= 1 << behind

    def _store(self, sender: bytes, state: _SenderState) -> None:
        """Stores the state of a sender; if there are too many, drops the least recently active one."""
        self.senders[sender] = state
        self.senders.move_to_end(sender)
        if len(self.senders) > MAX_SENDERS:
            self.senders.popitem(last=False)

    @staticmethod
    def _mac(key: bytes, data: bytes, sender: bytes) -> bytes:
        return sign(key, struct.pack(">H", len(sender)) + sender + data)[:MAC_BYTES]


def has_bearer_key(authorization: bytes, keys: Sequence[bytes]) -> bool:
    """Whether the bearer token in an Authorization header is one of the keys."""
    token = authorization.removeprefix(b"Bearer ").strip()
    return any(constant_time.bytes_eq(token, key) for key in keys)


def verify(key: bytes, data: bytes, mac: bytes) -> bool:
    """Whether a full HMAC-SHA256 is that of the data under the key."""
    hmac = HMAC(key, hashes.SHA256())
    hmac.update(data)
    try:
        hmac.verify(mac)
    except InvalidSignature:
        return False
    return True


def sign(key: bytes, data: bytes) -> bytes:
    """The full HMAC-SHA256 of the data under the key."""
    mac = HMAC(key, hashes.SHA256())
    mac.update(data)
    return mac.finalize()
