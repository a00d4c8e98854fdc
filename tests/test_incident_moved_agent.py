"""Guards against losing a drain that the agent is telling as a new configuration moves discovery to another address.

SIGHUP aborted the poll that the old agent was answering. The new agent was asked at once, but one that is silent or
slow at that moment told the drain only seconds later.
"""

import asyncio
import signal
import time

import pytest

from tests.agent_faults import DRAINED, GRACE_S, SETTINGS, SHARDS_ASKED, SLACK_S
from tests.broker_process import BrokerProcess, request
from tests.platform_stage import run
from tests.rough_agent import Excess, RoughAgent
from tests.sockets import until

ANSWER_DELAY_S = 0.2  # of the old agent
QUERIES = 40
OUTAGE_S = 1.0


def move(broker, agent):
    """Writes a configuration that names another agent, and sends SIGHUP."""
    broker.write_configuration(agent)
    broker.process.send_signal(signal.SIGHUP)


async def sent_after_the_grace_period(broker, told_at, drained):
    await asyncio.sleep(told_at + GRACE_S + SLACK_S - time.monotonic())
    queries = [request(f"late{number}", SHARDS_ASKED) for number in range(QUERIES)]
    for query in queries:
        assert (await broker.ask(query)).status == 200
    return [arrival for query in queries for arrival in broker.arrived(query) if arrival.node in drained]


@pytest.mark.parametrize("moves", [1, 3])
def test_a_drain_that_the_old_agent_is_telling_is_obeyed_while_the_new_one_is_silent(moves):
    async def main():
        new_agents = [RoughAgent() for _ in range(moves)]
        for new_agent in new_agents:
            await new_agent.start()
            new_agent.silent = True
        async with BrokerProcess(agent=RoughAgent(), settings=SETTINGS) as broker:
            broker.agent.computes_early = True
            broker.agent.delay_s = ANSWER_DELAY_S
            polls = len(broker.agent.requests)
            await until(lambda: len(broker.agent.requests) > polls + 2 and broker.agent.watches)
            broker.put(DRAINED[0], "draining")  # answers the waiting poll
            told_at = time.monotonic()
            for number, new_agent in enumerate(new_agents, start=1):
                move(broker, new_agent)
                await until(lambda number=number: len(broker.logged("reloaded")) == number)
            assert await sent_after_the_grace_period(broker, told_at, DRAINED[:1]) == []
        for new_agent in new_agents:
            await new_agent.close()

    run(main)


def test_the_list_of_the_new_agent_prevails_over_a_late_answer_of_the_old_one():
    async def main():
        new_agent = RoughAgent()
        await new_agent.start()
        async with BrokerProcess(agent=RoughAgent(), settings=SETTINGS) as broker:
            broker.agent.computes_early = True
            broker.agent.delay_s = 2 * ANSWER_DELAY_S
            polls = len(broker.agent.requests)
            await until(lambda: len(broker.agent.requests) > polls + 2)
            for name, node in broker.nodes.items():
                new_agent.put(name, node.port, node.cell, "draining" if name in DRAINED else "up")
            move(broker, new_agent)
            assert await sent_after_the_grace_period(broker, time.monotonic(), DRAINED) == []
        await new_agent.close()

    run(main)


# Guards against polls of the previous configuration that occupy all connections which the agent allows.
def test_a_drain_is_obeyed_after_a_reload_that_names_the_same_crowded_agent():
    async def main():
        async with BrokerProcess(agent=RoughAgent(), settings=SETTINGS) as broker:
            broker.agent.max_connections = 2
            broker.agent.excess = Excess.RESET
            broker.agent.silent = True
            await asyncio.sleep(OUTAGE_S)
            move(broker, broker.agent)
            await until(lambda: broker.logged("reloaded"))
            for name in DRAINED:
                broker.put(name, "draining")
            broker.agent.speak()
            assert await sent_after_the_grace_period(broker, time.monotonic(), DRAINED) == []

    run(main)


# Guards against moving on without the changes of an agent that has just returned from an outage.
def test_a_drain_is_obeyed_when_discovery_moves_as_the_old_agent_returns_and_the_new_one_is_silent():
    async def main():
        new_agent = RoughAgent()
        await new_agent.start()
        new_agent.silent = True
        async with BrokerProcess(agent=RoughAgent(), settings=SETTINGS) as broker:
            broker.agent.silent = True
            await asyncio.sleep(OUTAGE_S)
            for name in DRAINED:
                broker.put(name, "draining")
            broker.agent.speak()
            move(broker, new_agent)
            assert await sent_after_the_grace_period(broker, time.monotonic(), DRAINED) == []
        await new_agent.close()

    run(main)
