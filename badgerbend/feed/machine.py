"""The replicated state machine of the control machines: the log of publications beside the table of leases. Pure.

A publication is accepted only under the epoch of the current lease on `PUBLISH_LEASE`, and only as the next revision.
A deposed publisher can therefore publish nothing more, however late its commands arrive. Every voter decides alike.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from badgerbend.feed.commands import PublishPart, decode_part, decode_publication
from badgerbend.feed.content import Content
from badgerbend.feed.errors import FeedError, PartMismatchError
from badgerbend.feed.log import PublicationLog, Retention
from badgerbend.feed.messages import Change, Checkpoint, Publication
from badgerbend.leases.table import LeaseTable

PUBLISH_LEASE = "publish"  # the duty whose holder publishes


class _Dump(msgspec.Struct, array_like=True):
    table: bytes
    checkpoint: Checkpoint
    entries: list[tuple[str, bytes]]
    pending_epoch: int
    pending_revision: int
    pending_whole: bytes
    pending: list[tuple[int, bytes]]


class FeedStateMachine:
    """A `consensus.types.StateMachine`; `on_log_change` is called after each change of the log of publications."""

    def __init__(self, retention: Retention, on_log_change: Callable[[], None] = lambda: None) -> None:
        self.table = LeaseTable()
        self.log = PublicationLog(retention)
        self.on_log_change = on_log_change
        self.last_error: FeedError | None = None  # why the last publication that did not stand did not
        self._pending_of = (0, 0, b"")  # epoch, revision and hash of the publication whose parts are coming
        self._pending: dict[int, bytes] = {}

    def apply(self, index: int, data: bytes) -> None:
        """A command of the log."""
        part = decode_part(data)
        if part is None:
            self.table.apply(index, data)
        elif self.is_current_epoch(part.epoch):
            self._add(part)

    def needs_part(self, command: bytes) -> bool:
        """Whether a command is a part that would bring its publication on: not one that is there already."""
        part = decode_part(command)
        if part is None:
            return True
        same = (part.epoch, part.revision, part.publication_id) == self._pending_of
        return not (same and part.part_index in self._pending)

    def is_current_epoch(self, epoch: int) -> bool:
        """Whether this is the epoch of the lease on publishing."""
        lease = self.table.lease(PUBLISH_LEASE)
        return bool(lease.holder) and lease.epoch == epoch

    def dump(self) -> bytes:
        epoch, revision, whole = self._pending_of
        state = _Dump(
            self.table.dump(),
            self.log.checkpoint,
            sorted(self.log.content.items()),
            epoch,
            revision,
            whole,
            sorted(self._pending.items()),
        )
        return msgspec.msgpack.encode(state)

    def load(self, state: bytes) -> None:
        """Raises msgspec.MsgspecError or DigestMismatch for what `dump` never wrote."""
        found = msgspec.msgpack.decode(state, type=_Dump)
        content = Content()
        content.apply(Change(key, value) for key, value in found.entries)
        self.table.load(found.table)
        self.log.install_snapshot(content, found.checkpoint)
        self._pending_of = (found.pending_epoch, found.pending_revision, found.pending_whole)
        self._pending = dict(found.pending)
        self.on_log_change()

    def _add(self, part: PublishPart) -> None:
        """Puts parts together, in whatever order they come; those of another publication end what had begun."""
        which = (part.epoch, part.revision, part.publication_id)
        if which != self._pending_of:
            self._pending_of, self._pending = which, {}
        self._pending[part.part_index] = part.data
        if len(self._pending) == part.part_count:
            data = b"".join(piece for _, piece in sorted(self._pending.items()))
            self._pending = {}
            self._publish(part, data)

    def _publish(self, part: PublishPart, data: bytes) -> None:
        try:
            publication = decode_publication(data)
            self._check_head(part, publication)
            self.log.append(publication)
        except FeedError as error:
            self.last_error = error
            return
        self.on_log_change()

    def _check_head(self, part: PublishPart, publication: Publication) -> None:
        """The epoch that was checked is the one that is signed."""
        checkpoint = publication.checkpoint
        if (checkpoint.epoch, checkpoint.revision) != (part.epoch, part.revision):
            raise PartMismatchError(part.epoch, part.revision)
