"""A list of servers that arrives as changes of rows by name: slices, draining servers and removals."""

from collections import Counter

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend import api
from badgerbend.discovery.directory import SLICE_SIZE, ListError, ListReader
from badgerbend.discovery.keyed import KeyedList, keyed_directory
from badgerbend.publication_validation.changes import validate_change
from tests.feed_harness import change

READY, DRAINING, REMOVED = api.EndpointState.READY, api.EndpointState.DRAINING, api.EndpointState.REMOVED
CELLS = 12


class Timer:
    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        self.callback = None


class ManualClock:
    """A clock whose turns are triggered by the test."""

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


class ListUnderTest:
    """A keyed list, and the states of servers that a receiver of all its updates knows."""

    def __init__(self):
        self.clock, self.updates, self.faults, self.applied = ManualClock(), [], [], 0
        self.directory = keyed_directory(CELLS)
        self.list = KeyedList(
            self.directory,
            self.clock,
            lambda: 1000.0,
            lambda: 0.0,
            self.record_update,
            lambda *what: self.faults.append(what),
        )
        self.list.on_applied = self.count_applied
        self.states, self.ever_ready = {}, set()

    def count_applied(self):
        self.applied += 1

    def record_update(self, update):
        self.updates.append(update)
        if update.kind == api.UpdateKind.FULL:
            self.states = {}
        for line in update.endpoints:
            self.states[line.node] = line.state
            if line.state == READY:
                self.ever_ready.add(line.node)

    def published_state(self, name):
        known = self.directory.servers.get(name)
        return None if known is None else self.states[known.endpoint.node]


def subject_with_servers(count, **fields):
    subject = ListUnderTest()
    subject.list.change({f"s{i}": row(i, **fields) for i in range(count)})
    return subject


def test_a_first_list_is_read_in_slices_and_published_as_one_full_update():
    subject = subject_with_servers(1000)
    subject.clock.turn()
    assert not subject.updates
    assert not subject.directory.servers
    assert subject.list.refreshed_at is None
    assert 1000 / SLICE_SIZE <= subject.clock.run() <= 1000 / SLICE_SIZE + 1
    (update,) = subject.updates
    assert update.kind == api.UpdateKind.FULL
    assert len(update.endpoints) == len(subject.directory.servers) == 1000
    assert subject.applied == 1
    assert subject.list.refreshed_at is not None


@pytest.mark.parametrize("turns_before", [0, 1, 5, 9])
def test_a_drain_that_arrives_while_an_older_list_is_read_prevails(turns_before):
    subject = subject_with_servers(1000)
    for _ in range(turns_before):
        subject.clock.turn()
    subject.list.change({"s7": row(7, state="draining"), "s900": row(900, state="draining"), "s3": None})
    subject.clock.run()
    assert subject.published_state("s7") == subject.published_state("s900") == DRAINING
    assert "s3" not in subject.directory.servers
    draining_nodes = {subject.directory.servers[name].endpoint.node for name in ("s7", "s900")}
    assert not draining_nodes & subject.ever_ready
    assert len(subject.directory.servers) == 999


def test_a_drain_is_published_before_a_long_change_that_arrived_earlier():
    subject = subject_with_servers(1000)
    subject.clock.run()
    subject.list.change({f"s{i}": row(i, started=5.0) for i in range(1000)})
    subject.list.change({"s1": row(1, state="draining", started=5.0)})
    subject.clock.turn()
    assert subject.published_state("s1") == DRAINING  # in the first slice, although it arrived last
    subject.clock.run()
    assert subject.published_state("s1") == DRAINING
    assert Counter(subject.states.values()) == Counter({READY: 999, DRAINING: 1})


def test_updates_contain_changed_servers_only():
    subject = subject_with_servers(1000)
    subject.clock.run()
    subject.updates.clear()
    subject.list.change({"s5": None, "s6": row(6, state="draining"), "new": row(1)})
    assert subject.clock.run() == 2  # one for rows, one for removed names
    lines = [line for update in subject.updates for line in update.endpoints]
    assert all(update.kind == api.UpdateKind.DELTA for update in subject.updates)
    assert sorted(line.state for line in lines) == [REMOVED, READY, DRAINING]
    assert "s5" not in subject.directory.servers
    assert len(subject.directory.addresses) == len(subject.directory.names) == 1000


