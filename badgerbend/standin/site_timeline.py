"""A day second by second and site by site: what each served for its own and for others, against its limit and a bound.

Pure: records of the sockets in, as the auditor has them. A second holds what arrived, and what ended, in it.
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
    """Parts that arrived at one site in one second. room: what it could serve; limit: of others' work."""

    own: int = 0
    spilled: int = 0
    room: float = 0.0
    limit: float = 0.0


@dataclass(slots=True)
class Second:
    """offered, served: worth asked for first in, and earned in, this second; best: what room for all would earn."""

    sites: dict[str, SiteSecond] = field(default_factory=dict)
    offered: float = 0.0
    served: float = 0.0
    best: float = 0.0
    states: Counter[tuple[str, str, str]] = field(default_factory=Counter)  # class, tenant, state
    parts: int = 0
    needed: float = 0.0


def worth(cls: Class, state: str, took_ms: float, got: float) -> float:
    """What a client has of an answer; got: the share of the parts asked for that is in it."""
    if state == "whole":
        return cls.worth * (1.0 if took_ms <= cls.aim_ms else cls.late_worth)
    if state == "part":
        return cls.worth * cls.partial * min(got / cls.need, 1.0) * (1.0 if took_ms <= cls.aim_ms else cls.late_worth)
    return 0.0


def seconds(
    lines: list[Line], settings: Settings, model: Model, zones: dict[str, int], homes: list[int], length: int
) -> list[Second]:
    """zones: each server's; homes: each broker's zone; length: of the day in seconds."""
    assert settings.sites is not None
    lines = sorted(lines, key=lambda line: line["t"])
    began = min(line["t"] for line in lines if line["k"] == "ask")
    out = [Second() for _ in range(length)]
    names = {zone: site.name for site in settings.sites.site for zone in site.zones}
    for second in out:
        second.sites = {site.name: SiteSecond() for site in settings.sites.site}
    classes = {f.name: next(c for c in settings.class_ if c.name == f.class_) for f in settings.field}
    asks = {line["trace"]: line for line in lines if line["k"] == "ask"}
    wants: list[dict[float, float]] = [defaultdict(float) for _ in out]  # parts by worth a part
    for line in lines:
        place = int((line["t"] - began) // 1000.0)
        if not 0 <= place < length:
            continue
        second = out[place]
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
                wants[place][cls.worth / fewest] += fewest
        elif line["k"] == "end" and line["trace"] in asks:
            ask = asks[line["trace"]]
            for f in ask["fields"]:
                got = line["fields"].get(f["key"], {})
                state = got.get("state", line["how"])
                cls = classes[f["field"]]
                share = got.get("parts", 0) / len(f["blocks"])
                second.states[cls.name, ask.get("tenant", ""), state] += 1
                second.served += worth(cls, state, line["t"] - ask["t"], share)
    _rooms(out, lines, settings, model, zones, names, began)
    for second, want in zip(out, wants, strict=True):
        second.best = max_worth(want, sum(s.room for s in second.sites.values()))
    return out


def max_worth(wants: Mapping[float, float], room: float) -> float:
    """What `room` parts can earn at most of the parts wanted, by what one earns: the greatest first."""
    earned = 0.0
    for each in sorted(wants, reverse=True):
        taken = min(wants[each], room)
        room -= taken
        earned += taken * each
    return earned


def _rooms(
    out: list[Second],
    lines: list[Line],
    settings: Settings,
    model: Model,
    zones: dict[str, int],
    names: dict[int, str],
    began: float,
) -> None:
    """What each site's servers could serve in each second, by when they were up and how warm."""
    assert settings.sites is not None
    pace, share = settings.sites.server_parts_per_s, settings.sites.spill
    changes: dict[str, list[tuple[float, str, bool]]] = defaultdict(list)
    for line in lines:
        if line["k"] in ("up", "down") and line["server"] in zones:
            changes[line["server"]].append((line["t"], line["k"], line.get("cold", False)))
    for server, zone in zones.items():
        told = changes[server]
        for place, second in enumerate(out):
            middle = began + (place + 0.5) * 1000.0
            last = [c for c in told if c[0] <= middle]
            up, cold = (last[-1][1] == "up", last[-1][2]) if last else (True, False)
            warm = (
                min(1.0, model.cold_from + (1 - model.cold_from) * (middle - last[-1][0]) / model.cold_ms)
                if (up and cold)
                else 1.0
            )
            second.sites[names[zone]].room += pace * warm * up
    for second in out:
        for site in second.sites.values():
            site.limit = max(0.0, share * (site.room - site.own))
