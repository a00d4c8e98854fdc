"""The file `voter`: the identity of a store, written once when the store is created.

Without this file a voter does not start: one that lost its disk and started empty under its old name could vote twice
in a term.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from badgerbend.disk import write_atomically
from badgerbend.wal.errors import StoreDamagedError, StoreMissingError, StoreVersionError
from badgerbend.wal.segments import FORMAT_VERSION


class StoreIdentity(msgspec.Struct, frozen=True):
    """The voter that a store belongs to. voters: the initial voters of the group, or none if it joins later."""

    name: str
    voters: tuple[str, ...]
    version: int = FORMAT_VERSION


def identity_path(folder: Path) -> Path:
    """Return the path of the identity file of a store."""
    return folder / "voter"


def write_identity(folder: Path, identity: StoreIdentity) -> None:
    """Write the identity file of a new store. Raises OSError."""
    write_atomically(identity_path(folder), msgspec.json.encode(identity) + b"\n")


def read_identity(folder: Path) -> StoreIdentity:
    """Read the identity file of a store. Raises StoreError, OSError."""
    path = identity_path(folder)
    try:
        identity = msgspec.json.decode(path.read_bytes(), type=StoreIdentity)
    except FileNotFoundError as err:
        remedy = "to create the store of a new voter, run badgerbend voters create"
        raise StoreMissingError(path, "missing", remedy) from err
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise StoreDamagedError(path, f"damaged ({err})") from err
    if identity.version != FORMAT_VERSION:
        raise StoreVersionError(path, identity.version, FORMAT_VERSION)
    return identity
