"""The process of a control machine: voter, publishing lease, publisher and relay, joined as in the product."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from badgerbend.feed.messages import Change
from badgerbend.feed_service.control import ControlServer
from badgerbend.feed_service.control_settings import ControlSettings
from badgerbend.wal.store import create_store
from scale.feed_control import SIGNER
from scale.feed_messages import (
    Command,
    ControlStatus,
    GetStatus,
    Listening,
    Measure,
    Measured,
    Publish,
    Published,
    Reply,
    StartVoter,
)
from scale.feed_relays import HOST
from scale.feed_usage import peak_bytes, resident_bytes

KEYS = (b"the key of a scale test's control machines",)
NOT_PUBLISHED = 0  # takes the place of a revision
COMMIT_POLL_S = 0.002  # between checks whether a publication has been committed


def discard_log_line(what: str, **values: object) -> None:
    """Discards the log lines of the control machine; the benchmark requests its status instead."""


class VoterWorker:
    """Executes the commands for a control machine."""

    def __init__(self) -> None:
        self.server: ControlServer | None = None

    async def handle(self, command: Command) -> Reply:
        match command:
            case StartVoter():
                return await self._start(command)
            case Publish():
                return await self._publish(command.changes)
            case GetStatus():
                return self._status()
            case Measure():
                return self._measure()
        raise ValueError(type(command).__name__)

    async def _start(self, command: StartVoter) -> Listening:
        store = Path(command.store)
        create_store(store, command.name, [voter.name for voter in command.voters])
        voters = {voter.name: (HOST, voter.port) for voter in command.voters}
        settings = ControlSettings(command.name, store, voters, (HOST, 0), KEYS)
        self.server = ControlServer(settings, SIGNER, lambda change: "", discard_log_line)
        return Listening((await self.server.start(),))

    async def _publish(self, changes: tuple[Change, ...]) -> Published:
        """Publishes changes and waits until the last of them is committed.

        If the lease under which they were submitted ends first, the reply has revision 0 and the caller has to submit
        the changes again.
        """
        server = self.server
        assert server is not None
        submitted, epoch = time.monotonic(), server.publisher.epoch
        if not server.is_publisher:
            return Published(NOT_PUBLISHED, submitted, b"")
        problems = server.submit(changes)
        if problems:
            raise ValueError(problems[0].reason)
        log, last = server.relay.log, changes[-1]
        while log.content.get(last.key) != last.value:
            if server.publisher.epoch != epoch:
                return Published(NOT_PUBLISHED, submitted, b"")
            await asyncio.sleep(COMMIT_POLL_S)
        return Published(log.revision, submitted, log.content.digest())

    def _status(self) -> ControlStatus:
        assert self.server is not None
        server, revision = self.server, self.server.relay.log.revision
        progress = server.progress(revision)
        return ControlStatus(server.local_voter.voter.is_leader, server.is_publisher, revision, progress.applied)

    def _measure(self) -> Measured:
        snapshots = 0 if self.server is None else self.server.relay.snapshots_started
        return Measured(time.monotonic(), time.process_time(), 0.0, resident_bytes(), peak_bytes(), snapshots=snapshots)
