"""Every name that the platform has on the wire, in one table. Nothing here decides or reads anything."""

from __future__ import annotations

from badgerbend import api
from badgerbend.api import Outcome
from badgerbend.discovery import members
from badgerbend.frames import codec

ENV = "ROUTER"  # variables are ROUTER_NAME and so on

# -- a client's request: headers in lower case, as they are looked up
ID, CLASS, TENANT, TIME_LEFT, RETRY, KEY = (
    b"x-correlation-id",
    b"x-service-class",
    b"x-account",
    b"x-time-left-ms",
    b"x-repeat",
    b"idempotency-key",
)
HEALTH = b"/_health"
REQUEST_FIELDS = {"parts": "tablets", "text": "statement"}
PART_FIELDS = {"shard": "tablet", "weight": "fraction", "cost_us": "guess", "token": "token"}

# -- the answer
WHOLE, HITS, HIT_SHARD, HIT_VALUE = b"full", b"pieces", b"tablet", b"cell"

FRAMES = codec.Names(
    query=b"q",
    cancel=b"c",
    probe=b"p",
    load=b"l",
    answer=b"a",
    error=b"e",
    ends={b"served": Outcome.OK, b"broke": Outcome.ERROR, b"skipped": Outcome.REJECTED},
    wait=b"d",
    key=b"k",
)

MEMBERS = members.Names(
    path="/catalog/members",
    since="since",
    timeout="timeout_ms",
    version="rev",
    whole="all",
    rows="targets",
    id="uid",
    address="endpoint",
    zone="az",
    kind="model",
    cell="pod_group",
    state="state",
    size="capacity_hint",
    started="boot_ms",
    states={
        "up": api.EndpointState.READY,
        "draining": api.EndpointState.DRAINING,
        "removed": api.EndpointState.REMOVED,
    },
)
