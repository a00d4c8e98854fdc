"""The platform's settings, read into the settings of the decisions.

The simulator sends settings as path=value lines, the broker's configuration holds them as nested JSON; both use the
same paths and units. Standard library only, since the simulator's adapter starts without any other package.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from badgerbend import api

EFFECTS = {"read_like": "safe", "idempotency_key": "keyed", "non_idempotent": "unsafe"}


class SettingError(Exception):
    """A setting is missing or malformed."""

    @classmethod
    def at(cls, settings: Mapping[str, str], path: str) -> SettingError:
        """The error for the setting at a path, which is malformed if it is there and missing if it is not."""
        problem = f"malformed: {settings[path]!r}" if path in settings else "missing"
        return cls(f"setting {path} is {problem}")


def parse_lines(text: str) -> dict[str, str]:
    """Path=value lines as a mapping; lines without an equals sign are skipped."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten(settings: Mapping[str, object]) -> dict[str, str]:
    """Nested settings as a mapping of paths to values.

    Members go by their names, objects in a list by their positions, with the number of them under `count`. A list of
    plain values is one value, joined by commas. What is null is left out.
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
        flat[path] = ",".join(_plain(item) for item in value)
    elif value is not None:
        flat[path] = _plain(value)


def _plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


class SettingsReader:
    """Typed access to flat settings. Every method raises SettingError, which names the path."""

    def __init__(self, settings: Mapping[str, str]) -> None:
        self._settings = settings

    def has(self, path: str) -> bool:
        """Whether there is such a setting."""
        return path in self._settings

    def word(self, path: str) -> str | None:
        """The text of a setting, None where it is missing."""
        return self._settings.get(path)

    def error(self, path: str) -> SettingError:
        """The error for the setting at a path."""
        return SettingError.at(self._settings, path)

    def number(self, path: str, minimum: float = -math.inf) -> float:
        """A finite number."""
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
        """A number without a fraction."""
        value = self.number(path, minimum)
        if value != int(value):
            raise self.error(path)
        return int(value)

    def flag(self, path: str) -> bool:
        """`true` or `false`."""
        if self._settings.get(path) not in ("true", "false"):
            raise self.error(path)
        return self._settings[path] == "true"

    def optional(self, path: str) -> float | None:
        """A number of at least 0, or None where the setting is missing."""
        return self.number(path, 0.0) if path in self._settings else None

    def limit(self, path: str) -> float:
        """A number of at least 0, or infinity where the setting is missing."""
        return self.number(path, 0.0) if path in self._settings else math.inf

    def numbers(self, path: str, count: int) -> list[float]:
        """So many numbers of at least 0, separated by commas."""
        if path not in self._settings:
            raise self.error(path)
        try:
            values = [float(text) for text in self._settings[path].split(",")]
        except ValueError:
            values = []
        if len(values) != count or not all(math.isfinite(value) and value >= 0 for value in values):
            raise self.error(path)
        return values


def read_settings(settings: Mapping[str, str]) -> api.Settings:
    """The settings of the decisions. Unknown paths are skipped. Raises SettingError."""
    reader = SettingsReader(settings)
    classes = _query_classes(reader)
    polls_endpoint_list = reader.word("registryMode") == "ask"
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
        connection_idle_ms=reader.limit("ceilings.connIdleMs"),
        connect_timeout_ms=reader.limit("ceilings.connectTimeoutMs"),
        polls_endpoint_list=polls_endpoint_list,
        max_poll_interval_ms=reader.number("obligations.mustAskInMs", 1.0) if polls_endpoint_list else math.inf,
        over_quota_weight=reader.number("overShareWorth", 0.0),
        slow_start_from=reader.number("obligations.coldFrom", 0.0),
        slow_start_ms=reader.number("obligations.coldMs", 0.0),
        overload_factor=reader.number("obligations.overloadFactor", 0.0),
        overload_window_ms=reader.number("obligations.fallMs", 0.0),
        retry_budget_min=reader.optional("obligations.minExtra"),
        retry_budget_share=reader.optional("obligations.extraPerRequest"),
        retry_budget_window_ms=reader.optional("obligations.lookBackMs"),
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
    effect = EFFECTS.get(reader.word(f"{path}.idempotency") or "")
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
