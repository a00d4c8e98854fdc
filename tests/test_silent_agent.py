"""The watch on the platform's agent in a time of the test's own: what it does while discovery is silent."""

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
from badgerbend.net.client import CallResult, Reply
from badgerbend.platform import names
from tests.clock import Clock
from tests.conftest import SETTINGS
from tests.replacing import replace_attribute


class Fallen:
    """An agent in a time of the test's own, behind the watch's pool: silent for spans of it, at once otherwise. What it
    was asked while it was silent, or what waited when that began, it never answers.

    news: when (seconds) and what state the one server has from then on; those of a silent time it has from its end.
    drips: from when to when its answers never end. refuses: connections while it is silent.
    late: what each turn of the broker's loop comes too late, in seconds; a connection, a question and its answer take
    `steps` of them. drops: an answer comes in so many pieces, one a turn.
    """

    def __init__(self, *spans, news=(), late=0.0, steps=1, drops=1, drips=None, refuses=False):
        self.clock, self.spans, self.news = Clock(), spans, sorted(news)
        self.late, self.steps, self.drops = late, steps, drops
        self.drips, self.refuses = drips, refuses
        self.asked = []

    # the watch's clock
    def time(self):
        return self.clock.now / 1000.0

    def call_later(self, delay, what):
        timer = Timer()
        self.clock.at(self.clock.now + (delay + self.late) * 1000.0, lambda: None if timer.off else what())
        return timer

    # its pool
    def request(self, head, on_reply):
        call, now, since = Timer(), self.time(), None
        self.asked.append((now, head))
        waits = 0.0
        if b"since=" in head:
            since, waits = int(head.split(b"since=")[1].split(b"&")[0]), self.waits_of(head)
        rev_then = self.rev(now)
        if since is not None and since < rev_then:
            waits = 0.0
        else:
            waits = min([waits, *(self.known_at(at) - now for at, _ in self.news if self.known_at(at) > now)])
        if any(a <= now <= b for a, b in self.spans) and self.refuses:
            self.later(call, now + 0.001, 1, Reply(CallResult.CONNECT_FAILED, 0, {}, b""), on_reply)
            return call
        if any(a <= now + waits and now <= b for a, b in self.spans):
            return call
        end = now + waits
        state = next((s for at, s in reversed(self.news) if self.known_at(at) <= end), "up")
        whole = since is None
        rows = [ROW | {"state": state}] if whole or since < self.rev(end) else []
        body = msgspec.json.encode({"rev": self.rev(end), "all": whole, "targets": rows})
        if self.drips and self.drips[0] <= end < self.drips[1]:  # a byte every 10 ms, for ever
            self.later(call, end, 1_000_000, None, on_reply, 0.01)
            return call
        self.later(
            call, end + 0.001 + self.late * self.steps, self.drops, Reply(CallResult.ANSWER, 200, {}, body), on_reply
        )
        return call

    def later(self, call, when, drops, reply, on_reply, every=0.0):
        def piece():
            if call.off:
                return
            call.received += 1
            if drops > 1:
                self.later(call, self.time() + max(self.late, every), drops - 1, reply, on_reply, every)
            else:
                on_reply(reply)

        self.clock.at(when * 1000.0, piece)

    def waits_of(self, head):
        return int(head.split(b"timeout_ms=")[1].split()[0]) / 1000.0

    def known_at(self, at):
        return next((b for a, b in self.spans if a <= at <= b), at)

    def rev(self, now):
        return 1 + sum(self.known_at(at) <= now for at, _ in self.news)

    def close(self): ...


class Timer:
    off = False
    received = 0

    def cancel(self):
        self.off = True

    abort = cancel


ROW = {"uid": "s-1", "endpoint": "127.0.0.1:9", "az": "a", "model": "m", "pod_group": 0, "state": "up"}


