"""Faults of the feed over loopback.

Relays are killed, cut off, or tamper with their frames; followers are paused or start in large numbers; a drain is
published while snapshots are in transfer.
"""

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
from tests.feed_lines import Fill, FollowersSetup, Installed, PieceReceived, Publish, Rejected, RelaySetup
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
SLOW_SNAPSHOTS = replace(RELAY, snapshot_bytes_per_second=100_000, snapshot_burst_bytes=40_000)  # some 0.4 s a piece
SHORT_RETENTION = Retention(publications=8)
# All batches have the same 250 rows, so that an empty replica has to load a snapshot: it is smaller than the batches.
CONTENT = Fill(batches=10, rows=250, value_bytes=1000)
TIMEOUT_S = 60.0
FRESH_S = 1.5  # upper bound of the age of a replica that is connected to the publisher
STALE_S = 2.5  # an age above this shows that a replica is not connected to the publisher


def batch_of_one(key, value):
    """Return a batch of one change."""
    return Publish(((key, value),))


async def until(condition):
    """Wait until a condition in this process holds."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


# Relays and followers in separate processes.


def loading_from(process, relay):
    """Return the followers that received a piece of a snapshot from a relay."""
    return {event.follower for event in process.seen(PieceReceived) if event.relay == relay}


def loading_partly(process):
    """Return whether a follower has some pieces of its first snapshot while others have loaded all of theirs."""
    pieces = Counter(event.follower for event in process.seen(PieceReceived))
    loaded = installs_of(process)
    return loaded and any(count >= 2 for follower, count in pieces.items() if follower not in loaded)


def test_followers_leave_a_relay_that_is_killed_while_it_sends_their_snapshots():
    async def scenario():
        async with FeedProcesses() as processes:
            publisher, origin = await processes.start_relay(RelaySetup(tuning=RELAY))
            await published(publisher, CONTENT, CONTENT.batches)
            (slow, slow_address), (_, other_address) = await processes.start_relays(
                RelaySetup("slow", "north", SLOW_SNAPSHOTS, SHORT_RETENTION, upstream=(origin,), upstream_tuning=QUICK),
                RelaySetup("other", "south", RELAY, SHORT_RETENTION, upstream=(origin,), upstream_tuning=QUICK),
            )
            await slow.next(Installed, 0)
            followers = await processes.start_followers(
                FollowersSetup(10, "north", (slow_address, other_address), QUICK)
            )
            await followers.until(loading_partly)
            slow.kill()
            newest = await published(publisher, batch_of_one("node/1", "draining"))
            await all_reach(followers, 10, newest)
            assert loading_from(followers, "slow") & loading_from(followers, "other")
            report = await followers.report()
            assert {state.relay for state in report.followers} == {"other"}
            assert {state.digest for state in report.followers} == {newest.digest}
            assert_consistent(followers, publisher)

    asyncio.run(scenario())


def test_a_paused_follower_has_at_most_a_window_in_flight_is_disconnected_and_recovers_by_a_snapshot():
    async def scenario():
        async with FeedProcesses() as processes:
            tuning = replace(RELAY, send_window=100_000, stall_timeout=1.0)
            publisher, address = await processes.start_relay(RelaySetup(tuning=tuning, retention=SHORT_RETENTION))
            first = await published(publisher, batch_of_one("node/1", "ready"))
            paused = await processes.start_followers(FollowersSetup(1, "north", (address,), QUICK))
            running = await processes.start_followers(FollowersSetup(1, "south", (address,), QUICK))
            await asyncio.gather(all_reach(paused, 1, first), all_reach(running, 1, first))
            before = await publisher.report()
            paused.pause()
            large = Fill(batches=10, rows=100, value_bytes=2000)
            batches = 0
            # Until the buffers of the sockets are full.
            while "north-0" not in (await publisher.report()).blocked and batches < 500:
                await published(publisher, large, large.batches)
                batches += large.batches
            newest = await published(publisher, Fill(batches=20, rows=1, value_bytes=10), 20)
            report = await publisher.report_where(lambda report: report.evicted > before.evicted)
            await publisher.report_where(lambda report: report.followers == 1)
            assert report.max_in_flight <= tuning.send_window + report.largest_frame
            assert report.max_unsent <= tuning.send_window + report.largest_frame + WRITE_HIGH
            paused.resume()
            await asyncio.gather(all_reach(paused, 1, newest), all_reach(running, 1, newest))
            assert paused.seen(PieceReceived)
            assert (await publisher.report()).snapshots_started > before.snapshots_started
            assert_consistent(paused, publisher)

    asyncio.run(scenario())


def test_a_paused_follower_of_an_idle_feed_is_disconnected_and_recovers_by_a_snapshot():
    async def scenario():
        async with FeedProcesses() as processes:
            tuning = replace(RELAY, idle_timeout=2.0)
            publisher, address = await processes.start_relay(RelaySetup(tuning=tuning, retention=SHORT_RETENTION))
            first = await published(publisher, batch_of_one("node/1", "ready"))
            followers = await processes.start_followers(FollowersSetup(3, "north", (address,), QUICK))
            await all_reach(followers, 3, first)
            followers.pause()
            await publisher.report_where(lambda report: report.followers == 0)
            newest = await published(publisher, Fill(batches=20, rows=1, value_bytes=10), 20)
            followers.resume()
            await all_reach(followers, 3, newest)
            report = await publisher.report()
            assert report.evicted >= 3
            assert report.snapshots_started >= 3
            assert {tuple(revisions) for revisions in installs_of(followers).values()} == {(1, 21)}
            assert_consistent(followers, publisher)

    asyncio.run(scenario())


@pytest.mark.parametrize("link", [Link.BLACK_HOLE, Link.REFUSED])
@pytest.mark.parametrize("publications_kept", [4096, 50])
def test_a_region_that_is_cut_off_still_serves_and_then_catches_up(link, publications_kept):
    behind = 300

    async def scenario():
        async with FeedProcesses() as processes:
            retention = Retention(publications=publications_kept)
            publisher, origin = await processes.start_relay(RelaySetup(tuning=RELAY, retention=retention))
            first = await published(publisher, batch_of_one("node/1", "ready"))
            async with TcpProxy(origin.host, origin.port) as proxy:
                proxied = replace(origin, port=proxy.listening_port)
                (relay, address), (_, majority_address) = await processes.start_relays(
                    RelaySetup("minority", "south", RELAY, upstream=(proxied,), upstream_tuning=QUICK),
                    RelaySetup("majority", "north", RELAY, upstream=(origin,), upstream_tuning=QUICK),
                )
                minority = await processes.start_followers(FollowersSetup(5, "south", (address,), QUICK))
                majority = await processes.start_followers(FollowersSetup(5, "north", (majority_address,), QUICK))
                await asyncio.gather(all_reach(minority, 5, first), all_reach(majority, 5, first))
                await minority.report_where(lambda report: all(state.age_s < FRESH_S for state in report.followers))
                before = await asyncio.gather(publisher.report(), relay.report())

                proxy.cut(link)
                newest = await published(publisher, Fill(batches=behind, rows=1, value_bytes=10), behind)
                await all_reach(majority, 5, newest)
                await minority.report_where(lambda report: all(state.age_s > STALE_S for state in report.followers))
                report = await minority.report()
                assert {(state.relay, state.revision) for state in report.followers} == {("minority", first.revision)}
                assert {state.digest for state in report.followers} == {first.digest}
                youngest = min(state.age_s for state in report.followers)
                await majority.report_where(lambda report: all(state.age_s < youngest for state in report.followers))

                proxy.heal()
                await all_reach(minority, 5, newest)
                await minority.report_where(lambda report: all(state.age_s < FRESH_S for state in report.followers))
                after = await asyncio.gather(publisher.report(), relay.report())
                snapshots = [
                    now.snapshots_started - then.snapshots_started for now, then in zip(after, before, strict=True)
                ]
                installed = set(map(tuple, installs_of(minority).values()))
                if publications_kept > behind:
                    assert snapshots == [0, 0]
                    assert installed == {tuple(range(first.revision, newest.revision + 1))}
                else:
                    assert snapshots == [1, 5]
                    assert installed == {(first.revision, newest.revision)}
                assert_consistent(minority, publisher)
                assert_consistent(majority, publisher)

    asyncio.run(scenario())


def test_a_follower_moves_to_another_relay_with_its_revision():
    async def scenario():
        async with FeedProcesses() as processes:
            publisher, origin = await processes.start_relay(RelaySetup(tuning=RELAY))
            first = await published(publisher, batch_of_one("node/1", "ready"))
            (near, near_address), (far, far_address) = await processes.start_relays(
                RelaySetup("near", "north", RELAY, upstream=(origin,), upstream_tuning=QUICK),
                RelaySetup("far", "south", RELAY, upstream=(origin,), upstream_tuning=QUICK),
            )
            await asyncio.gather(near.next(Installed, 0), far.next(Installed, 0))
            followers = await processes.start_followers(FollowersSetup(5, "north", (near_address, far_address), QUICK))
            await all_reach(followers, 5, first)
            halfway = await published(publisher, Fill(batches=100, rows=1, value_bytes=10), 100)
            await followers.until(lambda process: len(process.seen(Installed)) > 50)
            near.kill()
            newest = await published(publisher, Fill(batches=100, rows=1, value_bytes=10), 100)
            await all_reach(followers, 5, newest)
            assert halfway.revision < newest.revision
            expected = list(range(first.revision, newest.revision + 1))
            assert list(installs_of(followers).values()) == [expected] * 5
            report = await followers.report()
            # The first revision came by snapshot.
            assert {state.publications for state in report.followers} == {len(expected) - 1}
            assert {state.relay for state in report.followers} == {"far"}
            assert (await far.report()).snapshots_started == 0
            assert_consistent(followers, publisher)

    asyncio.run(scenario())


@pytest.mark.parametrize("publications_kept", [4096, 8])
def test_many_followers_that_start_at_once_load_within_the_rate_limit(publications_kept):
    follower_count = 200

    async def scenario():
        async with FeedProcesses() as processes:
            tuning = replace(
                RELAY,
                max_concurrent_snapshots=4,
                snapshot_bytes_per_second=8_000_000,
                snapshot_burst_bytes=200_000,
                send_window=70_000,
            )
            retention = Retention(publications=publications_kept)
            publisher, address = await processes.start_relay(RelaySetup(tuning=tuning, retention=retention))
            await published(publisher, Fill(batches=20, rows=150, value_bytes=1000), 20)
            followers = await processes.start_followers(
                FollowersSetup(
                    follower_count, "north", (address,), replace(QUICK, heartbeat_timeout=10.0, connect_timeout=10.0)
                )
            )
            await followers.next(Installed, follower_count // 10)
            # Revisions later than the one of the snapshot image.
            newest = await published(publisher, Fill(batches=20, rows=2, value_bytes=1000), 20)
            await all_reach(followers, follower_count, newest)
            report = await publisher.report()
            assert report.max_loading <= tuning.max_concurrent_snapshots
            assert report.max_over_rate <= tuning.snapshot_burst_bytes + report.largest_piece
            # So many bytes that the rate limit took effect.
            assert report.snapshot_bytes > follower_count * tuning.snapshot_burst_bytes / 4
            assert report.snapshots_started >= follower_count
            states = (await followers.report()).followers
            assert {state.digest for state in states} == {newest.digest}
            assert_consistent(followers, publisher)

    asyncio.run(scenario())


def test_followers_that_are_queued_for_a_snapshot_stay_connected_to_their_relay():
    follower_count = 100

    async def scenario():
        async with FeedProcesses() as processes:
            tuning = replace(
                RELAY, max_concurrent_snapshots=4, snapshot_bytes_per_second=4_000_000, snapshot_burst_bytes=100_000
            )
            publisher, address = await processes.start_relay(RelaySetup(tuning=tuning))
            newest = await published(publisher, Fill(batches=2, rows=150, value_bytes=1000), 2)
            impatient = replace(QUICK, heartbeat_timeout=10.0, connect_timeout=10.0, progress_timeout=0.5)
            followers = await processes.start_followers(FollowersSetup(follower_count, "north", (address,), impatient))
            await all_reach(followers, follower_count, newest)
            assert followers.seen(Rejected) == []
            assert (await publisher.report()).snapshots_started == follower_count
            assert_consistent(followers, publisher)

    asyncio.run(scenario())


def test_two_changes_of_one_key_in_one_batch():
    async def scenario():
        async with FeedProcesses() as processes:
            publisher, address = await processes.start_relay(RelaySetup(tuning=RELAY))
            followers = await processes.start_followers(FollowersSetup(2, "north", (address,), QUICK))
            await published(publisher, Publish((("node/1", "ready"), ("node/1", "draining"))))
            newest = await published(publisher, Publish((("node/2", "ready"), ("node/2", None))))
            await all_reach(followers, 2, newest)
            expected = Content()
            expected.apply([change("node/1", "draining")])
            assert newest.digest == expected.digest().hex()
            assert_consistent(followers, publisher)

    asyncio.run(scenario())


# Relays in the process of the test.


class TamperingRelay(Relay):
    """A relay with a correct log that sends what `tamper` makes of each frame."""

    def __init__(self, name, log, tuning):
        super().__init__(name, log, tuning)
        self.tamper = lambda data: data

    def take_actions(self):
        actions = []
        for action in super().take_actions():
            actions.append(SendTo(action.session, self.tamper(action.frame)) if isinstance(action, SendTo) else action)
        return actions


class CheckingOwner(Owner):
    """Compares the content in force at each install with what was published."""

    def __init__(self, published_content):
        super().__init__()
        self.published_content = published_content
        self.mismatches = []

    def install(self, revision, changes):
        reason = super().install(revision, changes)
        if self.content != self.published_content[revision]:
            self.mismatches.append((revision, dict(self.content)))
        return reason


class TamperingSetup:
    """A tampering relay in the follower's own region and an honest one in another, both with the same log."""

    def __init__(self):
        self.control = Control()
        self.control.grant()
        log = self.control.machine.log
        self.published_content = {}
        self.tampering = TamperingRelay("tampering", log, RELAY)
        self.honest = Relay("honest", log, RELAY)

    async def __aenter__(self):
        self.servers = [RelayServer(self.tampering), RelayServer(self.honest)]
        ports = [await server.start("127.0.0.1", 0) for server in self.servers]
        addresses = [
            RelayAddress(relay.name, region, "127.0.0.1", port)
            for relay, region, port in zip((self.tampering, self.honest), ("north", "south"), ports, strict=True)
        ]
        self.owner = CheckingOwner(self.published_content)
        tuning = replace(QUICK, heartbeat_timeout=0.6)
        self.client = FollowerClient(Follower("f", "north", addresses, VERIFIER, tuning, 0), self.owner)
        return self

    async def __aexit__(self, *_):
        self.client.stop()
        for server in self.servers:
            await server.stop()
        assert not self.owner.mismatches  # checked after each test

    def publish(self, *changes):
        assert not self.control.publish(self.servers[0].clock(), *changes)
        log = self.control.machine.log
        self.published_content[log.revision] = dict(log.content.items())
        for server in self.servers:
            server.log_advanced()


