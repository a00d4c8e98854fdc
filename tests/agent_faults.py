"""Plays a drain to a broker process whose discovery agent misbehaves, and checks what the broker sends afterwards.

Each case states what the agent does on its sockets before a drain and from then on. Many cases are played by
`benchmarks/agent_faults.py`, some of them by tests/test_incident_crowded_agent.py.
"""

import asyncio
import time
from dataclasses import dataclass, field
from enum import Enum, auto
from http import HTTPStatus

from tests.broker_process import BrokerProcess, request
from tests.rough_agent import Excess, RoughAgent

GRACE_S = 0.5
SLACK_S = 0.05
SETTINGS = {"obligations.drainGraceMs": GRACE_S * 1000.0}
WARM_UP_S = 1.2
QUERY_INTERVAL_S = 0.02
QUERIES_AFTER_S = 1.5  # queries are sent for this long after the grace period
ANSWER_TIMEOUT_S = 9.0
DRAINED = ("s0", "s1", "s2")  # one of the two nodes of each cell
SHARDS_ASKED = (1, 2, 3)


class Told(Enum):
    """From when the broker counts as notified of a drain."""

    PUBLISHED = auto()  # the agent has it
    ANSWERED = auto()  # the agent has answered a request with it: it is slower than the grace period


@dataclass(frozen=True, slots=True)
class Case:
    """One behaviour of the agent. before, after: attributes of the agent before and after the drain is published.

    outage_s: the agent is silent for this long before. settle_s: the agent behaves as after the drain for this long
    before. is_refusing: connections are refused in the outage. is_dead: connections that are open when the drain is
    published are dead from then on.
    """

    before: dict[str, object] = field(default_factory=dict)
    after: dict[str, object] = field(default_factory=dict)
    outage_s: float = 3.3
    settle_s: float = 0.0
    is_refusing: bool = False
    is_dead: bool = False
    told: Told = Told.PUBLISHED


@dataclass(frozen=True, slots=True)
class Result:
    """Times in seconds after the drain was published; None if it never happened.

    answered_s: the agent answered a request with the drain. read_s: the broker read it. last_sent_s: the last part that
    was sent to a drained node. late_s: by how much that was too late; negative if it was not.
    """

    answered_s: float | None
    read_s: float | None
    last_sent_s: float
    late_s: float
    polls_per_s: float
    connections: int


def slow(delay_s, outage_s=3.3, **also):
    told = Told.PUBLISHED if delay_s < GRACE_S - 0.15 else Told.ANSWERED
    return Case(after={"delay_s": delay_s, **also}, outage_s=outage_s, told=told)


def limited(count, excess, outage_s=3.3):
    return Case(before={"max_connections": count, "excess": excess}, outage_s=outage_s)


