"""What allocating the slow-start budget costs the leader, by brokers: one server warms up, every broker sends requests.

Only the product's `BudgetAllocator` is measured. The time of a reply includes decoding the request, allocating and
encoding the reply.
"""

from __future__ import annotations

import time

from badgerbend.lease_service.budget_exchange import REQUESTS_PER_GRANT, SLOW_START_DUTY
from badgerbend.leases.messages import BudgetDemand, BudgetRequest, decode_peer_message, encode
from badgerbend.slow_start_budget.allocator import BudgetAllocator
from badgerbend.slow_start_budget.timing import BudgetTiming
from scale.figures import Figure, Kind

TIMING = BudgetTiming(grant_ms=1000.0, clock_rate=0.01)  # the defaults of the settings
MAX_MEASURED_REQUESTS = 400  # spread over all brokers
OWN_RATE = 0.01  # parts per millisecond
DEMAND_RATE = 0.02  # exceeds the budget, so that all of the budget is granted


def encoded_request(broker: int, seq: int) -> bytes:
    demand_rate = DEMAND_RATE if broker % 2 else 0.0
    demand = BudgetDemand("node-00001.zone-1", 1.0, OWN_RATE, demand_rate, 0)
    return encode(BudgetRequest(f"broker-{broker}", SLOW_START_DUTY, seq, (demand,)))


def reply_cost(brokers: int) -> tuple[float, int]:
    """Returns the processor seconds of a reply once all brokers have sent requests, and the bytes of both messages."""
    allocator = BudgetAllocator("broker-0", SLOW_START_DUTY, TIMING)
    allocator.start(0.0)
    now = TIMING.allocator_grant_ms / 2  # the allocator only records requests in its first period
    for broker in range(brokers):
        allocator.handle_request(now, 1, decoded_request(encoded_request(broker, 1)))
    step = max(1, brokers // MAX_MEASURED_REQUESTS)
    requests = [encoded_request(broker, 2) for broker in range(0, brokers, step)]
    now = TIMING.allocator_grant_ms + 1.0
    total_bytes = 0
    began = time.process_time()
    for data in requests:
        reply = allocator.handle_request(now, 1, decoded_request(data))
        if reply is None:
            raise RuntimeError("an allocator that may issue grants sent no reply")
        total_bytes += len(data) + len(encode(reply))
    return (time.process_time() - began) / len(requests), total_bytes // len(requests)


def decoded_request(data: bytes) -> BudgetRequest:
    message = decode_peer_message(data)
    if not isinstance(message, BudgetRequest):
        raise TypeError(f"{type(message).__name__} is not a budget request")
    return message


def figures(brokers: int) -> list[Figure]:
    reply_s, exchange_bytes = reply_cost(brokers)
    requests_per_s = brokers * REQUESTS_PER_GRANT / (TIMING.grant_ms / 1000.0)
    rows = (
        ("asks, all brokers", "1/s", requests_per_s, Kind.SIMULATED),
        ("processor time an ask", "ms", reply_s * 1000.0, Kind.MEASURED),
        ("processor time of the dealer", "ms/s", reply_s * requests_per_s * 1000.0, Kind.MEASURED),
        ("bytes of the dealer, both ways", "B/s", exchange_bytes * requests_per_s, Kind.MEASURED),
    )
    return [
        Figure("brokers", "one cold server", quantity, unit, brokers, value, kind)
        for quantity, unit, value, kind in rows
    ]
