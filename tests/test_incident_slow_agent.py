"""Guards against sending new parts to draining servers when the discovery agent is slow after an outage.

Servers began to drain as discovery returned after seven seconds. Brokers logged `list not read: no answer in time` and
sent parts to draining servers 0.6 to 0.9 s after the agent had the change. Each poll was abandoned after 0.15 of the
drain grace period, 75 ms, and its connection was closed. An agent that is busy after an outage takes longer than that,
so every poll was abandoned before its answer arrived, however often it was retried. With an agent that answered after
0.15 s the broker never read the list; with one that answered after 0.05 s it read it at once.
"""

import asyncio

import pytest

from tests.broker_process import BrokerProcess, request
from tests.platform_stage import run
from tests.sockets import until

GRACE_S = 0.5
TOLERANCE_S = 0.05
SETTINGS = {"obligations.drainGraceMs": GRACE_S * 1000.0}
QUERIES = 20


async def sent_after_the_grace_period(broker, drained):
    """Returns the parts that reach a draining server from queries that arrive after the grace period."""
    await asyncio.sleep(GRACE_S + TOLERANCE_S)
    queries = [request(f"late{number}") for number in range(QUERIES)]
    for query in queries:
        assert (await broker.ask(query)).status == 200
    return [arrival for query in queries for arrival in broker.arrived(query) if arrival.node in drained]


@pytest.mark.parametrize("delay_s", [0.05, 0.15, 0.3])
def test_a_drain_is_obeyed_when_the_agent_is_slow_after_an_outage(delay_s):
    async def main():
        async with BrokerProcess(settings=SETTINGS) as broker:
            broker.agent.silent = True
            await until(lambda: len(broker.logged("trouble", "list not read")) >= 3)
            drained = {"s0", "s1", "s2"}  # one of the two in each cell
            for name in drained:
                broker.put(name, "draining")
            broker.agent.delay_s = delay_s
            broker.agent.silent = False
            assert await sent_after_the_grace_period(broker, drained) == []

    run(main)


def test_the_list_of_an_agent_that_is_always_slow_is_read_at_the_start_and_later():
    async def main():
        async with BrokerProcess(settings=SETTINGS) as broker:
            broker.agent.delay_s = 0.3
            broker.put("s0", "draining")
            await until(lambda: any("s0" in line["names"] for line in broker.logged("list")))
            broker.put("s1", "draining")
            assert await sent_after_the_grace_period(broker, {"s0", "s1"}) == []

    run(main)
