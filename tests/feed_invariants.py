"""Invariants of the feed, checked from outside: from the entries of the agreed log and from what followers install.

The checker shares no logic with the code under test: it decodes the log's entries as plain MessagePack, tracks the
lease, joins the parts of publications and keeps its own copy of every published state. It raises `InvariantViolation`.
"""

from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from badgerbend.feed.errors import NoProgressError
from tests.simvoters import InvariantViolation

PUBLISH = "publish"
GRANT, RELEASE = 1, 2  # tags of the lease commands
BUCKETS = 256
DIGEST_BYTES = 16


def _hash(data):
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def _length(data):
    return len(data).to_bytes(4, "big")


def content_digest(entries):
    """Return the digest of keys and values as the protocol defines it."""
    buckets = [[] for _ in range(BUCKETS)]
    for key, value in sorted(entries.items()):
        name = key.encode()
        buckets[blake2b(name, digest_size=1).digest()[0]] += [_length(name), name, _length(value), value]
    return _hash(b"".join(_hash(b"".join(parts)) for parts in buckets))


def with_changes(entries, changes):
    """Return the entries after the changes; the later of two changes to one key wins."""
    after = dict(entries)
    for key, value in changes:
        if value is None:
            after.pop(key, None)
        else:
            after[key] = value
    return after


@dataclass(frozen=True)
class Published:
    """A published revision and its content."""

    epoch: int
    entries: dict
    at: float  # when the first voter applied it
    changes: tuple = ()


class AgreedLog:
    """The publications that result from the entries of the agreed log, in order."""

    def __init__(self):
        self.commands = {}  # index: the command applied there
        self.published = [Published(0, {}, 0.0)]  # indexed by revision
        self.values = set()  # all (key, value) pairs ever published
        self._last = 0
        self._holder = ""
        self._epoch = 0
        self._pending_key = None  # of the publication whose parts are being collected
        self._parts = {}

    @property
    def newest(self):
        return len(self.published) - 1

    def record_applied(self, now, index, data):
        """Record that a voter applies a command.

        The first voter to apply a command has applied all commands before it, or has loaded the snapshot of a voter
        that did. New commands therefore arrive here in the order of the log.
        """
        if self.commands.get(index, data) != data:
            raise InvariantViolation(f"the command at index {index} differs from the one that was applied first")
        if index in self.commands:
            return
        if index < self._last:
            raise InvariantViolation(f"command {index} was first applied after command {self._last}")
        self.commands[index] = data
        self._last = index
        self._apply_command(now, index, msgspec.msgpack.decode(data))

    def _apply_command(self, now, index, command):
        if command[0] == GRANT and command[1] == PUBLISH:
            if not self._holder and self._epoch == command[3]:
                self._holder = command[2]
                self._epoch = index
        elif command[0] == RELEASE and command[1] == PUBLISH:
            if self._epoch == command[2]:
                self._holder = ""
        elif command[0] == "publish":
            self._add_part(now, *command[1:])

    def _add_part(self, now, epoch, revision, publication_id, part_index, part_count, data):
        if not self._holder or epoch != self._epoch:
            return  # from a lease that has ended
        key = (epoch, revision, publication_id)
        if self._pending_key != key:
            self._pending_key = key
            self._parts = {}
        self._parts[part_index] = data
        if len(self._parts) == part_count:
            joined = b"".join(self._parts[index] for index in range(part_count))
            self._parts = {}
            self._apply_publication(now, epoch, revision, joined)

    def _apply_publication(self, now, epoch, revision, data):
        try:
            _, (signed_epoch, signed_revision, content, digest, _), changes = msgspec.msgpack.decode(data)
        except (msgspec.MsgspecError, ValueError, TypeError):
            return  # the parts belong to different publications
        if (signed_epoch, signed_revision) != (epoch, revision) or revision != self.newest + 1:
            return
        after = with_changes(self.published[-1].entries, changes)
        if _hash(msgspec.msgpack.encode(changes)) != digest or content_digest(after) != content:
            return
        if epoch < self.published[-1].epoch:
            raise InvariantViolation(f"revision {revision} has epoch {epoch} after {self.published[-1].epoch}")
        self.published.append(Published(epoch, after, now, tuple(map(tuple, changes))))
        self.values.update(map(tuple, changes))


@dataclass
class ObservedFollower:
    """What the checker knows about one process of a follower."""

    installed: dict = field(default_factory=dict)
    revision: int = 0
    damaged: bool = False  # its replica was altered in memory and nothing was installed since


