"""One broker on the platform: it assembles the components, handles signals and shuts down gracefully."""

from __future__ import annotations

import asyncio
import gc
import math
import signal
import time
from collections.abc import Callable, Mapping

from badgerbend import api
from badgerbend.api import Outcome
from badgerbend.decisions import Aggregator
from badgerbend.discovery.directory import Directory, ListError
from badgerbend.discovery.members import MembersTarget, departure_parser, row_parser
from badgerbend.discovery.wall_clock import SteadyUnixClock
from badgerbend.discovery.watch import Watch
from badgerbend.frames.channel import part_request
from badgerbend.frames.transport import FrameLimits, FrameTransport
from badgerbend.net.server import HttpServer
from badgerbend.net.server_limits import ServerLimits
from badgerbend.platform import names
from badgerbend.platform.config import Config, ConfigError, load
from badgerbend.platform.front import MAX_BODY_BYTES, Front
from badgerbend.platform.log_observer import LogObserver
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.loop import LoopSchedule
from badgerbend.runtime.ports import Attempt

READ_TIMEOUT_S = 2.0  # a request that has not arrived completely by then is rejected
IDLE_TIMEOUT_S = 5.0  # for a connection between requests; opening another one costs a client little
SWEEP_INTERVAL_S = 0.25
SUMMARY_INTERVAL_S = 5.0
# Fractions of the file descriptors; the rest is for the list, the log, the listener and the event loop.
CLIENT_FRACTION, NODE_FRACTION = 0.55, 0.3
# Fraction of the file descriptors for idle client connections. It is well below the third that clients keep open at
# most, since otherwise waiting clients would find no free connection.
KEEP_ALIVE_FRACTION = 0.2
# Fraction of the process's memory for requests that clients send, and for unsent answers.
CLIENT_MEMORY_FRACTION = 0.125
GRACE_S = 0.65  # requests are accepted for this long after the signal to end
# A request that arrives later than 0.7 s after the signal, on a connection that was partly read, has to be answered
# before the process is killed. The kill may come as early as 0.7 s plus KILL_TIMEOUT_S after the signal, or 0.7 s plus
# the longest deadline if that is shorter.
KILL_TIMEOUT_S = 3.0
KILL_MARGIN_S = 0.3  # allows for a signal that is noticed late and for the time in which the last answer is sent
FIRST_LIST_TIMEOUT_S = 2.0  # brokers have to listen within 6 s of their start, and a slow process needs time to load
DEFAULT_CONNECT_TIMEOUT_S = 10.0  # for opening a connection if the settings state no limit
PART_ID_MARGIN_S = 1.0  # a second copy of an answer may arrive this long after the end of its query


