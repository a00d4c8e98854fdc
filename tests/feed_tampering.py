"""A faulty relay: it alters, forges, truncates, withholds or replays the frames that it should send.

Heartbeats are not altered: they carry no signature, so a follower cannot detect a false age.
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

MAX_REPLAYED = 40  # frames retained for a replay
METHODS = (
    "alter",
    "forge",
    "truncate",
    "replay",
    "replay snapshot",
    "withhold",
    "repeat piece",
    "forge content",
    "go back",
)


class FrameTamperer:
    """Tampers in one way with the frames to all followers of a relay."""

    def __init__(self, rng):
        self.rng = rng
        self.method = rng.choice(METHODS)
        self.sent = []  # latest frames of publications
        self.snapshots = {}  # session: the number of pieces and the frames so far of the snapshot that is being sent
        self.complete = []  # the frames of complete snapshots

    def replacement_frames(self, data, session):
        """Return the frames to send in place of a frame."""
        (message,) = FrameReader().feed(data)
        if isinstance(message, Heartbeat):
            return self._frames_with_heartbeat(data)
        self._record(data, message, session)
        match self.method, message:
            case "alter", Publication() if message.changes:
                return [encode_frame(Publication(message.checkpoint, self._altered(message.changes)))]
            case "alter", SnapshotPiece():
                return [encode_frame(SnapshotPiece(message.index, self._altered_piece()))]
            case "forge", Publication() | SnapshotBegin():
                return [encode_frame(self._forged(message))]
            case "forge content", Publication():
                return [encode_frame(Publication(message.checkpoint, (*message.changes, Change("node/0", b"false"))))]
            case "truncate", _ if self.rng.random() < 0.3:
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

    def _frames_with_heartbeat(self, data):
        if self.method in ("replay snapshot", "go back") and self.complete and self.rng.random() < 0.5:
            return [*self.rng.choice(self.complete), data]
        if self.method == "replay" and self.sent and self.rng.random() < 0.5:
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
        index = self.rng.randrange(len(changes))
        altered = Change(changes[index].key, b"altered")
        return (*changes[:index], altered, *changes[index + 1 :])

    def _altered_piece(self):
        return zlib.compress(encode_changes((Change("node/0", b"altered"),)))

    def _forged(self, message):
        """Return the message with another checkpoint, for which its signature is not valid."""
        old = message.checkpoint
        digests = (old.content_digest, old.changes_digest)
        if isinstance(message, SnapshotBegin):
            return SnapshotBegin(Checkpoint(old.epoch, old.revision + 3, *digests, old.signature), message.piece_count)
        return Publication(Checkpoint(old.epoch + 1, old.revision, *digests, old.signature), message.changes)
