"""Summarizes brokers' logs by phase of a day: queries, attempts, handshakes, connections and failed list requests.

Each line of a log is a time in seconds and a JSON object, as `badgerbend.platform` writes it. Each process writes a
summary every five seconds, which counts in the phase in which it was written. What a process counted after its last
summary is unknown, so the figures of killed brokers are slightly too low.

    python benchmarks/fleetlog.py LOGS [--phase 5]
"""

from __future__ import annotations

import argparse
import statistics
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

LOST = ("TIMEOUT", "RESET", "ERROR", "CONNECT_FAILED", "FULL")


@dataclass
class Phase:
    """The totals of all brokers' log lines in one phase."""

    brokers: set[str] = field(default_factory=set)
    ends: Counter[str] = field(default_factory=Counter)
    why: Counter[str] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)
    by_server: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    first_losses: int = 0  # pairs of broker process and server that lost their first attempt in this phase
    opened: int = 0
    nodes: list[int] = field(default_factory=list)  # open connections to nodes, in each summary
    failed_lists: int = 0


def lines(path: Path) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yields the lines of a log in order, without malformed ones such as the last line of a killed broker."""
    for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
        at, _, rest = text.partition(" ")
        try:
            yield float(at), msgspec.json.decode(rest)
        except (ValueError, msgspec.DecodeError):
            continue


def read_phases(folder: Path, span: float) -> dict[int, Phase]:
    """Reads all logs in a folder. Returns the phases, each `span` seconds long, by number."""
    phases: dict[int, Phase] = defaultdict(Phase)
    for path in sorted(folder.glob("n*.log")):
        opened, lossy = 0, set[str]()
        for at, line in lines(path):
            phase = phases[int(at // span)]
            if line["what"] == "listening":
                opened, lossy = 0, set()
            elif line["what"] == "trouble" and line["kind"] == "list not read":
                phase.failed_lists += 1
            elif line["what"] == "summary":
                _add_summary(phase, path.stem, line, opened, lossy)
                opened = line.get("opened", opened)
    return phases


def _add_summary(phase: Phase, broker: str, line: dict[str, Any], opened: int, lossy: set[str]) -> None:
    phase.brokers.add(broker)
    phase.opened += line.get("opened", opened) - opened
    phase.nodes.append(line.get("nodes", 0))
    for text, count in line["queries"].items():
        cls, _, how = text.partition(" ")
        end, _, why = how.partition(": ")
        phase.ends[end] += count
        if why:
            phase.why[f"{cls}: {why}"] += count
    for server, ends in line["servers"].items():
        counts = {k: n for k, n in ends.items() if k != "served_ms"}
        phase.attempts.update(counts)
        phase.by_server[server].update(counts)
        if server not in lossy and any(counts.get(k) for k in LOST):
            lossy.add(server)
            phase.first_losses += 1


def row(phase: Phase, span: float) -> list[str]:
    """Formats a phase as a row of the table, without its first column."""
    queries, attempts = sum(phase.ends.values()), sum(phase.attempts.values())
    servers = max(len(phase.by_server), 1)
    each = [sum(c.values()) for c in phase.by_server.values()] or [0]
    lost = {s: sum(c[k] for k in LOST) for s, c in phase.by_server.items()}
    worst = sorted(lost.values(), reverse=True)[: max(servers // 8, 1)]
    mean = statistics.fmean(each)
    return [
        str(len(phase.brokers)),
        str(queries),
        *(f"{100 * phase.ends[how] / max(queries, 1):.0f}" for how in ("answered", "refused", "failed")),
        f"{attempts / max(queries, 1):.1f}",
        f"{100 * sum(lost.values()) / max(attempts, 1):.1f}",
        f"{100 * sum(worst) / max(sum(lost.values()), 1):.0f}",
        str(phase.first_losses),
        f"{phase.opened / servers / span:.2f}",
        f"{sum(phase.nodes) / servers:.0f}",
        str(phase.failed_lists),
        f"{max(each) / max(mean, 1e-9):.1f}",
        f"{statistics.pvariance(each) / max(mean, 1e-9):.1f}",
    ]


HEADS = (
    "from s",
    "brokers",
    "queries",
    "answered %",
    "refused %",
    "failed %",
    "attempts/query",
    "lost %",
    "of them at the worst eighth %",
    "first losses",
    "handshakes/server/s",
    "connections/server",
    "lists not read",
    "largest/mean",
    "variance/mean",
)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", type=Path)
    parser.add_argument("--phase", type=float, default=5.0, help="seconds")
    args = parser.parse_args()
    phases = read_phases(args.logs, args.phase)
    if not phases:
        print(f"{args.logs}: no logs of brokers (n*.log)", file=sys.stderr)
        return 2
    print("| " + " | ".join(HEADS) + " |\n" + "|---" * len(HEADS) + "|")
    why: Counter[str] = Counter()
    for place, phase in sorted(phases.items()):
        print("| " + " | ".join([f"{place * args.phase:g}", *row(phase, args.phase)]) + " |")
        why += phase.why
    for text, count in why.most_common(12):
        print(f"{count:6} {text}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
