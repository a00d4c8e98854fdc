"""The slow-start budget: the usable rates never exceed the sum of own rates, even if messages are lost or late."""

from dataclasses import replace

import pytest

from badgerbend import api
from badgerbend.consensus.messages import MalformedMessageError
from badgerbend.leases.messages import (
    MAX_SERVERS,
    BudgetDemand,
    BudgetGrant,
    BudgetReply,
    BudgetRequest,
    decode_peer_message,
    encode,
)
from badgerbend.sites.availability import SiteState
from badgerbend.sites.preference import LocalityPreference
from badgerbend.slow_start_budget.allocator import BudgetAllocator
from badgerbend.slow_start_budget.broker import BrokerBudget
from badgerbend.slow_start_budget.fair_share import RateDemand, fair_rate
from badgerbend.slow_start_budget.resources import ResourceKey
from badgerbend.slow_start_budget.timing import BudgetTiming
from tests.conftest import ALL, Harness, actions_of, endpoint
from tests.simbudget import DUTY, NODE, SERVER, START, TIMING, BudgetExceededError, World
from tests.simsites import site_policy
from tests.simslowstart import release_and_shift


class CountsUnacknowledgedCaps(BudgetAllocator):
    """Relies on a cap before the broker has acknowledged the grant."""

    def max_usable_rate(self, now_ms, allocation):
        if allocation.grants and allocation.acknowledged_request not in allocation.grants:
            return list(allocation.grants.values())[-1].rate
        return super().max_usable_rate(now_ms, allocation)


class CountsOnlyTheLastGrant(BudgetAllocator):
    """Ignores that an earlier grant may still be in force."""

    def max_usable_rate(self, now_ms, allocation):
        all_grants = allocation.grants
        acknowledged = allocation.acknowledged_request
        grants = {n: grant for n, grant in all_grants.items() if n in (acknowledged, max(all_grants))}
        if grants and max(grants) != acknowledged and acknowledged in grants:
            grants[acknowledged] = replace(grants[acknowledged], rate=0.0)
        allocation.grants = grants
        try:
            return super().max_usable_rate(now_ms, allocation)
        finally:
            allocation.grants = all_grants


class GrantsDuplicatesAgain(BudgetAllocator):
    """Issues another grant for a request that is a duplicate or was overtaken."""

    def handle_request(self, now_ms, epoch, request):
        for demand in request.demands:
            if allocation := self.allocations.get((demand.resource, demand.started_ms), {}).get(request.source):
                allocation.last_request = 0
        return super().handle_request(now_ms, epoch, request)


class GrantsAtOnce(BudgetAllocator):
    """Issues grants while those of the previous allocator may still be in force."""

    def start(self, now_ms):
        super().start(now_ms)
        self.leader_since_ms = -1e9


class CountsFromTheReply(BrokerBudget):
    """Counts a grant from the arrival of the reply instead of from before the request was sent."""

    def apply_reply(self, now_ms, reply):
        if reply.seq in self.request_times:
            self.request_times[reply.seq] = now_ms
        super().apply_reply(now_ms, reply)


class IgnoresTheCap(BrokerBudget):
    """Returns to its own rate as soon as its grant has expired."""

    def _usable_rate(self, resource, now_ms, own_rate):
        resource.own_rate = own_rate
        return resource.granted_rate if now_ms < resource.granted_until_ms else own_rate


class NeverExpires(BrokerBudget):
    """Uses a grant forever."""

    def _usable_rate(self, resource, now_ms, own_rate):
        resource.own_rate = own_rate
        return resource.granted_rate if resource.granted_until_ms > 0 else own_rate


def test_usable_rates_never_exceed_the_own_rates_despite_loss_delay_and_new_allocators():
    max_used = replies = 0
    for seed in range(150):
        world = World(seed, loss=(0.0, 0.2, 0.6)[seed % 3])
        world.run(20_000)
        assert world.checks > 500
        max_used = max(max_used, world.max_used)
        replies += world.replies
    assert replies > 10_000
    assert max_used > 0.99  # the budget is also fully used


@pytest.mark.parametrize(
    "changes",
    [
        {"allocator": CountsUnacknowledgedCaps},
        {"allocator": CountsOnlyTheLastGrant},
        {"allocator": GrantsDuplicatesAgain},
        {"allocator": GrantsAtOnce},
        {"budget": CountsFromTheReply},
        {"budget": IgnoresTheCap},
        {"budget": NeverExpires},
        {"clock_rate": 0.4},
    ],
    ids=lambda changes: "clocks beyond the bound" if "clock_rate" in changes else next(iter(changes.values())).__name__,
)
def test_each_defect_exceeds_the_budget(changes):
    for seed in range(300):
        try:
            World(seed, loss=0.2, **changes).run(20_000)
        except BudgetExceededError:
            return
    pytest.fail("no seed exceeds the budget")


