"""Control machines as processes over loopback: elections, the publish lease, fan-out, and failures of machines."""

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
FOLLOWERS_PER_REGION = 4


class ControlMachines:
    """The control machines of one test, one in each region, and the followers of all regions."""

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
        started = await asyncio.gather(*(self.processes.start_relay(setup) for setup in self.setups.values()))
        for (process, address), name in zip(started, self.setups, strict=True):
            self.running[name] = process
            self.relays.append(address)
        for region in REGIONS:
            setup = FollowersSetup(FOLLOWERS_PER_REGION, region, tuple(self.relays), FOLLOWER)
            self.followers.append(await self.processes.start_followers(setup))

    async def restart(self, name):
        """Start a machine again from its disk. Its relay has a new port, which the followers do not know."""
        process = await FeedProcess.start(self.setups[name])
        self.processes.processes.append(process)
        await process.next(Listening, 0)
        self.running[name] = process

    def kill(self, name):
        self.running.pop(name).kill()

    async def publisher(self):
        """Wait until a machine holds the publish lease; return its name and its report."""
        async with asyncio.timeout(60):
            while True:
                for name, process in list(self.running.items()):
                    report = await process.report()
                    if report.is_publisher:
                        return name, report
                await asyncio.sleep(0.05)

    async def submit(self, name):
        """Submit a change of a row with a unique value; return whether it was accepted."""
        process = self.running[name]
        before = len(process.seen(Submitted))
        self.values += 1
        process.send(Publish(((f"node/{self.values % 5}", f"ready {self.values}"),)))
        return (await process.next(Submitted, before)).accepted

    async def publish(self, count):
        """Publish a number of changes one after the other; return the revision of the last."""
        for _ in range(count):
            async with asyncio.timeout(60):
                while not (revision := await self._publish_one()):
                    pass
        return revision

    async def _publish_one(self):
        """Publish a change; return its revision, or 0 if the lease ended first and the change was abandoned."""
        name, before = await self.publisher()
        if not await self.submit(name):
            return 0
        while True:
            report = await self.running[name].report()
            if report.revision > before.revision:
                return report.revision
            if not report.is_publisher:
                return 0
            await asyncio.sleep(0.01)

    async def all_reach(self, revision):
        """Wait until all running machines and all followers have reached a revision."""
        await asyncio.gather(
            *(process.until(lambda process: newest_revision(process) >= revision) for process in self.running.values()),
            *(process.until(lambda process: all_followers_at(process, revision)) for process in self.followers),
        )

    def assert_agreed(self):
        """Assert that each revision has one content everywhere, and that the revisions of a follower only increase."""
        digests = {}
        for process in self.processes.processes:
            for event in [*process.seen(Published), *process.seen(Installed)]:
                assert digests.setdefault(event.revision, event.digest) == event.digest, event
        for process in self.followers:
            last = {}
            for event in process.seen(Installed):
                assert event.revision > last.get(event.follower, 0), event
                last[event.follower] = event.revision


def newest_revision(process):
    return max((event.revision for event in process.seen(Published)), default=0)


def all_followers_at(process, revision):
    newest = {event.follower: event.revision for event in process.seen(Installed)}
    return len(newest) == FOLLOWERS_PER_REGION and min(newest.values()) >= revision


def run_scenario(folder, scenario):
    async def run():
        async with FeedProcesses() as processes:
            machines = ControlMachines(processes, folder)
            await machines.start()
            await scenario(machines)
            machines.assert_agreed()

    asyncio.run(run())


def test_a_publication_is_in_force_in_all_regions_and_the_publisher_knows(tmp_path):
    async def scenario(machines):
        newest = await machines.publish(20)
        await machines.all_reach(newest)
        name, report = await machines.publisher()
        assert report.epoch > 0
        assert report.revision == newest
        all_followers = FOLLOWERS_PER_REGION * len(REGIONS)
        await machines.running[name].report_where(lambda report: report.followers == report.in_force == all_followers)
        others = [other for other in machines.running if other != name]
        assert [await machines.submit(other) for other in others] == [False, False]

    run_scenario(tmp_path, scenario)


def test_another_machine_publishes_after_the_publisher_is_killed_and_the_killed_one_catches_up(tmp_path):
    async def scenario(machines):
        await machines.all_reach(await machines.publish(5))
        first, before = await machines.publisher()
        # In flight when the process is killed: it may be agreed on or not, but equally on all machines.
        assert await machines.submit(first)
        machines.kill(first)
        newest = await machines.publish(5)
        second, after = await machines.publisher()
        assert second != first
        assert after.epoch > before.epoch
        await machines.all_reach(newest)
        await machines.restart(first)
        newest = await machines.publish(3)
        await machines.all_reach(newest)
        report = await machines.running[first].report()
        assert report.digest == (await machines.running[second].report()).digest

    run_scenario(tmp_path, scenario)


def test_a_publisher_that_was_paused_publishes_nothing_under_its_old_epoch(tmp_path):
    async def scenario(machines):
        await machines.all_reach(await machines.publish(3))
        first, before = await machines.publisher()
        paused = machines.running.pop(first)
        paused.pause()
        paused.send(Publish((("node/0", "of the old publisher"),)))  # read when it resumes
        newest = await machines.publish(5)
        paused.resume()
        await paused.next(Submitted, len(paused.seen(Submitted)))
        machines.running[first] = paused
        await machines.all_reach(await machines.publish(5))
        name, report = await machines.publisher()
        assert report.epoch > before.epoch
        assert newest < report.revision
        digests = {(await process.report()).digest for process in machines.running.values()}
        assert len(digests) == 1

    run_scenario(tmp_path, scenario)


def test_a_minority_publishes_nothing_but_still_serves_and_reports_its_age(tmp_path):
    async def scenario(machines):
        newest = await machines.publish(3)
        await machines.all_reach(newest)
        killed = list(machines.setups)[1:]
        for name in killed:
            machines.kill(name)
        (survivor,) = machines.running
        process = machines.running[survivor]
        await process.report_where(lambda report: not report.is_publisher and report.age_s > 3.0)
        assert not await machines.submit(survivor)
        report = await process.report()
        assert report.revision == newest
        local_followers = machines.followers[0]
        states = (
            await local_followers.report_where(lambda report: all(state.age_s > 2.5 for state in report.followers))
        ).followers
        assert {state.revision for state in states} == {newest}
        for name in killed:
            await machines.restart(name)
        newest = await machines.publish(3)
        await machines.running[survivor].until(lambda process: newest_revision(process) >= newest)
        await machines.followers[0].until(lambda process: all_followers_at(process, newest))
        await local_followers.report_where(lambda report: all(state.age_s < 2.0 for state in report.followers))

    run_scenario(tmp_path, scenario)


def test_a_publication_larger_than_a_socket_buffer_reaches_the_leader(tmp_path):
    """The publication takes some 300 datagrams. When all were sent at once, each retry lost the same ones."""

    async def scenario(machines):
        newest = await machines.publish(1)
        name, _ = await machines.publisher()
        process = machines.running[name]
        batch = Publish(tuple((f"row/{i}", f"{i} " + "x" * 150) for i in range(1500)))
        before = len(process.seen(Submitted))
        process.send(batch)
        assert (await process.next(Submitted, before)).accepted
        await machines.all_reach(newest + 1)

    run_scenario(tmp_path, scenario)
