"""What a person asks about sites: one view of it, for the command line, metrics and logs."""

from __future__ import annotations

from typing import Any

from badgerbend.sites.presence import State
from badgerbend.sites.rules import OWN
from badgerbend.sites.tiers import Tiers

TIERS = ("own", "near", "far")


def status(tiers: Tiers, now_ms: float) -> dict[str, Any]:
    """Paces are parts a second of this broker alone; shares 0 to 1; None where nothing is known."""
    own = tiers.own
    return {
        "own": own.name,
        "list_age_ms": round(now_ms - tiers.listed_at) if tiers.listed_at >= 0 else None,
        "demand_per_s": round(tiers.demand.pace(now_ms) * 1000.0, 1),
        "keeps": {"by_load": round(tiers.fits, 3), "by_time": round(tiers.quick, 3)},
        "sites": [_site(tiers, i, now_ms) for i in range(len(tiers.sites))],
        "refusals": [
            {"reason": reason, "class": cls, "tenant": tenant, "count": n}
            for (reason, cls, tenant), n in sorted(tiers.refusals.items())
        ],
    }


def _site(tiers: Tiers, place: int, now_ms: float) -> dict[str, Any]:
    site = tiers.sites[place]
    room, whole = tiers.fleet.room(now_ms, place, site.seen.failing)
    success, used = site.seen.success(now_ms), site.seen.used(now_ms)
    free = site.tier == OWN and site.presence.state is State.IN
    return {
        "name": site.name,
        "tier": TIERS[site.tier],
        "state": site.presence.state.value,
        "drained": site.presence.drained,
        "share": round(min(site.presence.share, site.presence.kept), 3),
        "turns": round(site.presence.turns.read(now_ms), 2),
        "success": None if success is None else round(success, 3),
        "used": None if used is None else round(used, 3),
        "room_per_s": round(room * 1000.0, 1),
        "whole_per_s": round(whole * 1000.0, 1),
        "sent_per_s": round(site.seen.sends.pace(now_ms) * 1000.0, 1),
        "spilled_per_s": round(site.spilled.pace(now_ms) * 1000.0, 1),
        "allowed_per_s": None if free else round(site.bucket.pace * 1000.0, 1),
        "failing": len(site.seen.failing),
    }
