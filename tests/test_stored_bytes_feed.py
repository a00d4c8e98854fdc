"""The feed's log, snapshots and state machine read and write the same bytes as an earlier version.

A change of an encoding would make stored state unreadable, or break replication between different versions.
"""

import zlib

from badgerbend.feed.commands import split_publication
from badgerbend.feed.content import Content
from badgerbend.feed.framing import FrameReader
from badgerbend.feed.log import EMPTY_CHECKPOINT, PublicationLog, Retention, changes_digest
from badgerbend.feed.machine import FeedStateMachine
from badgerbend.feed.messages import Change, Checkpoint, Publication, SnapshotBegin, decode_changes, signed_bytes
from badgerbend.feed.signature import Ed25519Signer, Ed25519Verifier
from badgerbend.feed.snapshot import SnapshotAssembly, SnapshotImage
from badgerbend.leases.messages import GrantLease, PutValue, encode
from badgerbend.leases.table import Lease, VersionedValue
from tests.wire_bytes import DATA

SIGNER = Ed25519Signer(bytes(range(32)))
EPOCH = 1  # index of the log entry that grants the lease
LARGE_VALUE = bytes(range(256)) * 200  # two of them do not fit into one piece of a snapshot
CHANGES = (
    (Change(key="server/s1", value=b"\x00first\xff"), Change(key="large/1", value=LARGE_VALUE)),
    (Change(key="server/s1", value=None), Change(key="server/s2", value=b"second")),
    (Change(key="large/2", value=LARGE_VALUE[::-1]),),
)
CONTENT = {"large/1": LARGE_VALUE, "large/2": LARGE_VALUE[::-1], "server/s2": b"second"}
RETENTION = Retention(publications=16, bytes=1 << 20)

LOG = DATA / "feed-log.bin"
SNAPSHOT = DATA / "feed-snapshot.bin"
MACHINE_STATE = DATA / "feed-machine-state.bin"


def publications():
    """Return signed publications of all changes."""
    content = Content()
    signed = []
    for revision, changes in enumerate(CHANGES, 1):
        content.apply(changes)
        digests = (content.digest(), changes_digest(changes))
        signature = SIGNER.sign(signed_bytes(EPOCH, revision, *digests))
        checkpoint = Checkpoint(
            epoch=EPOCH, revision=revision, content_digest=digests[0], changes_digest=digests[1], signature=signature
        )
        signed.append(Publication(checkpoint=checkpoint, changes=changes))
    return signed


def filled_log():
    log = PublicationLog(RETENTION)
    for publication in publications():
        log.append(publication)
    return log


def filled_machine():
    """Return a machine with a lease, a fact, two publications, and all parts but the first of a third one."""
    machine = FeedStateMachine(RETENTION)
    commands = [
        encode(GrantLease(duty="publish", holder="c1", previous_epoch=0)),
        encode(PutValue(key="version", value=b"\x00v2\xff", previous_index=0)),
    ]
    first, second, third = (split_publication(publication) for publication in publications())
    for index, command in enumerate([*commands, *first, *second, *third[1:]], 1):
        machine.apply(index, command)
    return machine


def retained_frames(log):
    return b"".join(log.next_after(revision).frame for revision in range(log.oldest_revision, log.revision))


def test_log_is_read_from_its_frames():
    read = list(FrameReader().feed(LOG.read_bytes()))
    assert read == publications()
    log = PublicationLog(RETENTION)
    for publication in read:
        log.append(publication)
    assert dict(log.content.items()) == CONTENT
    assert (log.epoch, log.revision, log.oldest_revision) == (EPOCH, 3, 0)
    assert retained_frames(log) == LOG.read_bytes()


def test_log_is_written_with_the_same_bytes():
    assert retained_frames(filled_log()) == LOG.read_bytes()


def test_digests_and_signature():
    checkpoint = publications()[-1].checkpoint
    assert EMPTY_CHECKPOINT.content_digest.hex() == "069d88983c23a8d8a8ceb56c2cf2098b"
    assert checkpoint.content_digest.hex() == "01a90d0a068509c42a0d2fc58a7df063"
    assert checkpoint.changes_digest.hex() == "5636a222f11edbad648c72eade86767f"
    assert Ed25519Verifier(SIGNER.public_key()).verify(checkpoint.signed_bytes(), checkpoint.signature)


def test_snapshot_is_read():
    begin, *pieces = FrameReader().feed(SNAPSHOT.read_bytes())
    assert begin == SnapshotBegin(checkpoint=publications()[-1].checkpoint, piece_count=2)
    assembly = SnapshotAssembly(begin)
    for piece in pieces:
        assembly.add(piece)
    assert assembly.complete
    assert dict(assembly.content.items()) == CONTENT
    log = PublicationLog(RETENTION)
    log.install_snapshot(assembly.content, assembly.checkpoint)
    assert log.revision == 3


def test_snapshot_is_written_with_the_same_content():
    """The compressed bytes may differ between versions of zlib, but the decompressed content may not."""
    log = filled_log()
    image = SnapshotImage(log.content, log.checkpoint)
    written = list(FrameReader().feed(image.begin_frame + image.piece_frame(0) + image.piece_frame(1)))
    expected = list(FrameReader().feed(SNAPSHOT.read_bytes()))
    assert SNAPSHOT.read_bytes().startswith(image.begin_frame)
    assert image.piece_count == 2
    assert written[0] == expected[0]
    assert [piece.index for piece in written[1:]] == [piece.index for piece in expected[1:]] == [0, 1]
    for piece, expected_piece in zip(written[1:], expected[1:], strict=True):
        decompressed = zlib.decompress(expected_piece.compressed)
        assert zlib.decompress(piece.compressed) == decompressed
        assert all(isinstance(change, Change) for change in decode_changes(decompressed))


def test_machine_state_is_written_with_the_same_bytes():
    assert filled_machine().dump() == MACHINE_STATE.read_bytes()


def test_machine_state_is_read():
    machine = FeedStateMachine(RETENTION)
    machine.load(MACHINE_STATE.read_bytes())
    assert machine.table.leases == {"publish": Lease("c1", EPOCH)}
    assert machine.table.values == {"version": VersionedValue(b"\x00v2\xff", 2)}
    assert machine.log.checkpoint == publications()[1].checkpoint
    assert dict(machine.log.content.items()) == {"large/1": LARGE_VALUE, "server/s2": b"second"}
    assert machine.dump() == MACHINE_STATE.read_bytes()


def test_machine_continues_with_the_part_that_was_missing():
    machine = FeedStateMachine(RETENTION)
    machine.load(MACHINE_STATE.read_bytes())
    commands = split_publication(publications()[-1])
    assert machine.needs_part(commands[0])
    assert not any(machine.needs_part(command) for command in commands[1:])
    machine.apply(1000, commands[0])
    assert machine.log.revision == 3
    assert dict(machine.log.content.items()) == CONTENT
