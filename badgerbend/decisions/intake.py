"""Handles the arrival of queries and of follow-up parts: rejects queries or sends their parts."""

from __future__ import annotations

from badgerbend import api
from badgerbend.decisions.admission import AdmissionController
from badgerbend.decisions.budget import HedgeBudget
from badgerbend.decisions.completion import QueryCompletion
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.queries import QueryState
from badgerbend.decisions.redundancy import RedundancyPolicy
from badgerbend.decisions.sending import PartSender


class QueryIntake:
    """Handles new queries and the parts of their second step."""

    def __init__(
        self,
        context: DecisionContext,
        hedges: HedgeBudget,
        admission: AdmissionController,
        redundancy: RedundancyPolicy,
        sender: PartSender,
        completion: QueryCompletion,
    ) -> None:
        self._classes = context.settings.classes
        self._random = context.random
        self._queries = context.queries
        self._latency = context.latency
        self._rates = context.rates
        self._hedges = hedges
        self._admission = admission
        self._redundancy = redundancy
        self._sender = sender
        self._completion = completion
        self._sites = context.sites

    def query_arrived(self, event: api.Query, now_ms: float) -> None:
        """Admits a query and sends its first parts, or rejects it."""
        query = QueryState(event, self._classes[event.class_index], now_ms)
        self._rates.queries.add(now_ms)
        self._rates.accepted.add(now_ms)
        self._queries.add(query)
        self._add_parts(query, event.parts, now_ms)
        reason = self._admission.rejection(event, query, now_ms)
        if reason is not None:
            self._completion.end_incomplete(query, reason, now_ms)
            return
        self._reserve_parts(query, now_ms)
        for _ in range(1 if query.has_canary else query.parts_to_send):
            self._sender.send(query.reserved_parts.pop(), now_ms)

    def follow_up_arrived(self, event: api.FollowUpParts, now_ms: float) -> None:
        """Sends all parts of a query's second step. Parts of a query that has ended are ignored."""
        query = self._queries.by_number.get(event.number)
        if query is None:
            return
        query.begin_follow_up()
        self._add_parts(query, event.parts, now_ms)
        for part in query.parts:
            self._sender.send(part, now_ms)

    def _add_parts(self, query: QueryState, parts: tuple[api.Part, ...], now_ms: float) -> None:
        for part in parts:
            state = self._queries.add_part(query, part)
            self._rates.accepted.add(now_ms)
            self._hedges.earn()
            self._latency.add_cost_hint(state.cost_ms)

    def _reserve_parts(self, query: QueryState, now_ms: float) -> None:
        """Orders all parts of a query so that they are sent from the end of the list, and sets how many are sent.

        With a site preference, parts that a nearer site can answer are sent first, and surplus parts (more than a
        complete answer needs) only where sites have spare capacity for them.
        """
        fewest = query.fewest_parts(query.query_class.complete_weight)
        query.parts_to_send = self._redundancy.parts_to_send(fewest, len(query.parts), now_ms)
        query.reserved_parts = self._random.sample(query.parts, len(query.parts))
        sites = self._sites
        if sites:
            query.reserved_parts.sort(key=lambda part: sites.rank(part.shard))
            if not sites.allows_surplus():
                query.parts_to_send = fewest
