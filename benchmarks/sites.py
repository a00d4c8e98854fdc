"""Compares the locality preference with three baselines when a site fails and returns, on loopback stand-ins.

    python benchmarks/sites.py --report found.json [--days lost,rising] [--seeds 1,2,3] [--chart loss.png]
    python benchmarks/sites.py --draw found.json --chart loss.png

`best` is the value that the capacity of all servers that are up and warm could earn if each second's parts went to the
queries that earn most by part. It is an upper bound for any policy, because it knows each second in advance and loses
no part.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from results import Runs, table

ROOT = Path(__file__).parent.parent
POLICIES = ("module", "anywhere", "unlimited", "priority")
CONCURRENT_DAYS = 2  # each day uses two to three cores


async def run_day(day: str, policy: str, seed: int, gate: asyncio.Semaphore, folder: Path) -> dict[str, Any]:
    """Runs one day with another seed through the command line, as a user would."""
    text = (ROOT / "examples" / "sites" / f"{day}.conf").read_text()
    text = text.replace("(seed 21)", f"(seed {seed})")
    text = text.replace('"broker.conf"', json.dumps(str(ROOT / "examples" / "sites" / "broker.conf")))
    name = f"{day}-{policy}-{seed}"
    file, report = folder / f"{name}.conf", folder / f"{name}.json"
    file.write_text(text)
    async with gate:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "badgerbend",
            "day",
            str(file),
            "--policy",
            policy,
            "--report",
            str(report),
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        await process.wait()
    found = json.loads(report.read_text())
    print(f"{name}: {row(found['seconds'])}", file=sys.stderr, flush=True)
    violations = {r["name"]: len(r["cases"]) for r in found["rules"] if r["cases"]}
    return {"day": day, "policy": policy, "seed": seed, "broken": violations, "seconds": found["seconds"]}


def parts_at(second: dict[str, Any], site: str) -> int:
    """Returns the number of parts sent to a site within a second."""
    at = second["sites"][site]
    return int(at["own"] + at["spilled"])


def row(seconds: list[dict[str, Any]]) -> dict[str, float]:
    """Returns a day's figures, such as the value per second before, during and after the outage."""
    outage = [i for i, s in enumerate(seconds) if s["sites"]["north"]["room"] == 0.0]
    lost, back, end = outage[0], outage[-1] + 1, len(seconds) - 2
    spans = {"before": (2, lost), "during": (lost, back), "after": (back, end)}
    out: dict[str, float] = {}
    for name, (a, b) in spans.items():
        some = seconds[a:b]
        out[name] = statistics.fmean(s["served"] for s in some)
        out[f"{name}_best"] = statistics.fmean(s["best"] for s in some)
    out["worst_second"] = min(s["served"] for s in seconds[2:end])

    def share(a: int, b: int) -> float:
        total = sum(s["parts"] for s in seconds[a:b])
        return sum(parts_at(s, "north") for s in seconds[a:b]) / total if total else 0.0

    usual = share(2, lost)
    out["back_s"] = next((i - back for i in range(back, end - 1) if share(i, i + 2) >= 0.9 * usual), end - back)
    out["parts_over_needed"] = sum(s["parts"] for s in seconds) / sum(s["needed"] for s in seconds)
    over = [max(s["sites"]["south"]["spilled"] - s["sites"]["south"]["limit"], 0.0) for s in seconds[lost:back]]
    limit = sum(s["sites"]["south"]["limit"] for s in seconds[lost:back])
    spilled = sum(s["sites"]["south"]["spilled"] for s in seconds[lost:back])
    out["spilled_of_limit"] = spilled / limit if limit else 0.0
    out["most_over_limit"] = max(over)
    return out


def show(found: list[dict[str, Any]]) -> None:
    """Prints a table for each day, and the rules that were violated."""
    names = (
        "before",
        "during",
        "during_best",
        "after",
        "after_best",
        "worst_second",
        "back_s",
        "parts_over_needed",
        "spilled_of_limit",
        "most_over_limit",
    )
    for day in dict.fromkeys(f["day"] for f in found):
        rows: Runs = {}
        for f in found:
            if f["day"] == day:
                rows.setdefault(f["policy"], []).append(row(f["seconds"]))
        print(f"\n{day}, {len(next(iter(rows.values())))} seeds: median (least to most)\n")
        table("policy", rows, names)
        for f in found:
            if f["day"] == day and f["broken"]:
                print(f"rules violated, {f['policy']} seed {f['seed']}: {f['broken']}")


def draw(found: list[dict[str, Any]], path: Path) -> None:
    """Draws for each day the value served by each policy, and the parts that spilled to the south with their limit."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    days = list(dict.fromkeys(f["day"] for f in found))
    figure, axes = plt.subplots(3, len(days), figsize=(6.5 * len(days), 9), sharex="col", squeeze=False)

    def mean(rows: list[dict[str, Any]], value: Any) -> list[float]:
        return [statistics.fmean(value(s) for s in at) for at in zip(*(r["seconds"] for r in rows), strict=True)]

    for column, day in enumerate(days):
        of = {p: [f for f in found if f["day"] == day and f["policy"] == p] for p in POLICIES}
        top, middle, bottom = axes[0][column], axes[1][column], axes[2][column]
        ours = of["module"]
        top.plot(mean(ours, lambda s: s["best"]), color="black", linewidth=0.8, linestyle=":", label="best")
        for policy, rows in of.items():
            if rows:
                top.plot(mean(rows, lambda s: s["served"]), label="preference" if policy == "module" else policy)
        top.set_title(f"{day}: worth served a second, mean of {len(ours)} seeds")
        top.legend(fontsize=8)
        middle.plot(mean(ours, lambda s: s["sites"]["south"]["limit"]), color="black", linestyle=":", label="limit")
        for policy in ("module", "unlimited"):
            if of[policy]:
                label = "preference" if policy == "module" else policy
                middle.plot(mean(of[policy], lambda s: s["sites"]["south"]["spilled"]), label=label)
        middle.set_title("parts a second that spilled to the south")
        middle.legend(fontsize=8)
        bottom.plot(mean(ours, lambda s: s["sites"]["north"]["room"]), color="black", linestyle=":", label="room")
        bottom.plot(mean(ours, lambda s: parts_at(s, "north")), label="north")
        bottom.plot(mean(ours, lambda s: parts_at(s, "south")), label="south")
        bottom.set_title("parts a second at each site under the preference, and the north's room")
        bottom.set_xlabel("seconds")
        bottom.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=90)


async def play(days: list[str], seeds: list[int], policies: list[str]) -> list[dict[str, Any]]:
    """Runs each day with each seed and policy, a few at a time."""
    gate = asyncio.Semaphore(CONCURRENT_DAYS)
    with tempfile.TemporaryDirectory() as name:
        runs = [run_day(d, p, s, gate, Path(name)) for d in days for s in seeds for p in policies]
        return list(await asyncio.gather(*runs))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--days", default="lost,rising")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--policies", default=",".join(POLICIES))
    parser.add_argument("--report", type=Path)
    parser.add_argument("--draw", type=Path, help="a report to draw and show instead of running days")
    parser.add_argument("--chart", type=Path)
    a = parser.parse_args()
    if a.draw:
        found = json.loads(a.draw.read_text())
    else:
        seeds = [int(s) for s in a.seeds.split(",")]
        found = asyncio.run(play(a.days.split(","), seeds, a.policies.split(",")))
    if a.report and not a.draw:
        a.report.write_text(json.dumps(found))
    show(found)
    if a.chart:
        draw(found, a.chart)


if __name__ == "__main__":
    main()
