"""The health-check duty on the socket: a broker reports suspected servers, and checks them if it holds the lease."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from badgerbend.config.fleet import Duties
from badgerbend.discovery.directory import Directory
from badgerbend.discovery.members import parse_address
from badgerbend.lease_service import wire
from badgerbend.lease_service.duty_socket import DutySocket
from badgerbend.lease_service.timers import RepeatingTimer
from badgerbend.leases.fencing import FencingGuard
from badgerbend.leases.health_checks import HealthChecker, observations_of, suspected_servers, suspicion_report
from badgerbend.leases.holder import LeaseHolder
from badgerbend.leases.messages import ProbeReport, SuspicionReport
from badgerbend.net.calls import CallResult, Reply
from badgerbend.net.client import Pool
from badgerbend.net.udp import Address, address_text
from badgerbend.runtime.driver import Driver

HEALTH_CHECK_DUTY = "probe"  # on the wire; if there are sites, each site has its own duty
REPORT_INTERVAL_S = 1.0  # between two reports, for as long as there are suspected servers
MIN_JITTER = 0.8  # factor of the interval between reports
MAX_JITTER = 1.2
CHECK_TIMEOUT_S = 1.0
DUE_CHECKS_INTERVAL_S = 0.05  # how often the holder looks for checks that are due
FAILING_AFTER_S = 2.0  # a holder marks itself as failing if no check has succeeded for this long
NEVER = -1.0  # earlier than any time of the clock
_BODY = b'{"query":"{ __typename }"}'
_HEAD = (
    b"POST /graphql HTTP/1.1\r\nhost: %s:%d\r\nuser-agent: badgerbend/probe\r\n"
    b"content-type: application/json\r\ncontent-length: %d\r\n\r\n"
)


class HealthCheckDuty:
    """Sends this broker's reports of suspected servers, and runs the checks while it holds the lease.

    duty: the name of the duty at this broker's site. pool_of: returns the connections to a server, by its number.
    clock: of the leases, in seconds.
    """

    def __init__(
        self,
        socket: DutySocket,
        duties: Duties,
        duty: str,
        broker: str,
        fence: FencingGuard,
        driver: Driver,
        directory: Directory,
        pool_of: Callable[[int], Pool | None],
        clock: Callable[[], float],
    ) -> None:
        self.socket = socket
        self.duty = duty
        self.broker = broker
        self.fence = fence
        self.driver = driver
        self.directory = directory
        self.pool_of = pool_of
        self.clock = clock
        self.checker = HealthChecker(duty, broker, duties.probe_every_ms / 1000.0, duties.probes)
        self.results_received = 0
        self.reports_sent = 0
        self._answered_at = NEVER
        self._checking_since = NEVER
        self._closed = False
        self._timers: list[RepeatingTimer] = []
        self._checks_in_flight: set[_HealthCheck] = set()

    def start(self, holder: LeaseHolder) -> None:
        """Starts reports and checks. holder: this broker's leases; the jitter uses its random generator."""
        reports = RepeatingTimer(
            self.socket.loop,
            partial(self._report_suspicions, holder),
            lambda: REPORT_INTERVAL_S * holder.rng.uniform(MIN_JITTER, MAX_JITTER),
        )
        checks = RepeatingTimer(
            self.socket.loop, partial(self._start_due_checks, holder), lambda: DUE_CHECKS_INTERVAL_S
        )
        self._timers = [reports, checks]
        reports.start(REPORT_INTERVAL_S * holder.rng.random())
        checks.start(DUE_CHECKS_INTERVAL_S)

    def close(self) -> None:
        """Stops reports and checks, and cancels the checks in flight."""
        self._closed = True
        for timer in self._timers:
            timer.cancel()
        for check in list(self._checks_in_flight):
            check.cancel()

    def may_act(self) -> int | None:
        """Returns the epoch under which this broker may check servers now, or None if it may not."""
        return self.socket.may_act(self.duty)

    # -- suspicions

    def handle_suspicion(self, report: SuspicionReport, source: Address) -> None:
        """Handles a broker's report, if this broker runs the checks."""
        if report.duty == self.duty and self.may_act() is not None:
            self.checker.receive_suspicions(self.clock(), report, address_text(source))

    def _report_suspicions(self, holder: LeaseHolder) -> None:
        suspected = suspected_servers(self.driver.observations(), self.directory.names)
        if not suspected:
            return
        report = suspicion_report(suspected, self.broker, self.duty)
        if self.may_act() is not None:
            self.handle_suspicion(report, self.socket.own_address)
        elif holder.duties[self.duty].holder != self.broker:
            self.socket.send_to_holder(self.duty, wire.encode_peer_message(report))

    # -- checks

    def _start_due_checks(self, holder: LeaseHolder) -> None:
        if self.may_act() is None:
            self.checker.clear()
            self._checking_since = NEVER
            return
        for server in self.checker.start_due_checks(self.clock()):
            known = self.directory.servers.get(server)
            pool = self.pool_of(known.number) if known is not None else None
            if pool is None:
                self._finish(server, succeeded=False, latency_ms=0.0)  # the server is no longer listed
            else:
                self._checks_in_flight.add(_HealthCheck(self, server, pool))
        self._report_own_failure(holder)

    def _report_own_failure(self, holder: LeaseHolder) -> None:
        """Marks this broker as failing at the duty if it checks servers and none has answered for FAILING_AFTER_S.

        Other brokers suspect only some of the servers, so that the cause is probably at the holder.
        """
        now = self.clock()
        if not self.checker.servers:
            self._checking_since = NEVER
        elif self._checking_since < 0:
            self._checking_since = now
        answered_at = max(self._checking_since, self._answered_at)
        failing = self._checking_since >= 0 and now - answered_at > FAILING_AFTER_S
        holder.set_failing(self.duty, failing)

    def handle_check_end(self, check: _HealthCheck, succeeded: bool) -> None:
        """Handles the end of a check, which was answered or timed out."""
        self._checks_in_flight.discard(check)
        self._finish(check.server, succeeded, (self.clock() - check.started_at) * 1000.0)

    def _finish(self, server: str, succeeded: bool, latency_ms: float) -> None:
        """Reports a result under the current epoch, if this broker still holds the lease."""
        if succeeded:
            self._answered_at = self.clock()
        epoch = self.may_act()
        if epoch is None or self._closed:
            return
        for address, report in self.checker.finish_check(self.clock(), epoch, server, succeeded, latency_ms):
            self.reports_sent += 1
            if address == address_text(self.socket.own_address):
                self.handle_report(report)
            else:
                body = wire.encode_peer_message(report)
                self.socket.send(parse_address(address), body, lambda: self.may_act() == epoch)

    def handle_report(self, report: ProbeReport) -> None:
        """Handles results of checks, unless a newer epoch was seen."""
        if report.duty != self.duty or not self.fence.admits(report.duty, report.epoch):
            return
        self.results_received += len(report.results)
        known = self.directory.servers
        numbers = {result.server: known[result.server].number for result in report.results if result.server in known}
        self.driver.add_observations(observations_of(report, numbers))


class _HealthCheck:
    """One request to one server. It ends once: by its reply, by its timeout or by cancellation."""

    def __init__(self, duty: HealthCheckDuty, server: str, pool: Pool) -> None:
        self.duty = duty
        self.server = server
        self.started_at = duty.clock()
        head = _HEAD % (pool.host.encode(), pool.port, len(_BODY))
        self._call = pool.request(head + _BODY, self._handle_reply)
        self._timeout = duty.socket.loop.call_later(CHECK_TIMEOUT_S, self._finish, False)
        self._finished = False

    def cancel(self) -> None:
        """Ends the check without a result."""
        self._finished = True
        self._timeout.cancel()
        self._call.abort()

    def _handle_reply(self, reply: Reply) -> None:
        self._finish(reply.result is CallResult.ANSWER and reply.status == 200)

    def _finish(self, succeeded: bool) -> None:
        if not self._finished:
            self.cancel()
            self.duty.handle_check_end(self, succeeded)
