"""The publisher: it checks changes, batches them, signs what they lead to and has the agreed log order them. Pure.

One publication is on its way at a time, since the next one's digest builds on it. One that did not come about is
proposed again; the log takes each revision once, so that a repeat does no harm.

Times are seconds on any clock that does not go backwards; it is read by the caller only.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from badgerbend.feed.commands import MAX_PUBLICATION_BYTES, split_publication
from badgerbend.feed.log import PublicationLog, changes_digest
from badgerbend.feed.messages import MAX_CHANGES, Change, Checkpoint, Laggard, Publication, Summary, signed_bytes
from badgerbend.feed.signature import Signer

HEAD_BYTES = 400  # of an encoded publication: all but its changes
MAX_BACKOFF_DOUBLINGS = 20  # of a pause, before its limit is looked at
CHANGE_BYTES = 16  # what a change takes beside its key and value, at most


@dataclass(frozen=True, slots=True)
class PublisherTuning:
    """Times in seconds."""

    batch_window: float = 0.05  # changes that come within this go out together
    retry_interval: float = 1.0  # a proposal that has not come about is made again; each further pause doubles
    summary_ttl: float = 5.0  # a relay's summary counts so long
    max_retry_interval: float = (
        16.0  # the longest pause: repeats of a large publication would fill the log before it stands
    )


@dataclass(frozen=True, slots=True)
class RejectedChange:
    """Why a change is refused; the text names the line and the field where there are any."""

    key: str
    reason: str


ChangeCheck = Callable[[Change], str]  # what is wrong with a change, or nothing


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """How far a revision has come: followers known, those that have it in force, and some that have not."""

    revision: int
    followers: int
    applied: int
    rejected: int
    laggards: tuple[Laggard, ...]
    silent_relays: tuple[str, ...]


class Publisher:
    """Publishes while it holds the lease. `log` is a replica of the agreed log's publications."""

    def __init__(self, log: PublicationLog, check: ChangeCheck, signer: Signer, tuning: PublisherTuning) -> None:
        self.log, self.check, self.signer, self.tuning = log, check, signer, tuning
        self.epoch = 0  # of the lease, 0 while it is another's
        self.proposals = 0
        self._waiting: deque[Change] = deque()
        self._waiting_since = math.inf
        self._flying: Publication | None = None
        self._again_at = math.inf
        self._repeats = 0  # of the publication on its way
        self._out: list[bytes] = []
        self._summaries: dict[str, tuple[float, Summary]] = {}

    # -- the lease
    def lease_granted(self, now: float, epoch: int) -> None:
        """The lease was granted; the log holds all that was published before it."""
        self.epoch, self._flying, self._again_at = epoch, None, math.inf
        self._propose_next(now)

    def lease_lost(self) -> tuple[Change, ...]:
        """The lease is over. Changes that are not known to be published are given back: their submitter looks at the
        feed and submits what is missing to whoever publishes next, since a later value may stand by then."""
        flying = self._flying.changes if self._flying is not None else ()
        abandoned = (*flying, *self._waiting)
        self.epoch, self._flying = 0, None
        self._waiting.clear()
        self._out.clear()
        self._waiting_since = self._again_at = math.inf
        return abandoned

    # -- changes
    def submit(self, now: float, changes: Iterable[Change]) -> tuple[RejectedChange, ...]:
        """Takes all of these changes, or none of them and says why."""
        batch = tuple(changes)
        problems = tuple(RejectedChange(change.key, reason) for change in batch if (reason := self._wrong(change)))
        if not problems:
            self._waiting.extend(batch)
            self._waiting_since = min(self._waiting_since, now)
        return problems

    def log_advanced(self, now: float) -> None:
        """The log has grown."""
        flying = self._flying
        if flying is None or self.log.revision < flying.checkpoint.revision:
            return
        if self.log.checkpoint_at(flying.checkpoint.revision) != flying.checkpoint:
            # Another publication took its revision, or it is not known: one proposed before this lease was lost and
            # found again, or a later publisher's. The changes go out again on top of what stands.
            self._waiting.extendleft(reversed(flying.changes))
            self._waiting_since = min(self._waiting_since, now)
        self._flying, self._again_at = None, math.inf
        self._propose_next(now)

    def tick(self, now: float) -> None:
        """What is due by now."""
        if self._flying is not None and now >= self._again_at:
            self._repeats += 1
            self._propose(now, self._flying)
        elif self._flying is None:
            self._propose_next(now)

    @property
    def next_at(self) -> float:
        """When `tick` has something to do."""
        if not self.epoch:
            return math.inf
        return self._again_at if self._flying is not None else self._waiting_since + self.tuning.batch_window

    def take_commands(self) -> list[bytes]:
        """Commands for the agreed log, in this order, since the last call."""
        out, self._out = self._out, []
        return out

    # -- progress
    def record_summary(self, now: float, summary: Summary) -> None:
        """A relay's summary."""
        self._summaries[summary.relay] = (now, summary)

    def progress(self, now: float, revision: int) -> RolloutProgress:
        """Who has this revision in force, by the relays' last summaries."""
        fresh, silent = [], []
        for relay, (heard_at, summary) in sorted(self._summaries.items()):
            if now - heard_at <= self.tuning.summary_ttl:
                fresh.append(summary)
            else:
                silent.append(relay)
        return RolloutProgress(
            revision,
            sum(summary.followers for summary in fresh),
            sum(_applied(summary, revision) for summary in fresh),
            sum(summary.rejected for summary in fresh),
            tuple(laggard for summary in fresh for laggard in summary.laggards),
            tuple(silent),
        )

    # -- inside
    def _wrong(self, change: Change) -> str:
        size = _size_of(change)
        if size + HEAD_BYTES > MAX_PUBLICATION_BYTES:
            return f"{size} bytes; {MAX_PUBLICATION_BYTES - HEAD_BYTES} at most"
        return self.check(change)

    def _propose_next(self, now: float) -> None:
        """The next batch, once its first change has waited for others or the batch is full."""
        if not self.epoch or not self._waiting or now < self._waiting_since + self.tuning.batch_window:
            return
        changes = self._next_batch()
        self._waiting_since = now if self._waiting else math.inf
        content, digest = self.log.content.digest_after(changes), changes_digest(changes)
        revision = self.log.revision + 1
        signature = self.signer.sign(signed_bytes(self.epoch, revision, content, digest))
        checkpoint = Checkpoint(self.epoch, revision, content, digest, signature)
        self._flying, self._repeats = Publication(checkpoint, changes), 0
        self._propose(now, self._flying)

    def _next_batch(self) -> tuple[Change, ...]:
        """As many changes as one publication holds, in their order."""
        changes: list[Change] = []
        room = MAX_PUBLICATION_BYTES - HEAD_BYTES
        while self._waiting and len(changes) < MAX_CHANGES:
            room -= _size_of(self._waiting[0])
            if room < 0:
                break
            changes.append(self._waiting.popleft())
        return tuple(changes)

    def _propose(self, now: float, publication: Publication) -> None:
        pause = self.tuning.retry_interval * 2.0 ** min(self._repeats, MAX_BACKOFF_DOUBLINGS)
        self._again_at = now + min(pause, self.tuning.max_retry_interval)
        self.proposals += 1
        self._out += split_publication(publication)


def _size_of(change: Change) -> int:
    """Bytes of a change, encoded; never less than it takes."""
    return len(change.key.encode()) + len(change.value or b"") + CHANGE_BYTES


def _applied(summary: Summary, revision: int) -> int:
    """Followers that surely have the revision: all of the relay's if none is older, else those at its own revision."""
    if summary.oldest_applied >= revision:
        return summary.followers
    return summary.applied if summary.revision >= revision else 0
