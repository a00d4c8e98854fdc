"""A control machine: bursts of proposals, and confirmations of the feed's log by voters."""

import math

from badgerbend.consensus import messages as voting
from badgerbend.consensus.log import Log
from badgerbend.consensus.messages import Snapshot
from badgerbend.consensus.persistent_state import PersistentState
from badgerbend.consensus.raft import RaftConfig
from badgerbend.feed.control import ControlNode, ControlTuning, Propose
from badgerbend.feed.log import Retention
from badgerbend.feed.machine import PUBLISH_LEASE, FeedStateMachine
from badgerbend.feed.publisher import Publisher, PublisherTuning
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import GrantLease, encode
from badgerbend.leases.timing import LeaseTiming
from badgerbend.leases.voter import Voter
from tests.feed_harness import SIGNER, change
from tests.replacing import replace_attribute

DEFAULT_RETENTION = Retention()


def test_a_large_publication_is_proposed_in_bursts_and_committed_parts_are_not_repeated():
    machine = FeedStateMachine(Retention())
    voter = Voter(
        "v0", PersistentState(Log(Snapshot(0, 0, ("v0", "v1"), b""))), RaftConfig(), LeaseTiming(), 1, 0.0, machine
    )
    holder = LeaseHolder("v0", "v0", {PUBLISH_LEASE: True}, ("v0", "v1"), LeaseTiming(), 2, 0.0)
    holder.voter_selection.follow("v1")
    publisher = Publisher(machine.log, lambda change: "", SIGNER, PublisherTuning(batch_window=0.0, retry_interval=1.0))
    relay = Relay("v0", machine.log, RelayTuning())
    node = ControlNode(voter, holder, machine, publisher, relay, 0.0, ControlTuning(proposal_burst=3))
    machine.apply(1, encode(GrantLease(PUBLISH_LEASE, "v0", 0)))
    replace_attribute(holder, "may_act", lambda now, duty: 1)
    node.synchronize(0.0)
    assert publisher.submit(0.0, [change("a", "x" * 6000)]) == ()

    def proposed(now):
        node.tick(now)
        node.synchronize(now)
        return [action.command for action in node.take_actions() if isinstance(action, Propose)]

    commands = []
    for step in range(20):
        burst = proposed(step * 0.01)
        assert len(burst) <= 3
        commands += burst
    assert len(commands) > 6
    assert node.next_at > 0.2
    for command in commands[:4] + commands[5:]:  # one is lost
        machine.apply(2, command)
    retried = [command for step in range(20) for command in proposed(1.1 + step * 0.01)]
    assert retried == [commands[4]]
    machine.apply(3, retried[0])
    assert machine.log.revision == 1


def voter_of(*names):
    state = PersistentState(log=Log(voting.Snapshot(0, 0, names, b"")))
    return Voter("a", state, RaftConfig(), LeaseTiming(), 1, 0.0, FeedStateMachine(DEFAULT_RETENTION))


def append_entries(term, leader, previous, commit, *entries):
    """Return a leader's message. previous: index and term of the entry before these entries."""
    return voting.AppendEntries(term, leader, *previous, entries, commit, 1)


def test_a_following_voter_is_confirmed_by_a_leader_that_has_committed_in_its_term():
    voter = voter_of("a", "b", "c")
    voter.receive_from_voter(1.0, append_entries(1, "b", (0, 0), 0, voting.Entry(1, 1, voting.EntryKind.NOOP)))
    assert voter.confirmed_at == -math.inf  # the leader has committed no entry of its term
    voter.receive_from_voter(2.0, append_entries(1, "b", (1, 1), 1))
    assert voter.confirmed_at == 2.0
    voter.receive_from_voter(3.0, append_entries(2, "c", (1, 1), 1, voting.Entry(2, 2, voting.EntryKind.NOOP)))
    assert voter.confirmed_at == 2.0  # a new leader may not know yet what its predecessor has committed
    voter.receive_from_voter(4.0, append_entries(2, "c", (2, 2), 3))
    assert voter.confirmed_at == 2.0  # the leader has committed an entry that this voter lacks
    voter.receive_from_voter(5.0, append_entries(2, "c", (2, 2), 2))
    assert voter.confirmed_at == 5.0
    voter.receive_from_voter(6.0, append_entries(1, "b", (1, 1), 1))
    assert voter.confirmed_at == 5.0  # a leader of an earlier term


def test_a_leading_voter_is_confirmed_as_of_its_request():
    voter = voter_of("a")
    now = 0.0
    while not voter.is_leader:
        now = voter.next_at
        voter.tick(now)
        for number, _ in voter.drain_output().records:
            voter.persisted(now, number)
    assert voter.confirmed_at == -math.inf
    voter.confirm(now + 1.0)
    voter.tick(now + 2.0)
    assert voter.confirmed_at == now + 1.0
