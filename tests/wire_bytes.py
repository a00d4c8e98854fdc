"""Compares encoded messages with those of an earlier version, which are in `tests/data/wire_bytes.json`."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

DATA = Path(__file__).parent / "data"
FIXTURES = json.loads((DATA / "wire_bytes.json").read_text(encoding="utf-8"))


def fixture_bytes(key: str) -> bytes:
    """Return the encoded message with this key."""
    return bytes.fromhex(FIXTURES[key]["hex"])


def fixture_keys(prefix: str) -> set[str]:
    """Return all keys that begin with this prefix."""
    return {key for key in FIXTURES if key.startswith(prefix)}


def plain_values(data: bytes) -> Any:
    """Return the tag and the field values in wire order; bytes become {"bytes": hex}, because JSON has no bytes."""
    return json.loads(json.dumps(msgspec.msgpack.decode(data), default=lambda value: {"bytes": value.hex()}))


def assert_same_bytes(key: str, message: Any, encode: Callable[[Any], bytes], decode: Callable[[bytes], Any]) -> None:
    """Check that a message encodes to the bytes of the fixture, and that these decode to an equal message."""
    expected = fixture_bytes(key)
    assert encode(message).hex() == expected.hex()
    decoded = decode(expected)
    assert type(decoded) is type(message)
    assert decoded == message
    assert encode(decoded).hex() == expected.hex()
    assert plain_values(expected) == FIXTURES[key]["values"]
