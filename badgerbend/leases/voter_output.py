"""What a voter wants done: records to persist, messages to send, and lines for the log of the process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from badgerbend.consensus.ready import OutboundMessage, SequencedRecord
from badgerbend.leases.messages import LeaseReply


class OutboundReply(NamedTuple):
    """A reply or notification, and the name of the broker that it is for."""

    to: str
    reply: LeaseReply


class LogLine(NamedTuple):
    """A line for the log of the process: what happened, and the fields beside it."""

    event: str
    fields: dict[str, object]


@dataclass(slots=True)
class VoterOutput:
    """The work that has gathered since the last call of `Voter.drain_output`, to be done in this order.

    records: to be persisted, and reported to `Voter.persisted`. to_voters, to_brokers: to be sent now, without waiting
    for the records.
    """

    records: list[SequencedRecord]
    to_voters: list[OutboundMessage]
    to_brokers: list[OutboundReply]
    log_lines: list[LogLine]
