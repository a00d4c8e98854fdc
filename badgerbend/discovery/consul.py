"""Consul's health endpoint as a watched list: blocking queries that wait for an index beyond the last."""

from __future__ import annotations

from urllib.parse import quote

from badgerbend.config.settings import Discovery
from badgerbend.discovery.directory import Directory, ListReader, decode_rows
from badgerbend.discovery.watch import Pace
from badgerbend.net.client import Reply

PATIENCE_S = 2.0  # beyond the longest wait asked for, before a silent call is given up


class ConsulTarget:
    """`Target` of a watch, as settings name it."""

    def __init__(self, settings: Discovery) -> None:
        self.settings = settings
        self.host, self.port, self.max_bytes = settings.host, settings.port, settings.max_bytes
        self.asks = settings.mode == "ask"
        self.pace = Pace()
        # Consul adds up to a sixteenth to the wait, so that calls do not end all at once
        self.wait_s = settings.wait_ms / 1000.0 * (1 + 1 / 16)
        self.patience_s = PATIENCE_S
        self.most_s = 20 * PATIENCE_S

    def path(self, version: int | None) -> str:
        wait = self.settings.wait_ms / 1000.0
        return f"/v1/health/service/{quote(self.settings.service, safe='')}?index={version or 0}&wait={wait:g}s"

    def read(
        self, reply: Reply, version: int | None, heard: bool, directory: Directory, now_ms: float, unix_s: float
    ) -> tuple[int | None, ListReader | None]:
        index = int(reply.headers.get(b"x-consul-index", b"0"))
        if index == version and heard:
            return index, None
        reading = ListReader(directory, decode_rows(reply.body), now_ms, unix_s)
        return (index if index > (version or 0) else None), reading  # an index that went back starts anew
