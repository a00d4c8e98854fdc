"""One broker's part in probing: it says whom it doubts, probes while it holds the duty, and takes in what is found."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

from badgerbend.config.fleet import Duties
from badgerbend.discovery.directory import Directory
from badgerbend.discovery.members import parse_address
from badgerbend.lease_service import wire
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.health_checks import HealthChecker, observations_of, suspected_servers, suspicion_report
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import ProbeReport, SuspicionReport
from badgerbend.net.client import End, Pool, Reply
from badgerbend.net.udp import Address, address_text
from badgerbend.runtime.driver import Driver

PROBING_DUTY = "probe"  # the duty's name; where there are sites, each has one of its own
DOUBT_S = 1.0  # doubts are said so often, for as long as they last
PROBE_S = 1.0  # a probe that is not answered by then has failed
LOOK_S = 0.05  # how often a prober looks at what is due
FAILED_FOR_S = 2.0  # a prober none of whose probes was answered for so long says that it fails
NEVER = -1.0  # before any time of the clock
_BODY = b'{"query":"{ __typename }"}'
_HEAD = (
    b"POST /graphql HTTP/1.1\r\nhost: %s:%d\r\nuser-agent: badgerbend/probe\r\n"
    b"content-type: application/json\r\ncontent-length: %d\r\n\r\n"
)


class DutySocket(Protocol):
    """What a duty needs of the broker's socket for duties."""

    loop: asyncio.AbstractEventLoop
    own: Address

    def may_act(self, duty: str) -> int | None:
        """The epoch under which this broker may act on a duty now, if it may."""

    def send_to_holder(self, duty: str, body: bytes) -> None:
        """Sends to whoever holds a duty, as this broker was last told."""

    def send(self, address: Address, body: bytes, still: Callable[[], bool] | None = None) -> None: ...


class ProbingDuty:
    """duty: its name at this broker's site. pool_of: connections to a server, by its number."""

    def __init__(
        self,
        socket: DutySocket,
        duties: Duties,
        duty: str,
        broker: str,
        fence: FencingGuard,
        driver: Driver,
        directory: Directory,
        pool_of: Callable[[int], Pool | None],
        clock: Callable[[], float],
    ) -> None:
        self.socket, self.duty, self.broker, self.fence = socket, duty, broker, fence
        self.driver, self.directory, self.pool_of, self.clock = driver, directory, pool_of, clock
        self.prober = HealthChecker(duty, broker, duties.probe_every_ms / 1000.0, duties.probes)
        self.findings = 0  # rows that others' probes told this broker
        self.acts = 0
        self._answered_at = self._probed_since = NEVER
        self._closed = False
        self._doubts: asyncio.TimerHandle | None = None
        self._looks: asyncio.TimerHandle | None = None

    def start(self, holder: LeaseHolder) -> None:
        self._doubts = self.socket.loop.call_later(DOUBT_S * holder.rng.random(), self._say_doubts, holder)
        self._looks = self.socket.loop.call_later(LOOK_S, self._look, holder)

    def close(self) -> None:
        self._closed = True
        for timer in (self._doubts, self._looks):
            if timer is not None:
                timer.cancel()

    def may_act(self) -> int | None:
        """The epoch under which this broker may probe now, if it may."""
        return self.socket.may_act(self.duty)

    # -- doubts
    def _say_doubts(self, holder: LeaseHolder) -> None:
        wait_s = DOUBT_S * holder.rng.uniform(0.8, 1.2)
        self._doubts = self.socket.loop.call_later(wait_s, self._say_doubts, holder)
        doubts = suspected_servers(self.driver.known(), self.directory.names)
        if not doubts:
            return
        doubt = suspicion_report(doubts, self.broker, self.duty)
        if self.may_act() is not None:
            self.heard_doubt(doubt, self.socket.own)
        elif holder.duties[self.duty].holder != self.broker:
            self.socket.send_to_holder(self.duty, wire.encode_peer_message(doubt))

    def heard_doubt(self, doubt: SuspicionReport, source: Address) -> None:
        if doubt.duty == self.duty and self.may_act() is not None:
            self.prober.receive_suspicions(self.clock(), doubt, address_text(source))

    # -- probes
    def _look(self, holder: LeaseHolder) -> None:
        self._looks = self.socket.loop.call_later(LOOK_S, self._look, holder)
        if self.may_act() is None:
            self.prober.clear()
            self._probed_since = NEVER
            return
        for server in self.prober.start_due_checks(self.clock()):
            known = self.directory.known.get(server)
            pool = self.pool_of(known.number) if known is not None else None
            if pool is None:
                self.found(server, False, 0.0)  # it is on no list any more
                continue
            _Probe(self, server, pool)
        self._judge_self(holder)

    def _judge_self(self, holder: LeaseHolder) -> None:
        """A prober that gets no answer from any server, though others doubt but some, says that it fails."""
        now = self.clock()
        if not self.prober.servers:
            self._probed_since = NEVER
        elif self._probed_since < 0:
            self._probed_since = now
        answered_at = max(self._probed_since, self._answered_at)
        failing = self._probed_since >= 0 and now - answered_at > FAILED_FOR_S
        holder.set_failing(self.duty, failing)

    def found(self, server: str, served: bool, took_ms: float) -> None:
        """A probe's end. It is an act: told under the epoch in force now, or not at all."""
        if served:
            self._answered_at = self.clock()
        epoch = self.may_act()
        if epoch is None or self._closed:
            return
        for at, found in self.prober.finish_check(self.clock(), epoch, server, served, took_ms):
            self.acts += 1
            if at == address_text(self.socket.own):
                self.heard_found(found)
            else:
                self.socket.send(parse_address(at), wire.encode_peer_message(found), lambda: self.may_act() == epoch)

    def heard_found(self, found: ProbeReport) -> None:
        """Under an older epoch than was seen it takes no effect, whoever says it."""
        if found.duty != self.duty or not self.fence.admits(found.duty, found.epoch):
            return
        self.findings += len(found.results)
        known = self.directory.known
        numbers = {row.server: known[row.server].number for row in found.results if row.server in known}
        self.driver.learn(observations_of(found, numbers))


class _Probe:
    """One question to one server, and its one end."""

    def __init__(self, probing: ProbingDuty, server: str, pool: Pool) -> None:
        self.probing, self.server, self.began = probing, server, probing.clock()
        head = _HEAD % (pool.host.encode(), pool.port, len(_BODY))
        self.call = pool.request(head + _BODY, self.replied)
        self.limit = probing.socket.loop.call_later(PROBE_S, partial(self.end, False))
        self.done = False

    def replied(self, reply: Reply) -> None:
        self.end(reply.end is End.ANSWER and reply.status == 200)

    def end(self, served: bool) -> None:
        if not self.done:
            self.done = True
            self.limit.cancel()
            self.call.abort()
            self.probing.found(self.server, served, (self.probing.clock() - self.began) * 1000.0)
