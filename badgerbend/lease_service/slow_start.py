"""One broker's part in dealing cold allowance: it asks while something is cold, and deals while it holds the duty."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from badgerbend import api
from badgerbend.config.settings import Settings
from badgerbend.discovery.directory import Directory
from badgerbend.leases.messages import BudgetReply, BudgetRequest
from badgerbend.leases.slow_start import BrokerBudget, BudgetAllocator, BudgetTiming

SLOW_START_DUTY = (
    "cold"  # the duty's name: one for the whole fleet, since brokers of all sites may send to a cold server
)
ASKS = 4.0  # times that a broker asks while a slice lasts: three may be lost


def broker_name(settings: Settings) -> str:
    """A broker's name among those that share duties."""
    return f"broker-{settings.identity.index}"


def broker_budget(settings: Settings) -> BrokerBudget | None:
    """What a broker is dealt, for its decisions; None where nothing is dealt."""
    duties = settings.duties
    if duties is None or not duties.dealing:
        return None
    lengths = BudgetTiming(duties.slice_ms, duties.clock_rate)
    return BrokerBudget(broker_name(settings), SLOW_START_DUTY, lengths, int(time.time() * 1000))


class BudgetExchange:
    """now_ms: the clock of the decisions, by which own slices are counted. cold_ms: a server is cold for so long."""

    def __init__(self, slices: BrokerBudget, directory: Directory, cold_ms: float, now_ms: Callable[[], float]) -> None:
        self.slices, self.directory, self.cold_ms, self.now_ms = slices, directory, cold_ms, now_ms
        self.dealer = BudgetAllocator(slices.name, SLOW_START_DUTY, slices.lengths)
        self.epoch = 0  # under which this broker deals
        self.unheard = 0  # asks since the last answer

    @property
    def every_s(self) -> float:
        """How often to ask, before the chance in it."""
        return self.slices.lengths.slice_ms / 1000.0 / ASKS

    def asks(self) -> list[BudgetRequest]:
        """What to say to the dealer now; nothing while nothing is cold."""
        now = self.now_ms()
        cold = {
            known.number: (name, known.started)
            for name, known in self.directory.known.items()
            if known.line.state == api.EndpointState.READY
            and known.started_ms
            and now - known.started_ms < self.cold_ms
        }
        self.slices.listed(now, cold)
        asks = self.slices.ask(now)
        self.unheard = self.unheard + 1 if asks else 0
        return asks

    def asked(self, clock_ms: float, epoch: int | None, ask: BudgetRequest) -> BudgetReply | None:
        """A broker's word; epoch: under which this one may act at this moment. What to answer, if anything."""
        if ask.duty != SLOW_START_DUTY:
            return None
        if epoch is None:
            self.rest()
            return None
        if epoch != self.epoch:
            self.epoch = epoch
            self.dealer.begin(clock_ms)
        return self.dealer.ask(clock_ms, epoch, ask)

    def rest(self) -> None:
        """This broker does not hold the duty."""
        if self.epoch:
            self.epoch = 0
            self.dealer.stop()

    def told(self, dealt: BudgetReply) -> None:
        self.unheard = 0
        self.slices.told(self.now_ms(), dealt)

    def status(self) -> dict[str, Any]:
        """For a person: what is cold, what this broker may send there, and what it deals to others."""
        now, own = self.now_ms(), self.slices
        things = {t.name: t for t in (*own.nodes.values(), *own.sites.values())}
        return {
            "cold": [
                {"thing": name, "own_per_s": t.own * 1000.0, "dealt_per_s": t.pace * 1000.0 if now < t.until else None}
                for name, t in sorted(things.items())
            ],
            "slices": own.dealt,
            "dealt": self.dealer.slices,
            "books": len(self.dealer.books),
            "unheard": self.unheard,
        }
