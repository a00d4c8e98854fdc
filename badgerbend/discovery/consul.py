"""Consul's health endpoint as the target of a watch: blocking queries for an index beyond the last one seen."""

from __future__ import annotations

from urllib.parse import quote

from badgerbend.config.settings import Discovery
from badgerbend.discovery.directory import Directory, ListReader, decode_rows
from badgerbend.discovery.polls import Retention
from badgerbend.discovery.target import Pace
from badgerbend.net.calls import Reply

ANSWER_TIMEOUT_S = 2.0  # after the longest wait that the query allows, before a silent poll is abandoned


class ConsulTarget:
    """The `Target` of a watch on the Consul service that the settings name."""

    def __init__(self, settings: Discovery) -> None:
        self.settings = settings
        self.host, self.port, self.max_bytes = settings.host, settings.port, settings.max_bytes
        self.polls_on_request = settings.mode == "ask"
        self.pace = Pace()
        self.retention = Retention()
        # Consul adds jitter of up to a sixteenth of the wait, so that blocking queries do not all end at once.
        self.wait_s = settings.wait_ms / 1000.0 * (1 + 1 / 16)
        self.answer_timeout_s = ANSWER_TIMEOUT_S
        self.max_answer_s = 20 * ANSWER_TIMEOUT_S

    def path(self, version: int | None) -> str:
        wait_s = self.settings.wait_ms / 1000.0
        return f"/v1/health/service/{quote(self.settings.service, safe='')}?index={version or 0}&wait={wait_s:g}s"

    def read(
        self, reply: Reply, version: int | None, has_list: bool, directory: Directory, now_ms: float, unix_s: float
    ) -> tuple[int | None, ListReader | None]:
        index = int(reply.headers.get(b"x-consul-index", b"0"))
        if index == version and has_list:
            return index, None  # the query timed out without a change
        reader = ListReader(directory, decode_rows(reply.body), now_ms, unix_s)
        # An index that went backwards starts over: the next poll fetches the complete list.
        return (index if index > (version or 0) else None), reader
