"""What is let in while there is not room for all: by worth, the least worth a part first to go.

Demand is kept by band, a class within or beyond its tenant's quota. A band's worth is what its class earns, times the
stated share for work beyond a quota, over the parts that its queries need. Room goes to bands in the order of their
worth; the band that fits in part is let in at that share, by a running count and not by chance, so that it is smooth.
Spares, parts beyond the fewest, are the first to go: they are sent only where the fewest parts of all leave room.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from badgerbend.sites.evidence import Fading

HALF_MS = 2000.0  # of demand
Band = tuple[int, bool]  # class, beyond the quota


@dataclass(slots=True)
class _Demand:
    """worth: a part's; fewest, whole: parts asked for, at least and with spares."""

    worth: float = 0.0
    fewest: Fading = field(default_factory=lambda: Fading(HALF_MS))
    whole: Fading = field(default_factory=lambda: Fading(HALF_MS))
    count: float = 0.0


class Bands:
    """Demand by band, and who is let in."""

    def __init__(self) -> None:
        self.bands: dict[Band, _Demand] = {}

    def ask(self, now_ms: float, band: Band, worth: float, fewest: int, whole: int) -> None:
        """A query's demand, let in or not."""
        demand = self.bands.setdefault(band, _Demand())
        demand.worth += (worth / max(fewest, 1) - demand.worth) * (0.1 if demand.worth else 1.0)
        demand.fewest.add(now_ms, fewest)
        demand.whole.add(now_ms, whole)

    def share(self, now_ms: float, band: Band, room: float) -> float:
        """What share of a band's demand fits in `room` parts a millisecond after all that is worth more."""
        mine = self.bands[band]
        left = room
        for other, demand in self.bands.items():
            if other != band and (demand.worth, other) > (mine.worth, band):
                left -= demand.fewest.pace(now_ms)
        pace = mine.fewest.pace(now_ms)
        return min(max(left / pace, 0.0), 1.0) if pace else 1.0

    def lets_in(self, now_ms: float, band: Band, room: float) -> bool:
        """Whether one more query of a band, already counted by `ask`, is let in."""
        mine = self.bands[band]
        mine.count += self.share(now_ms, band, room)
        if mine.count >= 1.0:
            mine.count -= 1.0
            return True
        return False

    def spares(self, now_ms: float, room: float) -> bool:
        return sum(d.whole.pace(now_ms) for d in self.bands.values()) <= room
