"""Guards against work for clients that have left (issue 67, c; docs/incidents/2026-12-06-departures.md).

The end of a connection lies behind all that its client has sent. While megabytes of it were unread, the broker made
attempts for requests of clients that had closed their connection long before.
"""

from dataclasses import replace

import pytest

from badgerbend.net.http_connection import HttpConnection, no_deadline
from badgerbend.net.request_parser import Rejection
from badgerbend.net.server_limits import ServerLimits
from tests.broker_process import BrokerProcess, read_answer, request
from tests.departures import Departure, Play
from tests.platform_stage import run

MEGABYTES = Departure(count=100, text_bytes=60_000, clients=40, nodes="failing", end="close, answers read")
SMALL = Departure(count=1000, clients=100, nodes="quick", end="close, answers read")


@pytest.mark.parametrize(
    ("case", "busy"),
    [
        (MEGABYTES, 0),
        (MEGABYTES, 3),
        (SMALL, 3),
        (replace(MEGABYTES, end="reset"), 0),
        (replace(SMALL, end="close"), 3),
    ],
    ids=["megabytes", "megabytes, a part of a core", "small, a part of a core", "reset", "closed with answers unread"],
)
def test_no_attempt_begins_for_clients_that_sent_much_and_left(case, busy):
    async def main():
        assert (await Play(case, busy).run()).late == []

    run(main)


GET = b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n"


def test_a_request_knows_whether_more_was_received_behind_it():
    def received(data):
        connection = HttpConnection(ServerLimits(), no_deadline)
        connection.receive(data, 0.0, 0.0)
        return connection

    assert not received(GET % 1).has_input_behind_next
    assert received(GET % 1 * 2).has_input_behind_next
    assert received(GET % 1 + b"GET").has_input_behind_next
    assert received(GET % 1 + b"\0noise").has_input_behind_next
    assert not received(b"GET").has_input_behind_next
    refused = received(GET % 1 * 2)
    refused.refuse_parsed(Rejection(503, b"refused"))
    assert not refused.has_input_behind_next
    assert refused.accepts_input


def test_requests_sent_at_once_by_a_client_that_stays_are_all_served():
    async def main():
        async with BrokerProcess(each=2) as broker:
            reader, writer = await broker.connect()
            asked = [request(f"p{number}", [1, 2], text="c41e77d0" * 500) for number in range(60)]
            writer.write(b"".join(one.data for one in asked))
            for _ in asked:
                assert (await read_answer(reader)).status == 200
            writer.close()

    run(main)
