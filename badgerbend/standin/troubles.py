"""The troubles of a day: each is a coroutine that makes something go wrong for a while, and right again.

They act through a `Scene`: the fleet by commands, the list, the brokers' processes, the clients. What is chosen
by chance comes from the day's seed.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, Literal, Protocol

import msgspec

from badgerbend.config.kinds import CountOrNone, Name, NotNegative, Positive, Share
from badgerbend.standin.registry import Registry
from badgerbend.standin.traffic import Asker


class Trouble(msgspec.Struct, frozen=True):
    """Times in seconds. part: share of the servers; zone: of a site's; size and how as the kind has them."""

    kind: Name
    at: NotNegative
    for_: Positive = 5.0
    part: Share = 0.1
    size: Positive = 1.0
    zone: CountOrNone = 0
    how: Literal["", "silence", "reset", "loss", "refuse", "slow", "crash", "hang"] = ""


class Scene(Protocol):
    """What troubles act on."""

    registry: Registry
    asker: Asker
    rng: random.Random
    names: list[str]
    zones: dict[str, int]
    broker_zones: list[int]
    shards: int

    def tell(self, do: str, names: list[str], **more: Any) -> None:
        """A command to the fleet."""

    async def restart_broker(self, index: int, after_s: float) -> None: ...


Play = Callable[[Scene, Trouble], Awaitable[None]]
POISON = 66_600.0


def _some(scene: Scene, part: float) -> list[str]:
    return scene.rng.sample(scene.names, max(1, round(part * len(scene.names))))


def listed(scene: Scene, name: str, state: str) -> None:
    """The list's word on a server; a ready one has just started."""
    entry = scene.registry.entries[name]
    entry.state = state
    if state == "ready":
        entry.started = time.time()
    scene.registry.changed()


async def _come_back(scene: Scene, names: list[str]) -> None:
    scene.tell("restart", names)
    await asyncio.sleep(0.05)
    for name in names:
        listed(scene, name, "ready")


async def crash(scene: Scene, t: Trouble) -> None:
    names = _some(scene, t.part)
    scene.tell("crash", names)
    await asyncio.sleep(min(0.5, t.for_))  # the list follows late
    for name in names:
        listed(scene, name, "gone")
    await asyncio.sleep(t.for_)
    await _come_back(scene, names)


async def vanish(scene: Scene, t: Trouble) -> None:
    names = _some(scene, t.part)
    scene.tell("set", names, faults={"silent": True})
    await asyncio.sleep(t.for_)
    await _come_back(scene, names)


def faulty(on: dict[str, Any], off: dict[str, Any]) -> Play:
    async def play(scene: Scene, t: Trouble) -> None:
        names = _some(scene, t.part)
        scene.tell("set", names, faults={k: t.size if v is None else v for k, v in on.items()})
        await asyncio.sleep(t.for_)
        scene.tell("set", names, faults=off)

    return play


async def slow(scene: Scene, t: Trouble) -> None:
    names = _some(scene, t.part)
    scene.tell("slower", names, by=t.size)
    await asyncio.sleep(t.for_)
    scene.tell("slower", names, by=1.0)


async def shared_slow(scene: Scene, t: Trouble) -> None:
    scene.tell("slower", scene.names, by=t.size)
    await asyncio.sleep(t.for_)
    scene.tell("slower", scene.names, by=1.0)


async def neighbour(scene: Scene, t: Trouble) -> None:
    """Another tenant of the machines takes a share, `size`, of their cores by turns of a second or two."""
    names, end = _some(scene, t.part), time.monotonic() + t.for_
    while time.monotonic() < end:
        scene.tell("slower", names, by=1.0 / max(1.0 - t.size, 0.05))
        await asyncio.sleep(scene.rng.uniform(1.0, 2.0))
        scene.tell("slower", names, by=1.0)
        await asyncio.sleep(scene.rng.uniform(0.5, 1.0))


async def ageing(scene: Scene, t: Trouble) -> None:
    names = _some(scene, t.part)
    for i in range(1, 11):
        scene.tell("slower", names, by=1.0 + (t.size - 1.0) * i / 10)
        await asyncio.sleep(t.for_ / 10)
    scene.tell("crash", names)
    await asyncio.sleep(1.0)
    await _come_back(scene, names)


