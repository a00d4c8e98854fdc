"""A timeline of a day, second by second and site by site, computed from the records that the audit reads.

It shows what each site served for its own brokers and for other sites, next to its spill limit, and what was earned
next to the most that the fleet's capacity allows. A second counts the parts that arrived and the requests that ended
in it.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from badgerbend.config.settings import Class, Settings
from badgerbend.standin.work import Model

Line = dict[str, Any]


@dataclass(slots=True)
class SiteSecond:
    """Parts that arrived at one site in one second. room: its capacity; limit: how many may be for other sites."""

    own: int = 0
    spilled: int = 0
    room: float = 0.0
    limit: float = 0.0


@dataclass(slots=True)
class Second:
    """One second of the day.

    offered: the worth of the requests first sent in it; served: the worth of the answers received in it; best: the
    most that the capacity of all sites could earn; needed: the parts that the offered requests need.
    """

    sites: dict[str, SiteSecond] = field(default_factory=dict)
    offered: float = 0.0
    served: float = 0.0
    best: float = 0.0
    states: Counter[tuple[str, str, str]] = field(default_factory=Counter)  # class, tenant, state
    parts: int = 0
    needed: float = 0.0


def worth(cls: Class, state: str, took_ms: float, got: float) -> float:
    """The worth of an answer to its client. got: the share of the requested parts that it contains."""
    if state == "whole":
        return cls.worth * (1.0 if took_ms <= cls.aim_ms else cls.late_worth)
    if state == "part":
        return cls.worth * cls.partial * min(got / cls.need, 1.0) * (1.0 if took_ms <= cls.aim_ms else cls.late_worth)
    return 0.0


def seconds(
    lines: list[Line], settings: Settings, model: Model, zones: dict[str, int], homes: list[int], length: int
) -> list[Second]:
    """Builds the timeline. zones: each server's zone; homes: each broker's zone; length: seconds of the day."""
    assert settings.sites is not None
    lines = sorted(lines, key=lambda line: line["t"])
    began = min(line["t"] for line in lines if line["k"] == "ask")
    out = [Second() for _ in range(length)]
    names = {zone: site.name for site in settings.sites.site for zone in site.zones}
    for second in out:
        second.sites = {site.name: SiteSecond() for site in settings.sites.site}
    classes = {f.name: next(c for c in settings.class_ if c.name == f.class_) for f in settings.field}
    requests = {line["trace"]: line for line in lines if line["k"] == "ask"}
    demand: list[dict[float, float]] = [defaultdict(float) for _ in out]  # number of parts wanted, by the worth of one
    for line in lines:
        index = int((line["t"] - began) // 1000.0)
        if not 0 <= index < length:
            continue
        second = out[index]
        if line["k"] in ("arrive", "swallowed") and line["server"] in zones and line["broker"] >= 0:
            site = names[zones[line["server"]]]
            at, count = second.sites[site], len(line["parts"])
            second.parts += count
            if names[homes[line["broker"]]] == site:
                at.own += count
            else:
                at.spilled += count
        elif line["k"] == "ask" and not line["retry"]:
            for f in line["fields"]:
                cls = classes[f["field"]]
                fewest = max(1.0, cls.need * len(f["blocks"]))
                second.offered += cls.worth
                second.needed += fewest
                demand[index][cls.worth / fewest] += fewest
        elif line["k"] == "end" and line["trace"] in requests:
            ask = requests[line["trace"]]
            for f in ask["fields"]:
                got = line["fields"].get(f["key"], {})
                state = got.get("state", line["how"])
                cls = classes[f["field"]]
                share = got.get("parts", 0) / len(f["blocks"])
                second.states[cls.name, ask.get("tenant", ""), state] += 1
                second.served += worth(cls, state, line["t"] - ask["t"], share)
    _add_capacities(out, lines, settings, model, zones, names, began)
    for second, wanted in zip(out, demand, strict=True):
        second.best = max_worth(wanted, sum(s.room for s in second.sites.values()))
    return out


def max_worth(demand: Mapping[float, float], room: float) -> float:
    """The most that a capacity of `room` parts can earn: it serves the parts of the greatest worth first.

    demand: the number of parts wanted, by the worth of one.
    """
    earned = 0.0
    for each in sorted(demand, reverse=True):
        taken = min(demand[each], room)
        room -= taken
        earned += taken * each
    return earned


def _add_capacities(
    out: list[Second],
    lines: list[Line],
    settings: Settings,
    model: Model,
    zones: dict[str, int],
    names: dict[int, str],
    began: float,
) -> None:
    """Adds the capacity of each site in each second, from which servers were up and how far they had warmed up."""
    assert settings.sites is not None
    parts_per_s, spill_share = settings.sites.server_parts_per_s, settings.sites.spill
    changes: dict[str, list[tuple[float, str, bool]]] = defaultdict(list)
    for line in lines:
        if line["k"] in ("up", "down") and line["server"] in zones:
            changes[line["server"]].append((line["t"], line["k"], line.get("cold", False)))
    for server, zone in zones.items():
        server_changes = changes[server]
        for index, second in enumerate(out):
            middle = began + (index + 0.5) * 1000.0
            last = [c for c in server_changes if c[0] <= middle]
            up, cold = (last[-1][1] == "up", last[-1][2]) if last else (True, False)
            warm_up_fraction = (
                min(1.0, model.cold_from + (1 - model.cold_from) * (middle - last[-1][0]) / model.cold_ms)
                if (up and cold)
                else 1.0
            )
            second.sites[names[zone]].room += parts_per_s * warm_up_fraction * up
    for second in out:
        for site in second.sites.values():
            site.limit = max(0.0, spill_share * (site.room - site.own))
