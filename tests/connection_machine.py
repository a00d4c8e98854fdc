"""An HTTP server connection without I/O, driven by random bytes, responses and time beside a plain model."""

import math
import re
from collections import deque
from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from badgerbend.net.connection_states import ALLOWED, State
from badgerbend.net.http_connection import OUT_OF_MEMORY, HttpConnection
from badgerbend.net.server_limits import ServerLimits
from badgerbend.net.unparsed_input import TIME_RESOLUTION_S

RESPONSE = re.compile(rb"HTTP/1\.1 (\d+) [^\r]*\r\n((?:[^\r]+\r\n)*)\r\n")
STALL_S = 0.15
TIME_LEFT_S = (None, 0.05, 0.3, 2.0)


@dataclass
class Sent:
    """A request as its client sent it. end: the position of its last byte; received_at: set once that was received."""

    number: int
    method: bytes
    time_left_s: float | None
    is_last: bool
    end: int = 0
    received_at: float | None = None
    may_be_shed: bool = False

    def encode(self, chunked, padding):
        head = b"%s /%d HTTP/1.1\r\nhost: x\r\n" % (self.method, self.number)
        if self.time_left_s is not None:
            head += b"time-left: %d\r\n" % (self.time_left_s * 1000)
        if self.is_last:
            head += b"connection: close\r\n"
        if self.method != b"POST":
            return head + b"\r\n"
        body = b"z" * padding
        if not chunked:
            return head + b"content-length: %d\r\n\r\n" % len(body) + body
        chunks = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return head + b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def answer_by(request):
    time_left_ms = request.headers.get(b"time-left")
    return math.inf if time_left_ms is None else request.received_at + int(time_left_ms) / 1000.0


requests_of_client = st.lists(
    st.tuples(
        st.sampled_from((b"GET", b"GET", b"POST", b"HEAD")),
        st.sampled_from(TIME_LEFT_S),
        st.booleans(),  # chunked
        st.sampled_from((0, 5, 300, 5000, 5000)),  # bytes of the body
    ),
    min_size=1,
    max_size=25,
)
repetitions = st.sampled_from((1, 1, 1, 20))  # of the requests, so that some wait unparsed
endings = st.sampled_from((b"", b"", b"noise\r\n\r\n" + b"z" * 3000, b"last"))


