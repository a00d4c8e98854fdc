"""SWIM over a simulated network: live members agree, false deaths are refuted, malformed datagrams have no effect."""

import itertools
import random
from dataclasses import replace

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from badgerbend.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MalformedMessageError,
    MemberState,
    MemberUpdate,
    Ping,
    Sync,
    decode,
    encode,
    with_updates,
)
from badgerbend.membership.swim import Swim, SwimConfig
from badgerbend.standin.network import Network
from tests.replacing import replace_attribute

QUICK = SwimConfig(dead_probe_every_periods=3, sync_every_periods=10)


def cluster(count, seed=1, tuning=QUICK):
    net = Network(seed, tuning)
    names = [f"m{i}" for i in range(count)]
    for name in names:
        net.start(name, tuple(names[:3]))
    return net, names


def test_members_find_each_other_through_one_seed():
    net, _ = cluster(12)
    assert net.run(20, net.has_converged)


def test_a_seed_that_was_unreachable_is_found_while_the_other_seeds_are_dead():
    net, names = cluster(5)
    net.partitions["m0"] = 1
    net.run(1)
    for seed in names[:3]:
        net.crash(seed)
    net.run(60, lambda: all(view.get("m1") == MemberState.DEAD for view in net.views().values()))
    net.partitions["m0"] = 0
    net.start("m0", tuple(names[:3]))
    assert net.run(60, net.has_converged), net.views()


def test_all_members_detect_a_crash_and_learn_of_a_leave_within_seconds():
    net, names = cluster(8)
    assert net.run(20, net.has_converged)
    net.crash("m3")
    assert net.run(60, net.has_converged)
    assert all(v["m3"] == MemberState.DEAD for v in net.views().values())
    net.leave("m5")
    left_at = net.now
    assert net.run(10, net.has_converged)
    assert net.now - left_at < 6
    assert all(v["m5"] == MemberState.LEFT for v in net.views().values())


def test_a_restarted_member_has_a_new_incarnation():
    net, names = cluster(6)
    assert net.run(20, net.has_converged)
    previous = net.members["m1"].members["m4"].incarnation
    net.crash("m4")
    net.run(1.0)
    net.start("m4", ("m0",))
    assert net.run(30, lambda: net.members["m1"].members["m4"].incarnation > previous and net.has_converged())


def test_members_agree_again_after_thirty_percent_loss():
    net, names = cluster(10)
    net.loss = 0.3
    net.duplicates = 0.2
    net.delay = (0.001, 0.2)
    net.run(120)
    net.loss = 0.0
    assert net.run(60, net.has_converged)


def test_members_agree_again_after_a_partition():
    net, names = cluster(8)
    assert net.run(20, net.has_converged)
    for name in names[:4]:
        net.partitions[name] = 1
    net.run(90)
    views = net.views()
    assert all(views["m0"][n] == MemberState.DEAD for n in names[4:])
    assert all(views["m7"][n] == MemberState.DEAD for n in names[:4])
    for name in names:
        net.partitions[name] = 0
    assert net.run(120, net.has_converged)


def test_a_false_death_is_refuted_by_a_greater_incarnation():
    net, names = cluster(5)
    assert net.run(20, net.has_converged)
    victim = net.members["m2"]
    before = victim.incarnation
    lie = MemberUpdate("m2", "m2", 1, MemberState.DEAD, before, "m0")
    sender = MemberUpdate("m0", "m0", 1, MemberState.ALIVE, net.members["m0"].incarnation)
    for name in ("m1", "m3"):
        net.members[name].receive(net.now, encode(Sync(False, sender, (lie,))), ("m0", 1))
    assert net.views()["m1"]["m2"] == MemberState.DEAD
    assert net.run(60, net.has_converged)
    assert victim.incarnation > before


def false_alarms(max_health_score):
    """Return how many suspicions and deaths of healthy members one with a bad connection causes in a minute."""
    net, _ = cluster(10, tuning=replace(QUICK, max_health_score=max_health_score))
    assert net.run(20, net.has_converged)
    lossy = net.members["m0"]
    rng = random.Random(4)
    receive = lossy.receive
    replace_attribute(
        lossy, "receive", lambda now, data, source: receive(now, data, source) if rng.random() < 0.15 else None
    )
    net.events.clear()
    net.run(60)
    lossy.receive = receive
    assert net.run(120, net.has_converged)
    states = [e.state for _, by, e in net.events if by != "m0" and e.name != "m0"]
    return states.count(MemberState.SUSPECT), states.count(MemberState.DEAD)


def test_one_member_with_a_bad_connection_does_not_get_healthy_members_declared_dead():
    """Its own connection makes its probes fail. With Lifeguard it lengthens its timeouts before it suspects others."""
    suspected, dead = false_alarms(8)
    suspected_without_health_score, _ = false_alarms(0)
    assert dead == 0
    assert suspected < suspected_without_health_score / 2


def test_datagrams_fit_in_an_ethernet_frame_however_many_updates_are_gossiped():
    net, _ = cluster(60)
    biggest = 0

    def measure_datagrams():
        nonlocal biggest
        for _, _, _, data, _ in net._in_flight:
            biggest = max(biggest, len(data))
        return net.has_converged()

    assert net.run(120, measure_datagrams)
    assert 500 < biggest <= MAX_DATAGRAM_BYTES
    long_updates = [
        MemberUpdate("n" * 64, "h" * 64, 65535, MemberState.ALIVE, 2**61, "b" * 64, "i" * 64) for _ in range(100)
    ]
    message = with_updates(Ping(2**61, "t" * 64, long_updates[0]), long_updates)
    assert 0 < len(message.updates) < 100
    assert len(encode(message)) <= MAX_DATAGRAM_BYTES


