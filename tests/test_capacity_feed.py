"""The scale test of the feed at its small sizes: counts, bytes and slopes are checked, times are not."""

import sys
from functools import cache
from pathlib import Path

import pytest

from badgerbend.feed.framing import encode_frame
from badgerbend.feed.log import Retention
from badgerbend.feed.messages import Change
from badgerbend.feed.relay import Relay
from badgerbend.feed.relay_types import RelayTuning, SendTo
from tests.feed_harness import Control, FeedHarness

sys.path.insert(0, str(Path(__file__).parent.parent / "benchmarks"))

from scale import feed
from scale.feed_content import CHANGES_PER_SECOND, CONFIGURATION_BYTES, ContentChanges, node_row
from scale.feed_fleet import RETAINED
from scale.feed_messages import InForce, Published
from scale.feed_scenarios import SMALL
from scale.feed_times import NEVER, in_force_times
from scale.figures import Kind, fitted

SEED = 1
SIZES = feed.PART.small
MAX_RATIO = 1.1  # of equal amounts: the number of heartbeats varies with the time that a run takes on a busy machine
MAX_SLOPE = 0.001  # increase per added follower, as a fraction of the smallest amount, that counts as no growth


@cache
def figures():
    return feed.measure(SIZES, SEED)


def by_size(scenario, quantity):
    """Return the figures of one quantity; there must be exactly one for each size."""
    found = [f for f in figures() if (f.scenario, f.quantity) == (scenario, quantity)]
    assert [f.size for f in found] == list(SIZES)
    return found


def values(scenario, quantity):
    return [f.value for f in by_size(scenario, quantity)]


# -- with processes, over TCP
def test_after_all_scenarios_every_follower_has_the_newest_revision_and_an_equal_digest():
    assert values("end", "followers at the newest revision") == list(SIZES)
    assert values("end", "followers with an equal digest") == list(SIZES)


def test_no_publication_is_missed_by_a_follower_in_any_scenario():
    found = [f for f in figures() if f.quantity.startswith("in force")]
    assert len({(f.scenario, f.quantity) for f in found}) == 48
    assert all(0.0 < f.value < NEVER for f in found)


@pytest.mark.parametrize("scenario", ["quiet", "ten times"])
def test_bytes_a_follower_received_for_a_publication_do_not_grow_with_followers(scenario):
    found = by_size(scenario, "received a publication")
    received = [f.value for f in found]
    assert max(received) < MAX_RATIO * min(received)
    assert abs(fitted(found).slope) < MAX_SLOPE * min(received)


def test_a_first_snapshot_is_as_large_for_many_followers_as_for_few():
    received = values("start", "bytes a follower received")
    assert max(received) < MAX_RATIO * min(received)


def test_a_zone_that_returns_costs_a_bounded_number_of_bytes_and_one_snapshot_a_follower():
    """The bytes are a snapshot, and the rows that changed at the same time where they arrive after it."""
    changes = ContentChanges(SMALL.nodes, SEED)
    rows = sum(len(c.key) + len(c.value) + 16 for c in changes.zone_lost())
    for first, returned, snapshots in zip(
        values("start", "bytes a follower received"),
        values("zone back", "bytes a returned follower received"),
        values("zone back", "snapshots a returned follower"),
        strict=True,
    ):
        assert snapshots == 1.0
        assert returned < 1.5 * first + rows


def test_followers_of_relays_that_are_cut_off_have_the_newest_revision_only_when_the_region_is_back():
    cut_off = values("region cut", "followers of relays cut off")
    reached = values("region cut", "followers that had the newest before healing")
    assert all(cut_off)
    assert all(cut + had <= size for cut, had, size in zip(cut_off, reached, SIZES, strict=True))


def test_the_feed_sends_a_broker_less_than_complete_lists_do():
    assert values("today, whole lists", "one read")[0] > 100 * values("ten times", "received a publication")[0]


def test_times_are_marked_as_loopback_bytes_as_measured_and_multiplied_figures_as_extrapolated():
    for f in figures():
        if f.scenario == "today, whole lists":
            assert (f.kind is Kind.EXTRAPOLATED) == (f.unit in ("bytes/s", "% of a core", "MB/s"))
        elif f.unit in ("bytes", "bytes/s", "MB"):
            assert f.kind is Kind.MEASURED
        elif f.unit in ("s", "% of a core"):
            assert f.kind is Kind.LOOPBACK