async def flapping(scene: Scene, t: Trouble) -> None:
    async def one(name: str) -> None:
        end = time.monotonic() + t.for_
        while time.monotonic() < end:
            await asyncio.sleep(scene.rng.uniform(0.5, 1.5) * t.size)
            if t.how == "hang":
                scene.tell("set", [name], faults={"silent": True})
            else:
                scene.tell("crash", [name])
            await asyncio.sleep(scene.rng.uniform(0.5, 1.5) * t.size)
            await _come_back(scene, [name])

    await asyncio.gather(*(one(name) for name in _some(scene, t.part)))


async def pauses(scene: Scene, t: Trouble) -> None:
    names, end = _some(scene, t.part), time.monotonic() + t.for_
    while time.monotonic() < end:
        for name in names:
            scene.tell("pause", [name], ms=t.size)
        await asyncio.sleep(scene.rng.uniform(0.5, 1.5) * 1.5)


async def idle_reap(scene: Scene, t: Trouble) -> None:
    names = _some(scene, t.part)
    scene.tell("set", names, faults={"reap_ms": t.size, "reap_how": t.how or "silence"})
    await asyncio.sleep(t.for_)
    scene.tell("set", names, faults={"reap_ms": 0.0})


async def one_sided(scene: Scene, t: Trouble) -> None:
    names = _some(scene, t.part)
    bad = {"bad_for": [0], "bad_how": t.how or "loss", "bad_ms": t.size}
    scene.tell("set", names, faults=bad)
    await asyncio.sleep(t.for_)
    scene.tell("set", names, faults={"bad_for": []})


async def zone_cut(scene: Scene, t: Trouble) -> None:
    cut = scene.rng.choice(sorted(set(scene.zones.values())))
    for name, zone in scene.zones.items():
        bad = [i for i, z in enumerate(scene.broker_zones) if (z == cut) != (zone == cut)]
        scene.tell("set", [name], faults={"bad_for": bad, "bad_how": "loss"})
    await asyncio.sleep(t.for_)
    scene.tell("set", scene.names, faults={"bad_for": []})


async def deploy(scene: Scene, t: Trouble) -> None:
    """Batches of `size` servers: listed as draining, ended 1.5 s later, back cold."""
    names = _some(scene, t.part)
    batch = max(1, round(t.size))
    for at in range(0, len(names), batch):
        some = names[at : at + batch]
        for name in some:
            listed(scene, name, "draining")
        await asyncio.sleep(1.5)
        scene.tell("crash", some)
        for name in some:
            listed(scene, name, "gone")
        await asyncio.sleep(0.3)
        await _come_back(scene, some)
        await asyncio.sleep(max(0.0, t.for_ / (len(names) / batch) - 1.9))


async def burst(scene: Scene, t: Trouble) -> None:
    scene.asker.rate *= t.size
    await asyncio.sleep(t.for_)
    scene.asker.rate /= t.size


async def hot_key(scene: Scene, t: Trouble) -> None:
    scene.asker.hot, scene.asker.hot_share = [scene.rng.randrange(scene.shards)], t.part
    await asyncio.sleep(t.for_)
    scene.asker.hot = None


async def heavy_tail(scene: Scene, t: Trouble) -> None:
    scene.asker.heavy_share = t.part
    await asyncio.sleep(t.for_)
    scene.asker.heavy_share = 0.0


async def poison(scene: Scene, t: Trouble) -> None:
    """Queries with a certain amount kill the server that begins them; the dead come back cold, some at a time."""
    scene.tell("poison", scene.names, amount=POISON)
    scene.asker.poison, scene.asker.poison_share = POISON, t.part
    await asyncio.sleep(t.for_)
    scene.asker.poison = None
    await asyncio.sleep(1.0)
    scene.tell("poison", scene.names, amount=None)
    scene.tell("revive", scene.names)


async def list_late(scene: Scene, t: Trouble) -> None:
    scene.registry.lag_s = t.size
    await asyncio.sleep(t.for_)
    scene.registry.lag_s = 0.0


async def list_gone(scene: Scene, t: Trouble) -> None:
    scene.registry.set_down(True)
    await asyncio.sleep(t.for_)
    scene.registry.set_down(False)


async def list_lies(scene: Scene, t: Trouble) -> None:
    """Absurd lines among the true ones."""
    scene.registry.extra = [7, {"Service": {"ID": "x", "Port": 99999}}, {"Service": None}, {"Node": {}}]
    scene.registry.changed()
    await asyncio.sleep(t.for_)
    scene.registry.extra = []
    scene.registry.changed()


