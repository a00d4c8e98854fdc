"""The file `voter`: whose store it is, written once.

A voter without it does not start: one that lost its disk and began anew under its old name could vote twice in a term.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from badgerbend.disk import write_atomically
from badgerbend.wal.errors import StoreDamagedError, StoreMissingError, StoreVersionError
from badgerbend.wal.segments import FORMAT_VERSION


class StoreIdentity(msgspec.Struct, frozen=True):
    """Whose a store is. voters: those that the group began with; none for a voter that joined later."""

    name: str
    voters: tuple[str, ...]
    version: int = FORMAT_VERSION


def identity_path(folder: Path) -> Path:
    """Return the path of a store's identity."""
    return folder / "voter"


def write_identity(folder: Path, identity: StoreIdentity) -> None:
    """Write a new store's identity. Raises OSError."""
    write_atomically(identity_path(folder), msgspec.json.encode(identity) + b"\n")


def read_identity(folder: Path) -> StoreIdentity:
    """Read whose store it is. Raises StoreError, OSError."""
    path = identity_path(folder)
    try:
        identity = msgspec.json.decode(path.read_bytes(), type=StoreIdentity)
    except FileNotFoundError as err:
        remedy = "a new voter's store is made by badgerbend voters create"
        raise StoreMissingError(path, "not there", remedy) from err
    except (msgspec.MsgspecError, UnicodeDecodeError) as err:
        raise StoreDamagedError(path, f"damaged ({err})") from err
    if identity.version != FORMAT_VERSION:
        raise StoreVersionError(path, identity.version, FORMAT_VERSION)
    return identity
