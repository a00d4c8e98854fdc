"""Reads the platform's settings into the settings of the decisions.

The simulator sends settings as path=value lines, and the broker's configuration contains them as nested JSON; both use
the same paths and units. Only the standard library is used: the simulator's adapter runs without other packages.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from badgerbend import api

# Values of `api.QueryClass.effect`, by the platform's names for the idempotency of a query class.
EFFECTS = {"read_like": "safe", "idempotency_key": "keyed", "non_idempotent": "unsafe"}


class SettingError(Exception):
    """A setting is missing or malformed."""

    @classmethod
    def at(cls, settings: Mapping[str, str], path: str) -> SettingError:
        """The error for a setting: malformed if it is present, missing if it is not."""
        problem = f"malformed: {settings[path]!r}" if path in settings else "missing"
        return cls(f"setting {path} is {problem}")


def parse_lines(text: str) -> dict[str, str]:
    """Parses path=value lines; lines without an equals sign are skipped."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten(settings: Mapping[str, object]) -> dict[str, str]:
    """Flattens nested settings to a mapping of dotted paths to values.

    Members of objects are addressed by name. Objects in a list are addressed by position, and their number is stored
    under `count`. A list of plain values becomes one value, joined by commas. Null values are left out.
    """
    flat: dict[str, str] = {}
    _flatten_into(flat, "", settings)
    return flat


def _flatten_into(flat: dict[str, str], path: str, value: object) -> None:
    if isinstance(value, Mapping):
        for name, member in value.items():
            _flatten_into(flat, f"{path}.{name}" if path else str(name), member)
    elif isinstance(value, list) and all(isinstance(item, Mapping) for item in value):
        flat[f"{path}.count"] = str(len(value))
        for position, member in enumerate(value):
            _flatten_into(flat, f"{path}.{position}", member)
    elif isinstance(value, list):
        flat[path] = ",".join(_format_plain(item) for item in value)
    elif value is not None:
        flat[path] = _format_plain(value)


def _format_plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


class SettingsReader:
    """Typed access to flat settings. Methods raise a SettingError that names the path of an invalid setting."""

    def __init__(self, settings: Mapping[str, str]) -> None:
        self._settings = settings

    def has(self, path: str) -> bool:
        """Whether the setting is present."""
        return path in self._settings

    def text(self, path: str) -> str | None:
        """The text of a setting, or None if it is missing."""
        return self._settings.get(path)

    def error(self, path: str) -> SettingError:
        """The error for an invalid setting."""
        return SettingError.at(self._settings, path)

    def number(self, path: str, minimum: float = -math.inf) -> float:
        """A finite number of at least `minimum`."""
        if path not in self._settings:
            raise self.error(path)
        try:
            value = float(self._settings[path])
        except ValueError:
            value = math.nan
        if not math.isfinite(value) or value < minimum:
            raise self.error(path)
        return value

    def integer(self, path: str, minimum: int = 0) -> int:
        """An integer of at least `minimum`."""
        value = self.number(path, minimum)
        if value != int(value):
            raise self.error(path)
        return int(value)

    def flag(self, path: str) -> bool:
        """A boolean, written as `true` or `false`."""
        if self._settings.get(path) not in ("true", "false"):
            raise self.error(path)
        return self._settings[path] == "true"

    def optional_number(self, path: str) -> float | None:
        """A number of at least 0, or None if the setting is missing."""
        return self.number(path, 0.0) if path in self._settings else None

    def optional_limit(self, path: str) -> float:
        """A number of at least 0, or infinity if the setting is missing."""
        return self.number(path, 0.0) if path in self._settings else math.inf

    def numbers(self, path: str, count: int) -> list[float]:
        """A list of exactly `count` numbers of at least 0, separated by commas."""
        if path not in self._settings:
            raise self.error(path)
        try:
            values = [float(item) for item in self._settings[path].split(",")]
        except ValueError:
            values = []
        if len(values) != count or not all(math.isfinite(value) and value >= 0 for value in values):
            raise self.error(path)
        return values


