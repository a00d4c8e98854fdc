"""Plays a scripted day: servers and brokers as separate processes, traffic and faults by schedule, then the audit."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import socket
import sys
import tempfile
import time
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from badgerbend.config import decode
from badgerbend.config.reading import load, only_form, read_text
from badgerbend.config.settings import Settings
from badgerbend.config.value_types import Count, Name, Positive
from badgerbend.net.fetch import fetch
from badgerbend.standin.audit import AuditLimits, Finding, Line, audit
from badgerbend.standin.processes import wait_until_ready
from badgerbend.standin.registry import Entry, Registry
from badgerbend.standin.site_timeline import Second, seconds
from badgerbend.standin.traffic import Flow, LoadGenerator
from badgerbend.standin.troubles import KINDS, Trouble
from badgerbend.standin.work import Model
from badgerbend.standin.world import place_server

RATES = Path(__file__).parent / "rates" / "broker.conf"
SERVERS_A_PROCESS = 60


class Day(msgspec.Struct, frozen=True):
    """The file of a day. settings: the brokers' file, relative to this one; by default that of the rates example."""

    seconds: Positive
    flow: tuple[Flow, ...]
    trouble: tuple[Trouble, ...] = ()
    settings: Name | None = None
    brokers: Count = 2
    servers: Count = 24
    zones: Count = 2
    seed: Count = 1
    model: Model = msgspec.field(default_factory=Model)

    def __post_init__(self) -> None:
        for trouble in self.trouble:
            if trouble.kind not in KINDS:
                raise ValueError(f"trouble {trouble.kind} is none of {', '.join(KINDS)}")
        if not self.flow:
            raise ValueError("a day needs a flow")


def load_day(path: Path) -> Day:
    """Reads the file of a day. Raises SettingsError."""
    return decode.decode(Day, only_form(read_text(path), str(path), "day"), str(path), "day")


@dataclass(slots=True)
class Result:
    """The outcome of a day. states, times and counts are by the name of the field requested."""

    rules: list[Finding]
    states: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    times: dict[str, Any] = field(default_factory=dict)
    within_aim: Counter[str] = field(default_factory=Counter)
    sent: Counter[str] = field(default_factory=Counter)
    needed: Counter[str] = field(default_factory=Counter)
    server_events: Counter[str] = field(default_factory=Counter)
    cpu_s: dict[str, float] = field(default_factory=dict)
    brokers_hold: dict[int, Any] = field(default_factory=dict)  # each broker's view of the sites at the end
    seconds: list[Second] = field(default_factory=list)  # only if the settings name sites

    def service_lines(self) -> list[str]:
        out = []
        for name in sorted(self.states):
            states, times = self.states[name], self.times[name]
            total = sum(states.values())
            counts = ", ".join(f"{k} {v}" for k, v in sorted(states.items()))
            out.append(
                f"{name}: {total} asked; {counts}; within its aim {self.within_aim[name] / max(total, 1):.1%}; "
                f"ms at 50% {times.get_value_at_percentile(50)}, 99% {times.get_value_at_percentile(99)}; "
                f"parts sent over needed {self.sent[name] / max(self.needed[name], 1):.2f}"
            )
        return out

    def as_json(self) -> dict[str, Any]:
        return {
            "rules": [{"name": r.name, "checked": r.checked, "cases": r.cases[:20]} for r in self.rules],
            "service": {
                name: {
                    "states": dict(states),
                    "within_aim": self.within_aim[name] / max(sum(states.values()), 1),
                    "p50_ms": self.times[name].get_value_at_percentile(50),
                    "p99_ms": self.times[name].get_value_at_percentile(99),
                    "sent_over_needed": self.sent[name] / max(self.needed[name], 1),
                }
                for name, states in self.states.items()
            },
            "servers_saw": dict(self.server_events),
            "cpu_s": self.cpu_s,
            "brokers_hold": {str(k): v for k, v in self.brokers_hold.items()},
            "seconds": [
                {
                    "offered": round(s.offered, 2),
                    "served": round(s.served, 2),
                    "best": round(s.best, 2),
                    "parts": s.parts,
                    "needed": round(s.needed, 1),
                    "sites": {name: asdict(at) for name, at in s.sites.items()},
                    "states": [[*key, n] for key, n in sorted(s.states.items())],
                }
                for s in self.seconds
            ],
        }