def play(agent, seconds, grace_s=0.5, asks=False, seed=1, module=False):
    """Times and states of the one server as the module hears them. module: it says when to ask."""
    directory = Directory(4, row_parser(names.MEMBERS, ("a",), ("m",)), shared_clock=True)
    heard = []

    def view(news):
        if news.kind is api.UpdateKind.FAILED:
            heard.append((agent.time(), "failed"))
        heard.extend((agent.time(), line.state) for line in news.endpoints)
        if module:
            agent.clock.at(agent.clock.now, lambda: step(news))

    decides = Aggregator(
        replace(SETTINGS, polls_endpoint_list=True, max_notification_delay_ms=members.TOLD_S * 1000.0), seed
    )

    def step(*events):
        for action in decides.step(agent.clock.now, list(events)):
            match action:
                case api.FollowEndpointList(on):
                    watch.follow(on)
                case api.SetTimer(after, token):
                    agent.clock.at(agent.clock.now + after, lambda: step(api.TimerFired(token)))

    watch = Watch(
        MembersTarget(names.MEMBERS, ("127.0.0.1", 1), asks, grace_s),
        directory,
        agent,
        lambda: agent.clock.now,
        agent.time,
        view,
        lambda what, why: None,
        seed,
        "test",
    )
    watch.pool = agent
    if module:
        step()
    else:
        watch.follow(True)
    agent.clock.run(1000.0 * seconds)
    return heard, watch


@pytest.mark.parametrize("grace", [0.25, 0.5, 1.0])
def test_what_the_agent_has_at_its_return_is_heard_within_the_grace_of_a_drain(grace):
    # Calls waited for 5 s. One that waited when discovery went down is never answered, and was given up only when its
    # wait was over: what an agent had been told at the return, 2 s later, was not kept for three seconds more.
    for seed in range(300):
        rng = random.Random(seed)
        down = 1.0 + rng.uniform(1.0, 8.0)
        back = down + rng.choice([rng.uniform(0.05, 0.5), rng.uniform(0.5, 8.0)])
        drains = rng.uniform(down, back + 6.0)
        agent = Fallen((down, back), news=[(drains, "draining")])
        heard, _ = play(agent, 20.0, grace, seed=seed)
        told = agent.known_at(drains)
        first = min(t for t, state in heard if state == api.EndpointState.DRAINING)
        assert told <= first <= told + 0.7 * grace, (seed, down, back, drains)


def test_a_slow_broker_does_not_give_up_the_same_question_for_ever():
    # A turn of the loop that takes as long as the patience, as on a tenth of a core: the answer lies there, unread.
    # The news come at every point of a cycle of a wait and the turns of an answer.
    for hundredth in range(100):
        told = 5.0 + hundredth / 100.0
        agent = Fallen(news=[(told, "draining")], late=0.15, steps=4)
        heard, watch = play(agent, 10.0)
        assert min(t for t, state in heard if state == api.EndpointState.DRAINING) <= told + 9 * 0.15, told
        assert watch.failures == 0


def test_an_answer_in_pieces_is_waited_for_and_one_that_drops_for_ever_is_not():
    heard, watch = play(Fallen(late=0.05, drops=30), 8.0)
    assert heard
    assert watch.failures == 0
    heard, watch = play(Fallen(late=0.05, drops=10_000), 60.0)
    assert not heard
    assert watch.failures > 3


@pytest.mark.parametrize("grace", [0.25, 0.5, 1.0, 4.0])
def test_an_answer_in_drops_keeps_no_drain_beyond_its_grace(grace):
    # It was waited for while bytes came, up to three times the grace: what the agent had since was not asked for.
    for seed in range(100):
        rng = random.Random(seed)
        begin = 2.0 + rng.uniform(0.0, 2.0)
        drains = begin + rng.uniform(0.0, 2 * grace)
        agent = Fallen(news=[(begin - 0.001, "up"), (drains, "draining")], drips=(begin, drains))
        heard, _ = play(agent, drains + 8.0, grace, seed=seed)
        assert min(t for t, state in heard if state == api.EndpointState.DRAINING) <= drains + grace + 0.05, seed


@pytest.mark.parametrize("grace", [0.25, 2.0])
def test_a_list_that_is_asked_for_is_obeyed_six_seconds_after_it_could_be_reached(grace):
    # Whatever became of the call before: the module's pauses doubled up to the time to ask in, which may be longer.
    for seed in range(200):
        rng = random.Random(seed)
        down = 1.0 + rng.uniform(0.0, 3.0)
        back = down + rng.choice([rng.uniform(0.1, 3.0), rng.uniform(3.0, 60.0)])
        drains = rng.uniform(down, back + 4.0)
        agent = Fallen((down, back), news=[(drains, "draining")], refuses=rng.random() < 0.5)
        heard, watch = play(agent, back + 14.0, grace, asks=True, seed=seed, module=True)
        told = agent.known_at(drains) + 6.0
        assert min(t for t, state in heard if state == api.EndpointState.DRAINING) <= told, (seed, down, back, drains)


