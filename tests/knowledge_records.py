"""Knowledge records of ten servers, two of which are slow, for tests of knowledge and snapshots."""

from badgerbend.knowledge.record import AnswerLatency, KnowledgeRecord, ServerObservation

NAMES = {f"s{i}": i for i in range(10)}


def record(times, usual=20.0, age=500.0, dead=(), broker=0):
    servers = tuple(ServerObservation(name, ms, age, name in dead) for name, ms in times.items())
    return KnowledgeRecord(1, broker, 0, 0, servers, tuple(AnswerLatency(age, usual, False) for _ in range(40)))


LATENCIES_MS = {f"s{i}": 20.0 for i in range(8)} | {"s8": 160.0, "s9": 160.0}


def slow_nodes(prior):
    return {s.node for s in prior.nodes if s.response_time_ms > 30.0}
