"""One generation of a broker: the components that are built for one configuration."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import count

from badgerbend import api
from badgerbend.config.module import module_settings
from badgerbend.config.settings import Settings
from badgerbend.decisions import Aggregator
from badgerbend.discovery.directory import Directory
from badgerbend.generations.driver import SuccessorDriver
from badgerbend.graphql.fetch import FetchTransport
from badgerbend.graphql.front import GraphQLFront
from badgerbend.graphql.schema import Subgraph
from badgerbend.metrics import Metrics
from badgerbend.net.client import Pool
from badgerbend.peering.observer import AnswerObserver
from badgerbend.runtime.loop import LoopSchedule
from badgerbend.runtime.ports import Attempt, ServerList

AggregatorFactory = Callable[
    [api.Settings, int, api.SitePreference | None, api.SlowStartBudget | None],
    Aggregator,
]


@dataclass(frozen=True, slots=True)
class SharedResources:
    """The resources that all generations of one broker share.

    ids: numbers for queries and parts. They are unique across generations because the site preference and the slow
    start budget, which are shared too, identify queries and parts by number.
    """

    loop: asyncio.AbstractEventLoop
    directory: Directory
    servers: ServerList
    pool_of: Callable[[int], Pool | None]
    metrics: Metrics
    make_aggregator: AggregatorFactory
    site_preference: api.SitePreference | None
    slow_start_budget: api.SlowStartBudget | None
    ids: Iterator[int] = field(default_factory=lambda: count(1))


class Generation:
    """The components built for one configuration.

    on_idle: called after each turn of the event loop that leaves no query and no attempt in flight.
    """

    def __init__(
        self,
        settings: Settings,
        graph: Subgraph,
        shared: SharedResources,
        on_idle: Callable[[Generation], None],
    ) -> None:
        self.settings = settings
        self.graph = graph
        self.on_idle = on_idle
        module = module_settings(settings)
        seed = settings.seed * 1_000_003 + settings.identity.index
        aggregator = shared.make_aggregator(module, seed, shared.site_preference, shared.slow_start_budget)
        self.answer_observer = AnswerObserver(
            shared.metrics.for_classes(tuple(query_class.name for query_class in settings.class_))
        )
        self.schedule = LoopSchedule(shared.loop)
        self.transport = FetchTransport(
            shared.pool_of,
            self._attempt_ended,
            settings.identity.index,
            settings.servers.report,
        )
        self.driver = SuccessorDriver(
            module,
            aggregator,
            self.transport,
            shared.servers,
            self.schedule,
            self.answer_observer,
            shared.ids,
        )
        self.front = GraphQLFront(settings, graph, self.driver, self.schedule.now_ms)
        self.schedule.turn = self._turn

    @property
    def idle(self) -> bool:
        """Whether no request that began under this configuration is still in flight."""
        return self.driver.idle and not self.front.operations

    def begin(self, directory: Directory, observations: api.Observations) -> None:
        """Pass the driver the current endpoint list and the observations of its servers by earlier generations."""
        endpoints = tuple(server.endpoint for server in directory.servers.values())
        self.driver.update_endpoints(api.EndpointUpdate(api.UpdateKind.CACHED, endpoints))
        listed = tuple(node for node in observations.nodes if node.node in directory.names)
        if listed or observations.answers:
            self.driver.inherit(api.Observations(listed, observations.answers))

    def close(self) -> None:
        """Stop processing events on the event loop."""
        self.schedule.close()

    def _attempt_ended(
        self,
        attempt: Attempt,
        outcome: api.Outcome,
        result: object,
        report: tuple[float, ...] = (),
    ) -> None:
        self.driver.attempt_completed(attempt, outcome, result, report)

    def _turn(self) -> None:
        self.driver.turn()
        if self.idle:
            self.on_idle(self)
