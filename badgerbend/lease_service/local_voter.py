"""A broker's vote: the pure `Voter` between its disk and the socket."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from pathlib import Path

from badgerbend.consensus import messages as voting
from badgerbend.consensus.types import RaftConfig
from badgerbend.leases.messages import LeaseReply, LeaseRequest, LeaseReturn
from badgerbend.leases.timing import LeaseTiming
from badgerbend.leases.voter import LeaseStateMachine, Voter
from badgerbend.net.udp import Address
from badgerbend.wal.group_commit import GroupCommitWriter
from badgerbend.wal.store import Store

MAX_BROKER_ADDRESSES = 4096  # whose addresses are remembered


class LocalVoter:
    """Raises StoreError or OSError where its store cannot be used. send_voter, send_broker: the socket's.

    machine: what the agreed log drives, a bare table of leases unless said otherwise.
    """

    def __init__(
        self,
        folder: Path,
        tuning: RaftConfig,
        terms: LeaseTiming,
        seed: int,
        clock: Callable[[], float],
        send_voter: Callable[[str, voting.Message], None],
        send_broker: Callable[[Address, LeaseReply], None],
        note: Callable[..., None],
        changed: Callable[[], None],
        machine: LeaseStateMachine | None = None,
    ) -> None:
        self.clock, self.note, self.changed = clock, note, changed
        self.send_voter, self.send_broker = send_voter, send_broker
        store = Store(folder)
        self.name = store.identity.name
        self.voter = Voter(self.name, store.persistent_state, tuning, terms, seed, clock(), machine)
        self.writer = GroupCommitWriter(store, asyncio.get_running_loop(), self._saved, self._failed)
        self.failure: str | None = None
        self.broker_addresses: OrderedDict[str, Address] = OrderedDict()

    def receive_from_voter(self, message: voting.Message) -> None:
        if self.failure is None:
            self.voter.receive_from_voter(self.clock(), message)
            self.flush()

    def receive_from_broker(self, message: LeaseRequest | LeaseReturn, source: Address) -> None:
        if self.failure is not None:
            return
        self.broker_addresses[message.source] = source
        self.broker_addresses.move_to_end(message.source)
        if len(self.broker_addresses) > MAX_BROKER_ADDRESSES:
            self.broker_addresses.popitem(last=False)
        self.voter.receive_from_broker(self.clock(), message)
        self.flush()

    def tick(self) -> None:
        if self.failure is None:
            self.voter.tick(self.clock())
            self.flush()

    @property
    def next_at(self) -> float:
        return self.voter.next_at if self.failure is None else float("inf")

    def flush(self) -> None:
        out = self.voter.drain_output()
        if out.writes:
            self.writer.write(out.writes)
        for to, message in out.to_voters:
            self.send_voter(to, message)
        for name, told in out.to_brokers:
            if name in self.broker_addresses:
                self.send_broker(self.broker_addresses[name], told)
        for what, values in out.log_records:
            self.note(what, **values)

    def transfer_leadership(self) -> bool:
        """Before the end of the process: another leads, if this one does. False where there is nothing to hand over."""
        began = self.failure is None and self.voter.raft.transfer_leadership(self.clock())
        self.flush()
        return began

    def close(self) -> None:
        self.writer.close()

    def _saved(self, seq: int) -> None:
        if self.failure is None:
            self.voter.saved(self.clock(), seq)
            self.flush()
            self.changed()

    def _failed(self, why: str) -> None:
        """What the disk holds is not known: this broker votes no more until it is started anew. It goes on serving."""
        self.failure = why
        self.note("votes no more", why=why)