def exchange(allocator, budgets, now, demands, own_rates, rounds=4):
    """Brokers send requests in turn, and every reply arrives. Returns the rates that they may use after that."""
    for number in range(rounds):
        at = now + number * 200.0
        for budget, demand, own_rate in zip(budgets, demands, own_rates, strict=True):
            budget.update_warming_servers(at, {NODE: ResourceKey(SERVER, START)})
            budget.server_rate(at, NODE, own_rate, 1.0, 1, 1)
            budget.servers[NODE].demand_parts = demand * 100.0
            budget.servers[NODE].demand_since_ms = at - 100.0
            for request in budget.create_requests(at):
                reply = allocator.handle_request(at, 5, request)
                if reply is not None:
                    budget.apply_reply(at, reply)
    at = now + rounds * 200.0 - 100.0
    return usable_rates(budgets, at, own_rates)


def usable_rates(budgets, at, own_rates):
    return [budget.server_rate(at, NODE, own, 1.0, 1, 1) for budget, own in zip(budgets, own_rates, strict=True)]


def allocator_and_budgets(broker_count):
    allocator = BudgetAllocator("d", DUTY, TIMING)
    allocator.start(0.0)
    return allocator, [BrokerBudget(f"b{i}", DUTY, TIMING, i) for i in range(broker_count)]


def test_rate_that_some_brokers_leave_unused_is_granted_to_those_that_need_more():
    allocator, budgets = allocator_and_budgets(4)
    rates = exchange(allocator, budgets, 2000.0, demands=[0.0, 0.0, 10.0, 1.5], own_rates=[1.0] * 4)
    assert rates == pytest.approx([0.0, 0.0, 2.5, 1.5])
    # When all need less, each gets its own rate back in the end.
    rates = exchange(allocator, budgets, 2900.0, demands=[0.1] * 4, own_rates=[1.0] * 4, rounds=12)
    assert rates == pytest.approx([1.0] * 4)


def test_without_an_allocator_and_soon_after_it_started_brokers_use_their_own_rates():
    allocator, budgets = allocator_and_budgets(3)
    own_rates = [1.0, 2.0, 3.0]
    assert exchange(allocator, budgets, 10.0, demands=[0.0, 5.0, 5.0], own_rates=own_rates, rounds=1) == own_rates
    assert allocator.grants_issued == 0
    rates = exchange(allocator, budgets, 2000.0, demands=[0.0, 5.0, 5.0], own_rates=own_rates)
    assert rates == pytest.approx([0.0, 2.5, 3.5])
    # Without further replies the grants expire, caps stay for a while, and then each broker uses its own rate.
    for at, usable in (
        (2600.0 + TIMING.broker_grant_ms, [0.0, 2.0, 3.0]),
        (2600.0 + TIMING.broker_cap_ms, [1.0, 2.0, 3.0]),
    ):
        assert usable_rates(budgets, at, own_rates) == usable


def test_a_restarted_server_is_a_new_resource_and_a_warm_server_is_none():
    allocator, budgets = allocator_and_budgets(2)
    assert exchange(allocator, budgets, 2000.0, demands=[0.0, 9.0], own_rates=[1.0, 1.0])[1] == pytest.approx(2.0)
    budgets[1].update_warming_servers(2700.0, {NODE: ResourceKey(SERVER, START + 1.0)})
    assert budgets[1].server_rate(2700.0, NODE, 1.0, 1.0, 1, 1) == 1.0
    late = BudgetReply("d", DUTY, 5, next(iter(budgets[1].request_times)), (BudgetGrant(SERVER, START, 9.0),))
    budgets[1].apply_reply(2700.0, late)  # of the previous start
    assert budgets[1].server_rate(2700.0, NODE, 1.0, 1.0, 1, 1) == 1.0
    budgets[0].update_warming_servers(9000.0, {})
    assert budgets[0].server_rate(9000.0, NODE, 1.0, 1.0, 1, 1) == 1.0
    assert not budgets[0].create_requests(9000.0)


