"""Starts relays and followers as processes, waits for what they report, and ends them by their own ids."""

import asyncio
import signal
import sys
from collections import defaultdict

import msgspec

from badgerbend.feed.follower_types import RelayAddress
from tests.feed_lines import (
    ControlReport,
    FollowersReport,
    Installed,
    Listening,
    Published,
    RelayReport,
    Report,
    decode_event,
    encode_line,
)

TIMEOUT_S = 60.0  # a wait fails after this time; waits are for conditions, never for time to pass
POLL_INTERVAL_S = 0.05
MAX_EVENT_CHARS = 1000  # of an event in an error message


class FeedProcess:
    """A process of `tests.feed_process` and the events that it has reported so far."""

    def __init__(self, process):
        self.process = process
        self.events = []
        self.ended = False
        self._changed = asyncio.Condition()
        self._reading = asyncio.create_task(self._read())

    @classmethod
    async def start(cls, setup):
        """Start a process, without waiting until it is ready."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.feed_process",
            msgspec.json.encode(setup).decode(),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        return cls(process)

    def send(self, command):
        """Send a command without waiting; use `until` to wait for its effect."""
        self.process.stdin.write(encode_line(command))

    def seen(self, kind):
        """Return all events of a type that were reported so far."""
        return [event for event in self.events if isinstance(event, kind)]

    async def until(self, condition):
        """Wait until the reported events fulfil a condition; return the condition's result."""
        try:
            async with asyncio.timeout(TIMEOUT_S), self._changed:
                while not (found := condition(self)):
                    assert not self.ended, "the process has ended"
                    await self._changed.wait()
                return found
        except TimeoutError:
            raise AssertionError(
                f"{TIMEOUT_S:g} s timeout; {len(self.events)} events, the last is {self._last()}"
            ) from None

    async def next(self, kind, after):
        """Wait for the next event of a type, given the number of earlier ones."""
        return await self.until(lambda process: process.seen(kind)[after : after + 1]) and self.seen(kind)[after]

    async def report(self):
        """Request a report of the process's state and return it."""
        kind = (RelayReport, FollowersReport, ControlReport)
        before = len(self.seen(kind))
        self.send(Report())
        return await self.next(kind, before)

    async def report_where(self, condition):
        """Poll the report until it fulfils a condition, for state such as ages that no event reports."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while not condition(report := await self.report()):
                    await asyncio.sleep(POLL_INTERVAL_S)
                return report
        except TimeoutError:
            raise AssertionError(f"{TIMEOUT_S:g} s timeout; the last event is {self._last()}") from None

    def pause(self):
        """Suspend the process with a signal until `resume`."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)

    def kill(self):
        """Kill the process, also while it is paused."""
        if self.process.returncode is None:
            self.process.kill()

    async def wait(self):
        """Wait until the process has ended."""
        await self.process.wait()
        await self._reading

    def _last(self):
        """Return the last event as text for an error message."""
        return repr(self.events[-1:])[:MAX_EVENT_CHARS]

    async def _read(self):
        while line := await self.process.stdout.readline():
            async with self._changed:
                self.events.append(decode_event(line))
                self._changed.notify_all()
        async with self._changed:
            self.ended = True
            self._changed.notify_all()


class FeedProcesses:
    """The processes of one test. All are killed when the test ends, also when it fails."""

    def __init__(self):
        self.processes = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            await process.wait()

    async def start_relay(self, setup):
        """Start a relay; return its process and its address once it listens."""
        process = await self._start(setup)
        listening = await process.next(Listening, 0)
        return process, RelayAddress(setup.name, setup.region, "127.0.0.1", listening.port)

    async def start_relays(self, *setups):
        """Start several relays concurrently."""
        return await asyncio.gather(*map(self.start_relay, setups))

    async def start_followers(self, setup):
        return await self._start(setup)

    async def _start(self, setup):
        process = await FeedProcess.start(setup)
        self.processes.append(process)
        return process


def published_digests(publisher):
    """Return the digest of each revision that a publishing process has reported."""
    return {event.revision: event.digest for event in publisher.seen(Published)}


async def published(publisher, command, batches=1):
    """Have a process publish; return the event of the last publication."""
    before = len(publisher.seen(Published))
    publisher.send(command)
    return await publisher.next(Published, before + batches - 1)


def installs_of(process):
    """Return the revisions that each follower of a process has installed, in order."""
    found = defaultdict(list)
    for event in process.seen(Installed):
        found[event.follower].append(event.revision)
    return dict(found)


async def all_reach(process, followers, newest):
    """Wait until a number of followers have a published revision in force."""

    def reached(process):
        last = {event.follower: event for event in process.seen(Installed)}
        return len(last) == followers and all(event.revision >= newest.revision for event in last.values())

    await process.until(reached)
    for event in process.seen(Installed):
        if event.revision == newest.revision:
            assert event.digest == newest.digest


def assert_consistent(process, publisher):
    """Assert that only published content was in force, and that the revisions of each follower only increased."""
    digests = published_digests(publisher)
    for event in process.seen(Installed):
        assert event.digest == digests[event.revision], event
    for follower, revisions in installs_of(process).items():
        assert revisions == sorted(set(revisions)), follower
