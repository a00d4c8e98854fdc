"""Prometheus metrics of a broker, and its log lines about queries and attempts."""

from __future__ import annotations

from copy import copy

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from badgerbend import api
from badgerbend.log import get_logger
from badgerbend.runtime.ports import Attempt, CompletedQuery

BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)  # seconds


class Metrics:
    """The runtime's `Observer`: updates metrics, and logs failed attempts, faults and queries without a full answer.

    Queries whose client has disconnected are not logged. classes: names of the query classes, by index.
    """

    def __init__(self, classes: tuple[str, ...]) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.queries = Counter("badgerbend_queries_total", "Queries ended, by how", ["class", "how"], registry=registry)
        self.parts = Counter("badgerbend_parts_total", "Parts of queries ended, by class", ["class"], registry=registry)
        self.extra_attempts = Counter(
            "badgerbend_extra_attempts_total", "Attempts beyond a part's first", ["class"], registry=registry
        )
        self.attempts = Counter(
            "badgerbend_attempts_total", "Attempts ended, by outcome", ["outcome"], registry=registry
        )
        self.faults = Counter(
            "badgerbend_troubles_total", "What should be looked at, by kind", ["kind"], registry=registry
        )
        self.latency = Histogram(
            "badgerbend_query_seconds", "Time to a query's final answer", ["class"], buckets=BUCKETS, registry=registry
        )
        self.step_seconds = Counter("badgerbend_step_seconds_total", "Time spent deciding", registry=registry)
        self.steps = Counter("badgerbend_steps_total", "Steps of the module", registry=registry)
        self.events = Counter("badgerbend_events_total", "Events told to the module", registry=registry)
        self.open_queries = Gauge("badgerbend_open_queries", "Queries held", registry=registry)
        self.connections = Gauge("badgerbend_client_connections", "Connections of clients", registry=registry)
        self.servers = Gauge("badgerbend_servers", "Servers on the list, by state", ["state"], registry=registry)
        self.handshakes = Gauge(
            "badgerbend_server_handshakes", "Connections opened to servers so far", registry=registry
        )
        self.cancelled_calls = Gauge(
            "badgerbend_calls_called_off", "Calls to servers called off so far", registry=registry
        )
        self.list_age = Gauge("badgerbend_list_age_seconds", "Time since the list was last heard of", registry=registry)
        self.peers = Gauge("badgerbend_peers", "Other brokers, by what is held of them", ["state"], registry=registry)
        self.pulls = Gauge(
            "badgerbend_knowledge_pulls", "Times that peers were asked for what they know", registry=registry
        )
        self.servers_learned = Gauge(
            "badgerbend_knowledge_servers_learned", "Servers' times taken from others", registry=registry
        )
        self.datagrams = Gauge("badgerbend_membership_datagrams", "Datagrams so far", ["which"], registry=registry)
        self.sites = Gauge(
            "badgerbend_site", "What is held of a site, see docs/sites.md", ["site", "what"], registry=registry
        )
        self.site_refusals = Gauge(
            "badgerbend_site_refusals",
            "Queries refused so far for want of a site",
            ["reason", "class", "tenant"],
            registry=registry,
        )
        self.duties = Gauge("badgerbend_duty", "What this broker knows of a duty", ["duty", "what"], registry=registry)
        self.duty_totals = Gauge(
            "badgerbend_duties", "Its part in duties and votes, see docs/leases.md", ["what"], registry=registry
        )
        self._attempts_by_outcome = {outcome: self.attempts.labels(outcome.label.lower()) for outcome in api.Outcome}
        self._log = get_logger(part="broker")
        self._name_classes(classes)

    def _name_classes(self, classes: tuple[str, ...]) -> None:
        self.classes = classes
        self._queries_by_result = {
            (c, how): self.queries.labels(c, how)
            for c in classes
            for how in ("answered", "answered in part", "refused", "failed", "gone", "failed by the watch")
        }

    def for_classes(self, classes: tuple[str, ...]) -> Metrics:
        """An observer for queries of these classes that updates the same registry."""
        other = copy(self)
        other._name_classes(classes)
        return other

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, took_ms: float) -> None:
        self._attempts_by_outcome[outcome].inc()
        if outcome not in (api.Outcome.OK, api.Outcome.CANCELLED, api.Outcome.NOT_SENT):
            self._log.debug(
                "attempt lost",
                query=attempt.query_id,
                shard=attempt.plan.shard,
                attempt=attempt.number,
                server=attempt.node,
                outcome=outcome.label.lower(),
                took_ms=round(took_ms, 1),
            )

    def query_ended(self, query: CompletedQuery) -> None:
        name = self.classes[query.cls]
        self._queries_by_result[name, query.result].inc()
        self.parts.labels(name).inc(query.parts)
        if query.extra_attempts:
            self.extra_attempts.labels(name).inc(query.extra_attempts)
        self.latency.labels(name).observe(query.took_ms / 1000.0)
        if query.result not in ("answered", "gone"):
            self._log.info(
                "query ended",
                query=query.query_id,
                cls=name,
                how=query.result,
                why=query.reason,
                took_ms=round(query.took_ms, 1),
                parts=query.parts,
                extra=query.extra_attempts,
            )

    def stepped(self, events: int, seconds: float) -> None:
        self.steps.inc()
        self.events.inc(events)
        self.step_seconds.inc(seconds)

    def report_fault(self, what: str, detail: str) -> None:
        self.faults.labels(what).inc()
        self._log.warning(what, detail=detail)

    def text(self) -> bytes:
        return bytes(generate_latest(self.registry))
