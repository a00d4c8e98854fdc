"""One broker on the platform: the parts put together, its signals, and how it ends."""

from __future__ import annotations

import asyncio
import gc
import math
import signal
import time
from collections.abc import Callable, Mapping

from badgerbend import api
from badgerbend.decisions import Aggregator
from badgerbend.discovery.directory import Directory, ListError
from badgerbend.discovery.members import SHORTEST_S, MembersTarget, departure_parser, row_parser
from badgerbend.discovery.wall_clock import SteadyUnixClock
from badgerbend.discovery.watch import Watch
from badgerbend.frames.transport import FrameLimits, FrameTransport
from badgerbend.net.server import HttpServer, ServerLimits
from badgerbend.platform import names
from badgerbend.platform.config import Config, ConfigError, load
from badgerbend.platform.front import Front
from badgerbend.platform.log_observer import LogObserver
from badgerbend.runtime.driver import Driver
from badgerbend.runtime.loop import LoopSchedule

MAX_BODY = 65_536  # bytes, of a request, an answer and so a value
READ_S = 2.0  # a request that has not come whole by then is turned away
IDLE_S = 5.0  # a connection between requests; a client opens another at little cost
SWEEP_S = 0.25
SUMMARY_S = 5.0
FOR_CLIENTS, FOR_NODES = 0.55, 0.3  # shares of the descriptors; the rest is for list, log, listener and loop
FOR_KEPT = 0.2  # of them: well under the third that clients hold at most, or those who wait find none free
GRACE_S = 0.65  # requests are taken for so long after the signal to end
# What comes later than 0.7 s after the signal, on a connection that was half read, has to be answered before the
# process is killed. That may be as soon as this and 0.7 s after the signal, or the longest deadline if that is shorter.
KILLED_S = 3.0
LATE_S = 0.3  # by so much the signal may be heard late, and the last answer be on its way
NO_TIMEOUT_S = 10.0  # for a connection to come up, where the settings state no limit


