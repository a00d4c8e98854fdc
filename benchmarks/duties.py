"""Measures how long a lease has no holder after a fault and counts invalid acts, and draws a chart of the holders.

Each run is a scene of broker processes with its own seed, in which one kind of fault occurs twice. The processes are
connected over loopback by proxies that can cut connections.

    python benchmarks/duties.py [--runs 3] [--kinds kill,stop,end] [--chart holders.png]
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from pathlib import Path

import uvloop

sys.path[:0] = [str(Path(__file__).parent.parent)]

from badgerbend.standin.scene import Event, Scene, SceneResult, load_scene, play  # noqa: E402

ALL_FAULTS = Path(__file__).parent.parent / "examples" / "duties" / "all-faults.conf"
KINDS = {  # name: action, target, duration in seconds
    "SIGTERM": ("end", "holder", 1.0),
    "SIGKILL": ("kill", "holder", 3.5),
    "SIGSTOP": ("stop", "holder", 4.0),
    "cut off": ("cut", "holder", 4.0),
    "cut off from voters": ("cut-voters", "holder", 4.0),
    "cut one way": ("one-way", "holder", 4.0),
    "leader SIGKILL": ("kill", "leader", 2.0),
    "leader SIGSTOP": ("stop", "leader", 4.0),
}


def scene_of(kind: str, seed: int) -> Scene:
    """Returns a scene in which one kind of fault occurs twice."""
    action, target, duration_s = KINDS[kind]
    events = tuple(Event(action, at, target, duration_s) for at in (1.0, 8.0))  # type: ignore[arg-type]
    return Scene(seconds=14.0, event=events, brokers=5, drift=0.01, seed=seed)


def chart(result: SceneResult, path: Path) -> None:
    """Draws which process acted when, and the faults that were injected."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    names = sorted({h.holder for h in result.audit.holdings})
    figure, axis = plt.subplots(figsize=(10, 3))
    for h in result.audit.holdings:
        first, last = ((t - result.began) / 1000 for t in (h.first, h.last))
        axis.barh(names.index(h.holder), max(last - first, 0.05), left=first, height=0.6)
        axis.text(first, names.index(h.holder) + 0.35, f"{h.epoch}", fontsize=7)
    for at, what in result.events:
        axis.axvline((at - result.began) / 1000, color="0.6", lw=0.6)
        axis.text((at - result.began) / 1000, len(names) - 0.4, what, fontsize=6, rotation=25)
    axis.set_yticks(range(len(names)), names)
    axis.set_xlabel("s; bars: acts under one epoch, its number above")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--kinds", default=",".join(KINDS))
    parser.add_argument("--chart", type=Path)
    args = parser.parse_args()
    violations = runs = 0
    print("| what is done | runs | ms without an act, median (least to most) | acts | out of turn |")
    print("|---|---|---|---|---|")
    for kind in args.kinds.split(","):
        gaps, acts, invalid, began = list[float](), 0, 0, time.monotonic()
        for seed in range(args.runs):
            result = uvloop.run(play(scene_of(kind, seed)))
            gaps += [result.longest_gap_ms(n, 6.0) for n in range(len(result.events))]
            acts += sum(h.acts for h in result.audit.holdings)
            invalid += sum(len(f.cases) for f in result.audit.findings)
            runs += 1
        violations += invalid
        spread = f"{statistics.median(gaps):.0f} ({min(gaps):.0f} to {max(gaps):.0f})"
        print(f"| {kind} | {args.runs} | {spread} | {acts} | {invalid} |", flush=True)
        print(f"{kind}: {time.monotonic() - began:.0f} s", file=sys.stderr)
    if args.chart is not None:
        result = uvloop.run(play(load_scene(ALL_FAULTS)))
        chart(result, args.chart)
        violations += sum(len(f.cases) for f in result.audit.findings)
        runs += 1
    print(f"{runs} runs, {violations} invalid acts or grants")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
