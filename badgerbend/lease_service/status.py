"""The status of a broker's leases and of its voter, which `/duties` returns as JSON."""

from __future__ import annotations

from typing import Any

import msgspec

from badgerbend.consensus.types import Role
from badgerbend.lease_service.budget_exchange import BudgetExchange
from badgerbend.lease_service.local_voter import LocalVoter
from badgerbend.lease_service.service import LeaseService

ROLE_NAMES = {  # on the status page
    Role.FOLLOWER: "follower",
    Role.PRE_CANDIDATE: "asking",
    Role.CANDIDATE: "candidate",
    Role.LEADER: "leader",
}

ROLE_WORDS = {
    Role.FOLLOWER: "follower",
    Role.PRE_CANDIDATE: "asking",
    Role.CANDIDATE: "candidate",
    Role.LEADER: "leader",
}


class DutyStatus(msgspec.Struct, frozen=True):
    """A duty's lease as last reported to this broker. remaining_ms: how long the broker may still act under it."""

    duty: str
    holder: str
    epoch: int
    may_act: bool
    remaining_ms: int = msgspec.field(name="for_ms")


class FollowerStatus(msgspec.Struct, frozen=True):
    """A leader's view of another voter.

    match_index: the last log entry known to be on that voter's disk. silent_ms: time since its last reply.
    """

    match_index: int = msgspec.field(name="match")
    silent_ms: int


class LeaseStatus(msgspec.Struct, frozen=True):
    """A lease in the replicated table. holder: empty if the duty is free."""

    duty: str
    holder: str
    epoch: int


class VoterStatus(msgspec.Struct, frozen=True):
    """This broker's voter. failure: the reason if it has stopped. followers: by name, while it leads."""

    name: str
    role: str
    term: int
    leader: str
    voters: list[str]
    commit_index: int = msgspec.field(name="commit")
    last_index: int = msgspec.field(name="last")
    failure: str | None = msgspec.field(name="broken")
    syncs: int
    renewals: int
    followers: dict[str, FollowerStatus] = msgspec.field(name="others")
    leases: list[LeaseStatus]


class ResourceStatus(msgspec.Struct, frozen=True):
    """A server that is warming up, or a site that recovers. Rates are in parts per second.

    granted_rate: None while no grant is in force.
    """

    name: str = msgspec.field(name="thing")
    own_rate: float = msgspec.field(name="own_per_s")
    granted_rate: float | None = msgspec.field(name="dealt_per_s")


class BudgetStatus(msgspec.Struct, frozen=True):
    """The slow-start budget: this broker's rates, and the counters of its budget and of its allocator."""

    resources: list[ResourceStatus] = msgspec.field(name="cold")
    grants_applied: int = msgspec.field(name="slices")
    grants_issued: int = msgspec.field(name="dealt")
    allocated_resources: int = msgspec.field(name="books")
    unanswered_requests: int = msgspec.field(name="unheard")


class LeaseServiceStatus(msgspec.Struct, frozen=True):
    """The complete status of a lease service.

    voter: None if this broker has no store. budget: None if the slow-start budget is not shared.
    """

    name: str
    leader: str
    duties: list[DutyStatus]
    voter: VoterStatus | None = msgspec.field(name="vote")
    checks_started: int = msgspec.field(name="probes")
    check_results: int = msgspec.field(name="findings")
    duty_messages: int = msgspec.field(name="acts")
    budget: dict[str, Any] | None = msgspec.field(name="dealing")
    fenced_messages: int = msgspec.field(name="refused_acts")
    sent: int
    received: int
    rejected: int = msgspec.field(name="refused")
    bytes: int


def service_status(service: LeaseService) -> LeaseServiceStatus:
    """Returns the current status of a lease service."""
    slow_start = service.slow_start
    budget_replies = slow_start.replies_sent if slow_start is not None else 0
    return LeaseServiceStatus(
        name=service.name,
        leader=service.holder.leader if service.holder is not None else "",
        duties=lease_statuses(service),
        voter=_voter_status(service.local_voter) if service.local_voter is not None else None,
        checks_started=service.health_checks.checker.checks_started,
        check_results=service.health_checks.results_received,
        duty_messages=service.health_checks.reports_sent + budget_replies,
        budget=msgspec.to_builtins(_budget_status(slow_start.exchange)) if slow_start is not None else None,
        fenced_messages=service.fence.rejected,
        sent=service.sent,
        received=service.received,
        rejected=service.refused,
        bytes=service.bytes,
    )


def lease_statuses(service: LeaseService) -> list[DutyStatus]:
    """Returns the lease of each duty that this broker is a candidate for."""
    if service.holder is None:
        return []
    now = service.clock()
    return [
        DutyStatus(
            duty=name,
            holder=duty.holder,
            epoch=duty.holder_epoch,
            may_act=now < duty.valid_until and duty.epoch > 0,
            remaining_ms=round(max(duty.valid_until - now, 0.0) * 1000.0) if duty.epoch else 0,
        )
        for name, duty in service.holder.duties.items()
    ]


def _voter_status(local_voter: LocalVoter) -> VoterStatus:
    now = local_voter.clock()
    voter = local_voter.voter
    raft = voter.raft
    return VoterStatus(
        name=local_voter.name,
        role=ROLE_NAMES[raft.role],
        term=raft.term,
        leader=raft.leader,
        voters=list(raft.voters),
        commit_index=raft.commit_index,
        last_index=raft.log.last_index,
        failure=local_voter.failure,
        syncs=local_voter.writer.sync_count,
        renewals=voter.renewals,
        followers={
            name: FollowerStatus(progress.match_index, round((now - progress.last_contact_at) * 1000.0))
            for name, progress in raft.progress.items()
        },
        leases=[LeaseStatus(duty, lease.holder, lease.epoch) for duty, lease in voter.table.leases.items()],
    )


def _budget_status(exchange: BudgetExchange) -> BudgetStatus:
    now_ms = exchange.now_ms()
    budget = exchange.broker_budget
    resources = {resource.key.name: resource for resource in (*budget.servers.values(), *budget.sites.values())}
    return BudgetStatus(
        resources=[
            ResourceStatus(
                name,
                resource.own_rate * 1000.0,
                resource.granted_rate * 1000.0 if now_ms < resource.granted_until_ms else None,
            )
            for name, resource in sorted(resources.items())
        ],
        grants_applied=budget.grants_applied,
        grants_issued=exchange.allocator.grants_issued,
        allocated_resources=len(exchange.allocator.allocations),
        unanswered_requests=exchange.unanswered_requests,
    )
