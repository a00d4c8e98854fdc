"""A snapshot file that may be torn anywhere, and crashes at any call to the system while it is written."""

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


def test_the_ages_in_a_snapshot_grow_while_it_is_stored(tmp_path):
    path = tmp_path / "seen"
    write_atomically(path, encode_snapshot(GOOD, 1000.0))
    assert read_snapshot(path, 1007.5).servers[0].age_ms == 500.0 + 7500.0
    with pytest.raises(SnapshotError, match="gone back"):
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
def test_a_crash_at_any_call_leaves_the_old_snapshot_or_the_new(tmp_path, seed, monkeypatch):
    """Every call to the system may be the last; a write may have put only some of its bytes on the disk."""
    rng = random.Random(seed)
    path = tmp_path / "seen"
    write_atomically(path, encode_snapshot(GOOD, 1000.0))
    new = msgspec.structs.replace(GOOD, open_parts=9)
    left = rng.randrange(9)

    def dying(real, partly=False):
        def call(*args):
            nonlocal left
            left -= 1
            if left < 0:
                if partly:
                    real(args[0], bytes(args[1])[: rng.randrange(len(args[1]) + 1)])
                raise Crash
            if partly and rng.random() < 0.5:
                return real(args[0], bytes(args[1])[: rng.randrange(1, len(args[1]) + 1)])
            return real(*args)

        return call

    with monkeypatch.context() as patch:
        for name in ("open", "fsync", "replace"):
            patch.setattr(os, name, dying(getattr(os, name)))
        patch.setattr(os, "write", dying(os.write, partly=True))
        try:
            write_atomically(path, encode_snapshot(new, 1001.0))
            done = True
        except Crash:
            done = False
    found = read_snapshot(path, 1002.0)
    assert found.open_parts in ((9,) if done else (0, 9))
    assert not path.with_name("seen.new").exists()


def test_a_folder_that_cannot_be_written_keeps_the_old_file(tmp_path):
    path = tmp_path / "seen"
    write_atomically(path, encode_snapshot(GOOD, 1000.0))
    path.with_name("seen.new").mkdir()
    with pytest.raises(OSError):
        write_atomically(path, encode_snapshot(GOOD, 1001.0))
    assert path.read_bytes() == encode_snapshot(GOOD, 1000.0)
    assert isinstance(path, Path)
