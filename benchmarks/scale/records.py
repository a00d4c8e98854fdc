"""What the exchange of observations costs, by nodes: bytes of a record, and processor time of each step of a pull.

A broker pulls several times after its start: it requests the records of some peers, decodes them and combines them. The
product's own functions are measured, without sockets, signatures and HTTP.
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

PEERS_PER_PULL = 3  # peers in one pull, the default of the settings
PULLS_PER_START = 7  # after a start: one immediately, and one every 5 s for 30 s
REPETITIONS = 5  # repetitions of each measurement, of which the fastest counts
ZONES = 8


@dataclass(frozen=True, slots=True)
class Costs:
    """The size of a record, and seconds of processor time at the broker that executes each step."""

    record_bytes: int
    omitted_nodes: int  # nodes that were observed and are not in the record
    encode_s: float  # to create and encode the record, once for each request
    decode_s: float  # to decode a record and to add the transfer time to its ages
    combine_s: float  # to combine all records of a pull


def names(nodes: int) -> dict[int, str]:
    """Returns the names of nodes by number, as a directory has them."""
    return {node: f"node-{node:05d}.zone-{node % ZONES}" for node in range(nodes)}


def observations(nodes: int, seed: int) -> api.Observations:
    """Returns the observations of a broker that has sent requests to all nodes."""
    rng = random.Random(seed)
    observed = tuple(
        api.EndpointObservation(node, rng.lognormvariate(2.5, 0.4), rng.uniform(0, 60_000), False)
        for node in range(nodes)
    )
    answers = tuple((rng.uniform(0, 10_000), rng.lognormvariate(2.5, 0.4), False) for _ in range(MAX_ANSWERS))
    return api.Observations(observed, answers)


def record_within_limits(nodes: int, seed: int) -> KnowledgeRecord:
    return records.make_record(observations(nodes, seed), names(nodes), seed, seed % ZONES, 40, {(9, 12): 10})


def record_of_all_nodes(nodes: int, seed: int) -> KnowledgeRecord:
    """Returns the record of all nodes, without the limit on their number."""
    observed, by_number = observations(nodes, seed), names(nodes)
    servers = tuple(
        ServerObservation(by_number[s.node], s.response_time_ms, s.age_ms, s.is_down) for s in observed.nodes
    )
    return KnowledgeRecord(records.VERSION, seed, seed % ZONES, 40, servers, record_within_limits(nodes, seed).answers)


def costs(nodes: int) -> Costs:
    """Measures one record within the product's limits, and a pull of several such records."""
    observed, by_number = observations(nodes, 1), names(nodes)
    data = [records.encode(record_within_limits(nodes, seed)) for seed in range(1, PEERS_PER_PULL + 1)]
    read = {f"broker-{i}": records.decode(body) for i, body in enumerate(data)}
    return Costs(
        len(data[0]),
        nodes - len(read["broker-0"].servers),
        _min_cpu_s(lambda: records.encode(records.make_record(observed, by_number, 1, 0, 40, {}))),
        _min_cpu_s(lambda: records.aged(records.decode(data[0]), 5.0)),
        _min_cpu_s(lambda: _combine(read, by_number)),
    )


def _combine(read: dict[str, KnowledgeRecord], by_number: dict[int, str]) -> None:
    numbers = {name: node for node, name in by_number.items()}  # created again at each pull, as in the product
    PeerTrust().combine(read, numbers, 0.0)


def _min_cpu_s(step: Callable[[], object]) -> float:
    times = []
    for _ in range(REPETITIONS):
        began = time.process_time()
        step()
        times.append(time.process_time() - began)
    return min(times)


def figures(size: int, nodes: int) -> list[Figure]:
    """Returns the figures of a fleet. size: its brokers. nodes: its nodes."""
    cost = costs(nodes)
    whole = record_of_all_nodes(nodes, 1)
    of_all = {f"broker-{i}": record_of_all_nodes(nodes, i) for i in range(1, PEERS_PER_PULL + 1)}
    pull_s = PEERS_PER_PULL * cost.decode_s + cost.combine_s
    rows = (
        ("nodes", "", nodes),
        ("nodes seen and not told", "", cost.omitted_nodes),
        ("bytes of a record", "B", cost.record_bytes),
        ("bytes of a record that told of all nodes", "B", len(records.encode(whole))),
        ("to tell a record, one asker", "ms", cost.encode_s * 1000.0),
        ("to read a record, the longest turn", "ms", cost.decode_s * 1000.0),
        ("to weigh three records, the longest turn", "ms", cost.combine_s * 1000.0),
        ("to weigh three records of all nodes", "ms", _min_cpu_s(lambda: _combine(of_all, names(nodes))) * 1000.0),
        ("a pull: bytes read", "B", PEERS_PER_PULL * cost.record_bytes),
        ("a pull: processor time of who asks", "ms", pull_s * 1000.0),
        ("a start: processor time of all its pulls", "ms", PULLS_PER_START * pull_s * 1000.0),
        ("a start: processor time of those it asks", "ms", PULLS_PER_START * PEERS_PER_PULL * cost.encode_s * 1000.0),
    )
    return [
        Figure("brokers", "knowledge", quantity, unit, size, value, Kind.MEASURED) for quantity, unit, value in rows
    ]
