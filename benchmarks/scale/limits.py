"""Which of the product's limits the fleet to come would break: what is needed, as a share of the limit; and trials.

A share above 1 is a limit that breaks. The trials bring the product's own code to the size and count what it holds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from badgerbend.knowledge.record import MAX_RECORD_BYTES, MAX_SERVERS, RecordError, decode, encode
from badgerbend.lease_service.local_voter import MAX_BROKER_ADDRESSES
from badgerbend.leases.health_checks import MAX_SUBSCRIBERS
from badgerbend.leases.voter import MAX_PENDING_RENEWALS
from badgerbend.membership.messages import MemberState, MemberUpdate, Sync
from badgerbend.membership.messages import encode as encode_datagram
from badgerbend.membership.swim import Swim, SwimConfig
from badgerbend.net.acceptor import BACKLOG
from badgerbend.net.seal import MAX_SENDERS, DatagramSealer
from badgerbend.peering.exchange import SERVER_LIMITS
from scale import records
from scale.figures import Figure, Kind
from scale.planned_fleet import DAY_S, ZONES, restarts_expected

HOUR_S = 3600.0
KEY = b"k" * 32


@dataclass(frozen=True, slots=True)
class Limit:
    """One of the product's limits, and what a fleet needs of it by brokers and nodes."""

    name: str
    most: float
    needed: Callable[[int, int], float]


LIMITS = (
    Limit(
        "membership Tuning.members_most: brokers, and the dead of an hour",
        SwimConfig().max_members,
        lambda brokers, nodes: brokers + restarts_expected(brokers, HOUR_S),
    ),
    Limit("rota.voting BROKERS", MAX_BROKER_ADDRESSES, lambda brokers, nodes: brokers),
    Limit("net.seal MAX_SENDERS: brokers", MAX_SENDERS, lambda brokers, nodes: brokers),
    Limit(
        "net.seal MAX_SENDERS: brokers, and a day's replacements at new addresses",
        MAX_SENDERS,
        lambda brokers, nodes: brokers + restarts_expected(brokers, DAY_S),
    ),
    Limit("duties.probing ASKERS_MOST", MAX_SUBSCRIBERS, lambda brokers, nodes: brokers),
    Limit("duties.voter MOST_PENDING: a renewal by each broker", MAX_PENDING_RENEWALS, lambda brokers, nodes: brokers),
    Limit("knowledge.record MOST_SERVERS", MAX_SERVERS, lambda brokers, nodes: nodes),
    Limit(
        "knowledge.record MOST_BYTES: a record of all nodes",
        MAX_RECORD_BYTES,
        lambda brokers, nodes: len(encode(records.unbounded(nodes, 1))),
    ),
    Limit("net.server BACKLOG: all brokers connect at once", BACKLOG, lambda brokers, nodes: brokers),
    Limit(
        "peering.exchange SERVER.max_connections: a zone's brokers ask one peer at once",
        SERVER_LIMITS.max_connections,
        lambda brokers, nodes: brokers / ZONES,
    ),
)


def members_held(brokers: int) -> float:
    """The share of so many brokers that a member holds once it has heard of all."""
    member = Swim("observer", ("observer", 1), 1, "", SwimConfig(), 1)
    for i in range(brokers):
        sender = MemberUpdate(f"broker-{i}", f"host-{i}", 7946, MemberState.ALIVE, 1)
        member.receive(0.0, encode_datagram(Sync(False, sender)), (sender.host, sender.port))
    return len(member.members) / brokers


def windows_kept(brokers: int, replaced: int) -> float:
    """The share of brokers whose replay window a receiver still has: without it a datagram seen before is taken again.

    Each broker has sent one datagram; then so many others, from addresses of their own, which replace machines. A
    broker whose window was dropped gets a new one with its next datagram, and the receiver drops another's for it.
    """
    receiver = DatagramSealer((KEY,), 1)
    senders = [f"10.123.{i // 256}.{i % 256}:7946".encode() for i in range(brokers + replaced)]
    for sender in senders:
        receiver.open(DatagramSealer((KEY,), 2).seal(b"ping", sender), sender)
    return sum(sender in receiver.senders for sender in senders[:brokers]) / brokers


def record_of_all_read(nodes: int) -> bool:
    """Whether a record that tells of all nodes would be read."""
    try:
        decode(encode(records.unbounded(nodes, 1)))
    except RecordError:
        return False
    return True


def figures(brokers: int, nodes: int) -> list[Figure]:
    found = []
    for limit in LIMITS:
        share = limit.needed(brokers, nodes) / limit.most
        found.append(Figure("brokers", "limit", limit.name, "share", brokers, share, Kind.MEASURED))
    replaced = round(restarts_expected(brokers, DAY_S))
    trials = (
        ("brokers held by a member", members_held(brokers)),
        ("replay windows kept, brokers only", windows_kept(brokers, 0)),
        ("replay windows kept, after a day's replacements", windows_kept(brokers, replaced)),
        ("a record of all nodes is read", float(record_of_all_read(nodes))),
    )
    return found + [Figure("brokers", "trial", what, "share", brokers, value, Kind.MEASURED) for what, value in trials]
