"""Unit tests of leases: placement of holders, renewal, fencing, and the health checks of suspected servers."""

import msgspec

from badgerbend import api
from badgerbend.leases.candidates import MAX_FREQUENT_CANDIDATES, MAX_REQUEST_INTERVALS
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.health_checks import HealthChecker, observations_of, suspected_servers, suspicion_report
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.manager import HANDOVER_LEASE_DURATIONS, UNCONFIRMED_GRANT_TIMEOUTS, LeaseManager
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
DUTY = "probe"
REQUEST_INTERVAL_S = 0.25  # between two requests of each broker


class LeadingManager:
    """A manager of a leading voter, whose proposals are applied at once, and brokers that renew their leases.

    failing: the brokers that report that they fail at the duty.
    """

    def __init__(self, *brokers):
        self.table = LeaseTable()
        self.now = 0.0
        self.last_index = 0
        self.manager = LeaseManager(self.table, TIMING, 1)
        self.manager.become_leader(self.now)
        self.requests = {
            name: LeaseRequest(name, 1, f"127.0.0.1:{number}", 0.0, False, ())
            for number, name in enumerate(brokers, start=1)
        }
        self.is_local = dict.fromkeys(brokers, True)
        self.failing = set()
        self.states = {}  # by broker: the lease state in the last reply

    def apply(self, commands):
        for command in commands:
            self.last_index += 1
            self.table.apply(self.last_index, encode(command))
            self.manager.table_changed(self.now)
        return commands

    def run(self, seconds, silent=()):
        """Advances the time while all but the silent brokers send requests. Returns the applied commands."""
        commands = []
        for _ in range(round(seconds / REQUEST_INTERVAL_S)):
            self.now += REQUEST_INTERVAL_S
            for name in self.requests:
                if name not in silent:
                    self._request(name)
            commands += self.apply(self.manager.due_commands(self.now))
        return commands

    def _request(self, name):
        epoch = self.lease.epoch if self.holder == name else 0
        candidacy = Candidacy(DUTY, epoch, self.is_local[name], name in self.failing)
        request = msgspec.structs.replace(self.requests[name], candidacies=(candidacy,))
        if self.manager.receive_request(self.now, request):
            (self.states[name],) = self.manager.renew(self.now, request)
        else:
            (self.states[name],) = self.manager.current_leases(request)

    @property
    def lease(self):
        return self.table.lease(DUTY)

    @property
    def holder(self):
        return self.lease.holder


# -- placement


def test_a_new_leader_waits_for_candidates_before_it_grants_anything():
    leading = LeadingManager("far", "near")
    leading.is_local["far"] = False
    assert not leading.run(0.75)
    assert leading.run(0.5) == [GrantLease(DUTY, "near", 0)]
    assert leading.states["near"].address == "127.0.0.1:2"


def test_the_least_loaded_local_candidate_that_is_no_voter_is_chosen():
    leading = LeadingManager("voter", "busy", "idle", "far")
    leading.is_local["far"] = False
    leading.requests["voter"] = msgspec.structs.replace(leading.requests["voter"], is_voter=True)
    leading.requests["busy"] = msgspec.structs.replace(leading.requests["busy"], load=900.0)
    leading.run(2)
    assert leading.holder == "idle"


def test_an_expired_lease_goes_to_another_broker_and_the_epoch_grows():
    leading = LeadingManager("a", "b")
    leading.run(3)
    old = leading.lease
    silent_since = leading.now
    commands = leading.run(6, silent=(old.holder,))
    assert commands[0] == ReleaseLease(DUTY, old.epoch)
    assert commands[1].holder != old.holder
    assert leading.lease.epoch > old.epoch
    assert not leading.run(5)
    assert leading.now - silent_since > 2.0


def test_a_grant_that_is_never_renewed_goes_to_another_broker():
    leading = LeadingManager("a", "b")
    leading.run(0.75)
    leading.manager.candidates.by_duty[DUTY].pop("b", None)
    (grant,) = leading.run(0.25, silent=("a", "b"))
    assert grant.holder == "a"
    commands = leading.run(UNCONFIRMED_GRANT_TIMEOUTS * TIMING.reply_timeout_s + 0.5, silent=("a",))
    assert [type(command) for command in commands] == [ReleaseLease, GrantLease]
    assert leading.holder == "b"


def test_a_returned_lease_is_free_at_once_and_a_departing_broker_is_no_candidate():
    leading = LeadingManager("a", "b")
    leading.run(3)
    old = leading.lease
    returned = (LeaseId(DUTY, old.epoch),)
    commands = leading.manager.receive_return(LeaseReturn(old.holder, 5, returned, True))
    assert leading.apply(commands) == [ReleaseLease(DUTY, old.epoch)]
    assert not leading.manager.receive_return(LeaseReturn(old.holder, 6, returned, True))
    (grant,) = leading.apply(leading.manager.due_commands(leading.now))
    assert grant.holder != old.holder


