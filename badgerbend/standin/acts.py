"""The auditor of duties: judges from what passed between processes alone, and asks no broker.

It reads the datagrams that the rig recorded. An act is a `Found`; it is the sender's at the moment it was sent, and
takes effect where it arrives unless a newer epoch arrived there before. That rule is applied here anew.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from badgerbend.duties.messages import Found, Told
from badgerbend.net.seal import HEAD, MAC_BYTES
from badgerbend.rota import wire
from badgerbend.standin.audit import Finding

Line = dict[str, Any]


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
class Judged:
    """findings: a rule each. holdings: in the order of their first acts."""

    findings: list[Finding]
    holdings: list[Holding]
    effects: dict[str, list[tuple[float, int]]] = field(default_factory=dict)  # by receiver: what took effect there

    def gaps(self, since: float, until: float) -> list[tuple[float, float]]:
        """Times in between without an act of anybody that took effect, the longest first: how long, from when."""
        times = sorted(t for rows in self.effects.values() for t, _ in rows if since <= t <= until)
        edges = [since, *times, until]
        return sorted(((b - a, a) for a, b in zip(edges, edges[1:], strict=False)), reverse=True)


def message_of(data: bytes) -> wire.Said | None:
    """What a sealed datagram says; None for what is no message of duties."""
    try:
        return wire.read(data[HEAD.size : -MAC_BYTES])
    except wire.Malformed:
        return None


def judge(lines: Iterable[Line]) -> Judged:
    """By the time of passing."""
    one, order, grants = (Finding(name) for name in ("an epoch is one holder's", "no two act at once", "grants agree"))
    holdings: dict[tuple[str, int], Holding] = {}
    newest: dict[tuple[str, str], int] = defaultdict(int)
    latest: dict[str, Holding] = {}
    granted: dict[tuple[str, int], str] = {}
    effects: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for line in sorted(lines, key=lambda row: float(row["t"])):
        message, t, sender = message_of(line["data"]), float(line["t"]), str(line["from"])
        if isinstance(message, Told):
            for told in message.lines if message.leads else ():
                if told.holder:
                    grants.checked += 1
                    first = granted.setdefault((told.duty, told.epoch), told.holder)
                    if first != told.holder:
                        grants.cases.append(f"{told.duty} epoch {told.epoch}: told as {first}'s and as {told.holder}'s")
        if not isinstance(message, Found):
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
    return Judged([one, order, grants], rows, dict(effects))


def table(holdings: Sequence[Holding], began: float) -> list[tuple[str, ...]]:
    """Rows for a person: times in seconds since the scene began."""
    return [
        (h.duty, str(h.epoch), h.holder, f"{(h.first - began) / 1000:.2f}", f"{(h.last - began) / 1000:.2f}",
         str(h.acts), str(h.stale))
        for h in holdings
    ]  # fmt: skip
