"""The publisher: validation, batches, retries and the loss of its lease."""

from badgerbend.feed.commands import split_publication
from badgerbend.feed.messages import (
    Change,
)
from badgerbend.feed.publisher import PublisherTuning
from tests.feed_harness import FULL_NODE_COUNT, Control, change, entries, full_harness, signed_publication


def test_changes_are_published_again_if_another_publication_has_their_revision():
    control = Control()
    epoch = control.grant()
    earlier = signed_publication(
        control.machine.log, epoch, change("a", "proposed before the lease was lost and regained")
    )
    assert control.publisher.submit(0.0, [change("b", "accepted after")]) == ()
    control.publisher.tick(0.0)
    control.publisher.take_commands()
    for command in split_publication(earlier):  # the earlier proposal was delayed and is applied first
        control.command(command)
    control.publisher.log_advanced(0.0)
    control.pump(0.0)
    assert control.machine.log.revision == 2
    assert entries(control.machine.log) == {"a": earlier.changes[0].value, "b": b"accepted after"}


def test_an_invalid_change_is_rejected_with_its_batch():
    control = Control(check=lambda change: "line 3: field `wait` is no number" if change.value == b"bad" else "")
    control.grant()
    problems = control.publish(0.0, change("configuration/a", "bad"), change("b", "1"))
    assert [(p.key, p.reason) for p in problems] == [("configuration/a", "line 3: field `wait` is no number")]
    assert control.machine.log.revision == 0


def test_a_change_larger_than_a_publication_is_rejected():
    control = Control()
    control.grant()
    (problem,) = control.publish(0.0, Change("a", bytes(400_000)))
    assert "at most" in problem.reason


def test_changes_within_a_batch_window_are_published_together_and_the_later_one_wins():
    control = Control(tuning=PublisherTuning(batch_window=0.05))
    control.grant()
    control.publish(0.0, change("a", "1"))
    control.publish(0.04, change("a", "2"), change("b", "1"))
    assert control.machine.log.revision == 0
    control.pump(0.06)
    assert control.machine.log.revision == 1
    assert entries(control.machine.log) == {"a": b"2", "b": b"1"}


def test_a_lost_proposal_is_retried():
    control = Control()
    control.grant()
    control.publisher.submit(0.0, [change("a", "1")])
    control.publisher.tick(0.0)
    assert control.publisher.take_commands()  # these commands are lost
    control.pump(0.5)
    assert control.machine.log.revision == 0
    control.pump(1.1)
    assert control.machine.log.revision == 1


def test_retries_of_a_proposal_back_off():
    control = Control(tuning=PublisherTuning(batch_window=0.0, retry_interval=1.0, max_retry_interval=8.0))
    control.grant()
    control.publisher.submit(0.0, [change("a", "1")])
    control.publisher.tick(0.0)
    retried_at = []
    for _ in range(6):
        retried_at.append(control.publisher.next_at)
        control.publisher.tick(control.publisher.next_at)
    assert retried_at == [1.0, 3.0, 7.0, 15.0, 23.0, 31.0]


def test_a_deposed_publisher_returns_the_unpublished_changes():
    control = Control()
    control.grant()
    control.publisher.submit(0.0, [change("a", "1")])
    control.publisher.tick(0.0)
    control.publisher.submit(0.0, [change("b", "2")])
    assert control.publisher.lease_lost() == (change("a", "1"), change("b", "2"))
    control.publisher.tick(5.0)
    assert len(control.publisher.take_commands()) == 0


def test_many_changes_are_published_in_several_publications():
    harness = full_harness()
    assert harness.control.machine.log.revision >= 2
    assert len(harness.control.machine.log.content) == FULL_NODE_COUNT
