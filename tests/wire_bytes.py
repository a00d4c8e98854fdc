"""Reads the bytes of an earlier version from `tests/data/wire_bytes.json` and compares messages with them."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

DATA = Path(__file__).parent / "data"
FIXTURES = json.loads((DATA / "wire_bytes.json").read_text(encoding="utf-8"))


def fixture_bytes(key: str) -> bytes:
    """The encoded message of this key."""
    return bytes.fromhex(FIXTURES[key]["hex"])


def fixture_keys(prefix: str) -> set[str]:
    """All keys that begin with this prefix."""
    return {key for key in FIXTURES if key.startswith(prefix)}


def plain_values(data: bytes) -> Any:
    """The tag and the field values in their order on the wire; bytes as {"bytes": hex}, as JSON has none."""
    return json.loads(json.dumps(msgspec.msgpack.decode(data), default=lambda value: {"bytes": value.hex()}))


def assert_same_bytes(key: str, message: Any, encode: Callable[[Any], bytes], decode: Callable[[bytes], Any]) -> None:
    """The message encodes to the fixture's bytes, and these decode to an equal message of the same type."""
    expected = fixture_bytes(key)
    assert encode(message).hex() == expected.hex()
    decoded = decode(expected)
    assert type(decoded) is type(message)
    assert decoded == message
    assert encode(decoded).hex() == expected.hex()
    assert plain_values(expected) == FIXTURES[key]["values"]
