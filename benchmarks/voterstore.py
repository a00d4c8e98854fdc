"""Compares commits per second and recovery time of a voter's store with SQLite in WAL mode, both synced at each commit.

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
    """Returns the commits per second, each of `group` records, and the number of records written."""
    began, index, commits = time.monotonic(), 1, 0
    while time.monotonic() - began < seconds:
        commit(index, group)
        index, commits = index + group, commits + 1
    return commits / (time.monotonic() - began), index - 1


def segments(folder: Path, seconds: float, group: int) -> tuple[float, float, int]:
    """Measures the project's store: commits per second, seconds to recover, records."""
    create_store(folder / "s", "v0", ("v0",))
    store = Store(folder / "s")
    rate, count = timed(seconds, lambda at, n: store.append([entry(at + i) for i in range(n)]), group)
    store.close()
    began = time.monotonic()
    reopened = Store(folder / "s")
    took = time.monotonic() - began
    assert reopened.persistent_state.log.last_index == count
    reopened.close()
    return rate, took, count


def sqlite(folder: Path, seconds: float, group: int) -> tuple[float, float, int]:
    """Measures SQLite in the same way as `segments`."""
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
    reopened = sqlite3.connect(folder / "v.db")
    assert reopened.execute("PRAGMA integrity_check").fetchone() == ("ok",)
    assert len(reopened.execute("SELECT record FROM log").fetchall()) == count
    took = time.monotonic() - began
    reopened.close()
    return rate, took, count


def read_after_bit_flip(folder: Path) -> str:
    """Flips a bit in SQLite's log, after commits that are not checkpointed, and reports what a reader finds then."""
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
    reopened = sqlite3.connect(copy)
    integrity = reopened.execute("PRAGMA integrity_check").fetchone()[0]
    rows = reopened.execute("SELECT count(*) FROM log").fetchone()[0]
    reopened.close()
    return (
        f"of 100 acknowledged commits SQLite finds {rows} after a bit flipped in the middle, and reports {integrity!r}"
    )


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
        print(read_after_bit_flip(Path(folder)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
