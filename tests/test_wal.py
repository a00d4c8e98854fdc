"""A voter's disk: what is kept is kept whole, and what is damaged is refused with a line that says what to do."""

import asyncio
import errno
import os
import random
import struct

import pytest

from badgerbend.consensus.messages import Entry, EntryKind, HardState, LogEntries, Snapshot, encode
from badgerbend.wal import store as wal_store
from badgerbend.wal.errors import StoreError
from badgerbend.wal.group_commit import GroupCommitWriter
from badgerbend.wal.store import Store, create_store, read_store

VOTERS = ("v0", "v1", "v2")


def entry(index, term=1, data=b"x"):
    return Entry(index, term, EntryKind.COMMAND, data)


def said(kept):
    return kept.term, kept.voted_for, kept.log.snapshot, tuple(kept.log.entries)


@pytest.fixture
def folder(tmp_path):
    create_store(tmp_path / "v0", "v0", VOTERS)
    return tmp_path / "v0"


def test_what_was_appended_is_there_at_the_next_start(folder):
    one = Store(folder)
    assert (one.identity.name, one.persistent_state.log.configuration()) == ("v0", (VOTERS, 0))
    one.append([HardState(1, "v1"), LogEntries((entry(1), entry(2)))])
    one.append([LogEntries((entry(2, 2, b"y"),)), HardState(3, "")])
    one.close()
    two = Store(folder)
    assert said(two.persistent_state) == (3, "", Snapshot(0, 0, VOTERS, b""), (entry(1), entry(2, 2, b"y")))
    two.close()


def test_a_snapshot_shortens_the_log_and_keeps_the_vote_and_the_rest(folder):
    one = Store(folder)
    one.append([HardState(4, "v2"), LogEntries(tuple(entry(i) for i in range(1, 50)))])
    one.append([Snapshot(40, 1, VOTERS, b"state")])
    before = one.length
    one.compact()
    assert one.length < before and {p.name for p in folder.iterdir()} == {"voter", "mark", "log.2"}
    one.append([LogEntries((entry(50),))])
    one.close()
    two = Store(folder)
    snapshot = Snapshot(40, 1, VOTERS, b"state")
    assert said(two.persistent_state) == (4, "v2", snapshot, tuple(entry(i) for i in range(41, 51)))
    two.close()


def test_a_store_is_one_process_s_and_is_made_once(folder):
    one = Store(folder)
    with pytest.raises(StoreError, match="another process"):
        Store(folder)
    one.close()
    with pytest.raises(StoreError, match="made once"):
        create_store(folder, "v0", VOTERS)


def test_a_voter_without_its_store_does_not_start_as_if_it_were_new(tmp_path):
    with pytest.raises(StoreError, match=r"voter: not there; .*voters create"):
        Store(tmp_path)
    create_store(tmp_path / "a", "a", VOTERS)
    (tmp_path / "a" / "log.1").unlink()
    with pytest.raises(StoreError, match=r"no log\.N.* under a new name"):
        Store(tmp_path / "a")


def test_a_write_torn_anywhere_is_cut_off_and_nothing_acknowledged_goes_with_it(folder):
    one = Store(folder)
    one.append([HardState(1, "v1"), LogEntries((entry(1),))])
    sure, kept = one.length, said(read_store(folder)[1])
    one.close()
    path = folder / "log.1"
    whole = path.read_bytes()
    more = b"".join(wal_store._framed(encode(r)) for r in (LogEntries((entry(2, 1, b"long" * 9),)), HardState(2, "")))
    for cut in range(len(more)):
        path.write_bytes(whole + more[:cut])
        two = Store(folder)
        assert (
            two.length >= sure
            and said(two.persistent_state)[:3] == kept[:3]
            and said(two.persistent_state)[3][:1] == kept[3]
        )
        two.append([LogEntries((entry(two.persistent_state.log.last_index + 1),))])
        two.close()
        again = Store(folder)
        assert again.persistent_state.log.last_index == two.persistent_state.log.last_index + 1
        again.close()
        (folder / "mark").unlink()


def test_a_bit_that_flips_in_what_was_acknowledged_is_refused_wherever_it_is(folder):
    one = Store(folder)
    one.append([HardState(1, "v1"), LogEntries((entry(1), entry(2)))])
    one.append([LogEntries((entry(3),))])
    one.close()
    path = folder / "log.1"
    whole = path.read_bytes()
    for at in range(len(whole)):
        spoilt = bytearray(whole)
        spoilt[at] ^= 1 << random.Random(at).randrange(8)
        path.write_bytes(spoilt)
        with pytest.raises(StoreError) as err:
            Store(folder)
        assert str(path) in str(err.value) and "\n" not in str(err.value)
    path.write_bytes(whole[:-1])
    with pytest.raises(StoreError, match="kept for good; remove this voter"):
        Store(folder)
    path.write_bytes(whole)
    Store(folder).close()


