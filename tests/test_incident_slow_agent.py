"""Servers that drain got new parts for most of a second after the list said so.

Seen: discovery had been away for seven seconds, and servers began to drain as it came back. Each broker's log was full
of `list not read: no answer in time`; some of them sent parts to draining servers 0.6 to 0.9 s after the agent had the
news, to queries that had only just arrived.

How it came about: a question to the agent was given up after 0.15 of the grace, 75 ms, and its connection closed. An
agent that is busy after an outage takes longer than that, and then each question is given up before its answer comes,
however often it is put again. Retrying threw away the progress that it was waiting for.

Proof: over loopback with an agent that answers after 0.15 s, the broker never hears the list at all; with one that
answers after 0.05 s it hears it at once.
"""

import asyncio

import pytest

from tests.broker_process import BrokerProcess, request
from tests.platform_stage import run
from tests.sockets import until

GRACE_S = 0.5
SLACK_S = 0.05
SETTINGS = {"obligations.drainGraceMs": GRACE_S * 1000.0}
QUERIES = 20


async def sent_after_the_grace(broker, drained):
    """The parts that reach a draining server from queries that arrive once the grace is over."""
    await asyncio.sleep(GRACE_S + SLACK_S)
    late = [request(f"late{number}") for number in range(QUERIES)]
    for asked in late:
        assert (await broker.ask(asked)).status == 200
    return [arrival for asked in late for arrival in broker.arrived(asked) if arrival.node in drained]


@pytest.mark.parametrize("delay_s", [0.05, 0.15, 0.3])
def test_a_drain_is_obeyed_where_the_agent_is_slow_after_an_outage(delay_s):
    async def main():
        async with BrokerProcess(settings=SETTINGS) as broker:
            broker.agent.silent = True
            await until(lambda: len(broker.logged("trouble", "list not read")) >= 3)
            drained = {"s0", "s1", "s2"}  # one of two in each cell
            for name in drained:
                broker.put(name, "draining")
            broker.agent.delay_s = delay_s
            broker.agent.silent = False
            assert await sent_after_the_grace(broker, drained) == []

    run(main)


def test_an_agent_that_is_always_slow_is_heard_at_the_start_and_later():
    async def main():
        async with BrokerProcess(settings=SETTINGS) as broker:
            broker.agent.delay_s = 0.3
            broker.put("s0", "draining")
            await until(lambda: any("s0" in line["names"] for line in broker.logged("list")))
            broker.put("s1", "draining")
            assert await sent_after_the_grace(broker, {"s0", "s1"}) == []

    run(main)
