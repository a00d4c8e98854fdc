"""The watch on the platform's agent on a simulated clock: timeouts and retries while discovery is silent."""

import random
from dataclasses import replace

import msgspec
import pytest

from badgerbend import api
from badgerbend.decisions import Aggregator
from badgerbend.discovery import members
from badgerbend.discovery.directory import Directory
from badgerbend.discovery.members import MembersTarget, row_parser
from badgerbend.discovery.watch import Watch
from badgerbend.net.calls import CallResult, Reply
from badgerbend.platform import names
from tests.clock import Clock
from tests.conftest import SETTINGS
from tests.replacing import replace_attribute


class SimulatedAgent:
    """A simulated agent that takes the place of the watch's clock and connection pool.

    It answers at once except during its silences. Polls that arrive during a silence, or wait when one begins, are
    never answered.

    silences: spans of time in seconds. changes: times in seconds and states of the only server from then on; the agent
    learns of a change during a silence when the silence ends. trickles: the span in which answers never end. refuses:
    whether connections are refused during a silence. turn_delay_s: the delay of each turn of the broker's event loop;
    a connection, a request and its answer take `answer_turns` of them. pieces: the number of pieces of an answer, one
    per turn.
    """

    def __init__(self, *silences, changes=(), turn_delay_s=0.0, answer_turns=1, pieces=1, trickles=None, refuses=False):
        self.clock, self.silences, self.changes = Clock(), silences, sorted(changes)
        self.turn_delay_s, self.answer_turns, self.pieces = turn_delay_s, answer_turns, pieces
        self.trickles, self.refuses = trickles, refuses
        self.requests = []

    # -- the watch's clock
    def time(self):
        return self.clock.now / 1000.0

    def call_later(self, delay, callback):
        timer = Timer()
        self.clock.at(
            self.clock.now + (delay + self.turn_delay_s) * 1000.0, lambda: None if timer.cancelled else callback()
        )
        return timer

    # -- the watch's pool
    def request(self, head, on_reply):
        call, now, since = Timer(), self.time(), None
        self.requests.append((now, head))
        wait_s = 0.0
        if b"since=" in head:
            since, wait_s = int(head.split(b"since=")[1].split(b"&")[0]), self.requested_wait_s(head)
        rev_then = self.revision(now)
        if since is not None and since < rev_then:
            wait_s = 0.0
        else:
            wait_s = min(
                [wait_s, *(self.received_at(at) - now for at, _ in self.changes if self.received_at(at) > now)]
            )
        if any(a <= now <= b for a, b in self.silences) and self.refuses:
            self.deliver(call, now + 0.001, 1, Reply(CallResult.CONNECT_FAILED, 0, {}, b""), on_reply)
            return call
        if any(a <= now + wait_s and now <= b for a, b in self.silences):
            return call
        end = now + wait_s
        state = next((s for at, s in reversed(self.changes) if self.received_at(at) <= end), "up")
        is_complete = since is None
        rows = [ROW | {"state": state}] if is_complete or since < self.revision(end) else []
        body = msgspec.json.encode({"rev": self.revision(end), "all": is_complete, "targets": rows})
        if self.trickles and self.trickles[0] <= end < self.trickles[1]:  # a byte every 10 ms, without end
            self.deliver(call, end, 1_000_000, None, on_reply, 0.01)
            return call
        self.deliver(
            call,
            end + 0.001 + self.turn_delay_s * self.answer_turns,
            self.pieces,
            Reply(CallResult.ANSWER, 200, {}, body),
            on_reply,
        )
        return call

    def deliver(self, call, at_s, pieces, reply, on_reply, interval_s=0.0):
        def piece():
            if call.cancelled:
                return
            call.received += 1
            if pieces > 1:
                self.deliver(
                    call, self.time() + max(self.turn_delay_s, interval_s), pieces - 1, reply, on_reply, interval_s
                )
            else:
                on_reply(reply)

        self.clock.at(at_s * 1000.0, piece)

    def requested_wait_s(self, head):
        return int(head.split(b"timeout_ms=")[1].split()[0]) / 1000.0

    def received_at(self, at):
        return next((b for a, b in self.silences if a <= at <= b), at)

    def revision(self, now):
        return 1 + sum(self.received_at(at) <= now for at, _ in self.changes)

    def close(self): ...

    def close_idle(self): ...


class Timer:
    cancelled = False
    received = 0

    def cancel(self):
        self.cancelled = True

    abort = cancel


ROW = {"uid": "s-1", "endpoint": "127.0.0.1:9", "az": "a", "model": "m", "pod_group": 0, "state": "up"}


