"""Invariants of the feed, checked from outside: from the entries of the agreed log and from what followers install.

The checker shares no decision with the product: it decodes the log's entries as bare MessagePack, follows the lease,
joins the parts of publications and keeps a copy of every published state of its own. It raises `InvariantViolation`.
"""

from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from badgerbend.feed.errors import NoProgressError
from tests.simvoters import InvariantViolation

PUBLISH = "publish"
GRANT, FREE = 1, 2  # tags of the commands of leases
BUCKETS = 256
DIGEST_BYTES = 16


def _hash(data):
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def _length(data):
    return len(data).to_bytes(4, "big")


def content_digest(entries):
    """The digest of keys and values, by the definition of the protocol."""
    buckets = [[] for _ in range(BUCKETS)]
    for key, value in sorted(entries.items()):
        name = key.encode()
        buckets[blake2b(name, digest_size=1).digest()[0]] += [_length(name), name, _length(value), value]
    return _hash(b"".join(_hash(b"".join(parts)) for parts in buckets))


def applied_to(entries, changes):
    """The entries after changes; the later of two changes of one key wins."""
    after = dict(entries)
    for key, value in changes:
        if value is None:
            after.pop(key, None)
        else:
            after[key] = value
    return after


@dataclass(frozen=True)
class Published:
    """A published state."""

    epoch: int
    entries: dict
    at: float  # when the first voter applied it
    changes: tuple = ()


class AgreedLog:
    """The publications that the entries of the agreed log lead to, in their order."""

    def __init__(self):
        self.chosen = {}  # index: the command applied there
        self.published = [Published(0, {}, 0.0)]  # by revision
        self.values = set()  # (key, value) that were ever published
        self._last = 0
        self._holder = ""
        self._epoch = 0
        self._pending_key = None  # of the publication whose parts arrive
        self._parts = {}

    @property
    def newest(self):
        return len(self.published) - 1

    def applied(self, now, index, data):
        """A voter applies a command.

        The first voter to apply one has applied all before it, or has loaded a snapshot of a voter that did: new
        commands arrive here in the log's order.
        """
        if self.chosen.get(index, data) != data:
            raise InvariantViolation(f"another command {index} was applied than was chosen")
        if index in self.chosen:
            return
        if index < self._last:
            raise InvariantViolation(f"command {index} was chosen after {self._last}")
        self.chosen[index] = data
        self._last = index
        self._command(now, index, msgspec.msgpack.decode(data))

    def _command(self, now, index, command):
        if command[0] == GRANT and command[1] == PUBLISH:
            if not self._holder and self._epoch == command[3]:
                self._holder = command[2]
                self._epoch = index
        elif command[0] == FREE and command[1] == PUBLISH:
            if self._epoch == command[2]:
                self._holder = ""
        elif command[0] == "publish":
            self._part(now, *command[1:])

    def _part(self, now, epoch, revision, publication_id, part_index, part_count, data):
        if not self._holder or epoch != self._epoch:
            return  # of a lease that is over
        key = (epoch, revision, publication_id)
        if self._pending_key != key:
            self._pending_key = key
            self._parts = {}
        self._parts[part_index] = data
        if len(self._parts) == part_count:
            joined = b"".join(self._parts[index] for index in range(part_count))
            self._parts = {}
            self._publication(now, epoch, revision, joined)

    def _publication(self, now, epoch, revision, data):
        try:
            _, (signed_epoch, signed_revision, content, digest, _), changes = msgspec.msgpack.decode(data)
        except (msgspec.MsgspecError, ValueError, TypeError):
            return  # parts of two publications
        if (signed_epoch, signed_revision) != (epoch, revision) or revision != self.newest + 1:
            return
        after = applied_to(self.published[-1].entries, changes)
        if _hash(msgspec.msgpack.encode(changes)) != digest or content_digest(after) != content:
            return
        if epoch < self.published[-1].epoch:
            raise InvariantViolation(f"revision {revision} has epoch {epoch} after {self.published[-1].epoch}")
        self.published.append(Published(epoch, after, now, tuple(map(tuple, changes))))
        self.values.update(map(tuple, changes))


@dataclass
class Watched:
    """What the checker knows of one follower's process."""

    installed: dict = field(default_factory=dict)
    revision: int = 0
    damaged: bool = False  # its replica was altered in memory, until the next install


