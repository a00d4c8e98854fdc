"""A relay that lies: it alters, forges, cuts, withholds or replays the frames that it should send.

Heartbeats are left alone: they are not signed, so that a relay that claims a false age is believed.
"""

import zlib

from badgerbend.feed.framing import FrameReader, encode_frame
from badgerbend.feed.messages import (
    Change,
    Checkpoint,
    Heartbeat,
    Publication,
    SnapshotBegin,
    SnapshotPiece,
    encode_changes,
)

MAX_REPLAYED = 40  # frames that it can replay
LIES = ("alter", "forge", "cut", "replay", "replay snapshot", "withhold", "repeat piece", "forge content", "go back")


class Liar:
    """Tells one kind of lie to all followers of a relay."""

    def __init__(self, rng):
        self.rng = rng
        self.lie = rng.choice(LIES)
        self.sent = []  # frames of publications
        self.snapshots = {}  # session: pieces and frames of the snapshot on its way
        self.complete = []  # the frames of complete snapshots

    def frames_in_place_of(self, data, session):
        """The frames that are sent in place of a frame."""
        (message,) = FrameReader().feed(data)
        if isinstance(message, Heartbeat):
            return self._instead_of_heartbeat(data)
        self._record(data, message, session)
        match self.lie, message:
            case "alter", Publication() if message.changes:
                return [encode_frame(Publication(message.checkpoint, self._altered(message.changes)))]
            case "alter", SnapshotPiece():
                return [encode_frame(SnapshotPiece(message.index, self._other_piece()))]
            case "forge", Publication() | SnapshotBegin():
                return [encode_frame(self._forged(message))]
            case "forge content", Publication():
                return [encode_frame(Publication(message.checkpoint, (*message.changes, Change("node/0", b"false"))))]
            case "cut", _ if self.rng.random() < 0.3:
                return [data[: self.rng.randrange(len(data))]]
            case "withhold", Publication() if self.rng.random() < 0.5:
                return []
            case "withhold", SnapshotPiece() if self.rng.random() < 0.3:
                return []
            case "repeat piece", SnapshotPiece():
                return [data, data]
            case "replay", Publication() if self.sent:
                return [self.rng.choice(self.sent), data]
        return [data]

    def _instead_of_heartbeat(self, data):
        if self.lie in ("replay snapshot", "go back") and self.complete and self.rng.random() < 0.5:
            return [*self.rng.choice(self.complete), data]
        if self.lie == "replay" and self.sent and self.rng.random() < 0.5:
            return [self.rng.choice(self.sent), data]
        return [data]

    def _record(self, data, message, session):
        if isinstance(message, Publication):
            self.sent = [*self.sent[-MAX_REPLAYED:], data]
        elif isinstance(message, SnapshotBegin):
            self.snapshots[session] = (message.piece_count, [data])
        elif session in self.snapshots:
            pieces, frames = self.snapshots[session]
            frames.append(data)
            if len(frames) == pieces + 1:
                self.complete = [*self.complete[-3:], frames]

    def _altered(self, changes):
        place = self.rng.randrange(len(changes))
        altered = Change(changes[place].key, b"altered")
        return (*changes[:place], altered, *changes[place + 1 :])

    def _other_piece(self):
        return zlib.compress(encode_changes((Change("node/0", b"altered"),)))

    def _forged(self, message):
        """A checkpoint of the liar's own, whose signature cannot be valid."""
        old = message.checkpoint
        digests = (old.content_digest, old.changes_digest)
        if isinstance(message, SnapshotBegin):
            return SnapshotBegin(Checkpoint(old.epoch, old.revision + 3, *digests, old.signature), message.piece_count)
        return Publication(Checkpoint(old.epoch + 1, old.revision, *digests, old.signature), message.changes)