# -- without processes
def fan_out(followers, nodes):
    """Return a stage with a number of followers whose replicas have a row for each node."""
    control = Control()
    control.grant()
    stage = FeedHarness(control)
    first = list(ContentChanges(nodes, SEED).initial())
    for at in range(0, len(first), 1000):
        stage.publish(*first[at : at + 1000])
    for number in range(followers):
        stage.follower(f"f{number}")
    stage.pass_time(1.0)  # empty replicas are loaded at the rate limit of the relay
    assert all(follower.log.checkpoint == control.machine.log.checkpoint for follower in stage.followers.values())
    return stage


def test_a_relay_encodes_a_publication_once_and_sends_all_followers_that_object(monkeypatch):
    stage = fan_out(followers=32, nodes=100)
    encoded = []
    monkeypatch.setattr(
        "badgerbend.feed.log.encode_frame", lambda message: encoded.append(message) or encode_frame(message)
    )
    monkeypatch.setattr(
        "badgerbend.feed.relay.encode_frame", lambda message: encoded.append(message) or encode_frame(message)
    )
    stage.control.publish(stage.now, ContentChanges(100, SEED).row(7))
    stage.relay.log_advanced(stage.now)
    sent = [action.frame for action in stage.relay.take_actions() if isinstance(action, SendTo)]
    assert len(sent) == 32
    assert len({id(data) for data in sent}) == 1
    assert len(encoded) == 1


def test_a_snapshot_is_packed_once_for_all_followers_of_a_relay():
    stage = fan_out(followers=1, nodes=500)
    log = stage.control.machine.log
    relay = Relay("relay-2", log, RelayTuning())
    log.install_snapshot(log.content, log.checkpoint)  # the log retains no publications: all followers need a snapshot
    stage.relay = relay
    for number in range(16):
        stage.follower(f"late{number}", start=False).start(stage.now)
    pieces = []
    stage._relay_action, carry_out = lambda action: (pieces.append(action), carry_out(action)), stage._relay_action
    stage.process_actions()
    large = [action.frame for action in pieces if isinstance(action, SendTo) and len(action.frame) > 2000]
    assert relay.snapshots_started == 16
    assert len(large) % 16 == 0
    assert len({id(data) for data in large}) == len(large) // 16


def test_bytes_of_one_changed_row_do_not_grow_with_the_number_of_nodes():
    sizes = []
    for nodes in (1_000, 4_000):
        stage = fan_out(followers=2, nodes=nodes)
        before = dict(stage.sent_bytes)
        stage.publish(Change("node/00007", node_row(7, "draining", 1)))
        sizes.append([stage.sent_bytes[name] - before[name] for name in before])
    assert sizes[0] == sizes[1]
    assert max(sizes[0]) < 3 * len(node_row(7, "draining", 1))


# -- the parts of the scale test
def test_the_rate_and_the_sizes_of_changes_are_those_of_the_expected_fleet():
    assert 0.27 < CHANGES_PER_SECOND < 0.28
    assert 120 < len(node_row(12_999, "draining", 3)) < 180
    assert len(ContentChanges(10, SEED).configuration(0).value) == CONFIGURATION_BYTES
    made = ContentChanges(10, SEED)
    kinds = [made.next().key.split("/")[0] for _ in range(700)]
    assert kinds.count("configuration") in range(90, 110)


def test_a_publication_that_a_follower_never_put_in_force_counts_as_never():
    published = [Published(5, 10.0, b""), Published(6, 11.0, b"")]
    seen = [(10.5, 11.25), (10.5, None), (12.0, 12.0)]
    followers = [InForce(zone, False, "north", "north", times) for zone, times in enumerate(seen)]
    times = in_force_times(published, followers, lambda follower: follower.zone != 2)
    assert (times.median, times.quantile(0.75), times.longest) == (0.5, 0.5, NEVER)
    assert in_force_times(published, followers, lambda follower: follower.zone == 0).seconds == [0.25, 0.5]


def test_retention_of_the_publishers_log_is_the_products():
    assert Retention().publications == RETAINED
