"""The faults ("troubles") of a day: each is a coroutine that causes a fault for a while and then ends it.

They act through a `DayControl`: commands to the servers, the server list, the brokers' processes and the clients.
Random choices come from the day's seed.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, Literal, Protocol

import msgspec

from badgerbend.config.value_types import CountOrZero, Fraction, Name, NonNegative, Positive
from badgerbend.standin.registry import Registry
from badgerbend.standin.traffic import LoadGenerator


class Trouble(msgspec.Struct, frozen=True):
    """A fault in the file of a day. Times in seconds.

    part: the share of servers or requests affected; zone: the zone of the site affected. The meaning of size and how
    depends on the kind.
    """

    kind: Name
    at: NonNegative
    for_: Positive = 5.0
    part: Fraction = 0.1
    size: Positive = 1.0
    zone: CountOrZero = 0
    how: Literal["", "silence", "reset", "loss", "refuse", "slow", "crash", "hang"] = ""


class DayControl(Protocol):
    """What faults act on."""

    registry: Registry
    load: LoadGenerator
    rng: random.Random
    names: list[str]
    zones: dict[str, int]
    broker_zones: list[int]
    shards: int

    def send_command(self, do: str, names: list[str], **more: Any) -> None:
        """Sends a command to the processes of these servers."""

    async def restart_broker(self, index: int, after_s: float) -> None: ...


TroubleRunner = Callable[[DayControl, Trouble], Awaitable[None]]
POISON = 66_600.0


def _sample_servers(day: DayControl, part: float) -> list[str]:
    return day.rng.sample(day.names, max(1, round(part * len(day.names))))


def set_listed_state(day: DayControl, name: str, state: str) -> None:
    """Sets a server's state in the server list; a server that becomes ready is listed as just started."""
    entry = day.registry.entries[name]
    entry.state = state
    if state == "ready":
        entry.started = time.time()
    day.registry.changed()


async def _restart(day: DayControl, names: list[str]) -> None:
    """Restarts servers cold and lists them as ready."""
    day.send_command("restart", names)
    await asyncio.sleep(0.05)
    for name in names:
        set_listed_state(day, name, "ready")


async def crash(day: DayControl, t: Trouble) -> None:
    """Servers crash, and the server list shows it half a second later."""
    names = _sample_servers(day, t.part)
    day.send_command("crash", names)
    await asyncio.sleep(min(0.5, t.for_))  # until the list shows it
    for name in names:
        set_listed_state(day, name, "gone")
    await asyncio.sleep(t.for_)
    await _restart(day, names)


async def vanish(day: DayControl, t: Trouble) -> None:
    """Servers stop answering without closing connections, while the list shows them as ready; then they restart."""
    names = _sample_servers(day, t.part)
    day.send_command("set", names, faults={"silent": True})
    await asyncio.sleep(t.for_)
    await _restart(day, names)


def switched(on: dict[str, Any], off: dict[str, Any]) -> TroubleRunner:
    """A kind that sets these `Faults` of some servers and later resets them; None stands for the fault's size."""

    async def play(day: DayControl, t: Trouble) -> None:
        names = _sample_servers(day, t.part)
        day.send_command("set", names, faults={k: t.size if v is None else v for k, v in on.items()})
        await asyncio.sleep(t.for_)
        day.send_command("set", names, faults=off)

    return play


async def slow(day: DayControl, t: Trouble) -> None:
    """Some servers take `size` times as long."""
    names = _sample_servers(day, t.part)
    day.send_command("slower", names, by=t.size)
    await asyncio.sleep(t.for_)
    day.send_command("slower", names, by=1.0)


async def shared_slow(day: DayControl, t: Trouble) -> None:
    """All servers take `size` times as long, as when they share a slow dependency."""
    day.send_command("slower", day.names, by=t.size)
    await asyncio.sleep(t.for_)
    day.send_command("slower", day.names, by=1.0)


async def neighbour(day: DayControl, t: Trouble) -> None:
    """Another workload on the machines repeatedly takes a share, `size`, of their cores for a second or two."""
    names, end = _sample_servers(day, t.part), time.monotonic() + t.for_
    while time.monotonic() < end:
        day.send_command("slower", names, by=1.0 / max(1.0 - t.size, 0.05))
        await asyncio.sleep(day.rng.uniform(1.0, 2.0))
        day.send_command("slower", names, by=1.0)
        await asyncio.sleep(day.rng.uniform(0.5, 1.0))


