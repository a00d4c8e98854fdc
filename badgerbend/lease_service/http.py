"""Leases over HTTP: `GET /duties` returns the status; `POST /duties/COMMAND` executes a command.

A command requires one of the keys of the lease service as bearer token.
"""

from __future__ import annotations

import msgspec

from badgerbend.lease_service.commands import execute, parse_command
from badgerbend.lease_service.service import LeaseService
from badgerbend.lease_service.status import service_status
from badgerbend.net.exchange import Exchange
from badgerbend.net.seal import has_bearer_key

JSON = b"application/json"
TEXT = b"text/plain"
STATUS_PATH = b"/duties"
COMMAND_PREFIX = b"/duties/"


def handle_duties(service: LeaseService | None, exchange: Exchange, path: bytes) -> None:
    """Handles a request for a path that begins with /duties."""
    if service is None:
        exchange.respond(404, b"no duties are set\n", TEXT)
    elif path == STATUS_PATH:
        exchange.respond(200, msgspec.json.encode(service_status(service)), JSON)
    elif exchange.method != b"POST":
        exchange.respond(405, b"POST it\n", TEXT, ((b"allow", b"POST"),))
    elif not has_bearer_key(exchange.headers.get(b"authorization", b""), service.keys):
        exchange.respond(403, b"the duties' key is wanted, as a bearer token\n", TEXT)
    else:
        _handle_command(service, exchange, path.removeprefix(COMMAND_PREFIX).decode("latin-1"))


def _handle_command(service: LeaseService, exchange: Exchange, path: str) -> None:
    command = parse_command(path)
    if command is None:
        exchange.respond(404, b"no such command\n", TEXT)
        return
    result = execute(service, command)
    if result.accepted:
        exchange.respond(200, msgspec.json.encode({"said": result.message}), JSON)
    else:
        exchange.respond(409, result.message.encode() + b"\n", TEXT)