def run_watch(agent, seconds, grace_s=0.5, polls_on_request=False, seed=1, with_aggregator=False):
    """Runs a watch; returns it with the times and states of the only server as published by it.

    with_aggregator: whether an aggregator requests the polls.
    """
    directory = Directory(4, row_parser(names.MEMBERS, ("a",), ("m",)), shared_clock=True)
    received = []

    def on_update(update):
        if update.kind is api.UpdateKind.FAILED:
            received.append((agent.time(), "failed"))
        received.extend((agent.time(), endpoint.state) for endpoint in update.endpoints)
        if with_aggregator:
            agent.clock.at(agent.clock.now, lambda: step(update))

    aggregator = Aggregator(
        replace(
            SETTINGS, polls_endpoint_list=True, max_notification_delay_ms=members.MAX_NOTIFICATION_DELAY_S * 1000.0
        ),
        seed,
    )

    def step(*events):
        for action in aggregator.step(agent.clock.now, list(events)):
            match action:
                case api.FollowEndpointList(on):
                    watch.follow(on)
                case api.SetTimer(after, token):
                    agent.clock.at(agent.clock.now + after, lambda: step(api.TimerFired(token)))

    watch = Watch(
        MembersTarget(names.MEMBERS, ("127.0.0.1", 1), polls_on_request, grace_s),
        directory,
        agent,
        lambda: agent.clock.now,
        agent.time,
        on_update,
        lambda kind, detail: None,
        seed,
        "test",
    )
    watch.pool = agent
    if with_aggregator:
        step()
    else:
        watch.follow(True)
    agent.clock.run(1000.0 * seconds)
    return received, watch


@pytest.mark.parametrize("grace", [0.25, 0.5, 1.0])
def test_a_drain_known_to_the_agent_at_its_return_arrives_within_the_grace_period(grace):
    # Guards against long polls of 5 s. A poll that waits when discovery goes down is never answered and was abandoned
    # only after its wait. When discovery returned 2 s later, the agent's changes were ignored for three more seconds.
    for seed in range(300):
        rng = random.Random(seed)
        down = 1.0 + rng.uniform(1.0, 8.0)
        returns = down + rng.choice([rng.uniform(0.05, 0.5), rng.uniform(0.5, 8.0)])
        drains = rng.uniform(down, returns + 6.0)
        agent = SimulatedAgent((down, returns), changes=[(drains, "draining")])
        received, _ = run_watch(agent, 20.0, grace, seed=seed)
        notified_at = agent.received_at(drains)
        first = min(t for t, state in received if state == api.EndpointState.DRAINING)
        assert notified_at <= first <= notified_at + 0.7 * grace, (seed, down, returns, drains)


def test_a_slow_broker_does_not_time_out_on_answers_that_have_arrived():
    # On a tenth of a core, a turn of the event loop takes as long as the answer timeout. Guards against abandoning a
    # poll whose answer has arrived but is unread. The change arrives at each point of a cycle of wait and answer.
    for hundredth in range(100):
        notified_at = 5.0 + hundredth / 100.0
        agent = SimulatedAgent(changes=[(notified_at, "draining")], turn_delay_s=0.15, answer_turns=4)
        received, watch = run_watch(agent, 10.0)
        assert min(t for t, state in received if state == api.EndpointState.DRAINING) <= notified_at + 9 * 0.15, (
            notified_at
        )
        assert watch.failures == 0


def test_an_answer_in_pieces_is_read_and_an_endless_one_is_abandoned():
    received, watch = run_watch(SimulatedAgent(turn_delay_s=0.05, pieces=30), 8.0)
    assert received
    assert watch.failures == 0
    received, watch = run_watch(SimulatedAgent(turn_delay_s=0.05, pieces=10_000), 60.0)
    assert not received
    assert watch.failures > 3


@pytest.mark.parametrize("grace", [0.25, 0.5, 1.0, 4.0])
def test_a_trickling_answer_delays_no_drain_beyond_its_grace_period(grace):
    # Guards against waiting for a trickling answer for up to three grace periods without polling for later changes.
    for seed in range(100):
        rng = random.Random(seed)
        begin = 2.0 + rng.uniform(0.0, 2.0)
        drains = begin + rng.uniform(0.0, 2 * grace)
        agent = SimulatedAgent(changes=[(begin - 0.001, "up"), (drains, "draining")], trickles=(begin, drains))
        received, _ = run_watch(agent, drains + 8.0, grace, seed=seed)
        assert min(t for t, state in received if state == api.EndpointState.DRAINING) <= drains + grace + 0.05, seed


@pytest.mark.parametrize("grace", [0.25, 2.0])
def test_a_list_polled_on_request_arrives_within_six_seconds_of_being_reachable(grace):
    # This holds whatever happened to the previous poll. Guards against pauses of the aggregator that doubled up to the
    # polling interval, which may be longer than six seconds.
    for seed in range(200):
        rng = random.Random(seed)
        down = 1.0 + rng.uniform(0.0, 3.0)
        returns = down + rng.choice([rng.uniform(0.1, 3.0), rng.uniform(3.0, 60.0)])
        drains = rng.uniform(down, returns + 4.0)
        agent = SimulatedAgent((down, returns), changes=[(drains, "draining")], refuses=rng.random() < 0.5)
        received, watch = run_watch(
            agent, returns + 14.0, grace, polls_on_request=True, seed=seed, with_aggregator=True
        )
        notified_at = agent.received_at(drains) + 6.0
        assert min(t for t, state in received if state == api.EndpointState.DRAINING) <= notified_at, (
            seed,
            down,
            returns,
            drains,
        )