class _DayProcesses:
    """The processes of a day; implements the `DayControl` that faults act on."""

    def __init__(self, plan: Day, settings: Settings, schema: Path, folder: Path, policy: str) -> None:
        self.plan, self.settings, self.schema, self.folder = plan, settings, schema, folder
        self.policy = policy
        self.rng = random.Random(plan.seed)
        self.lines: list[Line] = []
        self.registry = Registry(self.record)
        self.names = [f"rates-{i}" for i in range(plan.servers)]
        self.zones: dict[str, int] = {}
        self.broker_zones = [i % plan.zones for i in range(plan.brokers)]
        self.shards = settings.layout.shards
        self.fleets: list[tuple[set[str], asyncio.subprocess.Process]] = []
        self.brokers: dict[int, asyncio.subprocess.Process] = {}
        self.ports: list[int] = []
        self.load: LoadGenerator
        self.cpu: dict[str, float] = {}
        self.sites: dict[int, Any] = {}  # each broker's view of the sites at the end

    def record(self, line: Line) -> None:
        line["t"] = time.monotonic() * 1000.0
        self.lines.append(line)

    def send_command(self, do: str, names: list[str], **more: Any) -> None:
        for server_names, process in self.fleets:
            own_names = [n for n in names if n in server_names]
            if own_names and process.stdin is not None:
                process.stdin.write(msgspec.json.encode({"do": do, "names": own_names, **more}) + b"\n")

    async def start_fleet(self) -> None:
        layout = self.settings.layout
        await self.registry.start()
        for at in range(0, len(self.names), SERVERS_A_PROCESS):
            rows: list[dict[str, Any]] = []
            for i in range(at, min(at + SERVERS_A_PROCESS, len(self.names))):
                server = place_server(i, layout.shards, layout.cells, layout.reach, self.plan.zones)
                self.zones[server.name] = server.zone
                rows.append(asdict(server))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "badgerbend.standin.fleet",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=1 << 24,
            )
            self.fleets.append(({r["name"] for r in rows}, process))
            first = {
                "servers": rows,
                "model": msgspec.to_builtins(self.plan.model),
                "seed": self.plan.seed * 1000 + at,
                "records": str(self.folder / f"fleet-{at}.jsonl"),
            }
            assert process.stdin is not None
            assert process.stdout is not None
            process.stdin.write(msgspec.json.encode(first) + b"\n")
            ports = msgspec.json.decode(await process.stdout.readline())
            for row in rows:
                entry = Entry(row["name"], ports[row["name"]], row["cell"], row["zone"], 0.0)
                self.registry.entries[row["name"]] = entry
        self.registry.changed()

    async def start_brokers(self) -> None:
        for _ in range(self.plan.brokers):
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))
                self.ports.append(unused.getsockname()[1])
        await asyncio.gather(*(self._start_broker(i) for i in range(self.plan.brokers)))

    async def _start_broker(self, index: int) -> None:
        replace = msgspec.structs.replace
        base = self.settings
        own = replace(
            base,
            schema=str(self.schema),
            listen=replace(base.listen, port=self.ports[index]),
            identity=replace(base.identity, index=index, count=self.plan.brokers, zone=self.broker_zones[index]),
            discovery=replace(base.discovery, port=self.registry.http.address[1]),
        )
        conf = self.folder / f"broker-{index}.conf"
        conf.write_text(f"(broker\n{decode.show(own, 1)}\n)\n", encoding="utf-8")
        program = ["badgerbend", "run", str(conf)]
        if self.policy != "module":
            program = ["badgerbend.standin.baseline", str(conf), self.policy]
        with open(self.folder / f"broker-{index}.log", "ab") as log:
            self.brokers[index] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *program, stderr=log, stdout=log
            )
        await wait_until_ready(self.ports[index])

    async def restart_broker(self, index: int, after_s: float) -> None:
        process = self.brokers[index]
        self.record({"k": "broker killed", "broker": index})
        process.kill()
        await process.wait()
        self.record({"k": "broker dead", "broker": index})
        await asyncio.sleep(after_s)
        await self._start_broker(index)

    async def run_trouble(self, trouble: Trouble) -> None:
        await asyncio.sleep(trouble.at)
        await KINDS[trouble.kind](self, trouble)

    async def stop(self) -> None:
        for index, process in self.brokers.items():
            self.cpu[f"broker {index}"] = cpu_s(process.pid)
            if self.settings.sites is not None:
                with contextlib.suppress(ConnectionError):
                    self.sites[index] = await fetch(self.ports[index], "/sites")
            with contextlib.suppress(ProcessLookupError):
                process.terminate()
        for process in self.brokers.values():
            try:
                await asyncio.wait_for(process.wait(), 15.0)
            except TimeoutError:
                process.kill()
        for _, process in self.fleets:
            if process.stdin is not None:
                process.stdin.close()
            await process.wait()
        await self.registry.http.close(0.0)