def test_removals_that_would_leave_no_server_are_deferred():
    subject = subject_with_servers(3)
    subject.clock.run()
    subject.list.change({f"s{i}": None for i in range(3)})
    subject.clock.run()
    assert len(subject.directory.servers) == 3
    assert subject.faults[-1][0] == "list not read"
    subject.list.change({"other": row(1)})
    subject.clock.run()
    assert list(subject.directory.servers) == ["other"]
    assert list(subject.states.values()).count(READY) == 1


def test_an_empty_first_list_is_not_published():
    subject = ListUnderTest()
    subject.list.change({})
    assert not subject.clock.due
    subject.list.change({"s1": None, "bad": b"{"})
    subject.clock.run()
    assert not subject.updates
    assert subject.list.refreshed_at is None
    subject.list.change({"s1": row(1)})
    subject.clock.run()
    assert subject.published_state("s1") == READY


def test_an_unreadable_row_adds_no_server_and_keeps_no_departing_server_in_service():
    subject = subject_with_servers(3)
    subject.clock.run()
    subject.list.change(
        {"s0": b'{"state": "leaving soon"}', "s1": b"{", "s2": row(2, cell=CELLS), "s9": b'{"cell": 1}'}
    )
    subject.clock.run()
    assert [subject.published_state(f"s{i}") for i in range(3)] == [DRAINING, READY, READY]
    assert "s9" not in subject.directory.servers
    assert sum(what == "list line left out" for what, _ in subject.faults) == 4


def test_removed_names_are_published_by_a_reader_of_changes():
    subject = subject_with_servers(2)
    subject.clock.run()
    node = subject.directory.servers["s1"].endpoint.node
    reader = ListReader(subject.directory, (), 1.0, 1.0, is_complete=False, removed=["s1", "never"])
    reader.apply()
    (update,) = reader.updates()
    assert [(line.node, line.state) for line in update.endpoints] == [(node, REMOVED)]
    assert node not in subject.directory.addresses
    assert node not in subject.directory.names
    with pytest.raises(ListError):
        ListReader(subject.directory, (), 1.0, 1.0).apply()  # a complete list without rows is an error


def test_nothing_is_applied_after_closing():
    subject = subject_with_servers(3)
    subject.list.close()
    subject.clock.run()
    assert not subject.updates


NAMES = st.sampled_from([f"s{i}" for i in range(6)])
ROWS = st.none() | st.builds(
    lambda number, state: row(number, state=state), st.integers(0, 11), st.sampled_from(["ready", "draining", "gone"])
)
STEPS = st.lists(st.dictionaries(NAMES, ROWS, max_size=4) | st.just("turn"), max_size=20)


@given(STEPS)
def test_the_last_row_of_each_name_prevails(steps):
    subject, last = subject_with_servers(0), {"kept": row(1)}
    subject.list.change(last)
    for step in steps:
        if step == "turn":
            subject.clock.turn()
        else:
            subject.list.change(step)
            last |= step
    subject.clock.run()
    expected = {}
    for name, value in last.items():
        state = value and msgspec.json.decode(value).get("state", "ready")
        if value and state != "gone":
            expected[name] = READY if state == "ready" else DRAINING
    assert {name: subject.published_state(name) for name in subject.directory.servers} == expected
    known_nodes = {known.endpoint.node for known in subject.directory.servers.values()}
    assert {node for node, state in subject.states.items() if state != REMOVED} == known_nodes


def test_the_publisher_validates_rows_and_configurations():
    assert validate_change(change("node/a", row(1).decode())) == validate_change(change("node/a", None)) == ""
    assert "cell" in validate_change(change("node/a", '{"address": "h:1"}'))
    assert "HOST:PORT" in validate_change(change("node/a", '{"address": "h", "cell": 1}'))
    assert "Expected `int`" in validate_change(change("node/a", '{"address": "h:1", "cell": "one"}'))
    assert validate_change(change("node/", row(1).decode())) == "node/: a server needs a name"
    assert validate_change(change("node/a", "[")).startswith("node/a: ")
    assert validate_change(change("configuration/b", "(broker")).startswith("configuration/b:1:8: ")
