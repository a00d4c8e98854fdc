"""A list of servers told as changes of rows by name: slices, drains that win, removals that cost what they change."""

from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend import api
from badgerbend.discovery.directory import SLICE, ListError, ListReader
from badgerbend.discovery.keyed import KeyedList, keyed_directory
from badgerbend.publication_validation.changes import validate_change
from tests.feed_harness import change

READY, DRAINING, GONE = api.EndpointState.READY, api.EndpointState.DRAINING, api.EndpointState.REMOVED
CELLS = 12


class Timer:
    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        self.callback = None


class Turns:
    """A clock whose next turn comes when the test says so."""

    def __init__(self):
        self.now, self.due = 0.0, []

    def time(self):
        return self.now

    def call_later(self, delay, callback):
        assert delay == 0.0
        self.due.append(Timer(callback))
        return self.due[-1]

    def turn(self):
        self.now += 1.0
        due, self.due = self.due, []
        for timer in due:
            if timer.callback is not None:
                timer.callback()

    def run(self):
        turns = 0
        while self.due:
            self.turn()
            turns += 1
        return turns


def row(number, **fields):
    return msgspec.json.encode({"address": f"h{number}:80", "cell": number % CELLS, **fields})


class Told:
    """A keyed list, and what a module that hears all its views holds."""

    def __init__(self):
        self.turns, self.views, self.troubles, self.taken = Turns(), [], [], 0
        self.directory = keyed_directory(CELLS)
        self.list = KeyedList(
            self.directory, self.turns, lambda: 1000.0, lambda: 0.0, self.hear, lambda *what: self.troubles.append(what)
        )
        self.list.on_applied = self.count
        self.states, self.ever_ready = {}, set()

    def count(self):
        self.taken += 1

    def hear(self, view):
        self.views.append(view)
        if view.kind == api.UpdateKind.FULL:
            self.states = {}
        for line in view.endpoints:
            self.states[line.node] = line.state
            if line.state == READY:
                self.ever_ready.add(line.node)

    def holds(self, name):
        known = self.directory.servers.get(name)
        return None if known is None else self.states[known.endpoint.node]


def listed(count, **fields):
    told = Told()
    told.list.change({f"s{i}": row(i, **fields) for i in range(count)})
    return told


def test_a_first_list_is_read_in_slices_and_told_whole_once_all_of_it_is_read():
    told = listed(1000)
    told.turns.turn()
    assert not told.views
    assert not told.directory.servers
    assert told.list.refreshed_at is None
    assert 1000 / SLICE <= told.turns.run() <= 1000 / SLICE + 1
    (view,) = told.views
    assert view.kind == api.UpdateKind.FULL
    assert len(view.endpoints) == len(told.directory.servers) == 1000
    assert told.taken == 1
    assert told.list.refreshed_at is not None


@pytest.mark.parametrize("turns_before", [0, 1, 5, 9])
def test_a_drain_that_comes_while_a_snapshot_of_earlier_content_is_read_wins(turns_before):
    told = listed(1000)
    for _ in range(turns_before):
        told.turns.turn()
    told.list.change({"s7": row(7, state="draining"), "s900": row(900, state="draining"), "s3": None})
    told.turns.run()
    assert told.holds("s7") == told.holds("s900") == DRAINING
    assert "s3" not in told.directory.servers
    never = {told.directory.servers[name].endpoint.node for name in ("s7", "s900")}
    assert not never & told.ever_ready
    assert len(told.directory.servers) == 999


def test_a_drain_wins_over_a_long_change_that_came_before_it():
    told = listed(1000)
    told.turns.run()
    told.list.change({f"s{i}": row(i, started=5.0) for i in range(1000)})
    told.list.change({"s1": row(1, state="draining", started=5.0)})
    told.turns.turn()
    assert told.holds("s1") == DRAINING  # with the first slice, though it came last
    told.turns.run()
    assert told.holds("s1") == DRAINING
    assert Counter(told.states.values()) == Counter({READY: 999, DRAINING: 1})


