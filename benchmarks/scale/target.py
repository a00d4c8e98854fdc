"""The load of the planned fleet for the benchmarks of lists and queries, and the configuration of one broker."""

from __future__ import annotations

from typing import Any

import msgspec

from badgerbend.platform import config
from scale.planned_fleet import BROKERS, ZONES

QUERIES_PER_S = 420_000  # over all brokers
PARTS = 210  # of one query, each for another node
LATENCY_OBJECTIVE_MS = 54.0  # 99 of 100 answers arrive within this time
REACH = 3  # consecutive cells that hold a shard
QUERIES_PER_BROKER_S = QUERIES_PER_S / BROKERS

CLASS, TENANT = "quote", "acme"
ZONE_NAMES = tuple(f"zone-{i}" for i in range(ZONES))
KIND_NAMES = ("m",)
SHARDS_PER_CELL = 2


def configuration(
    cells: int, reach: int = REACH, latency_objective_ms: float = LATENCY_OBJECTIVE_MS, agent_port: int = 9
) -> config.Config:
    """Returns a broker's configuration, parsed by the product. A query needs all its parts, with one call per part."""
    return config.parse(msgspec.json.encode(_document(cells, reach, latency_objective_ms, agent_port)), {})


def _document(cells: int, reach: int, latency_objective_ms: float, agent_port: int) -> dict[str, Any]:
    return {
        "name": "b0",
        "listen": "127.0.0.1:9",
        "discovery": f"127.0.0.1:{agent_port}",
        "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": 8192},
        "settings": _settings(cells, reach, latency_objective_ms),
    }


def _settings(cells: int, reach: int, latency_objective_ms: float) -> dict[str, Any]:
    category = {
        "name": CLASS,
        "aimMs": latency_objective_ms,
        "hardLimitMs": 10 * latency_objective_ms,
        "idempotency": "read_like",
        "lateValue": 0.3,
        "value": 1.0,
    }
    ceilings = {
        "cancel": True,
        "connIdleMs": 30_000.0,
        "connectTimeoutMs": 250.0,
        "maxAttempts": 4,
        "maxOpen": 100_000,
        "maxRetryAfterMs": 1_000.0,
        "probing": True,
        "retryAfter": False,
        "secondCopies": True,
        "streamsPerConn": 64,
    }
    return {
        "categories": [category],
        "ceilings": ceilings,
        "failureDomains": list(ZONE_NAMES),
        "kinds": list(KIND_NAMES),
        "fleetSize": BROKERS,
        "me": 0,
        "zone": 0,
        "overShareWorth": 0.2,
        "obligations": {"coldFrom": 0.2, "coldMs": 15_000.0, "fallMs": 1_000.0, "overloadFactor": 3.0},
        "registryMode": "push",
        "specifics": {
            "classPartial": [0.9],
            "followUp": [0],
            "minShare": [1.0],
            "wholeAt": [1.0],
            "partsACall": 1,
            "ranges": SHARDS_PER_CELL * cells,
            "sets": cells,
            "width": reach,
        },
        "tenants": [{"name": TENANT, "quotaPerS": 10.0 * QUERIES_PER_S}],
    }
