"""Formats records as tables for a terminal."""

from __future__ import annotations

from dataclasses import dataclass

from rich.table import Table

from badgerbend.knowledge.record import KnowledgeRecord, ServerObservation

MIN_DIFFERENCE_RATIO = 1.5  # a difference is shown if the times differ by more than this factor
MIN_TIME_MS = 1e-9  # lower bound of a time, so that no ratio divides by zero


@dataclass(frozen=True, slots=True)
class RecordComparison:
    """A table of the servers on which two records differ, and the number of those servers."""

    table: Table
    differences: int


def record_table(record: KnowledgeRecord) -> Table:
    """Make a table of a record: its servers, slowest first, and the quartiles of its latencies in the title."""
    table = Table(
        title=f"broker {record.broker}, zone {record.zone}: {len(record.servers)} servers, "
        f"{len(record.answers)} answers (ms at quartiles: {_quartiles(record)})"
    )
    for heading in ("server", "usual part, ms", "seen, s ago", "dead"):
        table.add_column(heading)
    for server in sorted(record.servers, key=lambda server: -server.time_ms):
        dead = "yes" if server.dead else ""
        table.add_row(server.name, f"{server.time_ms:.1f}", f"{server.age_ms / 1000:.1f}", dead)
    for needed, parts, attempts in record.chosen:
        table.caption = f"{table.caption or 'r chosen:'} {attempts} for {needed} of {parts};"
    return table


def compare_records(first: KnowledgeRecord, second: KnowledgeRecord) -> RecordComparison:
    """Compare the observations of each server in two records."""
    table = Table(title=f"broker {first.broker} against broker {second.broker}")
    for heading in ("server", "first, ms", "second, ms"):
        table.add_column(heading)
    first_servers = {server.name: server for server in first.servers}
    second_servers = {server.name: server for server in second.servers}
    differences = 0
    for name in sorted(first_servers.keys() | second_servers.keys()):
        one = first_servers.get(name)
        other = second_servers.get(name)
        if one is not None and other is not None and not _differ(one, other):
            continue
        differences += 1
        table.add_row(name, _cell(one), _cell(other))
    return RecordComparison(table, differences)


def _quartiles(record: KnowledgeRecord) -> str:
    latencies_ms = sorted(answer.latency_ms for answer in record.answers if not answer.censored)
    if not latencies_ms:
        return "none"
    return ", ".join(f"{latencies_ms[len(latencies_ms) * quarter // 4]:.1f}" for quarter in (1, 2, 3))


def _differ(one: ServerObservation, other: ServerObservation) -> bool:
    """Whether two observations of the same server differ enough to be shown."""
    shorter_ms = max(min(one.time_ms, other.time_ms), MIN_TIME_MS)
    longer_ms = max(one.time_ms, other.time_ms)
    return one.dead != other.dead or longer_ms > MIN_DIFFERENCE_RATIO * shorter_ms


def _cell(server: ServerObservation | None) -> str:
    if server is None:
        return "not seen"
    return f"{server.time_ms:.1f} dead" if server.dead else f"{server.time_ms:.1f}"
