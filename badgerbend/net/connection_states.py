"""The states of an HTTP/1.1 server connection, what each allows, and the events that change them.

A connection serves one request at a time and writes its response before the next request begins. In most states further
requests are parsed meanwhile; they wait for their turn.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, auto


class State(IntEnum):
    """What a connection is doing."""

    READY = auto()  # no request is being served, and all output has been sent
    SERVING = auto()  # a request is being served
    SERVING_BLOCKED = auto()  # as SERVING, while earlier output is unsent
    SENDING = auto()  # no request is being served, and output is unsent
    CLOSING = auto()  # the last response has been given
    CLOSED = auto()  # the connection has been lost


class Event(IntEnum):
    """What changes the state of a connection."""

    REQUEST_BEGUN = auto()
    RESPONSE_GIVEN = auto()
    LAST_RESPONSE_GIVEN = auto()
    OUTPUT_BLOCKED = auto()
    OUTPUT_SENT = auto()
    CONNECTION_LOST = auto()


@dataclass(frozen=True, slots=True)
class Allowed:
    """What a state allows: to parse input, to begin to serve a request, and to give the response of that request."""

    parse: bool
    begin: bool
    respond: bool


ALLOWED = {
    State.READY: Allowed(parse=True, begin=True, respond=False),
    State.SERVING: Allowed(parse=True, begin=False, respond=True),
    State.SERVING_BLOCKED: Allowed(parse=True, begin=False, respond=True),
    State.SENDING: Allowed(parse=True, begin=False, respond=False),
    State.CLOSING: Allowed(parse=False, begin=False, respond=False),
    State.CLOSED: Allowed(parse=False, begin=False, respond=False),
}


class TransitionError(Exception):
    """An event that the state of the connection does not allow. It is a fault of the caller, not of the peer."""

    def __init__(self, state: State, event: Event) -> None:
        super().__init__(f"{event.name} is not allowed in state {state.name}")


class Transitions(dict[tuple[State, Event], State]):
    """The state after an event, by the state before it and the event."""

    def __missing__(self, pair: tuple[State, Event]) -> State:
        raise TransitionError(*pair)


TRANSITIONS = Transitions(
    {
        (State.READY, Event.REQUEST_BEGUN): State.SERVING,
        (State.READY, Event.LAST_RESPONSE_GIVEN): State.CLOSING,  # the rejection of invalid input
        (State.READY, Event.OUTPUT_BLOCKED): State.SENDING,
        (State.READY, Event.CONNECTION_LOST): State.CLOSED,
        (State.SERVING, Event.RESPONSE_GIVEN): State.READY,
        (State.SERVING, Event.LAST_RESPONSE_GIVEN): State.CLOSING,
        (State.SERVING, Event.OUTPUT_BLOCKED): State.SERVING_BLOCKED,
        (State.SERVING, Event.CONNECTION_LOST): State.CLOSED,
        (State.SERVING_BLOCKED, Event.RESPONSE_GIVEN): State.SENDING,
        (State.SERVING_BLOCKED, Event.LAST_RESPONSE_GIVEN): State.CLOSING,
        (State.SERVING_BLOCKED, Event.OUTPUT_BLOCKED): State.SERVING_BLOCKED,
        (State.SERVING_BLOCKED, Event.OUTPUT_SENT): State.SERVING,
        (State.SERVING_BLOCKED, Event.CONNECTION_LOST): State.CLOSED,
        (State.SENDING, Event.OUTPUT_BLOCKED): State.SENDING,
        (State.SENDING, Event.OUTPUT_SENT): State.READY,
        (State.SENDING, Event.CONNECTION_LOST): State.CLOSED,
        (State.CLOSING, Event.OUTPUT_BLOCKED): State.CLOSING,
        (State.CLOSING, Event.OUTPUT_SENT): State.CLOSING,
        (State.CLOSING, Event.CONNECTION_LOST): State.CLOSED,
    }
)
