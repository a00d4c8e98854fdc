"""The settings and state that the decisions of one broker share."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from badgerbend import api
from badgerbend.decisions.endpoints import EndpointTracker
from badgerbend.decisions.latency import LatencyEstimate
from badgerbend.decisions.queries import QueryTable
from badgerbend.decisions.rates import TrafficRates


@dataclass(frozen=True, slots=True)
class DecisionContext:
    """The settings and state that most modules use.

    random: the source of all random choices.
    sites: preference among sites, if there is one.
    actions: the actions of the current step, in order.
    """

    settings: api.Settings
    random: Random
    sites: api.SitePreference | None
    queries: QueryTable
    rates: TrafficRates
    latency: LatencyEstimate
    endpoints: EndpointTracker
    actions: list[api.Action] = field(default_factory=list)