class ConnectionMachine(RuleBasedStateMachine):
    """Checks each response against the request at its place."""

    subject = HttpConnection

    def __init__(self):
        super().__init__()
        self.now, self.received, self.taken = 100.0, 0, 0
        self.stream, self.sent, self.due = b"", [], deque()
        self.output, self.statuses, self.ended, self.is_invalid = b"", [], False, False
        self.may_shed = self.has_shed = False

    @initialize(
        drawn=requests_of_client,
        repeated=repetitions,
        ending=endings,
        has_deadlines=st.booleans(),
        may_shed=st.booleans(),
    )
    def connect(self, drawn, repeated, ending, has_deadlines, may_shed):
        self.may_shed = may_shed
        self.connection = self.subject(ServerLimits(), answer_by)
        count = len(drawn) * repeated
        for number, (method, time_left_s, chunked, padding) in enumerate(drawn * repeated):
            is_last = ending == b"last" and number == count * 2 // 3
            request = Sent(number, method, time_left_s if has_deadlines else None, is_last)
            self.stream += request.encode(chunked, padding)
            request.end = len(self.stream)
            self.sent.append(request)
        if ending.startswith(b"noise"):
            self.stream += ending
            self.is_invalid = True
        self.serving = None

    # -- events
    @rule(
        count=st.one_of(st.integers(1, 300), st.integers(300, 20_000)),
        pause_s=st.sampled_from((0.0, 0.001, 0.1, 0.1)),
        stall_s=st.sampled_from((0.0, 0.0, STALL_S)),
    )
    def receive(self, count, pause_s, stall_s):
        """Reads input, of which only the time of the last byte is known. The rest came during a stall, at its start."""
        self.now += pause_s
        earliest_at = self.now
        self.now += stall_s
        before, data = self.received, self.stream[self.received : self.received + count]
        self.received += len(data)
        for request in self.sent if self.connection.accepts_input else ():
            if request.received_at is None and before < request.end <= self.received:
                request.received_at = self.now if request.end == self.received else earliest_at
        self.connection.receive(data, self.now, earliest_at)

    @rule()
    def parse_ahead(self):
        self.connection.parse_ahead()

    @rule()
    def begin(self):
        """Begins a request as the server does: what needs no handler is written first."""
        self.take_output(self.connection.output_without_handler(False))
        allowed, busy = ALLOWED[self.connection.state].begin, self.serving
        request = self.connection.next_request()
        if request is None:
            return
        assert allowed
        assert busy is None
        self.serving = self.sent[len(self.statuses)]
        assert request.target == b"/%d" % self.serving.number
        assert request.method == self.serving.method
        # The time of a request that was read with others may be too early by a stall, never too late.
        assert self.serving.received_at - TIME_RESOLUTION_S - STALL_S <= request.received_at
        assert request.received_at <= self.serving.received_at
        assert request.refusal is None

    @precondition(lambda self: self.serving is not None)
    @rule(ends_idle=st.sampled_from((False, False, True)))
    def respond(self, ends_idle):
        number, self.serving = self.serving.number, None
        self.take_output(self.connection.respond(200, b"value of %d" % number, b"text/plain", (), ends_idle))

    @precondition(lambda self: not self.ended)
    @rule()
    def block(self):
        if self.connection.state not in (State.SENDING, State.SERVING_BLOCKED):
            self.connection.output_blocked()

    @rule()
    def unblock(self):
        if self.connection.state in (State.SENDING, State.SERVING_BLOCKED):
            self.connection.output_sent()

    @rule(pause_s=st.sampled_from((0.01, 0.06, 0.5, 3.0)))
    def expire(self, pause_s):
        self.now += pause_s
        self.connection.refuse_expired(self.now)
        served_later = [request for request in self.connection.waiting if request.refusal is None]
        assert all(request.answer_by > self.now for request in served_later)

    @precondition(lambda self: self.may_shed and not self.has_shed)
    @rule()
    def shed(self):
        if len(self.connection.waiting) > 5:
            self.has_shed = True
            for request in self.sent:
                request.may_be_shed = True
            self.connection.refuse_waiting(OUT_OF_MEMORY)

    # -- output
    def take_output(self, output):
        if not output:
            return
        assert not self.ended, "nothing is written after the last response"
        while output:
            head = RESPONSE.match(output)
            assert head is not None, "a response begins where the one before it ends"
            status, output = int(head[1]), output[head.end() :]
            length = int(re.search(rb"content-length: (\d+)", head[2])[1])
            request = self.sent[len(self.statuses)] if len(self.statuses) < len(self.sent) else None
            if len(self.statuses) >= self.connection.received_requests:
                request = None  # the rejection of what was not parsed
            has_body = request is None or request.method != b"HEAD"
            body, output = (output[:length], output[length:]) if has_body else (b"", output)
            self.check_response(request, status, body)
            if b"connection: close" in head[2]:
                self.ended = True
                assert not output

    def check_response(self, request, status, body):
        if request is None:
            assert (status == 400 and self.is_invalid) or (status == 503 and self.has_shed)
            return
        if status == 200:
            assert body == (b"" if request.method == b"HEAD" else b"value of %d" % request.number)
        else:
            assert status == 503
            assert request.may_be_shed or self.is_out_of_time(request)
        self.statuses.append(status)

    def is_out_of_time(self, request):
        """Whether the time is over of this request or of one that waits behind it."""
        return any(
            other.received_at is not None
            and other.time_left_s is not None
            and other.received_at + other.time_left_s <= self.now + TIME_RESOLUTION_S + STALL_S
            for other in self.sent[request.number :]
        )

    # -- state
    @invariant()
    def counts_what_it_holds(self):
        if self.sent:
            connection = self.connection
            requests = sum(request.size for request in connection.waiting)
            assert connection.waiting_bytes >= requests + len(connection.unparsed)
            assert connection.earliest_answer_by <= min(
                (request.answer_by for request in connection.waiting if request.refusal is None), default=math.inf
            )

    def teardown(self):
        """In the end, each request that was received has its response, unless the connection has ended."""
        if not self.sent:
            return
        if self.connection.state in (State.SENDING, State.SERVING_BLOCKED):
            self.connection.output_sent()
        if self.serving is not None:
            self.respond(False)
        for _ in range(2 * len(self.sent) + 2):
            self.connection.parse_ahead()
            self.begin()
            if self.serving is not None:
                self.respond(False)
        received = sum(request.received_at is not None for request in self.sent)
        if not self.ended:
            assert len(self.statuses) == received
        last = next((request.number + 1 for request in self.sent if request.is_last), len(self.sent))
        assert len(self.statuses) <= last
        self.connection.connection_lost()
        assert self.connection.waiting_bytes == 0
