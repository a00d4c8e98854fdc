"""Commits a second and recovery of a voter's store: our segments against SQLite in WAL mode, synced at each commit.

python benchmarks/voterstore.py --seconds 3
"""

from __future__ import annotations

import argparse
import sqlite3
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent.parent)]

from badgerbend.consensus.messages import Entry, EntryKind, LogEntries, encode  # noqa: E402
from badgerbend.wal.store import Store, create_store  # noqa: E402


def entry(index: int) -> LogEntries:
    return LogEntries((Entry(index, 1, EntryKind.COMMAND, b"x" * 100),))


def timed(seconds: float, commit: Callable[[int, int], None], group: int) -> tuple[float, int]:
    """Commits a second of so many records each, and how many records there are then."""
    began, index, commits = time.monotonic(), 1, 0
    while time.monotonic() - began < seconds:
        commit(index, group)
        index, commits = index + group, commits + 1
    return commits / (time.monotonic() - began), index - 1


def segments(folder: Path, seconds: float, group: int) -> tuple[float, float, int]:
    create_store(folder / "s", "v0", ("v0",))
    store = Store(folder / "s")
    rate, count = timed(seconds, lambda at, n: store.append([entry(at + i) for i in range(n)]), group)
    store.close()
    began = time.monotonic()
    again = Store(folder / "s")
    took = time.monotonic() - began
    assert again.persistent_state.log.last_index == count
    again.close()
    return rate, took, count


def sqlite(folder: Path, seconds: float, group: int) -> tuple[float, float, int]:
    base = sqlite3.connect(folder / "v.db", isolation_level=None)
    base.execute("PRAGMA journal_mode=WAL")
    base.execute("PRAGMA synchronous=FULL")
    base.execute("CREATE TABLE log (at INTEGER PRIMARY KEY, record BLOB)")

    def commit(at: int, n: int) -> None:
        base.execute("BEGIN")
        base.executemany("INSERT INTO log VALUES (?, ?)", [(at + i, encode(entry(at + i))) for i in range(n)])
        base.execute("COMMIT")

    rate, count = timed(seconds, commit, group)
    base.close()
    began = time.monotonic()
    again = sqlite3.connect(folder / "v.db")
    assert again.execute("PRAGMA integrity_check").fetchone() == ("ok",)
    assert len(again.execute("SELECT record FROM log").fetchall()) == count
    took = time.monotonic() - began
    again.close()
    return rate, took, count


def flipped(folder: Path) -> str:
    """A bit flips in the log of commits that SQLite acknowledged and had not yet checkpointed: what a reader finds."""
    base = sqlite3.connect(folder / "f.db", isolation_level=None)
    base.execute("PRAGMA journal_mode=WAL")
    base.execute("PRAGMA synchronous=FULL")
    base.execute("PRAGMA wal_autocheckpoint=0")
    base.execute("CREATE TABLE log (at INTEGER PRIMARY KEY, record BLOB)")
    for at in range(1, 101):
        base.execute("INSERT INTO log VALUES (?, ?)", (at, encode(entry(at))))
    copy = folder / "copy.db"
    copy.write_bytes((folder / "f.db").read_bytes())
    wal = bytearray((folder / "f.db-wal").read_bytes())
    base.close()
    wal[len(wal) // 2] ^= 1
    (folder / "copy.db-wal").write_bytes(wal)
    again = sqlite3.connect(copy)
    sound = again.execute("PRAGMA integrity_check").fetchone()[0]
    rows = again.execute("SELECT count(*) FROM log").fetchone()[0]
    again.close()
    return f"of 100 acknowledged commits SQLite finds {rows} after one bit flipped in the middle, and says {sound!r}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=3.0)
    args = parser.parse_args()
    print("| store | records a commit | commits/s | records/s | recovery, ms | of records |\n|---|---|---|---|---|---|")
    for name, run in (("segments", segments), ("SQLite WAL", sqlite)):
        for group in (1, 16, 128):
            with tempfile.TemporaryDirectory(dir=".") as folder:
                rate, took, count = run(Path(folder), args.seconds, group)
            print(f"| {name} | {group} | {rate:.0f} | {rate * group:.0f} | {took * 1000:.0f} | {count} |")
    with tempfile.TemporaryDirectory(dir=".") as folder:
        print(flipped(Path(folder)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
