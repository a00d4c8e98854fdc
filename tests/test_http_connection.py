"""The connection of the HTTP server without I/O: states, order and times, and defects that must be detected."""

import itertools

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from badgerbend.net.connection_states import ALLOWED, TRANSITIONS, Event, State, TransitionError
from badgerbend.net.http_connection import HttpConnection
from badgerbend.net.request_parser import Rejection
from badgerbend.net.server_limits import ServerLimits
from tests.connection_machine import ConnectionMachine

TestEveryInterleaving = ConnectionMachine.TestCase
TestEveryInterleaving.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)


class ServesTheLatestAtOnce(HttpConnection):
    """A request parsed while none is served overtakes those that wait (review/1)."""

    def _add(self, request, received_at):
        super()._add(request, received_at)
        if ALLOWED[self.state].begin:
            self.waiting.insert(0, self.waiting.pop())


class RenewsTimesOfReceipt(HttpConnection):
    """What waits unparsed counts as received with each later byte (review/2)."""

    def receive(self, data, received_at, earliest_at):
        for arrival in self.unparsed._arrivals:
            arrival.received_at = received_at
        super().receive(data, received_at, earliest_at)


class TakesTheTimeOfTheLastByte(HttpConnection):
    """What is read together counts as received when the last of it was."""

    def receive(self, data, received_at, earliest_at):
        super().receive(data, received_at, received_at)


class BeginsWhileOutputIsUnsent(HttpConnection):
    def output_blocked(self): ...

    def output_sent(self): ...

    def next_request(self):
        state, self.state = self.state, State.READY
        request = super().next_request()
        if request is None:
            self.state = state
        return request


class ExpiresOnlyTheFirst(HttpConnection):
    """Refuses a request whose time is over only once it is the first that waits."""

    def refuse_expired(self, now):
        return bool(self.waiting) and self.waiting[0].answer_by <= now and super().refuse_expired(now)


class ForgetsRefusals(HttpConnection):
    """Drops refused requests without a response."""

    def refuse_expired(self, now):
        found = super().refuse_expired(now)
        for request in [request for request in self.waiting if request.refusal is not None]:
            self.waiting.remove(request)
        return found


class ServesAfterTheLast(HttpConnection):
    """Serves requests behind the one with which the client announced the end."""

    def _add(self, request, received_at):
        request.keep_alive = True
        super()._add(request, received_at)


class SendsABodyToHead(HttpConnection):
    def respond(self, *response):
        self.serving.method = b"GET"
        return super().respond(*response)


class RejectsBeforeEarlierResponses(HttpConnection):
    def output_without_handler(self, ends_idle):
        if self.rejection is not None:
            self.waiting.clear()
        return super().output_without_handler(ends_idle)


DEFECTS = (
    ServesTheLatestAtOnce,
    RenewsTimesOfReceipt,
    TakesTheTimeOfTheLastByte,
    BeginsWhileOutputIsUnsent,
    ExpiresOnlyTheFirst,
    ForgetsRefusals,
    ServesAfterTheLast,
    SendsABodyToHead,
    RejectsBeforeEarlierResponses,
)


@pytest.mark.parametrize("defect", DEFECTS)
def test_each_defect_is_detected(defect):
    machine = type(defect.__name__, (ConnectionMachine,), {"subject": defect})
    search = settings(max_examples=1000, stateful_step_count=60, deadline=None, phases=(Phase.generate,))
    with pytest.raises(AssertionError):
        run_state_machine_as_test(machine, settings=search)


def test_the_table_of_states_is_complete_and_consistent():
    assert set(ALLOWED) == set(State)
    for state, event in itertools.product(State, Event):
        if (state, event) not in TRANSITIONS:
            with pytest.raises(TransitionError, match=f"{event.name} is not allowed in state {state.name}"):
                TRANSITIONS[state, event]
    for state, allowed in ALLOWED.items():
        assert ((state, Event.REQUEST_BEGUN) in TRANSITIONS) == allowed.begin
        assert ((state, Event.RESPONSE_GIVEN) in TRANSITIONS) == allowed.respond
        assert ((state, Event.CONNECTION_LOST) in TRANSITIONS) == (state is not State.CLOSED)
    assert all(TRANSITIONS[pair] in State for pair in TRANSITIONS)


def test_the_first_rejection_counts():
    connection = HttpConnection(ServerLimits(), lambda request: 0.0)
    connection.reject(Rejection(408, b"late"))
    connection.reject(Rejection(400, b"malformed"))
    assert b" 408 " in connection.output_without_handler(False)
    assert connection.output_without_handler(False) == b""
