"""Plays a scene: brokers with duties as processes, a fault proxy between them, faults by schedule, then the audit.

A reporter keeps reporting servers as suspect, so that the holder of the probe duty acts all the time and its acts
show in the records of the proxy.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

import msgspec

from badgerbend.config import decode
from badgerbend.config.fleet import Duties, VoterEndpoint
from badgerbend.config.reading import load, only_form, read_text
from badgerbend.config.settings import Log, Settings
from badgerbend.config.value_types import Count, CountOrZero, NonNegative, Positive
from badgerbend.discovery.members import parse_address
from badgerbend.lease_service import wire
from badgerbend.leases.messages import LeaseReply, SuspicionReport
from badgerbend.net.seal import DatagramSealer
from badgerbend.net.udp import Address, SealedSocket
from badgerbend.standin.duty_audit import DutyAudit, audit_duties, decode_datagram
from badgerbend.standin.fault_proxy import FaultProxy, Line, free_port
from badgerbend.standin.processes import BrokerProcess
from badgerbend.standin.work import Model
from badgerbend.standin.world import World
from badgerbend.wal.store import create_store

RATES = Path(__file__).parent / "rates" / "broker.conf"
REPORTER = "doubter"
STARTING = 16  # processes that start at once; hundreds would slow each other beyond the time limit of a start
KEY = b"the key of a scene and of nothing else\n"
Who = Literal["holder", "leader", "follower", "voter", "other", "all"]
Do = Literal["kill", "stop", "end", "restart", "cut", "one-way", "delay", "loss", "heal", "cut-voters"]


class Event(msgspec.Struct, frozen=True):
    """A fault, when it happens and to whom; roles are resolved at that moment. Times in seconds.

    for_: how long it lasts; then a killed or ended process is started again, a stopped one resumed, a link healed.
    size: milliseconds of a delay, or the share of a loss.
    """

    do: Do
    at: NonNegative
    who: Who = "holder"
    for_: Positive = 3.0
    size: Positive = 100.0


class Scene(msgspec.Struct, frozen=True):
    """The file of a scene. drift: each broker's clock is fast or slow by this share; the seed decides which."""

    seconds: Positive
    event: tuple[Event, ...] = ()
    brokers: Count = 5
    voters: Count = 3
    drift: NonNegative = 0.0
    seed: CountOrZero = 1

    def __post_init__(self) -> None:
        if self.voters > self.brokers:
            raise ValueError("voters are brokers: there cannot be more voters than brokers")


@dataclass(slots=True)
class SceneResult:
    """The outcome of a scene: its audit, the recorded datagrams and what was done to the processes."""

    audit: DutyAudit
    lines: list[Line]
    began: float  # ms of the proxy's clock
    events: list[tuple[float, str]]  # when each fault began, and what it was
    exit_statuses: list[int]  # of the brokers

    def longest_gap_ms(self, event_index: int, until_s: float) -> float:
        """The longest time in ms without an act in effect, within `until_s` seconds of the event with this index."""
        t = self.events[event_index][0]
        return self.audit.gaps(t, t + until_s * 1000.0)[0][0]

    def as_json(self) -> dict[str, Any]:
        return {
            "rules": [{"name": f.name, "checked": f.checked, "cases": f.cases[:20]} for f in self.audit.findings],
            "holdings": [
                {
                    "duty": h.duty,
                    "epoch": h.epoch,
                    "holder": h.holder,
                    "acts": h.acts,
                    "stale": h.stale,
                    "first_s": round((h.first - self.began) / 1000, 3),
                    "last_s": round((h.last - self.began) / 1000, 3),
                }
                for h in self.audit.holdings
            ],
            "events": [
                {"at_s": round((at - self.began) / 1000, 3), "what": what, "gap_ms": round(self.longest_gap_ms(n, 6.0))}
                for n, (at, what) in enumerate(self.events)
            ],
            "ends": self.exit_statuses,
        }


