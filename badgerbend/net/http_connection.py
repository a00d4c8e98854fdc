"""One HTTP/1.1 connection as its server sees it, without I/O: bytes and responses go in, requests and bytes come out.

Requests are served in the order of their receipt, one at a time; `connection_states` tells when the next may begin.
Some requests are parsed ahead while one is served, the rest of the input waits unparsed. Invalid input is rejected
after the responses to earlier requests.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from itertools import islice

from badgerbend.net.connection_states import ALLOWED, TRANSITIONS, Event, State
from badgerbend.net.request_parser import Rejection, Request, RequestParser
from badgerbend.net.responses import CONTINUE, Headers, encode_response
from badgerbend.net.server_limits import ServerLimits
from badgerbend.net.unparsed_input import UnparsedInput

MAX_PARSED_AHEAD = 64  # requests; further input stays unparsed
MAX_PARSE_WORK = 500  # in one call, in the units of the parser; a fraction of a millisecond
PARSE_CHUNK_BYTES = 2048  # parsed at a time: a few requests
OUT_OF_MEMORY = Rejection(503, b"too much input is held")
UNREAD_INPUT = Rejection(503, b"too much input is unread")
OUT_OF_TIME = Rejection(503, b"no time is left")

# Members of an enumeration are slow to look up in its class.
READY = State.READY
REQUEST_BEGUN, RESPONSE_GIVEN, LAST_RESPONSE_GIVEN = (
    Event.REQUEST_BEGUN,
    Event.RESPONSE_GIVEN,
    Event.LAST_RESPONSE_GIVEN,
)
OUTPUT_BLOCKED, OUTPUT_SENT, CONNECTION_LOST = Event.OUTPUT_BLOCKED, Event.OUTPUT_SENT, Event.CONNECTION_LOST

AnswerBy = Callable[[Request], float]
"""When the client of a request expects its response at the latest, on the clock of its time of receipt."""


def no_deadline(request: Request) -> float:
    """For servers whose clients state no deadline."""
    return math.inf


class HttpConnection:
    """The requests of one connection, from their receipt to their responses.

    waiting: requests that wait for their turn. unparsed: the input behind them. rejection: to be sent behind the
    responses to all of them. accepts_input: whether further input is parsed; if not, it is to be discarded. receiving:
    input was received that is not yet a complete request.
    """

    __slots__ = (
        "_answer_by",
        "_parser",
        "_waiting_request_bytes",
        "accepts_input",
        "earliest_answer_by",
        "received_requests",
        "receiving",
        "rejection",
        "serving",
        "state",
        "unparsed",
        "waiting",
    )

    def __init__(self, limits: ServerLimits, answer_by: AnswerBy) -> None:
        self.state = READY
        self.accepts_input = True
        self.waiting: list[Request] = []
        self.unparsed = UnparsedInput()
        self.serving: Request | None = None
        self.rejection: Rejection | None = None
        self.receiving = False
        self.received_requests = 0
        self.earliest_answer_by = math.inf  # of the waiting requests, or earlier
        self._answer_by = answer_by
        self._parser = RequestParser(limits.max_head_bytes, limits.max_body_bytes)
        self._waiting_request_bytes = 0

    # -- input
    @property
    def waiting_bytes(self) -> int:
        """An estimate of the memory that input takes which is not being served."""
        size = self._waiting_request_bytes
        if self.receiving:
            size += self._parser.partial_size
        return size + self.unparsed.held_bytes if self.unparsed.size else size

    def receive(self, data: bytes, received_at: float, earliest_at: float) -> None:
        """Takes bytes, if input is accepted. The last was received at the first time, others not before the second."""
        if self.unparsed.size:
            self.hold(data, earliest_at)
        elif len(data) > PARSE_CHUNK_BYTES:
            self.hold(data, earliest_at)
            self.parse_ahead()
        elif self.accepts_input:
            self._parse(data, received_at, earliest_at)

    def hold(self, data: bytes, earliest_at: float) -> None:
        """Takes bytes, if input is accepted, that are parsed later."""
        if self.accepts_input:
            self.unparsed.append(data, earliest_at)
            self.receiving = True

    @property
    def can_parse_ahead(self) -> bool:
        """Whether input waits that may be parsed now."""
        return self.unparsed.size > 0 and len(self.waiting) < MAX_PARSED_AHEAD

    def parse_ahead(self) -> None:
        """Parses waiting input until enough requests are parsed, or enough work is done for one call."""
        parser = self._parser
        work_limit = parser.work + MAX_PARSE_WORK
        while self.can_parse_ahead and parser.work < work_limit:
            data, earliest_at = self.unparsed.take(PARSE_CHUNK_BYTES)
            self._parse(data, earliest_at, earliest_at)

    def _parse(self, data: bytes, received_at: float, earliest_at: float) -> None:
        parser = self._parser
        requests = parser.feed(data)
        is_alone = len(requests) == 1 and not parser.in_request and parser.error is None  # nothing follows it
        for request in requests:
            self._add(request, received_at if is_alone else earliest_at)
            if not request.keep_alive:
                self._drop_input()
                return
        self.receiving = parser.in_request or not requests or self.unparsed.size > 0
        if parser.error is not None:
            self.reject(parser.error)

    def _add(self, request: Request, received_at: float) -> None:
        request.received_at = received_at
        if self.waiting or self.state is not READY:
            request.answer_by = answer_by = self._answer_by(request)
            if answer_by < self.earliest_answer_by:
                self.earliest_answer_by = answer_by
        self.received_requests += 1
        self.waiting.append(request)
        self._waiting_request_bytes += request.size

    def _drop_input(self) -> None:
        """Discards what is not a complete request, and accepts no more."""
        self.accepts_input = self.receiving = False
        self.unparsed.clear()
        self._parser.abandon()

    # -- requests
    @property
    def has_open_requests(self) -> bool:
        """Whether a complete request still needs its response."""
        return self.serving is not None or bool(self.waiting)

    @property
    def has_more(self) -> bool:
        """Whether anything follows the request that is being served."""
        return bool(self.waiting or self.unparsed.size) or self.rejection is not None

    @property
    def has_input_behind_next(self) -> bool:
        """Whether a request may begin, and more has been received than that request."""
        if not self.waiting or self.waiting[0].refusal is not None:
            return False
        return len(self.waiting) > 1 or self.receiving or self.rejection is not None

    def next_request(self) -> Request | None:
        """Begins the request that has waited longest, if one may begin and is not refused.

        No other function begins a request, but for those that are refused.
        """
        if not self.waiting or not ALLOWED[self.state].begin or self.waiting[0].refusal is not None:
            return None
        return self._begin()

    def _begin(self) -> Request:
        self.state = TRANSITIONS[self.state, REQUEST_BEGUN]
        request = self.serving = self.waiting.pop(0)
        self._waiting_request_bytes -= request.size
        return request

    def refuse_waiting(self, refusal: Rejection) -> None:
        """Refuses all requests that wait, in their order, and the input behind them."""
        self.refuse_parsed(refusal)
        self.reject(refusal)

    def refuse_parsed(self, refusal: Rejection) -> None:
        """Refuses all requests that wait, in their order."""
        self._refuse_first(len(self.waiting), refusal)

    def refuse_expired(self, now: float) -> bool:
        """Refuses the waiting requests up to the last whose time is over; returns whether there are any.

        A response can't overtake those before it, so that these have no time left either.
        """
        expired = [index for index, request in enumerate(self.waiting) if request.answer_by <= now]
        if expired:
            self._refuse_first(expired[-1] + 1, OUT_OF_TIME)
        self.earliest_answer_by = min(
            (request.answer_by for request in self.waiting if request.refusal is None), default=math.inf
        )
        return bool(expired)

    def _refuse_first(self, count: int, refusal: Rejection) -> None:
        for request in islice(self.waiting, count):
            self._waiting_request_bytes -= request.size
            request.refuse(refusal)

    def reject(self, rejection: Rejection) -> None:
        """Rejects the input behind the requests received so far; the first rejection counts."""
        if self.accepts_input:
            self.rejection = rejection
            self._drop_input()

    # -- output
    def respond(self, status: int, body: bytes, content_type: bytes, extra: Headers, ends_idle: bool) -> bytes:
        """Ends the request that is being served; returns its response.

        ends_idle: whether the response is the last one if nothing follows.
        """
        assert self.serving is not None
        keep_alive = self.serving.keep_alive and (self.has_more or not ends_idle)
        has_body = self.serving.method != b"HEAD"
        self.serving = None
        if keep_alive:
            self.state = TRANSITIONS[self.state, RESPONSE_GIVEN]
        else:
            self._end(LAST_RESPONSE_GIVEN)
        return encode_response(status, body, content_type, extra, keep_alive, has_body)

    def output_without_handler(self, ends_idle: bool) -> bytes:
        """Returns what may be written now and needs no handler: refusals, the rejection, 100 Continue."""
        output = bytearray()
        while self.waiting and ALLOWED[self.state].begin and (refusal := self.waiting[0].refusal) is not None:
            self._begin()
            output += self.respond(refusal.status, refusal.text, b"text/plain", (), ends_idle)
        if self.waiting or self.state is not READY:
            return bytes(output)
        if self.rejection is not None:
            output += encode_response(self.rejection.status, self.rejection.text, b"text/plain")
            self._end(LAST_RESPONSE_GIVEN)
        elif self._parser.expects_continue:  # not before the responses to earlier requests
            self._parser.expects_continue = False
            output += CONTINUE
        return bytes(output)

    def output_blocked(self) -> None:
        """Output that was returned could not be sent at once."""
        self.state = TRANSITIONS[self.state, OUTPUT_BLOCKED]

    def output_sent(self) -> None:
        """All output has been sent after it was blocked."""
        self.state = TRANSITIONS[self.state, OUTPUT_SENT]

    # -- end
    def connection_lost(self) -> None:
        """Drops everything that is held."""
        self.serving = None
        self._end(CONNECTION_LOST)
        self._parser.close()

    def _end(self, event: Event) -> None:
        self.state = TRANSITIONS[self.state, event]
        self.waiting.clear()
        self._waiting_request_bytes = 0
        self.earliest_answer_by = math.inf
        self._drop_input()
