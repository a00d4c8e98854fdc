"""Agreement and leases: what must hold under everything that chance brings, and the defects that must be seen."""

import pytest

from badgerbend.consensus import messages as voting
from badgerbend.consensus import replication
from badgerbend.consensus.log import Log, PersistentState
from badgerbend.consensus.raft import BecameLeader, EntryApplied, Raft, RaftConfig, ReadConfirmed, Role
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import GrantLease, LeaseId, LeaseReply, LeaseState, PutFact, ReleaseLease, encode
from badgerbend.leases.table import Lease, LeaseTable
from badgerbend.leases.timing import LeaseTiming
from tests.modelvoters import NAMES, State, search
from tests.mutants import MUTANTS, CommitsAnEarlierTerm, LosesALease, ReadsWithoutARound, VotesBeforeTheDisk
from tests.simvoters import Broken, Chaos, World

# -- in simulated time


@pytest.mark.parametrize("seed", range(24))
def test_whatever_chance_brings_nothing_breaks_and_all_comes_back(seed):
    chaos = Chaos(voters=5) if seed % 4 == 3 else Chaos()
    world = World(seed, chaos)
    world.run(8)
    world.heal()
    assert world.settles(10) and world.acts > 1000 and world.elections


@pytest.mark.parametrize("name", MUTANTS)
def test_each_defect_is_found_and_the_product_lives_through_the_same(name):
    kinds, chaos, seed = MUTANTS[name]
    with pytest.raises(Broken):
        World(seed, chaos, **kinds).run(10)
    World(seed, chaos).run(10)


# -- every interleaving, and the scenario of the thesis's figure 3.7


def test_every_interleaving_of_three_voters_to_a_depth():
    assert search(8) == 6148  # a change of this figure is a change of what voters do: look at it


def test_a_vote_that_does_not_wait_for_the_disk_is_found():
    with pytest.raises(Broken, match="term 1 is led by a and by"):
        search(9, VotesBeforeTheDisk)


def figure_8(kind, monkeypatch):
    """A leader finds an entry of an earlier term on most voters; another, who never had it, leads after it."""
    monkeypatch.setattr(replication, "MAX_MESSAGE_BYTES", replication.HEAD_BYTES)  # one entry a message
    state = State(kind)
    state.left = {"stand": 9, "propose": 0, "crash": 0}

    def deliver(to, *kinds, source=None):
        nonlocal state
        rows = [(n, d) for n, d in state.net if n == to and isinstance(voting.decode(d), kinds)]
        rows = [r for r in rows if source is None or voting.decode(r[1]).source == source]
        assert rows, (to, kinds, [(n, voting.decode(d)) for n, d in state.net])
        newest = max(rows, key=lambda r: (voting.decode(r[1]).term, getattr(voting.decode(r[1]), "heartbeat_round", 0)))
        state = state.do(("deliver", newest))
        state = state.do(("sync", to))

    def lead(name, times):
        nonlocal state
        for _ in range(times):
            state = state.do(("stand", name))
        state = state.do(("sync", name))
        deliver("b", voting.RequestVote, source=name)
        deliver(name, voting.RequestVoteReply, source="b")
        assert state.rafts[name].role is Role.LEADER

    lead("a", 1)
    lead("c", 2)
    lead("a", 2)
    for _ in range(2):  # the refusal that tells where to begin, then the entry of term 1
        deliver("b", voting.AppendEntries, source="a")
        deliver("a", voting.AppendEntriesReply, source="b")
    assert state.rafts["b"].log.last_term == 1 and state.rafts["a"].term == 3
    lead("c", 2)
    while state.rafts["c"].commit_index < 2:
        deliver("b", voting.AppendEntries, source="c")
        deliver("c", voting.AppendEntriesReply, source="b")
    return state


def test_an_entry_of_an_earlier_term_is_not_committed_by_counting(monkeypatch):
    state = figure_8(Raft, monkeypatch)
    assert state.rafts["a"].commit_index == 0 and state.rafts["c"].commit_index == 2
    with pytest.raises(Broken, match="committed another entry 1"):
        figure_8(CommitsAnEarlierTerm, monkeypatch)


