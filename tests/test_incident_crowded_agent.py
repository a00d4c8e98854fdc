"""Guards against sending new parts to draining servers when the discovery agent is slow or limits its connections.

Brokers sent parts to draining servers 1.1 to 1.6 s after the agent had the drain. A broker left up to four polls open
that the agent had not answered during an outage, and gave up all later ones after about 0.46 s. An agent that took
longer than that, or that allowed no further connection, was not heard until the oldest poll was three seconds old, or
never. All behaviours: `python benchmarks/agent_faults.py`.
"""

import asyncio
import time

import pytest

from tests.agent_faults import CASES, DRAINED, GRACE_S, SETTINGS, SLACK_S, ask_until, play
from tests.broker_process import BrokerProcess
from tests.platform_stage import run
from tests.rough_agent import RoughAgent
from tests.sockets import until


def late_by_case(names):
    """Plays cases at the same time. Returns by how much the last part to a draining server was too late, by case."""

    async def main():
        results = await asyncio.gather(*(play(CASES[name]) for name in names))
        return {name: result.late_s for name, result in zip(names, results, strict=True) if result.late_s > 0}

    assert names
    return run(main)


OLD_VERSION = 1000
RESTART_NOTICED_S = 2.0
NOTIFIED_S = 6.0  # after the agent has a change and can be reached, whatever becomes of a call


async def restart(broker):
    """Kills the process and starts it again. Returns when it was started."""
    broker.process.kill()
    await asyncio.to_thread(broker.process.wait)
    broker.lines.clear()
    started_at = time.monotonic()
    await broker.start()
    return started_at


# Guards against giving up the polls that a slow agent is about to answer.
def test_a_drain_is_obeyed_once_an_agent_that_is_slow_after_an_outage_has_answered():
    assert late_by_case([name for name in CASES if name.startswith("slow")]) == {}


# Guards against abandoned polls that occupy all connections which the agent allows, so that no later one is answered.
def test_a_drain_is_obeyed_when_the_agent_limits_its_connections():
    assert late_by_case([name for name in CASES if name.endswith(("RESET", "REJECTED"))]) == {}


# Guards against giving up an answer that has begun to arrive.
def test_a_drain_is_obeyed_once_an_answer_in_pieces_is_complete():
    assert late_by_case([name for name in CASES if "pieces" in name]) == {}


# Guards against a start with the known list, which may be older than a drain, while a slow agent is about to answer.
@pytest.mark.parametrize("delay_s", [0.3, 0.8, 1.5])
def test_a_process_that_starts_obeys_the_drains_of_a_slow_agent(delay_s):
    async def main():
        async with BrokerProcess(agent=RoughAgent(), settings=SETTINGS) as broker:
            broker.changes["known"] = broker.agent.full_list()
            for name in DRAINED:
                broker.put(name, "draining")
            broker.agent.delay_s = delay_s
            started_at = await restart(broker)
            await ask_until(broker, time.monotonic() + delay_s + 2 * GRACE_S)
            late = [arrival for arrival in broker.arrivals if arrival.at > started_at + GRACE_S + SLACK_S]
            assert late
            assert [arrival for arrival in late if arrival.node in DRAINED] == []

    run(main)


# Guards against taking all answers of a slow agent that has restarted, and counts versions anew, for outdated ones.
def test_a_drain_is_obeyed_when_a_slow_agent_has_restarted():
    async def main():
        agent = RoughAgent()
        agent.rev = OLD_VERSION
        async with BrokerProcess(agent=agent, settings=SETTINGS) as broker:
            agent.delay_s = 0.3
            await asyncio.sleep(RESTART_NOTICED_S)
            agent.rev = 0
            agent.changes.clear()
            for name in broker.nodes:
                broker.put(name, "draining" if name in DRAINED else "up")
            noticed_at = time.monotonic() + RESTART_NOTICED_S
            await ask_until(broker, noticed_at + GRACE_S)
            late = [arrival for arrival in broker.arrivals if arrival.at > noticed_at]
            assert late
            assert [arrival for arrival in late if arrival.node in DRAINED] == []

    run(main)


# Guards against giving up each call to a slow agent after two seconds where the list is polled on request.
def test_a_list_that_is_polled_on_request_is_read_from_an_agent_that_is_slow_after_an_outage():
    async def main():
        settings = SETTINGS | {"registryMode": "ask"}
        async with BrokerProcess(agent=RoughAgent(), settings=settings) as broker:
            agent = broker.agent
            await until(lambda: broker.logged("list"))
            agent.silent = True
            await until(lambda: broker.logged("trouble", "list not read"))
            agent.delay_s = 2.5
            broker.put("s0", "draining")
            published_at = time.monotonic()
            agent.speak()
            await ask_until(broker, published_at + NOTIFIED_S + 2 * GRACE_S)
            late = [
                arrival for arrival in broker.arrivals if arrival.at > published_at + NOTIFIED_S + GRACE_S + SLACK_S
            ]
            assert late
            assert [arrival for arrival in late if arrival.node == "s0"] == []
            broker.put("s1", "draining")
            await until(lambda: any("s1" in line["names"] for line in broker.logged("list")))

    run(main)


# Guards against a poll that was dropped in an outage and keeps the only connection that the agent serves.
def test_a_drain_is_obeyed_when_the_agent_serves_one_connection_and_lets_others_wait():
    assert late_by_case(["at most 1 connections, others WAITS"]) == {}
