"""Builds the components of one broker process, starts them and stops them in order."""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from badgerbend import api
from badgerbend.config.settings import Settings
from badgerbend.decisions import Aggregator
from badgerbend.discovery.consul import ConsulTarget
from badgerbend.discovery.consul_rows import consul_directory
from badgerbend.discovery.keyed import KeyedList, keyed_directory
from badgerbend.discovery.watch import Watch
from badgerbend.generations.generation import Generation, SharedResources
from badgerbend.generations.manager import GenerationManager
from badgerbend.graphql.front import GraphQLFront
from badgerbend.graphql.schema import Subgraph, create_subgraph
from badgerbend.lease_service.budget_exchange import create_broker_budget
from badgerbend.lease_service.http import handle_duties
from badgerbend.lease_service.service import LeaseService
from badgerbend.lease_service.service_metrics import update_metrics
from badgerbend.log import get_logger
from badgerbend.metrics import Metrics
from badgerbend.net.exchange import Exchange
from badgerbend.net.pool_limits import PoolLimits
from badgerbend.net.request_parser import Request
from badgerbend.net.server import HttpServer
from badgerbend.net.server_limits import ServerLimits
from badgerbend.peering.service import KnowledgeExchange
from badgerbend.pools import ServerPools
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.loop import now_ms
from badgerbend.site_service.service import SiteService
from badgerbend.sites.preference import LocalityPreference

if TYPE_CHECKING:
    from badgerbend.feed_subscription.subscription import FeedSubscription

SWEEP_INTERVAL_S = 0.5  # between checks for idle connections to servers
METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


def read_subgraph(settings: Settings, settings_file: Path) -> Subgraph:
    """Reads the subgraph of a settings file; its schema path is relative to that file. Raises OSError, SchemaError."""
    text = (settings_file.parent / settings.schema).read_text(encoding="utf-8")
    return create_subgraph(settings, text)