def decoded(data):
    (message,) = FrameReader().feed(data)
    return message


def altered_changes(data):
    """Replace the changes and keep the valid checkpoint."""
    message = decoded(data)
    if not isinstance(message, Publication):
        return data
    return encode_frame(Publication(message.checkpoint, (change("node/1", "gone"),)))


def forged_checkpoint(data):
    """Make a consistent publication that is not signed by the publisher."""
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


TAMPERINGS = {
    "altered changes": (altered_changes, TamperedChangesError),
    "forged checkpoint": (forged_checkpoint, SignatureError),
    "flipped bit": (flipped_bit, MalformedMessageError),
}


@pytest.mark.parametrize("tampering", TAMPERINGS)
def test_a_follower_leaves_a_tampering_relay_for_an_honest_one(tampering):
    tamper, error = TAMPERINGS[tampering]

    async def scenario():
        async with TamperingSetup() as setup:
            setup.publish(change("node/1", "ready"), change("node/2", "ready"))
            setup.client.start()
            await setup.owner.until_revision(1)
            setup.tampering.tamper = tamper
            setup.publish(change("node/1", "draining"))
            await setup.owner.until_revision(2)
            assert setup.owner.errors == [("tampering", error)]
            assert setup.client.follower.relay.name == "honest"
            assert setup.owner.revisions == [1, 2]
            assert setup.honest.snapshots_started == 0

    asyncio.run(scenario())


