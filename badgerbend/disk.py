"""Writing files so that they survive a crash at any point. Blocks on the disk."""

from __future__ import annotations

import os
from pathlib import Path


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file's content completely or not at all. Raises OSError, with the old file in place.

    A temporary file beside it is written, synced and renamed over the old one; then the folder is synced.
    """
    temporary = path.with_name(path.name + ".new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all of the bytes, however many the system accepts at a time. Raises OSError."""
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]
