"""Services of a list that a watch has polled before it moved to another one, and that may still answer open polls."""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.discovery.polls import OverduePolls, Poll, Timer
from badgerbend.discovery.target import Target
from badgerbend.net.client import Pool

MAX_PREDECESSORS = 2
"""The number of services whose polls are left open: the one that answered last, and the latest one."""

MAX_LATER_POLLS = 4
"""The number of polls that are left open at services after the one that answered last."""

MAX_PREDECESSOR_S = 4.0
"""How long the polls of a service stay open after the move; by then the broker counts as notified by the new one."""


@dataclass(slots=True, eq=False)
class Predecessor:
    """A service that is no longer polled.

    applied_version: the version of the last list of it that was applied. left_at: when the watch moved on. retry_timer:
    set after a poll was rejected.
    """

    target: Target
    pool: Pool
    polls: OverduePolls
    applied_version: int | None
    left_at: float
    retry_timer: Timer | None = None

    def is_news(self, version: int | None) -> bool:
        """Whether a list of this version is newer than the last one."""
        return version is not None and (self.applied_version is None or version > self.applied_version)

    def close(self) -> None:
        """Aborts the open polls and closes the connections."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.polls.abort()
        self.pool.close()


class Predecessors:
    """The predecessors of the current service, oldest first.

    Guards against changes that the broker counts as notified of because the previous service was answering with them,
    and that reach it late because the new service is silent or slow.
    """

    def __init__(self) -> None:
        self._services: list[Predecessor] = []

    def add(self, service: Predecessor) -> None:
        """Adds the latest predecessor; its idle connections are closed."""
        if self._services:
            service.polls.keep_latest(MAX_LATER_POLLS)
        service.pool.close_idle()
        self._services.append(service)
        if len(self._services) > MAX_PREDECESSORS:
            self._services.pop(1).close()  # the first one is the last that has answered

    def owner_of(self, poll: Poll) -> Predecessor | None:
        """Returns the service to which a poll was sent, unless it is the current one."""
        return next((service for service in self._services if poll in service.polls.polls), None)

    def release_one(self, now: float) -> bool:
        """Aborts an overdue poll after another one was rejected; returns whether it did."""
        return any(service.polls.release_one(now) for service in self._services)

    def close_expired(self, now: float) -> None:
        """Closes the predecessors that were left too long ago."""
        while self._services and now - self._services[0].left_at > MAX_PREDECESSOR_S:
            self._services.pop(0).close()

    def close(self) -> None:
        """Closes all predecessors."""
        services, self._services = self._services, []
        for service in services:
            service.close()