def tune_garbage_collector() -> None:
    """Excludes the objects made at startup from garbage collection and makes collections rare.

    Few objects of a broker form reference cycles, so reference counting frees almost all of them. The first threshold
    counts allocations net of deallocations; the other two count collections of the next younger generation.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)


class Broker:
    """A broker with its HTTP server, connection pools, endpoint watch and optional services.

    It is built and used on one running event loop. Subclasses that serve as baselines for comparisons override
    `decisions`, `preference_type` and `preference`.

    folder: the directory that file names in the settings are relative to. clock: the clock of the leases, in seconds.
    Raises ValueError or OSError if a key of the site service or the feed cannot be used, and KeyFileError if a key of
    the lease service (`duties` in the settings) cannot be used.
    """

    decisions = Aggregator
    preference_type = LocalityPreference

    def __init__(
        self,
        settings: Settings,
        graph: Subgraph,
        folder: Path = Path(),  # noqa: B008
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.settings, self.loop = settings, loop
        self.log = get_logger(part="broker")
        self.metrics = Metrics(tuple(c.name for c in settings.class_))
        is_list_from_feed = settings.feed is not None and settings.feed.list
        self.directory = (keyed_directory if is_list_from_feed else consul_directory)(settings.layout.cells)
        limits, listen = settings.servers, settings.listen
        self.pools = ServerPools(
            self.directory,
            PoolLimits(limits.connect_timeout_ms / 1000.0, limits.idle_ms / 1000.0, limits.max_answer_bytes),
        )
        self.watch = self._create_keyed_list() if is_list_from_feed else self._create_consul_watch()
        self.site_service: SiteService | None = None
        if settings.sites is not None:
            self.site_service = SiteService(
                settings, settings.sites, folder, self.pools.get, now_ms, self.metrics, self.preference_type
            )
        preference = self.preference()
        broker_budget = create_broker_budget(settings)
        if self.site_service is not None:
            self.site_service.preference.use_slow_start_budget(broker_budget)
        shared = SharedResources(
            loop, self.directory, self.watch, self.pools.get, self.metrics, self.decisions, preference, broker_budget
        )
        self.generations = GenerationManager(settings, graph, shared)
        self.knowledge_exchange: KnowledgeExchange | None = None
        if settings.peers is not None or settings.snapshot is not None:
            self.knowledge_exchange = KnowledgeExchange(
                settings, self.driver, self.directory, self.metrics.report_fault
            )
        self.lease_service: LeaseService | None = None
        if settings.duties is not None:
            self.lease_service = LeaseService(
                settings, settings.duties, folder, self.driver, self.directory, self.pools.get, broker_budget, clock
            )
        self._use_generation(self.generations.current)
        self.generations.on_current_changed = self._use_generation
        self.feed_subscription = self._subscribe_to_feed(folder)
        self.server = HttpServer(
            self._route,
            ServerLimits(
                listen.max_connections,
                listen.max_head_bytes,
                listen.max_body_bytes,
                listen.read_timeout_ms / 1000.0,
                listen.idle_timeout_ms / 1000.0,
            ),
            self._answer_by,
        )
        self.port = 0
        self._sweeper: asyncio.TimerHandle | None = None
        self._state_counts: dict[str, int] = {}
        self.watch.on_applied = self._endpoint_list_loaded

    def _create_keyed_list(self) -> KeyedList | Watch:
        """Creates the endpoint list that the feed subscription fills."""
        return KeyedList(
            self.directory, self.loop, now_ms, time.time, self._update_endpoints, self.metrics.report_fault
        )

    def _create_consul_watch(self) -> KeyedList | Watch:
        settings, index = self.settings, self.settings.identity.index
        return Watch(
            ConsulTarget(settings.discovery),
            self.directory,
            self.loop,
            now_ms,
            time.time,
            self._update_endpoints,
            self.metrics.report_fault,
            settings.seed + index,
            f"badgerbend/{index}",
        )

    def _subscribe_to_feed(self, folder: Path) -> FeedSubscription | None:
        """Creates the feed subscription, whose code is loaded only if the settings configure a feed."""
        if self.settings.feed is None:
            return None
        from badgerbend.feed_subscription.subscription import FeedSubscription

        keyed_list = self.watch if isinstance(self.watch, KeyedList) else None
        return FeedSubscription(self.settings, self.settings.feed, folder, self.generations, self.metrics, keyed_list)

    def _update_endpoints(self, update: api.EndpointUpdate) -> None:
        self.generations.update_endpoints(update)

    @property
    def driver(self) -> Driver:
        """The driver of the current configuration."""
        return self.generations.current.driver

    @property
    def front(self) -> GraphQLFront:
        """The GraphQL front end of the current configuration."""
        return self.generations.current.front

    def _use_generation(self, generation: Generation) -> None:
        """Attaches the knowledge exchange and the lease service to the current configuration."""
        generation.answer_observer.knowledge_exchange = self.knowledge_exchange
        for service in (self.knowledge_exchange, self.lease_service):
            if service is not None:
                service.driver = generation.driver

    def preference(self) -> api.SitePreference | None:
        """The policy by which the decision module chooses among sites, if there are several."""
        return self.site_service.preference if self.site_service is not None else None

    async def start(self) -> int:
        """Listens and starts to watch the endpoint list; returns the port.

        Raises OSError if it cannot listen, KeyFileError if a key file of the knowledge exchange cannot be used, and
        StoreError if the lease service cannot use its store.
        """
        self.port = await self.server.start(self.settings.listen.host, self.settings.listen.port)
        if self.knowledge_exchange is not None:
            await self.knowledge_exchange.start()
        if self.lease_service is not None:
            await self.lease_service.start()
        self.watch.start()
        if self.site_service is not None:
            self.site_service.start()
        # This empty update lets the decision module set its first timer and, in the `ask` mode of the discovery
        # settings, request the endpoint list.
        self.driver.update_endpoints(api.EndpointUpdate(api.UpdateKind.CACHED, ()))
        if self.feed_subscription is not None:
            self.feed_subscription.start()
        self._sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.log.info("listening", host=self.settings.listen.host, port=self.port)
        return self.port

    async def stop(self) -> int:
        """Stops listening and lets open requests finish within `stop-timeout-ms`; returns how many were cut off."""
        started_at = self.loop.time()
        if self.feed_subscription is not None:
            self.feed_subscription.close()
        if self.lease_service is not None:
            await self.lease_service.close()  # before open requests finish: other brokers wait for its leases
        cut_off = await self.server.close(self.settings.listen.stop_timeout_ms / 1000.0)
        self.watch.close()
        if self.site_service is not None:
            self.site_service.close()
        if self.knowledge_exchange is not None:
            await self.knowledge_exchange.close()
        self.pools.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.log.info("stopped", cut=cut_off, took_ms=round((self.loop.time() - started_at) * 1000))
        return cut_off

    def _answer_by(self, request: Request) -> float:
        return self.front.answer_by(request)

    def _route(self, exchange: Exchange) -> None:
        path = exchange.target.split(b"?", 1)[0]
        if path == b"/graphql":
            self.front.handle(exchange)
        elif path == b"/metrics":
            self._update_gauges()
            exchange.respond(200, self.metrics.text(), METRICS_CONTENT_TYPE)
        elif path == b"/peers":
            exchange.respond(200, self._peers_status(), b"application/json")
        elif path.startswith(b"/duties"):
            handle_duties(self.lease_service, exchange, path)
        elif path.startswith(b"/sites") and self.site_service is not None:
            self.site_service.handle(exchange)
        elif path == b"/ready":
            ready = self.watch.refreshed_at is not None
            exchange.respond(200 if ready else 503, b"ready\n" if ready else b"no list yet\n", b"text/plain")
        else:
            exchange.respond(404, b"not found; GraphQL is at /graphql\n", b"text/plain")

    def _peers_status(self) -> bytes:
        """The status page of the peers, as JSON."""
        if self.knowledge_exchange is None:
            return msgspec.json.encode({"members": []})
        return msgspec.json.encode(self.knowledge_exchange.status())

    def _endpoint_list_loaded(self) -> None:
        """Updates metrics, connection pools and peers after a new endpoint list has been loaded."""
        states = [known.endpoint.state for known in self.directory.servers.values()]
        counts = {s.label: states.count(s) for s in api.EndpointState}
        if counts != self._state_counts:
            self._state_counts = counts
            for state, count in counts.items():
                self.metrics.servers.labels(state).set(count)
            self.log.info("list", **counts)
        self.pools.endpoint_list_loaded()
        if self.knowledge_exchange is not None:
            self.knowledge_exchange.endpoint_list_loaded()

    def _sweep(self) -> None:
        self.pools.sweep(self.loop.time())
        self._sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _update_gauges(self) -> None:
        metrics = self.metrics
        metrics.open_queries.set(self.generations.open_queries)
        metrics.connections.set(len(self.server.connections))
        metrics.handshakes.set(self.pools.opened)
        metrics.cancelled_calls.set(self.generations.cancelled_calls)
        if self.site_service is not None:
            self.site_service.update_metrics()
        if self.knowledge_exchange is not None:
            metrics.pulls.set(self.knowledge_exchange.pulls)
            metrics.servers_learned.set(self.knowledge_exchange.servers_learned)
            states = [member.state for member in self.knowledge_exchange.status().members]
            for state in ("alive", "suspect", "dead", "left"):
                metrics.peers.labels(state).set(states.count(state))
            socket = self.knowledge_exchange.socket
            if socket is not None:
                for which, count in (("sent", socket.sent), ("received", socket.received), ("refused", socket.refused)):
                    metrics.datagrams.labels(which).set(count)
        if self.lease_service is not None:
            update_metrics(self.lease_service, metrics)
        if self.feed_subscription is not None and isinstance(self.watch, KeyedList):
            metrics.list_age.set(self.feed_subscription.age_s)
        elif self.watch.refreshed_at is not None:
            metrics.list_age.set(self.loop.time() - self.watch.refreshed_at)
