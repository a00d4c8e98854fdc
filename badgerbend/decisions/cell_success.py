"""The recent success of each cell: the share of queries that received all their parts in it.

A cell is a group of servers. The servers of one or more consecutive cells hold a shard; here a shard counts for the
first of them.
"""

from __future__ import annotations

from badgerbend import api
from badgerbend.decisions.latency import LATEST_ANSWER_WEIGHT, OBSERVATION_HALF_LIFE_MS
from badgerbend.decisions.queries import QueryState


class CellSuccess:
    """Success shares by cell. An unobserved cell has a share of one, and the effect of failures decays over time."""

    def __init__(self, settings: api.Settings) -> None:
        self._cell_count = settings.cell_count
        self._observed: dict[int, tuple[float, float]] = {}  # share and time of the last observation

    def share(self, cell: int, now_ms: float) -> float:
        """The share of queries that received all their parts in a cell; recent queries weigh most."""
        observed = self._observed.get(cell)
        if observed is None:
            return 1.0
        share, at_ms = observed
        return 1.0 - (1.0 - share) * 2 ** -((now_ms - at_ms) / (OBSERVATION_HALF_LIFE_MS / 2))

    def cells(self, query: QueryState) -> set[int]:
        """The cells of a query's parts."""
        return {part.shard % self._cell_count for part in query.parts}

    def record(self, query: QueryState, final: api.Action, now_ms: float) -> None:
        """Records the end of a query.

        A lost query counts as one loss, divided among the cells that did not answer. Where the client's deadline is
        shorter than the latency objective of its class, missing answers are not held against their cells.
        """
        complete = isinstance(final, api.Answer) and query.complete
        lost = set[int]()
        if not complete:
            lost = {part.shard % self._cell_count for part in query.parts if not part.done}
        for cell in {part.shard % self._cell_count for part in query.parts if part.attempts_made}:
            if cell not in lost:
                self._observe(cell, 1.0, LATEST_ANSWER_WEIGHT, now_ms)
            elif query.end_at_ms >= query.objective_at_ms:
                self._observe(cell, 0.0, LATEST_ANSWER_WEIGHT / len(lost), now_ms)

    def _observe(self, cell: int, outcome: float, weight: float, now_ms: float) -> None:
        share = self.share(cell, now_ms)
        self._observed[cell] = share + (outcome - share) * weight, now_ms
