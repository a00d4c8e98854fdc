"""A relay and followers connected in memory: actions are carried out immediately, and each test sets the clock."""

from badgerbend.feed.errors import FeedError
from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import (
    Connect,
    Disconnect,
    FollowerTuning,
    Install,
    MessageRejected,
    RelayAddress,
    Send,
)
from badgerbend.feed.framing import FrameReader
from badgerbend.feed.log import Retention, changes_digest
from badgerbend.feed.machine import PUBLISH_LEASE, FeedStateMachine
from badgerbend.feed.messages import Change, Checkpoint, Publication, signed_bytes
from badgerbend.feed.publisher import Publisher, PublisherTuning
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import Close, RelayTuning, SendTo
from badgerbend.feed.signature import Ed25519Signer, Ed25519Verifier
from badgerbend.leases.messages import GrantLease, ReleaseLease, encode

SIGNER = Ed25519Signer(bytes(range(32)))
VERIFIER = Ed25519Verifier(SIGNER.public_key())
RETENTION = Retention()
NO_BATCHING = PublisherTuning(batch_window=0.0)
RELAY = RelayTuning()
ADDRESS = RelayAddress("relay-1", "north", "127.0.0.1", 1)
FULL_NODE_COUNT = 3000  # number of nodes in the feed of `full_harness`


def change(key, value):
    """Return a change whose value is text; None removes the key."""
    return Change(key, None if value is None else value.encode())


def entries(log):
    """Return the keys and values of the content of a log."""
    return dict(log.content.items())


def signed_publication(log, epoch, *changes, revision=None):
    """Return a publication as the publisher would create it for a log."""
    revision = log.revision + 1 if revision is None else revision
    content_digest = log.content.digest_after(changes)
    digest = changes_digest(changes)
    signature = SIGNER.sign(signed_bytes(epoch, revision, content_digest, digest))
    return Publication(Checkpoint(epoch, revision, content_digest, digest, signature), changes)


class Control:
    """One control machine without consensus: commands are applied immediately."""

    def __init__(self, retention=RETENTION, tuning=NO_BATCHING, check=lambda change: ""):
        self.machine = FeedStateMachine(retention)
        self.index = 0
        self.publisher = Publisher(self.machine.log, check, SIGNER, tuning)

    def command(self, data):
        """Apply a command. Returns whether it completed a publication."""
        self.index += 1
        before = self.machine.log.revision
        self.machine.apply(self.index, data)
        return self.machine.log.revision > before

    def grant(self, now=0.0, holder="control-1"):
        """Grant the publishing lease, after releasing it if it is held. Returns its epoch."""
        lease = self.machine.table.lease(PUBLISH_LEASE)
        if lease.holder:
            self.command(encode(ReleaseLease(PUBLISH_LEASE, lease.epoch)))
        self.command(encode(GrantLease(PUBLISH_LEASE, holder, lease.epoch)))
        epoch = self.machine.table.lease(PUBLISH_LEASE).epoch
        self.publisher.lease_granted(now, epoch)
        return epoch

    def publish(self, now, *changes):
        """Submit and commit one batch. Returns the rejected changes."""
        rejected = self.publisher.submit(now, changes)
        self.pump(now)
        return rejected

    def pump(self, now):
        """Commit everything that the publisher proposes."""
        while True:
            self.publisher.tick(now)
            commands = self.publisher.take_commands()
            if not commands:
                return
            for command in commands:
                self.command(command)
            self.publisher.log_advanced(now)


