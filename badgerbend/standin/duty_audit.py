"""Audits the duties of a fleet of brokers from the datagrams between its processes alone; no broker is queried.

The input is the datagrams that the fault proxy recorded. An act is a `ProbeReport` or a `BudgetReply`. It counts as
an act of its sender when it is sent, and takes effect at its receiver unless a newer epoch arrived there before. The
audit applies that fencing rule independently of the brokers' code.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from badgerbend.lease_service import wire
from badgerbend.leases.messages import BudgetReply, BudgetRequest, LeaseReply, ProbeReport
from badgerbend.net.seal import HEADER, MAC_BYTES
from badgerbend.standin.audit import Finding

Line = dict[str, Any]
REDUCED_FOR_SLICES = 3.0  # how long, in slice lengths, a broker that was granted less than its share keeps to it
ROUNDING = 1e-9


@dataclass(slots=True)
class Holding:
    """The acts of one holder under one epoch; times in ms of the proxy's clock."""

    duty: str
    epoch: int
    holder: str
    first: float
    last: float
    acts: int = 1
    stale: int = 0  # acts that their receiver had to reject because it knew a newer epoch


@dataclass(slots=True)
class DutyAudit:
    """The result of an audit: one finding for each rule, and the holdings in the order of their first acts."""

    findings: list[Finding]
    holdings: list[Holding]
    effects: dict[str, list[tuple[float, int]]] = field(default_factory=dict)  # by receiver: (time, epoch) of an act

    def gaps(self, since: float, until: float) -> list[tuple[float, float]]:
        """Periods in which no act took effect, the longest first, as pairs of length and start."""
        times = sorted(t for rows in self.effects.values() for t, _ in rows if since <= t <= until)
        edges = [since, *times, until]
        return sorted(((b - a, a) for a, b in zip(edges, edges[1:], strict=False)), reverse=True)


def decode_datagram(data: bytes) -> wire.Message | None:
    """Decodes a sealed datagram without checking its seal; None if it carries no message of the lease service."""
    try:
        return wire.decode(data[HEADER.size : -MAC_BYTES])
    except wire.MalformedMessageError:
        return None


def audit_duties(lines: Iterable[Line]) -> DutyAudit:
    """Checks that each epoch has one holder, that acts do not overlap and that grants agree."""
    single_holder, exclusive, grants = (
        Finding(name) for name in ("an epoch is one holder's", "no two act at once", "grants agree")
    )
    holdings: dict[tuple[str, int], Holding] = {}
    newest: dict[tuple[str, str], int] = defaultdict(int)
    latest: dict[str, Holding] = {}
    granted: dict[tuple[str, int], str] = {}
    effects: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for line in sorted(lines, key=lambda row: float(row["t"])):
        message, t, sender = decode_datagram(line["data"]), float(line["t"]), str(line["from"])
        if isinstance(message, LeaseReply):
            for lease in message.leases if message.is_leader else ():
                if lease.holder:
                    grants.checked += 1
                    first = granted.setdefault((lease.duty, lease.epoch), lease.holder)
                    if first != lease.holder:
                        grants.cases.append(
                            f"{lease.duty} epoch {lease.epoch}: granted to {first} and to {lease.holder} as well"
                        )
        if not isinstance(message, ProbeReport | BudgetReply):
            continue
        key = (message.duty, message.epoch)
        holding = holdings.get(key)
        single_holder.checked += 1
        if holding is None:
            holding = holdings[key] = Holding(message.duty, message.epoch, sender, t, t)
        elif holding.holder != sender:
            single_holder.cases.append(
                f"{message.duty} epoch {message.epoch}: acts of {holding.holder} and of {sender}"
            )
        else:
            holding.last, holding.acts = t, holding.acts + 1
        exclusive.checked += 1
        before = latest.get(message.duty)
        if before is not None and before.epoch > message.epoch:
            exclusive.cases.append(
                f"{message.duty}: {sender} acts under {message.epoch} {t - before.first:.0f} ms after {before.holder} "
                f"began under {before.epoch}"
            )
        elif before is None or before.epoch < message.epoch:
            latest[message.duty] = holding
        if line["k"] != "passed":
            continue
        to = str(line["to"])
        if message.epoch < newest[to, message.duty]:
            holding.stale += 1
        else:
            newest[to, message.duty] = message.epoch
            effects[to].append((t, message.epoch))
    rows = sorted(holdings.values(), key=lambda h: h.first)
    return DutyAudit([single_holder, exclusive, grants], rows, dict(effects))


def audit_budgets(lines: Iterable[Line], slice_ms: float) -> Finding:
    """Checks that the budgets in use for a cold server never add up to more than the brokers' own shares.

    A slice of the budget lasts from the moment its request passed, as its broker counts it. A broker that was granted
    less than its own share keeps to the lower rate for three slice lengths, as `docs/leases.md` says. Shares change
    with traffic, so the sum is compared with the sum of the highest shares stated within that time.
    """
    finding = Finding("no more is dealt than the shares")
    requested: dict[tuple[str, int], float] = {}
    shares: dict[tuple[str, float], dict[str, list[tuple[float, float]]]] = defaultdict(lambda: defaultdict(list))
    # by resource and broker: the rate granted, the time of the request and that of the reply
    slices: dict[tuple[str, float], dict[str, tuple[float, float, float]]] = defaultdict(dict)
    newest: dict[str, int] = defaultdict(int)
    for line in sorted(lines, key=lambda row: float(row["t"])):
        message, t = decode_datagram(line["data"]), float(line["t"])
        if isinstance(message, BudgetRequest):  # a share counts from when it was sent, even if it was lost
            requested.setdefault((str(line["from"]), message.seq), t)
            for demand in message.demands:
                shares[demand.resource, demand.started_ms][str(line["from"])].append((t, demand.own_rate))
        elif isinstance(message, BudgetReply) and line["k"] == "passed" and message.epoch >= newest[str(line["to"])]:
            to, since = str(line["to"]), requested.get((str(line["to"]), message.seq))
            newest[to] = message.epoch
            if since is None or t >= since + slice_ms:
                continue
            for row in message.grants:
                key = (row.resource, row.started_ms)
                if since >= slices[key].get(to, (0.0, 0.0, 0.0))[1]:
                    slices[key][to] = row.rate, since, t
                finding.checked += 1
                allowed = limit = 0.0
                for broker, stated in shares[key].items():
                    own = max(
                        (rate for at, rate in stated if at > t - REDUCED_FOR_SLICES * slice_ms), default=stated[-1][1]
                    )
                    rate, start, received = slices[key].get(broker, (own, 0.0, 0.0))
                    used = (
                        rate
                        if t < start + slice_ms or (rate < own and t < received + REDUCED_FOR_SLICES * slice_ms)
                        else own
                    )
                    allowed, limit = allowed + used, limit + own
                if allowed > limit * (1.0 + ROUNDING):
                    finding.cases.append(
                        f"{row.resource}: budgets allow {allowed:.4f} a ms at {t:.0f} ms, shares are {limit:.4f}"
                    )
    return finding


def format_rows(holdings: Sequence[Holding], began: float) -> list[tuple[str, ...]]:
    """Formats holdings as rows of a table, with times in seconds since the scene began."""
    return [
        (
            h.duty,
            str(h.epoch),
            h.holder,
            f"{(h.first - began) / 1000:.2f}",
            f"{(h.last - began) / 1000:.2f}",
            str(h.acts),
            str(h.stale),
        )
        for h in holdings
    ]