# -- one at a time


class Circle:
    """Voters on perfect links and disks; time moves by hand."""

    def __init__(self, names=NAMES, compact=10**6, others=(), kind=Raft):
        self.now, self.tuning = 0.0, RaftConfig(1.0, 0.2, compact)
        self.cut, self.events = set(), {n: [] for n in (*names, *others)}
        self.tables = {n: LeaseTable() for n in self.events}
        self.rafts = {
            n: kind(
                n,
                PersistentState(log=Log(voting.Snapshot(0, 0, names if n in names else (), b""))),
                self.tables[n],
                self.tuning,
                i,
                0.0,
            )
            for i, n in enumerate(self.events)
        }

    def settle(self):
        moved = True
        while moved:
            moved = False
            for name, raft in self.rafts.items():
                ready = raft.take_ready()
                self.events[name] += ready.events
                if ready.records:
                    raft.persisted(self.now, ready.records[-1].sequence)
                for to, message in ready.messages:
                    if to in self.rafts and not {name, to} & self.cut:
                        self.rafts[to].step(self.now, voting.decode(voting.encode(message)))
                moved = moved or bool(ready.records or ready.messages or ready.events)

    def run(self, seconds, step=0.05):
        for _ in range(round(seconds / step)):
            self.now += step
            for raft in self.rafts.values():
                if self.now >= raft.next_at:
                    raft.tick(self.now)
            self.settle()

    def leader(self):
        found = [r for n, r in self.rafts.items() if r.is_established_leader and n not in self.cut]
        assert len(found) == 1
        return found[0]

    def put(self, key, value=b"1", over=0):
        index = self.leader().propose(self.now, encode(PutFact(key, value, over)))
        self.settle()
        return index


def test_one_leads_and_what_it_acknowledged_is_everywhere():
    circle = Circle()
    circle.run(5)
    index = circle.put("version", b"7")
    circle.run(1)
    assert {t.facts["version"].value for t in circle.tables.values()} == {b"7"}
    leader = circle.leader()
    assert sum(isinstance(e, BecameLeader) for es in circle.events.values() for e in es) == 1
    assert [e.entry.index for e in circle.events[leader.name] if isinstance(e, EntryApplied)][-1] == index
    circle.put("version", b"8", over=index)
    circle.put("version", b"9", over=index)  # somebody was faster
    assert circle.tables[leader.name].facts["version"].value == b"8"
    circle.put("version", b"", over=index + 1)
    assert not circle.tables[leader.name].facts


def cut_off(kind=Raft):
    """A leader is asked to confirm that it leads, then is cut off and asked again; six seconds later."""
    circle = Circle(kind=kind)
    circle.run(5)
    old = circle.leader()
    assert old.read_index(circle.now, 1)
    circle.run(0.3)
    assert ReadConfirmed(1) in circle.events[old.name]
    circle.cut = {old.name}
    assert old.read_index(circle.now, 2) and old.propose(circle.now, encode(PutFact("k", b"v", 0)))
    circle.run(6)
    return circle, old


def test_a_leader_that_is_cut_off_steps_down_and_confirms_nothing():
    circle, old = cut_off()
    assert old.role is not Role.LEADER and ReadConfirmed(2) not in circle.events[old.name]
    wrong, leader = cut_off(ReadsWithoutARound)
    assert ReadConfirmed(2) in wrong.events[leader.name]  # what is looked for can be found
    new, term = circle.leader(), circle.leader().term
    circle.put("other")
    circle.cut = set()
    circle.run(3)
    assert circle.leader() is new and new.term == term  # who was cut off disturbed nobody on its return
    assert [set(t.facts) for t in circle.tables.values()] == [{"other"}] * 3


def test_leadership_is_handed_over_without_a_pause():
    circle = Circle()
    circle.run(5)
    old = circle.leader()
    to = next(n for n in NAMES if n != old.name)
    before = circle.now
    assert old.transfer_leadership(circle.now, to) and old.propose(circle.now, encode(PutFact("k", b"v", 0))) is None
    circle.settle()
    assert circle.leader().name == to and circle.now == before
    assert not circle.rafts[old.name].transfer_leadership(circle.now)