async def ageing(day: DayControl, t: Trouble) -> None:
    """Some servers slow down gradually to `size` times their usual duration, then crash and restart."""
    names = _sample_servers(day, t.part)
    for i in range(1, 11):
        day.send_command("slower", names, by=1.0 + (t.size - 1.0) * i / 10)
        await asyncio.sleep(t.for_ / 10)
    day.send_command("crash", names)
    await asyncio.sleep(1.0)
    await _restart(day, names)


async def flapping(day: DayControl, t: Trouble) -> None:
    """Some servers repeatedly crash, or hang, and restart, each by a random schedule."""

    async def flap(name: str) -> None:
        end = time.monotonic() + t.for_
        while time.monotonic() < end:
            await asyncio.sleep(day.rng.uniform(0.5, 1.5) * t.size)
            if t.how == "hang":
                day.send_command("set", [name], faults={"silent": True})
            else:
                day.send_command("crash", [name])
            await asyncio.sleep(day.rng.uniform(0.5, 1.5) * t.size)
            await _restart(day, [name])

    await asyncio.gather(*(flap(name) for name in _sample_servers(day, t.part)))


async def pauses(day: DayControl, t: Trouble) -> None:
    """Some servers repeatedly stall for `size` milliseconds."""
    names, end = _sample_servers(day, t.part), time.monotonic() + t.for_
    while time.monotonic() < end:
        for name in names:
            day.send_command("pause", [name], ms=t.size)
        await asyncio.sleep(day.rng.uniform(0.5, 1.5) * 1.5)


async def idle_reap(day: DayControl, t: Trouble) -> None:
    """The network loses connections that were idle for more than `size` milliseconds."""
    names = _sample_servers(day, t.part)
    day.send_command("set", names, faults={"reap_ms": t.size, "reap_how": t.how or "silence"})
    await asyncio.sleep(t.for_)
    day.send_command("set", names, faults={"reap_ms": 0.0})


async def one_sided(day: DayControl, t: Trouble) -> None:
    """Some servers are faulty for the first broker only."""
    names = _sample_servers(day, t.part)
    bad = {"bad_for": [0], "bad_how": t.how or "loss", "bad_ms": t.size}
    day.send_command("set", names, faults=bad)
    await asyncio.sleep(t.for_)
    day.send_command("set", names, faults={"bad_for": []})


async def zone_cut(day: DayControl, t: Trouble) -> None:
    """One zone is partitioned from the others: calls between it and them are lost."""
    cut = day.rng.choice(sorted(set(day.zones.values())))
    for name, zone in day.zones.items():
        bad = [i for i, z in enumerate(day.broker_zones) if (z == cut) != (zone == cut)]
        day.send_command("set", [name], faults={"bad_for": bad, "bad_how": "loss"})
    await asyncio.sleep(t.for_)
    day.send_command("set", day.names, faults={"bad_for": []})


async def deploy(day: DayControl, t: Trouble) -> None:
    """Restarts servers in batches of `size`: they are listed as draining, end 1.5 s later and come back cold."""
    names = _sample_servers(day, t.part)
    batch = max(1, round(t.size))
    for at in range(0, len(names), batch):
        batch_names = names[at : at + batch]
        for name in batch_names:
            set_listed_state(day, name, "draining")
        await asyncio.sleep(1.5)
        day.send_command("crash", batch_names)
        for name in batch_names:
            set_listed_state(day, name, "gone")
        await asyncio.sleep(0.3)
        await _restart(day, batch_names)
        await asyncio.sleep(max(0.0, t.for_ / (len(names) / batch) - 1.9))


async def burst(day: DayControl, t: Trouble) -> None:
    """Traffic is `size` times the usual."""
    day.load.rate_factor *= t.size
    await asyncio.sleep(t.for_)
    day.load.rate_factor /= t.size


async def hot_key(day: DayControl, t: Trouble) -> None:
    """A share, `part`, of the requests begins with the same block."""
    day.load.hot, day.load.hot_share = [day.rng.randrange(day.shards)], t.part
    await asyncio.sleep(t.for_)
    day.load.hot = None


async def heavy_tail(day: DayControl, t: Trouble) -> None:
    """A share, `part`, of the rate-compares costs many times the usual work."""
    day.load.heavy_share = t.part
    await asyncio.sleep(t.for_)
    day.load.heavy_share = 0.0


async def poison(day: DayControl, t: Trouble) -> None:
    """Queries with a certain amount crash the server that begins them; at the end the crashed servers restart cold."""
    day.send_command("poison", day.names, amount=POISON)
    day.load.poison, day.load.poison_share = POISON, t.part
    await asyncio.sleep(t.for_)
    day.load.poison = None
    await asyncio.sleep(1.0)
    day.send_command("poison", day.names, amount=None)
    day.send_command("revive", day.names)


