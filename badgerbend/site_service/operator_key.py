"""The key by which operators may drain and return sites."""

from __future__ import annotations

from pathlib import Path

MIN_KEY_BYTES = 16  # a shorter one can be guessed


class OperatorKeyError(ValueError):
    """A key file holds too little to be a key."""

    def __init__(self, name: str, length: int) -> None:
        super().__init__(f"the sites' key {name} has less than {MIN_KEY_BYTES} bytes")
        self.name = name
        self.length = length


def read_operator_key(folder: Path, name: str) -> bytes:
    """Reads a key file of the folder, without white space around the key.

    Raises OperatorKeyError, or OSError where the file cannot be read.
    """
    key = (folder / name).read_bytes().strip()
    if len(key) < MIN_KEY_BYTES:
        raise OperatorKeyError(name, len(key))
    return key
