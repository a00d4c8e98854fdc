"""The replicated state machine of the control machines: the log of publications and the table of leases.

A publication is accepted only under the epoch of the current `PUBLISH_LEASE`, and only as the next revision. Late
commands of a publisher that has lost the lease therefore have no effect. All voters apply the same commands in the same
order and reach the same decisions. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from badgerbend.feed.commands import PublishPart, decode_part, decode_publication
from badgerbend.feed.content import Content
from badgerbend.feed.errors import FeedError, PartMismatchError
from badgerbend.feed.log import PublicationLog, Retention
from badgerbend.feed.messages import Change, Checkpoint, Publication
from badgerbend.leases.table import LeaseTable

PUBLISH_LEASE = "publish"  # name of the publishing lease


@dataclass(frozen=True, slots=True)
class PublicationKey:
    """Identifies the publication that a part belongs to."""

    epoch: int = 0
    revision: int = 0
    publication_id: bytes = b""


class _StoredState(msgspec.Struct, array_like=True):
    """The stored state, encoded as a positional array: the order of the fields is the format, not their names."""

    table: bytes
    checkpoint: Checkpoint
    entries: list[tuple[str, bytes]]
    pending_epoch: int
    pending_revision: int
    pending_publication_id: bytes
    pending_parts: list[tuple[int, bytes]]


class FeedStateMachine:
    """A `consensus.types.StateMachine` that calls `on_log_change` after each change of the log of publications."""

    def __init__(self, retention: Retention, on_log_change: Callable[[], None] = lambda: None) -> None:
        self.table = LeaseTable()
        self.log = PublicationLog(retention)
        self.on_log_change = on_log_change
        self.last_error: FeedError | None = None  # the reason for the last rejection of a publication
        self._pending_key = PublicationKey()  # of the incomplete publication
        self._pending_parts: dict[int, bytes] = {}

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed command."""
        part = decode_part(data)
        if part is None:
            self.table.apply(index, data)
        elif self.is_current_epoch(part.epoch):
            self._collect_part(part)

    def needs_part(self, command: bytes) -> bool:
        """Whether a command has to be proposed; false for a part that has already been applied."""
        part = decode_part(command)
        if part is None:
            return True
        return _publication_key(part) != self._pending_key or part.part_index not in self._pending_parts

    def is_current_epoch(self, epoch: int) -> bool:
        """Whether this is the epoch of the publishing lease and the lease has a holder."""
        lease = self.table.lease(PUBLISH_LEASE)
        return bool(lease.holder) and lease.epoch == epoch

    def dump(self) -> bytes:
        """Encode the state for a snapshot of the replicated log."""
        state = _StoredState(
            self.table.dump(),
            self.log.checkpoint,
            sorted(self.log.content.items()),
            self._pending_key.epoch,
            self._pending_key.revision,
            self._pending_key.publication_id,
            sorted(self._pending_parts.items()),
        )
        return msgspec.msgpack.encode(state)

    def load(self, state: bytes) -> None:
        """Replace the state. Raises msgspec.MsgspecError or DigestMismatchError for invalid data."""
        dump = msgspec.msgpack.decode(state, type=_StoredState)
        content = Content()
        content.apply(Change(key, value) for key, value in dump.entries)
        self.table.load(dump.table)
        self.log.install_snapshot(content, dump.checkpoint)
        self._pending_key = PublicationKey(dump.pending_epoch, dump.pending_revision, dump.pending_publication_id)
        self._pending_parts = dict(dump.pending_parts)
        self.on_log_change()

    def _collect_part(self, part: PublishPart) -> None:
        """Collect parts in any order. A part of another publication discards the parts collected so far."""
        key = _publication_key(part)
        if key != self._pending_key:
            self._pending_key = key
            self._pending_parts = {}
        self._pending_parts[part.part_index] = part.data
        if len(self._pending_parts) == part.part_count:
            data = b"".join(piece for _, piece in sorted(self._pending_parts.items()))
            self._pending_parts = {}
            self._publish(part, data)

    def _publish(self, part: PublishPart, data: bytes) -> None:
        try:
            publication = decode_publication(data)
            self._check_position(part, publication)
            self.log.append(publication)
        except FeedError as error:
            self.last_error = error
            return
        self.on_log_change()

    def _check_position(self, part: PublishPart, publication: Publication) -> None:
        """Check that the epoch that was compared with the lease is the signed one. Raises PartMismatchError."""
        checkpoint = publication.checkpoint
        if (checkpoint.epoch, checkpoint.revision) != (part.epoch, part.revision):
            raise PartMismatchError(part.epoch, part.revision)


def _publication_key(part: PublishPart) -> PublicationKey:
    return PublicationKey(part.epoch, part.revision, part.publication_id)
