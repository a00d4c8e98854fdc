"""Who is given a duty, by whom a server is probed, and what an operator sees; by hand, without processes."""

import subprocess
import sys
from dataclasses import replace

import msgspec
import pytest

from badgerbend import api
from badgerbend.config.fleet import Duties, VoterAt
from badgerbend.config.reading import parse
from badgerbend.config.sexpr import SettingsError
from badgerbend.consensus.messages import MalformedMessageError
from badgerbend.discovery.members import parse_address
from badgerbend.lease_service import wire
from badgerbend.lease_service.service import lease_timing
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.holder import LeaseHolder, LeaseTiming
from badgerbend.leases.manager import ENOUGH, SELDOM, STEADY, TAKEN_UP, LeaseManager
from badgerbend.leases.messages import (
    Candidacy,
    GrantLease,
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
from badgerbend.leases.probing import Prober, doubted, learned, said
from badgerbend.leases.table import LeaseTable
from badgerbend.membership.swim import SwimConfig
from badgerbend.standin.network import Network
from tests.sockets import EXAMPLE

TERMS = LeaseTiming(lease_s=2.0, rate=0.01, ask_s=1.0, answer_s=0.25)


class Led:
    """A keeper whose proposals are applied at once, as by a log that answers in no time."""

    def __init__(self, *brokers):
        self.table, self.now, self.index = LeaseTable(), 0.0, 0
        self.keeper = LeaseManager(self.table, TERMS, 1)
        self.keeper.lead(0.0)
        self.brokers = {b: LeaseRequest(b, 1, f"127.0.0.1:{i + 1}", 0.0, False, ()) for i, b in enumerate(brokers)}
        self.near, self.failing, self.lines = dict.fromkeys(brokers, True), set(), {}

    def apply(self, commands):
        for command in commands:
            self.index += 1
            self.table.apply(self.index, encode(command))
            self.keeper.changed(self.now)
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
                want = msgspec.structs.replace(want, stands=(stand,))
                self.lines[name] = (
                    self.keeper.renew(self.now, want) if self.keeper.want(self.now, want) else self.keeper.lines(want)
                )[0]
            done += self.apply(self.keeper.due(self.now))
        return done

    @property
    def holder(self):
        return self.table.lease("probe").holder


def test_a_new_leader_hears_who_stands_before_it_gives_anything():
    led = Led("far", "near")
    led.near["far"] = False
    assert not led.run(0.75) and led.run(0.5) == [GrantLease("probe", "near", 0)]
    assert led.lines["near"].at == "127.0.0.1:2"


def test_the_least_loaded_of_those_at_the_site_that_do_not_vote_is_chosen():
    led = Led("voter", "busy", "idle", "far")
    led.near["far"] = False
    led.brokers["voter"] = msgspec.structs.replace(led.brokers["voter"], votes=True)
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
    led.keeper.candidates["probe"].pop("b", None)
    (grant,) = led.run(0.25, silent=("a", "b"))
    assert grant.holder == "a"
    done = led.run(TAKEN_UP * TERMS.answer_s + 0.5, silent=("a",))
    assert [type(c) for c in done] == [ReleaseLease, GrantLease] and led.holder == "b"


def test_what_is_given_back_is_free_at_once_and_who_leaves_is_chosen_no_more():
    led = Led("a", "b")
    led.run(3)
    old, epoch = led.holder, led.table.lease("probe").epoch
    assert led.apply(led.keeper.leave(LeaseReturn(old, 5, (("probe", epoch),), True))) == [ReleaseLease("probe", epoch)]
    assert not led.keeper.leave(LeaseReturn(old, 6, (("probe", epoch),), True))
    (grant,) = led.apply(led.keeper.due(led.now))
    assert grant.holder != old


def test_a_better_place_is_worth_a_hand_over_only_when_it_lasts_and_load_never():
    led = Led("a", "b")
    led.near["b"] = False
    led.run(3)
    assert led.holder == "a"
    led.brokers["a"] = msgspec.structs.replace(led.brokers["a"], load=1e6)
    led.run(4 * STEADY * TERMS.lease_s)
    assert led.holder == "a" and not led.lines["a"].yields
    led.near = {"a": False, "b": True}
    led.run(STEADY * TERMS.lease_s - 1)
    assert not led.lines["a"].yields
    led.run(3)
    assert led.lines["a"].yields and led.lines["a"].renewed


def test_a_holder_that_fails_is_asked_to_give_back_and_waited_for_if_it_does_not():
    led = Led("a", "b")
    led.run(3)
    old, epoch = led.holder, led.table.lease("probe").epoch
    led.failing = {old}
    assert not led.run(TERMS.lease_s)
    led.run(0.5)
    last = led.now
    assert led.lines[old].yields and not led.lines[old].renewed and led.holder == old
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
    want = msgspec.structs.replace(led.brokers["a"], stands=(Candidacy("probe", epoch - 1, True, False),))
    assert not led.keeper.want(led.now, want)
    want = msgspec.structs.replace(want, stands=(Candidacy("probe", epoch, True, False),))
    assert led.keeper.want(led.now, want) and led.keeper.renew(led.now, want)[0].renewed
    (free,) = led.keeper.due(led.now + 3.0)
    assert free == ReleaseLease("probe", epoch) and not led.keeper.renew(led.now, want)[0].renewed
    led.keeper.refused(free)  # it did not get into the log
    assert led.keeper.renew(led.now, want)[0].renewed


def test_the_lowest_name_of_a_membership_is_two_holders_where_it_is_cut():
    """Why SWIM's view alone is not taken: the other way in docs/duties.md."""
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


def crowd(keeper, now, names, near=True):
    """They show themselves; by name, how long each may stay silent."""
    waits = {}
    for i, name in enumerate(names):
        want = LeaseRequest(name, 1, f"127.0.0.1:{i + 1}", 0.0, False, (Candidacy("probe", 0, near, False),))
        keeper.want(now, want)
        waits[name] = keeper.wait_s(want)
    return waits


def test_of_hundreds_of_candidates_a_few_show_themselves_often_and_others_take_their_place():
    led = Led()
    waits = crowd(led.keeper, 0.0, [f"b{i}" for i in range(200)])
    often = [name for name, wait in waits.items() if not wait]
    assert len(often) == ENOUGH and len(led.keeper.silent("probe")) == 200 - ENOUGH
    assert max(waits.values()) == TERMS.ask_s * SELDOM  # 200 of them would come in every 12.5 s
    assert crowd(led.keeper, 1.0, often) == dict.fromkeys(often, 0.0)  # the same ones again
    later = crowd(led.keeper, 1.0 + 3.1 * TERMS.ask_s, ["b150", "b151", "b152"])  # those are silent: a site was lost
    assert list(later.values()) == [0.0] * 3
    (grant,) = led.keeper.due(led.now + 4.2)
    assert isinstance(grant, GrantLease) and grant.holder in later  # who is heard is given it, and nobody of the lost


def test_better_placed_candidates_take_the_place_of_worse_ones():
    led = Led()
    crowd(led.keeper, 0.0, [f"far{i}" for i in range(30)], near=False)
    assert crowd(led.keeper, 0.1, ["near"]) == {"near": 0.0}
    assert len(led.keeper.often["probe"]) == ENOUGH and "near" in led.keeper.often["probe"]


def test_a_broker_waits_as_it_was_told_but_not_when_no_answer_came():
    holder = LeaseHolder("b1", "127.0.0.1:1", {"probe": True}, ("v1",), TERMS, 1, 0.0)
    holder.tick(holder.next_at)
    ((_, want),) = holder.take()
    holder.told(0.3, LeaseReply("v1", want.seq, "v1", True, (LeaseState("probe", "b9", "", 4, False, False),), 9.0))
    assert 0.3 + 0.8 * 9.0 <= holder.next_at <= 0.3 + 9.0
    for n in range(1, 19):  # its loop does not stand still
        holder.tick(0.3 + 0.4 * n)
    assert not holder.take()
    while not (said := holder.take()):
        holder.tick(min(holder.next_at, holder._alive_at + 0.4))
    assert len(said) == 1 and holder.next_at < 10.5  # it asked, and nobody has answered yet
    holder.told(9.6, LeaseReply("v1", 0, "v1", True, (LeaseState("probe", "b1", "", 7, False, False),), 0.0))
    assert holder.next_at == 9.6  # granted: renewed at once, however long it was to wait


# -- receivers, and probing


def test_a_fence_refuses_what_is_older_and_knows_duties_apart():
    fence = FencingGuard()
    assert fence.admits("probe", 5) and fence.admits("probe", 5) and fence.admits("deal", 1)
    assert not fence.admits("probe", 4) and fence.admits("probe", 9) and not fence.admits("probe", 5)
    assert fence.refused == 2


def seen(node, time_ms, dead=False):
    return api.EndpointObservation(node, time_ms, 10.0, dead)


def test_doubted_are_the_dead_and_the_far_slower_the_worst_first():
    known = api.Observations(
        (seen(1, 20.0), seen(2, 25.0), seen(3, 400.0), seen(4, 30.0, dead=True), seen(9, 900.0)), ()
    )
    assert doubted(known, {1: "s1", 2: "s2", 3: "s3", 4: "s4"}) == ["s4", "s3"]
    assert doubted(api.Observations((), ()), {}) == []
    assert len(said([f"s{i}" for i in range(100)], "b0", "probe").servers) == 16


def test_a_server_is_asked_as_often_whoever_many_doubt_it_and_all_of_them_are_told():
    prober = Prober("probe", "b0", every_s=0.5, most=2)
    for i in range(50):
        prober.doubt(0.0, SuspicionReport(f"b{i}", "probe", ("s1", "s2", "s3")), f"127.0.0.1:{i + 1}")
    assert prober.due(0.0) == ["s1", "s2"] and prober.due(0.1) == []
    told = prober.found(0.2, 7, "s1", True, 12.0)
    assert len(told) == 50 and told[0] == (
        "127.0.0.1:1",
        ProbeReport("b0", "probe", 7, (ProbeResult("s1", True, 12.0, 200.0),)),
    )
    assert prober.found(0.2, 7, "s1", True, 12.0) == []  # a second word on the same probe
    assert prober.due(0.3) == ["s3"] and prober.due(0.6) == []  # two at once
    prober.found(0.6, 7, "s2", False, 1000.0)
    assert prober.due(0.7) == ["s1"]
    for server in ("s1", "s3"):
        prober.found(1.0, 7, server, True, 1.0)
    assert prober.due(20.0) == [] and not prober.servers  # nobody doubts any more
    assert prober.probes == 4


def test_a_finding_takes_the_place_of_no_own_sight():
    found = ProbeReport("b0", "probe", 7, (ProbeResult("s1", False, 1000.0, 50.0), ProbeResult("gone", True, 1.0, 1.0)))
    assert learned(found, {"s1": 4}) == api.Observations((api.EndpointObservation(4, 1000.0, 50.0, True),), ())


def test_what_is_no_datagram_of_duties_is_refused():
    for body in (
        b"",
        b"s",
        b"x" + encode(SuspicionReport("a", "b", ())),
        b"a" + encode(ReleaseLease("probe", 1)) + b"?",
        b"v\xc1",
    ):
        with pytest.raises(MalformedMessageError):
            wire.read(body)
    assert wire.read(wire.peer_body(SuspicionReport("a", "probe", ("s",)))) == SuspicionReport("a", "probe", ("s",))
    for text in ("here", "here:", ":1", "here:0", "here:x"):
        with pytest.raises(ValueError, match="HOST:PORT"):
            parse_address(text)


# -- settings and commands

THREE = tuple(VoterAt(f"broker-{i}", f"127.0.0.1:{7000 + i}") for i in range(3))
WRONG = {
    "2 voters; 1, 3, 5 or 7": {"voter": THREE[:2]},
    "two voters have the name broker-0": {"voter": (THREE[0], VoterAt("broker-0", "127.0.0.1:9"), THREE[1])},
    "two voters have the address": {"voter": (THREE[0], THREE[1], VoterAt("x", THREE[0].address))},
    "at least twice stall-ms": {"lease_ms": 900.0},
    "three times beat-ms": {"election_ms": 200.0},
    "advertise here is not HOST:PORT": {"advertise": "here"},
    "key takes one file": {"key": ()},
}


@pytest.mark.parametrize("text", WRONG)
def test_settings_that_do_not_fit_are_named(text):
    with pytest.raises(ValueError, match=text):
        Duties(**{"key": ("k",), "voter": THREE} | WRONG[text])


def test_settings_as_they_are_written():
    text = EXAMPLE.read_text().rstrip().removesuffix(")")
    voters = " ".join(f'(voter {v.name} (address "{v.address}"))' for v in THREE)
    got = parse(f'{text} (duties (key "k") {voters} (store "v") (lease-ms 3000) (clock-rate 0.02)))', "f").duties
    assert got == Duties(("k",), THREE, store="v", lease_ms=3000.0, clock_rate=0.02)
    terms = lease_timing(got)
    assert (terms.lease_s, terms.held_s, terms.waited_s) == (3.0, 3.0 * 0.98, 3.0 * 1.02)
    assert replace(terms, rate=0.0).held_s == 3.0
    with pytest.raises(SettingsError, match="address nowhere is not HOST:PORT"):
        parse(f'{text} (duties (key "k") (voter a (address "nowhere"))))', "f")


def badgerbend(*words):
    return subprocess.run([sys.executable, "-m", "badgerbend", *map(str, words)], capture_output=True, text=True)


def test_a_voter_s_store_is_made_checked_and_refused_by_command(tmp_path):
    folder = tmp_path / "v0"
    made = badgerbend("voters", "create", folder, "--name", "broker-0", "--voter", "broker-0", "--voter", "broker-1")
    assert made.returncode == 0 and "the store of broker-0, one of 2" in made.stdout
    again = badgerbend("voters", "create", folder, "--name", "broker-0")
    assert again.returncode == 2 and "made once" in again.stderr and again.stderr.count("\n") == 1
    checked = badgerbend("voters", "check", folder)
    assert checked.returncode == 0 and "term 0, voted for nobody" in checked.stdout and "broker-1" in checked.stdout
    data = bytearray((folder / "log.1").read_bytes())
    data[-1] ^= 1
    (folder / "log.1").write_bytes(data)
    spoilt = badgerbend("voters", "check", folder)
    assert spoilt.returncode == 2 and "log.1: damaged at byte" in spoilt.stderr and spoilt.stderr.count("\n") == 1
    other = badgerbend("voters", "create", tmp_path / "x", "--name", "broker-9", "--voter", "broker-0")
    assert other.returncode == 2 and "is none of the voters" in other.stderr
    silent = badgerbend("duties", "list", "--port", 1)
    assert silent.returncode == 3 and "no answer from 127.0.0.1:1" in silent.stderr
