"""Writes files so that a crash at any point leaves a usable file. All calls block on the disk."""

from __future__ import annotations

import os
from pathlib import Path


def write_atomically(path: Path, data: bytes) -> None:
    """Replace the content of a file completely or not at all. Raises OSError and then leaves the old file in place.

    A temporary file in the same folder is written, synced and renamed over the old one; then the folder is synced.
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
    """Write all of the bytes, in as many system calls as it takes. Raises OSError."""
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        remaining = remaining[written:]