def test_a_newcomer_is_fed_by_snapshot_and_votes_and_one_that_left_is_not_missed():
    circle = Circle(compact=20, others=("d",))
    circle.run(5)
    for i in range(150):
        circle.put(f"fact-{i}", b"x" * 40)
    leader = circle.leader()
    assert leader.log.snapshot_index > 100 and len(leader.log.snapshot.state) > 4 * voting.MAX_MESSAGE_BYTES
    gone = next(n for n in NAMES if n != leader.name)
    assert leader.change_membership(circle.now, "d", True) is None
    assert leader.change_membership(circle.now, gone, False) == "another change is under way"
    circle.run(3)
    assert circle.rafts["d"].voters == (*NAMES, "d") and len(circle.tables["d"].facts) == 150
    assert leader.change_membership(circle.now, gone, False) is None
    circle.run(1)
    circle.cut = {gone, next(n for n in NAMES if n not in (gone, leader.name))}
    circle.put("after")
    circle.run(0.5)  # a follower learns of a commit with the next heartbeat
    assert "after" in circle.tables["d"].facts  # two of three: the newcomer's vote counts, the old one's does not
    assert leader.change_membership(circle.now, gone, False) == "nothing to change"


def test_a_leader_that_removes_itself_leads_to_the_end_of_that_and_no_further():
    circle = Circle()
    circle.run(5)
    old = circle.leader()
    assert old.change_membership(circle.now, old.name, False) is None
    circle.run(6)
    new = circle.leader()
    assert new is not old and set(new.voters) == set(NAMES) - {old.name}
    for name in list(new.voters):
        if name != new.name:
            assert new.change_membership(circle.now, name, False) is None
            circle.run(1)
    assert new.change_membership(circle.now, new.name, False) == "the last voter stays"


def test_a_single_voter_leads_and_commits_by_its_own_disk():
    circle = Circle(("a",))
    circle.run(3)
    circle.put("k")
    assert circle.tables["a"].facts and circle.leader().read_index(circle.now, 1)
    circle.run(0.3)
    assert ReadConfirmed(1) in circle.events["a"]


def test_what_is_no_message_is_refused():
    good = voting.AppendEntries(
        1, "a", 0, 0, (voting.Entry(1, 1, voting.EntryKind.CONFIGURATION, voting.encode_voters(NAMES)),), 0, 0
    )
    assert voting.decode(voting.encode(good)) == good
    spoilt = [
        voting.AppendEntries(1, "a", 5, 0, (voting.Entry(1, 1, voting.EntryKind.NOOP),), 0, 0),
        voting.AppendEntries(1, "a", 0, 0, (voting.Entry(1, 1, voting.EntryKind.CONFIGURATION, b"?"),), 0, 0),
        voting.RequestVoteReply(1 << 63, "a", False, True),
        voting.RequestVoteReply(1, "", False, True),
    ]
    for message in (*map(voting.encode, spoilt), b"", b"\xff", b"[]", voting.encode(good)[:-1]):
        with pytest.raises(voting.MalformedMessageError):
            voting.decode(message)


# -- the table, and a broker's side


def test_the_table_takes_only_what_fits_it():
    table = LeaseTable()
    table.apply(3, encode(GrantLease("probe", "b0", 0)))
    table.apply(4, encode(GrantLease("probe", "b1", 0)))  # held
    table.apply(5, encode(ReleaseLease("probe", 4)))  # of another epoch
    table.apply(6, b"of a later version")
    assert table.lease("probe") == Lease("b0", 3)
    table.apply(7, encode(ReleaseLease("probe", 3)))
    table.apply(8, encode(GrantLease("probe", "b1", 0)))  # decided before the last holder was known
    assert table.lease("probe") == Lease("", 3)
    table.apply(9, encode(GrantLease("probe", "b1", 3)))
    copy = LeaseTable()
    copy.load(table.dump())
    assert copy.lease("probe") == Lease("b1", 9) and copy.dump() == table.dump()
    wrong = LosesALease()
    wrong.load(table.dump())
    copy.load(wrong.dump())
    assert copy.dump() != table.dump()  # a snapshot that loses a lease would show here


