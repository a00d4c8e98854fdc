"""A voter's store: acknowledged records are read back completely; damage is an error with a remedy."""

import asyncio
import errno
import os
import random
import struct

import pytest

from badgerbend.consensus.messages import Entry, EntryKind, HardState, LogEntries, Snapshot
from badgerbend.consensus.ready import SequencedRecord
from badgerbend.wal.errors import (
    REPLACE_VOTER,
    StoreDamagedError,
    StoreExistsError,
    StoreLockedError,
    StoreMissingError,
    StoreStoppedError,
    StoreVersionError,
)
from badgerbend.wal.group_commit import GroupCommitWriter
from badgerbend.wal.mark import MARK
from badgerbend.wal.segments import HEADER, MAGIC, checksum, frame_record
from badgerbend.wal.store import Store, create_store, read_store

VOTERS = ("v0", "v1", "v2")


def entry(index, term=1, data=b"x"):
    return Entry(index, term, EntryKind.COMMAND, data)


def contents(state):
    return state.term, state.voted_for, state.log.snapshot, tuple(state.log.entries)


@pytest.fixture
def folder(tmp_path):
    create_store(tmp_path / "v0", "v0", VOTERS)
    return tmp_path / "v0"


def test_appended_records_are_read_when_the_store_is_opened_again(folder):
    store = Store(folder)
    assert (store.identity.name, store.persistent_state.log.configuration()) == ("v0", (VOTERS, 0))
    store.append([HardState(1, "v1"), LogEntries((entry(1), entry(2)))])
    store.append([LogEntries((entry(2, 2, b"y"),)), HardState(3, "")])
    store.close()
    reopened = Store(folder)
    assert contents(reopened.persistent_state) == (3, "", Snapshot(0, 0, VOTERS, b""), (entry(1), entry(2, 2, b"y")))
    reopened.close()


def test_compaction_after_a_snapshot_keeps_the_vote_and_later_entries(folder):
    store = Store(folder)
    store.append([HardState(4, "v2"), LogEntries(tuple(entry(i) for i in range(1, 50)))])
    store.append([Snapshot(40, 1, VOTERS, b"state")])
    before = store.segment_bytes
    store.compact()
    assert store.segment_bytes < before
    assert {p.name for p in folder.iterdir()} == {"voter", "mark", "log.2"}
    store.append([LogEntries((entry(50),))])
    store.close()
    reopened = Store(folder)
    snapshot = Snapshot(40, 1, VOTERS, b"state")
    assert contents(reopened.persistent_state) == (4, "v2", snapshot, tuple(entry(i) for i in range(41, 51)))
    reopened.close()


def test_store_is_opened_by_one_process_and_created_once(folder):
    store = Store(folder)
    with pytest.raises(StoreLockedError, match="another process"):
        Store(folder)
    store.close()
    with pytest.raises(StoreExistsError, match="made once"):
        create_store(folder, "v0", VOTERS)


def test_missing_store_is_an_error_and_not_an_empty_store(tmp_path):
    with pytest.raises(StoreMissingError, match=r"voter: missing; .*voters create"):
        Store(tmp_path)
    create_store(tmp_path / "a", "a", VOTERS)
    (tmp_path / "a" / "log.1").unlink()
    with pytest.raises(StoreMissingError, match=r"no log\.N.* under a new name"):
        Store(tmp_path / "a")


def test_torn_write_is_truncated_and_nothing_acknowledged_is_lost(folder):
    store = Store(folder)
    store.append([HardState(1, "v1"), LogEntries((entry(1),))])
    acknowledged_bytes = store.segment_bytes
    acknowledged = contents(read_store(folder).persistent_state)
    store.close()
    path = folder / "log.1"
    acknowledged_content = path.read_bytes()
    unacknowledged = b"".join(frame_record(r) for r in (LogEntries((entry(2, 1, b"long" * 9),)), HardState(2, "")))
    for cut in range(len(unacknowledged)):
        path.write_bytes(acknowledged_content + unacknowledged[:cut])
        reopened = Store(folder)
        found = contents(reopened.persistent_state)
        assert reopened.segment_bytes >= acknowledged_bytes
        assert found[:3] == acknowledged[:3]
        assert found[3][:1] == acknowledged[3]
        reopened.append([LogEntries((entry(reopened.persistent_state.log.last_index + 1),))])
        reopened.close()
        again = Store(folder)
        assert again.persistent_state.log.last_index == reopened.persistent_state.log.last_index + 1
        again.close()
        (folder / "mark").unlink()


