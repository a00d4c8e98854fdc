"""Selection of relays: regions, failback, backoff and stale relays."""

from badgerbend.feed.follower import Follower
from badgerbend.feed.follower_types import Connect, Disconnect, FollowerTuning, RelayAddress
from badgerbend.feed.messages import (
    Heartbeat,
)
from tests.feed_harness import ADDRESS, VERIFIER


def test_a_follower_prefers_its_region_and_fails_back():
    relays = [RelayAddress(f"r{n}", region, "127.0.0.1", n) for n, region in enumerate(["south", "north", "east"], 1)]
    follower = Follower("a", "north", relays, VERIFIER, FollowerTuning(start_jitter=0.0, failback_interval=60.0), 1)
    follower.start(0.0)
    follower.tick(0.0)
    (first,) = follower.take_actions()
    assert isinstance(first, Connect)
    assert first.relay.region == "north"
    follower.closed(0.0, first.attempt)
    follower.tick(1.0)
    (second,) = follower.take_actions()
    assert isinstance(second, Connect)
    assert second.relay.region != "north"
    follower.connected(1.0, second.attempt)
    follower.take_actions()
    for second_ in range(1, 61):
        follower.received(1.0 + second_, second.attempt, Heartbeat(0, 0, 0))
        follower.tick(1.0 + second_)
    actions = [action for action in follower.take_actions() if isinstance(action, Connect | Disconnect)]
    assert isinstance(actions[0], Disconnect)
    follower.tick(62.0)
    actions += [action for action in follower.take_actions() if isinstance(action, Connect)]
    assert actions[-1].relay.region == "north"


def test_failed_attempts_back_off_with_jitter():
    pauses = []
    for seed in range(40):
        follower = Follower("a", "north", [ADDRESS], VERIFIER, FollowerTuning(start_jitter=0.0), seed)
        follower.start(0.0)
        now = 0.0
        for _ in range(12):
            now = follower.next_at
            follower.tick(now)
            (connect,) = [a for a in follower.take_actions() if isinstance(a, Connect)]
            follower.closed(now, connect.attempt)
            pauses.append(follower.next_at - now)
    last = pauses[11::12]
    assert max(last) <= 10.0
    assert max(last) > 8.0
    assert min(last) < 2.0
    assert max(pauses[0::12]) <= 0.1


def test_a_stale_relay_is_left_for_another_one_or_kept_if_there_is_none():
    relays = [RelayAddress(f"r{n}", "north", "127.0.0.1", n) for n in (1, 2)]
    tuning = FollowerTuning(start_jitter=0.0, staleness_limit=5.0, stale_retry_interval=30.0)
    follower = Follower("a", "north", relays, VERIFIER, tuning, 1)

    def connect(now):
        follower.tick(now)
        (action,) = [action for action in follower.take_actions() if isinstance(action, Connect)]
        follower.connected(now, action.attempt)
        follower.take_actions()
        return action

    def heartbeats(attempt, since, until, **fields):
        for at in range(since, until):
            follower.received(float(at), attempt, Heartbeat(0, 0, 60_000, **fields))
        return [action for action in follower.take_actions() if isinstance(action, Disconnect)]

    follower.start(0.0)
    first = connect(0.0)
    assert heartbeats(first.attempt, 1, 6) == []  # the relay may have just started
    assert heartbeats(first.attempt, 6, 9, snapshot_pending=True) == []
    assert heartbeats(first.attempt, 9, 10) == [Disconnect(first.attempt)]
    second = connect(10.0)
    assert second.relay != first.relay
    assert heartbeats(second.attempt, 11, 24) == []  # both relays are stale, so the follower stays with one
    assert heartbeats(second.attempt, 24, 41) == [Disconnect(second.attempt)]  # the first relay may be tried again
