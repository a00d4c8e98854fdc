"""The exchange of knowledge: a broker serves its observations of servers to its peers and learns theirs.

`knowledge.trust` decides how far peers are trusted; the decisions use the result when they choose servers.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping, Sequence

from badgerbend.config.fleet import Peers
from badgerbend.config.settings import Settings
from badgerbend.discovery.directory import Directory
from badgerbend.knowledge.record import KnowledgeRecord, make_record
from badgerbend.knowledge.trust import PeerTrust
from badgerbend.log import get_logger
from badgerbend.membership.members import Address, Member
from badgerbend.membership.messages import MemberState
from badgerbend.membership.swim import MemberChanged, Swim, SwimConfig
from badgerbend.net.seal import DatagramSealer, read_key
from badgerbend.net.udp import address_text
from badgerbend.peering.exchange import KnowledgeServer
from badgerbend.peering.own_snapshot import OwnSnapshot
from badgerbend.peering.pull import KnowledgePeer, PullSchedule, knowledge_peers
from badgerbend.peering.status import MemberStatus, PeersStatus
from badgerbend.peering.udp import MembershipSocket
from badgerbend.runtime.driver import Driver

OWN_SNAPSHOT = "own snapshot"  # stands for a peer's name when this broker's own earlier record is used
PROBE_TIMEOUT_SHARE = 0.3  # fraction of the probe interval
CLOSE_GRACE_S = 0.2  # time for answers in flight


class KnowledgeExchange:
    """One broker's side of the exchange. It exists as long as the broker runs, across all of its configurations.

    driver: that of the current configuration. report_fault: called with the kind of a fault and its detail.
    """

    def __init__(
        self, settings: Settings, driver: Driver, directory: Directory, report_fault: Callable[[str, str], None]
    ) -> None:
        self.settings = settings
        self.driver = driver
        self.directory = directory
        self.report_fault = report_fault
        self.trust = PeerTrust()
        self.log = get_logger(part="learning")
        self.socket: MembershipSocket | None = None
        self.server: KnowledgeServer | None = None
        self.membership_port = 0
        self.knowledge_port = 0
        self.servers_learned = 0
        self._rng = random.Random(settings.seed * 7919 + settings.identity.index)
        self._pull_schedule: PullSchedule | None = None
        self._snapshot: OwnSnapshot | None = None
        self._restored: KnowledgeRecord | None = None  # read at startup, used once the servers have numbers
        self._closed = False

    # -- startup and shutdown

    async def start(self) -> None:
        """Read the snapshot and open the sockets, if they are configured. Raises OSError or KeyFileError."""
        if self.settings.snapshot is not None:
            self._snapshot = OwnSnapshot(self.settings.snapshot, self.own_record)
            self._restored = self._snapshot.restore()
            self._snapshot.start()
        if self.settings.peers is not None:
            await self._open(self.settings.peers)

    async def _open(self, peers: Peers) -> None:
        keys = tuple(read_key(path) for path in peers.key)
        started_ms = int(time.time() * 1000)
        self.server = KnowledgeServer(keys, self.own_record)
        self.knowledge_port = await self.server.http.start(peers.host, peers.knowledge_port)
        self.socket = MembershipSocket(DatagramSealer(keys, started_ms), self._member_changed)
        self.membership_port = await self.socket.open(peers.host, peers.port)
        swim = self._create_swim(peers, started_ms)
        self._pull_schedule = PullSchedule(peers, keys[0], self._rng, self._trusted_peers, self._learn)
        self.socket.start(swim, tuple(_address(seed) for seed in peers.seed))
        self._pull_schedule.start()

    def _create_swim(self, peers: Peers, incarnation: int) -> Swim:
        """Create the local member, whose metadata is the address of the knowledge server."""
        interval_s = peers.period_ms / 1000.0
        return Swim(
            f"broker-{self.settings.identity.index}",
            (peers.host, self.membership_port),
            incarnation,
            address_text((peers.host, self.knowledge_port)),
            SwimConfig(probe_interval_s=interval_s, probe_timeout_s=PROBE_TIMEOUT_SHARE * interval_s),
            self._rng.getrandbits(32),
        )

    async def close(self) -> None:
        """Leave the group, cancel all requests, and write a last snapshot."""
        self._closed = True
        if self._snapshot is not None:
            self._snapshot.stop()
        if self._pull_schedule is not None:
            self._pull_schedule.close()
        if self.socket is not None:
            self.socket.close()
        if self.server is not None:
            await self.server.http.close(CLOSE_GRACE_S)
        if self._snapshot is not None:
            await self._snapshot.write_last()

    # -- this broker's own observations

    def own_record(self) -> KnowledgeRecord:
        """A record of what this broker has observed itself."""
        identity = self.settings.identity
        return make_record(
            self.driver.observations(),
            self.directory.names,
            identity.index,
            identity.zone,
            self.driver.open_parts,
            self.driver.module.redundancy.chosen,
        )

    def check_answer(self, node: int, latency_ms: float) -> None:
        """Compare an own answer with the claims of peers about its server."""
        module = self.driver.module
        for peer in self.trust.check_answer(node, latency_ms, module.latency.typical_ms, module.now_ms):
            self.report_fault("peer not believed", peer)

    # -- observations learned from peers

    @property
    def pulls(self) -> int:
        """The number of rounds of requests to peers so far."""
        return self._pull_schedule.pulls if self._pull_schedule is not None else 0

    def endpoint_list_loaded(self) -> None:
        """Use the snapshot and ask peers, now that the endpoint list is loaded and servers have numbers."""
        if self._restored is not None:
            self._learn({OWN_SNAPSHOT: self._restored}, is_own=True)
            self._restored = None
        self._request_first_pull()

    def _member_changed(self, event: MemberChanged) -> None:
        self.log.info("member", name=event.name, state=event.state.label, incarnation=event.incarnation)
        if event.state == MemberState.ALIVE:
            self._request_first_pull()

    def _request_first_pull(self) -> None:
        """Schedule the first pull, if there is an endpoint list; the schedule also needs a peer."""
        if self._pull_schedule is not None and self.directory.servers:
            self._pull_schedule.request_first()

    def _trusted_peers(self) -> Sequence[KnowledgePeer]:
        now_ms = self.driver.schedule.now_ms()
        return [peer for peer in knowledge_peers(self._members()) if self.trust.is_trusted(peer.name, now_ms)]

    def _learn(self, records: Mapping[str, KnowledgeRecord], *, is_own: bool = False) -> None:
        """Combine records, given by peer, and pass the result to the decisions."""
        if not records or self._closed:
            return
        node_by_name = {name: node for node, name in self.directory.names.items()}
        prior = self.trust.combine(records, node_by_name, self.driver.schedule.now_ms(), is_own=is_own)
        self.servers_learned += len(prior.nodes)
        self.log.info("learned", peers=sorted(records), servers=len(prior.nodes), answers=len(prior.answers))
        self.driver.add_observations(prior)

    # -- status

    def status(self) -> PeersStatus:
        """The members of the group, and figures on what was learned from them."""
        swim = self.socket.swim if self.socket is not None else None
        return PeersStatus(
            pulls=self.pulls,
            servers_learned=self.servers_learned,
            health_score=swim.health_score if swim is not None else 0,
            members=tuple(self._member_status(member) for member in self._members()),
        )

    def _members(self) -> list[Member]:
        """All other members, including dead and departed ones; empty while the socket is closed."""
        swim = self.socket.swim if self.socket is not None else None
        return list(swim.members.values()) if swim is not None else []

    def _member_status(self, member: Member) -> MemberStatus:
        return MemberStatus(
            name=member.name,
            address=address_text(member.address),
            state=member.state.label,
            incarnation=member.incarnation,
            trusted=self.trust.is_trusted(member.name, self.driver.schedule.now_ms()),
        )


def _address(text: str) -> Address:
    """Parse an address of the form HOST:PORT, which the settings have validated."""
    host, _, port = text.rpartition(":")
    return (host, int(port))
