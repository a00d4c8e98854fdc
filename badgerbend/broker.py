"""One broker process: the parts put together, started, and stopped cleanly."""

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
from badgerbend.net.client import PoolLimits
from badgerbend.net.server import Exchange, HttpServer, ServerLimits
from badgerbend.peering.service import KnowledgeExchange
from badgerbend.pools import ServerPools
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.loop import now_ms
from badgerbend.site_service.service import SiteService
from badgerbend.sites.preference import LocalityPreference

if TYPE_CHECKING:
    from badgerbend.feed_subscription.subscription import FeedSubscription

SWEEP_S = 0.5
TEXT = b"text/plain; version=0.0.4; charset=utf-8"


def read_subgraph(settings: Settings, settings_file: Path) -> Subgraph:
    """The subgraph of a settings file; the schema's path is relative to it. Raises OSError, SchemaError."""
    text = (settings_file.parent / settings.schema).read_text(encoding="utf-8")
    return create_subgraph(settings, text)


def tune_garbage_collector() -> None:
    """Once started: what lives on is left out of collections, which come seldom; few objects here form cycles."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(50_000, 20, 50)


class Broker:
    """Built and used on one running loop. Baselines put others in the place of `decisions`, `preference_type` and
    `preference`.

    folder: what files named in the settings are relative to. clock: of its duties, in seconds. Raises ValueError or
    OSError for a sites' key, BadKey for that of the duties.
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
        listed_by_feed = settings.feed is not None and settings.feed.list
        self.directory = (keyed_directory if listed_by_feed else consul_directory)(settings.layout.cells)
        limits, listen = settings.servers, settings.listen
        self.pools = ServerPools(
            self.directory,
            PoolLimits(limits.connect_timeout_ms / 1000.0, limits.idle_ms / 1000.0, limits.max_answer_bytes),
        )
        self.watch = self._keyed_list() if listed_by_feed else self._consul_watch()
        self.site_service: SiteService | None = None
        if settings.sites is not None:
            self.site_service = SiteService(
                settings, settings.sites, folder, self.pools.of, now_ms, self.metrics, self.preference_type
            )
        preference = self.preference()
        broker_budget = create_broker_budget(settings)
        if self.site_service is not None:
            self.site_service.preference.use_slow_start_budget(broker_budget)
        shared = SharedResources(
            loop, self.directory, self.watch, self.pools.of, self.metrics, self.decisions, preference, broker_budget
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
                settings, settings.duties, folder, self.driver, self.directory, self.pools.of, broker_budget, clock
            )
        self._follow_generation(self.generations.current)
        self.generations.on_current_changed = self._follow_generation
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
        )
        self.port = 0
        self._sweeper: asyncio.TimerHandle | None = None
        self._counts: dict[str, int] = {}
        self.watch.on_applied = self._taken

    def _keyed_list(self) -> KeyedList | Watch:
        """The list as the feed brings it."""
        return KeyedList(self.directory, self.loop, now_ms, time.time, self._view, self.metrics.report_fault)

    def _consul_watch(self) -> KeyedList | Watch:
        settings, index = self.settings, self.settings.identity.index
        return Watch(
            ConsulTarget(settings.discovery),
            self.directory,
            self.loop,
            now_ms,
            time.time,
            self._view,
            self.metrics.report_fault,
            settings.seed + index,
            f"badgerbend/{index}",
        )

    def _subscribe_to_feed(self, folder: Path) -> FeedSubscription | None:
        """The broker's subscription to the feed, whose code is loaded only where the settings ask for it."""
        if self.settings.feed is None:
            return None
        from badgerbend.feed_subscription.subscription import FeedSubscription

        listed = self.watch if isinstance(self.watch, KeyedList) else None
        return FeedSubscription(self.settings, self.settings.feed, folder, self.generations, self.metrics, listed)

    def _view(self, view: api.EndpointUpdate) -> None:
        self.generations.update_endpoints(view)

    @property
    def driver(self) -> Driver:
        """That of the newest configuration."""
        return self.generations.current.driver

    @property
    def front(self) -> GraphQLFront:
        """That of the newest configuration."""
        return self.generations.current.front

    def _follow_generation(self, generation: Generation) -> None:
        """Who learns and who shares duties does so for the newest configuration."""
        generation.answer_observer.knowledge_exchange = self.knowledge_exchange
        for part in (self.knowledge_exchange, self.lease_service):
            if part is not None:
                part.driver = generation.driver

    def preference(self) -> api.SitePreference | None:
        """What the module prefers among sites by."""
        return self.site_service.preference if self.site_service is not None else None

    async def start(self) -> int:
        """Listens and begins to follow the list; returns the port. Raises OSError where it cannot listen, BadKey,
        BadStore."""
        self.port = await self.server.start(self.settings.listen.host, self.settings.listen.port)
        if self.knowledge_exchange is not None:
            await self.knowledge_exchange.start()
        if self.lease_service is not None:
            await self.lease_service.start()
        self.watch.start()
        if self.site_service is not None:
            self.site_service.start()
        # a first event, so that the module asks for the list where that is its part, and for its first alarm
        self.driver.update_endpoints(api.EndpointUpdate(api.UpdateKind.CACHED, ()))
        if self.feed_subscription is not None:
            self.feed_subscription.start()
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)
        self.log.info("listening", host=self.settings.listen.host, port=self.port)
        return self.port

    async def stop(self) -> int:
        """Stops listening, lets what is held end, within `stop-timeout-ms`; returns how many were cut."""
        began = self.loop.time()
        if self.feed_subscription is not None:
            self.feed_subscription.close()
        if self.lease_service is not None:
            await self.lease_service.close()  # first: others wait for what it holds
        cut = await self.server.close(self.settings.listen.stop_timeout_ms / 1000.0)
        self.watch.close()
        if self.site_service is not None:
            self.site_service.close()
        if self.knowledge_exchange is not None:
            await self.knowledge_exchange.close()
        self.pools.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.log.info("stopped", cut=cut, took_ms=round((self.loop.time() - began) * 1000))
        return cut

    def _route(self, exchange: Exchange) -> None:
        path = exchange.target.split(b"?", 1)[0]
        if path == b"/graphql":
            self.front.handle(exchange)
        elif path == b"/metrics":
            self._gauges()
            exchange.respond(200, self.metrics.text(), TEXT)
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
        """The status page of peers, as JSON."""
        if self.knowledge_exchange is None:
            return msgspec.json.encode({"members": []})
        return msgspec.json.encode(self.knowledge_exchange.status())

    def _taken(self) -> None:
        """A list is in force: what hangs on the whole of it."""
        states = [known.endpoint.state for known in self.directory.servers.values()]
        counts = {s.label: states.count(s) for s in api.EndpointState}
        if counts != self._counts:
            self._counts = counts
            for state, n in counts.items():
                self.metrics.servers.labels(state).set(n)
            self.log.info("list", **counts)
        self.pools.list_taken()
        if self.knowledge_exchange is not None:
            self.knowledge_exchange.endpoint_list_loaded()

    def _sweep(self) -> None:
        self.pools.sweep(self.loop.time())
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)

    def _gauges(self) -> None:
        m = self.metrics
        m.open.set(self.generations.open_queries)
        m.connections.set(len(self.server.connections))
        m.handshakes.set(self.pools.opened)
        m.called_off.set(self.generations.cancelled_calls)
        if self.site_service is not None:
            self.site_service.update_metrics()
        if self.knowledge_exchange is not None:
            m.pulls.set(self.knowledge_exchange.pulls)
            m.learned.set(self.knowledge_exchange.servers_learned)
            states = [member.state for member in self.knowledge_exchange.status().members]
            for state in ("alive", "suspect", "dead", "left"):
                m.peers.labels(state).set(states.count(state))
            socket = self.knowledge_exchange.socket
            if socket is not None:
                for which, n in (("sent", socket.sent), ("received", socket.received), ("refused", socket.refused)):
                    m.datagrams.labels(which).set(n)
        if self.lease_service is not None:
            update_metrics(self.lease_service, m)
        if self.feed_subscription is not None and isinstance(self.watch, KeyedList):
            m.list_age.set(self.feed_subscription.age_s)
        elif self.watch.refreshed_at is not None:
            m.list_age.set(self.loop.time() - self.watch.refreshed_at)
