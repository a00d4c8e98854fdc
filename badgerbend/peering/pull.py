"""Pulling records from peers: which peers can be asked, one round of requests, and when rounds take place."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial

from badgerbend.config.fleet import Peers
from badgerbend.knowledge.record import KnowledgeRecord
from badgerbend.log import get_logger
from badgerbend.membership.members import Member
from badgerbend.membership.messages import MemberState
from badgerbend.net.client import Call
from badgerbend.peering.exchange import FetchError, fetch_record

PULL_TIMEOUT_S = 1.0  # peers that have not answered by then are left out
FIRST_PULL_DELAY_S = 0.1  # after the first peer was met; others may be met meanwhile

RecordsCallback = Callable[[Mapping[str, KnowledgeRecord]], None]


@dataclass(frozen=True, slots=True)
class KnowledgePeer:
    """A peer, and the address where its record is served."""

    name: str
    host: str
    port: int


def knowledge_peers(members: Iterable[Member]) -> list[KnowledgePeer]:
    """Return the members that are alive and state an address in their metadata."""
    peers = []
    for member in members:
        host, _, port = member.metadata.rpartition(":")
        if member.state == MemberState.ALIVE and port.isdigit():
            peers.append(KnowledgePeer(member.name, host, int(port)))
    return peers


class KnowledgePull:
    """One round: some peers are asked at once. It ends when all have answered, or after `PULL_TIMEOUT_S`."""

    def __init__(self, peers: Sequence[KnowledgePeer], key: bytes, on_records: RecordsCallback) -> None:
        self._log = get_logger(part="learning")
        self._on_records = on_records
        self._unanswered = {peer.name for peer in peers}
        self._records: dict[str, KnowledgeRecord] = {}
        self._calls = [self._fetch(peer, key) for peer in peers]
        self._timeout = asyncio.get_running_loop().call_later(PULL_TIMEOUT_S, self._timed_out)

    @property
    def is_done(self) -> bool:
        """Whether no request is in flight any more; one may be even after the round has ended."""
        return all(call.done for call in self._calls)

    def cancel(self) -> None:
        """End the round and its requests; the callback is not called any more."""
        self._timeout.cancel()
        for call in self._calls:
            call.abort()

    def _fetch(self, peer: KnowledgePeer, key: bytes) -> Call:
        return fetch_record(key, peer.host, peer.port, partial(self._on_result, peer.name))

    def _on_result(self, name: str, result: KnowledgeRecord | FetchError) -> None:
        if name not in self._unanswered:
            return  # the round is over
        self._unanswered.discard(name)
        if isinstance(result, FetchError):
            self._log.info("peer did not tell", peer=name, why=str(result))
        else:
            self._records[name] = result
        if not self._unanswered:
            self._on_records(self._records)

    def _timed_out(self) -> None:
        if self._unanswered:
            self._unanswered.clear()
            self._on_records(self._records)


class PullSchedule:
    """Decides when peers are asked: once soon after the first is met, then periodically for a while.

    candidates: called for each round, for the peers that can be asked. pulls: rounds so far.
    """

    def __init__(
        self,
        settings: Peers,
        key: bytes,
        rng: random.Random,
        candidates: Callable[[], Sequence[KnowledgePeer]],
        on_records: RecordsCallback,
    ) -> None:
        self.pulls = 0
        self._settings = settings
        self._key = key
        self._rng = rng
        self._candidates = candidates
        self._on_records = on_records
        self._loop = asyncio.get_running_loop()
        self._until = self._loop.time() + settings.until_ms / 1000.0
        self._first_timer: asyncio.TimerHandle | None = None
        self._repeat_timer: asyncio.TimerHandle | None = None
        self._rounds: list[KnowledgePull] = []

    def start(self) -> None:
        """Begin the periodic rounds."""
        self._repeat_timer = self._loop.call_later(self._settings.every_ms / 1000.0, self._repeat)

    def request_first(self) -> None:
        """Schedule the first round, if a peer can be asked; later calls do nothing."""
        if self._first_timer is None and self._candidates():
            self._first_timer = self._loop.call_later(FIRST_PULL_DELAY_S, self._pull)

    def close(self) -> None:
        """End all rounds, present and future."""
        for timer in (self._first_timer, self._repeat_timer):
            if timer is not None:
                timer.cancel()
        for pull in self._rounds:
            pull.cancel()

    def _repeat(self) -> None:
        if self._loop.time() < self._until:
            self._pull()
            self.start()

    def _pull(self) -> None:
        """Ask some of the peers, chosen at random."""
        candidates = self._candidates()
        if not candidates:
            return
        chosen = self._rng.sample(candidates, min(len(candidates), self._settings.ask))
        self.pulls += 1
        self._rounds = [pull for pull in self._rounds if not pull.is_done]
        self._rounds.append(KnowledgePull(chosen, self._key, self._on_records))
