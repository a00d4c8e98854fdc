"""How queries fared with each cell lately: the share of them that got all their parts of it."""

from __future__ import annotations

from badgerbend import api
from badgerbend.decisions.latency import FADE_MS, LAST_WEIGHT
from badgerbend.decisions.queries import QueryState


class CellSuccess:
    """Success shares by cell. What was not seen counts as a success, and failures fade to one."""

    def __init__(self, settings: api.Settings) -> None:
        self._cell_count = settings.cell_count
        self._observed: dict[int, tuple[float, float]] = {}  # share, and when it was observed

    def share(self, cell: int, now_ms: float) -> float:
        """The share of queries that got all their parts of a cell; the last one weighs most."""
        observed = self._observed.get(cell)
        if observed is None:
            return 1.0
        share, at_ms = observed
        return 1.0 - (1.0 - share) * 2 ** -((now_ms - at_ms) / (FADE_MS / 2))

    def cells(self, query: QueryState) -> set[int]:
        """The cells that a query's parts are in."""
        return {part.shard % self._cell_count for part in query.parts}

    def record(self, query: QueryState, final: api.Action, now_ms: float) -> None:
        """Takes in how a query ended.

        One lost query is one loss, shared by the cells that lost it. A client with less time than its class should
        leave says nothing of cells without an answer.
        """
        complete = isinstance(final, api.Answer) and query.complete
        lost = set[int]()
        if not complete:
            lost = {part.shard % self._cell_count for part in query.parts if not part.done}
        for cell in {part.shard % self._cell_count for part in query.parts if part.attempts_made}:
            if cell not in lost:
                self._observe(cell, 1.0, LAST_WEIGHT, now_ms)
            elif query.end_at_ms >= query.objective_at_ms:
                self._observe(cell, 0.0, LAST_WEIGHT / len(lost), now_ms)

    def _observe(self, cell: int, outcome: float, weight: float, now_ms: float) -> None:
        share = self.share(cell, now_ms)
        self._observed[cell] = share + (outcome - share) * weight, now_ms
