"""Duties over HTTP: `GET /duties` shows what is held; `POST /duties/COMMAND` acts, for those who send the key."""

from __future__ import annotations

import msgspec

from badgerbend.lease_service.service import LeaseService
from badgerbend.net.server import Exchange

JSON, TEXT = b"application/json", b"text/plain"


def handle_duties(lease_service: LeaseService | None, exchange: Exchange, path: bytes) -> None:
    """Answers a request for a path that begins with /duties."""
    if lease_service is None:
        exchange.respond(404, b"no duties are set\n", TEXT)
    elif path == b"/duties":
        exchange.respond(200, msgspec.json.encode(lease_service.status()), JSON)
    elif exchange.method != b"POST":
        exchange.respond(405, b"POST it\n", TEXT, ((b"allow", b"POST"),))
    elif not lease_service.allows(exchange.headers.get(b"authorization", b"")):
        exchange.respond(403, b"the duties' key is wanted, as a bearer token\n", TEXT)
    else:
        status, word = lease_service.command(path.removeprefix(b"/duties/").decode("latin-1"))
        body = msgspec.json.encode({"said": word}) if status == 200 else word.encode() + b"\n"
        exchange.respond(status, body, JSON if status == 200 else TEXT)