def cpu_s(pid: int) -> float:
    """CPU seconds that a process has used; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    except OSError:
        return 0.0
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def play(plan: Day, file: Path, keep: Path | None, policy: str = "module") -> Result:
    """Plays a day and audits it.

    file: where the plan was read. keep: a folder for the records and the brokers' logs, else they are deleted.
    policy: "module" or a kind in `badgerbend.standin.baseline`.
    """
    source = file.parent / plan.settings if plan.settings else RATES
    settings = load(source)
    with contextlib.ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        processes = _DayProcesses(plan, settings, (source.parent / settings.schema).resolve(), folder, policy)
        try:
            await processes.start_fleet()
            await processes.start_brokers()
            processes.load = LoadGenerator(processes.ports, processes.shards, plan.seed, processes.lines.append)
            for flow in plan.flow:
                processes.load.start(flow)
            troubles = [asyncio.ensure_future(processes.run_trouble(t)) for t in plan.trouble]
            await asyncio.sleep(plan.seconds)
            processes.load.stop()
            limit = time.monotonic() + max(f.deadline_ms for f in plan.flow) / 1000.0 + 3.0
            while processes.load.in_flight and time.monotonic() < limit:
                await asyncio.sleep(0.05)
            for task in troubles:
                if not task.done():
                    task.cancel()
            done = await asyncio.gather(*troubles, return_exceptions=True)
            processes.load.close()
            for outcome in done:
                if isinstance(outcome, Exception):
                    raise outcome
        finally:
            await processes.stop()
        lines = list(processes.lines)
        for path in sorted(folder.glob("fleet-*.jsonl")):
            with open(path, "rb") as source_lines:
                lines += [msgspec.json.decode(line) for line in source_lines]
        if keep is not None:
            with open(folder / "clients.jsonl", "wb") as sink:
                sink.writelines(msgspec.json.encode(line) + b"\n" for line in processes.lines)
        result = _evaluate(lines, settings, processes.cpu)
        if settings.sites is not None:
            length = int(plan.seconds)
            result.brokers_hold = processes.sites
            result.seconds = seconds(lines, settings, plan.model, processes.zones, processes.broker_zones, length)
        return result


def _evaluate(lines: list[Line], settings: Settings, cpu: dict[str, float]) -> Result:
    result = Result(audit(lines, AuditLimits(settings)), cpu_s=cpu)
    classes = {f.name: next(c for c in settings.class_ if c.name == f.class_) for f in settings.field}
    requests = {line["trace"]: line for line in lines if line["k"] == "ask"}
    by_field = {(a["trace"], f["key"]): f["field"] for a in requests.values() for f in a["fields"]}
    for a in requests.values():
        for f in a["fields"]:
            result.needed[f["field"]] += max(1, round(classes[f["field"]].need * len(f["blocks"])))
    for line in lines:
        if "server" in line:
            result.server_events[line["k"]] += 1
        if line["k"] in ("arrive", "swallowed"):
            for part in line["parts"]:
                name = by_field.get((part["trace"], part["field"]))
                if name is not None and part["kind"] != "entities":
                    result.sent[name] += 1
        if line["k"] != "end" or line["trace"] not in requests:
            continue
        ask = requests[line["trace"]]
        took = line["t"] - ask["t"]
        for f in ask["fields"]:
            name = f["field"]
            got = line["fields"].get(f["key"], {}).get("state", line["how"])
            result.states[name][got] += 1
            if name not in result.times:
                result.times[name] = HdrHistogram(1, 600_000, 3)
            if got in ("whole", "part"):
                result.times[name].record_value(max(1, round(took)))
                result.within_aim[name] += took <= classes[name].aim_ms
    return result
