"""Every name of the platform's wire formats, in one table. This module contains no logic."""

from __future__ import annotations

from badgerbend import api
from badgerbend.api import Outcome
from badgerbend.discovery import members
from badgerbend.frames import codec

ENV = "ROUTER"  # prefix of the environment variables: ROUTER_NAME and so on

# -- a client's request: header names in lower case, as they are looked up
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
COMPLETE, RESULTS, RESULT_SHARD, RESULT_VALUE = b"full", b"pieces", b"tablet", b"cell"

FRAMES = codec.FrameNames(
    query=b"q",
    cancel=b"c",
    probe=b"p",
    load=b"l",
    answer=b"a",
    error=b"e",
    outcomes={b"served": Outcome.OK, b"broke": Outcome.ERROR, b"skipped": Outcome.REJECTED},
    wait=b"d",
    key=b"k",
)

MEMBERS = members.MemberListNames(
    path="/catalog/members",
    since="since",
    timeout="timeout_ms",
    version="rev",
    is_complete="all",
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
