"""What voters say to each other, and what they keep: typed arrays in MessagePack, bounded before they are believed.

The names are those of Ongaro's thesis (2014) with the field's plain words: `Feed` is AppendEntries, `AskVote`
RequestVote, `Install` InstallSnapshot, `Cede` TimeoutNow.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec

MAX_MESSAGE_BYTES = 1300  # of a message: with seal and envelope it stays within one Ethernet frame
MAX_COMMAND_BYTES = 900  # bytes of one entry's data
MAX_VOTERS = 9
T = TypeVar("T")
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
TextOrNone = Annotated[str, msgspec.Meta(max_length=64)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
Names = Annotated[tuple[Text, ...], msgspec.Meta(max_length=MAX_VOTERS)]


class EntryKind(IntEnum):
    """What an entry is for."""

    NOOP = 0  # a leader's first: what it commits commits all before it
    COMMAND = 1  # the machine's
    CONFIGURATION = 2  # who votes from here on


class Entry(msgspec.Struct, array_like=True, frozen=True):
    index: Number
    term: Number
    kind: EntryKind
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_COMMAND_BYTES)] = b""

    def voters(self) -> tuple[str, ...]:
        """Of an entry of kind CONFIGURATION."""
        return _voters_decoder.decode(self.data)


# -- what is kept, in the order of its writing


class HardState(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """The term a voter is in, and whom it gave its vote in it; empty: nobody yet."""

    term: Number
    voted_for: TextOrNone


class LogEntries(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Entries in a row. Whatever the log held from the first one's index on is gone."""

    entries: tuple[Entry, ...]


class Snapshot(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """The machine's whole state after `index`. The log up to there is gone, and all of it if it does not fit."""

    index: Number
    term: Number
    voters: Names
    state: bytes


Record = HardState | LogEntries | Snapshot


# -- what is said; each is of a term and from a voter


class RequestVote(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A candidate asks for a vote.

    pre_vote: the candidate only asks whether the vote would be granted; nobody's term changes by it.
    leadership_transfer: the leader told the candidate to start the election.
    """

    term: Number
    source: Text
    last_index: Number
    last_term: Number
    pre_vote: bool
    leadership_transfer: bool


class RequestVoteReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    term: Number
    source: Text
    pre_vote: bool
    granted: bool


class AppendEntries(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """Entries after `prev_index`, none for a heartbeat. heartbeat_round: numbers the leader's rounds, for reads."""

    term: Number
    source: Text
    prev_index: Number
    prev_term: Number
    entries: tuple[Entry, ...]
    commit_index: Number
    heartbeat_round: Number


class AppendEntriesReply(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """success: all up to `index` is here and kept. Else `index` is where it may fit."""

    term: Number
    source: Text
    success: bool
    index: Number
    heartbeat_round: Number


class InstallSnapshot(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A piece of a snapshot, from `offset` of its `size` bytes on."""

    term: Number
    source: Text
    index: Number
    snapshot_term: Number
    voters: Names
    offset: Number
    size: Number
    data: bytes
    heartbeat_round: Number


class InstallSnapshotReply(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """So much of the snapshot at `index` is here; once `installed`, all of it, and on disk."""

    term: Number
    source: Text
    index: Number
    offset: Number
    installed: bool
    heartbeat_round: Number


class TimeoutNow(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """The leader wants its receiver to stand at once."""

    term: Number
    source: Text


Message = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
)

_encoder = msgspec.msgpack.Encoder()
_message_decoder = msgspec.msgpack.Decoder(Message)
_record_decoder = msgspec.msgpack.Decoder(Record)
_voters_decoder = msgspec.msgpack.Decoder(Names)


class MalformedMessageError(Exception):
    """Bytes that are none of ours, or out of bounds."""


def decode_typed(decoder: msgspec.msgpack.Decoder[T], data: bytes) -> T:
    """What bytes of anybody's say, by a decoder of typed arrays. Raises Malformed."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        raise MalformedMessageError(str(err)) from err


def encode(message: Message | Record) -> bytes:
    return _encoder.encode(message)


def encode_voters(names: tuple[str, ...]) -> bytes:
    """The data of an entry of kind CONFIGURATION."""
    return _encoder.encode(names)


def encoded_size(entry: Entry) -> int:
    """Bytes that an entry takes in a message."""
    return len(_encoder.encode(entry))


def decode(data: bytes) -> Message:
    """Raises Malformed."""
    message = decode_typed(_message_decoder, data)
    if isinstance(message, AppendEntries):
        _check(message.entries, message.prev_index)
    return message


def decode_record(data: bytes) -> Record:
    """Raises Malformed."""
    record = decode_typed(_record_decoder, data)
    if isinstance(record, LogEntries):
        if not record.entries:
            raise MalformedMessageError("nothing to append")
        _check(record.entries, record.entries[0].index - 1)
    return record


def _check(entries: tuple[Entry, ...], prev: int) -> None:
    for entry in entries:
        if entry.index != prev + 1:
            raise MalformedMessageError("entries out of order")
        prev = entry.index
        if entry.kind is EntryKind.CONFIGURATION:
            try:
                entry.voters()
            except (msgspec.MsgspecError, UnicodeDecodeError) as err:
                raise MalformedMessageError(f"voters: {err}") from err
