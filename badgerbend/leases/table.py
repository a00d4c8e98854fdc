"""Who holds which duty, and the facts agreed on: the machine that the voters' log drives. Pure, and reads no clock.

It knows nothing of time: a lease stands here until a command ends it. When that may be, the leader says (`manager`).
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from badgerbend.consensus.messages import MalformedMessageError
from badgerbend.leases.messages import GrantLease, PutFact, ReleaseLease, decode_command


@dataclass(frozen=True, slots=True)
class Lease:
    """holder: empty where the duty is free; then the epoch is that of the last one who held it."""

    holder: str = ""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Fact:
    value: bytes
    index: int


class _Dump(msgspec.Struct, array_like=True):
    leases: list[tuple[str, str, int]]
    facts: list[tuple[str, bytes, int]]


NO_LEASE = Lease()


class LeaseTable:
    """`consensus.types.StateMachine`. An epoch is the log's index of its grant: it only grows, over all duties."""

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}
        self.facts: dict[str, Fact] = {}

    def lease(self, duty: str) -> Lease:
        return self.leases.get(duty, NO_LEASE)

    def apply(self, index: int, data: bytes) -> None:
        """A command that no longer fits what stands changes nothing: two leaders' words may cross."""
        try:
            command = decode_command(data)
        except MalformedMessageError:  # of a later version, perhaps: skipped by all alike
            return
        match command:
            case GrantLease(duty, holder, previous_epoch):
                lease = self.lease(duty)
                if not lease.holder and lease.epoch == previous_epoch:
                    self.leases[duty] = Lease(holder, index)
            case ReleaseLease(duty, epoch):
                if self.lease(duty).epoch == epoch and self.lease(duty).holder:
                    self.leases[duty] = Lease("", epoch)
            case PutFact(key, value, previous_index):
                fact = self.facts.get(key)
                if (fact.index if fact else 0) == previous_index:
                    if value:
                        self.facts[key] = Fact(value, index)
                    else:
                        self.facts.pop(key, None)

    def dump(self) -> bytes:
        return msgspec.msgpack.encode(
            _Dump(
                [(duty, lease.holder, lease.epoch) for duty, lease in sorted(self.leases.items())],
                [(key, fact.value, fact.index) for key, fact in sorted(self.facts.items())],
            )
        )

    def load(self, state: bytes) -> None:
        """Raises msgspec.MsgspecError for what `dump` never wrote."""
        found = msgspec.msgpack.decode(state, type=_Dump)
        self.leases = {duty: Lease(holder, epoch) for duty, holder, epoch in found.leases}
        self.facts = {key: Fact(value, index) for key, value, index in found.facts}
