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

LONGEST_S = 60.0  # a wait that takes so long has failed; nothing waits for a time to pass
ASK_AGAIN_S = 0.05
MOST_TEXT = 1000  # of an event in a message


class FeedProcess:
    """A process of `tests.feed_process` and the events that it has reported so far."""

    def __init__(self, process):
        self.process = process
        self.events = []
        self.ended = False
        self._news = asyncio.Condition()
        self._reading = asyncio.create_task(self._read())

    @classmethod
    async def started(cls, setup):
        """Starts one; it may not be ready yet."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.feed_process",
            msgspec.json.encode(setup).decode(),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        return cls(process)

    def say(self, command):
        """A command; its effect is waited for with `until`."""
        self.process.stdin.write(encode_line(command))

    def seen(self, kind):
        """All events of a type so far."""
        return [event for event in self.events if isinstance(event, kind)]

    async def until(self, condition):
        """Waits until the events so far fulfil a condition; what it was."""
        try:
            async with asyncio.timeout(LONGEST_S), self._news:
                while not (found := condition(self)):
                    assert not self.ended, "the process has ended"
                    await self._news.wait()
                return found
        except TimeoutError:
            raise AssertionError(f"{LONGEST_S:g} s; {len(self.events)} events, last {self._last()}") from None

    async def next(self, kind, after):
        """The first event of a type that comes after so many of it."""
        return await self.until(lambda process: process.seen(kind)[after : after + 1]) and self.seen(kind)[after]

    async def report(self):
        """How it stands now."""
        kind = (RelayReport, FollowersReport, ControlReport)
        before = len(self.seen(kind))
        self.say(Report())
        return await self.next(kind, before)

    async def report_where(self, condition):
        """Asks until the report fulfils a condition."""
        try:
            async with asyncio.timeout(LONGEST_S):
                while not condition(report := await self.report()):
                    await asyncio.sleep(ASK_AGAIN_S)
                return report
        except TimeoutError:
            raise AssertionError(f"{LONGEST_S:g} s; last report {self._last()}") from None

    def stop(self):
        """It runs no further until it is told to go on."""
        self.process.send_signal(signal.SIGSTOP)

    def go_on(self):
        self.process.send_signal(signal.SIGCONT)

    def kill(self):
        """Ends it by its own id, also where it is stopped."""
        if self.process.returncode is None:
            self.process.kill()

    async def wait(self):
        """Until it has ended."""
        await self.process.wait()
        await self._reading

    def _last(self):
        """The last event, for a message."""
        return repr(self.events[-1:])[:MOST_TEXT]

    async def _read(self):
        while line := await self.process.stdout.readline():
            async with self._news:
                self.events.append(decode_event(line))
                self._news.notify_all()
        async with self._news:
            self.ended = True
            self._news.notify_all()


class FeedProcesses:
    """The processes of one test; all are ended when it ends, also when it fails."""

    def __init__(self):
        self.processes = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            await process.wait()

    async def relay(self, setup):
        """A relay that listens, and its address."""
        process = await self._started(setup)
        listening = await process.next(Listening, 0)
        return process, RelayAddress(setup.name, setup.region, "127.0.0.1", listening.port)

    async def relays(self, *setups):
        """Relays that start at once."""
        return await asyncio.gather(*map(self.relay, setups))

    async def followers(self, setup):
        return await self._started(setup)

    async def _started(self, setup):
        process = await FeedProcess.started(setup)
        self.processes.append(process)
        return process


def truth_of(core):
    """The digest of each revision that a publishing process has reported."""
    return {event.revision: event.digest for event in core.seen(Published)}


async def published(core, command, batches=1):
    """Has a process publish; the last event of it."""
    before = len(core.seen(Published))
    core.say(command)
    return await core.next(Published, before + batches - 1)


def installs_of(process):
    """The revisions that each follower of a process has put in force, in their order."""
    found = defaultdict(list)
    for event in process.seen(Installed):
        found[event.follower].append(event.revision)
    return dict(found)


async def all_reach(process, followers, newest):
    """Waits until so many followers have a published revision in force."""

    def reached(process):
        last = {event.follower: event for event in process.seen(Installed)}
        return len(last) == followers and all(event.revision >= newest.revision for event in last.values())

    await process.until(reached)
    for event in process.seen(Installed):
        if event.revision == newest.revision:
            assert event.digest == newest.digest


def assert_true(process, core):
    """Nothing but what was published was ever in force, and no revision went back or came twice."""
    truth = truth_of(core)
    for event in process.seen(Installed):
        assert event.digest == truth[event.revision], event
    for follower, revisions in installs_of(process).items():
        assert revisions == sorted(set(revisions)), follower