@pytest.mark.parametrize("asks", [True, False])
def test_a_version_that_goes_back_has_the_whole_list_asked_for(asks):
    # An agent that starts anew counts from the beginning: what it has was taken for nothing new.
    agent = Fallen(news=[(2.0, "up"), (2.5, "up"), (4.0, "draining")])
    replace_attribute(agent, "rev", lambda now: 1 + sum(at <= now for at, _ in agent.news) - (3 if now >= 4.0 else 0))
    heard, watch = play(agent, 8.0, asks=asks)
    assert min(t for t, state in heard if state == api.EndpointState.DRAINING) <= 4.0 + 2.1


def test_two_questions_are_never_out_at_once():
    agent = Fallen()
    _, watch = play(agent, 3.0, asks=True)
    watch.follow(True)
    watch._ask()  # the pause after an answer, and the module's word, in one turn
    asked = len(agent.asked)
    agent.clock.run(1000.0 * 1.9)
    assert len(agent.asked) == asked


def test_a_list_that_is_asked_for_is_asked_anew_once_its_watch_falls_silent():
    # What a silent watch misses counts as told after 6 s; the module's own wait after a failure may be longer.
    agent = Fallen((2.0, 4.5), news=[(2.1, "draining")])
    heard, _ = play(agent, 7.0, asks=True)
    assert min(t for t, state in heard if state == api.EndpointState.DRAINING) <= 2.0 + 6.0
    agent = Fallen((2.0, 30.0))
    heard, _ = play(agent, 10.0, asks=True)
    assert [state for _, state in heard][-1] == "failed"  # the module asks from here on
    assert max(t for t, _ in agent.asked) < 7.0


def test_after_a_call_that_waited_the_next_goes_out_at_once_and_news_without_end_are_spaced_out():
    # Twenty milliseconds between two calls: what the agent heard in them, before it fell silent, went unheard.
    agent = Fallen()
    play(agent, 3.0)
    times = [at for at, head in agent.asked if b"since=" in head]
    assert all(0.174 < b - a < 0.18 for a, b in zip(times[1:], times[2:], strict=False))
    assert len(times) > 9
    agent = Fallen(news=[(2.0 + i / 1000.0, "draining") for i in range(500)])
    play(agent, 3.0)
    during = [at for at, _ in agent.asked if 2.05 < at < 2.45]
    assert len(during) <= 21


@pytest.mark.parametrize("turns", range(6))
def test_a_list_that_came_whole_is_told_to_its_end_when_discovery_moves(turns):
    # Its slices were dropped with the call: what the old agent had told was never obeyed while the new one was silent.
    agent, replies, heard = Fallen(), [], []
    replace_attribute(agent, "request", lambda head, on_reply: replies.append(on_reply) or Timer())
    directory = Directory(4, row_parser(names.MEMBERS, ("a",), ("m",)), shared_clock=True)
    watch = Watch(
        MembersTarget(names.MEMBERS, ("127.0.0.1", 1), False, 0.5),
        directory,
        agent,
        lambda: agent.clock.now,
        agent.time,
        lambda view: heard.extend(view.endpoints),
        lambda what, why: None,
        1,
        "test",
    )
    watch.pool = agent
    replace_attribute(watch, "_pool", lambda: agent)

    def tell(state):
        rows = [ROW | {"uid": f"s-{i}", "state": state} for i in range(350)]
        body = msgspec.json.encode({"rev": len(replies), "all": True, "targets": rows})
        replies[-1](Reply(CallResult.ANSWER, 200, {}, body))

    watch.follow(True)
    tell("up")
    agent.clock.run(1000.0)
    heard.clear()
    tell("draining")
    asked = len(replies)
    for _ in range(turns):
        watch._more()
    watch.move(MembersTarget(names.MEMBERS, ("127.0.0.1", 2), False, 0.5))
    assert {line.node for line in heard if line.state is api.EndpointState.DRAINING} == set(range(1, 351))
    assert watch.index is None
    assert directory.told
    agent.clock.run(50.0)
    assert len(replies) == asked + 1  # the new one is asked, once
