"""Guards against sending new parts to draining servers when the discovery agent is slow or limits its connections.

Brokers sent parts to draining servers 1.1 to 1.6 s after the agent had the drain. A broker left up to four polls open
that the agent had not answered during an outage, and gave up all later ones after about 0.46 s. An agent that took
longer than that, or that allowed no further connection, was not heard until the oldest poll was three seconds old, or
never. All behaviours: `python benchmarks/agent_faults.py`.
"""

import asyncio

from tests.agent_faults import CASES, play
from tests.platform_stage import run


def late_by_case(names):
    """Plays cases at the same time. Returns by how much the last part to a draining server was too late, by case."""

    async def main():
        results = await asyncio.gather(*(play(CASES[name]) for name in names))
        return {name: result.late_s for name, result in zip(names, results, strict=True) if result.late_s > 0}

    assert names
    return run(main)


# Guards against giving up the polls that a slow agent is about to answer.
def test_a_drain_is_obeyed_once_an_agent_that_is_slow_after_an_outage_has_answered():
    assert late_by_case([name for name in CASES if name.startswith("slow")]) == {}


# Guards against abandoned polls that occupy all connections which the agent allows, so that no later one is answered.
def test_a_drain_is_obeyed_when_the_agent_limits_its_connections():
    assert late_by_case([name for name in CASES if name.endswith(("RESET", "REJECTED"))]) == {}


# Guards against giving up an answer that has begun to arrive.
def test_a_drain_is_obeyed_once_an_answer_in_pieces_is_complete():
    assert late_by_case([name for name in CASES if "pieces" in name]) == {}