@given(st.binary(max_size=200) | st.binary(min_size=MAX_DATAGRAM_BYTES, max_size=MAX_DATAGRAM_BYTES + 100))
def test_any_datagram_is_decoded_or_rejected(data):
    member = Swim("a", ("a", 1), 1, "", QUICK, 1)
    member.receive(0.0, data, ("b", 1))
    try:
        decode(data)
    except MalformedMessageError:
        assert member.rejected_datagrams == 1
        assert not member.members


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 2**32))
def test_corrupted_datagrams_never_raise(seed):
    net, _ = cluster(4, seed)
    net.corruption = 0.5
    net.run(15)


def test_gossip_of_invented_members_cannot_grow_the_table_without_limit():
    member = Swim("a", ("a", 1), 1, "", SwimConfig(max_members=20), 1)
    for i in range(100):
        sender = MemberUpdate(f"x{i}", "h", 1, MemberState.ALIVE, 1)
        member.receive(0.0, encode(Sync(False, sender)), ("h", 1))
    assert len(member.members) == 20


def test_a_fleet_of_1024_and_as_many_dead_members_fit():
    member = Swim("a", ("a", 1), 1, "", SwimConfig(), 1)
    for i in range(2048):
        member.receive(0.0, encode(Sync(False, MemberUpdate(f"x{i}", "h", 1, MemberState.ALIVE, 1))), ("h", 1))
    assert len(member.members) == 2048


class RandomSchedules(RuleBasedStateMachine):
    """Random schedules of starts, crashes, leaves, losses and partitions; then quiet, and all must agree."""

    @initialize(seed=st.integers(0, 1000), count=st.integers(2, 6))
    def begin(self, seed, count):
        self.net, self.names = cluster(count, seed)

    @rule(seconds=st.floats(0.1, 15))
    def wait(self, seconds):
        self.net.run(seconds)

    @rule(loss=st.sampled_from([0.0, 0.1, 0.3]), slow=st.sampled_from([0.01, 0.3, 1.0]))
    def weather(self, loss, slow):
        self.net.loss = loss
        self.net.delay = (0.001, slow)

    @precondition(lambda self: len(self.net.members) > 1)
    @rule(pick=st.integers(0, 99), polite=st.booleans())
    def end(self, pick, polite):
        name = sorted(self.net.members)[pick % len(self.net.members)]
        (self.net.leave if polite else self.net.crash)(name)

    @rule(pick=st.integers(0, 99))
    def restart(self, pick):
        down = sorted(set(self.names) - set(self.net.members))
        if down:
            self.net.start(down[pick % len(down)], tuple(self.names[:3]))

    @rule(pick=st.integers(0, 99))
    def part(self, pick):
        self.net.partitions[self.names[pick % len(self.names)]] ^= 1

    @invariant()
    def is_within_bounds(self):
        for name, member in self.net.members.items():
            assert name not in member.members
            assert 0 <= member.health_score <= member.config.max_health_score

    def teardown(self):
        if not hasattr(self, "net"):
            return
        net = self.net
        net.loss = 0.0
        net.delay = (0.001, 0.01)
        for name in self.names:
            net.partitions[name] = 0
        if not set(self.names[:3]) & set(
            net.members
        ):  # without a seed, members that do not know each other cannot meet
            net.start(self.names[0], tuple(self.names[:3]))
        assert net.run(400, net.has_converged), net.views()


RandomSchedules.TestCase.settings = settings(
    max_examples=30, stateful_step_count=12, deadline=None, suppress_health_check=list(HealthCheck)
)
TestRandomSchedules = RandomSchedules.TestCase


def test_all_orders_of_updates_give_the_same_state():
    """Check each subset of some updates about one member: every order leads to the same incarnation and state."""
    sender = MemberUpdate("b", "b", 1, MemberState.ALIVE, 1)
    updates = [
        MemberUpdate("c", "c", 1, MemberState.ALIVE, 5),
        MemberUpdate("c", "c", 1, MemberState.SUSPECT, 5, "b"),
        MemberUpdate("c", "c", 1, MemberState.DEAD, 5, "b"),
        MemberUpdate("c", "c", 1, MemberState.ALIVE, 6),
        MemberUpdate("c", "c", 1, MemberState.SUSPECT, 6, "b"),
    ]
    final_states = set()
    for size in range(1, 6):
        for chosen in itertools.combinations(updates, size):
            states = set()
            for order in itertools.permutations(chosen):
                member = Swim("a", ("a", 1), 1, "", QUICK, 1)
                member.receive(0.0, encode(Sync(False, MemberUpdate("c", "c", 1, MemberState.ALIVE, 4))), ("c", 1))
                for update in order:
                    member.receive(0.0, encode(Sync(False, sender, (update,))), ("b", 1))
                states.add((member.members["c"].incarnation, member.members["c"].state))
            assert len(states) == 1, (chosen, states)
            final_states |= states
    assert final_states == {(5, 0), (5, 1), (5, 2), (6, 0), (6, 1)}


def test_three_members_agree_again_whichever_early_datagrams_are_lost():
    """Check every choice of lost datagrams among the first nine sends: afterwards all members agree."""
    for lost in itertools.product([False, True], repeat=9):
        net, _ = cluster(3, 5)
        collect = net._collect
        seen = itertools.count()

        def collect_with_loss(name, net=net, seen=seen, lost=lost, collect=collect):
            before = len(net._in_flight)
            collect(name)
            if len(net._in_flight) > before:
                n = next(seen)
                if n < len(lost) and lost[n]:
                    net._in_flight[:] = sorted(net._in_flight)[: len(net._in_flight) - 1]

        replace_attribute(net, "_collect", collect_with_loss)
        net.run(8)
        net._collect = collect
        assert net.run(200, net.has_converged), lost
