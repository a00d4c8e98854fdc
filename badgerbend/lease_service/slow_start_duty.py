"""The slow-start duty on the socket: requests to the allocator at jittered intervals, and its replies."""

from __future__ import annotations

from collections.abc import Callable

from badgerbend.lease_service import wire
from badgerbend.lease_service.budget_exchange import SLOW_START_DUTY, BudgetExchange
from badgerbend.lease_service.duty_socket import DutySocket
from badgerbend.lease_service.timers import RepeatingTimer
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import BudgetReply, BudgetRequest
from badgerbend.net.udp import Address

MIN_JITTER = 0.8  # factor of the interval between requests
MAX_JITTER = 1.2


class SlowStartDuty:
    """Sends this broker's requests, handles the replies, and replies to requests while it holds the lease.

    clock: of the leases, in seconds.
    """

    def __init__(
        self, socket: DutySocket, exchange: BudgetExchange, fence: FencingGuard, clock: Callable[[], float]
    ) -> None:
        self.socket = socket
        self.exchange = exchange
        self.fence = fence
        self.clock = clock
        self.replies_sent = 0
        self._timer: RepeatingTimer | None = None

    def start(self, holder: LeaseHolder) -> None:
        """Starts sending requests. holder: its random generator is used for the jitter."""
        interval_s = self.exchange.request_interval_s
        self._timer = RepeatingTimer(
            self.socket.loop, self._send_requests, lambda: interval_s * holder.rng.uniform(MIN_JITTER, MAX_JITTER)
        )
        self._timer.start(interval_s * holder.rng.random())

    def close(self) -> None:
        """Stops sending requests."""
        if self._timer is not None:
            self._timer.cancel()

    def handle_request(self, request: BudgetRequest, source: Address) -> None:
        """Replies to a broker's request under the current epoch, if this broker holds the lease."""
        reply = self.exchange.handle_request(self.clock() * 1000.0, self._epoch(), request)
        if reply is not None:
            self.replies_sent += 1
            self.socket.send(source, wire.encode_peer_message(reply), lambda: self._epoch() == reply.epoch)

    def handle_reply(self, reply: BudgetReply) -> None:
        """Handles a reply, unless a newer epoch was seen."""
        if reply.duty == SLOW_START_DUTY and self.fence.admits(reply.duty, reply.epoch):
            self.exchange.apply_reply(reply)

    def _send_requests(self) -> None:
        if self._epoch() is None:
            self.exchange.stop_allocating()
        for request in self.exchange.create_requests():
            self.socket.send_to_holder(SLOW_START_DUTY, wire.encode_peer_message(request))

    def _epoch(self) -> int | None:
        return self.socket.may_act(SLOW_START_DUTY)
