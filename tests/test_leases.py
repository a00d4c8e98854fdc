"""Leases by hand, without processes: placement, renewal and fencing, and the health checks of suspected servers."""

import msgspec

from badgerbend import api
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.health_checks import HealthChecker, observations_of, suspected_servers, suspicion_report
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.manager import (
    HANDOVER_LEASES,
    MAX_FREQUENT_CANDIDATES,
    MAX_REQUEST_INTERVALS,
    UNCONFIRMED_GRANT_TIMEOUTS,
    LeaseManager,
)
from badgerbend.leases.messages import (
    Candidacy,
    GrantLease,
    LeaseId,
    LeaseReply,
    LeaseRequest,
    LeaseReturn,
    LeaseState,
    ProbeReport,
    ProbeResult,
    ReleaseLease,
    SuspicionReport,
    encode,
)
from badgerbend.leases.table import LeaseTable
from badgerbend.leases.timing import LeaseTiming
from badgerbend.membership.swim import SwimConfig
from badgerbend.standin.network import Network

TIMING = LeaseTiming(lease_duration_s=2.0, clock_drift_bound=0.01, candidacy_interval_s=1.0, reply_timeout_s=0.25)


class Led:
    """A keeper whose proposals are applied at once, as by a log that answers in no time."""

    def __init__(self, *brokers):
        self.table, self.now, self.index = LeaseTable(), 0.0, 0
        self.manager = LeaseManager(self.table, TIMING, 1)
        self.manager.become_leader(0.0)
        self.brokers = {b: LeaseRequest(b, 1, f"127.0.0.1:{i + 1}", 0.0, False, ()) for i, b in enumerate(brokers)}
        self.near, self.failing, self.lines = dict.fromkeys(brokers, True), set(), {}

    def apply(self, commands):
        for command in commands:
            self.index += 1
            self.table.apply(self.index, encode(command))
            self.manager.table_changed(self.now)
        return commands

    def run(self, seconds, silent=()):
        """Time passes; all but the silent show themselves, and renew what they hold."""
        done = []
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            for name, want in self.brokers.items():
                if name in silent:
                    continue
                lease = self.table.lease("probe")
                stand = Candidacy("probe", lease.epoch * (lease.holder == name), self.near[name], name in self.failing)
                want = msgspec.structs.replace(want, candidacies=(stand,))
                self.lines[name] = (
                    self.manager.renew(self.now, want)
                    if self.manager.receive_request(self.now, want)
                    else self.manager.current_leases(want)
                )[0]
            done += self.apply(self.manager.due_commands(self.now))
        return done

    @property
    def holder(self):
        return self.table.lease("probe").holder


def test_a_new_leader_hears_who_stands_before_it_gives_anything():
    led = Led("far", "near")
    led.near["far"] = False
    assert not led.run(0.75) and led.run(0.5) == [GrantLease("probe", "near", 0)]
    assert led.lines["near"].address == "127.0.0.1:2"


def test_the_least_loaded_of_those_at_the_site_that_do_not_vote_is_chosen():
    led = Led("voter", "busy", "idle", "far")
    led.near["far"] = False
    led.brokers["voter"] = msgspec.structs.replace(led.brokers["voter"], is_voter=True)
    led.brokers["busy"] = msgspec.structs.replace(led.brokers["busy"], load=900.0)
    led.run(2)
    assert led.holder == "idle"


def test_a_lease_that_runs_out_goes_to_another_and_its_epoch_grows():
    led = Led("a", "b")
    led.run(3)
    old, epoch = led.holder, led.table.lease("probe").epoch
    began = led.now
    done = led.run(6, silent=(old,))
    assert done[0] == ReleaseLease("probe", epoch) and done[1].holder != old and led.table.lease("probe").epoch > epoch
    assert not led.run(5) and led.now - began > 2.0


def test_a_grant_that_is_not_taken_up_is_given_on_and_not_to_the_same():
    led = Led("a", "b")
    led.run(0.75)
    led.manager.candidates["probe"].pop("b", None)
    (grant,) = led.run(0.25, silent=("a", "b"))
    assert grant.holder == "a"
    done = led.run(UNCONFIRMED_GRANT_TIMEOUTS * TIMING.reply_timeout_s + 0.5, silent=("a",))
    assert [type(c) for c in done] == [ReleaseLease, GrantLease] and led.holder == "b"