def test_only_a_lasting_better_placement_leads_to_a_hand_over_and_load_never_does():
    leading = LeadingManager("a", "b")
    leading.is_local["b"] = False
    leading.run(3)
    assert leading.holder == "a"
    leading.requests["a"] = msgspec.structs.replace(leading.requests["a"], load=1e6)
    leading.run(4 * HANDOVER_LEASE_DURATIONS * TIMING.lease_duration_s)
    assert leading.holder == "a"
    assert not leading.states["a"].should_yield
    leading.is_local = {"a": False, "b": True}
    leading.run(HANDOVER_LEASE_DURATIONS * TIMING.lease_duration_s - 1)
    assert not leading.states["a"].should_yield
    leading.run(3)
    assert leading.states["a"].should_yield
    assert leading.states["a"].renewed


def test_a_failing_holder_is_told_to_return_its_lease_and_otherwise_the_lease_expires():
    leading = LeadingManager("a", "b")
    leading.run(3)
    old = leading.lease
    leading.failing = {old.holder}
    assert not leading.run(TIMING.lease_duration_s)
    leading.run(0.5)
    asked_at = leading.now
    assert leading.states[old.holder].should_yield
    assert not leading.states[old.holder].renewed
    assert leading.holder == old.holder
    commands = leading.run(3)
    assert commands[0] == ReleaseLease(DUTY, old.epoch)
    assert leading.holder != old.holder
    assert leading.now - asked_at > 1.0
    other = leading.holder
    leading.failing = {old.holder, other}
    leading.run(10)
    assert leading.holder == other  # there is no healthy candidate


def test_a_lease_that_is_being_released_and_one_of_another_epoch_are_not_renewed():
    leading = LeadingManager("a")
    leading.run(3)
    epoch = leading.lease.epoch
    request = msgspec.structs.replace(leading.requests["a"], candidacies=(Candidacy(DUTY, epoch - 1, True, False),))
    assert not leading.manager.receive_request(leading.now, request)
    request = msgspec.structs.replace(request, candidacies=(Candidacy(DUTY, epoch, True, False),))
    assert leading.manager.receive_request(leading.now, request)
    assert leading.manager.renew(leading.now, request)[0].renewed
    (release,) = leading.manager.due_commands(leading.now + 3.0)
    assert release == ReleaseLease(DUTY, epoch)
    assert not leading.manager.renew(leading.now, request)[0].renewed
    leading.manager.proposal_dropped(release)  # it did not get into the log
    assert leading.manager.renew(leading.now, request)[0].renewed


def test_choosing_the_lowest_member_name_gives_two_holders_under_a_partition():
    """Shows why leases do not rely on the SWIM membership alone: each side of a partition would choose a holder."""
    network = Network(3, SwimConfig())
    names = [f"b{number}" for number in range(8)]
    for name in names:
        network.start(name, tuple(names[:2]))
    assert network.run(120, network.has_converged)
    network.partitions = {name: number % 2 for number, name in enumerate(names)}

    def lowest(name):
        return min([name, *(member.name for member in network.members[name].live_members())])

    assert network.run(240, lambda: {lowest("b0"), lowest("b1")} == {"b0", "b1"})


# -- hundreds of candidates


def receive_candidacies(manager, now, names, is_local=True):
    """Passes one request of each broker to the manager. Returns by name the delay until the next request."""
    delays = {}
    for number, name in enumerate(names, start=1):
        candidacies = (Candidacy(DUTY, 0, is_local, False),)
        request = LeaseRequest(name, 1, f"127.0.0.1:{number}", 0.0, False, candidacies)
        manager.receive_request(now, request)
        delays[name] = manager.candidates.request_delay_s(request)
    return delays


def test_of_hundreds_of_candidates_a_few_are_frequent_and_others_take_their_place():
    leading = LeadingManager()
    manager = leading.manager
    delays = receive_candidacies(manager, 0.0, [f"b{number}" for number in range(200)])
    frequent = [name for name, delay in delays.items() if not delay]
    assert len(frequent) == MAX_FREQUENT_CANDIDATES
    assert len(manager.candidates.infrequent(DUTY)) == 200 - MAX_FREQUENT_CANDIDATES
    # Without this limit each of the 200 candidates would wait for 12.5 s.
    assert max(delays.values()) == TIMING.candidacy_interval_s * MAX_REQUEST_INTERVALS
    assert receive_candidacies(manager, 1.0, frequent) == dict.fromkeys(frequent, 0.0)  # they stay frequent
    lost_at = (
        1.0 + 3.1 * TIMING.candidacy_interval_s
    )  # by then all frequent candidates are silent, as after the loss of a site
    later = receive_candidacies(manager, lost_at, ["b150", "b151", "b152"])
    assert list(later.values()) == [0.0] * 3
    (grant,) = manager.due_commands(leading.now + 4.2)
    assert isinstance(grant, GrantLease)
    assert grant.holder in later  # not one of the silent candidates


