"""Consensus and leases: invariants under random faults and in a model checker, and defects that both must detect."""

from collections import deque
from enum import Enum

import msgspec
import pytest

from badgerbend.consensus import messages, replication
from badgerbend.consensus.log import Log
from badgerbend.consensus.persistent_state import PersistentState
from badgerbend.consensus.raft import BecameLeader, EntryApplied, Raft, RaftConfig, ReadConfirmed, Role
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import GrantLease, LeaseId, LeaseReply, LeaseState, PutValue, ReleaseLease, encode
from badgerbend.leases.table import Lease, LeaseTable
from badgerbend.leases.timing import LeaseTiming
from tests.modelvoters import NAMES, Action, Kind, State, clone, search
from tests.mutants import (
    MUTANTS,
    CommitsEntriesOfEarlierTerms,
    ConfirmsReadsWithoutHeartbeats,
    LosesALease,
    VotesBeforePersisting,
)
from tests.simvoters import Chaos, InvariantViolation, World

# -- random faults in simulated time


@pytest.mark.parametrize("seed", range(24))
def test_invariants_hold_under_random_faults_and_the_cluster_recovers(seed):
    chaos = Chaos(voters=5) if seed % 4 == 3 else Chaos()
    world = World(seed, chaos)
    world.run(8)
    world.heal()
    assert world.settles(10)
    assert world.acts > 1000
    assert world.elections


@pytest.mark.parametrize("name", MUTANTS)
def test_each_mutant_is_detected_and_the_product_passes_the_same_run(name):
    kinds, chaos, seed = MUTANTS[name]
    with pytest.raises(InvariantViolation):
        World(seed, chaos, **kinds).run(10)
    World(seed, chaos).run(10)


# -- every interleaving, and the scenario of figure 3.7 in the Raft thesis


def test_every_interleaving_of_three_voters_to_a_depth():
    assert search(8) == 6148  # if this number changes, the behaviour of voters has changed: find out why


def mutable_objects(owner):
    """Return the path of every mutable object within a voter, by the id of the object."""
    found, pending = {}, [("raft", owner)]
    while pending:
        path, value = pending.pop()
        if id(value) in found or isinstance(value, Enum | msgspec.Struct | RaftConfig):
            continue
        if isinstance(value, dict):
            children = value.items()
        elif isinstance(value, list | tuple | set | deque):
            children = enumerate(value)
        elif type(value).__module__.startswith("badgerbend."):
            children = [(name, getattr(value, name)) for name in getattr(type(value), "__slots__", None) or vars(value)]
        else:
            continue
        if not isinstance(value, tuple):
            found[id(value)] = path
        pending += [(f"{path}.{name}", value) for name, value in children]
    return found


def test_clone_of_a_voter_shares_no_mutable_state():
    cluster = Cluster()
    cluster.run(5)
    leader = cluster.leader()
    leader.state_machine = None
    assert leader.read_index(cluster.now, 1)
    assert leader.propose(cluster.now, b"x")
    found, copied = mutable_objects(leader), mutable_objects(clone(leader))
    assert "raft.leadership.replication.progress.b" in copied.values() or leader.name == "b"
    assert not {path for key, path in found.items() if key in copied}


def test_search_detects_a_vote_that_is_sent_before_it_is_on_disk():
    with pytest.raises(InvariantViolation, match="term 1 is led by a and by"):
        search(9, VotesBeforePersisting)


def figure_8(kind, monkeypatch):
    """Play figure 3.7 of the Raft thesis: a leader has replicated an entry of an earlier term to a majority.

    Then a voter without that entry becomes leader. If the entry had been committed, the new leader would replace it.
    """
    monkeypatch.setattr(replication, "MAX_MESSAGE_BYTES", replication.MESSAGE_OVERHEAD_BYTES)  # one entry per message
    state = State(kind)
    state.limits = {"campaign": 9, "propose": 0, "crash": 0}

    def age(packet):
        message = messages.decode(packet.data)
        return message.term, getattr(message, "heartbeat_round", 0)

    def deliver(to, *kinds, source=None):
        nonlocal state
        packets = [
            packet for packet in state.network if packet.to == to and isinstance(messages.decode(packet.data), kinds)
        ]
        packets = [packet for packet in packets if source is None or messages.decode(packet.data).source == source]
        assert packets, (to, kinds, [(packet.to, messages.decode(packet.data)) for packet in state.network])
        newest = max(packets, key=age)
        state = state.do(Action(Kind.DELIVER, to, newest))
        state = state.do(Action(Kind.SYNC, to))

    def lead(name, times):
        nonlocal state
        for _ in range(times):
            state = state.do(Action(Kind.CAMPAIGN, name))
        state = state.do(Action(Kind.SYNC, name))
        deliver("b", messages.RequestVote, source=name)
        deliver(name, messages.RequestVoteReply, source="b")
        assert state.rafts[name].role is Role.LEADER

    lead("a", 1)
    lead("c", 2)
    lead("a", 2)
    for _ in range(2):  # first the rejection with the matching index, then the entry of term 1
        deliver("b", messages.AppendEntries, source="a")
        deliver("a", messages.AppendEntriesReply, source="b")
    assert state.rafts["b"].log.last_term == 1
    assert state.rafts["a"].term == 3
    lead("c", 2)
    while state.rafts["c"].commit_index < 2:
        deliver("b", messages.AppendEntries, source="c")
        deliver("c", messages.AppendEntriesReply, source="b")
    return state


