"""What must always hold of the feed, judged from outside: from the agreed log's entries and from what is in force.

It shares no decision with the cores: it reads the log's entries as bare MessagePack, follows the lease itself, puts
publications together itself and keeps its own copy of every published state. `Broken` is raised where something fails.
"""

from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from badgerbend.feed.errors import NoProgressError
from tests.simvoters import Broken

PUBLISH = "publish"
GRANT, FREE = 1, 2  # tags of the commands of leases
BUCKETS = 256
DIGEST_BYTES = 16


def _hash(data):
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def _length(data):
    return len(data).to_bytes(4, "big")


def content_digest(entries):
    """The digest of keys and values, by the protocol's text alone."""
    buckets = [[] for _ in range(BUCKETS)]
    for key, value in sorted(entries.items()):
        name = key.encode()
        buckets[blake2b(name, digest_size=1).digest()[0]] += [_length(name), name, _length(value), value]
    return _hash(b"".join(_hash(b"".join(parts)) for parts in buckets))


def applied_to(entries, changes):
    """The entries after changes; the later of two of one key stands."""
    after = dict(entries)
    for key, value in changes:
        if value is None:
            after.pop(key, None)
        else:
            after[key] = value
    return after


@dataclass(frozen=True)
class Published:
    """A state that was agreed on."""

    epoch: int
    entries: dict
    at: float  # when the first voter applied it
    changes: tuple = ()


class AgreedLog:
    """The publications that the entries of the agreed log make, in their order."""

    def __init__(self):
        self.chosen = {}  # index: the command applied there
        self.published = [Published(0, {}, 0.0)]  # by revision
        self.values = set()  # keys and values that ever stood
        self._last = 0
        self._holder, self._epoch = "", 0
        self._which, self._parts = None, {}

    @property
    def newest(self):
        return len(self.published) - 1

    def applied(self, now, index, data):
        """A voter applies a command. Whoever is the first to apply one has applied all before it, or had them from
        somebody who did, so that commands come here in the log's order."""
        if self.chosen.get(index, data) != data:
            raise Broken(f"another command {index} was applied than was chosen")
        if index in self.chosen:
            return
        if index < self._last:
            raise Broken(f"command {index} was chosen after {self._last}")
        self.chosen[index], self._last = data, index
        self._command(now, index, msgspec.msgpack.decode(data))

    def _command(self, now, index, command):
        if command[0] == GRANT and command[1] == PUBLISH:
            if not self._holder and self._epoch == command[3]:
                self._holder, self._epoch = command[2], index
        elif command[0] == FREE and command[1] == PUBLISH:
            if self._epoch == command[2]:
                self._holder = ""
        elif command[0] == "publish":
            self._part(now, *command[1:])

    def _part(self, now, epoch, revision, whole, part, parts, data):
        if not self._holder or epoch != self._epoch:
            return  # of a lease that is over
        if self._which != (epoch, revision, whole):
            self._which, self._parts = (epoch, revision, whole), {}
        self._parts[part] = data
        if len(self._parts) == parts:
            text, self._parts = b"".join(self._parts[place] for place in range(parts)), {}
            self._publication(now, epoch, revision, text)

    def _publication(self, now, epoch, revision, whole):
        try:
            _, (signed_epoch, signed_revision, content, digest, _), changes = msgspec.msgpack.decode(whole)
        except (msgspec.MsgspecError, ValueError, TypeError):
            return  # parts of two publications
        if (signed_epoch, signed_revision) != (epoch, revision) or revision != self.newest + 1:
            return
        after = applied_to(self.published[-1].entries, changes)
        if _hash(msgspec.msgpack.encode(changes)) != digest or content_digest(after) != content:
            return
        if epoch < self.published[-1].epoch:
            raise Broken(f"revision {revision} has epoch {epoch} after {self.published[-1].epoch}")
        self.published.append(Published(epoch, after, now, tuple(map(tuple, changes))))
        self.values.update(map(tuple, changes))


@dataclass
class Watched:
    """What the judge holds of one follower's life."""

    in_force: dict = field(default_factory=dict)
    revision: int = 0
    damaged: bool = False  # its replica was changed under it, until the next install


