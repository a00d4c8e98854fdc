"""The voter of this process: connects `badgerbend.leases.voter.Voter` to its store on disk and to the socket."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from pathlib import Path

from badgerbend.consensus import messages as consensus_messages
from badgerbend.consensus.types import RaftConfig
from badgerbend.lease_service.messenger import LeaseMessenger
from badgerbend.leases.messages import LeaseRequest, LeaseReturn
from badgerbend.leases.timing import LeaseTiming
from badgerbend.leases.voter import LeaseStateMachine, Voter
from badgerbend.net.udp import Address
from badgerbend.wal.group_commit import GroupCommitWriter
from badgerbend.wal.store import Store

MAX_BROKER_ADDRESSES = 4096  # kept for replies: those of the brokers whose messages arrived last
TRANSFER_CHECK_INTERVAL_S = 0.01

LogEvent = Callable[..., None]  # takes an event and its fields, like structlog's `info`


class LocalVoter:
    """Runs one voter. Raises StoreError or OSError if its store cannot be used.

    on_saved: called after records were written to disk and the messages that waited for that were sent.
    state_machine: to which the replicated log is applied; by default only a lease table.
    """

    def __init__(
        self,
        store_path: Path,
        raft_config: RaftConfig,
        timing: LeaseTiming,
        seed: int,
        clock: Callable[[], float],
        messenger: LeaseMessenger,
        log_event: LogEvent,
        on_saved: Callable[[], None],
        state_machine: LeaseStateMachine | None = None,
    ) -> None:
        self.clock = clock
        self.messenger = messenger
        self.log_event = log_event
        self.on_saved = on_saved
        store = Store(store_path)
        self.name = store.identity.name
        self.voter = Voter(self.name, store.persistent_state, raft_config, timing, seed, clock(), state_machine)
        self.writer = GroupCommitWriter(
            store, asyncio.get_running_loop(), self._handle_saved, self._handle_write_failure
        )
        self.failure: str | None = None  # the reason why the store failed, if it did
        self.broker_addresses: OrderedDict[str, Address] = OrderedDict()

    @property
    def next_at(self) -> float:
        """The time at which `tick` must be called next, in seconds of the clock."""
        return self.voter.next_at if self.failure is None else float("inf")

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads and may grant leases."""
        return self.voter.is_leader

    def handle_consensus_message(self, message: consensus_messages.Message) -> None:
        """Handles a message of another voter."""
        if self.failure is None:
            self.voter.receive_from_voter(self.clock(), message)
            self.flush()

    def handle_lease_message(self, message: LeaseRequest | LeaseReturn, source: Address) -> None:
        """Handles a candidate's message. source: where to send the reply."""
        if self.failure is not None:
            return
        self._remember_address(message.source, source)
        self.voter.receive_from_broker(self.clock(), message)
        self.flush()

    def tick(self) -> None:
        """Runs the actions that are due."""
        if self.failure is None:
            self.voter.tick(self.clock())
            self.flush()

    def propose(self, command: bytes) -> None:
        """Proposes a command for the state machine. Has no effect if this voter does not lead."""
        if self.failure is None:
            self.voter.propose(self.clock(), command)
            self.flush()

    def change_membership(self, name: str, *, add: bool) -> str | None:
        """Adds or removes a voter. Returns the reason if that is rejected, or None once it is in progress."""
        rejection = self.voter.raft.change_membership(self.clock(), name, add=add)
        self.flush()
        return rejection

    def transfer_leadership(self) -> bool:
        """Makes another voter lead before this process ends. Returns False if there is no leadership to transfer."""
        started = self.failure is None and self.voter.raft.transfer_leadership(self.clock())
        self.flush()
        return started

    async def transfer_leadership_within(self, timeout_s: float) -> None:
        """Transfers leadership and waits for at most `timeout_s` seconds until this voter no longer leads."""
        if not self.transfer_leadership():
            return
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.is_leader and loop.time() < deadline:
            await asyncio.sleep(TRANSFER_CHECK_INTERVAL_S)

    def flush(self) -> None:
        """Writes, sends and logs the output of the voter."""
        output = self.voter.drain_output()
        if output.records:
            self.writer.write(output.records)
        for name, message in output.to_voters:
            self.messenger.send_to_voter(name, message)
        for broker, reply in output.to_brokers:
            if broker in self.broker_addresses:
                self.messenger.send_reply(self.broker_addresses[broker], reply)
        for event, fields in output.log_lines:
            self.log_event(event, **fields)

    def close(self) -> None:
        """Closes the writer of the store."""
        self.writer.close()

    def _remember_address(self, broker: str, address: Address) -> None:
        self.broker_addresses[broker] = address
        self.broker_addresses.move_to_end(broker)
        if len(self.broker_addresses) > MAX_BROKER_ADDRESSES:
            self.broker_addresses.popitem(last=False)

    def _handle_saved(self, last_write: int) -> None:
        if self.failure is None:
            self.voter.persisted(self.clock(), last_write)
            self.flush()
            self.on_saved()

    def _handle_write_failure(self, reason: str) -> None:
        """Stops this voter until the process is restarted, since the content of the disk is unknown."""
        self.failure = reason
        self.log_event("voter stopped", why=reason)