def test_demand_counts_each_part_once_divided_by_the_number_of_replicas():
    budget = BrokerBudget("b", DUTY, TIMING, 1)
    budget.update_warming_servers(0.0, {1: ResourceKey("one", 1.0), 2: ResourceKey("two", 1.0)})
    for part in (10, 11):
        for _ in range(5):  # the decisions ask repeatedly while a part waits
            budget.server_rate(100.0, 1, 0.5, 0.25, part, 2)
            budget.server_rate(100.0, 2, 0.5, 0.25, part, 2)
    (request,) = budget.create_requests(1000.0)
    rates = {demand.resource: demand.demand_rate for demand in request.demands}
    assert rates == pytest.approx({"one": 0.004, "two": 0.004})
    assert all(demand.own_rate == 0.5 and demand.acknowledged_request == 0 for demand in request.demands)


def test_many_servers_are_reported_in_several_requests_with_the_largest_differences_first():
    budget = BrokerBudget("b", DUTY, TIMING, 1)
    budget.update_warming_servers(0.0, {i: ResourceKey(f"s{i:03}", 1.0) for i in range(400)})
    budget.server_rate(10.0, 300, 1.0, 1.0, 1, 1)
    requests = budget.create_requests(100.0)
    assert len(requests) == 8
    assert all(len(request.demands) == MAX_SERVERS for request in requests)
    assert requests[0].demands[0].resource == "s300"
    assert len({request.seq for request in requests}) == 8


def test_a_recovering_site_has_a_budget_like_a_server():
    allocator, budgets = allocator_and_budgets(2)
    for number in range(4):
        at = 2000.0 + number * 200.0
        for budget, demand in zip(budgets, (0.1, 4.0), strict=True):
            budget.recovering_site_rate(at, "east", 1.0, demand)
            for request in budget.create_requests(at):
                budget.apply_reply(at, allocator.handle_request(at, 5, request))
    assert [budget.recovering_site_rate(2700.0, "east", 1.0, 1.0) for budget in budgets] == pytest.approx([0.1, 1.9])
    assert (
        not budgets[0].create_requests(2800.0) or budgets[0].sites
    )  # reported once more before it counts as recovered
    assert not budgets[0].create_requests(9000.0)
    assert not budgets[0].sites


def test_fair_rates_are_max_min_fair_and_sum_up_to_the_own_rates():
    demands = {
        "a": RateDemand(2.0, 0.5),
        "b": RateDemand(1.0, 1.2),
        "c": RateDemand(1.0, 9.0),
        "d": RateDemand(0.0, 9.0),
    }
    rates = {broker: fair_rate(demands, broker) for broker in demands}
    assert sum(rates.values()) == pytest.approx(4.0)
    assert rates["a"] == pytest.approx(0.5)
    assert rates["b"] == pytest.approx(1.2)
    assert rates["c"] - 1.0 == pytest.approx(rates["d"])


def test_messages_of_the_budget_are_decoded_or_rejected():
    request = BudgetRequest("b", DUTY, 3, (BudgetDemand(SERVER, START, 1.0, 2.0, 0),))
    assert decode_peer_message(encode(request)) == request
    reply = BudgetReply("d", DUTY, 9, 3, (BudgetGrant(SERVER, START, 2.0),))
    assert decode_peer_message(encode(reply)) == reply
    for server, own_rate in ((SERVER, -1.0), (SERVER, float("nan")), ("", 1.0)):
        invalid = BudgetDemand(server, START, own_rate, 1.0, 0)
        with pytest.raises(MalformedMessageError):
            decode_peer_message(encode(BudgetRequest("b", DUTY, 3, (invalid,))))


def test_allocations_of_silent_brokers_are_dropped():
    allocator, budgets = allocator_and_budgets(3)
    exchange(allocator, budgets, 2000.0, demands=[0.0, 9.0, 9.0], own_rates=[1.0] * 3)
    late = BrokerBudget("x", DUTY, TIMING, 9)
    for at in (2600.0 + 2 * TIMING.allocator_cap_ms, 2600.0 + 6 * TIMING.allocator_cap_ms):
        late.update_warming_servers(at, {1: ResourceKey("other", 1.0)})
        late.server_rate(at, 1, 1.0, 1.0, 1, 1)
        for request in late.create_requests(at):
            allocator.handle_request(at, 5, request)
    assert set(allocator.allocations) == {ResourceKey("other", 1.0)}


def test_durations_leave_time_for_the_drift_of_both_clocks():
    timing = BudgetTiming(1000.0, 0.1)
    assert timing.broker_grant_ms / (1 - 0.1) <= timing.allocator_grant_ms / (1 + 0.1) + 1e-9
    assert timing.allocator_cap_ms / (1 - 0.1) <= timing.broker_cap_ms / (1 + 0.1) + 1e-9


