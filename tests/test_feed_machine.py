"""The replicated state machine: leases, epochs, and publications in parts."""

from badgerbend.feed.commands import split_publication
from badgerbend.feed.log import Retention
from badgerbend.feed.machine import PUBLISH_LEASE, FeedStateMachine
from tests.feed_harness import Control, change, entries, signed_publication


def test_a_publication_needs_the_lease():
    control = Control()
    publication = signed_publication(control.machine.log, 1, change("a", "1"))
    assert not any(control.command(part) for part in split_publication(publication))
    epoch = control.grant()
    assert [
        control.command(part)
        for part in split_publication(signed_publication(control.machine.log, epoch, change("a", "1")))
    ] == [True]


def test_a_publisher_with_an_old_epoch_publishes_nothing():
    control = Control()
    old = control.grant()
    late = split_publication(signed_publication(control.machine.log, old, change("a", "late")))
    new = control.grant(holder="control-2")
    assert new > old
    assert not any(control.command(part) for part in late)
    assert control.publish(0.0, change("a", "new")) == ()
    assert entries(control.machine.log) == {"a": b"new"}
    assert control.machine.log.epoch == new


def test_a_publication_has_no_effect_until_all_of_its_parts_are_applied():
    control = Control()
    epoch = control.grant()
    parts = split_publication(signed_publication(control.machine.log, epoch, change("a", "x" * 5000)))
    assert len(parts) > 5
    for part in parts[:2] + parts[3:]:
        assert not control.command(part)
    assert control.machine.log.revision == 0
    for part in parts:
        control.command(part)
    assert control.machine.log.revision == 1


def test_parts_of_a_deposed_publisher_do_not_mix_with_those_of_the_new_one():
    control = Control()
    old = control.grant()
    deposed_parts = split_publication(signed_publication(control.machine.log, old, change("a", "x" * 3000)))
    control.command(deposed_parts[0])
    new = control.grant(holder="control-2")
    parts = split_publication(signed_publication(control.machine.log, new, change("a", "y" * 3000)))
    published = [control.command(part) for part in (parts[0], deposed_parts[1], *parts[1:], *deposed_parts[1:])]
    assert sum(published) == 1
    assert entries(control.machine.log) == {"a": b"y" * 3000}


def test_the_machines_state_survives_dump_and_load_in_the_middle_of_a_publication():
    control = Control()
    epoch = control.grant()
    control.publish(0.0, change("a", "1"))
    parts = split_publication(signed_publication(control.machine.log, epoch, change("b", "x" * 3000)))
    for part in parts[:-1]:
        control.command(part)
    called = []
    copy = FeedStateMachine(Retention(), lambda: called.append(True))
    copy.load(control.machine.dump())
    assert called
    assert copy.dump() == control.machine.dump()
    copy.apply(99, parts[-1])
    control.command(parts[-1])
    assert copy.dump() == control.machine.dump()
    assert copy.log.revision == 2
    assert copy.table.lease(PUBLISH_LEASE).epoch == epoch


def test_a_repeated_proposal_publishes_once():
    control = Control()
    epoch = control.grant()
    parts = split_publication(signed_publication(control.machine.log, epoch, change("a", "1")))
    assert [control.command(part) for part in parts * 3] == [True, False, False]
