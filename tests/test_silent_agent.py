"""The watch on the platform's agent in a time of the test's own: what it does while discovery is silent."""

import msgspec
import pytest

from badgerbend.discovery.directory import Directory
from badgerbend.discovery.members import MembersTarget, form
from badgerbend.discovery.watch import Watch
from badgerbend.net.client import End, Reply
from badgerbend.platform import names
from tests.clock import Clock


class Fallen:
    """An agent in a time of the test's own, behind the watch's pool: silent for spans of it, at once otherwise. What it
    was asked while it was silent, or what waited when that began, it never answers."""

    def __init__(self, *spans):
        self.clock, self.spans, self.lists = Clock(), spans, 0

    # the watch's clock
    def time(self):
        return self.clock.now / 1000.0

    def call_later(self, delay, what):
        timer = Timer()
        self.clock.at(self.clock.now + delay * 1000.0, lambda: None if timer.off else what())
        return timer

    # its pool
    def request(self, head, on_reply):
        call, now = Timer(), self.time()
        waits = 5.0 if b"since=" in head else 0.0
        if not any(a <= now + waits and now <= b for a, b in self.spans):
            rows = {"rev": 1, "all": not waits, "targets": [ROW] if not waits else []}
            reply = Reply(End.ANSWER, 200, {}, msgspec.json.encode(rows))
            self.clock.at(self.clock.now + waits * 1000.0 + 1.0, lambda: None if call.off else on_reply(reply))
        return call

    def close(self): ...


class Timer:
    off = False

    def cancel(self):
        self.off = True

    abort = cancel


ROW = {"uid": "s-1", "endpoint": "127.0.0.1:9", "az": "a", "model": "m", "pod_group": 0, "state": "up"}


@pytest.mark.parametrize("back", [3.0, 3.07, 3.19, 9.9, 14.33, 14.5])
def test_an_agent_that_was_silent_is_heard_within_the_grace_of_a_drain(back):
    # The first question after a watch fell silent was given as long as the longest wait, 7 s, and the agent never
    # answers what it was asked while discovery was down: drains that it knew of were not kept for all that time.
    agent = Fallen((2.0, back))
    directory = Directory(4, form(names.MEMBERS, ("a",), ("m",)), one_clock=True)
    heard = []
    watch = Watch(
        MembersTarget(names.MEMBERS, ("127.0.0.1", 1)), directory, agent, lambda: agent.clock.now, agent.time,
        lambda view: heard.append(agent.time()), lambda what, why: None, 1, "test",
    )  # fmt: skip
    watch.pool = agent
    watch.start()
    agent.clock.run(1000.0 * (back + 7.0))
    first = min(t for t in heard if t >= back or t > 6.0)
    # what a broken watch missed counts as told 2 s after its wait was over, and what the agent has at once
    assert first <= max(back, 1.0 + 0.02 + 5.0 + 2.0) + 0.5 * 0.9