def test_a_follower_leaves_a_relay_that_replays_an_older_snapshot_for_an_honest_one():
    async def scenario():
        async with TamperingSetup() as setup:
            setup.publish(change("node/1", "ready"))
            image = SnapshotImage(setup.control.machine.log.content, setup.control.machine.log.checkpoint)
            replay = image.begin_frame + image.piece_frame(0)
            setup.publish(change("node/1", "draining"))
            setup.client.start()
            await setup.owner.until_revision(2)
            setup.tampering.tamper = lambda data: replay if isinstance(decoded(data), Publication) else data
            setup.publish(change("node/3", "ready"))
            await setup.owner.until_revision(3)
            assert setup.owner.errors == [("tampering", OutOfSequenceError)]
            assert setup.client.follower.relay.name == "honest"
            assert setup.owner.content["node/1"] == b"draining"

    asyncio.run(scenario())


def test_a_follower_leaves_a_relay_that_sends_half_a_frame_and_nothing_more_for_an_honest_one():
    async def scenario():
        async with TamperingSetup() as setup:
            setup.publish(change("node/1", "ready"))
            setup.client.start()
            await setup.owner.until_revision(1)
            send_half = iter([True])
            setup.tampering.tamper = lambda data: data[: len(data) // 2] if next(send_half, False) else b""
            setup.publish(change("node/1", "draining"))
            await setup.owner.until_revision(2)
            assert setup.client.follower.relay.name == "honest"
            assert setup.owner.revisions == [1, 2]
            assert setup.honest.snapshots_started == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("publications_kept", [8, 2])
def test_a_drain_takes_precedence_over_a_snapshot_of_earlier_content_in_transfer(publications_kept):
    async def scenario():
        control = Control(Retention(publications=publications_kept))
        control.grant()
        relay = Relay(
            "relay-1", control.machine.log, replace(RELAY, snapshot_bytes_per_second=1_000, snapshot_burst_bytes=1)
        )
        server = RelayServer(relay)
        address = RelayAddress("relay-1", "north", "127.0.0.1", await server.start("127.0.0.1", 0))
        for part in range(3):
            control.publish(0.0, *[change(f"row/{part}/{i}", f"{i * 7919:08x}" * 10) for i in range(900)])
        for i in range(9):  # more than 8 publications: an empty replica has to load a snapshot
            control.publish(0.0, change("node/5", "ready"), change("node/6", f"starting {i}"))
        owners = [Owner() for _ in range(3)]
        rows = [[], [], []]
        clients = []
        for index, owner in enumerate(owners):
            replace_attribute(
                owner,
                "unusable",
                lambda changes, owner=owner, index=index: rows[index].append(owner.content.get("node/5")) or "",
            )
            follower = Follower(f"f{index}", "north", [address], VERIFIER, QUICK, index)
            clients.append(FollowerClient(follower, owner))
        for client in clients:
            client.start()
        try:
            # Each session has its image; the rate limit delays the pieces.
            await until(lambda: relay.snapshots_started == len(clients))
            await until(lambda: any(client.follower.phase is FollowerPhase.RECEIVING_SNAPSHOT for client in clients))
            control.publish(0.0, change("node/5", "draining"))
            for i in range(4):
                control.publish(0.0, change("node/6", f"ready {i}"))
            server.log_advanced()
            assert all(client.follower.log.revision == 0 for client in clients)
            relay.tuning = RELAY
            server.log_advanced()  # has the relay apply the new rate limit
            for owner in owners:
                await owner.until_revision(control.machine.log.revision)
                assert owner.content == dict(control.machine.log.content.items())
            control.publish(0.0, change("node/6", "draining"))
            server.log_advanced()
            for owner, seen in zip(owners, rows, strict=True):
                await owner.until_revision(control.machine.log.revision)
                drained = seen.index(b"draining")
                assert seen[0] == b"ready"  # the snapshot has the earlier content
                assert set(seen[drained:]) == {b"draining"}
        finally:
            for client in clients:
                client.stop()
            await server.stop()

    asyncio.run(scenario())
