"""The publisher: it validates and batches changes, signs the resulting checkpoint and proposes the publication.

Only one publication is in flight at a time, because the digest of the next one depends on it. A publication that is not
committed in time is proposed again. Proposals are idempotent, because the log accepts each revision only once.

This module does no I/O. Times are seconds on any monotonic clock, which only the caller reads.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from badgerbend.feed.commands import MAX_PUBLICATION_BYTES, split_publication
from badgerbend.feed.log import PublicationLog, changes_digest
from badgerbend.feed.messages import MAX_CHANGES, Change, Checkpoint, Publication, Summary, signed_bytes
from badgerbend.feed.rollout import RolloutProgress, SummaryTable
from badgerbend.feed.signature import Signer

PUBLICATION_OVERHEAD_BYTES = 400  # upper bound of the size of an encoded publication without its changes
CHANGE_OVERHEAD_BYTES = 16  # upper bound of what encoding adds to the key and value of a change
MAX_CHANGES_BYTES = MAX_PUBLICATION_BYTES - PUBLICATION_OVERHEAD_BYTES  # total size of the changes in one publication
MAX_BACKOFF_DOUBLINGS = 20  # prevents overflow; `max_retry_interval` is reached with fewer doublings


@dataclass(frozen=True, slots=True)
class PublisherTuning:
    """Intervals of a publisher, in seconds."""

    batch_window: float = 0.05  # changes submitted within this time are published together
    retry_interval: float = 1.0  # before the first retry of a proposal; doubles with each retry
    summary_ttl: float = 5.0  # older summaries of a relay are ignored
    # More frequent retries of a large publication would fill the log before one of them is complete.
    max_retry_interval: float = 16.0


@dataclass(frozen=True, slots=True)
class RejectedChange:
    """A change that cannot be published; `reason` names the line and the field if there are any."""

    key: str
    reason: str


ChangeCheck = Callable[[Change], str]  # returns the reason to reject a change, or an empty string


class Publisher:
    """Publishes while its machine holds the publishing lease. `log` is the local replica of the log of publications."""

    def __init__(self, log: PublicationLog, check: ChangeCheck, signer: Signer, tuning: PublisherTuning) -> None:
        self.log = log
        self.check = check
        self.signer = signer
        self.tuning = tuning
        self.epoch = 0  # of the publishing lease, or 0 while it is not held
        self.proposals = 0
        self._queue: deque[Change] = deque()
        self._queued_since = math.inf
        self._in_flight: Publication | None = None
        self._retry_at = math.inf
        self._retries = 0  # of the publication in flight
        self._commands: list[bytes] = []
        self._summaries = SummaryTable()

    @property
    def next_at(self) -> float:
        """The time at which `tick` next has something to do."""
        if not self.epoch:
            return math.inf
        return self._retry_at if self._in_flight is not None else self._queued_since + self.tuning.batch_window

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or in flight."""
        return self._in_flight is None and not self._queue

    def lease_granted(self, now: float, epoch: int) -> None:
        """Start to publish. By now the log contains everything that was published under earlier leases."""
        self.epoch = epoch
        self._in_flight = None
        self._retry_at = math.inf
        self._propose_next(now)

    def lease_lost(self) -> tuple[Change, ...]:
        """Stop publishing. Returns the changes that are not known to be published.

        Whoever submitted them compares them with the feed and submits the missing ones to the next publisher. They are
        not submitted again automatically, because later values may have been published in the meantime.
        """
        in_flight = self._in_flight.changes if self._in_flight is not None else ()
        abandoned = (*in_flight, *self._queue)
        self.epoch = 0
        self._in_flight = None
        self._queue.clear()
        self._commands.clear()
        self._queued_since = math.inf
        self._retry_at = math.inf
        return abandoned

    def submit(self, now: float, changes: Iterable[Change]) -> tuple[RejectedChange, ...]:
        """Queue all of these changes, or queue none and return the rejected ones with their reasons."""
        batch = tuple(changes)
        rejected = tuple(
            RejectedChange(change.key, reason) for change in batch if (reason := self._rejection_reason(change))
        )
        if not rejected:
            self._queue.extend(batch)
            self._queued_since = min(self._queued_since, now)
        return rejected

    def log_advanced(self, now: float) -> None:
        """Handle the growth of the log."""
        publication = self._in_flight
        if publication is None or self.log.revision < publication.checkpoint.revision:
            return
        if self.log.checkpoint_at(publication.checkpoint.revision) != publication.checkpoint:
            # Another publication has this revision, or the checkpoint of this revision is no longer retained. That
            # publication was proposed before this lease was lost and regained, or by a later publisher. The changes
            # are published again on top of it.
            self._queue.extendleft(reversed(publication.changes))
            self._queued_since = min(self._queued_since, now)
        self._in_flight = None
        self._retry_at = math.inf
        self._propose_next(now)

    def tick(self, now: float) -> None:
        """Do what is due by now."""
        if self._in_flight is None:
            self._propose_next(now)
        elif now >= self._retry_at:
            self._retries += 1
            self._propose(now, self._in_flight)

    def take_commands(self) -> list[bytes]:
        """Return the commands for the replicated log since the last call, in order."""
        commands = self._commands
        self._commands = []
        return commands

    def record_summary(self, now: float, summary: Summary) -> None:
        """Store the latest summary of a relay."""
        self._summaries.record(now, summary)

    def progress(self, now: float, revision: int) -> RolloutProgress:
        """Return how many followers have applied a revision, according to the latest summaries of the relays."""
        return self._summaries.progress(now, revision, self.tuning.summary_ttl)

    def _rejection_reason(self, change: Change) -> str:
        size = _encoded_size(change)
        if size > MAX_CHANGES_BYTES:
            return f"{size} bytes; at most {MAX_CHANGES_BYTES} are allowed"
        return self.check(change)

    def _propose_next(self, now: float) -> None:
        """Propose the next batch once the batch window of its first change has ended."""
        if not self.epoch or not self._queue or now < self._queued_since + self.tuning.batch_window:
            return
        changes = self._next_batch()
        self._queued_since = now if self._queue else math.inf
        self._in_flight = self._sign(changes)
        self._retries = 0
        self._propose(now, self._in_flight)

    def _next_batch(self) -> tuple[Change, ...]:
        """Dequeue as many changes as fit into one publication, in order."""
        changes: list[Change] = []
        capacity = MAX_CHANGES_BYTES
        while self._queue and len(changes) < MAX_CHANGES:
            capacity -= _encoded_size(self._queue[0])
            if capacity < 0:
                break
            changes.append(self._queue.popleft())
        return tuple(changes)

    def _sign(self, changes: tuple[Change, ...]) -> Publication:
        """Create the signed publication for the next revision of the log."""
        revision = self.log.revision + 1
        content_digest = self.log.content.digest_after(changes)
        digest = changes_digest(changes)
        signature = self.signer.sign(signed_bytes(self.epoch, revision, content_digest, digest))
        return Publication(Checkpoint(self.epoch, revision, content_digest, digest, signature), changes)

    def _propose(self, now: float, publication: Publication) -> None:
        delay = self.tuning.retry_interval * 2.0 ** min(self._retries, MAX_BACKOFF_DOUBLINGS)
        self._retry_at = now + min(delay, self.tuning.max_retry_interval)
        self.proposals += 1
        self._commands += split_publication(publication)


def _encoded_size(change: Change) -> int:
    """Return an upper bound of the size of an encoded change."""
    return len(change.key.encode()) + len(change.value or b"") + CHANGE_OVERHEAD_BYTES
