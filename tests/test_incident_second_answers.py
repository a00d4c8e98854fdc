"""Guards against taking a second copy of a node's answer for the answer to a later attempt for the same part.

All attempts for a part have the same id. A node turned a part away and sent that answer twice; the next attempt went
out on the same connection, ran, and was ended as "never ran" by the second copy. So the part was sent a third time, and
the effect of a class that may not repeat happened twice.
"""

import asyncio

import pytest

from badgerbend.api import Outcome
from badgerbend.frames.recent_ids import RecentIds
from badgerbend.standin.framenode import Part
from tests.broker_process import BrokerProcess, request
from tests.platform_stage import run
from tests.sockets import until
from tests.test_frames import attempt, node_with_transport

COPY_DELAYS_S = [0.0, 0.0003, 0.005]
RUN_S = 0.05


def serves_first_part(part):
    """Answers the first part that the node receives, and no other."""
    if len(part.connection.node.parts()) == 1:
        part.served()


class TurnsAwayTwice:
    """Answers the first attempt of each part with an end and a second copy of it, and serves the others."""

    def __init__(self, end, copy_delay_s):
        self.end, self.copy_delay_s = end, copy_delay_s
        self.seen, self.runs = set(), []

    def __call__(self, part):
        loop = asyncio.get_running_loop()
        if part.id in self.seen:
            self.runs.append(part.id)
            loop.call_later(RUN_S, Part.served, part)
            return
        self.seen.add(part.id)
        part.connection.send(part.answer(self.end))
        loop.call_later(self.copy_delay_s, part.connection.send, part.answer(self.end))


@pytest.mark.parametrize("copy_delay_s", COPY_DELAYS_S)
def test_an_unsafe_part_runs_once_if_the_answer_that_it_was_turned_away_comes_twice(copy_delay_s):
    async def main():
        behave = TurnsAwayTwice(b"skipped", copy_delay_s)
        settings = {"categories.0.idempotency": "non_idempotent", "specifics.sets": 1}
        async with BrokerProcess(each=1, behave=behave, settings=settings) as broker:
            for number in range(12):
                assert (await broker.ask(request(f"q{number}", [1]))).status == 200
            assert len(behave.runs) == len(set(behave.runs)) == 12

    run(main)


@pytest.mark.parametrize(("end", "outcome"), [(b"skipped", Outcome.REJECTED), (b"broke", Outcome.ERROR)])
@pytest.mark.parametrize("copy_delay_s", COPY_DELAYS_S)
def test_a_second_copy_does_not_end_a_later_attempt(end, outcome, copy_delay_s):
    async def main():
        async with node_with_transport(TurnsAwayTwice(end, copy_delay_s)) as (node, transport, ends):
            transport.send(1, [attempt(1)])
            await until(lambda: ends)
            transport.send(1, [attempt(1, 1)])
            await until(lambda: len(ends) == 2)
            assert ends == [(1, outcome, None), (1, Outcome.OK, node.parts()[1].value())]

    run(main)


def test_a_second_copy_of_the_answer_to_a_cancelled_attempt_does_not_end_a_later_one():
    async def main():
        async with node_with_transport(lambda part: None) as (node, transport, ends):
            first = attempt(1)
            transport.send(1, [first])
            await until(lambda: node.parts())
            transport.cancel(first)
            early = node.parts()[0]
            early.connection.send(early.answer(b"skipped"))
            await asyncio.sleep(RUN_S)
            transport.send(1, [attempt(1, 1)])
            await until(lambda: len(node.parts()) == 2)
            early.connection.send(early.answer(b"skipped"))
            await asyncio.sleep(RUN_S)
            assert ends == []
            node.parts()[1].served()
            await until(lambda: ends)
            assert ends == [(1, Outcome.OK, node.parts()[1].value())]

    run(main)


def test_a_request_with_an_id_used_before_is_not_answered_by_a_copy_of_the_earlier_answer():
    # The values of the two differ, as their texts do.
    async def main():
        async with node_with_transport(serves_first_part) as (node, transport, ends):
            transport.send(1, [attempt(1, text=b"one")])
            await until(lambda: ends)
            early = node.parts()[0]
            transport.send(1, [attempt(1, text=b"two")])
            await until(lambda: len(node.parts()) == 2)
            early.served()
            await asyncio.sleep(RUN_S)
            node.parts()[1].served()
            await until(lambda: len(ends) == 2)
            assert ends[1] == (1, Outcome.OK, node.parts()[1].value())

    run(main)


def test_a_second_copy_does_not_fail_the_other_parts_of_its_connection():
    async def main():
        async with node_with_transport(serves_first_part) as (node, transport, ends):
            transport.send(1, [attempt(1)])
            await until(lambda: ends)
            transport.send(1, [attempt(2)])
            await until(lambda: len(node.parts()) == 2)
            assert node.accepted == 1
            node.parts()[0].served()
            node.parts()[1].served()
            await until(lambda: len(ends) == 2)
            assert ends[1] == (2, Outcome.OK, node.parts()[1].value())

    run(main)


def test_connections_carry_a_part_again_after_the_retention():
    async def main():
        async with node_with_transport(part_id_retention_s=0.05) as (node, transport, ends):
            transport.send(1, [attempt(1)])
            await until(lambda: ends)
            await asyncio.sleep(0.15)
            transport.send(1, [attempt(1)])
            await until(lambda: len(ends) == 2)
            assert node.accepted == 1

    run(main)


def test_ids_are_remembered_for_the_retention_and_forgotten_after_twice_that_time():
    history = RecentIds(1.0, 10.0)
    history.add(b"a")
    history.expire(11.0)
    history.add(b"b")
    assert b"a" in history
    history.expire(11.9)
    assert b"a" in history
    history.expire(12.0)
    assert b"a" not in history
    assert b"b" in history
    assert len(history) == 1
    history.expire(20.0)
    assert len(history) == 0