def test_better_placed_candidates_replace_worse_placed_frequent_ones():
    manager = LeadingManager().manager
    receive_candidacies(manager, 0.0, [f"far{number}" for number in range(30)], is_local=False)
    assert receive_candidacies(manager, 0.1, ["near"]) == {"near": 0.0}
    assert len(manager.candidates.frequent[DUTY]) == MAX_FREQUENT_CANDIDATES
    assert "near" in manager.candidates.frequent[DUTY]


def test_a_broker_waits_as_long_as_the_leader_says_unless_a_request_has_no_reply():
    holder = LeaseHolder("b1", "127.0.0.1:1", {DUTY: True}, ("v1",), TIMING, 1, 0.0)
    holder.tick(holder.next_at)
    ((_, request),) = holder.drain_output()
    held_by_other = LeaseState(DUTY, "b9", "", 4, False, False)
    holder.receive_reply(0.3, LeaseReply("v1", request.seq, "v1", True, (held_by_other,), 9.0))
    assert 0.3 + 0.8 * 9.0 <= holder.next_at <= 0.3 + 9.0
    for number in range(1, 19):  # often enough that the event loop does not count as stalled
        holder.tick(0.3 + 0.4 * number)
    assert not holder.drain_output()
    while not (output := holder.drain_output()):
        holder.tick(min(holder.next_at, holder._last_run_at + 0.4))
    assert len(output) == 1
    assert holder.next_at < 10.5  # the request has no reply yet, so that the retry is soon
    granted = LeaseState(DUTY, "b1", "", 7, False, False)
    holder.receive_reply(9.6, LeaseReply("v1", 0, "v1", True, (granted,), 0.0))
    assert holder.next_at == 9.6  # the grant is renewed at once, whatever the delay was


# -- fencing


def test_a_guard_rejects_older_epochs_of_each_duty():
    guard = FencingGuard()
    assert guard.admits(DUTY, 5)
    assert guard.admits(DUTY, 5)
    assert guard.admits("deal", 1)
    assert not guard.admits(DUTY, 4)
    assert guard.admits(DUTY, 9)
    assert not guard.admits(DUTY, 5)
    assert guard.rejected == 2


# -- health checks


def observation(node, response_time_ms, is_down=False):
    return api.EndpointObservation(node, response_time_ms, 10.0, is_down)


def test_servers_that_are_down_or_far_slower_are_suspected_the_worst_first():
    observations = (
        observation(1, 20.0),
        observation(2, 25.0),
        observation(3, 400.0),
        observation(4, 30.0, is_down=True),
        observation(9, 900.0),
    )
    names = {1: "s1", 2: "s2", 3: "s3", 4: "s4"}
    assert suspected_servers(api.Observations(observations, ()), names) == ["s4", "s3"]
    assert suspected_servers(api.Observations((), ()), {}) == []
    assert len(suspicion_report([f"s{number}" for number in range(100)], "b0", DUTY).servers) == 16


def test_a_server_is_checked_at_one_interval_however_many_brokers_suspect_it_and_all_are_notified():
    checker = HealthChecker(DUTY, "b0", interval_s=0.5, max_in_flight=2)
    for number in range(50):
        report = SuspicionReport(f"b{number}", DUTY, ("s1", "s2", "s3"))
        checker.receive_suspicions(0.0, report, f"127.0.0.1:{number + 1}")
    assert checker.start_due_checks(0.0) == ["s1", "s2"]
    assert checker.start_due_checks(0.1) == []
    reports = checker.finish_check(0.2, 7, "s1", succeeded=True, latency_ms=12.0)
    assert len(reports) == 50
    assert reports[0] == ("127.0.0.1:1", ProbeReport("b0", DUTY, 7, (ProbeResult("s1", True, 12.0, 200.0),)))
    assert checker.finish_check(0.2, 7, "s1", succeeded=True, latency_ms=12.0) == []  # the check has already ended
    assert checker.start_due_checks(0.3) == ["s3"]
    assert checker.start_due_checks(0.6) == []  # two checks are in flight
    checker.finish_check(0.6, 7, "s2", succeeded=False, latency_ms=1000.0)
    assert checker.start_due_checks(0.7) == ["s1"]
    for server in ("s1", "s3"):
        checker.finish_check(1.0, 7, server, succeeded=True, latency_ms=1.0)
    assert checker.start_due_checks(20.0) == []
    assert not checker.servers  # all suspicions have expired
    assert checker.checks_started == 4


def test_a_report_becomes_observations_of_the_servers_that_are_known():
    results = (ProbeResult("s1", False, 1000.0, 50.0), ProbeResult("removed", True, 1.0, 1.0))
    expected = api.Observations((api.EndpointObservation(4, 1000.0, 50.0, True),), ())
    assert observations_of(ProbeReport("b0", DUTY, 7, results), {"s1": 4}) == expected