def test_a_mark_that_is_lost_or_damaged_makes_nothing_worse(folder):
    one = Store(folder)
    one.append([HardState(1, "v1")])
    one.close()
    for mark in (b"", b"x" * wal_store.MARK.size, (folder / "mark").read_bytes()[:-1] + b"?"):
        (folder / "mark").write_bytes(mark)
        two = Store(folder)
        assert two.persistent_state.voted_for == "v1"
        two.close()


def test_a_file_of_a_newer_version_is_left_alone(folder):
    path = folder / "log.1"
    data = bytearray(path.read_bytes())
    head = struct.pack(">8sHQ", wal_store.MAGIC, 2, 0)
    data[: wal_store.HEAD.size] = head + struct.pack(">I", wal_store.google_crc32c.value(head))
    path.write_bytes(data)
    with pytest.raises(StoreError, match="version 2, this reads 1; start the program that wrote it"):
        Store(folder)
    assert path.read_bytes() == data
    (folder / "voter").write_bytes(b'{"name":"v0","voters":[],"version":9}')
    with pytest.raises(StoreError, match="version 9"):
        Store(folder)


def test_a_crash_between_the_steps_of_a_new_segment_loses_nothing(folder, monkeypatch):
    """Each call to the system is the last one once: the old segment or the new one is whole, and says the same."""
    one = Store(folder)
    one.append([HardState(2, "v1"), LogEntries(tuple(entry(i) for i in range(1, 9))), Snapshot(8, 1, VOTERS, b"s")])
    expected = said(read_store(folder)[1])
    one.close()
    calls = 0

    class Crash(Exception):
        pass

    def wrap(real, last):
        def call(*args, **more):
            nonlocal calls
            calls += 1
            if calls > last:
                raise Crash
            return real(*args, **more)

        return call

    for last in range(12):
        store = Store(folder)
        calls = 0
        with monkeypatch.context() as patched:
            for name in ("write", "fsync", "replace", "pwrite"):
                patched.setattr(os, name, wrap(getattr(os, name), last))
            try:
                store.compact()
                done = True
            except Crash:
                done = False
        store.close()
        assert said(read_store(folder)[1]) == expected
    assert done  # the last rounds went through whole


@pytest.mark.parametrize("fails", ["write", "fdatasync"])
def test_after_a_failure_nothing_more_is_written(folder, monkeypatch, fails):
    one = Store(folder)
    one.append([HardState(1, "v1")])

    def full(*_):
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patched:
        patched.setattr(os, fails, full)
        with pytest.raises(OSError, match="No space"):
            one.append([HardState(2, "v2")])
    with pytest.raises(OSError, match="nothing more is written after .*log.1: No space"):
        one.append([HardState(3, "v0")])
    one.close()
    assert Store(folder).persistent_state.term in (1, 2)  # acknowledged to nobody: either will do


def test_the_writer_tells_of_groups_in_order_and_of_a_failure_once(folder, monkeypatch):
    async def main():
        loop = asyncio.get_running_loop()
        saved, failed, told = [], [], asyncio.Event()
        writer = GroupCommitWriter(Store(folder), loop, lambda n: (saved.append(n), told.set()), failed.append)
        for n in range(1, 201):
            writer.write([(n, LogEntries((entry(n),)))])
        while not saved or saved[-1] < 200:
            told.clear()
            await told.wait()
        assert saved == sorted(saved) and writer.sync_count == len(saved) and writer.record_count == 200
        monkeypatch.setattr(os, "fdatasync", lambda _: (_ for _ in ()).throw(OSError(errno.EIO, "Input/output error")))
        writer.write([(201, HardState(5, ""))])
        while not failed:
            await asyncio.sleep(0.001)
        writer.write([(202, HardState(6, ""))])
        writer.close()
        await asyncio.sleep(0)
        assert saved[-1] == 200 and failed == ["[Errno 5] Input/output error"]

    asyncio.run(asyncio.wait_for(main(), 60))
    monkeypatch.undo()
    kept = read_store(folder)[1]
    assert kept.log.last_index == 200 and kept.term in (0, 5)
