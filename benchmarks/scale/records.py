"""What a broker's record of what it has seen costs, by nodes: its bytes, and the processor time of each step of a pull.

A pull is what a broker does several times after its start: it asks some peers, reads their records and weighs them.
Measured are the product's own functions, without sockets, signatures and HTTP.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from badgerbend import api
from badgerbend.knowledge import record as records
from badgerbend.knowledge.record import MAX_ANSWERS, KnowledgeRecord, ServerObservation
from badgerbend.knowledge.trust import PeerTrust
from scale.figures import Figure, Kind

ASKED = 3  # peers in one pull: the default of the settings
PULLS = 7  # the first, and each 5 s until 30 s after the start
ROUNDS = 5  # of each measurement; the least counts
ZONES = 8


@dataclass(frozen=True, slots=True)
class Costs:
    """Bytes, and seconds of processor time on one side."""

    record_bytes: int
    left_out: int  # nodes that were seen and are not told
    tell_s: float  # the record is made and encoded: once for each who asks
    read_s: float  # it is decoded, and its ages include the way
    take_s: float  # all that were read are weighed


def names(nodes: int) -> dict[int, str]:
    """By number, as a directory holds them."""
    return {node: f"node-{node:05d}.zone-{node % ZONES}" for node in range(nodes)}


def known(nodes: int, seed: int) -> api.Observations:
    """What a broker that has met all nodes has seen."""
    rng = random.Random(seed)
    seen = tuple(
        api.EndpointObservation(node, rng.lognormvariate(2.5, 0.4), rng.uniform(0, 60_000), False)
        for node in range(nodes)
    )
    answers = tuple((rng.uniform(0, 10_000), rng.lognormvariate(2.5, 0.4), False) for _ in range(MAX_ANSWERS))
    return api.Observations(seen, answers)


def export(nodes: int, seed: int) -> KnowledgeRecord:
    return records.make_record(known(nodes, seed), names(nodes), seed, seed % ZONES, 40, {(9, 12): 10})


def unbounded(nodes: int, seed: int) -> KnowledgeRecord:
    """The record as it would be if it told of all nodes."""
    seen, by_number = known(nodes, seed), names(nodes)
    servers = tuple(ServerObservation(by_number[s.node], s.response_time_ms, s.age_ms, s.is_down) for s in seen.nodes)
    return KnowledgeRecord(records.VERSION, seed, seed % ZONES, 40, servers, export(nodes, seed).answers)


def costs(nodes: int) -> Costs:
    """Of one record with the limit that the product sets, and of a pull of several."""
    seen, by_number = known(nodes, 1), names(nodes)
    data = [records.encode(export(nodes, seed)) for seed in range(1, ASKED + 1)]
    read = {f"broker-{i}": records.decode(body) for i, body in enumerate(data)}
    return Costs(
        len(data[0]),
        nodes - len(read["broker-0"].servers),
        _least(lambda: records.encode(records.make_record(seen, by_number, 1, 0, 40, {}))),
        _least(lambda: records.aged(records.decode(data[0]), 5.0)),
        _least(lambda: _take(read, by_number)),
    )


def _take(read: dict[str, KnowledgeRecord], by_number: dict[int, str]) -> None:
    numbers = {name: node for node, name in by_number.items()}  # made anew at each pull
    PeerTrust().combine(read, numbers, 0.0)


def _least(what: Callable[[], object]) -> float:
    took = []
    for _ in range(ROUNDS):
        began = time.process_time()
        what()
        took.append(time.process_time() - began)
    return min(took)


def figures(size: int, nodes: int) -> list[Figure]:
    """size: brokers, by which the figures go; nodes: how many stand behind that many."""
    cost = costs(nodes)
    whole = unbounded(nodes, 1)
    of_all = {f"broker-{i}": unbounded(nodes, i) for i in range(1, ASKED + 1)}
    pull_s = ASKED * cost.read_s + cost.take_s
    rows = (
        ("nodes", "", nodes),
        ("nodes seen and not told", "", cost.left_out),
        ("bytes of a record", "B", cost.record_bytes),
        ("bytes of a record that told of all nodes", "B", len(records.encode(whole))),
        ("to tell a record, one asker", "ms", cost.tell_s * 1000.0),
        ("to read a record, the longest turn", "ms", cost.read_s * 1000.0),
        ("to weigh three records, the longest turn", "ms", cost.take_s * 1000.0),
        ("to weigh three records of all nodes", "ms", _least(lambda: _take(of_all, names(nodes))) * 1000.0),
        ("a pull: bytes read", "B", ASKED * cost.record_bytes),
        ("a pull: processor time of who asks", "ms", pull_s * 1000.0),
        ("a start: processor time of all its pulls", "ms", PULLS * pull_s * 1000.0),
        ("a start: processor time of those it asks", "ms", PULLS * ASKED * cost.tell_s * 1000.0),
    )
    return [Figure("brokers", "knowledge", what, unit, size, value, Kind.MEASURED) for what, unit, value in rows]
