"""What a person is told of a broker's duties and of its vote, as JSON by `/duties` and as counts by `/metrics`."""

from __future__ import annotations

from typing import Any

import msgspec

from badgerbend.consensus.types import Role
from badgerbend.lease_service.local_voter import LocalVoter
from badgerbend.leases.holder import LeaseHolder

ROLE_WORDS = {
    Role.FOLLOWER: "follower",
    Role.PRE_CANDIDATE: "asking",
    Role.CANDIDATE: "candidate",
    Role.LEADER: "leader",
}


class DutyStatus(msgspec.Struct, frozen=True):
    """A duty as this broker was last told. for_ms: how long it may still act on it."""

    duty: str
    holder: str
    epoch: int
    may_act: bool
    for_ms: int


class FollowerStatus(msgspec.Struct, frozen=True):
    """What a leader knows of another voter. match: the last entry known to be on its disk."""

    match: int
    silent_ms: int


class LeaseStatus(msgspec.Struct, frozen=True):
    duty: str
    holder: str
    epoch: int


class VoteStatus(msgspec.Struct, frozen=True):
    """A voter's state. broken: why it votes no more, if so. others: by name, while it leads."""

    name: str
    role: str
    term: int
    leader: str
    voters: list[str]
    commit: int
    last: int
    broken: str | None
    syncs: int
    renewals: int
    others: dict[str, FollowerStatus]
    leases: list[LeaseStatus]


class LeaseServiceStatus(msgspec.Struct, frozen=True):
    """vote: None where this broker has no store. dealing: None where nothing is dealt."""

    name: str
    leader: str
    duties: list[DutyStatus]
    vote: VoteStatus | None
    probes: int
    findings: int
    acts: int
    dealing: dict[str, Any] | None
    refused_acts: int
    sent: int
    received: int
    refused: int
    bytes: int


def duty_statuses(holder: LeaseHolder, now: float) -> list[DutyStatus]:
    return [
        DutyStatus(
            duty=name,
            holder=duty.holder,
            epoch=duty.holder_epoch,
            may_act=now < duty.valid_until and duty.epoch > 0,
            for_ms=round(max(duty.valid_until - now, 0.0) * 1000.0) if duty.epoch else 0,
        )
        for name, duty in holder.duties.items()
    ]


def vote_status(local_voter: LocalVoter, now: float) -> VoteStatus:
    raft = local_voter.voter.raft
    return VoteStatus(
        name=local_voter.name,
        role=ROLE_WORDS[raft.role],
        term=raft.term,
        leader=raft.leader,
        voters=list(raft.voters),
        commit=raft.commit_index,
        last=raft.log.last_index,
        broken=local_voter.failure,
        syncs=local_voter.writer.sync_count,
        renewals=local_voter.voter.renewals,
        others={
            name: FollowerStatus(progress.match_index, round((now - progress.last_contact_at) * 1000.0))
            for name, progress in raft.progress.items()
        },
        leases=[LeaseStatus(duty, lease.holder, lease.epoch) for duty, lease in local_voter.voter.table.leases.items()],
    )


def vote_counts(local_voter: LocalVoter) -> dict[str, int]:
    """By name, for the metrics."""
    raft = local_voter.voter.raft
    return {
        "term": raft.term,
        "leads": int(local_voter.voter.is_leader),
        "commit": raft.commit_index,
        "syncs": local_voter.writer.sync_count,
        "votes no more": int(local_voter.failure is not None),
    }