def holder(now=0.0):
    """A broker that has heard who held the duty before, and has asked once."""
    one = LeaseHolder("b0", "127.0.0.1:1", {"probe": True}, ("v0", "v1"), LeaseTiming(), 1, now)
    one.receive_reply(now, told(0, epoch=2, renewed=False, holder="b7"))
    one.tick(now + 1.0)
    return one, one.drain_output()[0][1].seq


def told(seq, epoch=5, renewed=True, holder="b0", yields=False):
    return LeaseReply("v0", seq, "v0", True, (LeaseState("probe", holder, "127.0.0.1:1", epoch, renewed, yields),))


def test_a_grant_alone_lets_nobody_act_and_a_renewal_counts_from_its_request():
    one, seq = holder()
    one.receive_reply(1.1, told(0, renewed=False))
    assert one.may_act(1.1, "probe") is None and one.next_at == 1.1
    one.tick(1.1)
    (_, want) = one.drain_output()[0]
    assert want.candidacies[0].epoch == 5
    one.receive_reply(1.4, told(want.seq))
    assert one.may_act(1.4, "probe") == 5 and one.may_act(1.8, "probe") == 5
    for at in range(19, 30):
        one.tick(at / 10)
    assert one.may_act(1.1 + 2.0 * 0.99 - 0.001, "probe") == 5
    assert one.may_act(1.1 + 2.0 * 0.99 + 0.001, "probe") is None
    one.receive_reply(3.1, told(12345))  # an answer to no request of this life
    assert one.may_act(3.1, "probe") is None


def test_after_a_stall_only_what_is_asked_after_it_counts():
    one, seq = holder()
    one.receive_reply(1.1, told(seq))
    assert one.may_act(1.1, "probe") == 5
    assert one.may_act(1.7, "probe") is None  # 600 ms without a look at the clock
    one.receive_reply(1.75, told(seq))
    assert one.may_act(1.75, "probe") is None
    one.tick(1.8)
    one.receive_reply(1.9, told(one.drain_output()[-1][1].seq))
    assert one.may_act(1.9, "probe") == 5


def test_what_an_earlier_life_of_the_name_held_is_given_back_and_not_taken_over():
    # Its Leave was still on the way: the new life renewed the lease, the leader then ended it, and two could act.
    one = LeaseHolder("b0", "127.0.0.1:1", {"probe": True}, ("v0", "v1"), LeaseTiming(), 1, 0.0)
    one.tick(1.0)
    seq = one.drain_output()[0][1].seq
    one.receive_reply(1.1, told(seq))
    assert one.may_act(1.1, "probe") is None and not one.granted_leases()
    assert {m.returned_leases for _, m in one.drain_output()} == {(LeaseId("probe", 5),)}
    one.receive_reply(1.2, told(seq, epoch=8))
    assert one.may_act(1.2, "probe") == 8


def test_what_was_given_back_is_not_taken_up_again():
    one, seq = holder()
    one.receive_reply(1.1, told(seq))
    one.receive_reply(1.2, told(0, renewed=False, yields=True))
    leaves = [m for _, m in one.drain_output()]
    assert (
        one.may_act(1.2, "probe") is None
        and {m.returned_leases for m in leaves} == {(LeaseId("probe", 5),)}
        and len(leaves) == 2
    )
    one.receive_reply(1.3, told(seq))
    assert one.may_act(1.3, "probe") is None and not one.granted_leases()
    one.receive_reply(1.3, told(seq, epoch=9))
    assert one.may_act(1.3, "probe") == 9
    one.shut_down(1.4)
    one.receive_reply(1.45, told(seq, epoch=11))
    assert one.may_act(1.45, "probe") is None and one.next_at == float("inf")