@pytest.mark.parametrize("polls_on_request", [True, False])
def test_a_version_that_goes_backwards_causes_a_request_for_the_complete_list(polls_on_request):
    # A restarted agent counts versions from the beginning. Guards against taking its lower version for no change.
    agent = SimulatedAgent(changes=[(2.0, "up"), (2.5, "up"), (4.0, "draining")])
    replace_attribute(
        agent, "revision", lambda now: 1 + sum(at <= now for at, _ in agent.changes) - (3 if now >= 4.0 else 0)
    )
    received, watch = run_watch(agent, 8.0, polls_on_request=polls_on_request)
    assert min(t for t, state in received if state == api.EndpointState.DRAINING) <= 4.0 + 2.1


def test_only_one_current_poll_is_in_flight():
    agent = SimulatedAgent()
    _, watch = run_watch(agent, 3.0, polls_on_request=True)
    watch.follow(True)
    watch._send_poll()  # the pause after an answer ends in the turn of the aggregator's request
    requests = len(agent.requests)
    agent.clock.run(1000.0 * 1.9)
    assert len(agent.requests) == requests


def test_a_silent_long_poll_is_followed_by_a_request_for_the_complete_list():
    # The broker counts as notified of what a silent watch misses after 6 s, and the aggregator's backoff after a
    # failure may be longer. So the watch polls once more by itself.
    agent = SimulatedAgent((2.0, 4.5), changes=[(2.1, "draining")])
    received, _ = run_watch(agent, 7.0, polls_on_request=True)
    assert min(t for t, state in received if state == api.EndpointState.DRAINING) <= 2.0 + 6.0
    agent = SimulatedAgent((2.0, 30.0))
    received, _ = run_watch(agent, 10.0, polls_on_request=True)
    assert [state for _, state in received][-1] == "failed"  # from here on the aggregator requests the polls
    assert max(t for t, _ in agent.requests) < 7.0


def test_a_poll_that_waited_is_followed_at_once_and_frequent_changes_are_spaced_out():
    # Guards against a pause of 20 ms between two polls: changes that the agent received in it, just before it stopped
    # answering, never reached the broker.
    agent = SimulatedAgent()
    run_watch(agent, 3.0)
    times = [at for at, head in agent.requests if b"since=" in head]
    assert all(0.174 < b - a < 0.18 for a, b in zip(times[1:], times[2:], strict=False))
    assert len(times) > 9
    agent = SimulatedAgent(changes=[(2.0 + i / 1000.0, "draining") for i in range(500)])
    run_watch(agent, 3.0)
    during = [at for at, _ in agent.requests if 2.05 < at < 2.45]
    assert len(during) <= 21


@pytest.mark.parametrize("turns", range(6))
def test_a_received_list_is_published_completely_when_the_target_changes(turns):
    # Guards against dropping the remaining slices together with the poll: the old agent's changes were then ignored
    # while the new agent was silent.
    agent, replies, received = SimulatedAgent(), [], []
    replace_attribute(agent, "request", lambda head, on_reply: replies.append(on_reply) or Timer())
    directory = Directory(4, row_parser(names.MEMBERS, ("a",), ("m",)), shared_clock=True)
    watch = Watch(
        MembersTarget(names.MEMBERS, ("127.0.0.1", 1), False, 0.5),
        directory,
        agent,
        lambda: agent.clock.now,
        agent.time,
        lambda on_update: received.extend(on_update.endpoints),
        lambda kind, detail: None,
        1,
        "test",
    )
    watch.pool = agent
    replace_attribute(watch, "_pool", lambda: agent)

    def answer_poll(state):
        rows = [ROW | {"uid": f"s-{i}", "state": state} for i in range(350)]
        body = msgspec.json.encode({"rev": len(replies), "all": True, "targets": rows})
        replies[-1](Reply(CallResult.ANSWER, 200, {}, body))

    watch.follow(True)
    answer_poll("up")
    agent.clock.run(1000.0)
    received.clear()
    answer_poll("draining")
    requests = len(replies)
    for _ in range(turns):
        watch._next_list_step()
    watch.switch_target(MembersTarget(names.MEMBERS, ("127.0.0.1", 2), False, 0.5))
    assert {line.node for line in received if line.state is api.EndpointState.DRAINING} == set(range(1, 351))
    assert watch.version is None
    assert directory.published
    agent.clock.run(50.0)
    assert len(replies) == requests + 1  # the new target is polled once
