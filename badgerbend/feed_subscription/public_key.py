"""The publisher's public key, as the operator installs it on each broker."""

from __future__ import annotations

from pathlib import Path

PUBLIC_KEY_BYTES = 32


def read_public_key(file: Path) -> bytes:
    """Read a key of 64 hexadecimal digits. Raises OSError or ValueError."""
    try:
        key = bytes.fromhex(file.read_text(encoding="ascii"))
    except ValueError as error:
        raise ValueError(f"the feed's public key {file} is not hexadecimal") from error
    if len(key) != PUBLIC_KEY_BYTES:
        raise ValueError(f"the feed's public key {file} has {len(key)} bytes and not {PUBLIC_KEY_BYTES}")
    return key
