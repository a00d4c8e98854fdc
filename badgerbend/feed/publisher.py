"""The publisher: it validates changes, batches them, signs what they lead to and proposes them to the agreed log. Pure.

One publication is in flight at a time, since the digest of the next one builds on it. One that is not committed in time
is proposed again; the log accepts each revision once, so that proposals are idempotent.

Times are seconds on any clock that does not go backwards; it is read by the caller only.
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

PUBLICATION_OVERHEAD_BYTES = 400  # upper bound of an encoded publication without its changes
CHANGE_OVERHEAD_BYTES = 16  # upper bound of what encoding adds to a change's key and value
MAX_CHANGES_BYTES = MAX_PUBLICATION_BYTES - PUBLICATION_OVERHEAD_BYTES  # of the changes of one publication
MAX_BACKOFF_DOUBLINGS = 20  # keeps the power finite; `max_retry_interval` is reached long before


@dataclass(frozen=True, slots=True)
class PublisherTuning:
    """Intervals of a publisher, in seconds."""

    batch_window: float = 0.05  # changes that arrive within this are published together
    retry_interval: float = 1.0  # before the first retry of a proposal; each further one doubles
    summary_ttl: float = 5.0  # a relay's summary counts for so long
    max_retry_interval: float = 16.0  # retries of a large publication would fill the log before one is complete


@dataclass(frozen=True, slots=True)
class RejectedChange:
    """Why a change is rejected; the text names the line and the field where there are any."""

    key: str
    reason: str


ChangeCheck = Callable[[Change], str]  # returns what is wrong with a change, or nothing


class Publisher:
    """Publishes while it holds the lease. `log` is a replica of the agreed log's publications."""

    def __init__(self, log: PublicationLog, check: ChangeCheck, signer: Signer, tuning: PublisherTuning) -> None:
        self.log = log
        self.check = check
        self.signer = signer
        self.tuning = tuning
        self.epoch = 0  # of the own lease, 0 without one
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
        """When `tick` has something to do."""
        if not self.epoch:
            return math.inf
        return self._retry_at if self._in_flight is not None else self._queued_since + self.tuning.batch_window

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or in flight."""
        return self._in_flight is None and not self._queue

    def lease_granted(self, now: float, epoch: int) -> None:
        """Begin to publish: the log holds all that was published under earlier leases."""
        self.epoch = epoch
        self._in_flight = None
        self._retry_at = math.inf
        self._propose_next(now)

    def lease_lost(self) -> tuple[Change, ...]:
        """Stop publishing; return the changes that are not known to be published.

        Their submitter compares them with the feed and submits what is missing to the next publisher, since a later
        value may have been published by then.
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
        """Queue all of these changes, or none of them and return why."""
        batch = tuple(changes)
        rejected = tuple(RejectedChange(change.key, reason) for change in batch if (reason := self._fault_of(change)))
        if not rejected:
            self._queue.extend(batch)
            self._queued_since = min(self._queued_since, now)
        return rejected

    def log_advanced(self, now: float) -> None:
        """The log has grown."""
        publication = self._in_flight
        if publication is None or self.log.revision < publication.checkpoint.revision:
            return
        if self.log.checkpoint_at(publication.checkpoint.revision) != publication.checkpoint:
            # Another publication has this revision, or it is not known which one: one proposed before this lease was
            # lost and regained, or a later publisher's. The changes are published again on top of it.
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
        """Return the commands for the agreed log since the last call, in their order."""
        commands = self._commands
        self._commands = []
        return commands

    def record_summary(self, now: float, summary: Summary) -> None:
        """Keep a relay's latest summary."""
        self._summaries.record(now, summary)

    def progress(self, now: float, revision: int) -> RolloutProgress:
        """How many followers have applied a revision, by the relays' latest summaries."""
        return self._summaries.progress(now, revision, self.tuning.summary_ttl)

    def _fault_of(self, change: Change) -> str:
        size = _encoded_size(change)
        if size > MAX_CHANGES_BYTES:
            return f"{size} bytes; {MAX_CHANGES_BYTES} at most"
        return self.check(change)

    def _propose_next(self, now: float) -> None:
        """Propose the next batch, once the batch window of its first change is over."""
        if not self.epoch or not self._queue or now < self._queued_since + self.tuning.batch_window:
            return
        changes = self._next_batch()
        self._queued_since = now if self._queue else math.inf
        self._in_flight = self._sign(changes)
        self._retries = 0
        self._propose(now, self._in_flight)

    def _next_batch(self) -> tuple[Change, ...]:
        """Dequeue as many changes as one publication holds, in their order."""
        changes: list[Change] = []
        capacity = MAX_CHANGES_BYTES
        while self._queue and len(changes) < MAX_CHANGES:
            capacity -= _encoded_size(self._queue[0])
            if capacity < 0:
                break
            changes.append(self._queue.popleft())
        return tuple(changes)

    def _sign(self, changes: tuple[Change, ...]) -> Publication:
        """Make the publication that follows the log's last revision."""
        revision = self.log.revision + 1
        content_digest = self.log.content.digest_after(changes)
        digest = changes_digest(changes)
        signature = self.signer.sign(signed_bytes(self.epoch, revision, content_digest, digest))
        return Publication(Checkpoint(self.epoch, revision, content_digest, digest, signature), changes)

    def _propose(self, now: float, publication: Publication) -> None:
        pause = self.tuning.retry_interval * 2.0 ** min(self._retries, MAX_BACKOFF_DOUBLINGS)
        self._retry_at = now + min(pause, self.tuning.max_retry_interval)
        self.proposals += 1
        self._commands += split_publication(publication)


def _encoded_size(change: Change) -> int:
    """Upper bound of the bytes of an encoded change."""
    return len(change.key.encode()) + len(change.value or b"") + CHANGE_OVERHEAD_BYTES