def test_what_is_given_back_is_free_at_once_and_who_leaves_is_chosen_no_more():
    led = Led("a", "b")
    led.run(3)
    old, epoch = led.holder, led.table.lease("probe").epoch
    returned = (LeaseId("probe", epoch),)
    assert led.apply(led.manager.receive_return(LeaseReturn(old, 5, returned, True))) == [ReleaseLease("probe", epoch)]
    assert not led.manager.receive_return(LeaseReturn(old, 6, returned, True))
    (grant,) = led.apply(led.manager.due_commands(led.now))
    assert grant.holder != old


def test_a_better_place_is_worth_a_hand_over_only_when_it_lasts_and_load_never():
    led = Led("a", "b")
    led.near["b"] = False
    led.run(3)
    assert led.holder == "a"
    led.brokers["a"] = msgspec.structs.replace(led.brokers["a"], load=1e6)
    led.run(4 * HANDOVER_LEASES * TIMING.lease_duration_s)
    assert led.holder == "a" and not led.lines["a"].should_yield
    led.near = {"a": False, "b": True}
    led.run(HANDOVER_LEASES * TIMING.lease_duration_s - 1)
    assert not led.lines["a"].should_yield
    led.run(3)
    assert led.lines["a"].should_yield and led.lines["a"].renewed


def test_a_holder_that_fails_is_asked_to_give_back_and_waited_for_if_it_does_not():
    led = Led("a", "b")
    led.run(3)
    old, epoch = led.holder, led.table.lease("probe").epoch
    led.failing = {old}
    assert not led.run(TIMING.lease_duration_s)
    led.run(0.5)
    last = led.now
    assert led.lines[old].should_yield and not led.lines[old].renewed and led.holder == old
    done = led.run(3)
    assert done[0] == ReleaseLease("probe", epoch) and led.holder != old and led.now - last > 1.0
    other = led.holder
    led.failing = {old, other}
    led.run(10)
    assert led.holder == other  # nobody better to try


def test_a_leader_renews_nothing_that_ends_and_nothing_of_another_epoch():
    led = Led("a")
    led.run(3)
    epoch = led.table.lease("probe").epoch
    want = msgspec.structs.replace(led.brokers["a"], candidacies=(Candidacy("probe", epoch - 1, True, False),))
    assert not led.manager.receive_request(led.now, want)
    want = msgspec.structs.replace(want, candidacies=(Candidacy("probe", epoch, True, False),))
    assert led.manager.receive_request(led.now, want) and led.manager.renew(led.now, want)[0].renewed
    (free,) = led.manager.due_commands(led.now + 3.0)
    assert free == ReleaseLease("probe", epoch) and not led.manager.renew(led.now, want)[0].renewed
    led.manager.proposal_dropped(free)  # it did not get into the log
    assert led.manager.renew(led.now, want)[0].renewed


def test_the_lowest_name_of_a_membership_is_two_holders_where_it_is_cut():
    """Why SWIM's view alone is not taken: the other way in docs/leases.md."""
    net = Network(3, SwimConfig())
    names = [f"b{i}" for i in range(8)]
    for name in names:
        net.start(name, tuple(names[:2]))
    assert net.run(120, net.agreed)
    net.sides = {name: i % 2 for i, name in enumerate(names)}

    def lowest(name):
        return min([name, *(m.name for m in net.members[name].live_members())])

    assert net.run(240, lambda: {lowest("b0"), lowest("b1")} == {"b0", "b1"})


# -- hundreds of candidates


def crowd(manager, now, names, near=True):
    """They show themselves; by name, how long each may stay silent."""
    waits = {}
    for i, name in enumerate(names):
        want = LeaseRequest(name, 1, f"127.0.0.1:{i + 1}", 0.0, False, (Candidacy("probe", 0, near, False),))
        manager.receive_request(now, want)
        waits[name] = manager.request_delay_s(want)
    return waits


def test_of_hundreds_of_candidates_a_few_show_themselves_often_and_others_take_their_place():
    led = Led()
    waits = crowd(led.manager, 0.0, [f"b{i}" for i in range(200)])
    often = [name for name, wait in waits.items() if not wait]
    assert (
        len(often) == MAX_FREQUENT_CANDIDATES
        and len(led.manager.infrequent_candidates("probe")) == 200 - MAX_FREQUENT_CANDIDATES
    )
    assert (
        max(waits.values()) == TIMING.candidacy_interval_s * MAX_REQUEST_INTERVALS
    )  # 200 of them would come in every 12.5 s
    assert crowd(led.manager, 1.0, often) == dict.fromkeys(often, 0.0)  # the same ones again
    later = crowd(
        led.manager, 1.0 + 3.1 * TIMING.candidacy_interval_s, ["b150", "b151", "b152"]
    )  # those are silent: a site was lost
    assert list(later.values()) == [0.0] * 3
    (grant,) = led.manager.due_commands(led.now + 4.2)
    assert isinstance(grant, GrantLease) and grant.holder in later  # who is heard is given it, and nobody of the lost


