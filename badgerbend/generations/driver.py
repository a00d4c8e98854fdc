"""The driver of a generation, which starts from the observations of earlier generations."""

from __future__ import annotations

from dataclasses import replace

from badgerbend import api
from badgerbend.runtime.driver import Driver

MAX_INHERITED_ANSWERS = 400  # response times of servers passed from one generation to the next


class SuccessorDriver(Driver):
    """A driver that adds its own observations to those of the previous generation."""

    _inherited = api.Observations((), ())
    _inherited_at_ms = 0.0

    def inherit(self, observations: api.Observations) -> None:
        """Pass the observations of earlier generations to the module, and count them as this broker's own."""
        self._inherited = observations
        self._inherited_at_ms = self.schedule.now_ms()
        self.add_observations(observations)

    def observations(self) -> api.Observations:
        """Return what this broker itself has observed, under this configuration and the ones before it."""
        own = super().observations()
        elapsed_ms = self.schedule.now_ms() - self._inherited_at_ms
        nodes = {node.node: replace(node, age_ms=node.age_ms + elapsed_ms) for node in self._inherited.nodes}
        nodes |= {node.node: node for node in own.nodes}
        inherited_answers = tuple(
            (age_ms + elapsed_ms, time_ms, censored) for age_ms, time_ms, censored in self._inherited.answers
        )
        answers = (*inherited_answers, *own.answers)[-MAX_INHERITED_ANSWERS:]
        return api.Observations(tuple(nodes.values()), answers)
