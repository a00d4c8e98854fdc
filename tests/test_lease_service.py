"""The lease service: datagrams, settings, commands, timers, messages and health checks."""

import subprocess
import sys
from dataclasses import replace
from types import SimpleNamespace

import pytest

from badgerbend import api
from badgerbend.config.fleet import Duties, VoterEndpoint
from badgerbend.config.reading import parse
from badgerbend.config.sexpr import SettingsError
from badgerbend.consensus.messages import MalformedMessageError
from badgerbend.discovery.members import parse_address
from badgerbend.lease_service import wire
from badgerbend.lease_service.commands import AddVoter, HandOver, RemoveVoter, parse_command
from badgerbend.lease_service.health_check_duty import HealthCheckDuty
from badgerbend.lease_service.messenger import LeaseMessenger
from badgerbend.lease_service.setup import lease_timing
from badgerbend.lease_service.timers import RepeatingTimer
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import (
    LeaseReply,
    LeaseReturn,
    ProbeReport,
    ProbeResult,
    ReleaseLease,
    SuspicionReport,
    encode,
)
from badgerbend.leases.timing import LeaseTiming
from badgerbend.net.calls import CallResult
from tests.sockets import EXAMPLE


def test_malformed_datagrams_and_addresses_are_rejected():
    for body in (
        b"",
        b"s",
        b"x" + encode(SuspicionReport("a", "b", ())),
        b"a" + encode(ReleaseLease("probe", 1)) + b"?",
        b"v\xc1",
    ):
        with pytest.raises(MalformedMessageError):
            wire.decode(body)
    assert wire.decode(wire.encode_peer_message(SuspicionReport("a", "probe", ("s",)))) == SuspicionReport(
        "a", "probe", ("s",)
    )
    for text in ("here", "here:", ":1", "here:0", "here:x"):
        with pytest.raises(ValueError, match="HOST:PORT"):
            parse_address(text)


# -- settings and commands

THREE_VOTERS = tuple(VoterEndpoint(f"broker-{i}", f"127.0.0.1:{7000 + i}") for i in range(3))
INVALID_SETTINGS = {  # by the error message that each must cause
    "2 voters; 1, 3, 5 or 7": {"voter": THREE_VOTERS[:2]},
    "two voters have the name broker-0": {
        "voter": (THREE_VOTERS[0], VoterEndpoint("broker-0", "127.0.0.1:9"), THREE_VOTERS[1])
    },
    "two voters have the address": {
        "voter": (THREE_VOTERS[0], THREE_VOTERS[1], VoterEndpoint("x", THREE_VOTERS[0].address))
    },
    "at least twice stall-ms": {"lease_ms": 900.0},
    "three times beat-ms": {"election_ms": 200.0},
    "advertise here is not HOST:PORT": {"advertise": "here"},
    "key takes one file": {"key": ()},
}


@pytest.mark.parametrize("message", INVALID_SETTINGS)
def test_invalid_settings_are_named_in_the_error(message):
    with pytest.raises(ValueError, match=message):
        Duties(**{"key": ("k",), "voter": THREE_VOTERS} | INVALID_SETTINGS[message])


def test_settings_are_read_from_their_text():
    text = EXAMPLE.read_text().rstrip().removesuffix(")")
    voters = " ".join(f'(voter {v.name} (address "{v.address}"))' for v in THREE_VOTERS)
    duties = parse(f'{text} (duties (key "k") {voters} (store "v") (lease-ms 3000) (clock-rate 0.02)))', "f").duties
    assert duties == Duties(("k",), THREE_VOTERS, store="v", lease_ms=3000.0, clock_rate=0.02)
    timing = lease_timing(duties)
    assert (timing.lease_duration_s, timing.holder_lease_s, timing.leader_lease_s) == (3.0, 3.0 * 0.98, 3.0 * 1.02)
    assert replace(timing, clock_drift_bound=0.0).holder_lease_s == 3.0
    with pytest.raises(SettingsError, match="address nowhere is not HOST:PORT"):
        parse(f'{text} (duties (key "k") (voter a (address "nowhere"))))', "f")


def badgerbend(*arguments):
    return subprocess.run([sys.executable, "-m", "badgerbend", *map(str, arguments)], capture_output=True, text=True)


