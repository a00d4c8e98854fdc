"""The output of a voter: records to persist, messages to send, and lines for the process's log."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from badgerbend.consensus.ready import OutboundMessage, SequencedRecord
from badgerbend.leases.messages import LeaseReply


class OutboundReply(NamedTuple):
    """A reply or notification and the name of the broker to send it to."""

    to: str
    reply: LeaseReply


class LogLine(NamedTuple):
    """A structured line for the process's log."""

    event: str
    fields: dict[str, object]


@dataclass(slots=True)
class VoterOutput:
    """The output since the last call of `Voter.drain_output`, to be processed in this order.

    records: to persist, then to report to `Voter.persisted`. to_voters, to_brokers: to send at once, without waiting
    for the records.
    """

    records: list[SequencedRecord]
    to_voters: list[OutboundMessage]
    to_brokers: list[OutboundReply]
    log_lines: list[LogLine]