async def broker_roll(scene: Scene, t: Trouble) -> None:
    """All brokers are restarted, one after the other, each down for `size` seconds."""
    for index in range(len(scene.broker_zones)):
        await scene.restart_broker(index, t.size)
        await asyncio.sleep(t.for_ / len(scene.broker_zones))


async def broker_crash(scene: Scene, t: Trouble) -> None:
    await scene.restart_broker(scene.rng.randrange(len(scene.broker_zones)), t.for_)


def _site(scene: Scene, t: Trouble) -> list[str]:
    """A share of the servers of a zone, all by default of the kinds that call it."""
    held = sorted(name for name, zone in scene.zones.items() if zone == t.zone)
    return held if t.part >= 1.0 else sorted(scene.rng.sample(held, max(1, round(t.part * len(held)))))


async def _lose(scene: Scene, names: list[str], how: str) -> None:
    """crash: the list says so half a second later. silence: it goes on to call them ready. hang: they swallow all."""
    if how == "hang":
        scene.tell("set", names, faults={"silent": True})
        return
    scene.tell("crash", names)
    if how != "silence":
        await asyncio.sleep(0.5)
        for name in names:
            listed(scene, name, "gone")


async def site_lost(scene: Scene, t: Trouble) -> None:
    """A share of a site's servers is lost at once, and comes back at once, cold."""
    names = _site(scene, t)
    await _lose(scene, names, t.how)
    await asyncio.sleep(t.for_)
    await _come_back(scene, names)


async def site_flaps(scene: Scene, t: Trouble) -> None:
    """A site goes out and in, each time for 2 to 12 seconds; at the end it is in."""
    names, end = _site(scene, t), time.monotonic() + t.for_
    while time.monotonic() < end:
        await _lose(scene, names, t.how)
        await asyncio.sleep(scene.rng.uniform(2.0, 12.0))
        await _come_back(scene, names)
        await asyncio.sleep(scene.rng.uniform(2.0, 12.0))


async def site_slow(scene: Scene, t: Trouble) -> None:
    names = _site(scene, t)
    scene.tell("slower", names, by=t.size)
    await asyncio.sleep(t.for_)
    scene.tell("slower", names, by=1.0)


async def site_cut(scene: Scene, t: Trouble) -> None:
    """A site is out of reach for the first broker alone, which may be one of its own."""
    names = _site(scene, t)
    scene.tell("set", names, faults={"bad_for": [0], "bad_how": t.how or "loss", "bad_ms": t.size})
    await asyncio.sleep(t.for_)
    scene.tell("set", names, faults={"bad_for": []})


async def rising(scene: Scene, t: Trouble) -> None:
    """Traffic grows to `size` times in ten steps, stays, and falls back at once."""
    before = scene.asker.rate
    for i in range(1, 11):
        scene.asker.rate = before * (1.0 + (t.size - 1.0) * i / 10)
        await asyncio.sleep(t.for_ / 20)
    await asyncio.sleep(t.for_ / 2)
    scene.asker.rate = before


KINDS: dict[str, Play] = {
    "crash": crash,
    "vanish": vanish,
    "hang": faulty({"silent": True}, {"silent": False}),
    "errors": faulty({"errors": None}, {"errors": 0.0}),
    "full": faulty({"full": None}, {"full": 0.0}),
    "handshake-slow": faulty({"handshake_ms": None}, {"handshake_ms": 0.0}),
    "slow": slow,
    "shared-slow": shared_slow,
    "neighbour": neighbour,
    "ageing": ageing,
    "flapping": flapping,
    "pauses": pauses,
    "idle-reap": idle_reap,
    "one-sided": one_sided,
    "zone-cut": zone_cut,
    "deploy": deploy,
    "burst": burst,
    "hot-key": hot_key,
    "heavy-tail": heavy_tail,
    "poison": poison,
    "site-lost": site_lost,
    "site-flaps": site_flaps,
    "site-slow": site_slow,
    "site-cut": site_cut,
    "rising": rising,
    "list-late": list_late,
    "list-gone": list_gone,
    "list-lies": list_lies,
    "broker-crash": broker_crash,
    "broker-roll": broker_roll,
}
