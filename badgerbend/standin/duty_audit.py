"""The auditor of duties: judges from what passed between processes alone, and asks no broker.

It reads the datagrams that the rig recorded. An act is a `Found` or a `Dealt`; it is the sender's at the moment it was
sent, and takes effect where it arrives unless a newer epoch arrived there before. That rule is applied here anew.
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
KEPT = 3.0  # lengths of a slice: so long a broker keeps to less than its share
ROUNDING = 1e-9


@dataclass(slots=True)
class Holding:
    """One holder's acts under one epoch: times in ms of the rig's clock."""

    duty: str
    epoch: int
    holder: str
    first: float
    last: float
    acts: int = 1
    stale: int = 0  # that a receiver had to refuse


@dataclass(slots=True)
class DutyAudit:
    """findings: a rule each. holdings: in the order of their first acts."""

    findings: list[Finding]
    holdings: list[Holding]
    effects: dict[str, list[tuple[float, int]]] = field(default_factory=dict)  # by receiver: what took effect there

    def gaps(self, since: float, until: float) -> list[tuple[float, float]]:
        """Times in between without an act of anybody that took effect, the longest first: how long, from when."""
        times = sorted(t for rows in self.effects.values() for t, _ in rows if since <= t <= until)
        edges = [since, *times, until]
        return sorted(((b - a, a) for a, b in zip(edges, edges[1:], strict=False)), reverse=True)


def decode_datagram(data: bytes) -> wire.Message | None:
    """What a sealed datagram says; None for what is no message of duties."""
    try:
        return wire.decode(data[HEADER.size : -MAC_BYTES])
    except wire.MalformedMessageError:
        return None


def audit_duties(lines: Iterable[Line]) -> DutyAudit:
    """By the time of passing."""
    one, order, grants = (Finding(name) for name in ("an epoch is one holder's", "no two act at once", "grants agree"))
    holdings: dict[tuple[str, int], Holding] = {}
    newest: dict[tuple[str, str], int] = defaultdict(int)
    latest: dict[str, Holding] = {}
    granted: dict[tuple[str, int], str] = {}
    effects: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for line in sorted(lines, key=lambda row: float(row["t"])):
        message, t, sender = decode_datagram(line["data"]), float(line["t"]), str(line["from"])
        if isinstance(message, LeaseReply):
            for told in message.leases if message.is_leader else ():
                if told.holder:
                    grants.checked += 1
                    first = granted.setdefault((told.duty, told.epoch), told.holder)
                    if first != told.holder:
                        grants.cases.append(f"{told.duty} epoch {told.epoch}: told as {first}'s and as {told.holder}'s")
        if not isinstance(message, ProbeReport | BudgetReply):
            continue
        key = (message.duty, message.epoch)
        held = holdings.get(key)
        one.checked += 1
        if held is None:
            held = holdings[key] = Holding(message.duty, message.epoch, sender, t, t)
        elif held.holder != sender:
            one.cases.append(f"{message.duty} epoch {message.epoch}: acts of {held.holder} and of {sender}")
        else:
            held.last, held.acts = t, held.acts + 1
        order.checked += 1
        before = latest.get(message.duty)
        if before is not None and before.epoch > message.epoch:
            order.cases.append(
                f"{message.duty}: {sender} acts under {message.epoch} {t - before.first:.0f} ms after {before.holder} "
                f"began under {before.epoch}"
            )
        elif before is None or before.epoch < message.epoch:
            latest[message.duty] = held
        if line["k"] != "passed":
            continue
        to = str(line["to"])
        if message.epoch < newest[to, message.duty]:
            held.stale += 1
        else:
            newest[to, message.duty] = message.epoch
            effects[to].append((t, message.epoch))
    rows = sorted(holdings.values(), key=lambda h: h.first)
    return DutyAudit([one, order, grants], rows, dict(effects))


def audit_budgets(lines: Iterable[Line], slice_ms: float) -> Finding:
    """What brokers were dealt of cold allowance, and what they stated as their shares, from what arrived.

    A slice is taken to last from when its ask passed, as its broker counts it; who was dealt less keeps to it for
    three lengths, as `docs/leases.md` says. Shares change with traffic, so the sum is held against the most that each
    stated within that time.
    """
    finding = Finding("no more is dealt than the shares")
    asked: dict[tuple[str, int], float] = {}
    shares: dict[tuple[str, float], dict[str, list[tuple[float, float]]]] = defaultdict(lambda: defaultdict(list))
    slices: dict[tuple[str, float], dict[str, tuple[float, float, float]]] = defaultdict(dict)  # pace, ask, answer
    newest: dict[str, int] = defaultdict(int)
    for line in sorted(lines, key=lambda row: float(row["t"])):
        message, t = decode_datagram(line["data"]), float(line["t"])
        if isinstance(message, BudgetRequest):  # stated when it was sent, whether it arrived or not
            asked.setdefault((str(line["from"]), message.seq), t)
            for need in message.demands:
                shares[need.resource, need.started_ms][str(line["from"])].append((t, need.own_rate))
        elif isinstance(message, BudgetReply) and line["k"] == "passed" and message.epoch >= newest[str(line["to"])]:
            to, since = str(line["to"]), asked.get((str(line["to"]), message.seq))
            newest[to] = message.epoch
            if since is None or t >= since + slice_ms:
                continue
            for row in message.grants:
                key = (row.resource, row.started_ms)
                if since >= slices[key].get(to, (0.0, 0.0, 0.0))[1]:
                    slices[key][to] = row.rate, since, t
                finding.checked += 1
                may = most = 0.0
                for broker, stated in shares[key].items():
                    own = max((pace for at, pace in stated if at > t - KEPT * slice_ms), default=stated[-1][1])
                    pace, start, came = slices[key].get(broker, (own, 0.0, 0.0))
                    kept = pace if t < start + slice_ms or (pace < own and t < came + KEPT * slice_ms) else own
                    may, most = may + kept, most + own
                if may > most * (1.0 + ROUNDING):
                    finding.cases.append(
                        f"{row.resource}: {may:.4f} a ms may go there at {t:.0f} ms, shares {most:.4f}"
                    )
    return finding


def format_rows(holdings: Sequence[Holding], began: float) -> list[tuple[str, ...]]:
    """Rows for a person: times in seconds since the scene began."""
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
