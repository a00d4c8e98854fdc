"""A control machine without consensus: the publisher's commands are applied to the log immediately.

Agreement among voters is not part of this benchmark, so the time of a publication does not include its round trips.
"""

from __future__ import annotations

import time

from badgerbend.feed.log import PublicationLog, Retention
from badgerbend.feed.machine import PUBLISH_LEASE, FeedStateMachine
from badgerbend.feed.messages import Change
from badgerbend.feed.publisher import Publisher, PublisherTuning
from badgerbend.feed.signature import Ed25519Signer, Ed25519Verifier
from badgerbend.leases.messages import GrantLease, encode

SIGNER = Ed25519Signer(bytes(range(32)))
VERIFIER = Ed25519Verifier(SIGNER.public_key())


class Control:
    """A publisher and its log. cpu_s: processor time of both so far."""

    def __init__(self, retention: Retention) -> None:
        self.machine = FeedStateMachine(retention)
        self.publisher = Publisher(self.machine.log, lambda change: "", SIGNER, PublisherTuning())
        self.cpu_s = 0.0
        self._index = 0
        self._apply(encode(GrantLease(PUBLISH_LEASE, "control-1", self.machine.table.lease(PUBLISH_LEASE).epoch)))
        self.publisher.lease_granted(0.0, self.machine.table.lease(PUBLISH_LEASE).epoch)

    @property
    def log(self) -> PublicationLog:
        return self.machine.log

    def submit(self, now: float, changes: tuple[Change, ...]) -> None:
        """Submits changes. Raises ValueError if the publisher rejects them."""
        began = time.process_time()
        problems = self.publisher.submit(now, changes)
        self.cpu_s += time.process_time() - began
        if problems:
            raise ValueError(problems[0].reason)

    def apply_due_commands(self, now: float) -> bool:
        """Applies the commands that are due. Returns whether the log has grown."""
        began = time.process_time()
        before = self.log.revision
        self.publisher.tick(now)
        for command in self.publisher.take_commands():
            self._apply(command)
        self.publisher.log_advanced(now)
        self.cpu_s += time.process_time() - began
        return self.log.revision > before

    def restart_from_dump(self) -> None:
        """Restores the log from its dump, as after a restart: it keeps content and checkpoint but no publications."""
        self.machine.load(self.machine.dump())

    def _apply(self, command: bytes) -> None:
        self._index += 1
        self.machine.apply(self._index, command)