def test_an_entry_of_an_earlier_term_is_not_committed_by_counting_replicas(monkeypatch):
    state = figure_8(Raft, monkeypatch)
    assert state.rafts["a"].commit_index == 0
    assert state.rafts["c"].commit_index == 2
    with pytest.raises(InvariantViolation, match="committed a different entry at index 1"):
        figure_8(CommitsEntriesOfEarlierTerms, monkeypatch)


# -- single properties of Raft


class Cluster:
    """Voters with a reliable network and disks without delay; the tests advance the time."""

    def __init__(self, names=NAMES, compact_after=10**6, learners=(), kind=Raft):
        self.now = 0.0
        self.config = RaftConfig(1.0, 0.2, compact_after)
        self.isolated = set()
        self.events = {name: [] for name in (*names, *learners)}
        self.tables = {n: LeaseTable() for n in self.events}
        self.rafts = {
            n: kind(
                n,
                PersistentState(log=Log(messages.Snapshot(0, 0, names if n in names else (), b""))),
                self.tables[n],
                self.config,
                i,
                0.0,
            )
            for i, n in enumerate(self.events)
        }

    def settle(self):
        active = True
        while active:
            active = False
            for name, raft in self.rafts.items():
                ready = raft.take_ready()
                self.events[name] += ready.events
                if ready.records:
                    raft.persisted(self.now, ready.records[-1].sequence)
                for to, message in ready.messages:
                    if to in self.rafts and not {name, to} & self.isolated:
                        self.rafts[to].step(self.now, messages.decode(messages.encode(message)))
                active = active or bool(ready.records or ready.messages or ready.events)

    def run(self, seconds, step=0.05):
        for _ in range(round(seconds / step)):
            self.now += step
            for raft in self.rafts.values():
                if self.now >= raft.next_at:
                    raft.tick(self.now)
            self.settle()

    def leader(self):
        found = [r for n, r in self.rafts.items() if r.is_established_leader and n not in self.isolated]
        assert len(found) == 1
        return found[0]

    def put(self, key, value=b"1", over=0):
        index = self.leader().propose(self.now, encode(PutValue(key, value, over)))
        self.settle()
        return index


def test_one_voter_leads_and_commits_reach_all_state_machines():
    cluster = Cluster()
    cluster.run(5)
    index = cluster.put("version", b"7")
    cluster.run(1)
    assert {t.values["version"].value for t in cluster.tables.values()} == {b"7"}
    leader = cluster.leader()
    assert sum(isinstance(e, BecameLeader) for es in cluster.events.values() for e in es) == 1
    assert [e.entry.index for e in cluster.events[leader.name] if isinstance(e, EntryApplied)][-1] == index
    cluster.put("version", b"8", over=index)
    cluster.put("version", b"9", over=index)  # ignored: another proposal was committed before
    assert cluster.tables[leader.name].values["version"].value == b"8"
    cluster.put("version", b"", over=index + 1)
    assert not cluster.tables[leader.name].values


def isolate_leader(kind=Raft):
    """Return a cluster, and its old leader six seconds after it was isolated.

    The leader confirmed a read before that, and got another read and a proposal while isolated.
    """
    cluster = Cluster(kind=kind)
    cluster.run(5)
    old = cluster.leader()
    assert old.read_index(cluster.now, 1)
    cluster.run(0.3)
    assert ReadConfirmed(1) in cluster.events[old.name]
    cluster.isolated = {old.name}
    assert old.read_index(cluster.now, 2)
    assert old.propose(cluster.now, encode(PutValue("k", b"v", 0)))
    cluster.run(6)
    return cluster, old


