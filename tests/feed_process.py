"""One process of the feed for tests: `python -m tests.feed_process SETUP`, commands on stdin, events on stdout.

The setup is a JSON object from `tests.feed_lines`. The process ends when its stdin is closed.
"""

import asyncio
import random
import sys
from pathlib import Path

from badgerbend.feed.content import Content
from badgerbend.feed.follower import Follower
from badgerbend.feed.framing import FrameReader
from badgerbend.feed.messages import Publication, SnapshotPiece
from badgerbend.feed.relay import Relay
from badgerbend.feed.session import SessionPhase
from badgerbend.feed_service.control import ControlServer, NotPublishingError
from badgerbend.feed_service.control_settings import ControlSettings
from badgerbend.feed_service.follower import FollowerClient
from badgerbend.feed_service.relay import RelayServer
from badgerbend.feed_service.timer import monotonic
from tests.feed_harness import SIGNER, VERIFIER, Control, change
from tests.feed_lines import (
    UNKNOWN_AGE_S,
    ControlReport,
    ControlSetup,
    Fill,
    FollowersReport,
    FollowersSetup,
    FollowerState,
    Installed,
    Listening,
    PieceReceived,
    Publish,
    Published,
    Rejected,
    RelayReport,
    RelaySetup,
    Report,
    Submitted,
    decode_command,
    decode_setup,
    encode_line,
)

CONFIRM_INTERVAL_S = 0.05
MAX_COMMAND_BYTES = 4 * 1024 * 1024
KEYS = (b"a key of control machines for tests",)


def emit(event):
    """Send an event to the test immediately."""
    sys.stdout.buffer.write(encode_line(event))
    sys.stdout.buffer.flush()


class RememberingClock:
    """The monotonic clock. It keeps its last reading: the time with which a state machine was last called."""

    def __init__(self):
        self.last = 0.0

    def __call__(self):
        self.last = monotonic()
        return self.last


class MeasuredRelay(Relay):
    """A relay that measures the frames that it sends."""

    def __init__(self, name, log, tuning, clock):
        super().__init__(name, log, tuning)
        self.clock = clock
        self.max_loading = 0
        self.max_in_flight = 0
        self.largest_frame = 0
        self.largest_piece = 0
        self.snapshot_bytes = 0
        self.over_rate = 0.0
        self.max_over_rate = 0.0
        self._measured_at = 0.0

    def take_actions(self):
        actions = super().take_actions()
        sessions = self.sessions.values()
        self.max_loading = max(
            self.max_loading, sum(session.phase is SessionPhase.SENDING_SNAPSHOT for session in sessions)
        )
        self.max_in_flight = max(self.max_in_flight, max((session.in_flight for session in sessions), default=0))
        return actions

    def send_frame(self, now, session, data):
        """Measures a frame at the time of the call that sends it: the actions of many calls are taken together."""
        super().send_frame(now, session, data)
        self._measure(now, data)

    def _measure(self, now, frame):
        size = len(frame)
        self.largest_frame = max(self.largest_frame, size)
        (message,) = FrameReader().feed(frame)
        if not isinstance(message, SnapshotPiece):
            return
        elapsed_s = now - self._measured_at
        self._measured_at = now
        self.over_rate = max(self.over_rate - elapsed_s * self.tuning.snapshot_bytes_per_second, 0.0) + size
        self.max_over_rate = max(self.max_over_rate, self.over_rate)
        self.largest_piece = max(self.largest_piece, size)
        self.snapshot_bytes += size


class ReportingOwner:
    """Holds the content in force and reports each install with the content's digest."""

    def __init__(self, name, installed=lambda: None):
        self.name = name
        self.installed = installed
        self.in_force = Content()
        self.revision = 0

    def install(self, revision, changes):
        self.in_force.apply(changes)
        self.revision = revision
        emit(Installed(self.name, revision, self.in_force.digest().hex()))
        self.installed()
        return ""

    def rejected(self, relay, error):
        emit(Rejected(self.name, relay, type(error).__name__))


class ReportingClient(FollowerClient):
    """Reports each piece of a snapshot that it receives, and counts publications."""

    publications = 0

    def stream_message(self, stream, message):
        if isinstance(message, Publication):
            self.publications += 1
        if isinstance(message, SnapshotPiece):
            emit(PieceReceived(self.follower.name, self.follower.relay.name))
        super().stream_message(stream, message)


