"""The current generation of a broker and the earlier generations that are still draining."""

from __future__ import annotations

from collections.abc import Callable

from badgerbend import api
from badgerbend.config.settings import Settings
from badgerbend.generations.generation import Generation, SharedResources
from badgerbend.graphql.schema import Subgraph

MAX_GENERATIONS = 16  # live at once; each holds decision state for every server of the endpoint list


class GenerationManager:
    """Creates generations and closes those that have drained.

    on_current_changed: called with a generation as it becomes the current one.
    on_drained: called after a draining generation has been closed, within a turn of the event loop.
    """

    def __init__(self, settings: Settings, graph: Subgraph, shared: SharedResources) -> None:
        self.shared = shared
        self.draining: list[Generation] = []
        self.on_current_changed: Callable[[Generation], None] = lambda generation: None
        self.on_drained: Callable[[], None] = lambda: None
        self._cancelled_by_closed = 0
        self.current = self._create(settings, graph)

    @property
    def has_capacity(self) -> bool:
        """Whether another generation may be created now."""
        return len(self.draining) + 1 < MAX_GENERATIONS

    @property
    def live(self) -> tuple[Generation, ...]:
        """The current generation, followed by the draining ones, oldest first."""
        return (self.current, *self.draining)

    @property
    def open_queries(self) -> int:
        """The number of queries in flight in all generations."""
        return sum(len(generation.driver.queries) for generation in self.live)

    @property
    def cancelled_calls(self) -> int:
        """The number of calls to servers that have been cancelled so far."""
        return self._cancelled_by_closed + sum(generation.transport.cancelled_calls for generation in self.live)

    def activate(self, settings: Settings, graph: Subgraph) -> None:
        """Make a configuration the current one.

        It must be called between two turns of the event loop, and only while `has_capacity` is true.
        """
        previous = self.current
        self.current = self._create(settings, graph)
        self.current.begin(self.shared.directory, previous.driver.observations())
        self.on_current_changed(self.current)
        self.draining.append(previous)
        self._close_if_drained(previous)

    def update_endpoints(self, update: api.EndpointUpdate) -> None:
        """Pass an endpoint list update to all live generations."""
        for generation in self.live:
            generation.driver.update_endpoints(update)

    def _create(self, settings: Settings, graph: Subgraph) -> Generation:
        return Generation(settings, graph, self.shared, self._close_if_drained)

    def _close_if_drained(self, generation: Generation) -> None:
        """Close a draining generation that has nothing in flight any more."""
        if generation in self.draining and generation.idle:
            self.draining.remove(generation)
            self._cancelled_by_closed += generation.transport.cancelled_calls
            generation.close()
            self.on_drained()
