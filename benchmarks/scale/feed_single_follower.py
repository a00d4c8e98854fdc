"""What one follower costs: a process with one replica is compared with the same process without it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from scale.feed_content import ContentChanges
from scale.feed_fleet import INITIAL_BATCH_SIZE
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

RETAINED = 1  # publications: a follower that has missed two needs a snapshot
TIMEOUT_S = 20.0
ZONE = 0


@dataclass(frozen=True, slots=True)
class SingleFollowerCost:
    """Bytes of memory beyond the process without a replica, and seconds of processor time."""

    resident: int
    snapshot_peak: int  # while the first snapshot was loaded
    resnapshot_peak: int  # while another snapshot was loaded into a complete replica
    snapshot_cpu_s: float
    received: int  # bytes of the first snapshot, and of one or two heartbeats


async def single_follower_cost(nodes: int, seed: int) -> SingleFollowerCost:
    """Measures one follower whose content has a row for each node."""
    children = list(await asyncio.gather(Child.start("relay"), Child.start("followers")))
    try:
        return await _measure(children[0], children[1], ContentChanges(nodes, seed))
    finally:
        await asyncio.gather(*(child.end() for child in children))


async def _measure(relay: Child, followers: Child, changes: ContentChanges) -> SingleFollowerCost:
    listening = await relay.call(StartControl("relay-1", RETAINED), Listening)
    initial = list(changes.initial())
    for at in range(0, len(initial), INITIAL_BATCH_SIZE):
        await relay.call(Publish(tuple(initial[at : at + INITIAL_BATCH_SIZE])), Published)
    empty = await followers.measure()
    address = Address("relay-1", "north", listening.ports[0])
    spec = FollowerSpec("broker-0000", "north", ZONE, True, (address,))
    await followers.call(StartFollowers((spec,), 1, share=False), Done)
    await _wait_until_in_force(followers, await _publish(relay, changes))
    loaded = await followers.measure()
    await followers.call(StopZone(ZONE), Done)
    for _ in range(RETAINED + 2):
        newest = await _publish(relay, changes)
    await followers.call(ReturnZone(ZONE, forget=False), Done)
    await _wait_until_in_force(followers, newest)
    reloaded = await followers.measure()
    base = empty.resident
    cpu_s = loaded.cpu_s - empty.cpu_s
    return SingleFollowerCost(
        loaded.resident - base, loaded.peak - base, reloaded.peak - base, cpu_s, sum(loaded.received)
    )


async def _publish(relay: Child, changes: ContentChanges) -> int:
    return (await relay.call(Publish((changes.next(),)), Published)).revision


async def _wait_until_in_force(followers: Child, revision: int) -> None:
    """Waits until the follower has the revision in force."""
    async with asyncio.timeout(TIMEOUT_S):
        while not (await followers.call(Count(revision), Counted)).count:
            await asyncio.sleep(0.1)
