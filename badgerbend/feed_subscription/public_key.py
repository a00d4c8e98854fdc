"""The publisher's public key, which the operator installs on each broker."""

from __future__ import annotations

from pathlib import Path

PUBLIC_KEY_BYTES = 32


class PublicKeyError(ValueError):
    """Raised for a file that does not contain a public key. file: its path. reason: what is wrong with it."""

    def __init__(self, file: Path, reason: str) -> None:
        super().__init__(f"the feed's public key {file} {reason}")
        self.file = file
        self.reason = reason


def read_public_key(file: Path) -> bytes:
    """Read a key of 64 hexadecimal digits. Raises OSError or PublicKeyError."""
    try:
        key = bytes.fromhex(file.read_text(encoding="ascii"))
    except ValueError as error:
        raise PublicKeyError(file, "is not hexadecimal") from error
    if len(key) != PUBLIC_KEY_BYTES:
        raise PublicKeyError(file, f"has {len(key)} bytes and not {PUBLIC_KEY_BYTES}")
    return key
