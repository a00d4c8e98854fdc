"""The work that a voter hands to its owner: records to persist, messages to send, and events to handle."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from badgerbend.consensus.events import Event
from badgerbend.consensus.messages import Message, Record


class SequencedRecord(NamedTuple):
    """A record to persist, with its sequence number among all records since the voter started."""

    sequence: int
    record: Record


class OutboundMessage(NamedTuple):
    """A message and the voter to send it to."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Ready:
    """The work that has accumulated since the last call of `Raft.take_ready`.

    records: to be persisted in this order and then reported to `Raft.persisted`. messages: to be sent now, without
    waiting for the records. events: in the order in which they occurred.
    """

    records: list[SequencedRecord]
    messages: list[OutboundMessage]
    events: list[Event]