def test_a_voter_s_store_is_created_checked_and_rejected_by_the_commands(tmp_path):
    folder = tmp_path / "v0"
    created = badgerbend("voters", "create", folder, "--name", "broker-0", "--voter", "broker-0", "--voter", "broker-1")
    assert created.returncode == 0
    assert "the store of broker-0, one of 2" in created.stdout
    again = badgerbend("voters", "create", folder, "--name", "broker-0")
    assert again.returncode == 2
    assert "made once" in again.stderr
    assert again.stderr.count("\n") == 1
    checked = badgerbend("voters", "check", folder)
    assert checked.returncode == 0
    assert "term 0, voted for nobody" in checked.stdout
    assert "broker-1" in checked.stdout
    data = bytearray((folder / "log.1").read_bytes())
    data[-1] ^= 1
    (folder / "log.1").write_bytes(data)
    damaged = badgerbend("voters", "check", folder)
    assert damaged.returncode == 2
    assert "log.1: damaged at byte" in damaged.stderr
    assert damaged.stderr.count("\n") == 1
    other = badgerbend("voters", "create", tmp_path / "x", "--name", "broker-9", "--voter", "broker-0")
    assert other.returncode == 2
    assert "is none of the voters" in other.stderr
    unreachable = badgerbend("duties", "list", "--port", 1)
    assert unreachable.returncode == 3
    assert "no answer from 127.0.0.1:1" in unreachable.stderr


# -- operators' commands


@pytest.mark.parametrize(
    ("path", "command"),
    [
        ("hand-over", HandOver()),
        ("voters/add/broker-3", AddVoter("broker-3")),
        ("voters/remove/broker-3", RemoveVoter("broker-3")),
        ("voters/remove", None),
        ("voters/rename/broker-3", None),
        ("voters/add/broker-3/now", None),
        ("", None),
    ],
)
def test_a_path_is_parsed_as_a_command_or_rejected(path, command):
    assert parse_command(path) == command


# -- timers and messages


class Loop:
    """An event loop that runs scheduled calls only when the test asks for the next one."""

    def __init__(self):
        self.scheduled = []

    def call_later(self, delay_s, callback, *arguments):
        handle = Handle(delay_s, lambda: callback(*arguments))
        self.scheduled.append(handle)
        return handle

    def call_soon(self, callback, *arguments):
        return self.call_later(0.0, callback, *arguments)

    def run_next(self):
        handle = self.scheduled.pop(0)
        if not handle.cancelled:
            handle.callback()
        return handle.delay_s


class Handle:
    """A scheduled call, which can be cancelled."""

    def __init__(self, delay_s, callback):
        self.delay_s, self.callback, self.cancelled = delay_s, callback, False

    def cancel(self):
        self.cancelled = True


def test_a_repeating_timer_gets_the_next_delay_before_each_call_and_stops_when_cancelled():
    loop, events, delays = Loop(), [], iter((2.0, 3.0, 5.0))

    def next_delay():
        events.append("delay")
        return next(delays)

    timer = RepeatingTimer(loop, lambda: events.append("call"), next_delay)
    timer.start(0.5)
    assert [loop.run_next(), loop.run_next()] == [0.5, 2.0]
    assert events == ["delay", "call", "delay", "call"]
    timer.cancel()
    assert loop.run_next() == 3.0
    assert not loop.scheduled
    assert len(events) == 4


class RecordingSocket:
    """Records the datagrams that are sent."""

    def __init__(self):
        self.own_address, self.loop, self.sent = ("127.0.0.1", 7000), Loop(), []

    def send(self, address, body):
        self.sent.append((address, body))


class RecordingVoter:
    """Records the messages that it receives."""

    def __init__(self):
        self.messages = []

    def handle_lease_message(self, message, source):
        self.messages.append((message, source))


VOTERS = {"broker-0": ("127.0.0.1", 7000), "broker-1": ("127.0.0.1", 7001)}
REPLY = LeaseReply("broker-0", 0, "broker-0", True, ())


def test_requests_to_the_own_voter_bypass_the_socket_and_others_are_sent_as_datagrams():
    socket, voter = RecordingSocket(), RecordingVoter()
    messenger = LeaseMessenger(socket, "broker-0", VOTERS, lambda reply: None)
    holder = LeaseHolder("broker-0", "127.0.0.1:7000", {"probe": True}, tuple(VOTERS), LeaseTiming(), 1, 0.0)
    assert not messenger.send_pending_requests(holder, voter)
    holder.shut_down(0.0)  # sends a return to every voter
    assert messenger.send_pending_requests(holder, voter)
    ((own, source),) = voter.messages
    assert isinstance(own, LeaseReturn)
    assert source == socket.own_address
    ((address, body),) = socket.sent
    assert address == VOTERS["broker-1"]
    assert wire.decode(body) == own
    holder.shut_down(0.0)
    assert messenger.send_pending_requests(holder, None)  # without a voter of its own, though one has its name
    assert [address for address, _ in socket.sent[1:]] == list(VOTERS.values())


