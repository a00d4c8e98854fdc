"""Snapshot files that are torn or damaged anywhere, and crashes at any system call while a file is written."""

import os
import random
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend.disk import write_atomically
from badgerbend.snapshot.store import SnapshotError, decode_snapshot, encode_snapshot, read_snapshot
from tests.knowledge_records import LATENCIES_MS, record

GOOD = record(LATENCIES_MS)


def test_ages_in_a_snapshot_include_the_time_since_it_was_written(tmp_path):
    path = tmp_path / "seen"
    write_atomically(path, encode_snapshot(GOOD, 1000.0))
    assert read_snapshot(path, 1007.5).servers[0].age_ms == 500.0 + 7500.0
    with pytest.raises(SnapshotError, match="clock may have been set back"):
        read_snapshot(path, 999.0)
    with pytest.raises(FileNotFoundError):
        read_snapshot(tmp_path / "none", 0.0)


@given(st.data())
def test_torn_truncated_and_flipped_files_are_rejected(data):
    good = encode_snapshot(GOOD, 1000.0)
    cut = data.draw(st.integers(0, len(good) - 1))
    for bad in (good[:cut], good + b"x", good[:cut] + b"\x00" * (len(good) - cut) + b"0"):
        with pytest.raises(SnapshotError):
            decode_snapshot(bad, 1001.0)
    flipped = bytearray(good)
    flipped[cut] ^= 1 << data.draw(st.integers(0, 7))
    with pytest.raises(SnapshotError):
        decode_snapshot(bytes(flipped), 1001.0)


def test_other_versions_foreign_files_and_folders_are_rejected(tmp_path):
    good = encode_snapshot(GOOD, 1000.0)
    for bad in (good[:8] + b"\x00\x09" + good[10:], b"PNG" + good, os.urandom(200), b""):
        (tmp_path / "f").write_bytes(bad)
        with pytest.raises(SnapshotError):
            read_snapshot(tmp_path / "f", 1001.0)
    (tmp_path / "d").mkdir()
    with pytest.raises(SnapshotError):
        read_snapshot(tmp_path / "d", 0.0)
    with open(tmp_path / "huge", "wb") as huge:
        huge.truncate(1 << 40)
    with pytest.raises(SnapshotError, match="too large"):
        read_snapshot(tmp_path / "huge", 0.0)


class Crash(BaseException):
    """The process ends here."""


@pytest.mark.parametrize("seed", range(60))
def test_a_crash_at_any_system_call_leaves_the_old_snapshot_or_the_new_one(tmp_path, seed, monkeypatch):
    """The process may end at every system call, and a write may have stored only some of its bytes."""
    rng = random.Random(seed)
    path = tmp_path / "seen"
    write_atomically(path, encode_snapshot(GOOD, 1000.0))
    new = msgspec.structs.replace(GOOD, open_parts=9)
    remaining_calls = rng.randrange(9)

    def crashing(real, partial=False):
        def call(*args):
            nonlocal remaining_calls
            remaining_calls -= 1
            if remaining_calls < 0:
                if partial:
                    real(args[0], bytes(args[1])[: rng.randrange(len(args[1]) + 1)])
                raise Crash
            if partial and rng.random() < 0.5:
                return real(args[0], bytes(args[1])[: rng.randrange(1, len(args[1]) + 1)])
            return real(*args)

        return call

    with monkeypatch.context() as patch:
        for name in ("open", "fsync", "replace"):
            patch.setattr(os, name, crashing(getattr(os, name)))
        patch.setattr(os, "write", crashing(os.write, partial=True))
        try:
            write_atomically(path, encode_snapshot(new, 1001.0))
            completed = True
        except Crash:
            completed = False
    found = read_snapshot(path, 1002.0)
    assert found.open_parts in ((9,) if completed else (0, 9))
    assert not path.with_name("seen.new").exists()


def test_a_failed_write_keeps_the_old_file(tmp_path):
    path = tmp_path / "seen"
    write_atomically(path, encode_snapshot(GOOD, 1000.0))
    path.with_name("seen.new").mkdir()
    with pytest.raises(OSError):
        write_atomically(path, encode_snapshot(GOOD, 1001.0))
    assert path.read_bytes() == encode_snapshot(GOOD, 1000.0)
    assert isinstance(path, Path)
