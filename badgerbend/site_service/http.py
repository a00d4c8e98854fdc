"""The HTTP interface of sites: `GET /sites` shows their status; operators use `POST /sites/NAME/drain` and `/return`.

An operator authenticates with the content of the key file as a bearer token.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from badgerbend.net.exchange import Exchange
from badgerbend.net.seal import has_bearer_key
from badgerbend.sites.preference import LocalityPreference
from badgerbend.sites.status import sites_status

JSON = b"application/json"
TEXT = b"text/plain"
DRAIN = "drain"
RETURN = "return"


class SitesHandler:
    """Answers requests about sites. operator_key: None if no key is configured, in which case commands are rejected."""

    def __init__(self, preference: LocalityPreference, now_ms: Callable[[], float], operator_key: bytes | None) -> None:
        self.preference = preference
        self.now_ms = now_ms
        self.operator_key = operator_key

    def handle(self, exchange: Exchange) -> None:
        """Answers a request for `/sites` or a path below it."""
        path = exchange.target.split(b"?", 1)[0].decode("latin-1")
        if path == "/sites" and exchange.method == b"GET":
            self._respond_status(exchange)
            return
        _, _, rest = path.partition("/sites/")
        name, _, command = rest.rpartition("/")
        site = self.preference.table.find(name)
        if site is None or command not in (DRAIN, RETURN):
            exchange.respond(HTTPStatus.NOT_FOUND, b"no such site or command\n", TEXT)
        elif exchange.method != b"POST":
            exchange.respond(HTTPStatus.METHOD_NOT_ALLOWED, b"POST it\n", TEXT, ((b"allow", b"POST"),))
        elif not self._is_authorized(exchange):
            exchange.respond(HTTPStatus.FORBIDDEN, b"the sites' key is wanted, as a bearer token\n", TEXT)
        else:
            self.preference.set_drained(self.now_ms(), site, command == DRAIN)
            self._respond_status(exchange)

    def _respond_status(self, exchange: Exchange) -> None:
        status = sites_status(self.preference, self.now_ms())
        exchange.respond(HTTPStatus.OK, msgspec.json.encode(status), JSON)

    def _is_authorized(self, exchange: Exchange) -> bool:
        if self.operator_key is None:
            return False
        return has_bearer_key(exchange.headers.get(b"authorization", b""), (self.operator_key,))