def read_settings(settings: Mapping[str, str]) -> api.Settings:
    """Reads the settings of the decisions; unknown paths are ignored. Raises SettingError."""
    reader = SettingsReader(settings)
    classes = _query_classes(reader)
    polls_endpoint_list = reader.text("registryMode") == "ask"
    tenant_count = reader.integer("tenants.count") if reader.has("tenants.count") else 0
    tenants = tuple(api.Tenant(reader.number(f"tenants.{index}.quotaPerS", 0.0)) for index in range(tenant_count))
    return api.Settings(
        classes=classes,
        tenants=tenants,
        broker_index=reader.integer("me"),
        broker_count=reader.integer("fleetSize", 1),
        zone=reader.integer("zone"),
        cell_count=reader.integer("specifics.sets", 1),
        cells_per_shard=reader.integer("specifics.width", 1),
        parts_per_call=reader.integer("specifics.partsACall", 1),
        max_attempts=reader.integer("ceilings.maxAttempts", 1),
        max_open=reader.integer("ceilings.maxOpen", 1),
        hedging=reader.flag("ceilings.secondCopies"),
        cancel=reader.flag("ceilings.cancel"),
        health_checks=reader.flag("ceilings.probing"),
        retry_after=reader.flag("ceilings.retryAfter"),
        max_retry_after_ms=reader.number("ceilings.maxRetryAfterMs", 0.0),
        connection_idle_ms=reader.optional_limit("ceilings.connIdleMs"),
        connect_timeout_ms=reader.optional_limit("ceilings.connectTimeoutMs"),
        polls_endpoint_list=polls_endpoint_list,
        max_poll_interval_ms=reader.number("obligations.mustAskInMs", 1.0) if polls_endpoint_list else math.inf,
        over_quota_weight=reader.number("overShareWorth", 0.0),
        slow_start_from=reader.number("obligations.coldFrom", 0.0),
        slow_start_ms=reader.number("obligations.coldMs", 0.0),
        overload_factor=reader.number("obligations.overloadFactor", 0.0),
        overload_window_ms=reader.number("obligations.fallMs", 0.0),
        retry_budget_min=reader.optional_number("obligations.minExtra"),
        retry_budget_share=reader.optional_number("obligations.extraPerRequest"),
        retry_budget_window_ms=reader.optional_number("obligations.lookBackMs"),
    )


def _query_classes(reader: SettingsReader) -> tuple[api.QueryClass, ...]:
    count = reader.integer("categories.count", 1)
    complete_weights = reader.numbers("specifics.wholeAt", count)
    minimum_weights = reader.numbers("specifics.minShare", count)
    partial_values = [1.0] * count
    if reader.has("specifics.classPartial"):
        partial_values = reader.numbers("specifics.classPartial", count)
    follow_up_parts = reader.numbers("specifics.followUp", count)
    return tuple(
        _query_class(
            reader,
            f"categories.{index}",
            complete_weights[index],
            minimum_weights[index],
            partial_values[index],
            int(follow_up_parts[index]),
        )
        for index in range(count)
    )


def _query_class(
    reader: SettingsReader,
    path: str,
    complete_weight: float,
    minimum_weight: float,
    partial_value: float,
    follow_up_parts: int,
) -> api.QueryClass:
    effect = EFFECTS.get(reader.text(f"{path}.idempotency") or "")
    if effect is None:
        raise reader.error(f"{path}.idempotency")
    return api.QueryClass(
        latency_objective_ms=reader.number(f"{path}.aimMs", 0.0),
        deadline_ms=reader.number(f"{path}.hardLimitMs", 0.0),
        effect=effect,
        idempotency_window_ms=reader.number(f"{path}.repeatWindowMs", 0.0) if effect == "keyed" else 0.0,
        late_value_share=reader.number(f"{path}.lateValue", 0.0),
        priority_weight=reader.number(f"{path}.value", 0.0),
        complete_weight=complete_weight,
        minimum_weight=minimum_weight,
        partial_value=partial_value,
        follow_up_parts=follow_up_parts,
    )
