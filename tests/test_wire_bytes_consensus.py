"""Messages and stored records of consensus keep their encoding. Renaming a field changes only the tables here.

Fields are given by name and have distinct values, so a test fails if two fields of the same type swap places.
"""

import typing

import pytest

from badgerbend.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    EntryKind,
    HardState,
    InstallSnapshot,
    InstallSnapshotReply,
    LogEntries,
    Message,
    Record,
    RequestVote,
    RequestVoteReply,
    Snapshot,
    TimeoutNow,
    decode,
    decode_record,
    encode,
    encode_voters,
    encoded_size,
)
from tests.wire_bytes import assert_same_bytes, fixture_bytes, fixture_keys

VOTER_NAMES = ("v0", "v1", "v2")
NOOP_ENTRY = Entry(index=11, term=3, kind=EntryKind.NOOP, data=b"")
COMMAND_ENTRY = Entry(index=12, term=3, kind=EntryKind.COMMAND, data=b"\x00command\xff")
VOTERS_ENTRY = Entry(index=13, term=4, kind=EntryKind.CONFIGURATION, data=encode_voters(VOTER_NAMES))
ENTRIES = (NOOP_ENTRY, COMMAND_ENTRY, VOTERS_ENTRY)

MESSAGES = {
    "consensus/message/request-vote": RequestVote(
        term=5, source="v1", last_index=13, last_term=4, pre_vote=True, leadership_transfer=False
    ),
    "consensus/message/request-vote-after-transfer": RequestVote(
        term=6, source="v2", last_index=14, last_term=5, pre_vote=False, leadership_transfer=True
    ),
    "consensus/message/request-vote-response": RequestVoteReply(term=5, source="v2", pre_vote=True, granted=False),
    "consensus/message/append-entries": AppendEntries(
        term=7, source="v0", prev_index=10, prev_term=2, entries=ENTRIES, commit_index=9, heartbeat_round=301
    ),
    "consensus/message/heartbeat": AppendEntries(
        term=7, source="v0", prev_index=13, prev_term=4, entries=(), commit_index=12, heartbeat_round=302
    ),
    "consensus/message/append-entries-response": AppendEntriesReply(
        term=7, source="v1", success=True, index=13, heartbeat_round=303
    ),
    "consensus/message/install-snapshot": InstallSnapshot(
        term=8,
        source="v0",
        index=70000,
        snapshot_term=6,
        voters=VOTER_NAMES,
        offset=512,
        size=4096,
        data=b"\x01piece\xfe",
        heartbeat_round=304,
    ),
    "consensus/message/install-snapshot-response": InstallSnapshotReply(
        term=8, source="v2", index=70000, offset=1024, installed=True, heartbeat_round=305
    ),
    "consensus/message/timeout-now": TimeoutNow(term=9, source="v0"),
}

RECORDS = {
    "consensus/record/hard-state": HardState(term=5, voted_for="v1"),
    "consensus/record/hard-state-without-vote": HardState(term=6, voted_for=""),
    "consensus/record/append": LogEntries(entries=ENTRIES),
    "consensus/record/snapshot": Snapshot(index=10, term=2, voters=VOTER_NAMES, state=b"\x00state\xff"),
}


@pytest.mark.parametrize("key", MESSAGES)
def test_message_keeps_its_bytes(key):
    assert_same_bytes(key, MESSAGES[key], encode, decode)


@pytest.mark.parametrize("key", RECORDS)
def test_record_keeps_its_bytes(key):
    assert_same_bytes(key, RECORDS[key], encode, decode_record)


def test_voter_names_keep_their_bytes():
    assert encode_voters(VOTER_NAMES).hex() == fixture_bytes("consensus/voter-names").hex()
    assert VOTERS_ENTRY.voters() == VOTER_NAMES


def test_entry_without_data_is_decoded_with_its_default():
    assert decode_record(bytes.fromhex("92029193010200")) == LogEntries(
        entries=(Entry(index=1, term=2, kind=EntryKind.NOOP, data=b""),)
    )


def test_entry_sizes():
    assert [encoded_size(entry) for entry in ENTRIES] == [6, 15, 16]


def test_every_message_and_record_has_a_fixture():
    assert {type(message) for message in MESSAGES.values()} == set(typing.get_args(Message))
    assert {type(record) for record in RECORDS.values()} == set(typing.get_args(Record))
    assert fixture_keys("consensus/message/") == set(MESSAGES)
    assert fixture_keys("consensus/record/") == set(RECORDS)
    assert {entry.kind for entry in ENTRIES} == set(EntryKind)