def test_replies_to_the_process_itself_are_delivered_by_the_loop_unless_it_has_closed():
    socket, replies = RecordingSocket(), []
    messenger = LeaseMessenger(socket, "broker-0", VOTERS, replies.append)
    messenger.send_reply(socket.own_address, REPLY)
    assert replies == []
    socket.loop.run_next()
    assert replies == [REPLY]
    assert not socket.sent
    messenger.send_reply(("127.0.0.1", 7001), REPLY)
    ((address, body),) = socket.sent
    assert address == ("127.0.0.1", 7001)
    assert wire.decode(body) == REPLY
    messenger.send_reply(socket.own_address, REPLY)
    messenger.close()
    socket.loop.run_next()
    assert replies == [REPLY]


# -- health checks


class Pool:
    """Connections to one server. The test answers a request by calling one of `replies`."""

    host, port = "127.0.0.1", 9000

    def __init__(self):
        self.replies, self.aborted = [], 0

    def request(self, data, on_reply):
        assert data.startswith(b"POST /graphql HTTP/1.1\r\nhost: 127.0.0.1:9000\r\nuser-agent: badgerbend/probe\r\n")
        self.replies.append(on_reply)
        return self

    def abort(self):
        self.aborted += 1


class HealthCheckStage:
    """A duty on which this broker holds the lease under epoch 7, and one server that another broker suspects.

    The stage acts as the duty's socket and driver. sent: the reports sent to other brokers. learned: the observations
    passed to the driver.
    """

    def __init__(self):
        self.loop, self.own_address, self.now, self.epoch = Loop(), ("127.0.0.1", 7000), 0.0, 7
        self.sent, self.learned, self.pool = [], [], Pool()
        directory = SimpleNamespace(servers={"s1": SimpleNamespace(number=4)}, names={4: "s1"})
        self.duty = HealthCheckDuty(
            self,
            Duties(("k",), THREE_VOTERS),
            "probe",
            "broker-0",
            FencingGuard(),
            self,
            directory,
            self.pool_of,
            self.clock,
        )
        holder = LeaseHolder("broker-0", "127.0.0.1:7000", {"probe": True}, tuple(VOTERS), LeaseTiming(), 1, 0.0)
        self.duty.start(holder)
        self.duty.handle_suspicion(SuspicionReport("broker-1", "probe", ("s1",)), ("127.0.0.1", 7001))
        while not self.pool.replies:
            self.loop.run_next()

    def clock(self):
        return self.now

    def pool_of(self, number):
        assert number == 4
        return self.pool

    def may_act(self, duty):
        return self.epoch

    def send(self, address, body, still_valid):
        if still_valid():
            self.sent.append((address, wire.decode(body)))

    def observations(self):
        return api.Observations((), ())

    def add_observations(self, observations):
        self.learned.append(observations)


ANSWER = SimpleNamespace(result=CallResult.ANSWER, status=200)


def test_the_result_of_a_check_is_sent_once_to_the_broker_that_suspects_the_server():
    stage = HealthCheckStage()
    stage.now = 0.02
    stage.pool.replies[0](ANSWER)
    stage.pool.replies[0](ANSWER)
    ((address, report),) = stage.sent
    assert address == ("127.0.0.1", 7001)
    assert report == ProbeReport("broker-0", "probe", 7, (ProbeResult("s1", True, 20.0, 20.0),))
    assert stage.duty.reports_sent == 1


def test_checks_in_flight_are_cancelled_when_the_duty_closes_and_report_nothing():
    stage = HealthCheckStage()
    stage.duty.close()
    assert stage.pool.aborted == 1
    assert all(handle.cancelled for handle in stage.loop.scheduled)
    stage.pool.replies[0](ANSWER)
    assert stage.sent == []


def test_a_result_is_not_sent_once_the_lease_is_lost():
    stage = HealthCheckStage()
    stage.epoch = None
    stage.pool.replies[0](ANSWER)
    assert stage.sent == []
    assert stage.duty.reports_sent == 0


def test_a_report_under_an_older_epoch_than_one_seen_before_is_ignored():
    stage = HealthCheckStage()
    results = (ProbeResult("s1", False, 1000.0, 50.0), ProbeResult("unknown", True, 1.0, 1.0))
    stage.duty.handle_report(ProbeReport("broker-1", "probe", 8, results))
    stage.duty.handle_report(ProbeReport("broker-2", "probe", 7, results))
    assert stage.learned == [api.Observations((api.EndpointObservation(4, 1000.0, 50.0, True),), ())]
    assert stage.duty.results_received == 2