def test_flipped_bit_in_acknowledged_bytes_is_an_error(folder):
    store = Store(folder)
    store.append([HardState(1, "v1"), LogEntries((entry(1), entry(2)))])
    store.append([LogEntries((entry(3),))])
    store.close()
    path = folder / "log.1"
    intact = path.read_bytes()
    for at in range(len(intact)):
        damaged = bytearray(intact)
        damaged[at] ^= 1 << random.Random(at).randrange(8)
        path.write_bytes(damaged)
        with pytest.raises(StoreDamagedError) as err:
            Store(folder)
        assert str(path) in str(err.value)
        assert "\n" not in str(err.value)
        assert err.value.path == path
        assert err.value.remedy == REPLACE_VOTER
    path.write_bytes(intact[:-1])
    with pytest.raises(StoreDamagedError, match="that were acknowledged; remove this voter"):
        Store(folder)
    path.write_bytes(intact)
    Store(folder).close()


def test_store_opens_without_a_valid_mark(folder):
    store = Store(folder)
    store.append([HardState(1, "v1")])
    store.close()
    for mark in (b"", b"x" * MARK.size, (folder / "mark").read_bytes()[:-1] + b"?"):
        (folder / "mark").write_bytes(mark)
        reopened = Store(folder)
        assert reopened.persistent_state.voted_for == "v1"
        reopened.close()


def test_file_of_a_newer_version_is_an_error_and_is_not_changed(folder):
    path = folder / "log.1"
    data = bytearray(path.read_bytes())
    head = struct.pack(">8sHQ", MAGIC, 2, 0)
    data[: HEADER.size] = head + struct.pack(">I", checksum(head))
    path.write_bytes(data)
    with pytest.raises(
        StoreVersionError, match="version 2, this program reads 1; start the program version that wrote it"
    ) as err:
        Store(folder)
    assert (err.value.path, err.value.found, err.value.supported) == (path, 2, 1)
    assert path.read_bytes() == data
    (folder / "voter").write_bytes(b'{"name":"v0","voters":[],"version":9}')
    with pytest.raises(StoreVersionError, match="version 9"):
        Store(folder)


def test_crash_at_any_step_of_compaction_loses_nothing(folder, monkeypatch):
    """The process crashes once at each system call: the old or the new segment is complete, with the same state."""
    store = Store(folder)
    store.append([HardState(2, "v1"), LogEntries(tuple(entry(i) for i in range(1, 9))), Snapshot(8, 1, VOTERS, b"s")])
    expected = contents(read_store(folder).persistent_state)
    store.close()
    calls = 0

    class CrashError(Exception):
        pass

    def crash_after(real, last):
        def call(*args, **options):
            nonlocal calls
            calls += 1
            if calls > last:
                raise CrashError
            return real(*args, **options)

        return call

    for last in range(12):
        store = Store(folder)
        calls = 0
        with monkeypatch.context() as patched:
            for name in ("write", "fsync", "replace", "pwrite"):
                patched.setattr(os, name, crash_after(getattr(os, name), last))
            try:
                store.compact()
                completed = True
            except CrashError:
                completed = False
        store.close()
        assert contents(read_store(folder).persistent_state) == expected
    assert completed  # the last rounds ran without a crash


@pytest.mark.parametrize("fails", ["write", "fdatasync"])
def test_nothing_is_written_after_a_failed_write_or_sync(folder, monkeypatch, fails):
    store = Store(folder)
    store.append([HardState(1, "v1")])

    def full(*_):
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patched:
        patched.setattr(os, fails, full)
        with pytest.raises(OSError, match="No space"):
            store.append([HardState(2, "v2")])
    with pytest.raises(StoreStoppedError, match=r"writing stopped after a failure on .*log\.1: No space"):
        store.append([HardState(3, "v0")])
    store.close()
    assert Store(folder).persistent_state.term in (1, 2)  # the second vote was never acknowledged, so it may be lost


def test_writer_reports_groups_in_order_and_a_failure_once(folder, monkeypatch):
    async def main():
        loop = asyncio.get_running_loop()
        persisted, failed, progress = [], [], asyncio.Event()
        writer = GroupCommitWriter(Store(folder), loop, lambda n: (persisted.append(n), progress.set()), failed.append)
        for n in range(1, 201):
            writer.write([SequencedRecord(n, LogEntries((entry(n),)))])
        while not persisted or persisted[-1] < 200:
            progress.clear()
            await progress.wait()
        assert persisted == sorted(persisted)
        assert writer.sync_count == len(persisted)
        assert writer.record_count == 200
        monkeypatch.setattr(os, "fdatasync", lambda _: (_ for _ in ()).throw(OSError(errno.EIO, "Input/output error")))
        writer.write([SequencedRecord(201, HardState(5, ""))])
        while not failed:
            await asyncio.sleep(0.001)
        writer.write([SequencedRecord(202, HardState(6, ""))])
        writer.close()
        await asyncio.sleep(0)
        assert persisted[-1] == 200
        assert failed == ["[Errno 5] Input/output error"]

    asyncio.run(asyncio.wait_for(main(), 60))
    monkeypatch.undo()
    stored = read_store(folder).persistent_state
    assert stored.log.last_index == 200
    assert stored.term in (0, 5)
