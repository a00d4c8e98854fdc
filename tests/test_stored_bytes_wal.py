"""Compatibility of a voter's store: files of an earlier version are read, and the same records give the same bytes."""

import shutil

import pytest

from badgerbend.consensus.messages import Entry, EntryKind, HardState, LogEntries, Snapshot, encode_voters
from badgerbend.leases.messages import GrantLease, PutValue, ReleaseLease, encode
from badgerbend.leases.table import Lease, LeaseTable, VersionedValue
from badgerbend.wal.identity import read_identity
from badgerbend.wal.store import Store, create_store, read_store
from tests.wire_bytes import DATA

STORES = DATA / "voter-store"
VOTERS = ("v0", "v1", "v2")
NEW_VOTERS = ("v0", "v1", "v3")
TORN_BYTES = 13  # of the torn record, the part that was written

GRANT = encode(GrantLease(duty="probe:north", holder="b1", previous_epoch=0))
RELEASE = encode(ReleaseLease(duty="probe:north", epoch=2))
PUT = encode(PutValue(key="version", value=b"\x00v2\xff", previous_index=0))

# The state in the snapshot of the store: that after the first two entries.
SNAPSHOT_STATE = bytes.fromhex("929193ab70726f62653a6e6f727468a262310290")
SNAPSHOT = Snapshot(index=2, term=1, voters=VOTERS, state=SNAPSHOT_STATE)
ENTRIES = (
    Entry(index=3, term=1, kind=EntryKind.COMMAND, data=RELEASE),
    Entry(index=4, term=3, kind=EntryKind.NOOP, data=b""),
    Entry(index=5, term=3, kind=EntryKind.COMMAND, data=PUT),
    Entry(index=6, term=3, kind=EntryKind.CONFIGURATION, data=encode_voters(NEW_VOTERS)),
)

# The records that are appended to the store, one list per call.
APPENDS = [
    [HardState(term=1, voted_for="v0")],
    [
        LogEntries(
            entries=(
                Entry(index=1, term=1, kind=EntryKind.NOOP, data=b""),
                Entry(index=2, term=1, kind=EntryKind.COMMAND, data=GRANT),
                Entry(index=3, term=1, kind=EntryKind.COMMAND, data=RELEASE),
                Entry(index=4, term=1, kind=EntryKind.COMMAND, data=b"replaced in a later term"),
            )
        ),
        SNAPSHOT,
    ],
    [HardState(term=2, voted_for=""), HardState(term=3, voted_for="v1")],
    [LogEntries(entries=ENTRIES[1:])],
]
APPENDS_AFTER_COMPACTION = [
    [HardState(term=4, voted_for="v3"), LogEntries(entries=(Entry(index=7, term=4, kind=EntryKind.NOOP, data=b""),))]
]


def write_store(folder, *, compacted):
    """Make the same calls as those that wrote the fixtures."""
    create_store(folder, "v0", VOTERS)
    store = Store(folder)
    for records in APPENDS:
        store.append(records)
    if compacted:
        store.compact()
        for records in APPENDS_AFTER_COMPACTION:
            store.append(records)
    store.close()


def file_bytes(folder):
    return {path.name: path.read_bytes() for path in folder.iterdir()}


@pytest.fixture
def open_store(tmp_path):
    """Return a function that opens a copy of a store in the fixtures."""
    stores = []

    def open_copy(name):
        folder = shutil.copytree(STORES / name, tmp_path / name)
        stores.append(Store(folder))
        return stores[-1]

    yield open_copy
    for store in stores:
        store.close()


def assert_log(log, entries):
    assert log.snapshot == SNAPSHOT
    assert tuple(log.entries) == entries
    assert log.configuration() == (NEW_VOTERS, 6)


@pytest.mark.parametrize("name", ["appended", "torn"])
def test_appended_store_is_read(open_store, name):
    store = open_store(name)
    assert (store.identity.name, store.identity.voters, store.identity.version) == ("v0", VOTERS, 1)
    assert store.segment_number == 1
    assert (store.persistent_state.term, store.persistent_state.voted_for) == (3, "v1")
    assert_log(store.persistent_state.log, ENTRIES)


def test_compacted_store_is_read(open_store):
    store = open_store("compacted")
    assert store.segment_number == 2
    assert (store.persistent_state.term, store.persistent_state.voted_for) == (4, "v3")
    assert_log(store.persistent_state.log, (*ENTRIES, Entry(index=7, term=4, kind=EntryKind.NOOP, data=b"")))


@pytest.mark.parametrize("name", ["appended", "compacted", "torn"])
def test_reading_a_store_does_not_change_it(name):
    before = file_bytes(STORES / name)
    number, _, valid_bytes = read_store(STORES / name)
    torn = TORN_BYTES if name == "torn" else 0
    assert valid_bytes == len(before[f"log.{number}"]) - torn
    assert read_identity(STORES / name).name == "v0"
    assert file_bytes(STORES / name) == before


def test_torn_record_is_truncated(open_store, tmp_path):
    open_store("torn")
    assert file_bytes(tmp_path / "torn") == file_bytes(STORES / "appended")


@pytest.mark.parametrize("name", ["appended", "compacted"])
def test_store_is_written_with_the_same_bytes(tmp_path, name):
    write_store(tmp_path / name, compacted=name == "compacted")
    assert file_bytes(tmp_path / name) == file_bytes(STORES / name)


def test_opened_store_is_compacted_and_appended_to_with_the_same_bytes(open_store, tmp_path):
    store = open_store("torn")
    store.compact()
    for records in APPENDS_AFTER_COMPACTION:
        store.append(records)
    assert file_bytes(tmp_path / "torn") == file_bytes(STORES / "compacted")


def test_commands_after_the_snapshot_apply_to_its_state():
    _, persistent_state, _ = read_store(STORES / "appended")
    table = LeaseTable()
    table.load(persistent_state.log.snapshot.state)
    assert table.dump() == SNAPSHOT_STATE
    assert table.leases == {"probe:north": Lease("b1", 2)}
    for entry in persistent_state.log.entries:
        if entry.kind is EntryKind.COMMAND:
            table.apply(entry.index, entry.data)
    assert table.leases == {"probe:north": Lease("", 2)}
    assert table.values == {"version": VersionedValue(b"\x00v2\xff", 5)}
    expected = "929193ab70726f62653a6e6f727468a0029193a776657273696f6ec404007632ff05"
    assert table.dump().hex() == expected
