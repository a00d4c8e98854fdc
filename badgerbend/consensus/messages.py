"""Messages between voters and the records that they persist, with their encoding.

The messages are those of Raft (Ongaro 2014). Each one is a MessagePack array: the positions of fields and the tags of
types are part of the format, their names are not. Decoding checks every value against its bounds.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, TypeVar

import msgspec

MAX_MESSAGE_BYTES = 1300  # with its envelope and the seal of the datagram, a message still fits in an Ethernet frame
MAX_COMMAND_BYTES = 900  # of the data of one entry
MAX_VOTERS = 9
T = TypeVar("T")
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
TextOrNone = Annotated[str, msgspec.Meta(max_length=64)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
Names = Annotated[tuple[Text, ...], msgspec.Meta(max_length=MAX_VOTERS)]


class EntryKind(IntEnum):
    """The purpose of an entry."""

    NOOP = 0  # the first entry of a leader's term; committing it commits every entry before it
    COMMAND = 1  # applied to the state machine
    CONFIGURATION = 2  # defines the voters from this entry on


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """An entry of the replicated log. index: counts from 1. term: the term of the leader that proposed it."""

    index: Number
    term: Number
    kind: EntryKind
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_COMMAND_BYTES)] = b""

    def voters(self) -> tuple[str, ...]:
        """Return the voters that a CONFIGURATION entry defines. Raises msgspec.MsgspecError for any other entry."""
        return _voters_decoder.decode(self.data)


class HardState(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A record: the voter's term, and the candidate that it voted for in that term; empty if it has not voted."""

    term: Number
    voted_for: TextOrNone


class LogEntries(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A record: contiguous entries, which replace the entries of the log from the index of the first one on."""

    entries: tuple[Entry, ...]


class Snapshot(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A record: the state of the state machine after the entry at `index`. It replaces the log up to that entry.

    If the log has no entry of this term at `index`, the whole log is replaced.
    """

    index: Number
    term: Number
    voters: Names
    state: bytes


Record = HardState | LogEntries | Snapshot


class RequestVote(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """A candidate's request for a vote.

    last_index, last_term: those of the last entry in its log. pre_vote: only asks whether the vote would be granted,
    and changes no term. leadership_transfer: the leader told the candidate to start this election.
    """

    term: Number
    source: Text
    last_index: Number
    last_term: Number
    pre_vote: bool
    leadership_transfer: bool


class RequestVoteReply(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A voter's reply to a candidate. term: the voter's, or the requested term if this grants a pre-vote."""

    term: Number
    source: Text
    pre_vote: bool
    granted: bool


class AppendEntries(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A leader's entries after `prev_index`, or no entries for a heartbeat.

    prev_term: the term of the entry at `prev_index`. heartbeat_round: the number of the leader's latest round of
    heartbeats; the reply repeats it, and reads are confirmed by it.
    """

    term: Number
    source: Text
    prev_index: Number
    prev_term: Number
    entries: tuple[Entry, ...]
    commit_index: Number
    heartbeat_round: Number


class AppendEntriesReply(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """A follower's reply to `AppendEntries`.

    success: the follower's log matches the leader's up to `index` and is on disk up to that entry. Otherwise `index` is
    the last index at which the logs may match.
    """

    term: Number
    source: Text
    success: bool
    index: Number
    heartbeat_round: Number


class InstallSnapshot(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """A chunk of a leader's snapshot, which begins at byte `offset` of `size` bytes.

    index, snapshot_term, voters: those of the snapshot.
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
    """A follower's reply to a chunk of a snapshot.

    offset: the number of bytes that it has of the snapshot at `index`. installed: the whole snapshot is on its disk.
    """

    term: Number
    source: Text
    index: Number
    offset: Number
    installed: bool
    heartbeat_round: Number


class TimeoutNow(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """Tells the receiver to start an election immediately, because the leader transfers leadership to it."""

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
    """Bytes that are not a valid message or record, or a value out of bounds."""


def decode_typed(decoder: msgspec.msgpack.Decoder[T], data: bytes) -> T:
    """Decode untrusted bytes. Raises MalformedMessageError and nothing else."""
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as err:
        raise MalformedMessageError(str(err)) from err


def encode(message: Message | Record) -> bytes:
    """Return the encoding of a message or a record."""
    return _encoder.encode(message)


def encode_voters(names: tuple[str, ...]) -> bytes:
    """Return the data of a CONFIGURATION entry."""
    return _encoder.encode(names)


def encoded_size(entry: Entry) -> int:
    """Return the number of bytes that an entry takes in a message."""
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
            raise MalformedMessageError("record without entries")
        _check_entries(record.entries, record.entries[0].index - 1)
    return record


def _check_entries(entries: tuple[Entry, ...], previous_index: int) -> None:
    """Check that the indices are contiguous and that the voters of CONFIGURATION entries can be decoded."""
    for expected_index, entry in enumerate(entries, previous_index + 1):
        if entry.index != expected_index:
            raise MalformedMessageError("entries are not contiguous")
        if entry.kind is EntryKind.CONFIGURATION:
            try:
                entry.voters()
            except (msgspec.MsgspecError, UnicodeDecodeError) as err:
                raise MalformedMessageError(f"voters of a configuration entry: {err}") from err
