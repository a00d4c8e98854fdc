"""The key with which operators may drain and return sites."""

from __future__ import annotations

from pathlib import Path

MIN_KEY_BYTES = 16  # shorter keys can be guessed


class OperatorKeyError(ValueError):
    """A key file contains too few bytes."""

    def __init__(self, name: str, length: int) -> None:
        super().__init__(f"operator key file {name} contains fewer than {MIN_KEY_BYTES} bytes")
        self.name = name
        self.length = length


def read_operator_key(folder: Path, name: str) -> bytes:
    """Reads a key file in the folder, and strips white space around the key.

    Raises OperatorKeyError if the key is too short, OSError if the file cannot be read.
    """
    key = (folder / name).read_bytes().strip()
    if len(key) < MIN_KEY_BYTES:
        raise OperatorKeyError(name, len(key))
    return key
