"""Control machines as processes over loopback: votes, the lease on publishing, fan-out, and machines that fail."""

import asyncio
import socket

from badgerbend.feed.follower_types import FollowerTuning
from badgerbend.feed.relay_types import RelayTuning
from badgerbend.standin.fault_proxy import free_port
from badgerbend.wal.store import create_store
from tests.feed_lines import ControlSetup, FollowersSetup, Installed, Listening, Publish, Published, Submitted
from tests.feed_processes import FeedProcess, FeedProcesses

REGIONS = ("north", "south", "west")
FOLLOWER = FollowerTuning(
    start_jitter=0.0,
    backoff_base=0.02,
    backoff_max=0.2,
    status_min_interval=0.1,
    status_max_interval=0.5,
)
RELAY = RelayTuning(heartbeat_interval=0.2)
COUNT = 4  # followers of a region


class Controls:
    """Control machines of one test, one a region, and the followers of all regions."""

    def __init__(self, processes, folder):
        self.processes = processes
        names = [f"control-{region}" for region in REGIONS]
        voters = {name: ("127.0.0.1", free_port(socket.SOCK_DGRAM)) for name in names}
        for name in names:
            create_store(folder / name, name, names)
        self.setups = {
            name: ControlSetup(name, region, str(folder / name), voters, RELAY)
            for name, region in zip(names, REGIONS, strict=True)
        }
        self.running = {}
        self.relays = []
        self.followers = []
        self.values = 0

    async def start(self):
        started = await asyncio.gather(*(self.processes.relay(setup) for setup in self.setups.values()))
        for (process, address), name in zip(started, self.setups, strict=True):
            self.running[name] = process
            self.relays.append(address)
        for region in REGIONS:
            setup = FollowersSetup(COUNT, region, tuple(self.relays), FOLLOWER)
            self.followers.append(await self.processes.followers(setup))

    async def restart(self, name):
        """Start a machine again with what its disk holds, its relay at a new port that followers do not know."""
        process = await FeedProcess.start(self.setups[name])
        self.processes.processes.append(process)
        await process.next(Listening, 0)
        self.running[name] = process

    def kill(self, name):
        self.running.pop(name).kill()

    async def publisher(self):
        """Wait until a machine publishes; returns its name and its report."""
        async with asyncio.timeout(60):
            while True:
                for name, process in list(self.running.items()):
                    report = await process.report()
                    if report.publishes:
                        return name, report
                await asyncio.sleep(0.05)

    async def submit(self, name):
        """Submit a change of a row, with a value that no other change has; returns whether it was accepted."""
        process = self.running[name]
        before = len(process.seen(Submitted))
        self.values += 1
        process.send(Publish(((f"node/{self.values % 5}", f"ready {self.values}"),)))
        return (await process.next(Submitted, before)).taken

    async def publish(self, count):
        """Publish so many changes one after the other; returns the revision of the last."""
        for _ in range(count):
            async with asyncio.timeout(60):
                while not (revision := await self._publish_one()):
                    pass
        return revision

    async def _publish_one(self):
        """Publish a change; returns its revision, or 0 if the lease ended first and the change was abandoned."""
        name, before = await self.publisher()
        if not await self.submit(name):
            return 0
        while True:
            report = await self.running[name].report()
            if report.revision > before.revision:
                return report.revision
            if not report.publishes:
                return 0
            await asyncio.sleep(0.01)

    async def all_reach(self, revision):
        """Wait until all running machines and all followers hold a revision."""
        await asyncio.gather(
            *(process.until(lambda process: newest_of(process) >= revision) for process in self.running.values()),
            *(process.until(lambda process: followers_at(process, revision)) for process in self.followers),
        )

    def assert_agreed(self):
        """Assert that content never differed at one revision, and that no follower's revision went back."""
        digests = {}
        for process in self.processes.processes:
            for event in [*process.seen(Published), *process.seen(Installed)]:
                assert digests.setdefault(event.revision, event.digest) == event.digest, event
        for process in self.followers:
            last = {}
            for event in process.seen(Installed):
                assert event.revision > last.get(event.follower, 0), event
                last[event.follower] = event.revision


