"""The feed's hard cases over loopback: relays killed, stopped, lying or cut off; returns of many; drains amid loads."""

import asyncio
from collections import Counter
from dataclasses import replace

import pytest

from badgerbend.feed.content import Content
from badgerbend.feed.errors import MalformedMessageError, OutOfSequenceError, SignatureError, TamperedChangesError
from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import FollowerPhase, FollowerTuning, RelayAddress
from badgerbend.feed.framing import FrameReader, encode_frame
from badgerbend.feed.log import PublicationLog, Retention, changes_digest
from badgerbend.feed.messages import Checkpoint, Publication, signed_bytes
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import RelayTuning, SendTo
from badgerbend.feed.signature import Ed25519Signer
from badgerbend.feed.snapshot import SnapshotImage
from badgerbend.feed_service.follower import FollowerClient
from badgerbend.feed_service.relay import RelayServer
from badgerbend.feed_service.stream import WRITE_HIGH
from tests.feed_harness import VERIFIER, Control, change
from tests.feed_lines import Fill, FollowersSetup, Installed, PieceCame, Publish, Refused, RelaySetup
from tests.feed_processes import (
    FeedProcesses,
    all_reach,
    assert_consistent,
    installs_of,
    published,
)
from tests.replacing import replace_attribute
from tests.tcp_proxy import Link, TcpProxy
from tests.test_feed_sockets import Owner

QUICK = FollowerTuning(
    start_jitter=0.0,
    backoff_base=0.02,
    backoff_max=0.1,
    heartbeat_timeout=2.0,
    status_min_interval=0.1,
    status_max_interval=0.2,
)
RELAY = RelayTuning(heartbeat_interval=0.2)
SLOW_LOAD = replace(RELAY, snapshot_bytes_per_second=100_000, snapshot_burst_bytes=40_000)  # some 0.4 s a piece
SHORT_RETENTION = Retention(publications=8)
CONTENT = Fill(batches=10, rows=250, value_bytes=1000)  # of the same 250 rows each time: an empty replica has to load
TIMEOUT_S = 60.0
FRESH_S = 1.5  # the age of a replica that is connected to the publisher is less
OLD_S = 2.5  # the age of a replica that surely is not is more


def batch_of_one(key, value):
    """Return a batch of one change."""
    return Publish(((key, value),))


