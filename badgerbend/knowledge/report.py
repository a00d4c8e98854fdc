"""Records as tables for a person."""

from __future__ import annotations

from rich.table import Table

from badgerbend.knowledge.record import KnowledgeRecord

DIFFER = 1.5  # times: so far apart are two views of a server shown


def record_table(record: KnowledgeRecord) -> Table:
    """Servers slowest first, answers in their quartiles."""
    times = sorted(a.latency_ms for a in record.answers if not a.censored)
    middle = [times[len(times) * q // 4] for q in (1, 2, 3)] if times else []
    quartiles = ", ".join(f"{t:.1f}" for t in middle) or "none"
    table = Table(
        title=f"broker {record.broker}, zone {record.zone}: {len(record.servers)} servers, "
        f"{len(record.answers)} answers (ms at quartiles: {quartiles})"
    )
    for heading in ("server", "usual part, ms", "seen, s ago", "dead"):
        table.add_column(heading)
    for s in sorted(record.servers, key=lambda s: -s.time_ms):
        table.add_row(s.name, f"{s.time_ms:.1f}", f"{s.age_ms / 1000:.1f}", "yes" if s.dead else "")
    for m, k, r in record.chosen:
        table.caption = f"{table.caption or 'r chosen:'} {r} for {m} of {k};"
    return table


def compare_records(first: KnowledgeRecord, second: KnowledgeRecord) -> tuple[Table, int]:
    """Servers that the two see differently, and how many."""
    table = Table(title=f"broker {first.broker} against broker {second.broker}")
    for heading in ("server", "first, ms", "second, ms"):
        table.add_column(heading)
    left, right = {s.name: s for s in first.servers}, {s.name: s for s in second.servers}
    count = 0
    for name in sorted(left.keys() | right.keys()):
        a, b = left.get(name), right.get(name)
        if a and b and a.dead == b.dead and max(a.time_ms, b.time_ms) <= DIFFER * max(min(a.time_ms, b.time_ms), 1e-9):
            continue
        count += 1
        table.add_row(name, *("not seen" if x is None else f"{x.time_ms:.1f}{' dead' * x.dead}" for x in (a, b)))
    return table, count