def test_better_placed_candidates_take_the_place_of_worse_ones():
    led = Led()
    crowd(led.manager, 0.0, [f"far{i}" for i in range(30)], near=False)
    assert crowd(led.manager, 0.1, ["near"]) == {"near": 0.0}
    assert (
        len(led.manager.frequent_candidates["probe"]) == MAX_FREQUENT_CANDIDATES
        and "near" in led.manager.frequent_candidates["probe"]
    )


def test_a_broker_waits_as_it_was_told_but_not_when_no_answer_came():
    holder = LeaseHolder("b1", "127.0.0.1:1", {"probe": True}, ("v1",), TIMING, 1, 0.0)
    holder.tick(holder.next_at)
    ((_, want),) = holder.drain_output()
    holder.receive_reply(
        0.3, LeaseReply("v1", want.seq, "v1", True, (LeaseState("probe", "b9", "", 4, False, False),), 9.0)
    )
    assert 0.3 + 0.8 * 9.0 <= holder.next_at <= 0.3 + 9.0
    for n in range(1, 19):  # its loop does not stand still
        holder.tick(0.3 + 0.4 * n)
    assert not holder.drain_output()
    while not (said := holder.drain_output()):
        holder.tick(min(holder.next_at, holder._alive_at + 0.4))
    assert len(said) == 1 and holder.next_at < 10.5  # it asked, and nobody has answered yet
    holder.receive_reply(9.6, LeaseReply("v1", 0, "v1", True, (LeaseState("probe", "b1", "", 7, False, False),), 0.0))
    assert holder.next_at == 9.6  # granted: renewed at once, however long it was to wait


# -- receivers, and probing


def test_a_fence_refuses_what_is_older_and_knows_duties_apart():
    fence = FencingGuard()
    assert fence.admits("probe", 5) and fence.admits("probe", 5) and fence.admits("deal", 1)
    assert not fence.admits("probe", 4) and fence.admits("probe", 9) and not fence.admits("probe", 5)
    assert fence.rejected == 2


def seen(node, time_ms, dead=False):
    return api.EndpointObservation(node, time_ms, 10.0, dead)


def test_doubted_are_the_dead_and_the_far_slower_the_worst_first():
    known = api.Observations(
        (seen(1, 20.0), seen(2, 25.0), seen(3, 400.0), seen(4, 30.0, dead=True), seen(9, 900.0)), ()
    )
    assert suspected_servers(known, {1: "s1", 2: "s2", 3: "s3", 4: "s4"}) == ["s4", "s3"]
    assert suspected_servers(api.Observations((), ()), {}) == []
    assert len(suspicion_report([f"s{i}" for i in range(100)], "b0", "probe").servers) == 16


def test_a_server_is_asked_as_often_whoever_many_doubt_it_and_all_of_them_are_told():
    prober = HealthChecker("probe", "b0", interval_s=0.5, max_in_flight=2)
    for i in range(50):
        prober.receive_suspicions(0.0, SuspicionReport(f"b{i}", "probe", ("s1", "s2", "s3")), f"127.0.0.1:{i + 1}")
    assert prober.start_due_checks(0.0) == ["s1", "s2"] and prober.start_due_checks(0.1) == []
    told = prober.finish_check(0.2, 7, "s1", True, 12.0)
    assert len(told) == 50 and told[0] == (
        "127.0.0.1:1",
        ProbeReport("b0", "probe", 7, (ProbeResult("s1", True, 12.0, 200.0),)),
    )
    assert prober.finish_check(0.2, 7, "s1", True, 12.0) == []  # a second word on the same probe
    assert prober.start_due_checks(0.3) == ["s3"] and prober.start_due_checks(0.6) == []  # two at once
    prober.finish_check(0.6, 7, "s2", False, 1000.0)
    assert prober.start_due_checks(0.7) == ["s1"]
    for server in ("s1", "s3"):
        prober.finish_check(1.0, 7, server, True, 1.0)
    assert prober.start_due_checks(20.0) == [] and not prober.servers  # nobody doubts any more
    assert prober.checks_started == 4


def test_a_finding_takes_the_place_of_no_own_sight():
    found = ProbeReport("b0", "probe", 7, (ProbeResult("s1", False, 1000.0, 50.0), ProbeResult("gone", True, 1.0, 1.0)))
    assert observations_of(found, {"s1": 4}) == api.Observations((api.EndpointObservation(4, 1000.0, 50.0, True),), ())
