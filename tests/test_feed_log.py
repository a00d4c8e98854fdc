"""The log of publications: which publications it accepts, and its compaction."""

import pytest

from badgerbend.feed.errors import (
    DigestMismatchError,
    RevisionGapError,
    StaleEpochError,
    TamperedChangesError,
)
from badgerbend.feed.log import PublicationLog, Retention
from badgerbend.feed.messages import (
    Publication,
)
from tests.feed_harness import change, entries, signed_publication


def test_the_log_accepts_only_the_next_publication():
    log = PublicationLog(Retention())
    log.append(signed_publication(log, 5, change("a", "1")))
    with pytest.raises(RevisionGapError):
        log.append(signed_publication(log, 5, change("a", "2"), revision=3))
    with pytest.raises(StaleEpochError):
        log.append(signed_publication(log, 4, change("a", "2")))
    good = signed_publication(log, 5, change("a", "2"))
    with pytest.raises(TamperedChangesError):
        log.append(Publication(good.checkpoint, (change("a", "other"),)))
    log.content.apply([change("b", "not published")])
    with pytest.raises(DigestMismatchError):
        log.append(good)
    assert log.revision == 1
    assert entries(log) == {"a": b"1", "b": b"not published"}


def test_compaction_retains_as_many_publications_as_allowed():
    log = PublicationLog(Retention(publications=3))
    for value in range(10):
        log.append(signed_publication(log, 1, change("a", str(value))))
    assert log.oldest_revision == 7
    assert [log.next_after(revision).checkpoint.revision for revision in (7, 8, 9)] == [8, 9, 10]
    assert log.next_after(10) is None
    assert log.digest_at(6) is None
    assert log.digest_at(7) is not None
    assert log.digest_at(10) == log.content.digest()


def test_compaction_by_bytes():
    log = PublicationLog(Retention(bytes=2000))
    for value in range(10):
        log.append(signed_publication(log, 1, change("a", str(value) * 500)))
    assert 0 < log.revision - log.oldest_revision <= 3


def test_bytes_after_a_revision_are_those_of_its_frames():
    log = PublicationLog(Retention(publications=5))
    for value in range(9):
        log.append(signed_publication(log, 1, change("a", str(value) * value)))
    frames = {revision: len(log.next_after(revision).frame) for revision in range(4, 9)}
    assert [log.bytes_after(r) for r in range(4, 10)] == [
        sum(n for at, n in frames.items() if at >= r) for r in range(4, 10)
    ]
    log.content.apply([change("b", "1234"), change("b", "12"), change("c", None)])
    assert log.content.size_bytes == sum(len(key) + len(value) for key, value in log.content.items())