def test_isolated_leader_steps_down_and_confirms_no_read():
    cluster, old = isolate_leader()
    assert old.role is not Role.LEADER
    assert ReadConfirmed(2) not in cluster.events[old.name]
    faulty, leader = isolate_leader(ConfirmsReadsWithoutHeartbeats)
    assert ReadConfirmed(2) in faulty.events[leader.name]  # the check detects the defect
    new, term = cluster.leader(), cluster.leader().term
    cluster.put("other")
    cluster.isolated = set()
    cluster.run(3)
    assert cluster.leader() is new
    assert new.term == term
    assert [set(t.values) for t in cluster.tables.values()] == [{"other"}] * 3


def test_leadership_transfer_does_not_wait_for_a_timeout():
    cluster = Cluster()
    cluster.run(5)
    old = cluster.leader()
    to = next(n for n in NAMES if n != old.name)
    before = cluster.now
    assert old.transfer_leadership(cluster.now, to)
    assert old.propose(cluster.now, encode(PutValue("k", b"v", 0))) is None
    cluster.settle()
    assert cluster.leader().name == to
    assert cluster.now == before
    assert not cluster.rafts[old.name].transfer_leadership(cluster.now)


def test_learner_catches_up_by_snapshot_and_counts_in_the_quorum_and_a_removed_voter_does_not():
    cluster = Cluster(compact_after=20, learners=("d",))
    cluster.run(5)
    for i in range(150):
        cluster.put(f"fact-{i}", b"x" * 40)
    leader = cluster.leader()
    assert leader.log.snapshot_index > 100
    assert len(leader.log.snapshot.state) > 4 * messages.MAX_MESSAGE_BYTES
    removed = next(n for n in NAMES if n != leader.name)
    assert leader.change_membership(cluster.now, "d", add=True) is None
    assert leader.change_membership(cluster.now, removed, add=False) == "another change is under way"
    cluster.run(3)
    assert cluster.rafts["d"].voters == (*NAMES, "d")
    assert len(cluster.tables["d"].values) == 150
    assert leader.change_membership(cluster.now, removed, add=False) is None
    cluster.run(1)
    cluster.isolated = {removed, next(n for n in NAMES if n not in (removed, leader.name))}
    cluster.put("after")
    cluster.run(0.5)  # followers learn about the commit from the next heartbeat
    # Two of three voters are a majority: the new voter counts, the removed one does not.
    assert "after" in cluster.tables["d"].values
    assert leader.change_membership(cluster.now, removed, add=False) == "nothing to change"


def test_leader_that_removes_itself_steps_down_once_that_is_committed():
    cluster = Cluster()
    cluster.run(5)
    old = cluster.leader()
    assert old.change_membership(cluster.now, old.name, add=False) is None
    cluster.run(6)
    new = cluster.leader()
    assert new is not old
    assert set(new.voters) == set(NAMES) - {old.name}
    for name in list(new.voters):
        if name != new.name:
            assert new.change_membership(cluster.now, name, add=False) is None
            cluster.run(1)
    assert new.change_membership(cluster.now, new.name, add=False) == "the last voter stays"


def test_single_voter_leads_and_commits_once_its_own_disk_has_the_entry():
    cluster = Cluster(("a",))
    cluster.run(3)
    cluster.put("k")
    assert cluster.tables["a"].values
    assert cluster.leader().read_index(cluster.now, 1)
    cluster.run(0.3)
    assert ReadConfirmed(1) in cluster.events["a"]


def test_malformed_messages_are_rejected():
    valid = messages.AppendEntries(
        1, "a", 0, 0, (messages.Entry(1, 1, messages.EntryKind.CONFIGURATION, messages.encode_voters(NAMES)),), 0, 0
    )
    assert messages.decode(messages.encode(valid)) == valid
    malformed = [
        messages.AppendEntries(1, "a", 5, 0, (messages.Entry(1, 1, messages.EntryKind.NOOP),), 0, 0),
        messages.AppendEntries(1, "a", 0, 0, (messages.Entry(1, 1, messages.EntryKind.CONFIGURATION, b"?"),), 0, 0),
        messages.RequestVoteReply(1 << 63, "a", False, True),
        messages.RequestVoteReply(1, "", False, True),
    ]
    for message in (*map(messages.encode, malformed), b"", b"\xff", b"[]", messages.encode(valid)[:-1]):
        with pytest.raises(messages.MalformedMessageError):
            messages.decode(message)


# -- the lease table, and the broker's side of leases


