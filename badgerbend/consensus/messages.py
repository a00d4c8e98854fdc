"""Messages between voters and the records that they persist, with their encoding.

The messages are those of Raft (Ongaro 2014). Each is an array in MessagePack; the position of a field and the tag of a
type are the format, names are not. What is decoded is checked against bounds before it is used.
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

    NOOP = 0  # the first of a leader's term: once it is committed, so is all before it
    COMMAND = 1  # for the state machine
    CONFIGURATION = 2  # the voters from this entry on


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """An entry of the replicated log. index: counts from 1. term: of the leader that proposed it."""

    index: Number
    term: Number
    kind: EntryKind
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_COMMAND_BYTES)] = b""

    def voters(self) -> tuple[str, ...]:
        """Return the voters that an entry of kind CONFIGURATION states. Raises msgspec.MsgspecError for any other."""
        return _voters_decoder.decode(self.data)


class HardState(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A record: the voter's term, and whom it voted for in that term, or an empty text for nobody yet."""

    term: Number
    voted_for: TextOrNone


class LogEntries(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A record: entries in a row, which replace whatever the log held from the first one's index on."""

    entries: tuple[Entry, ...]


class Snapshot(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A record: the state machine after the entry at `index`, which replaces the log up to there.

    Where the log has no entry of this term at `index`, all of it is replaced.
    """

    index: Number
    term: Number
    voters: Names
    state: bytes


Record = HardState | LogEntries | Snapshot


class RequestVote(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A candidate asks for a vote.

    last_index, last_term: of the last entry in its log. pre_vote: it only asks whether the vote would be granted;
    nobody's term changes by it. leadership_transfer: the leader told it to start the election.
    """

    term: Number
    source: Text
    last_index: Number
    last_term: Number
    pre_vote: bool
    leadership_transfer: bool


class RequestVoteReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A voter's answer to a candidate. term: of the voter, or for a granted pre-vote the term that was asked about."""

    term: Number
    source: Text
    pre_vote: bool
    granted: bool


class AppendEntries(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A leader's entries after `prev_index`, or none for a heartbeat.

    prev_term: of the entry at `prev_index`. heartbeat_round: the number of the leader's latest round of heartbeats,
    which the answer repeats and by which reads are confirmed.
    """

    term: Number
    source: Text
    prev_index: Number
    prev_term: Number
    entries: tuple[Entry, ...]
    commit_index: Number
    heartbeat_round: Number


class AppendEntriesReply(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A follower's answer.

    success: its log matches the leader's up to `index`, and is on disk up to there. Otherwise `index` is the last one
    that may match.
    """

    term: Number
    source: Text
    success: bool
    index: Number
    heartbeat_round: Number


class InstallSnapshot(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A chunk of a leader's snapshot, from `offset` of its `size` bytes on.

    index, snapshot_term, voters: of the snapshot.
    """

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
    """A follower's answer to a chunk.

    offset: how many bytes of the snapshot at `index` it has. installed: it has all of them, on disk.
    """

    term: Number
    source: Text
    index: Number
    offset: Number
    installed: bool
    heartbeat_round: Number


class TimeoutNow(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """The leader tells its receiver to start an election at once, to transfer leadership."""

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
    """Bytes that are not a valid message or record, or that exceed a bound."""


def decode_typed(decoder: msgspec.msgpack.Decoder[T], data: bytes) -> T:
    """Decode bytes of any origin. Raises MalformedMessageError and nothing else."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        raise MalformedMessageError(str(err)) from err


def encode(message: Message | Record) -> bytes:
    """Return the bytes of a message or a record."""
    return _encoder.encode(message)


def encode_voters(names: tuple[str, ...]) -> bytes:
    """Return the data of an entry of kind CONFIGURATION."""
    return _encoder.encode(names)


def encoded_size(entry: Entry) -> int:
    """Return how many bytes an entry takes in a message."""
    return len(_encoder.encode(entry))


def decode(data: bytes) -> Message:
    """Decode a message. Raises MalformedMessageError."""
    message = decode_typed(_message_decoder, data)
    if isinstance(message, AppendEntries):
        _check_entries(message.entries, message.prev_index)
    return message


def decode_record(data: bytes) -> Record:
    """Decode a record. Raises MalformedMessageError."""
    record = decode_typed(_record_decoder, data)
    if isinstance(record, LogEntries):
        if not record.entries:
            raise MalformedMessageError("nothing to append")
        _check_entries(record.entries, record.entries[0].index - 1)
    return record


def _check_entries(entries: tuple[Entry, ...], previous_index: int) -> None:
    """Check that the indices are in a row, and that the voters in configurations can be read."""
    for expected_index, entry in enumerate(entries, previous_index + 1):
        if entry.index != expected_index:
            raise MalformedMessageError("entries out of order")
        if entry.kind is EntryKind.CONFIGURATION:
            try:
                entry.voters()
            except (msgspec.MsgspecError, UnicodeDecodeError) as err:
                raise MalformedMessageError(f"voters: {err}") from err