async def until(condition):
    """Wait for a condition of this process."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


# Relays and followers in processes of their own.


def loading_from(process, relay):
    """Return the followers that received a piece of a snapshot from a relay."""
    return {event.follower for event in process.seen(PieceCame) if event.relay == relay}


def loading_partly(process):
    """Whether a follower has some pieces of its first snapshot, and others have loaded theirs."""
    pieces = Counter(event.follower for event in process.seen(PieceCame))
    loaded = installs_of(process)
    return loaded and any(count >= 2 for follower, count in pieces.items() if follower not in loaded)


def test_followers_leave_a_relay_that_is_killed_amid_their_snapshots():
    async def scene():
        async with FeedProcesses() as all_of:
            core, origin = await all_of.relay(RelaySetup(tuning=RELAY))
            await published(core, CONTENT, CONTENT.batches)
            (slow, slow_address), (_, other_address) = await all_of.relays(
                RelaySetup("slow", "north", SLOW_LOAD, SHORT_RETENTION, upstream=(origin,), upstream_tuning=QUICK),
                RelaySetup("other", "south", RELAY, SHORT_RETENTION, upstream=(origin,), upstream_tuning=QUICK),
            )
            await slow.next(Installed, 0)
            followers = await all_of.followers(FollowersSetup(10, "north", (slow_address, other_address), QUICK))
            await followers.until(loading_partly)
            slow.kill()
            newest = await published(core, batch_of_one("node/1", "draining"))
            await all_reach(followers, 10, newest)
            assert loading_from(followers, "slow") & loading_from(followers, "other")
            report = await followers.report()
            assert {state.relay for state in report.followers} == {"other"}
            assert {state.digest for state in report.followers} == {newest.digest}
            assert_consistent(followers, core)

    asyncio.run(scene())


def test_a_paused_follower_has_a_window_in_flight_at_most_is_disconnected_and_returns_by_a_snapshot():
    async def scene():
        async with FeedProcesses() as all_of:
            tuning = replace(RELAY, send_window=100_000, stall_timeout=1.0)
            core, address = await all_of.relay(RelaySetup(tuning=tuning, retention=SHORT_RETENTION))
            first = await published(core, batch_of_one("node/1", "ready"))
            stopped = await all_of.followers(FollowersSetup(1, "north", (address,), QUICK))
            awake = await all_of.followers(FollowersSetup(1, "south", (address,), QUICK))
            await asyncio.gather(all_reach(stopped, 1, first), all_reach(awake, 1, first))
            before = await core.report()
            stopped.pause()
            large = Fill(batches=10, rows=100, value_bytes=2000)
            batches = 0
            # Until the sockets' own buffers are full.
            while "north-0" not in (await core.report()).blocked and batches < 500:
                await published(core, large, large.batches)
                batches += large.batches
            newest = await published(core, Fill(batches=20, rows=1, value_bytes=10), 20)
            report = await core.report_where(lambda report: report.cut > before.cut)
            await core.report_where(lambda report: report.followers == 1)
            assert report.in_flight_most <= tuning.send_window + report.largest_frame
            assert report.waiting_most <= tuning.send_window + report.largest_frame + WRITE_HIGH
            stopped.resume()
            await asyncio.gather(all_reach(stopped, 1, newest), all_reach(awake, 1, newest))
            assert stopped.seen(PieceCame)
            assert (await core.report()).snapshots_started > before.snapshots_started
            assert_consistent(stopped, core)

    asyncio.run(scene())


def test_a_paused_follower_of_a_quiet_feed_is_disconnected_and_returns_by_a_snapshot():
    async def scene():
        async with FeedProcesses() as all_of:
            tuning = replace(RELAY, idle_timeout=2.0)
            core, address = await all_of.relay(RelaySetup(tuning=tuning, retention=SHORT_RETENTION))
            first = await published(core, batch_of_one("node/1", "ready"))
            followers = await all_of.followers(FollowersSetup(3, "north", (address,), QUICK))
            await all_reach(followers, 3, first)
            followers.pause()
            await core.report_where(lambda report: report.followers == 0)
            newest = await published(core, Fill(batches=20, rows=1, value_bytes=10), 20)
            followers.resume()
            await all_reach(followers, 3, newest)
            report = await core.report()
            assert report.cut >= 3
            assert report.snapshots_started >= 3
            assert {tuple(revisions) for revisions in installs_of(followers).values()} == {(1, 21)}
            assert_consistent(followers, core)

    asyncio.run(scene())


@pytest.mark.parametrize("link", [Link.BLACK_HOLE, Link.REFUSED])
@pytest.mark.parametrize("publications_kept", [4096, 50])
def test_a_region_that_was_cut_off_serves_on_and_catches_up(link, publications_kept):
    behind = 300

    async def scene():
        async with FeedProcesses() as all_of:
            retention = Retention(publications=publications_kept)
            core, origin = await all_of.relay(RelaySetup(tuning=RELAY, retention=retention))
            first = await published(core, batch_of_one("node/1", "ready"))
            async with TcpProxy(origin.host, origin.port) as proxy:
                through = replace(origin, port=proxy.listening_port)
                (relay, address), (_, majority_address) = await all_of.relays(
                    RelaySetup("minority", "south", RELAY, upstream=(through,), upstream_tuning=QUICK),
                    RelaySetup("majority", "north", RELAY, upstream=(origin,), upstream_tuning=QUICK),
                )
                minority = await all_of.followers(FollowersSetup(5, "south", (address,), QUICK))
                majority = await all_of.followers(FollowersSetup(5, "north", (majority_address,), QUICK))
                await asyncio.gather(all_reach(minority, 5, first), all_reach(majority, 5, first))
                await minority.report_where(lambda report: all(state.age_s < FRESH_S for state in report.followers))
                before = await asyncio.gather(core.report(), relay.report())

                proxy.cut(link)
                newest = await published(core, Fill(batches=behind, rows=1, value_bytes=10), behind)
                await all_reach(majority, 5, newest)
                await minority.report_where(lambda report: all(state.age_s > OLD_S for state in report.followers))
                report = await minority.report()
                assert {(state.relay, state.revision) for state in report.followers} == {("minority", first.revision)}
                assert {state.digest for state in report.followers} == {first.digest}
                youngest = min(state.age_s for state in report.followers)
                await majority.report_where(lambda report: all(state.age_s < youngest for state in report.followers))

                proxy.heal()
                await all_reach(minority, 5, newest)
                await minority.report_where(lambda report: all(state.age_s < FRESH_S for state in report.followers))
                after = await asyncio.gather(core.report(), relay.report())
                snapshots = [
                    now.snapshots_started - then.snapshots_started for now, then in zip(after, before, strict=True)
                ]
                taken = set(map(tuple, installs_of(minority).values()))
                if publications_kept > behind:
                    assert snapshots == [0, 0]
                    assert taken == {tuple(range(first.revision, newest.revision + 1))}
                else:
                    assert snapshots == [1, 5]
                    assert taken == {(first.revision, newest.revision)}
                assert_consistent(minority, core)
                assert_consistent(majority, core)

    asyncio.run(scene())


def test_a_follower_moves_to_another_relay_with_its_revision():
    async def scene():
        async with FeedProcesses() as all_of:
            core, origin = await all_of.relay(RelaySetup(tuning=RELAY))
            first = await published(core, batch_of_one("node/1", "ready"))
            (near, near_address), (far, far_address) = await all_of.relays(
                RelaySetup("near", "north", RELAY, upstream=(origin,), upstream_tuning=QUICK),
                RelaySetup("far", "south", RELAY, upstream=(origin,), upstream_tuning=QUICK),
            )
            await asyncio.gather(near.next(Installed, 0), far.next(Installed, 0))
            followers = await all_of.followers(FollowersSetup(5, "north", (near_address, far_address), QUICK))
            await all_reach(followers, 5, first)
            halfway = await published(core, Fill(batches=100, rows=1, value_bytes=10), 100)
            await followers.until(lambda process: len(process.seen(Installed)) > 50)
            near.kill()
            newest = await published(core, Fill(batches=100, rows=1, value_bytes=10), 100)
            await all_reach(followers, 5, newest)
            assert halfway.revision < newest.revision
            expected = list(range(first.revision, newest.revision + 1))
            assert list(installs_of(followers).values()) == [expected] * 5
            report = await followers.report()
            assert {state.publications for state in report.followers} == {len(expected) - 1}  # the first was loaded
            assert {state.relay for state in report.followers} == {"far"}
            assert (await far.report()).snapshots_started == 0
            assert_consistent(followers, core)

    asyncio.run(scene())


@pytest.mark.parametrize("publications_kept", [4096, 8])
def test_many_followers_that_return_at_once_load_within_the_pace(publications_kept):
    many = 200

    async def scene():
        async with FeedProcesses() as all_of:
            tuning = replace(
                RELAY,
                max_concurrent_snapshots=4,
                snapshot_bytes_per_second=8_000_000,
                snapshot_burst_bytes=200_000,
                send_window=70_000,
            )
            retention = Retention(publications=publications_kept)
            core, address = await all_of.relay(RelaySetup(tuning=tuning, retention=retention))
            await published(core, Fill(batches=20, rows=150, value_bytes=1000), 20)
            followers = await all_of.followers(
                FollowersSetup(many, "north", (address,), replace(QUICK, heartbeat_timeout=10.0, connect_timeout=10.0))
            )
            await followers.next(Installed, many // 10)
            newest = await published(core, Fill(batches=20, rows=2, value_bytes=1000), 20)  # past the image's revision
            await all_reach(followers, many, newest)
            report = await core.report()
            assert report.loading_most <= tuning.max_concurrent_snapshots
            assert report.over_pace_most <= tuning.snapshot_burst_bytes + report.largest_piece
            assert report.snapshot_bytes > many * tuning.snapshot_burst_bytes / 4  # so the pace had something to bound
            assert report.snapshots_started >= many
            states = (await followers.report()).followers
            assert {state.digest for state in states} == {newest.digest}
            assert_consistent(followers, core)

    asyncio.run(scene())


def test_followers_that_wait_for_their_turn_to_load_stay_with_their_relay():
    many = 100

    async def scene():
        async with FeedProcesses() as all_of:
            tuning = replace(
                RELAY, max_concurrent_snapshots=4, snapshot_bytes_per_second=4_000_000, snapshot_burst_bytes=100_000
            )
            core, address = await all_of.relay(RelaySetup(tuning=tuning))
            newest = await published(core, Fill(batches=2, rows=150, value_bytes=1000), 2)
            impatient = replace(QUICK, heartbeat_timeout=10.0, connect_timeout=10.0, progress_timeout=0.5)
            followers = await all_of.followers(FollowersSetup(many, "north", (address,), impatient))
            await all_reach(followers, many, newest)
            assert followers.seen(Refused) == []
            assert (await core.report()).snapshots_started == many
            assert_consistent(followers, core)

    asyncio.run(scene())


def test_two_changes_of_one_key_in_one_batch():
    async def scene():
        async with FeedProcesses() as all_of:
            core, address = await all_of.relay(RelaySetup(tuning=RELAY))
            followers = await all_of.followers(FollowersSetup(2, "north", (address,), QUICK))
            await published(core, Publish((("node/1", "ready"), ("node/1", "draining"))))
            newest = await published(core, Publish((("node/2", "ready"), ("node/2", None))))
            await all_reach(followers, 2, newest)
            expected = Content()
            expected.apply([change("node/1", "draining")])
            assert newest.digest == expected.digest().hex()
            assert_consistent(followers, core)

    asyncio.run(scene())


# Relays within the test's process.


class LyingRelay(Relay):
    """A relay of an honest log that sends what `lie` makes of each frame."""

    def __init__(self, name, log, tuning):
        super().__init__(name, log, tuning)
        self.lie = lambda data: data

    def take_actions(self):
        actions = []
        for action in super().take_actions():
            actions.append(SendTo(action.session, self.lie(action.frame)) if isinstance(action, SendTo) else action)
        return actions


class CheckingOwner(Owner):
    """Compares what is in force at each install with what the publisher agreed on."""

    def __init__(self, truth):
        super().__init__()
        self.truth = truth
        self.false = []

    def install(self, revision, changes):
        reason = super().install(revision, changes)
        if self.content != self.truth[revision]:
            self.false.append((revision, dict(self.content)))
        return reason


class LyingScene:
    """A lying relay in the follower's own region and an honest one elsewhere, both of the same log."""

    def __init__(self):
        self.control = Control()
        self.control.grant()
        log = self.control.machine.log
        self.truth = {}
        self.liar = LyingRelay("liar", log, RELAY)
        self.honest = Relay("honest", log, RELAY)

    async def __aenter__(self):
        self.servers = [RelayServer(self.liar), RelayServer(self.honest)]
        ports = [await server.start("127.0.0.1", 0) for server in self.servers]
        addresses = [
            RelayAddress(relay.name, region, "127.0.0.1", port)
            for relay, region, port in zip((self.liar, self.honest), ("north", "south"), ports, strict=True)
        ]
        self.owner = CheckingOwner(self.truth)
        tuning = replace(QUICK, heartbeat_timeout=0.6)
        self.client = FollowerClient(Follower("f", "north", addresses, VERIFIER, tuning, 0), self.owner)
        return self

    async def __aexit__(self, *_):
        self.client.stop()
        for server in self.servers:
            await server.stop()
        assert not self.owner.false  # whatever else the test has found

    def publish(self, *changes):
        assert not self.control.publish(self.servers[0].clock(), *changes)
        log = self.control.machine.log
        self.truth[log.revision] = dict(log.content.items())
        for server in self.servers:
            server.log_advanced()


