"""A broker's configuration: a JSON file, and environment variables for fields that the file leaves out."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import msgspec

from badgerbend import api
from badgerbend.discovery.members import MAX_NOTIFICATION_DELAY_S, parse_address
from badgerbend.platform import names
from badgerbend.platform_settings import SettingError, flatten, read_settings

MAX_BYTES = 16_777_216  # of the configuration file
MAX_WRITE_DELAY_MS = 150.0  # by the platform's rules, a process on a fraction of a core may be delayed for this long
DRAIN_GRACE_MS = 250.0  # default; short, because the agent runs on the broker's machine and is cheap to poll


class ConfigError(Exception):
    """The configuration is invalid; the message names the field."""


class Limits(msgspec.Struct, frozen=True, rename={"descriptors": "sockets"}):
    """Resource limits of the process: a fraction of one core, memory in megabytes, and open file descriptors."""

    cores: float = 1.0
    memory_mb: float = 192.0
    descriptors: int = 1024


@dataclass(frozen=True, slots=True)
class Config:
    """A broker's validated configuration. known: undecoded rows of the list that the broker had last."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    limits: Limits
    known: tuple[msgspec.Raw, ...]
    settings: api.Settings
    flat_settings: Mapping[str, str]  # all settings by path
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    shards: int
    streams: int  # parts in flight on one connection to a node
    drain_grace_ms: float  # a draining node receives nothing new once this time has passed


class _File(msgspec.Struct):
    settings: dict[str, Any]
    name: str | None = None
    listen: str | None = None
    discovery: str | None = None
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: dict[str, msgspec.Raw] = {}


def load(env: Mapping[str, str]) -> Config:
    """Reads the configuration file that the environment names. Raises ConfigError for any defect."""
    path = env.get(f"{names.ENV}_CONFIG")
    if not path:
        raise ConfigError(f"{names.ENV}_CONFIG is not set")
    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_BYTES + 1)
    except OSError as err:
        raise ConfigError(f"{names.ENV}_CONFIG: {err.strerror}: {path}") from err
    if len(raw) > MAX_BYTES:
        raise ConfigError(f"{names.ENV}_CONFIG: the file is longer than {MAX_BYTES} bytes")
    return parse(raw, env)


def parse(raw: bytes, env: Mapping[str, str]) -> Config:
    """Parses the bytes of a configuration file. Raises ConfigError for any defect."""
    try:
        file = msgspec.json.decode(raw, type=_File)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise ConfigError(f"the configuration is malformed: {err}") from err
    flat_settings = flatten(file.settings)
    try:
        settings = replace(
            read_settings(flat_settings),
            max_notification_delay_ms=MAX_NOTIFICATION_DELAY_S * 1000.0,
            max_write_delay_ms=MAX_WRITE_DELAY_MS,
        )
    except SettingError as err:
        raise ConfigError(str(err)) from err
    limits = file.limits
    if not (0 < limits.cores < math.inf and 0 < limits.memory_mb < math.inf and limits.descriptors >= 64):
        raise ConfigError("limits: cores and memory_mb must be above 0, sockets at least 64")
    try:
        seed = int(file.seed, 16)
    except ValueError as err:
        raise ConfigError(f"seed is not a hexadecimal number: {file.seed!r}") from err
    return Config(
        file.name or env.get(f"{names.ENV}_NAME", ""),
        _address("listen", file.listen or env.get(f"{names.ENV}_LISTEN")),
        _address("discovery", file.discovery or env.get(f"{names.ENV}_DISCOVERY")),
        seed,
        limits,
        _known_rows(file.known),
        settings,
        flat_settings,
        _unique_names(file.settings, "categories"),
        _unique_names(file.settings, "tenants"),
        _names(file.settings, "failureDomains"),
        _names(file.settings, "kinds"),
        _count(flat_settings, "specifics.ranges"),
        _count(flat_settings, "ceilings.streamsPerConn"),
        _drain_grace_ms(flat_settings),
    )


def _address(field: str, text: str | None) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as err:
        raise ConfigError(f"{field}: {err}") from err


def _known_rows(known: Mapping[str, msgspec.Raw]) -> tuple[msgspec.Raw, ...]:
    rows = known.get(names.MEMBERS.rows)
    try:
        return tuple(msgspec.json.decode(rows, type=list[msgspec.Raw])) if rows is not None else ()
    except msgspec.DecodeError as err:
        raise ConfigError(f"known.{names.MEMBERS.rows}: {err}") from err


def _unique_names(settings: Mapping[str, Any], field: str) -> tuple[str, ...]:
    rows = settings.get(field, [])
    names_found = (
        [row.get("name") if isinstance(row, dict) else None for row in rows] if isinstance(rows, list) else [None]
    )
    if not all(isinstance(name, str) and name for name in names_found) or len(set(names_found)) < len(names_found):
        raise ConfigError(f"settings.{field}: each entry needs a unique name")
    return tuple(str(name) for name in names_found)


def _names(settings: Mapping[str, Any], field: str) -> tuple[str, ...]:
    rows = settings.get(field, [])
    if not isinstance(rows, list) or not all(isinstance(name, str) for name in rows):
        raise ConfigError(f"settings.{field}: expected a list of names")
    return tuple(rows)


def _drain_grace_ms(flat_settings: Mapping[str, str]) -> float:
    path = "obligations.drainGraceMs"
    try:
        grace_ms = float(flat_settings.get(path, DRAIN_GRACE_MS))
    except ValueError:
        grace_ms = math.nan
    if not 0 <= grace_ms < math.inf:
        raise ConfigError(str(SettingError.at(flat_settings, path)))
    return grace_ms


def _count(flat_settings: Mapping[str, str], path: str) -> int:
    text = flat_settings.get(path, "")
    if not text.isdigit() or not 1 <= int(text) <= 1_000_000:
        raise ConfigError(str(SettingError.at(flat_settings, path)))
    return int(text)
