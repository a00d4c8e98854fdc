"""Drains and removals are obeyed within the grace period: the complete service in simulated time, checked from outside.

More seeds: `python benchmarks/told.py --count 2000`.
"""

import pytest

from badgerbend.discovery import directory, members, polls
from badgerbend.platform.service import Service
from tests.simplatform import SimulatedPlatform


@pytest.mark.parametrize("seed", range(24))
def test_nothing_is_sent_after_the_drain_grace_period_and_every_query_ends_once(seed):
    platform = SimulatedPlatform(seed)
    assert platform.run() == []
    assert platform.parts_sent
    assert platform.queries_ended == platform.queries_sent


def test_drains_in_a_long_list_are_obeyed_by_a_slow_broker():
    platform = SimulatedPlatform(5, rows=1024)
    assert platform.run() == []
    assert len(platform.service.directory.servers) > 900


def listen_before_first_list(monkeypatch):
    original_init = Service.__init__

    def init(self, config):
        original_init(self, config)
        self.first_list.set()

    monkeypatch.setattr(Service, "__init__", init)


def abort_overdue_polls(monkeypatch):
    def add(self, poll, now):
        poll.abort()

    monkeypatch.setattr(polls.OverduePolls, "add", add)


DEFECTS = {
    "the broker listens before the agent could answer": (listen_before_first_list, 21),
    "a poll waits for longer than the grace period": (lambda m: m.setattr(members, "WAIT_FRACTION", 10.0), 5),
    "a silent poll is abandoned late": (lambda m: m.setattr(members, "ANSWER_TIMEOUT_FRACTION", 10.0), 52),
    "a failed poll is retried late": (lambda m: m.setattr(members, "RETRY_FRACTION", 5.0), 37),
    "a poll is aborted as the next one is sent": (abort_overdue_polls, 5),
    "a row that lacks fields is ignored": (
        lambda m: m.setattr(directory.ListReader, "_read_departure", lambda self, raw: None),
        40,
    ),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_each_planted_defect_is_found(defect, monkeypatch):
    make, seed = DEFECTS[defect]
    make(monkeypatch)
    assert SimulatedPlatform(seed).run()