class Service:
    """Built and used on one running loop."""

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
        connect_s = connect_s if math.isfinite(connect_s) else NO_TIMEOUT_S
        self.transport = FrameTransport(
            names.FRAMES,
            FrameLimits(
                config.streams,
                int(descriptors * FOR_NODES),
                connect_s,
                settings.connection_idle_ms / 1000.0,
                connect_s,
                MAX_BODY,
            ),
            lambda node: self.directory.addresses.get(node),
            lambda *end: self.driver.attempt_completed(*end),
            self.observer.report_fault,
            lambda attempt: self.driver.is_wanted(attempt),
        )
        self.watch = Watch(
            self._target(config),
            self.directory,
            self.loop,
            self.schedule.now_ms,
            self.unix_s,
            self._view,
            self.observer.report_fault,
            config.seed,
            f"badgerbend/{config.name}",
        )
        self.watch.on_applied = self._taken
        self.first_word = asyncio.Event()  # the agent has told its list
        module = Aggregator(settings, config.seed)
        self.driver = Driver(settings, module, self.transport, self.watch, self.schedule, self.observer)
        self.schedule.turn = self.driver.turn
        self.front = Front(config, self.driver, lambda: bool(self.directory.servers) and not self.ending)
        self.server = HttpServer(
            self.front.handle,
            ServerLimits(
                max_connections=int(descriptors * FOR_CLIENTS),
                max_keep_alive=int(descriptors * FOR_KEPT),
                max_body_bytes=MAX_BODY,
                read_timeout_s=READ_S,
                idle_timeout_s=IDLE_S,
                first_byte_timeout_s=READ_S,
            ),
        )
        self.ending = False
        self._summary_at = 0.0
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self) -> int:
        """Takes the known list, begins to watch, and listens; returns the port. Raises OSError.

        Where the list is pushed, what the agent has counts as told from the process's first moment, and the known list
        may be old: by the time it listens, a slow process has used up a drain's grace. So the agent has its chance to
        answer first, also a slow one: a grace's time. One that is silent holds up the start no longer.
        """
        self._take_known()
        settle_memory()
        # a first event, so that the module asks for the list where that is its part, and for its first alarm
        lines = tuple(k.endpoint for k in self.directory.servers.values())
        self._view(api.EndpointUpdate(api.UpdateKind.CACHED, lines))
        self.watch.start()
        if not self.watch.asks:
            await self._hear_first_word()
        port = await self.server.start(*self.config.listen)
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)
        self.observer.line(
            "listening",
            name=self.config.name,
            port=port,
            servers=len(self.directory.servers),
            unix=round(time.time(), 3),
            list_heard=self.first_word.is_set(),
        )
        return port

    async def _hear_first_word(self) -> None:
        try:
            async with asyncio.timeout(max(self.config.drain_grace_ms / 1000.0, SHORTEST_S)):
                await self.first_word.wait()
        except TimeoutError:
            self.observer.report_fault("list not read", "listens without the agent's word")

    def _target(self, config: Config) -> MembersTarget:
        settings = self.config.settings  # those of a reload take effect at the next start
        return MembersTarget(
            names.MEMBERS, config.discovery, settings.polls_endpoint_list, self.config.drain_grace_ms / 1000.0
        )

    def reload(self, read: Callable[[], Config]) -> None:
        """Moves to another discovery, as a new configuration names it; one that cannot be used changes nothing."""
        try:
            config = read()
        except ConfigError as err:
            self.observer.report_fault("configuration not taken", str(err))
            return
        kept = [
            field
            for field, old, new in (
                ("listen", self.config.listen, config.listen),
                ("limits", self.config.limits, config.limits),
                ("settings", self.config.flat_settings, config.flat_settings),
            )
            if old != new
        ]
        if kept:
            self.observer.report_fault("takes effect at the next start only", ", ".join(kept))
        self.watch.move(self._target(config))
        self.observer.line("reloaded", discovery=f"{config.discovery[0]}:{config.discovery[1]}")

    async def end(self) -> int:
        """Serves as ever for a while, since clients go on using the connections they have and another broker may not
        be back yet; then takes nothing new, and ends with the last query, at the longest deadline at the latest.
        Returns how many connections were cut with a request held."""
        self.ending = True
        told_at = self.loop.time()
        self.observer.line("ending", open=len(self.front.open))
        await asyncio.sleep(GRACE_S)
        longest_s = max((c.deadline_ms for c in self.config.settings.classes), default=0.0) / 1000.0
        self.front.over_at = told_at + GRACE_S + min(longest_s, KILLED_S) - LATE_S
        cut = await self.server.close(longest_s)
        self.watch.close()
        self.transport.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.observer.summary(cut=cut)
        return cut

    def _take_known(self) -> None:
        """The list as it was last held: old perhaps, and better than none."""
        if self.config.known:
            try:
                _, wrong = self.directory.read(self.config.known, self.schedule.now_ms(), self.unix_s())
            except ListError as err:
                wrong = [str(err)]
            for problem in wrong[:5]:
                self.observer.report_fault("known list", problem)

    def _view(self, view: api.EndpointUpdate) -> None:
        """News of the list: first to the connections, so that nothing waits on one for a node that drains."""
        self.observer.leaving(view.endpoints)
        for line in view.endpoints:
            if line.state is api.EndpointState.DRAINING:
                self.transport.drains(line.node)
            elif line.state is api.EndpointState.REMOVED:
                self.transport.left(line.node)
            else:
                self.transport.ready(line.node)
        self.driver.update_endpoints(view)

    def _taken(self) -> None:
        """A list is in force; one told whole names only those that are on it."""
        self.transport.moved(self.directory.addresses)
        now = self.loop.time()
        self.observer.list_taken(self.watch.index, now - self.watch.asked_at, now - self.watch.answered_at)
        self.first_word.set()

    def _sweep(self) -> None:
        now = self.loop.time()
        self.transport.sweep(now)
        if now - self._summary_at >= SUMMARY_S:
            self._summary_at = now
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
            )
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)


def settle_memory() -> None:
    """Once started: what lives on is left out of collections, which come seldom; few objects here form cycles."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)


async def serve(config: Config, env: Mapping[str, str], reload_due: Callable[[], bool] = lambda: False) -> int:
    """Runs until told to end; the process's exit status. reload_due: whether SIGHUP came before this took it over."""
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
    if not starting.done():  # told to end before it served anybody
        starting.cancel()
        service.observer.line("ended before it listened")
        return 0
    try:
        starting.result()
    except OSError as err:
        service.observer.line("cannot listen", field="listen", error=str(err))
        return 1
    await ending
    return 1 if await service.end() else 0