async def list_late(day: DayControl, t: Trouble) -> None:
    """The server list shows changes `size` seconds late."""
    day.registry.lag_s = t.size
    await asyncio.sleep(t.for_)
    day.registry.lag_s = 0.0


async def list_gone(day: DayControl, t: Trouble) -> None:
    """The server list is unreachable."""
    day.registry.set_down(True)
    await asyncio.sleep(t.for_)
    day.registry.set_down(False)


async def list_lies(day: DayControl, t: Trouble) -> None:
    """The server list contains malformed rows beside the correct ones."""
    day.registry.extra = [7, {"Service": {"ID": "x", "Port": 99999}}, {"Service": None}, {"Node": {}}]
    day.registry.changed()
    await asyncio.sleep(t.for_)
    day.registry.extra = []
    day.registry.changed()


async def broker_roll(day: DayControl, t: Trouble) -> None:
    """Kills and restarts all brokers one after the other; each is down for `size` seconds."""
    for index in range(len(day.broker_zones)):
        await day.restart_broker(index, t.size)
        await asyncio.sleep(t.for_ / len(day.broker_zones))


async def broker_crash(day: DayControl, t: Trouble) -> None:
    """Kills a random broker and restarts it."""
    await day.restart_broker(day.rng.randrange(len(day.broker_zones)), t.for_)


def _sample_site(day: DayControl, t: Trouble) -> list[str]:
    """A random share, `part`, of the servers of a zone."""
    servers = sorted(name for name, zone in day.zones.items() if zone == t.zone)
    return servers if t.part >= 1.0 else sorted(day.rng.sample(servers, max(1, round(t.part * len(servers)))))


async def _fail(day: DayControl, names: list[str], how: str) -> None:
    """Makes servers fail.

    hang: they accept calls and never answer. silence: they crash, and the list goes on to show them as ready.
    Otherwise they crash, and the list shows it half a second later.
    """
    if how == "hang":
        day.send_command("set", names, faults={"silent": True})
        return
    day.send_command("crash", names)
    if how != "silence":
        await asyncio.sleep(0.5)
        for name in names:
            set_listed_state(day, name, "gone")


async def site_lost(day: DayControl, t: Trouble) -> None:
    """A share of a site's servers fails at the same time, and later all of them restart cold."""
    names = _sample_site(day, t)
    await _fail(day, names, t.how)
    await asyncio.sleep(t.for_)
    await _restart(day, names)


async def site_flaps(day: DayControl, t: Trouble) -> None:
    """A site repeatedly fails and comes back, each time for 2 to 12 seconds; it is up at the end."""
    names, end = _sample_site(day, t), time.monotonic() + t.for_
    while time.monotonic() < end:
        await _fail(day, names, t.how)
        await asyncio.sleep(day.rng.uniform(2.0, 12.0))
        await _restart(day, names)
        await asyncio.sleep(day.rng.uniform(2.0, 12.0))


async def site_slow(day: DayControl, t: Trouble) -> None:
    """The servers of a site take `size` times as long."""
    names = _sample_site(day, t)
    day.send_command("slower", names, by=t.size)
    await asyncio.sleep(t.for_)
    day.send_command("slower", names, by=1.0)


async def site_cut(day: DayControl, t: Trouble) -> None:
    """A site is unreachable for the first broker only, which may be one of its own."""
    names = _sample_site(day, t)
    day.send_command("set", names, faults={"bad_for": [0], "bad_how": t.how or "loss", "bad_ms": t.size})
    await asyncio.sleep(t.for_)
    day.send_command("set", names, faults={"bad_for": []})


async def rising(day: DayControl, t: Trouble) -> None:
    """Traffic grows to `size` times the usual in ten steps, stays there, and returns to normal at once."""
    before = day.load.rate_factor
    for i in range(1, 11):
        day.load.rate_factor = before * (1.0 + (t.size - 1.0) * i / 10)
        await asyncio.sleep(t.for_ / 20)
    await asyncio.sleep(t.for_ / 2)
    day.load.rate_factor = before


KINDS: dict[str, TroubleRunner] = {
    "crash": crash,
    "vanish": vanish,
    "hang": switched({"silent": True}, {"silent": False}),
    "errors": switched({"errors": None}, {"errors": 0.0}),
    "full": switched({"full": None}, {"full": 0.0}),
    "handshake-slow": switched({"handshake_ms": None}, {"handshake_ms": 0.0}),
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