def test_changes_cost_what_they_change():
    told = listed(1000)
    told.turns.run()
    told.views.clear()
    told.list.change({"s5": None, "s6": row(6, state="draining"), "new": row(1)})
    assert told.turns.run() == 2  # rows, then names that left
    lines = [line for view in told.views for line in view.endpoints]
    assert all(view.kind == api.UpdateKind.DELTA for view in told.views)
    assert sorted(line.state for line in lines) == [GONE, READY, DRAINING]
    assert "s5" not in told.directory.servers
    assert len(told.directory.addresses) == len(told.directory.names) == 1000


def test_removals_that_would_leave_no_server_wait_for_others():
    told = listed(3)
    told.turns.run()
    told.list.change({f"s{i}": None for i in range(3)})
    told.turns.run()
    assert len(told.directory.servers) == 3
    assert told.troubles[-1][0] == "list not read"
    told.list.change({"other": row(1)})
    told.turns.run()
    assert list(told.directory.servers) == ["other"]
    assert list(told.states.values()).count(READY) == 1


def test_an_empty_first_list_is_no_news():
    told = Told()
    told.list.change({})
    assert not told.turns.due
    told.list.change({"s1": None, "bad": b"{"})
    told.turns.run()
    assert not told.views
    assert told.list.refreshed_at is None
    told.list.change({"s1": row(1)})
    told.turns.run()
    assert told.holds("s1") == READY


def test_a_row_that_cannot_be_read_takes_no_server_in_and_leaves_none_in_service():
    told = listed(3)
    told.turns.run()
    told.list.change({"s0": b'{"state": "leaving soon"}', "s1": b"{", "s2": row(2, cell=CELLS), "s9": b'{"cell": 1}'})
    told.turns.run()
    assert [told.holds(f"s{i}") for i in range(3)] == [DRAINING, READY, READY]
    assert "s9" not in told.directory.servers
    assert sum(what == "list line left out" for what, _ in told.troubles) == 4


def test_names_that_left_are_news_of_a_reading_of_changes():
    told = listed(2)
    told.turns.run()
    node = told.directory.servers["s1"].endpoint.node
    reading = ListReader(told.directory, (), 1.0, 1.0, whole=False, left=["s1", "never"])
    reading.apply()
    (view,) = reading.updates()
    assert [(line.node, line.state) for line in view.endpoints] == [(node, GONE)]
    assert node not in told.directory.addresses
    assert node not in told.directory.names
    with pytest.raises(ListError):
        ListReader(told.directory, (), 1.0, 1.0).apply()  # a whole list without rows stays an error


def test_after_closing_nothing_is_taken():
    told = listed(3)
    told.list.close()
    told.turns.run()
    assert not told.views


NAMES = st.sampled_from([f"s{i}" for i in range(6)])
ROWS = st.none() | st.builds(
    lambda number, state: row(number, state=state), st.integers(0, 11), st.sampled_from(["ready", "draining", "gone"])
)
STEPS = st.lists(st.dictionaries(NAMES, ROWS, max_size=4) | st.just("turn"), max_size=20)


@given(STEPS)
def test_in_the_end_the_last_row_of_each_name_is_in_force(steps):
    told, last = listed(0), {"kept": row(1)}
    told.list.change(last)
    for step in steps:
        if step == "turn":
            told.turns.turn()
        else:
            told.list.change(step)
            last |= step
    told.turns.run()
    expected = {}
    for name, value in last.items():
        state = value and msgspec.json.decode(value).get("state", "ready")
        if value and state != "gone":
            expected[name] = READY if state == "ready" else DRAINING
    assert {name: told.holds(name) for name in told.directory.servers} == expected
    held = {known.endpoint.node for known in told.directory.servers.values()}
    assert {node for node, state in told.states.items() if state != GONE} == held


def test_the_publishers_check_judges_rows_and_configurations():
    assert validate_change(change("node/a", row(1).decode())) == validate_change(change("node/a", None)) == ""
    assert "cell" in validate_change(change("node/a", '{"address": "h:1"}'))
    assert "HOST:PORT" in validate_change(change("node/a", '{"address": "h", "cell": 1}'))
    assert "Expected `int`" in validate_change(change("node/a", '{"address": "h:1", "cell": "one"}'))
    assert validate_change(change("node/", row(1).decode())) == "node/: a server needs a name"
    assert validate_change(change("node/a", "[")).startswith("node/a: ")
    assert validate_change(change("configuration/b", "(broker")).startswith("configuration/b:1:8: ")