def decoded(data):
    (message,) = FrameReader().feed(data)
    return message


def altered_changes(data):
    """Other changes under the true checkpoint."""
    message = decoded(data)
    if not isinstance(message, Publication):
        return data
    return encode_frame(Publication(message.checkpoint, (change("node/1", "gone"),)))


def forged_checkpoint(data):
    """A consistent publication, signed by another than the publisher."""
    message = decoded(data)
    if not isinstance(message, Publication):
        return data
    log = PublicationLog()
    changes = (change("node/1", "gone"),)
    content = log.content.digest_after((change("node/2", "ready"), *changes))
    digest = changes_digest(changes)
    epoch = message.checkpoint.epoch
    revision = message.checkpoint.revision
    signature = Ed25519Signer(bytes(32)).sign(signed_bytes(epoch, revision, content, digest))
    return encode_frame(Publication(Checkpoint(epoch, revision, content, digest, signature), changes))


def flipped_bit(data):
    return data[:-1] + bytes([data[-1] ^ 1])


LIES = {
    "altered changes": (altered_changes, TamperedChangesError),
    "forged checkpoint": (forged_checkpoint, SignatureError),
    "flipped bit": (flipped_bit, MalformedMessageError),
}


@pytest.mark.parametrize("lie", LIES)
def test_a_relay_that_lies_is_left_for_an_honest_one(lie):
    falsify, error = LIES[lie]

    async def scene():
        async with LyingScene() as made:
            made.publish(change("node/1", "ready"), change("node/2", "ready"))
            made.client.start()
            await made.owner.reaches(1)
            made.liar.lie = falsify
            made.publish(change("node/1", "draining"))
            await made.owner.reaches(2)
            assert made.owner.errors == [("liar", error)]
            assert made.client.follower.relay.name == "honest"
            assert made.owner.revisions == [1, 2]
            assert made.honest.snapshots_started == 0

    asyncio.run(scene())


