"""What the preference among sites needs of a broker: its looks at the clock, connections opened ahead, and its face.

`GET /sites` shows it. `POST /sites/NAME/drain` and `/return` act by hand, for those who send the key's content.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec

from badgerbend.config.fleet import Sites
from badgerbend.config.settings import Settings
from badgerbend.log import get
from badgerbend.metrics import Metrics
from badgerbend.net.client import Pool
from badgerbend.net.seal import bears
from badgerbend.net.server import Exchange
from badgerbend.sites.setup import rules_of
from badgerbend.sites.status import status
from badgerbend.sites.tiers import Tiers

EVERY_S = 0.1
JSON, TEXT = b"application/json", b"text/plain"
LEAST_KEY = 16  # bytes: shorter ones can be guessed


class Siting:
    """Owns the broker's `Tiers`. Raises ValueError for a key that is no key, OSError for one not to be read."""

    def __init__(
        self,
        settings: Settings,
        sites: Sites,
        folder: Path,
        pool_of: Callable[[int], Pool | None],
        now_ms: Callable[[], float],
        metrics: Metrics,
        kind: type[Tiers] = Tiers,
    ) -> None:
        self.settings, self.pool_of, self.now_ms, self.metrics = settings, pool_of, now_ms, metrics
        self.tiers = kind(rules_of(settings, sites), settings.seed * 1_000_003 + settings.identity.index)
        self.key = (folder / sites.key).read_bytes().strip() if sites.key else None
        if self.key is not None and len(self.key) < LEAST_KEY:
            raise ValueError(f"the sites' key {sites.key} has less than {LEAST_KEY} bytes")
        self.log = get(part="sites")
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(EVERY_S, self._look)

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _look(self) -> None:
        now = self.now_ms()
        for node in self.tiers.ahead(now):
            pool = self.pool_of(node)
            if pool is not None:
                pool.open_ahead(partial(self._connected, node))
        for name, what in self.tiers.news:
            self.log.warning("site", site=name, now=what)
        self.tiers.news.clear()
        self.start()

    def _connected(self, node: int, well: bool) -> None:
        self.tiers.connected(self.now_ms(), node, well)

    def gauges(self) -> None:
        m, now = self.metrics, status(self.tiers, self.now_ms())
        for site in now["sites"]:
            for what in ("share", "sent_per_s", "spilled_per_s", "allowed_per_s", "room_per_s", "used", "turns"):
                if site[what] is not None:
                    m.sites.labels(site["name"], what).set(site[what])
        names = [t.name for t in self.settings.tenant]
        for row in now["refusals"]:
            tenant = names[row["tenant"]] if row["tenant"] < len(names) else ""
            m.site_refusals.labels(row["reason"], m.classes[row["class"]], tenant).set(row["count"])

    def handle(self, exchange: Exchange) -> None:
        path = exchange.target.split(b"?", 1)[0].decode("latin-1")
        if path == "/sites" and exchange.method == b"GET":
            exchange.respond(200, msgspec.json.encode(status(self.tiers, self.now_ms())), JSON)
            return
        _, _, rest = path.partition("/sites/")
        name, _, what = rest.rpartition("/")
        site = self.tiers.named(name)
        if site is None or what not in ("drain", "return"):
            exchange.respond(404, b"no such site or command\n", TEXT)
        elif exchange.method != b"POST":
            exchange.respond(405, b"POST it\n", TEXT, ((b"allow", b"POST"),))
        elif not self._may(exchange):
            exchange.respond(403, b"the sites' key is wanted, as a bearer token\n", TEXT)
        else:
            self.tiers.drain(self.now_ms(), site, what == "drain")
            exchange.respond(200, msgspec.json.encode(status(self.tiers, self.now_ms())), JSON)

    def _may(self, exchange: Exchange) -> bool:
        return self.key is not None and bears(exchange.headers.get(b"authorization", b""), (self.key,))