def newest_of(process):
    return max((event.revision for event in process.seen(Published)), default=0)


def followers_at(process, revision):
    newest = {event.follower: event.revision for event in process.seen(Installed)}
    return len(newest) == COUNT and min(newest.values()) >= revision


def scene(folder, what):
    async def run():
        async with FeedProcesses() as processes:
            controls = Controls(processes, folder)
            await controls.start()
            await what(controls)
            controls.assert_agreed()

    asyncio.run(run())


def test_a_publication_is_in_force_in_all_regions_and_the_publisher_knows(tmp_path):
    async def what(controls):
        newest = await controls.publish(20)
        await controls.all_reach(newest)
        name, report = await controls.publisher()
        assert report.epoch > 0
        assert report.revision == newest
        everyone = COUNT * len(REGIONS)
        await controls.running[name].report_where(lambda report: report.followers == report.in_force == everyone)
        others = [other for other in controls.running if other != name]
        assert [await controls.submit(other) for other in others] == [False, False]

    scene(tmp_path, what)


def test_another_publishes_after_the_publisher_is_killed_and_it_catches_up_when_it_is_back(tmp_path):
    async def what(controls):
        await controls.all_reach(await controls.publish(5))
        first, before = await controls.publisher()
        assert await controls.submit(first)  # on its way as the process dies: agreed on or not, but by all alike
        controls.kill(first)
        newest = await controls.publish(5)
        second, after = await controls.publisher()
        assert second != first
        assert after.epoch > before.epoch
        await controls.all_reach(newest)
        await controls.restart(first)
        newest = await controls.publish(3)
        await controls.all_reach(newest)
        report = await controls.running[first].report()
        assert report.digest == (await controls.running[second].report()).digest

    scene(tmp_path, what)


def test_a_publisher_that_was_stopped_publishes_nothing_under_its_old_epoch(tmp_path):
    async def what(controls):
        await controls.all_reach(await controls.publish(3))
        first, before = await controls.publisher()
        stopped = controls.running.pop(first)
        stopped.pause()
        stopped.send(Publish((("node/0", "of the old publisher"),)))  # it reads this when it goes on
        newest = await controls.publish(5)
        stopped.resume()
        await stopped.next(Submitted, len(stopped.seen(Submitted)))
        controls.running[first] = stopped
        await controls.all_reach(await controls.publish(5))
        name, report = await controls.publisher()
        assert report.epoch > before.epoch
        assert newest < report.revision
        digests = {(await process.report()).digest for process in controls.running.values()}
        assert len(digests) == 1

    scene(tmp_path, what)


def test_a_minority_publishes_nothing_and_serves_on_reporting_its_age(tmp_path):
    async def what(controls):
        newest = await controls.publish(3)
        await controls.all_reach(newest)
        lost = list(controls.setups)[1:]
        for name in lost:
            controls.kill(name)
        (alone,) = controls.running
        process = controls.running[alone]
        await process.report_where(lambda report: not report.publishes and report.age_s > 3.0)
        assert not await controls.submit(alone)
        report = await process.report()
        assert report.revision == newest
        home = controls.followers[0]
        states = (
            await home.report_where(lambda report: all(state.age_s > 2.5 for state in report.followers))
        ).followers
        assert {state.revision for state in states} == {newest}
        for name in lost:
            await controls.restart(name)
        newest = await controls.publish(3)
        await controls.running[alone].until(lambda process: newest_of(process) >= newest)
        await controls.followers[0].until(lambda process: followers_at(process, newest))
        await home.report_where(lambda report: all(state.age_s < 2.0 for state in report.followers))

    scene(tmp_path, what)


def test_a_publication_larger_than_a_socket_holds_reaches_the_leader(tmp_path):
    """Some 300 datagrams: sent at once, the same ones of them were lost at each repeat."""

    async def what(controls):
        newest = await controls.publish(1)
        name, _ = await controls.publisher()
        process = controls.running[name]
        batch = Publish(tuple((f"row/{i}", f"{i} " + "x" * 150) for i in range(1500)))
        before = len(process.seen(Submitted))
        process.send(batch)
        assert (await process.next(Submitted, before)).taken
        await controls.all_reach(newest + 1)

    scene(tmp_path, what)