class Judge:
    """clock_rate: by how much clocks may differ, as a part of their times."""

    def __init__(self, clock_rate):
        self.agreed = AgreedLog()
        self.clock_rate = clock_rate
        self.followers = {}  # name: Watched
        self.voters = {}  # (name, life): the revision last seen
        self.accepted = {}  # publisher: the values accepted in its present lease
        self.installs = 0
        self.lowest_margin = float("inf")
        self.most_understated = 0.0
        self.oldest_seen = 0.0

    # -- voters
    def voter(self, name, life, log):
        """A voter's log of publications after it applied something."""
        revision, epoch = log.revision, log.epoch
        before = self.voters.get((name, life), 0)
        if revision < before:
            raise Broken(f"{name} went back from revision {before} to {revision}")
        self.voters[name, life] = revision
        if revision > self.agreed.newest:
            raise Broken(f"{name} holds revision {revision}; {self.agreed.newest} are agreed on")
        state = self.agreed.published[revision]
        if epoch != state.epoch:
            raise Broken(f"{name} holds revision {revision} of epoch {epoch}, agreed on was {state.epoch}")
        if dict(log.content.items()) != state.entries:
            raise Broken(f"{name} holds another content at revision {revision} than was agreed on")

    # -- publishers
    def submitted(self, publisher, changes):
        self.accepted.setdefault(publisher, set()).update((c.key, c.value) for c in changes if c.value is not None)

    def rested(self, publisher, abandoned):
        """What a publisher does not give back is published."""
        kept = self.accepted.pop(publisher, set()) - {(c.key, c.value) for c in abandoned}
        self._all_published(publisher, kept)

    def quiet(self):
        """No publisher has anything on its way."""
        for publisher, values in self.accepted.items():
            self._all_published(publisher, values)

    def _all_published(self, publisher, values):
        lost = values - self.agreed.values
        if lost:
            raise Broken(f"{publisher} accepted changes that are neither published nor given back: {len(lost)}")

    # -- followers
    def began(self, name):
        """A follower's process began with nothing."""
        self.followers[name] = Watched()

    def installed(self, name, action, log):
        """A follower puts changes in force. log: its replica at this moment."""
        watched = self.followers[name]
        if action.revision < watched.revision:
            raise Broken(f"{name} went back from revision {watched.revision} to {action.revision}")
        if action.revision > self.agreed.newest:
            raise Broken(f"{name} installs revision {action.revision}, which is not agreed on")
        state = self.agreed.published[action.revision].entries
        watched.in_force = applied_to(watched.in_force, [(c.key, c.value) for c in action.changes])
        if watched.in_force != state:
            raise Broken(f"{name}: in force at revision {action.revision} is not what was published")
        if log.revision != action.revision or dict(log.content.items()) != state:
            raise Broken(f"{name}: the replica at revision {action.revision} is not what was published")
        if log.epoch != self.agreed.published[action.revision].epoch:
            raise Broken(f"{name}: revision {action.revision} has epoch {log.epoch}")
        watched.revision = action.revision
        watched.damaged = False
        self.installs += 1

    def unchanged(self, name, log):
        """Between installs the replica is what is in force."""
        watched = self.followers[name]
        if watched.damaged:
            return
        if log.revision != watched.revision or dict(log.content.items()) != watched.in_force:
            raise Broken(f"{name}: the replica at revision {log.revision} changed without an install")

    def rejected(self, name, error, lied_to):
        """A follower refused what came. From a relay that did not lie nothing comes that is to be refused; it may only
        be slow, when many wait for snapshots."""
        if not lied_to and not isinstance(error, NoProgressError):
            raise Broken(f"{name} refused what an honest relay sent: {type(error).__name__}: {error}")

    def age(self, now, name, revision, age_s, bound_s):
        """A follower or a relay that is at a revision claims an age. bound_s: by how much that may be too low; the
        world states it, which knows how late the last word was that the age rests on."""
        if revision >= self.agreed.newest:
            return
        truth = now - self.agreed.published[revision + 1].at
        self.oldest_seen = max(self.oldest_seen, truth)
        understated = truth - age_s * (1 + self.clock_rate)
        self.most_understated = max(self.most_understated, understated)
        margin = bound_s - understated
        self.lowest_margin = min(self.lowest_margin, margin)
        if margin < 0:
            raise Broken(f"{name} claims {age_s:.2f} s at revision {revision}; a newer one is {truth:.2f} s old")

    # -- a relay's memory
    def in_flight(self, name, session, size, allowed):
        """Bytes that a relay has sent and a connection has not taken; allowed: the window and one frame."""
        if size > allowed:
            raise Broken(f"{name}: {size} bytes on the way to session {session}, {allowed} allowed")

    def relay(self, name, images, loading, most_loading):
        """Images of snapshots alive, and snapshots on their way."""
        if loading > most_loading:
            raise Broken(f"{name}: {loading} snapshots at once, {most_loading} allowed")
        if images > most_loading + 1:
            raise Broken(f"{name}: {images} images alive, {most_loading + 1} allowed")
