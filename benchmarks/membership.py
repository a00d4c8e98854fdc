"""Measures membership in simulated time: messages and bytes per second and member, and the time to detect a failure.

For comparison, the expectation from the SWIM paper: the first member pings the failed one after e / (e - 1) periods on
average. In each period a member sends at most one ping and one acknowledgement and, if its ping fails, 3 indirect ping
requests with their acknowledgements.

    python benchmarks/membership.py [--sizes 8,32,85] [--runs 10]
"""

from __future__ import annotations

import argparse
import math
import time

from results import cell

from badgerbend.membership.messages import MemberState
from badgerbend.membership.swim import SwimConfig
from badgerbend.standin.network import Network

QUIET_S = 30.0


def measure(size: int, seed: int, loss: float) -> dict[str, float]:
    """Runs one simulation. Returns its figures, by the column names of the table."""
    net = Network(seed, SwimConfig())
    names = [f"broker-{i}" for i in range(size)]
    for name in names:
        net.start(name, tuple(names[:3]))
    began = net.now
    assert net.run(300, net.has_converged), "the members did not agree on the member list"
    agreed_s = net.now - began
    net.run(20)
    net.loss = loss
    net.sent = net.bytes = 0
    net.events.clear()
    net.run(QUIET_S)
    messages, data = net.sent / QUIET_S / size, net.bytes / QUIET_S / size
    false = sum(1 for _, _, e in net.events if e.state == MemberState.DEAD)
    victim = names[seed % size]
    net.crash(victim)
    net.events.clear()
    crashed_at = net.now

    def detected() -> bool:
        return all(v.get(victim) == MemberState.DEAD for v in net.views().values())

    assert net.run(300, detected), "a failure was not detected"
    suspected = min(t for t, _, e in net.events if e.name == victim and e.state == MemberState.SUSPECT)
    dead = min(t for t, _, e in net.events if e.name == victim and e.state == MemberState.DEAD)
    return {
        "met_s": agreed_s,
        "messages": messages,
        "bytes": data,
        "suspected_s": suspected - crashed_at,
        "first_dead_s": dead - crashed_at,
        "all_know_s": net.now - crashed_at,
        "false_deaths": float(false),
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="8,32,85")
    parser.add_argument("--runs", type=int, default=10)
    a = parser.parse_args()
    period = SwimConfig().probe_interval_s
    expected = math.e / (math.e - 1) * period
    print(f"simulated, {a.runs} runs each, period {period:g} s, median (least to most);")
    print(f"SWIM's expectation of the first failed ping: {expected:.2f} s after the failure, at any size\n")
    names = ("met_s", "messages", "bytes", "suspected_s", "first_dead_s", "all_know_s", "false_deaths")
    print("| members | loss | " + " | ".join(names) + " |\n| --- | --- " + "| --- " * len(names) + "|")
    began = time.perf_counter()
    for size in map(int, a.sizes.split(",")):
        for loss in (0.0, 0.1):
            rows = [measure(size, seed, loss) for seed in range(1, a.runs + 1)]
            cells = [cell([r[name] for r in rows]) for name in names]
            print(f"| {size} | {loss:.0%} | " + " | ".join(cells) + " |", flush=True)
    print(f"\n{time.perf_counter() - began:.0f} s")


if __name__ == "__main__":
    main()