def test_lease_table_ignores_commands_that_do_not_apply():
    table = LeaseTable()
    table.apply(3, encode(GrantLease("probe", "b0", 0)))
    table.apply(4, encode(GrantLease("probe", "b1", 0)))  # the lease is held
    table.apply(5, encode(ReleaseLease("probe", 4)))  # the epoch is not that of the lease
    table.apply(6, b"of a later version")
    assert table.lease("probe") == Lease("b0", 3)
    table.apply(7, encode(ReleaseLease("probe", 3)))
    table.apply(8, encode(GrantLease("probe", "b1", 0)))  # proposed before the last holder was known
    assert table.lease("probe") == Lease("", 3)
    table.apply(9, encode(GrantLease("probe", "b1", 3)))
    copy = LeaseTable()
    copy.load(table.dump())
    assert copy.lease("probe") == Lease("b1", 9)
    assert copy.dump() == table.dump()
    faulty = LosesALease()
    faulty.load(table.dump())
    copy.load(faulty.dump())
    assert copy.dump() != table.dump()  # the comparison detects a snapshot that loses a lease


def new_holder(now=0.0):
    """Return a lease holder that knows the previous holder of the duty, and the number of its first request."""
    holder = LeaseHolder("b0", "127.0.0.1:1", {"probe": True}, ("v0", "v1"), LeaseTiming(), 1, now)
    holder.receive_reply(now, lease_reply(0, epoch=2, renewed=False, holder="b7"))
    holder.tick(now + 1.0)
    return holder, holder.drain_output()[0][1].seq


def lease_reply(seq, epoch=5, renewed=True, holder="b0", yields=False):
    return LeaseReply("v0", seq, "v0", True, (LeaseState("probe", holder, "127.0.0.1:1", epoch, renewed, yields),))


def test_a_grant_alone_does_not_permit_acts_and_a_renewal_counts_from_its_request():
    holder, seq = new_holder()
    holder.receive_reply(1.1, lease_reply(0, renewed=False))
    assert holder.may_act(1.1, "probe") is None
    assert holder.next_at == 1.1
    holder.tick(1.1)
    (_, request) = holder.drain_output()[0]
    assert request.candidacies[0].epoch == 5
    holder.receive_reply(1.4, lease_reply(request.seq))
    assert holder.may_act(1.4, "probe") == 5
    assert holder.may_act(1.8, "probe") == 5
    for at in range(19, 30):
        holder.tick(at / 10)
    assert holder.may_act(1.1 + 2.0 * 0.99 - 0.001, "probe") == 5
    assert holder.may_act(1.1 + 2.0 * 0.99 + 0.001, "probe") is None
    holder.receive_reply(3.1, lease_reply(12345))  # a reply to a request that this holder never sent
    assert holder.may_act(3.1, "probe") is None


def test_after_a_stall_only_replies_to_later_requests_count():
    holder, seq = new_holder()
    holder.receive_reply(1.1, lease_reply(seq))
    assert holder.may_act(1.1, "probe") == 5
    assert holder.may_act(1.7, "probe") is None  # 600 ms since the holder last ran
    holder.receive_reply(1.75, lease_reply(seq))
    assert holder.may_act(1.75, "probe") is None
    holder.tick(1.8)
    holder.receive_reply(1.9, lease_reply(holder.drain_output()[-1][1].seq))
    assert holder.may_act(1.9, "probe") == 5


def test_a_lease_of_an_earlier_incarnation_is_returned_and_not_used():
    # The return that the earlier incarnation sent may still be in flight. If the new one renewed the lease, the leader
    # would then end it on that return and grant it to another holder, and two brokers could act.
    holder = LeaseHolder("b0", "127.0.0.1:1", {"probe": True}, ("v0", "v1"), LeaseTiming(), 1, 0.0)
    holder.tick(1.0)
    seq = holder.drain_output()[0][1].seq
    holder.receive_reply(1.1, lease_reply(seq))
    assert holder.may_act(1.1, "probe") is None
    assert not holder.granted_leases()
    assert {m.returned_leases for _, m in holder.drain_output()} == {(LeaseId("probe", 5),)}
    holder.receive_reply(1.2, lease_reply(seq, epoch=8))
    assert holder.may_act(1.2, "probe") == 8


def test_a_returned_lease_is_not_used_again():
    holder, seq = new_holder()
    holder.receive_reply(1.1, lease_reply(seq))
    holder.receive_reply(1.2, lease_reply(0, renewed=False, yields=True))
    returns = [m for _, m in holder.drain_output()]
    assert holder.may_act(1.2, "probe") is None
    assert {m.returned_leases for m in returns} == {(LeaseId("probe", 5),)}
    assert len(returns) == 2
    holder.receive_reply(1.3, lease_reply(seq))
    assert holder.may_act(1.3, "probe") is None
    assert not holder.granted_leases()
    holder.receive_reply(1.3, lease_reply(seq, epoch=9))
    assert holder.may_act(1.3, "probe") == 9
    holder.shut_down(1.4)
    holder.receive_reply(1.45, lease_reply(seq, epoch=11))
    assert holder.may_act(1.45, "probe") is None
    assert holder.next_at == float("inf")
