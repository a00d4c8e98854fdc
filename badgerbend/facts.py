"""The platform's settings as the module takes them, for the simulator's wire and for the broker's configuration alike.

Both give the same names and units: the wire as path=value lines, the configuration as nested JSON. Standard library
only, since the adapter starts without any other.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from badgerbend import api

EFFECTS = {"read_like": "safe", "idempotency_key": "keyed", "non_idempotent": "unsafe"}


class SettingError(Exception):
    """A setting is missing or malformed."""


def parse_facts(text: str) -> dict[str, str]:
    """Path=value lines as a mapping."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten(settings: Mapping[str, object]) -> dict[str, str]:
    """Nested settings as paths to values: members by name, objects of a list by place, with their `count`.

    A list of plain values is one value, joined by commas. What is null is left out, as if it were not there.
    """
    out: dict[str, str] = {}

    def put(path: str, value: object) -> None:
        if isinstance(value, Mapping):
            for name, inner in value.items():
                put(f"{path}.{name}" if path else str(name), inner)
        elif isinstance(value, list) and all(isinstance(v, Mapping) for v in value):
            out[f"{path}.count"] = str(len(value))
            for place, inner in enumerate(value):
                put(f"{path}.{place}", inner)
        elif isinstance(value, list):
            out[path] = ",".join(_plain(v) for v in value)
        elif value is not None:
            out[path] = _plain(value)

    put("", settings)
    return out


def _plain(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def unfit(facts: Mapping[str, str], key: str) -> SettingError:
    """What to raise for a setting that is missing or, if it is there, malformed."""
    return SettingError(f"setting {key} is {f'malformed: {facts[key]!r}' if key in facts else 'missing'}")


def read_settings(facts: Mapping[str, str]) -> api.Settings:
    """The settings that the module takes; unknown keys are skipped, a bad one is named."""

    def number(key: str, low: float = -math.inf) -> float:
        if key not in facts:
            raise unfit(facts, key)
        try:
            value = float(facts[key])
        except ValueError:
            value = math.nan
        if not math.isfinite(value) or value < low:
            raise unfit(facts, key)
        return value

    def whole(key: str, low: int = 0) -> int:
        value = number(key, low)
        if value != int(value):
            raise unfit(facts, key)
        return int(value)

    def flag(key: str) -> bool:
        if facts.get(key) not in ("true", "false"):
            raise unfit(facts, key)
        return facts[key] == "true"

    def optional(key: str) -> float | None:
        return number(key, 0.0) if key in facts else None

    def limit(key: str) -> float:
        return number(key, 0.0) if key in facts else math.inf

    def floats(key: str, count: int) -> list[float]:
        if key not in facts:
            raise unfit(facts, key)
        try:
            values = [float(x) for x in facts[key].split(",")]
        except ValueError:
            values = []
        if len(values) != count or not all(math.isfinite(v) and v >= 0 for v in values):
            raise unfit(facts, key)
        return values

    count = whole("categories.count", 1)
    need, floor = floats("specifics.wholeAt", count), floats("specifics.minShare", count)
    partial = floats("specifics.classPartial", count) if "specifics.classPartial" in facts else [1.0] * count
    follow = floats("specifics.followUp", count)
    classes = []
    for i in range(count):
        at = f"categories.{i}."
        effect = facts.get(at + "idempotency")
        if effect not in EFFECTS:
            raise unfit(facts, at + "idempotency")
        classes.append(
            api.QueryClass(
                latency_objective_ms=number(at + "aimMs", 0.0),
                deadline_ms=number(at + "hardLimitMs", 0.0),
                effect=EFFECTS[effect],
                idempotency_window_ms=number(at + "repeatWindowMs", 0.0) if EFFECTS[effect] == "keyed" else 0.0,
                late_value_share=number(at + "lateValue", 0.0),
                priority_weight=number(at + "value", 0.0),
                complete_weight=need[i],
                minimum_weight=floor[i],
                partial_value=partial[i],
                follow_up_parts=int(follow[i]),
            )
        )
    asked = facts.get("registryMode") == "ask"
    tenants = whole("tenants.count") if "tenants.count" in facts else 0
    return api.Settings(
        classes=tuple(classes),
        tenants=tuple(api.Tenant(number(f"tenants.{i}.quotaPerS", 0.0)) for i in range(tenants)),
        broker_index=whole("me"),
        broker_count=whole("fleetSize", 1),
        zone=whole("zone"),
        cell_count=whole("specifics.sets", 1),
        cells_per_shard=whole("specifics.width", 1),
        parts_per_call=whole("specifics.partsACall", 1),
        max_attempts=whole("ceilings.maxAttempts", 1),
        max_open=whole("ceilings.maxOpen", 1),
        hedging=flag("ceilings.secondCopies"),
        cancel=flag("ceilings.cancel"),
        health_checks=flag("ceilings.probing"),
        retry_after=flag("ceilings.retryAfter"),
        max_retry_after_ms=number("ceilings.maxRetryAfterMs", 0.0),
        connection_idle_ms=limit("ceilings.connIdleMs"),
        connect_timeout_ms=limit("ceilings.connectTimeoutMs"),
        polls_endpoint_list=asked,
        max_poll_interval_ms=number("obligations.mustAskInMs", 1.0) if asked else math.inf,
        over_quota_weight=number("overShareWorth", 0.0),
        slow_start_from=number("obligations.coldFrom", 0.0),
        slow_start_ms=number("obligations.coldMs", 0.0),
        overload_factor=number("obligations.overloadFactor", 0.0),
        overload_window_ms=number("obligations.fallMs", 0.0),
        retry_budget_min=optional("obligations.minExtra"),
        retry_budget_share=optional("obligations.extraPerRequest"),
        retry_budget_window_ms=optional("obligations.lookBackMs"),
    )
