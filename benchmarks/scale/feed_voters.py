"""A control machine's process: vote, lease on publishing, publisher and relay, as the product joins them."""

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
    Listening,
    Measure,
    Measured,
    Publish,
    Published,
    Reply,
    Stand,
    Standing,
    StartVoter,
)
from scale.feed_relays import HOST
from scale.feed_usage import peak_bytes, resident_bytes

KEYS = (b"the key of a scale test's control machines",)
NOT_PUBLISHED = 0  # in place of a revision
LOOK_S = 0.002  # between looks at whether a publication was agreed on


def note(what: str, **values: object) -> None:
    """What a control machine would log; the test asks for its standing."""


class VoterWorker:
    """Carries out a control machine's commands."""

    def __init__(self) -> None:
        self.server: ControlServer | None = None

    async def handle(self, command: Command) -> Reply:
        match command:
            case StartVoter():
                return await self._start(command)
            case Publish():
                return await self._publish(command.changes)
            case Stand():
                return self._standing()
            case Measure():
                return self._measured()
        raise ValueError(type(command).__name__)

    async def _start(self, command: StartVoter) -> Listening:
        store = Path(command.store)
        create_store(store, command.name, [voter.name for voter in command.voters])
        voters = {voter.name: (HOST, voter.port) for voter in command.voters}
        settings = ControlSettings(command.name, store, voters, (HOST, 0), KEYS)
        self.server = ControlServer(settings, SIGNER, lambda change: "", note)
        return Listening((await self.server.start(),))

    async def _publish(self, changes: tuple[Change, ...]) -> Published:
        """Until the last of the changes stands in the agreed log, or the lease under which they were taken is over:
        they are their submitter's again then, and revision 0 says so."""
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
            await asyncio.sleep(LOOK_S)
        return Published(log.revision, submitted, log.content.digest())

    def _standing(self) -> Standing:
        assert self.server is not None
        server, revision = self.server, self.server.relay.log.revision
        progress = server.progress(revision)
        return Standing(server.local_voter.voter.is_leader, server.is_publisher, revision, progress.applied)

    def _measured(self) -> Measured:
        snapshots = 0 if self.server is None else self.server.relay.snapshots_started
        return Measured(time.monotonic(), time.process_time(), 0.0, resident_bytes(), peak_bytes(), snapshots=snapshots)