CASES = {
    "quick after an outage": Case(),
    "quick after an outage, answers stale polls": Case(before={"answers_stale": True}),
    **{
        f"slow by {delay_s} s after an outage": slow(delay_s)
        for delay_s in (0.1, 0.3, 0.45, 0.5, 0.7, 1.0, 1.5, 2.5, 4.0)
    },
    **{f"slow by {delay_s} s after a short outage": slow(delay_s, 0.7) for delay_s in (0.3, 0.5, 1.0)},
    **{f"slow by {delay_s} s after a long outage": slow(delay_s, 9.0) for delay_s in (0.3, 0.5, 1.0)},
    "slow, computes at once": slow(0.5, computes_early=True),
    "slow, answers stale polls": Case(before={"answers_stale": True}, after={"delay_s": 0.5}, told=Told.ANSWERED),
    "always slow by 0.3 s": Case(before={"delay_s": 0.3}, outage_s=0.0),
    "always slow by 1 s": Case(before={"delay_s": 1.0}, outage_s=0.0, told=Told.ANSWERED),
    "always slow by 2 s": Case(before={"delay_s": 2.0}, outage_s=0.0, told=Told.ANSWERED),
    **{
        f"at most {count} connections, others {excess.name}": limited(count, excess)
        for excess in Excess
        for count in (1, 2, 4, 6, 10)
    },
    "at most 1 connections, others WAITS, short outage": limited(1, Excess.WAITS, 1.5),
    "at most 1 connections, others WAITS, long outage": limited(1, Excess.WAITS, 9.0),
    "at most 2 connections, others RESET, long outage": limited(2, Excess.RESET, 9.0),
    "one request at a time, 50 ms": Case(before={"service_s": 0.05}),
    "one request at a time, 150 ms": Case(before={"service_s": 0.15}),
    "one request at a time, 100 ms, answers stale polls": Case(
        before={"service_s": 0.1, "answers_stale": True}, told=Told.ANSWERED
    ),
    "connections read late by 0.3 s": Case(before={"connect_delay_s": 0.3}),
    "connections read late by 1 s": Case(before={"connect_delay_s": 1.0}, told=Told.ANSWERED),
    "answers in pieces over 0.2 s": Case(after={"pieces": 10, "piece_interval_s": 0.02}),
    "answers in pieces over 0.6 s": Case(after={"pieces": 3, "piece_interval_s": 0.3}, told=Told.ANSWERED),
    "answers in pieces over 1.5 s": Case(after={"pieces": 4, "piece_interval_s": 0.5}, told=Told.ANSWERED),
    "refuses connections in the outage": Case(is_refusing=True),
    "refuses connections in a long outage": Case(is_refusing=True, outage_s=9.0),
    "slow by 0.3 s after refusing connections": Case(is_refusing=True, after={"delay_s": 0.3}),
    "whole lists without the draining nodes": Case(before={"omits_draining": True}),
    "whole lists without the draining nodes, slow": Case(
        before={"omits_draining": True}, after={"delay_s": 0.5}, told=Told.ANSWERED
    ),
    "chunked and indented": Case(before={"is_chunked": True, "is_indented": True}),
    "three answers cut off": Case(after={"cut_answers": 3}),
    "five requests answered with 503": Case(after={"rejected_answers": 5}),
    "five requests answered with 503, slow by 0.2 s": Case(
        after={"rejected_answers": 5, "delay_s": 0.2}, told=Told.ANSWERED
    ),
    "closes after each answer": Case(before={"closes_after_answer": True}),
    "dead connections": Case(outage_s=0.0, is_dead=True),
    "dead connections after slow ones": Case(
        before={"delay_s": 0.5}, after={"delay_s": 0.0}, outage_s=0.0, is_dead=True
    ),
    "dead connections after many slow ones": Case(
        before={"delay_s": 1.0}, after={"delay_s": 0.0}, outage_s=0.0, settle_s=2.0, is_dead=True
    ),
}


async def play(case):
    """Plays a case to a broker process, with queries until the grace period is long over."""
    agent = RoughAgent()
    async with BrokerProcess(agent=agent, settings=SETTINGS) as broker:
        set_all(agent, case.before)
        await asyncio.sleep(WARM_UP_S)
        polls = len(agent.requests)
        agent.silent = case.outage_s > 0.0
        if case.is_refusing:
            agent.http.stop()
        await asyncio.sleep(case.outage_s)
        polls_per_s = (len(agent.requests) - polls) / case.outage_s if case.outage_s else 0.0
        connections = len(agent.http.connections)
        set_all(agent, case.after)
        await asyncio.sleep(case.settle_s)
        if case.is_dead:
            agent.http.silence_connections()
        if case.is_refusing:
            await agent.http.start(*agent.http.address)
        published_at = time.monotonic()
        for name in DRAINED:
            broker.put(name, "draining")
        agent.speak()
        told_at = published_at if case.told is Told.PUBLISHED else await first_answer_at(agent)
        await ask_until(broker, (told_at or time.monotonic()) + GRACE_S + QUERIES_AFTER_S)
        return result(broker, published_at, told_at, polls_per_s, connections)


def set_all(agent, attributes):
    for name, value in attributes.items():
        assert hasattr(agent, name)
        setattr(agent, name, value)


async def first_answer_at(agent):
    """Waits until the agent has answered with the newest revision; returns when it did, or None if it never does."""
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    while time.monotonic() < deadline:
        if agent.answered_at.get(agent.rev, deadline) <= time.monotonic():
            return agent.answered_at[agent.rev]
        await asyncio.sleep(QUERY_INTERVAL_S / 2)
    return None


async def ask_until(broker, end_at):
    number = 0
    while time.monotonic() < end_at:
        number += 1
        answer = await broker.ask(request(f"late{number}", SHARDS_ASKED))
        assert answer.status == HTTPStatus.OK
        await asyncio.sleep(QUERY_INTERVAL_S)


def result(broker, published_at, told_at, polls_per_s, connections):
    read = [line["at"] for line in broker.logged("list") if set(DRAINED) <= set(line["names"])]
    sent = [arrival.at for arrival in broker.arrivals if arrival.node in DRAINED]
    last_sent = max(sent, default=published_at)
    answered_at = broker.agent.answered_at.get(broker.agent.rev)
    return Result(
        answered_at - published_at if answered_at is not None else None,
        read[0] - published_at if read else None,
        last_sent - published_at,
        last_sent - told_at - GRACE_S - SLACK_S if told_at is not None else float("inf"),
        polls_per_s,
        connections,
    )
