"""Which of the product's limits the planned fleet would exceed: what it needs, as a share of each limit; and trials.

A share above 1 means that the limit is exceeded. The trials run the product's own code at the size and count how much
of the content it still holds.
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
    """One of the product's limits, and how much of it a fleet needs, by number of brokers and nodes."""

    name: str
    maximum: float
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
        lambda brokers, nodes: len(encode(records.record_of_all_nodes(nodes, 1))),
    ),
    Limit("net.server BACKLOG: all brokers connect at once", BACKLOG, lambda brokers, nodes: brokers),
    Limit(
        "peering.exchange SERVER.max_connections: a zone's brokers ask one peer at once",
        SERVER_LIMITS.max_connections,
        lambda brokers, nodes: brokers / ZONES,
    ),
)


def share_of_members_held(brokers: int) -> float:
    """Returns the share of brokers that a member still holds after it has received the state of all of them."""
    member = Swim("observer", ("observer", 1), 1, "", SwimConfig(), 1)
    for i in range(brokers):
        sender = MemberUpdate(f"broker-{i}", f"host-{i}", 7946, MemberState.ALIVE, 1)
        member.receive(0.0, encode_datagram(Sync(False, sender)), (sender.host, sender.port))
    return len(member.members) / brokers


def share_of_windows_kept(brokers: int, replaced: int) -> float:
    """Returns the share of brokers whose replay window a receiver still has.

    Without the window, the receiver would accept a datagram for a second time. Each broker sends one datagram, and then
    each replacement of a machine sends one from an address of its own. A broker whose window was dropped gets a new one
    with its next datagram, for which the receiver drops another broker's window.
    """
    receiver = DatagramSealer((KEY,), 1)
    senders = [f"10.123.{i // 256}.{i % 256}:7946".encode() for i in range(brokers + replaced)]
    for sender in senders:
        receiver.open(DatagramSealer((KEY,), 2).seal(b"ping", sender), sender)
    return sum(sender in receiver.senders for sender in senders[:brokers]) / brokers


def accepts_record_of_all_nodes(nodes: int) -> bool:
    """Returns whether a receiver would accept a record of all nodes."""
    try:
        decode(encode(records.record_of_all_nodes(nodes, 1)))
    except RecordError:
        return False
    return True


def figures(brokers: int, nodes: int) -> list[Figure]:
    results = []
    for limit in LIMITS:
        share = limit.needed(brokers, nodes) / limit.maximum
        results.append(Figure("brokers", "limit", limit.name, "share", brokers, share, Kind.MEASURED))
    replaced = round(restarts_expected(brokers, DAY_S))
    trials = (
        ("brokers held by a member", share_of_members_held(brokers)),
        ("replay windows kept, brokers only", share_of_windows_kept(brokers, 0)),
        ("replay windows kept, after a day's replacements", share_of_windows_kept(brokers, replaced)),
        ("a record of all nodes is read", float(accepts_record_of_all_nodes(nodes))),
    )
    return results + [
        Figure("brokers", "trial", quantity, "share", brokers, value, Kind.MEASURED) for quantity, value in trials
    ]
