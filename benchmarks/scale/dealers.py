"""What dealing cold allowance costs its holder, by brokers: one server is cold, and every broker asks for it.

Measured is the product's `BudgetAllocator` alone: an answer counts decoding, dealing and encoding.
"""

from __future__ import annotations

import time

from badgerbend.lease_service.budget_exchange import REQUESTS_PER_GRANT, SLOW_START_DUTY
from badgerbend.leases.messages import BudgetDemand, BudgetRequest, decode_peer_message, encode
from badgerbend.slow_start_budget.allocator import BudgetAllocator
from badgerbend.slow_start_budget.timing import BudgetTiming
from scale.figures import Figure, Kind

LENGTHS = BudgetTiming(grant_ms=1000.0, clock_rate=0.01)  # the defaults of the settings
ASKED_MOST = 400  # asks that are measured, spread over all brokers
OWN, WANTED = 0.01, 0.02  # parts a ms: more is wanted than is there, so that all of it is dealt


def ask(broker: int, seq: int) -> bytes:
    wanted = WANTED if broker % 2 else 0.0
    return encode(
        BudgetRequest(
            f"broker-{broker}", SLOW_START_DUTY, seq, (BudgetDemand("node-00001.zone-1", 1.0, OWN, wanted, 0),)
        )
    )


def answer_s(brokers: int) -> tuple[float, int]:
    """Processor seconds of one answer when all brokers are in the books, and the bytes of an ask and its answer."""
    dealer = BudgetAllocator("broker-0", SLOW_START_DUTY, LENGTHS)
    dealer.start(0.0)
    now = LENGTHS.allocator_grant_ms / 2  # nothing is dealt yet, all are noted
    for broker in range(brokers):
        dealer.handle_request(now, 1, read(ask(broker, 1)))
    step = max(1, brokers // ASKED_MOST)
    asks = [ask(broker, 2) for broker in range(0, brokers, step)]
    now = LENGTHS.allocator_grant_ms + 1.0
    sizes = 0
    began = time.process_time()
    for data in asks:
        dealt = dealer.handle_request(now, 1, read(data))
        if dealt is None:
            raise RuntimeError("a dealer that may deal gave no answer")
        sizes += len(data) + len(encode(dealt))
    return (time.process_time() - began) / len(asks), sizes // len(asks)


def read(data: bytes) -> BudgetRequest:
    act = decode_peer_message(data)
    if not isinstance(act, BudgetRequest):
        raise TypeError(f"{type(act).__name__} is no ask")
    return act


def figures(brokers: int) -> list[Figure]:
    took_s, pair_bytes = answer_s(brokers)
    asks = brokers * REQUESTS_PER_GRANT / (LENGTHS.grant_ms / 1000.0)
    rows = (
        ("asks, all brokers", "1/s", asks, Kind.SIMULATED),
        ("processor time an ask", "ms", took_s * 1000.0, Kind.MEASURED),
        ("processor time of the dealer", "ms/s", took_s * asks * 1000.0, Kind.MEASURED),
        ("bytes of the dealer, both ways", "B/s", pair_bytes * asks, Kind.MEASURED),
    )
    return [Figure("brokers", "one cold server", what, unit, brokers, value, kind) for what, unit, value, kind in rows]