class InvariantChecker:
    """clock_rate: by how much clocks may differ, as a fraction of elapsed time."""

    def __init__(self, clock_rate):
        self.agreed = AgreedLog()
        self.clock_rate = clock_rate
        self.followers = {}  # name: Watched
        self.voters = {}  # (name, incarnation): the revision last seen
        self.accepted = {}  # publisher: the values accepted in its present lease
        self.installs = 0
        self.lowest_margin = float("inf")
        self.most_understated = 0.0
        self.oldest_seen = 0.0

    # -- voters
    def voter(self, name, incarnation, log):
        """A voter's log of publications after it applied something."""
        revision, epoch = log.revision, log.epoch
        before = self.voters.get((name, incarnation), 0)
        if revision < before:
            raise InvariantViolation(f"{name} went back from revision {before} to {revision}")
        self.voters[name, incarnation] = revision
        if revision > self.agreed.newest:
            raise InvariantViolation(f"{name} holds revision {revision}; {self.agreed.newest} are agreed on")
        state = self.agreed.published[revision]
        if epoch != state.epoch:
            raise InvariantViolation(f"{name} holds revision {revision} of epoch {epoch}, agreed on was {state.epoch}")
        if dict(log.content.items()) != state.entries:
            raise InvariantViolation(f"{name} holds another content at revision {revision} than was agreed on")

    # -- publishers
    def submitted(self, publisher, changes):
        """A publisher accepted changes."""
        self.accepted.setdefault(publisher, set()).update((c.key, c.value) for c in changes if c.value is not None)

    def lease_lost(self, publisher, abandoned):
        """A publisher stops: what it does not return must be published."""
        retained = self.accepted.pop(publisher, set()) - {(c.key, c.value) for c in abandoned}
        self._check_published(publisher, retained)

    def settled(self):
        """No publisher has anything queued or in flight."""
        for publisher, values in self.accepted.items():
            self._check_published(publisher, values)

    def _check_published(self, publisher, values):
        lost = values - self.agreed.values
        if lost:
            raise InvariantViolation(
                f"{publisher} accepted changes that are neither published nor given back: {len(lost)}"
            )

    # -- followers
    def began(self, name):
        """A follower's process started with an empty replica."""
        self.followers[name] = Watched()

    def installed(self, name, action, log):
        """A follower installs changes. log: its replica at this moment."""
        watched = self.followers[name]
        if action.revision < watched.revision:
            raise InvariantViolation(f"{name} went back from revision {watched.revision} to {action.revision}")
        if action.revision > self.agreed.newest:
            raise InvariantViolation(f"{name} installs revision {action.revision}, which is not agreed on")
        state = self.agreed.published[action.revision].entries
        watched.installed = applied_to(watched.installed, [(c.key, c.value) for c in action.changes])
        if watched.installed != state:
            raise InvariantViolation(f"{name}: in force at revision {action.revision} is not what was published")
        if log.revision != action.revision or dict(log.content.items()) != state:
            raise InvariantViolation(f"{name}: the replica at revision {action.revision} is not what was published")
        if log.epoch != self.agreed.published[action.revision].epoch:
            raise InvariantViolation(f"{name}: revision {action.revision} has epoch {log.epoch}")
        watched.revision = action.revision
        watched.damaged = False
        self.installs += 1

    def unchanged(self, name, log):
        """Between installs the replica equals what was installed."""
        watched = self.followers[name]
        if watched.damaged:
            return
        if log.revision != watched.revision or dict(log.content.items()) != watched.installed:
            raise InvariantViolation(f"{name}: the replica at revision {log.revision} changed without an install")

    def rejected(self, name, error, lied_to):
        """A follower rejected a message. An honest relay sends nothing invalid; it may only be slow."""
        if not lied_to and not isinstance(error, NoProgressError):
            raise InvariantViolation(f"{name} refused what an honest relay sent: {type(error).__name__}: {error}")

    def age(self, now, name, revision, age_s, bound_s):
        """A follower or a relay at a revision claims an age.

        bound_s: by how much that may be too low, given the delay of the message that the age rests on.
        """
        if revision >= self.agreed.newest:
            return
        truth = now - self.agreed.published[revision + 1].at
        self.oldest_seen = max(self.oldest_seen, truth)
        understated = truth - age_s * (1 + self.clock_rate)
        self.most_understated = max(self.most_understated, understated)
        margin = bound_s - understated
        self.lowest_margin = min(self.lowest_margin, margin)
        if margin < 0:
            raise InvariantViolation(
                f"{name} claims {age_s:.2f} s at revision {revision}; a newer one is {truth:.2f} s old"
            )

    # -- a relay's memory
    def in_flight(self, name, session, size, allowed):
        """Bytes that a relay has sent and a connection has not taken. allowed: the window and one frame."""
        if size > allowed:
            raise InvariantViolation(f"{name}: {size} bytes on the way to session {session}, {allowed} allowed")

    def relay(self, name, images, loading, most_loading):
        """Images of snapshots in memory, and transfers under way."""
        if loading > most_loading:
            raise InvariantViolation(f"{name}: {loading} snapshots at once, {most_loading} allowed")
        if images > most_loading + 1:
            raise InvariantViolation(f"{name}: {images} images alive, {most_loading + 1} allowed")
