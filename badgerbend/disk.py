"""Files that survive a crash at any point: written beside, synced, renamed over the old one, their folder synced.

Blocks on the disk.
"""

from __future__ import annotations

import os
from pathlib import Path


def write_atomically(path: Path, data: bytes) -> None:
    """Replaces the file, whole or not at all. Raises OSError, with the old file in place."""
    beside = path.with_name(path.name + ".new")
    handle = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(handle, data)
        os.fsync(handle)
    finally:
        os.close(handle)
    os.replace(beside, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def write_all(handle: int, data: bytes) -> None:
    """All of the bytes, however many the system takes at a time. Raises OSError."""
    view = memoryview(data)
    while view:
        view = view[os.write(handle, view) :]
