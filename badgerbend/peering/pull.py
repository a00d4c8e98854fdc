"""Pulls records from peers: the eligible peers, one round of requests, and the schedule of the rounds."""

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
from badgerbend.net.calls import Call
from badgerbend.peering.exchange import FetchError, fetch_record

PULL_TIMEOUT_S = 1.0  # records of peers that have not answered by then are not used
FIRST_PULL_DELAY_S = 0.1  # after the first peer was found, so that others may be found meanwhile

RecordsCallback = Callable[[Mapping[str, KnowledgeRecord]], None]


@dataclass(frozen=True, slots=True)
class KnowledgePeer:
    """A peer, and the address at which it serves its record."""

    name: str
    host: str
    port: int


def knowledge_peers(members: Iterable[Member]) -> list[KnowledgePeer]:
    """Return the members that are alive and have an address of a knowledge server in their metadata."""
    peers = []
    for member in members:
        host, _, port = member.metadata.rpartition(":")
        if member.state == MemberState.ALIVE and port.isdigit():
            peers.append(KnowledgePeer(member.name, host, int(port)))
    return peers


class KnowledgePull:
    """One round of concurrent requests to peers, which ends when all have answered or after `PULL_TIMEOUT_S`."""

    def __init__(self, peers: Sequence[KnowledgePeer], key: bytes, on_records: RecordsCallback) -> None:
        self._log = get_logger(part="learning")
        self._on_records = on_records
        self._unanswered = {peer.name for peer in peers}
        self._records: dict[str, KnowledgeRecord] = {}
        self._calls = [self._fetch(peer, key) for peer in peers]
        self._timeout = asyncio.get_running_loop().call_later(PULL_TIMEOUT_S, self._timed_out)

    @property
    def is_done(self) -> bool:
        """Whether no request is in flight any more. Requests may outlast the round, which ends at its timeout."""
        return all(call.done for call in self._calls)

    def cancel(self) -> None:
        """End the round and abort its requests; the callback is not called any more."""
        self._timeout.cancel()
        for call in self._calls:
            call.abort()

    def _fetch(self, peer: KnowledgePeer, key: bytes) -> Call:
        return fetch_record(key, peer.host, peer.port, partial(self._on_result, peer.name))

    def _on_result(self, name: str, result: KnowledgeRecord | FetchError) -> None:
        if name not in self._unanswered:
            return  # the round has ended
        self._unanswered.discard(name)
        if isinstance(result, FetchError):
            self._log.info("record could not be fetched from peer", peer=name, why=str(result))
        else:
            self._records[name] = result
        if not self._unanswered:
            self._on_records(self._records)

    def _timed_out(self) -> None:
        if self._unanswered:
            self._unanswered.clear()
            self._on_records(self._records)


class PullSchedule:
    """Decides when records are pulled: once, shortly after the first peer is found, and then periodically for a while.

    candidates: returns the peers that can be asked; called for each round. pulls: the number of rounds so far.
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
        """Schedule the next periodic round."""
        self._repeat_timer = self._loop.call_later(self._settings.every_ms / 1000.0, self._repeat)

    def request_first(self) -> None:
        """Schedule the first round, if there is a peer to ask; does nothing once that round is scheduled."""
        if self._first_timer is None and self._candidates():
            self._first_timer = self._loop.call_later(FIRST_PULL_DELAY_S, self._pull)

    def close(self) -> None:
        """Cancel all rounds, both current and scheduled ones."""
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
        """Start a round with some of the peers, chosen at random."""
        candidates = self._candidates()
        if not candidates:
            return
        chosen = self._rng.sample(candidates, min(len(candidates), self._settings.ask))
        self.pulls += 1
        self._rounds = [pull for pull in self._rounds if not pull.is_done]
        self._rounds.append(KnowledgePull(chosen, self._key, self._on_records))