class Service:
    """One broker. It is created and used on one running event loop."""

    def __init__(self, config: Config) -> None:
        self.config, self.loop = config, asyncio.get_running_loop()
        settings = config.settings
        self.observer = LogObserver(config.classes, lambda node: self.directory.names.get(node, str(node)))
        self.schedule = LoopSchedule(self.loop)
        self.unix_s = SteadyUnixClock(time.time, time.monotonic)
        self.directory = Directory(
            settings.cell_count,
            row_parser(names.MEMBERS, config.zones, config.kinds),
            shared_clock=True,
            parse_departure=departure_parser(names.MEMBERS),
        )
        descriptors = config.limits.descriptors
        connect_s = settings.connect_timeout_ms / 1000.0
        connect_s = connect_s if math.isfinite(connect_s) else DEFAULT_CONNECT_TIMEOUT_S
        self.transport = FrameTransport(
            names.FRAMES,
            FrameLimits(
                config.streams,
                int(descriptors * NODE_FRACTION),
                connect_s,
                settings.connection_idle_ms / 1000.0,
                connect_s,
                self._longest_deadline_s() + PART_ID_MARGIN_S,
                MAX_BODY_BYTES,
            ),
            lambda node: self.directory.addresses.get(node),
            self._attempt_completed,
            self.observer.report_fault,
            lambda attempt: self.driver.is_wanted(attempt),
        )
        self.watch = Watch(
            self._target(config),
            self.directory,
            self.loop,
            self.schedule.now_ms,
            self.unix_s,
            self._on_update,
            self.observer.report_fault,
            config.seed,
            f"badgerbend/{config.name}",
        )
        self.watch.on_applied = self._on_list_applied
        self.first_list = asyncio.Event()  # set once the agent's list was applied
        module = Aggregator(settings, config.seed)
        self.driver = Driver(settings, module, self.transport, self.watch, self.schedule, self.observer)
        self.schedule.turn = self.driver.turn
        self.front = Front(config, self.driver, lambda: bool(self.directory.servers) and not self.ending)
        self.server = HttpServer(
            self.front.handle,
            ServerLimits(
                max_connections=int(descriptors * CLIENT_FRACTION),
                max_keep_alive=int(descriptors * KEEP_ALIVE_FRACTION),
                max_body_bytes=MAX_BODY_BYTES,
                read_timeout_s=READ_TIMEOUT_S,
                idle_timeout_s=IDLE_TIMEOUT_S,
                first_byte_timeout_s=READ_TIMEOUT_S,
                max_memory_bytes=int(config.limits.memory_mb * 2**20 * CLIENT_MEMORY_FRACTION),
            ),
            self.front.answer_by,
        )
        self.ending = False
        self._summary_at = 0.0
        self._refused_reported = (0, 0)  # connections whose input was shed, and large requests that were refused
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self) -> int:
        """Loads the known list, starts the watch and listens; returns the port. Raises OSError.

        In push mode the broker counts as notified of what the agent has from the start of the process, while the known
        list may be old: a slow process has used up a drain grace period by the time it listens. So even a slow agent
        gets some time to answer first. A silent agent does not delay the start any longer.
        """
        self._load_known_list()
        settle_memory()
        # The aggregator needs a first event to request the list in ask mode, and to set its first timer.
        endpoints = tuple(k.endpoint for k in self.directory.servers.values())
        self._on_update(api.EndpointUpdate(api.UpdateKind.CACHED, endpoints))
        self.watch.start()
        if not self.watch.polls_on_request:
            await self._wait_for_first_list()
        port = await self.server.start(*self.config.listen)
        self._sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.observer.write_line(
            "listening",
            name=self.config.name,
            port=port,
            servers=len(self.directory.servers),
            unix=round(time.time(), 3),
            list_heard=self.first_list.is_set(),
        )
        return port

    def _longest_deadline_s(self) -> float:
        return max((c.deadline_ms for c in self.config.settings.classes), default=0.0) / 1000.0

    async def _wait_for_first_list(self) -> None:
        try:
            async with asyncio.timeout(max(self.config.drain_grace_ms / 1000.0, FIRST_LIST_TIMEOUT_S)):
                await self.first_list.wait()
        except TimeoutError:
            self.observer.report_fault("list not read", "the agent has not answered yet; listening with the known list")

    def _attempt_completed(
        self, attempt: Attempt, outcome: Outcome, value: object, report: tuple[float, ...] = ()
    ) -> None:
        """Passes on the end of an attempt. One whose value is too large to be kept has failed, and may have run."""
        if isinstance(value, bytes) and not self.front.keep_value(part_request(attempt).id, value):
            self.observer.report_fault("value too large", f"part {attempt.part_id}: {len(value)} bytes")
            outcome, value = Outcome.ERROR, None
        self.driver.attempt_completed(attempt, outcome, value, report)

    def _target(self, config: Config) -> MembersTarget:
        settings = self.config.settings  # reloaded settings take effect at the next start
        return MembersTarget(
            names.MEMBERS, config.discovery, settings.polls_endpoint_list, self.config.drain_grace_ms / 1000.0
        )

    def reload(self, read: Callable[[], Config]) -> None:
        """Switches to the discovery address of a new configuration; an invalid configuration changes nothing."""
        try:
            config = read()
        except ConfigError as err:
            self.observer.report_fault("configuration not taken", str(err))
            return
        unchanged_fields = [
            field
            for field, old, new in (
                ("listen", self.config.listen, config.listen),
                ("limits", self.config.limits, config.limits),
                ("settings", self.config.flat_settings, config.flat_settings),
            )
            if old != new
        ]
        if unchanged_fields:
            self.observer.report_fault("takes effect at the next start only", ", ".join(unchanged_fields))
        self.watch.switch_target(self._target(config))
        self.observer.write_line("reloaded", discovery=f"{config.discovery[0]}:{config.discovery[1]}")

    async def end(self) -> int:
        """Shuts down gracefully; returns how many connections were closed with an open request.

        The broker serves normally for a grace period, since clients keep using their connections and another broker
        may not be back yet. Then it accepts nothing new and ends with the last query, or at the longest deadline.
        """
        self.ending = True
        signalled_at = self.loop.time()
        self.observer.write_line("ending", open=len(self.front.open))
        await asyncio.sleep(GRACE_S)
        longest_s = self._longest_deadline_s()
        self.front.deadline = signalled_at + GRACE_S + min(longest_s, KILL_TIMEOUT_S) - KILL_MARGIN_S
        cut = await self.server.close(longest_s)
        self.watch.close()
        self.transport.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.observer.summary(cut=cut)
        return cut

    def _load_known_list(self) -> None:
        """Applies the list of the configuration file: it may be old, but it is better than none."""
        if self.config.known:
            try:
                _, errors = self.directory.read(self.config.known, self.schedule.now_ms(), self.unix_s())
            except ListError as err:
                errors = [str(err)]
            for error in errors[:5]:
                self.observer.report_fault("known list", error)

    def _on_update(self, update: api.EndpointUpdate) -> None:
        """Passes an update first to the transport, so that no attempt waits for a connection to a draining node."""
        self.observer.endpoints_updated(update.endpoints)
        for endpoint in update.endpoints:
            if endpoint.state is api.EndpointState.DRAINING:
                self.transport.start_draining(endpoint.node)
            elif endpoint.state is api.EndpointState.REMOVED:
                self.transport.remove_node(endpoint.node)
            else:
                self.transport.end_draining(endpoint.node)
        self.driver.update_endpoints(update)

    def _on_list_applied(self) -> None:
        """Handles a list that was applied. A full update names only current servers, so addresses are updated here."""
        self.transport.update_addresses(self.directory.addresses)
        now = self.loop.time()
        self.observer.list_applied(self.watch.version, now - self.watch.polled_at, now - self.watch.answered_at)
        self.first_list.set()

    def _list_age_ms(self, now: float) -> float | None:
        """How long ago the agent last confirmed the list."""
        confirmed_at = self.watch.confirmed_at
        return None if confirmed_at is None else round((now - confirmed_at) * 1000.0, 1)

    def _report_refused_input(self) -> None:
        """Reports what client connections were refused for lack of memory since the last report."""
        memory = self.server.memory
        refused = (memory.shed, memory.refused)
        if refused != self._refused_reported:
            self._refused_reported = refused
            reserved_kb = (memory.waiting_bytes + memory.serving_bytes) // 1024
            self.observer.report_fault(
                "input refused",
                f"since the start: input of {memory.shed} connections, {memory.refused} large requests; "
                f"{reserved_kb} KB are reserved",
            )

    def _sweep(self) -> None:
        now = self.loop.time()
        self.transport.sweep(now)
        if now - self._summary_at >= SUMMARY_INTERVAL_S:
            self._summary_at = now
            self._report_refused_input()
            self.observer.summary(
                open=len(self.front.open),
                parts=self.driver.open_parts,
                clients=len(self.server.connections),
                nodes=self.transport.open,
                opened=self.transport.opened,
                rejected=self.front.rejected,
                turned_away=self.server.rejected_connections,
                accepts_failed=self.server.accepts_failed,
                overdue_polls=self.watch.overdue_polls,
                list_version=self.watch.version,
                list_age_ms=self._list_age_ms(now),
            )
        self._sweeper = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)


def settle_memory() -> None:
    """Excludes the objects that exist after startup from garbage collection and makes collections rare.

    Few objects in this process form reference cycles.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)


async def serve(config: Config, env: Mapping[str, str], reload_due: Callable[[], bool] = lambda: False) -> int:
    """Runs until a signal ends it; returns the exit status. reload_due: whether SIGHUP arrived before this started."""
    loop = asyncio.get_running_loop()
    service = Service(config)
    end = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: service.reload(lambda: load(env)))
    if reload_due():
        service.reload(lambda: load(env))
    starting = loop.create_task(service.start())
    ending = loop.create_task(end.wait())
    await asyncio.wait([starting, ending], return_when=asyncio.FIRST_COMPLETED)
    if not starting.done():  # the signal to end arrived before the broker listened
        starting.cancel()
        service.observer.write_line("ended before it listened")
        return 0
    try:
        starting.result()
    except OSError as err:
        service.observer.write_line("cannot listen", field="listen", error=str(err))
        return 1
    await ending
    return 1 if await service.end() else 0
