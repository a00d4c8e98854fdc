"""Guards against running a request twice whose id comes again (issue 67, c; docs/incidents/2026-12-06-repeated-ids.md).

A client sent a request that may not run twice and left while it ran. The same id came again on another connection; the
first request was taken for ended, and the second one ran.
"""

import asyncio

import pytest

from badgerbend.frames.recent_ids import RecentIds
from badgerbend.standin.framenode import Part
from tests.broker_process import BrokerProcess, request
from tests.platform_stage import run
from tests.sockets import until

EFFECTS = {"non_idempotent": 409, "idempotency_key": 409, "read_like": 200}


@pytest.mark.parametrize("effect", EFFECTS)
def test_an_id_that_comes_again_after_its_client_has_left_runs_once_unless_that_is_safe(effect):
    async def main():
        async with BrokerProcess(behave=lambda part: None, settings={"categories.0.idempotency": effect}) as broker:
            asked = request("again", [1])
            _, writer = await broker.connect()
            writer.write(asked.data)
            await until(lambda: broker.arrived(asked))
            broker.behave = Part.served
            writer.close()
            answers = [(await broker.ask(asked)).status]
            await asyncio.sleep(0.2)
            answers.append((await broker.ask(asked)).status)
            assert answers == [EFFECTS[effect]] * 2
            assert effect == "read_like" or len(broker.arrived(asked)) == 1

    run(main)


@pytest.mark.parametrize("answer", [Part.served, lambda part: part.connection.send(part.answer(b"broke"))])
def test_an_id_that_comes_again_after_its_answer_runs_once(answer):
    async def main():
        settings = {"categories.0.idempotency": "non_idempotent"}
        async with BrokerProcess(behave=answer, settings=settings) as broker:
            asked = request("again", [1])
            assert (await broker.ask(asked)).status in (200, 502)
            assert (await broker.ask(asked)).status == 409
            assert len(broker.arrived(asked)) == 1

    run(main)


def test_an_id_of_a_request_that_was_refused_may_come_again():
    async def main():
        settings = {"categories.0.idempotency": "non_idempotent"}

        def turn_away(part):
            part.connection.send(part.answer(b"skipped"))

        async with BrokerProcess(behave=turn_away, settings=settings) as broker:
            asked = request("again", [1])
            assert (await broker.ask(asked)).status == 503
            broker.behave = Part.served
            assert (await broker.ask(asked)).status == 200

    run(main)


def test_the_number_of_ids_that_are_remembered_can_be_bounded():
    ids = RecentIds(60.0, 0.0)
    for number in range(10):
        ids.add(b"%d" % number)
    ids.forget_older(1.0)
    ids.add(b"new")
    assert b"0" in ids
    ids.forget_older(2.0)
    assert b"0" not in ids
    assert b"new" in ids
    assert len(ids) == 1
