"""What is told is obeyed: the whole service in simulated time, judged from what the agent had and the bytes sent.

More seeds: `python benchmarks/told.py --count 2000`.
"""

import pytest

from badgerbend.discovery import directory, members, polls
from badgerbend.platform.service import Service
from tests.simplatform import World


@pytest.mark.parametrize("seed", range(24))
def test_nothing_is_sent_beyond_the_grace_and_every_query_ends_once(seed):
    world = World(seed)
    assert world.play() == []
    assert world.sends
    assert world.ended == world.asked


def test_a_long_list_read_in_slices_by_a_slow_broker_is_obeyed_too():
    world = World(5, rows=1024)
    assert world.play() == []
    assert len(world.service.directory.servers) > 900


def listens_first(monkeypatch):
    made = Service.__init__

    def init(self, config):
        made(self, config)
        self.first_word.set()

    monkeypatch.setattr(Service, "__init__", init)


def aborts_what_is_late(monkeypatch):
    def add(self, poll, now):
        poll.abort()

    monkeypatch.setattr(polls.OverduePolls, "add", add)


DEFECTS = {
    "it listens before the agent had its chance": (listens_first, 21),
    "a call waits for longer than a grace": (lambda m: m.setattr(members, "WAIT", 10.0), 5),
    "a silent call is given up late": (lambda m: m.setattr(members, "AT_ONCE", 10.0), 0),
    "it asks again late": (lambda m: m.setattr(members, "AGAIN", 5.0), 37),
    "a poll is aborted as the next one is sent": (aborts_what_is_late, 5),
    "a row without all its fields is left out": (
        lambda m: m.setattr(directory.ListReader, "_leaving", lambda self, raw: None),
        17,
    ),
}


@pytest.mark.parametrize("defect", DEFECTS)
def test_each_defect_is_found(defect, monkeypatch):
    make, seed = DEFECTS[defect]
    make(monkeypatch)
    assert World(seed).play()