class InvariantChecker:
    """Checks what hosts report against the agreed log.

    clock_rate: by how much clocks may differ, as a fraction of elapsed time.
    """

    def __init__(self, clock_rate):
        self.agreed = AgreedLog()
        self.clock_rate = clock_rate
        self.followers = {}  # name: ObservedFollower
        self.voters = {}  # (name, incarnation): the last observed revision
        self.accepted = {}  # publisher: the values accepted during its current lease
        self.installs = 0
        self.lowest_margin = float("inf")
        self.most_understated = 0.0
        self.oldest_seen = 0.0

    # -- voters
    def check_voter(self, name, incarnation, log):
        """Check a voter's log of publications after it has applied commands."""
        revision, epoch = log.revision, log.epoch
        before = self.voters.get((name, incarnation), 0)
        if revision < before:
            raise InvariantViolation(f"{name} went back from revision {before} to {revision}")
        self.voters[name, incarnation] = revision
        if revision > self.agreed.newest:
            raise InvariantViolation(
                f"{name} has revision {revision}; {self.agreed.newest} is the newest that was agreed on"
            )
        state = self.agreed.published[revision]
        if epoch != state.epoch:
            raise InvariantViolation(
                f"{name} has revision {revision} of epoch {epoch}; agreed on was epoch {state.epoch}"
            )
        if dict(log.content.items()) != state.entries:
            raise InvariantViolation(f"{name} has content at revision {revision} that was not agreed on")

    # -- publishers
    def record_submitted(self, publisher, changes):
        """Record that a publisher accepted changes."""
        self.accepted.setdefault(publisher, set()).update((c.key, c.value) for c in changes if c.value is not None)

    def check_lease_lost(self, publisher, abandoned):
        """Check a publisher that loses its lease: every change that it does not return must be published."""
        retained = self.accepted.pop(publisher, set()) - {(c.key, c.value) for c in abandoned}
        self._check_published(publisher, retained)

    def check_settled(self):
        """Check that all accepted changes are published, when no publisher has any queued or in flight."""
        for publisher, values in self.accepted.items():
            self._check_published(publisher, values)

    def _check_published(self, publisher, values):
        lost = values - self.agreed.values
        if lost:
            raise InvariantViolation(
                f"{publisher} accepted changes that are neither published nor returned: {len(lost)}"
            )

    # -- followers
    def record_start(self, name):
        """Record that a follower's process started with an empty replica."""
        self.followers[name] = ObservedFollower()

    def check_install(self, name, action, log):
        """Check changes that a follower installs. log: the follower's replica at this moment."""
        observed = self.followers[name]
        if action.revision < observed.revision:
            raise InvariantViolation(f"{name} went back from revision {observed.revision} to {action.revision}")
        if action.revision > self.agreed.newest:
            raise InvariantViolation(f"{name} installs revision {action.revision}, which is not agreed on")
        state = self.agreed.published[action.revision].entries
        observed.installed = with_changes(observed.installed, [(c.key, c.value) for c in action.changes])
        if observed.installed != state:
            raise InvariantViolation(
                f"{name}: the content in force at revision {action.revision} is not what was published"
            )
        if log.revision != action.revision or dict(log.content.items()) != state:
            raise InvariantViolation(f"{name}: the replica at revision {action.revision} is not what was published")
        if log.epoch != self.agreed.published[action.revision].epoch:
            raise InvariantViolation(f"{name}: revision {action.revision} has epoch {log.epoch}")
        observed.revision = action.revision
        observed.damaged = False
        self.installs += 1

    def check_unchanged(self, name, log):
        """Check that between installs the replica equals what was installed."""
        observed = self.followers[name]
        if observed.damaged:
            return
        if log.revision != observed.revision or dict(log.content.items()) != observed.installed:
            raise InvariantViolation(f"{name}: the replica at revision {log.revision} changed without an install")

    def check_rejection(self, name, error, was_tampered_with):
        """Check a rejection of a message. An honest relay sends nothing invalid; it may only be slow."""
        if not was_tampered_with and not isinstance(error, NoProgressError):
            raise InvariantViolation(f"{name} rejected a message of an honest relay: {type(error).__name__}: {error}")

    def check_age(self, now, name, revision, age_s, bound_s):
        """Check the age of its content that a follower or a relay reports.

        bound_s: by how much the age may be too low, given the delay of the message that it is derived from.
        """
        if revision >= self.agreed.newest:
            return
        actual_s = now - self.agreed.published[revision + 1].at
        self.oldest_seen = max(self.oldest_seen, actual_s)
        understated = actual_s - age_s * (1 + self.clock_rate)
        self.most_understated = max(self.most_understated, understated)
        margin = bound_s - understated
        self.lowest_margin = min(self.lowest_margin, margin)
        if margin < 0:
            raise InvariantViolation(
                f"{name} reports an age of {age_s:.2f} s at revision {revision}; the next one is {actual_s:.2f} s old"
            )

    # -- memory of relays
    def check_in_flight(self, name, session, size, allowed):
        """Check the bytes that a relay has sent and a connection has not taken. allowed: the window and one frame."""
        if size > allowed:
            raise InvariantViolation(f"{name}: {size} bytes in flight to session {session}, {allowed} allowed")

    def check_relay_memory(self, name, images, loading, max_loading):
        """Check the number of snapshot images in memory and of concurrent transfers."""
        if loading > max_loading:
            raise InvariantViolation(f"{name}: {loading} concurrent snapshots, {max_loading} allowed")
        if images > max_loading + 1:
            raise InvariantViolation(f"{name}: {images} images in memory, {max_loading + 1} allowed")
