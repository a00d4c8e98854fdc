"""KnowledgeExchange: who to ask, when, and what comes of it; and the broker's own snapshot, taken as one more peer.

Whom to believe is `knowledge.trust`'s to say, what a server is worth the module's.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from badgerbend import api
from badgerbend.config.fleet import Peers
from badgerbend.config.settings import Settings, Snapshot
from badgerbend.discovery.directory import Directory
from badgerbend.disk import write_atomically
from badgerbend.knowledge.record import KnowledgeRecord, make_record
from badgerbend.knowledge.trust import PeerTrust
from badgerbend.log import get
from badgerbend.membership.messages import MemberState
from badgerbend.membership.swim import MemberChanged, Swim, SwimConfig
from badgerbend.net.client import Call
from badgerbend.net.seal import Seal, read_key
from badgerbend.peering.exchange import FetchError, KnowledgeServer, fetch_record
from badgerbend.peering.udp import MembershipSocket
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.ports import Attempt, Observer
from badgerbend.snapshot.store import SnapshotError, encode_snapshot, read_snapshot

WAIT_S = 1.0  # for peers' answers; who is slower is left out
SELF = "own snapshot"


class AnswerObserver:
    """An observer that passes all on, and holds own answers against what peers said."""

    def __init__(self, inner: Observer) -> None:
        self.inner = inner
        self.knowledge_exchange: KnowledgeExchange | None = None
        self.query_ended, self.stepped, self.trouble = inner.query_ended, inner.stepped, inner.trouble

    def attempt_ended(self, attempt: Attempt, outcome: api.Outcome, took_ms: float) -> None:
        self.inner.attempt_ended(attempt, outcome, took_ms)
        if self.knowledge_exchange is not None and outcome == api.Outcome.OK:
            self.knowledge_exchange.check_answer(attempt.node, took_ms)


class KnowledgeExchange:
    """One broker's, for as long as it runs. `start` raises OSError or BadKey where peers cannot be reached for."""

    def __init__(
        self, settings: Settings, driver: Driver, directory: Directory, trouble: Callable[[str, str], None]
    ) -> None:
        self.settings, self.driver, self.directory, self.trouble = settings, driver, directory, trouble
        self.loop = asyncio.get_running_loop()
        self.trust = PeerTrust()
        self.rng = random.Random(settings.seed * 7919 + settings.identity.index)
        self.log = get(part="learning")
        self.socket: MembershipSocket | None = None
        self.server: KnowledgeServer | None = None
        self.keys: tuple[bytes, ...] = ()
        self.pulls = 0
        self.servers_learned = 0
        self.membership_port = 0
        self.knowledge_port = 0
        self._own: KnowledgeRecord | None = None
        self._calls: list[Call] = []
        self._timers: list[asyncio.TimerHandle] = []
        self._until = 0.0
        self._asked_once = False
        self._writing: asyncio.Future[None] | None = None
        self._closed = False

    async def start(self) -> None:
        if self.settings.snapshot is not None:
            self._restore(self.settings.snapshot)
            self._timers.append(self.loop.call_later(self.settings.snapshot.every_ms / 1000.0, self._keep))
        if self.settings.peers is not None:
            await self._open(self.settings.peers)

    async def _open(self, peers: Peers) -> None:
        self.keys = tuple(read_key(path) for path in peers.key)
        life = int(time.time() * 1000)
        self.server = KnowledgeServer(self.keys, self.own_record)
        knowledge = await self.server.http.start(peers.host, peers.knowledge_port)
        self.socket = MembershipSocket(Seal(self.keys, life), self._changed)
        port = await self.socket.open(peers.host, peers.port)
        self.membership_port = port
        self.knowledge_port = knowledge
        identity = self.settings.identity
        swim = Swim(
            f"broker-{identity.index}",
            (peers.host, port),
            life,
            f"{peers.host}:{knowledge}",
            SwimConfig(probe_interval_s=peers.period_ms / 1000.0, probe_timeout_s=peers.period_ms * 0.0003),
            self.rng.getrandbits(32),
        )
        seeds = tuple((s.rpartition(":")[0], int(s.rpartition(":")[2])) for s in peers.seed)
        self._until = self.loop.time() + peers.until_ms / 1000.0
        self.socket.start(swim, seeds)
        self._timers.append(self.loop.call_later(peers.every_ms / 1000.0, self._again, peers))

    async def close(self) -> None:
        """Leaves the others, and writes a last snapshot."""
        self._closed = True
        for timer in self._timers:
            timer.cancel()
        for call in self._calls:
            call.abort()
        if self.socket is not None:
            self.socket.close()
        if self.server is not None:
            await self.server.http.close(0.2)
        if self.settings.snapshot is not None:
            if self._writing is not None:
                await asyncio.wait([self._writing])
            self._write(Path(self.settings.snapshot.file), encode_snapshot(self.own_record(), time.time()))

    def own_record(self) -> KnowledgeRecord:
        """What this broker has seen itself."""
        identity, module = self.settings.identity, self.driver.module
        return make_record(
            self.driver.known(),
            self.directory.names,
            identity.index,
            identity.zone,
            self.driver.open_parts,
            module.redundancy.chosen,
        )

    def check_answer(self, node: int, took_ms: float) -> None:
        module = self.driver.module
        for peer in self.trust.check_answer(node, took_ms, module.latency.typical_ms, module.now_ms):
            self.trouble("peer not believed", peer)

    def endpoint_list_loaded(self) -> None:
        """The first list is there: servers have numbers by now."""
        if self._own is not None:
            self._take({SELF: self._own}, own=True)
            self._own = None
        self._first_pull()

    # -- peers
    def _changed(self, event: MemberChanged) -> None:
        self.log.info("member", name=event.name, state=event.state.name.lower(), incarnation=event.incarnation)
        if event.state == MemberState.ALIVE:
            self._first_pull()

    def _first_pull(self) -> None:
        """As soon as there are both a list and a peer; a moment later, when more have been met."""
        if not self._asked_once and self.settings.peers is not None and self.directory.known and self._servers_to_ask():
            self._asked_once = True
            self._timers.append(self.loop.call_later(0.1, self.pull))

    def _again(self, peers: Peers) -> None:
        if self.loop.time() < self._until:
            self.pull()
            self._timers.append(self.loop.call_later(peers.every_ms / 1000.0, self._again, peers))

    def _servers_to_ask(self) -> list[tuple[str, str, int]]:
        swim = self.socket.swim if self.socket is not None else None
        out = []
        for member in swim.live_members() if swim is not None else ():
            host, _, port = member.metadata.rpartition(":")
            if member.state == MemberState.ALIVE and port.isdigit() and self.trust.is_trusted(member.name, self._now()):
                out.append((member.name, host, int(port)))
        return out

    def _now(self) -> float:
        return self.driver.schedule.now_ms()

    def pull(self) -> None:
        """Asks some peers at once and takes what has come when all have answered, or the wait is over."""
        peers = self.settings.peers
        if peers is None or self._closed:
            return
        servers = self._servers_to_ask()
        chosen = self.rng.sample(servers, min(len(servers), peers.ask))
        if not chosen:
            return
        self.pulls += 1
        records: dict[str, KnowledgeRecord] = {}
        open_ = {name for name, _, _ in chosen}

        def got(name: str, found: KnowledgeRecord | FetchError) -> None:
            if name not in open_:
                return
            open_.discard(name)
            if isinstance(found, FetchError):
                self.log.info("peer did not tell", peer=name, why=str(found))
            else:
                records[name] = found
            if not open_:
                self._take(records)

        def enough() -> None:
            if open_:
                open_.clear()
                self._take(records)

        self._calls = [c for c in self._calls if not c.done]
        for name, host, port in chosen:
            self._calls.append(fetch_record(self.keys[0], host, port, lambda found, name=name: got(name, found)))  # type: ignore[misc]
        self._timers = [t for t in self._timers if not t.cancelled() and t.when() > self.loop.time()]
        self._timers.append(self.loop.call_later(WAIT_S, enough))

    def _take(self, records: dict[str, KnowledgeRecord], own: bool = False) -> None:
        if not records or self._closed:
            return
        numbers = {name: node for node, name in self.directory.names.items()}
        prior = self.trust.combine(records, numbers, self._now(), own)
        self.servers_learned += len(prior.nodes)
        self.log.info("learned", peers=sorted(records), servers=len(prior.nodes), answers=len(prior.answers))
        self.driver.learn(prior)

    # -- the snapshot
    def _restore(self, snapshot: Snapshot) -> None:
        try:
            self._own = read_snapshot(Path(snapshot.file), time.time())
        except FileNotFoundError:
            self.log.info("no snapshot yet", file=snapshot.file)
        except SnapshotError as err:
            self.log.warning("snapshot not used", file=snapshot.file, why=str(err))

    def _keep(self) -> None:
        snapshot = self.settings.snapshot
        if snapshot is None or self._closed:
            return
        if self._writing is None or self._writing.done():  # a slow disk delays the next one, and nothing else
            data = encode_snapshot(self.own_record(), time.time())
            self._writing = self.loop.run_in_executor(None, self._write, Path(snapshot.file), data)
        self._timers.append(self.loop.call_later(snapshot.every_ms / 1000.0, self._keep))

    def _write(self, path: Path, data: bytes) -> None:
        try:
            write_atomically(path, data)
        except OSError as err:
            self.log.warning("snapshot not written", file=str(path), why=str(err))

    def status(self) -> dict[str, Any]:
        """For a person: members, and what was learned."""
        swim = self.socket.swim if self.socket is not None else None
        return {
            "pulls": self.pulls,
            "learned": self.servers_learned,
            "health": swim.health_score if swim is not None else 0,
            "members": [
                {
                    "name": m.name,
                    "address": f"{m.address[0]}:{m.address[1]}",
                    "state": m.state.name.lower(),
                    "incarnation": m.incarnation,
                    "believed": self.trust.is_trusted(m.name, self._now()),
                }
                for m in (swim.members.values() if swim is not None else ())
            ],
        }