class RelayProcess:
    """A relay that publishes, or one that relays the publications of its upstream."""

    def __init__(self, setup):
        self.setup = setup
        self.clock = RememberingClock()
        self.random = random.Random(1)
        self.control = None
        self.client = None
        self.max_unsent = 0
        log = self._log()
        self.relay = MeasuredRelay(setup.name, log, setup.tuning, self.clock)
        self.server = RelayServer(self.relay, self.clock)

    def _log(self):
        setup = self.setup
        if not setup.upstream:
            self.control = Control(setup.retention)
            self.control.grant()
            return self.control.machine.log
        follower = Follower(
            setup.name, setup.region, setup.upstream, VERIFIER, setup.upstream_tuning, 0, setup.retention
        )
        self.client = ReportingClient(follower, ReportingOwner(setup.name, self._republish))
        return follower.log

    async def start(self):
        emit(Listening(await self.server.start("127.0.0.1", 0)))
        if self.client is not None:
            self.client.start()
        self.confirming = asyncio.create_task(self._confirm())

    async def carry_out(self, command):
        match command:
            case Publish():
                self._publish([change(key, value) for key, value in command.changes])
            case Fill():
                for _ in range(command.batches):
                    self._publish(self._rows(command))
                    await asyncio.sleep(0)
            case Report():
                emit(self._report())

    def _rows(self, fill):
        return [
            change(f"{fill.prefix}/{i}", self.random.randbytes(fill.value_bytes // 2).hex()) for i in range(fill.rows)
        ]

    def _publish(self, changes):
        problems = self.control.publish(self.clock(), *changes)
        assert not problems, problems
        log = self.relay.log
        emit(Published(log.revision, log.checkpoint.content_digest.hex()))
        self._republish()

    def _republish(self):
        self.server.log_advanced()
        self.max_unsent = max(self.max_unsent, self.server.max_unsent_bytes())

    async def _confirm(self):
        """Tell the relay at intervals the time at which its log was last known to be the newest."""
        while True:
            now = self.clock()
            age = 0.0 if self.client is None else self.client.follower.age_s(now)
            self.server.mark_current(now - age)
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    def _report(self):
        relay = self.relay
        return RelayReport(
            revision=relay.log.revision,
            digest=relay.log.content.digest().hex(),
            followers=relay.summary().followers,
            blocked=tuple(
                session.name for session in relay.sessions.values() if session.in_flight >= relay.tuning.send_window
            ),
            snapshots_started=relay.snapshots_started,
            evicted=relay.evicted,
            max_loading=relay.max_loading,
            max_in_flight=relay.max_in_flight,
            max_unsent=self.max_unsent,
            max_over_rate=relay.max_over_rate,
            largest_frame=relay.largest_frame,
            largest_piece=relay.largest_piece,
            snapshot_bytes=relay.snapshot_bytes,
        )


class ReportingControl(ControlServer):
    """Reports each revision that its replica reaches."""

    reported_revision = 0

    def _process_actions(self):
        super()._process_actions()
        log = self.relay.log
        if log.revision > self.reported_revision:
            self.reported_revision = log.revision
            emit(Published(log.revision, log.checkpoint.content_digest.hex()))


class ControlProcess:
    """A control machine: it votes, relays, and publishes while it holds the lease."""

    def __init__(self, setup):
        settings = ControlSettings(
            setup.name, Path(setup.store), setup.voters, ("127.0.0.1", 0), KEYS, relay_tuning=setup.tuning
        )
        self.server = ReportingControl(settings, SIGNER, lambda change: "", lambda what, **values: None)

    async def start(self):
        emit(Listening(await self.server.start()))

    async def carry_out(self, command):
        match command:
            case Publish():
                emit(Submitted(self._submit(command)))
            case Report():
                emit(self._report())

    def _submit(self, command):
        try:
            problems = self.server.submit([change(key, value) for key, value in command.changes])
        except NotPublishingError:
            return False
        assert not problems, problems
        return True

    def _report(self):
        server = self.server
        log = server.relay.log
        progress = server.progress(log.revision)
        return ControlReport(
            is_leader=server.local_voter.voter.is_leader,
            is_publisher=server.is_publisher,
            epoch=log.epoch,
            revision=log.revision,
            digest=log.content.digest().hex(),
            followers=progress.followers,
            in_force=progress.applied,
            age_s=min(server.relay.age_s(monotonic()), UNKNOWN_AGE_S),
        )


class FollowersProcess:
    """Followers without a relay."""

    def __init__(self, setup):
        self.owners = [ReportingOwner(f"{setup.region}-{i}") for i in range(setup.count)]
        self.clients = [
            ReportingClient(Follower(owner.name, setup.region, setup.relays, VERIFIER, setup.tuning, seed), owner)
            for seed, owner in enumerate(self.owners)
        ]

    async def start(self):
        for client in self.clients:
            client.start()

    async def carry_out(self, command):
        match command:
            case Report():
                emit(FollowersReport(tuple(map(self._state, self.clients, self.owners))))

    def _state(self, client, owner):
        follower = client.follower
        relay = None if follower.relay is None else follower.relay.name
        age = min(follower.age_s(monotonic()), UNKNOWN_AGE_S)
        digest = owner.in_force.digest().hex()
        return FollowerState(owner.name, relay, owner.revision, digest, client.publications, age)


ROLES = {RelaySetup: RelayProcess, FollowersSetup: FollowersProcess, ControlSetup: ControlProcess}


async def main(text):
    setup = decode_setup(text)
    process = ROLES[type(setup)](setup)
    await process.start()
    lines = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    while line := await lines.readline():
        await process.carry_out(decode_command(line))


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
