"""Runs the bad-day example with the module's choice of r, with r = m (`least`) and with r = k (`all`) on equal seeds.

Of k parts, r are sent and m are needed for a complete answer.

python benchmarks/redundancy.py [--rounds 3] [--report FILE] [--chart FILE.png]
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
from pathlib import Path

import msgspec
import uvloop
from results import boxes, table

from badgerbend.standin.day import load_day, play

DAY = Path(__file__).parent.parent / "examples" / "bad-day" / "day.conf"
VARIANTS = ("module", "least", "all")
FIELD = "rateCompare"  # the only class whose answer is complete with fewer than all parts


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--report", type=Path)
    parser.add_argument("--chart", type=Path)
    a = parser.parse_args()
    plan = load_day(DAY)
    found: dict[str, list[dict[str, float]]] = {variant: [] for variant in VARIANTS}
    for n in range(a.rounds):
        for variant in VARIANTS:
            result = uvloop.run(play(msgspec.structs.replace(plan, seed=plan.seed + n), DAY, None, variant))
            one = result.as_json()
            compare = one["service"][FIELD]
            found[variant].append(
                {
                    "compare_p50": compare["p50_ms"],
                    "compare_p99": compare["p99_ms"],
                    "compare_in_aim": compare["within_aim"],
                    "sent_over_needed": compare["sent_over_needed"],
                    "all_in_aim": statistics.fmean(s["within_aim"] for s in one["service"].values()),
                    "quote_p99": one["service"]["fullQuote"]["p99_ms"],
                    "rules_broken": sum(1 for r in result.rules if r.cases),
                    "cpu_s": sum(result.cpu_s.values()),
                }
            )
    print(
        f"{plan.seconds:g} s, {plan.brokers} brokers, {plan.servers} servers, {a.rounds} seeds; "
        f"loopback stand-ins on {os.cpu_count()} shared cores; median (least to most)\n"
    )
    table("r by", found, list(found["module"][0]))
    if a.report:
        a.report.write_text(json.dumps(found, indent=2) + "\n", encoding="utf-8")
    if a.chart:
        boxes(found, {"compare_p99": "rateCompare, ms at 99%", "sent_over_needed": "parts sent over needed"}, a.chart)


if __name__ == "__main__":
    main()
