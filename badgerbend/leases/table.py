"""The table of leases and of agreed values: the state machine of the voters' log.

It contains no times: a lease lasts until a command ends it. The leading voter decides when to propose that command, see
`badgerbend.leases.manager`. Every voter applies the same commands in the same order, and each command states which
lease or value it replaces, so that a command that is out of date changes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from badgerbend.consensus.messages import MalformedMessageError
from badgerbend.leases.messages import GrantLease, PutValue, ReleaseLease, decode_command


@dataclass(frozen=True, slots=True)
class Lease:
    """The last lease on a duty. holder: empty if the duty is free; the epoch is then still that of the last holder."""

    holder: str = ""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """A value that the fleet has agreed on, and the index of the log entry that stored it."""

    value: bytes
    index: int


class _Snapshot(msgspec.Struct, array_like=True):
    leases: list[tuple[str, str, int]]
    values: list[tuple[str, bytes, int]]


NO_LEASE = Lease()


class LeaseTable:
    """Implements `badgerbend.consensus.types.StateMachine`.

    The epoch of a lease is the index of the log entry that granted it. Epochs therefore grow, and never repeat, across
    all duties.
    """

    def __init__(self) -> None:
        self.leases: dict[str, Lease] = {}
        self.values: dict[str, VersionedValue] = {}

    def lease(self, duty: str) -> Lease:
        """Returns the last lease on a duty; a lease without a holder and with epoch 0 if there never was one."""
        return self.leases.get(duty, NO_LEASE)

    def apply(self, index: int, data: bytes) -> None:
        """Applies a log entry. A command that does not match the present state changes nothing.

        A command that cannot be decoded, such as one of a later version, changes nothing either; all voters skip it.
        """
        try:
            command = decode_command(data)
        except MalformedMessageError:
            return
        match command:
            case GrantLease():
                self._grant(index, command)
            case ReleaseLease():
                self._release(command)
            case PutValue():
                self._put(index, command)

    def _grant(self, index: int, command: GrantLease) -> None:
        lease = self.lease(command.duty)
        if not lease.holder and lease.epoch == command.previous_epoch:
            self.leases[command.duty] = Lease(command.holder, index)

    def _release(self, command: ReleaseLease) -> None:
        lease = self.lease(command.duty)
        if lease.holder and lease.epoch == command.epoch:
            self.leases[command.duty] = Lease("", command.epoch)

    def _put(self, index: int, command: PutValue) -> None:
        present = self.values.get(command.key)
        present_index = 0 if present is None else present.index
        if present_index != command.previous_index:
            return
        if command.value:
            self.values[command.key] = VersionedValue(command.value, index)
        else:
            self.values.pop(command.key, None)

    def dump(self) -> bytes:
        """Encodes the complete state for a snapshot of the log."""
        leases = [(duty, lease.holder, lease.epoch) for duty, lease in sorted(self.leases.items())]
        values = [(key, present.value, present.index) for key, present in sorted(self.values.items())]
        return msgspec.msgpack.encode(_Snapshot(leases, values))

    def load(self, state: bytes) -> None:
        """Replaces the state with one that `dump` encoded. Raises msgspec.MsgspecError if it cannot be decoded."""
        snapshot = msgspec.msgpack.decode(state, type=_Snapshot)
        self.leases = {duty: Lease(holder, epoch) for duty, holder, epoch in snapshot.leases}
        self.values = {key: VersionedValue(value, index) for key, value, index in snapshot.values}
