"""What one follower alone takes: a process with one replica, nothing shared, beside the same process without."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from scale.feed_content import ContentChanges
from scale.feed_fleet import FIRST_CHANGES_AT_ONCE
from scale.feed_messages import (
    Address,
    Count,
    Counted,
    Done,
    FollowerSpec,
    Listening,
    Publish,
    Published,
    ReturnZone,
    StartControl,
    StartFollowers,
    StopZone,
)
from scale.feed_process import Child

RETAINED = 1  # publications: a follower that was away for two needs a snapshot
WITHIN_S = 20.0
ZONE = 0


@dataclass(frozen=True, slots=True)
class Alone:
    """Bytes beyond the process without a replica, and seconds of processor time."""

    resident: int
    first_peak: int  # while the first snapshot came
    again_peak: int  # while another one came over a whole replica
    first_cpu_s: float
    received: int  # bytes of the first snapshot, and a heartbeat or two


async def alone(nodes: int, seed: int) -> Alone:
    """One follower's memory with so many rows."""
    children = list(await asyncio.gather(Child.start("relay"), Child.start("followers")))
    try:
        return await _measured(children[0], children[1], ContentChanges(nodes, seed))
    finally:
        await asyncio.gather(*(child.end() for child in children))


async def _measured(relay: Child, followers: Child, changes: ContentChanges) -> Alone:
    listening = await relay.ask(StartControl("relay-1", RETAINED), Listening)
    first = list(changes.first())
    for at in range(0, len(first), FIRST_CHANGES_AT_ONCE):
        await relay.ask(Publish(tuple(first[at : at + FIRST_CHANGES_AT_ONCE])), Published)
    empty = await followers.measure()
    address = Address("relay-1", "north", listening.ports[0])
    spec = FollowerSpec("broker-0000", "north", ZONE, True, (address,))
    await followers.ask(StartFollowers((spec,), 1, share=False), Done)
    await _reached(followers, await _publish(relay, changes))
    whole = await followers.measure()
    await followers.ask(StopZone(ZONE), Done)
    for _ in range(RETAINED + 2):
        newest = await _publish(relay, changes)
    await followers.ask(ReturnZone(ZONE, forget=False), Done)
    await _reached(followers, newest)
    again = await followers.measure()
    base = empty.resident
    cpu_s = whole.cpu_s - empty.cpu_s
    return Alone(whole.resident - base, whole.peak - base, again.peak - base, cpu_s, sum(whole.received))


async def _publish(relay: Child, changes: ContentChanges) -> int:
    return (await relay.ask(Publish((changes.next(),)), Published)).revision


async def _reached(followers: Child, revision: int) -> None:
    """Waits until the one follower has the revision in force."""
    async with asyncio.timeout(WITHIN_S):
        while not (await followers.ask(Count(revision), Counted)).count:
            await asyncio.sleep(0.1)
