"""The driver of a generation: it continues with the observations that earlier generations made."""

from __future__ import annotations

from dataclasses import replace

from badgerbend import api
from badgerbend.runtime.driver import Driver

MAX_INHERITED_ANSWERS = 400  # response times of servers handed from one generation to the next


class SuccessorDriver(Driver):
    """A driver whose own observations continue those of the generation before it."""

    _inherited = api.Observations((), ())
    _inherited_at_ms = 0.0

    def inherit(self, observations: api.Observations) -> None:
        """Pass what earlier generations of this broker observed to the module, and count it as observed here."""
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