def test_a_relay_that_replays_an_older_snapshot_is_left_for_an_honest_one():
    async def scene():
        async with LyingScene() as made:
            made.publish(change("node/1", "ready"))
            image = SnapshotImage(made.control.machine.log.content, made.control.machine.log.checkpoint)
            replay = image.begin_frame + image.piece_frame(0)
            made.publish(change("node/1", "draining"))
            made.client.start()
            await made.owner.reaches(2)
            made.liar.lie = lambda data: replay if isinstance(decoded(data), Publication) else data
            made.publish(change("node/3", "ready"))
            await made.owner.reaches(3)
            assert made.owner.errors == [("liar", OutOfSequenceError)]
            assert made.client.follower.relay.name == "honest"
            assert made.owner.content["node/1"] == b"draining"

    asyncio.run(scene())


def test_a_relay_that_sends_half_a_frame_and_falls_silent_is_left_for_an_honest_one():
    async def scene():
        async with LyingScene() as made:
            made.publish(change("node/1", "ready"))
            made.client.start()
            await made.owner.reaches(1)
            halves = iter([True])
            made.liar.lie = lambda data: data[: len(data) // 2] if next(halves, False) else b""
            made.publish(change("node/1", "draining"))
            await made.owner.reaches(2)
            assert made.client.follower.relay.name == "honest"
            assert made.owner.revisions == [1, 2]
            assert made.honest.snapshots_started == 0

    asyncio.run(scene())


@pytest.mark.parametrize("publications_kept", [8, 2])
def test_a_drain_wins_over_a_snapshot_of_earlier_content_that_is_on_its_way(publications_kept):
    async def scene():
        control = Control(Retention(publications=publications_kept))
        control.grant()
        relay = Relay(
            "relay-1", control.machine.log, replace(RELAY, snapshot_bytes_per_second=1_000, snapshot_burst_bytes=1)
        )
        server = RelayServer(relay)
        address = RelayAddress("relay-1", "north", "127.0.0.1", await server.start("127.0.0.1", 0))
        for part in range(3):
            control.publish(0.0, *[change(f"row/{part}/{i}", f"{i * 7919:08x}" * 10) for i in range(900)])
        for i in range(9):  # an empty replica has to load
            control.publish(0.0, change("node/5", "ready"), change("node/6", f"starting {i}"))
        owners = [Owner() for _ in range(3)]
        rows = [[], [], []]
        clients = []
        for place, owner in enumerate(owners):
            replace_attribute(
                owner,
                "unusable",
                lambda changes, owner=owner, place=place: rows[place].append(owner.content.get("node/5")) or "",
            )
            follower = Follower(f"f{place}", "north", [address], VERIFIER, QUICK, place)
            clients.append(FollowerClient(follower, owner))
        for client in clients:
            client.start()
        try:
            await until(lambda: relay.snapshots_started == len(clients))  # each has its image, the pace holds it back
            await until(lambda: any(client.follower.phase is FollowerPhase.RECEIVING_SNAPSHOT for client in clients))
            control.publish(0.0, change("node/5", "draining"))
            for i in range(4):
                control.publish(0.0, change("node/6", f"ready {i}"))
            server.log_advanced()
            assert all(client.follower.log.revision == 0 for client in clients)
            relay.tuning = RELAY
            server.log_advanced()  # it reads its pace again
            for owner in owners:
                await owner.reaches(control.machine.log.revision)
                assert owner.content == dict(control.machine.log.content.items())
            control.publish(0.0, change("node/6", "draining"))
            server.log_advanced()
            for owner, seen in zip(owners, rows, strict=True):
                await owner.reaches(control.machine.log.revision)
                drained = seen.index(b"draining")
                assert seen[0] == b"ready"  # the snapshot was of before
                assert set(seen[drained:]) == {b"draining"}
        finally:
            for client in clients:
                client.stop()
            await server.stop()

    asyncio.run(scene())