class FeedHarness:
    """One relay and its followers.

    stalled: names of followers whose connections currently accept no data. damage: replaces frames of a lying relay.
    """

    def __init__(self, control, relay_tuning=RELAY):
        self.now = 0.0
        self.control = control
        self.relay = Relay(ADDRESS.name, control.machine.log, relay_tuning)
        self.relay.mark_current(self.now)
        self.followers = {}  # by name
        self.installed = {}  # Install actions by name
        self.rejected = {}  # errors of rejected messages by name
        self.closed = []  # (name, reason)
        self.sessions = {}  # follower names by connection number
        self.readers = {}  # FrameReader by connection number
        self.last_number = 0
        self.stalled = set()  # names
        self.buffered = {}  # (session, frame) pairs held back, by name
        self.sent_bytes = {}  # by name
        self.damage = None  # called with each frame to alter it

    def follower(self, name, start=True, **tuning):
        """Add a follower with the given fields of its tuning."""
        follower_tuning = FollowerTuning(start_jitter=0.0, **tuning)
        follower = Follower(name, "north", [ADDRESS], VERIFIER, follower_tuning, len(self.followers))
        self.followers[name] = follower
        self.installed[name] = []
        self.rejected[name] = []
        if start:
            follower.start(self.now)
            self.process_actions()
        return follower

    def process_actions(self):
        """Carry out actions until there are none."""
        busy = True
        while busy:
            busy = False
            for name, follower in self.followers.items():
                follower.tick(self.now)
                for action in follower.take_actions():
                    busy = True
                    self._follower_action(name, follower, action)
            for action in self.relay.take_actions():
                busy = True
                self._relay_action(action)

    def pass_time(self, seconds, step=0.25):
        """Advance the clock in steps while the relay's log is confirmed as current."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + step, end)
            self.relay.mark_current(self.now)
            self.relay.tick(self.now)
            self.process_actions()

    def publish(self, *changes):
        """Publish one batch. Returns the rejected changes."""
        rejected = self.control.publish(self.now, *changes)
        self.relay.log_advanced(self.now)
        self.process_actions()
        return rejected

    def disconnect(self, name):
        """Break a follower's connection."""
        number = next(n for n, who in self.sessions.items() if who == name)
        del self.sessions[number]
        self.relay.closed(self.now, number)
        self.followers[name].closed(self.now, self.followers[name].attempt)

    def resume(self, name):
        """Let a follower's connection accept the buffered frames and all further ones."""
        self.stalled.discard(name)
        for number, data in self.buffered.pop(name, []):
            if number in self.sessions:
                self._deliver(number, name, data)
        self.process_actions()

    def _follower_action(self, name, follower, action):
        match action:
            case Connect():
                self.last_number += 1
                self.sessions[self.last_number] = name
                self.readers[self.last_number] = FrameReader()
                self.relay.opened(self.now, self.last_number)
                follower.connected(self.now, action.attempt)
            case Send():
                number = next((n for n, who in self.sessions.items() if who == name), None)
                if number is not None:
                    for message in FrameReader().feed(action.frame):
                        self.relay.received(self.now, number, message)
            case Disconnect():
                for number in [n for n, who in self.sessions.items() if who == name]:
                    del self.sessions[number]
                    self.relay.closed(self.now, number)
            case Install():
                self.installed[name].append(action)
                follower.applied(self.now, action.revision)
            case MessageRejected():
                self.rejected[name].append(action.error)

    def _relay_action(self, action):
        name = self.sessions.get(action.session)
        if name is None:
            return
        match action:
            case SendTo():
                self.sent_bytes[name] = self.sent_bytes.get(name, 0) + len(action.frame)
                if name in self.stalled:
                    self.buffered.setdefault(name, []).append((action.session, action.frame))
                else:
                    self._deliver(action.session, name, action.frame)
            case Close():
                self.closed.append((name, action.reason))
                del self.sessions[action.session]
                self.followers[name].closed(self.now, self.followers[name].attempt)

    def _deliver(self, number, name, data):
        follower = self.followers[name]
        attempt = follower.attempt
        if self.damage is not None:
            data = self.damage(data)
        try:
            for message in self.readers[number].feed(data):
                follower.received(self.now, attempt, message)
        except FeedError as error:
            follower.protocol_error(self.now, attempt, error)
        self.relay.drained(self.now, number)


def new_harness(**tuning):
    """Return a harness whose publisher holds the lease, with the given fields of the relay's tuning."""
    control = Control()
    control.grant()
    return FeedHarness(control, RelayTuning(**tuning))


def full_harness(retention=RETENTION, **tuning):
    """Return a harness whose feed contains FULL_NODE_COUNT nodes."""
    control = Control(retention)
    control.grant()
    rows = [change(f"node/{i}", f"ready at 10.0.{i // 256}.{i % 256}:80 " + "x" * 40) for i in range(FULL_NODE_COUNT)]
    harness = FeedHarness(control, RelayTuning(**tuning))
    harness.publish(*rows[: FULL_NODE_COUNT // 2])
    harness.publish(*rows[FULL_NODE_COUNT // 2 :])
    return harness
