"""The aggregator: dispatches events to the modules that decide on them and collects their actions."""

from __future__ import annotations

from math import inf
from random import Random
from typing import assert_never

from badgerbend import api
from badgerbend.decisions.admission import AdmissionController
from badgerbend.decisions.attempts import AttemptResults
from badgerbend.decisions.budget import HedgeBudget, RetryBudget
from badgerbend.decisions.cell_success import CellSuccess
from badgerbend.decisions.completion import QueryCompletion
from badgerbend.decisions.connections import ConnectionMonitor
from badgerbend.decisions.context import DecisionContext
from badgerbend.decisions.endpoints import EndpointTracker
from badgerbend.decisions.intake import QueryIntake
from badgerbend.decisions.latency import LatencyEstimate
from badgerbend.decisions.observations import ObservationExchange
from badgerbend.decisions.outliers import OutlierDetector
from badgerbend.decisions.queries import QueryTable
from badgerbend.decisions.rates import TrafficRates
from badgerbend.decisions.redundancy import RedundancyPolicy
from badgerbend.decisions.replicas import ReplicaSelector
from badgerbend.decisions.retries import RetryPolicy
from badgerbend.decisions.review import QueryReview
from badgerbend.decisions.sending import PartSender
from badgerbend.decisions.slow_start import SlowStart
from badgerbend.decisions.timing import REFRESH_INTERVAL_MS, TICK_MS


class Aggregator:
    """All decisions of one broker: takes events with the current time and returns actions.

    It must be called from one thread. Status pages and tests may read its public attributes.

    redundancy_type: the class that decides on surplus parts; subclasses used for comparison replace it.
    seed: the seed of all random choices.
    sites: preference among sites; None if all servers are treated alike.
    budget: the rates to servers that are warming up, divided among brokers; None if each broker uses its own limit.
    """

    redundancy_type: type[RedundancyPolicy] = RedundancyPolicy

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        sites: api.SitePreference | None = None,
        budget: api.SlowStartBudget | None = None,
    ) -> None:
        self.settings = settings
        self.sites = sites
        self.random = Random(seed)
        self.queries = QueryTable()
        self.rates = TrafficRates(settings)
        self.latency = LatencyEstimate()
        self.endpoints = EndpointTracker(settings, self.random)
        context = DecisionContext(settings, self.random, sites, self.queries, self.rates, self.latency, self.endpoints)
        self._actions = context.actions
        self._now_ms = 0.0
        self._timer_at_ms = -inf
        self._refreshed_ms = -inf
        self.observation_exchange = ObservationExchange(self.endpoints, self.latency)
        self.connections = ConnectionMonitor(settings)
        self.slow_start = SlowStart(context, budget)
        self.outliers = OutlierDetector(context, self.slow_start)
        self.cells = CellSuccess(settings)
        self.redundancy = self.redundancy_type(context)
        self.hedges = HedgeBudget()
        self.retries = RetryPolicy(settings, RetryBudget(settings, self.rates))
        self.replicas = ReplicaSelector(context, self.connections, self.slow_start, self.outliers)
        self.admission = AdmissionController(context, self.outliers, self.cells)
        sender = PartSender(
            context, self.retries, self.hedges, self.replicas, self.slow_start, self.connections, self.outliers
        )
        self._completion = QueryCompletion(context, self.retries, self.outliers, self.cells)
        self._intake = QueryIntake(context, self.hedges, self.admission, self.redundancy, sender, self._completion)
        self._results = AttemptResults(
            context, self.connections, self.outliers, self.retries, self.hedges, sender, self._completion
        )
        self._query_review = QueryReview(context, self._results, sender, self._completion)

    def step(self, now_ms: float, events: list[api.Event]) -> list[api.Action]:
        """Handles the events that arrived by a time in milliseconds and returns the resulting actions in order."""
        self._now_ms = now_ms
        self._actions.clear()
        self.rates.begin(now_ms)
        if self.sites:
            self.sites.observe(now_ms, events)
        if len(events) > 1:  # endpoint updates first: nothing may be sent to a server that they list as draining
            events = sorted(events, key=lambda event: not isinstance(event, api.EndpointUpdate))
        for event in events:
            self._handle(event, now_ms)
        if self.endpoints.poll_is_due(now_ms):
            self._actions.append(api.FollowEndpointList(True))
        if now_ms >= self._timer_at_ms:
            self._review(now_ms)
        self._set_timer(now_ms)
        return list(self._actions)

    @property
    def now_ms(self) -> float:
        """The time of the last step."""
        return self._now_ms

    def observations(self) -> api.Observations:
        """This broker's own observations as of the last step. It does not change the state."""
        return self.observation_exchange.export(self._now_ms)

    def _handle(self, event: api.Event, now_ms: float) -> None:
        match event:
            case api.AttemptCompleted():
                self._results.completed(event, now_ms)
            case api.Query():
                self._intake.query_arrived(event, now_ms)
            case api.FollowUpParts():
                self._intake.follow_up_arrived(event, now_ms)
            case api.EndpointUpdate():
                self._update_endpoints(event, now_ms)
            case api.ClientDisconnected():
                self._completion.client_disconnected(event.id)
            case api.Observations():
                if self.observation_exchange.learn(event, now_ms):
                    self._refresh(now_ms)
            case api.TimerFired() | api.AttemptStarted() | api.HealthCheckCompleted() | api.PeerMessage():
                pass  # no decision depends on these
            case _:
                assert_never(event)

    def _update_endpoints(self, update: api.EndpointUpdate, now_ms: float) -> None:
        if update.kind == api.UpdateKind.FAILED:
            self.endpoints.poll_failed(now_ms)
            return
        for start in self.endpoints.apply(update):
            self.outliers.server_started(start, now_ms)

    def _review(self, now_ms: float) -> None:
        if now_ms - self._refreshed_ms >= REFRESH_INTERVAL_MS:
            self._refresh(now_ms)
        self._query_review.run(now_ms)

    def _refresh(self, now_ms: float) -> None:
        """Recomputes the estimates and discards the values derived from them."""
        self._refreshed_ms = now_ms
        self.redundancy.reset()
        self.admission.reset()
        self.latency.refresh(now_ms, self.queries.attempts.values())
        self.endpoints.refresh()

    def _set_timer(self, now_ms: float) -> None:
        """Sets the timer for the next review unless it is already set for that time or an earlier one."""
        latest_ms = now_ms + (TICK_MS if self.queries.by_id else REFRESH_INTERVAL_MS)
        review_at_ms = self.queries.next_end_ms(now_ms, latest_ms)
        if not now_ms < self._timer_at_ms <= review_at_ms:
            self._timer_at_ms = review_at_ms
            self._actions.append(api.SetTimer(review_at_ms - now_ms, 0))