def load_scene(path: Path) -> Scene:
    """Reads the file of a scene. Raises SettingsError."""
    return decode.decode(Scene, only_form(read_text(path), str(path), "scene"), str(path), "scene")


class _SuspicionReporter(SealedSocket):
    """Keeps reporting the same servers as suspect to every broker; the holder of the duty probes them."""

    def __init__(self, brokers: dict[str, Address], servers: tuple[str, ...], duty: str) -> None:
        super().__init__(DatagramSealer((KEY.strip(),), int(time.time() * 1000)))
        self.brokers, self.report = brokers, wire.encode_peer_message(SuspicionReport(REPORTER, duty, servers))
        self.act_received = asyncio.Event()

    def body(self, body: bytes, source: Address) -> None:
        self.act_received.set()

    async def run(self) -> None:
        while True:
            for address in self.brokers.values():
                self.send(address, self.report)
            await asyncio.sleep(0.2)


class Stage:
    """The processes of a scene, with servers, server list, fault proxy and suspicion reporter.

    duties: values for the brokers' duties section that differ from its defaults.
    """

    def __init__(self, scene: Scene, folder: Path, duties: dict[str, Any]) -> None:
        self.scene, self.folder = scene, folder
        self.rng = random.Random(scene.seed)
        self.lines: list[Line] = []
        self.events: list[tuple[float, str]] = []
        self.names = [f"broker-{i}" for i in range(scene.brokers)]
        self.voters = self.names[: scene.voters]
        self.processes: dict[str, BrokerProcess] = {}
        self.advertised: dict[str, str] = {}
        self.down: set[str] = set()
        self.proxy = FaultProxy(scene.seed, self.lines.append)
        self.duties = duties
        base = load(RATES)
        self.world = World(base.layout.shards, base.layout.cells, base.layout.reach, scene.seed, lambda line: None)
        self.reporter: _SuspicionReporter | None = None
        self.task: asyncio.Future[None] | None = None

    async def start(self) -> None:
        scene, replace = self.scene, msgspec.structs.replace
        (self.folder / "key").write_bytes(KEY)
        base = load(RATES)
        await self.world.start(3, 1, Model(part_ms=1.0, call_ms=0.2))
        ports = {name: free_port(socket.SOCK_DGRAM) for name in self.names}
        for name in self.names:
            self.advertised[name] = await self.proxy.add(name, ports[name])
        voters = tuple(VoterEndpoint(name, self.advertised[name]) for name in self.voters)
        for index, name in enumerate(self.names):
            if name in self.voters:
                create_store(self.folder / name, name, self.voters)
            duties = Duties(
                (str(self.folder / "key"),),
                voters,
                port=ports[name],
                advertise=self.advertised[name],
                store=str(self.folder / name) if name in self.voters else None,
                **self.duties,
            )
            settings: Settings = replace(
                base,
                schema=str((RATES.parent / base.schema).resolve()),
                listen=replace(base.listen, port=free_port()),
                identity=replace(base.identity, index=index, count=scene.brokers),
                discovery=replace(base.discovery, port=self.world.registry.http.address[1]),
                duties=duties,
                log=Log(level="info"),
            )
            rate = 1.0 + self.rng.choice((-1.0, 1.0)) * scene.drift
            program = ["badgerbend", "run"] if not scene.drift else ["badgerbend.standin.drifted"]
            after = [] if not scene.drift else [str(rate)]
            self.processes[name] = BrokerProcess(settings, self.folder / f"{name}.conf", program, after)
        starting = asyncio.Semaphore(STARTING)

        async def start(process: BrokerProcess) -> None:
            async with starting:
                await process.start()

        await asyncio.gather(*(start(p) for p in self.processes.values()))
        brokers = {name: parse_address(at) for name, at in self.advertised.items()}
        self.reporter = _SuspicionReporter(brokers, tuple(self.world.servers), "probe")
        port = free_port(socket.SOCK_DGRAM)
        await self.reporter.open("127.0.0.1", port)
        self.reporter.own_address = parse_address(await self.proxy.add(REPORTER, port))
        self.task = asyncio.ensure_future(self.reporter.run())
        async with asyncio.timeout(30.0):  # the first act shows that a broker holds the duty
            await self.reporter.act_received.wait()

    # -- current roles, from the recorded datagrams
    def who(self, who: Who) -> list[str]:
        up = [n for n in self.names if n not in self.down]
        holder, leader = self.holder(), self.leader()
        match who:
            case "holder":
                return [holder]
            case "leader":
                return [leader]
            case "follower":
                return [self.rng.choice([n for n in self.voters if n in up and n != leader] or self.voters)]
            case "voter":
                return [self.rng.choice([n for n in self.voters if n in up] or self.voters)]
            case "other":
                return [self.rng.choice([n for n in up if n != holder] or up)]
            case "all":
                return list(self.names)

    def holder(self) -> str:
        return next((str(r["from"]) for r in reversed(self.lines) if r["to"] == REPORTER), self.names[0])

    def leader(self) -> str:
        for row in reversed(self.lines):
            message = decode_datagram(row["data"])
            if isinstance(message, LeaseReply) and message.is_leader:
                return message.source
        return self.voters[0]

    # -- events
    async def event(self, event: Event) -> None:
        await asyncio.sleep(event.at)
        names = self.who(event.who)
        self.events.append((time.monotonic() * 1000.0, f"{event.do} {' '.join(names)}"))
        if event.do == "restart":
            for name in names:  # a rolling restart
                await self.processes[name].terminate()
                await self.processes[name].start()
            return
        await asyncio.gather(*(self._do(event, name) for name in names))

    async def _do(self, event: Event, name: str) -> None:
        process, others = self.processes[name], [n for n in (*self.names, REPORTER) if n != name]
        match event.do:
            case "kill" | "end":
                self.down.add(name)
                await (process.kill() if event.do == "kill" else process.terminate())
                await asyncio.sleep(event.for_)
                await process.start()
                self.down.discard(name)
            case "stop":
                process.send(signal.SIGSTOP)
                await asyncio.sleep(event.for_)
                process.send(signal.SIGCONT)
            case "heal":
                self.proxy.heal()
            case "cut" | "one-way" | "delay" | "loss" | "cut-voters":
                state: dict[str, Any] = {"cut": True}
                if event.do == "delay":
                    state = {"delay_s": event.size / 1000.0}
                elif event.do == "loss":
                    state = {"loss": event.size}
                to = [n for n in self.voters if n != name] if event.do == "cut-voters" else others
                self.proxy.between([name], to, event.do != "one-way", **state)
                await asyncio.sleep(event.for_)
                self.proxy.between([name], to, event.do != "one-way", cut=False, delay_s=0.0, loss=0.0)

    async def stop(self) -> list[int]:
        if self.task is not None:  # None if the start failed earlier
            self.task.cancel()
        ends = await asyncio.gather(*(p.terminate() for p in self.processes.values() if p.process is not None))
        await self.world.close()
        if self.reporter is not None:
            self.reporter.close_socket()
        self.proxy.close()
        return list(ends)


async def play(scene: Scene, keep: Path | None = None, **duties: Any) -> SceneResult:
    """Plays a scene and audits it.

    keep: a folder for stores, settings and logs, else they are deleted. duties: values for the brokers' duties section.
    """
    with contextlib.ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        os.makedirs(folder, exist_ok=True)
        stage = Stage(scene, folder, {"probe_every_ms": 40.0, **duties})
        ends: list[int] = []
        try:
            await stage.start()
            began = time.monotonic() * 1000.0
            events = [asyncio.ensure_future(stage.event(e)) for e in scene.event]
            await asyncio.sleep(scene.seconds)
            done = await asyncio.gather(*events, return_exceptions=True)
            for outcome in done:
                if isinstance(outcome, BaseException):
                    raise outcome
        finally:
            ends = await stage.stop()
        return SceneResult(audit_duties(stage.lines), stage.lines, began, stage.events, ends)