# -- the decisions use the budget


class FixedBudget:
    """A budget that gives the same rate for every server, and records the arguments of its calls."""

    def __init__(self, rate):
        self.rate, self.calls = rate, []

    def server_rate(self, now_ms, node, own_rate, rate_multiplier, part, replica_count):
        self.calls.append((node, own_rate, rate_multiplier, part, replica_count))
        return self.rate


def harness_with_restarted_server(budget):
    """One server, whose latency is learned while it is warm, and which then restarts."""
    harness = Harness(
        endpoints=[endpoint(10, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0, max_attempts=50
    )
    harness.aggregator.slow_start.budget = budget
    harness.learn_latency(queries=10)
    harness.step(api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(10, 0, started_ms=harness.now),)))
    return harness


def attempts_sent_within(harness, ms):
    """Submits 20 queries and returns how many attempts are sent within this time."""
    for _ in range(20):
        harness.query(ALL, parts=1)
    harness.actions.clear()
    return len(actions_of(api.Send, harness.advance(ms)))


def test_the_budget_replaces_the_own_rate_of_a_server_that_is_warming_up():
    sent_without_budget = attempts_sent_within(harness_with_restarted_server(None), 900.0)
    large, small = FixedBudget(0.1), FixedBudget(1e-6)
    assert (
        attempts_sent_within(harness_with_restarted_server(large), 900.0)
        > sent_without_budget
        >= attempts_sent_within(harness_with_restarted_server(small), 900.0)
    )
    assert {(node, replica_count) for node, *_, replica_count in large.calls} == {(10, 1)}
    assert len({part for *_, part, _ in large.calls}) == 20  # one for each part that would go to the server
    assert all(0.2 * 2.0 * 0.75 <= multiplier < 2.0 for _, _, multiplier, _, _ in large.calls)


def test_a_server_whose_failure_the_broker_observed_gets_the_own_rate_despite_the_budget():
    harness, large = (
        Harness(endpoints=[endpoint(10, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0, max_attempts=50),
        FixedBudget(10.0),
    )
    harness.aggregator.slow_start.budget = large
    harness.learn_latency(queries=10)
    _, sends = harness.query(ALL, parts=1)
    harness.complete(actions_of(api.Send, sends)[0].part, api.Outcome.CONNECT_FAILED)
    harness.advance(500.0)
    assert large.calls == []
    assert harness.aggregator.slow_start.capacity_fraction(harness.aggregator.endpoints.servers[10], harness.now) == 0.2


def test_the_budget_replaces_the_own_rate_of_the_own_site_while_it_recovers():
    def site_rate(budget_rate):
        """Returns the rate for the own site, where the budget returns `budget_rate(own_rate, demand_rate)`."""
        preference = LocalityPreference(site_policy(brokers=(4, 4)), 1)
        budget = type(
            "Budget",
            (),
            {"recovering_site_rate": lambda self, now, name, own_rate, demand_rate: budget_rate(own_rate, demand_rate)},
        )()
        preference.use_slow_start_budget(budget)
        availability = preference.own.availability
        availability.state = SiteState.RECOVERING
        availability.share = 1.0
        availability.wait_until_ms = 1e9
        preference.table.inventory.apply(
            0.0,
            api.EndpointUpdate(
                api.UpdateKind.FULL,
                tuple(api.Endpoint(i, i % 4, api.EndpointState.READY, 0.0, 0, 0, 1.0) for i in range(4)),
            ),
        )
        for _ in range(1000):
            preference.table.demand.add(100.0, 1)
        preference.observe(200.0, [])
        return preference.own.bucket.rate

    calls = []
    own = site_rate(lambda own_rate, demand_rate: calls.append((own_rate, demand_rate)) or own_rate)
    assert site_rate(lambda own_rate, demand_rate: 2.0 * own_rate) == pytest.approx(2.0 * own)
    assert calls[-1][1] > 2.0 * calls[-1][0]


def test_sharing_the_budget_helps_clients_that_move_to_a_few_brokers_while_all_servers_warm_up():
    separate, shared = release_and_shift(1, shares_budget=False), release_and_shift(1, shares_budget=True)
    assert shared["ms"] < 0.9 * separate["ms"]
    assert shared["answered"] > separate["answered"]
    assert shared["peak"] < 1.0
    assert separate["peak"] < 1.0
