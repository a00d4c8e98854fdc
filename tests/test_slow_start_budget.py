"""The slow-start budget: usable rates never sum up to more than the own rates, whatever is lost or late."""

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
    """Counts on a cap that the broker has not acknowledged."""

    def max_usable_rate(self, now_ms, allocation):
        if allocation.grants and allocation.acknowledged_request not in allocation.grants:
            return list(allocation.grants.values())[-1].rate
        return super().max_usable_rate(now_ms, allocation)


class CountsOnlyTheLastGrant(BudgetAllocator):
    """Forgets that an earlier grant may still be in force."""

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
    def start(self, now_ms):
        super().start(now_ms)
        self.leader_since_ms = -1e9


class CountsFromTheReply(BrokerBudget):
    """Counts a grant from when the reply arrived, not from when it was requested."""

    def apply_reply(self, now_ms, reply):
        if reply.seq in self.request_times:
            self.request_times[reply.seq] = now_ms
        super().apply_reply(now_ms, reply)


class IgnoresTheCap(BrokerBudget):
    """Goes back to its own rate as soon as its grant has expired."""

    def _usable_rate(self, resource, now_ms, own_rate):
        resource.own_rate = own_rate
        return resource.granted_rate if now_ms < resource.granted_until_ms else own_rate


class NeverExpires(BrokerBudget):
    def _usable_rate(self, resource, now_ms, own_rate):
        resource.own_rate = own_rate
        return resource.granted_rate if resource.granted_until_ms > 0 else own_rate


def test_usable_rates_stay_within_the_own_rates_whatever_is_lost_late_or_replaced():
    max_used = replies = 0
    for seed in range(150):
        world = World(seed, loss=(0.0, 0.2, 0.6)[seed % 3])
        world.run(20_000)
        assert world.checks > 500
        max_used = max(max_used, world.max_used)
        replies += world.replies
    assert replies > 10_000
    assert max_used > 0.99  # the budget is used up, not left idle


@pytest.mark.parametrize(
    "kinds",
    [
        {"allocator": CountsUnacknowledgedCaps},
        {"allocator": CountsOnlyTheLastGrant},
        {"allocator": GrantsDuplicatesAgain},
        {"allocator": GrantsAtOnce},
        {"budget": CountsFromTheReply},
        {"budget": IgnoresTheCap},
        {"budget": NeverExpires},
        {"rate": 0.4},
    ],
    ids=lambda kinds: "clocks beyond the bound" if "rate" in kinds else next(iter(kinds.values())).__name__,
)
def test_each_defect_exceeds_the_budget(kinds):
    for seed in range(300):
        try:
            World(seed, loss=0.2, **kinds).run(20_000)
        except BudgetExceededError:
            return
    pytest.fail("no seed shows it")


def exchange(allocator, budgets, now, demands, own_rates, rounds=4):
    """Brokers send requests in turn, and every reply arrives. Returns the rates that they may use then."""
    for r in range(rounds):
        at = now + r * 200.0
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


def fleet(n):
    allocator = BudgetAllocator("d", DUTY, TIMING)
    allocator.start(0.0)
    return allocator, [BrokerBudget(f"b{i}", DUTY, TIMING, i) for i in range(n)]


def test_rate_that_some_brokers_leave_unused_is_granted_to_those_that_need_more():
    allocator, budgets = fleet(4)
    got = exchange(allocator, budgets, 2000.0, demands=[0.0, 0.0, 10.0, 1.5], own_rates=[1.0] * 4)
    assert got == pytest.approx([0.0, 0.0, 2.5, 1.5])
    # All need less: each gets its own rate back in the end.
    got = exchange(allocator, budgets, 2900.0, demands=[0.1] * 4, own_rates=[1.0] * 4, rounds=12)
    assert got == pytest.approx([1.0] * 4)


def test_without_an_allocator_and_soon_after_it_started_brokers_use_their_own_rates():
    allocator, budgets = fleet(3)
    own_rates = [1.0, 2.0, 3.0]
    assert exchange(allocator, budgets, 10.0, demands=[0.0, 5.0, 5.0], own_rates=own_rates, rounds=1) == own_rates
    assert allocator.grants_issued == 0
    got = exchange(allocator, budgets, 2000.0, demands=[0.0, 5.0, 5.0], own_rates=own_rates)
    assert got == pytest.approx([0.0, 2.5, 3.5])
    # No more replies: grants expire, caps hold on for a while, then all is as before.
    for at, usable in (
        (2600.0 + TIMING.broker_grant_ms, [0.0, 2.0, 3.0]),
        (2600.0 + TIMING.broker_cap_ms, [1.0, 2.0, 3.0]),
    ):
        assert usable_rates(budgets, at, own_rates) == usable


def test_a_restarted_server_is_another_resource_and_a_warm_one_is_none():
    allocator, budgets = fleet(2)
    assert exchange(allocator, budgets, 2000.0, demands=[0.0, 9.0], own_rates=[1.0, 1.0])[1] == pytest.approx(2.0)
    budgets[1].update_warming_servers(2700.0, {NODE: ResourceKey(SERVER, START + 1.0)})
    assert budgets[1].server_rate(2700.0, NODE, 1.0, 1.0, 1, 1) == 1.0
    late = BudgetReply("d", DUTY, 5, next(iter(budgets[1].request_times)), (BudgetGrant(SERVER, START, 9.0),))
    budgets[1].apply_reply(2700.0, late)  # for the start before
    assert budgets[1].server_rate(2700.0, NODE, 1.0, 1.0, 1, 1) == 1.0
    budgets[0].update_warming_servers(9000.0, {})
    assert budgets[0].server_rate(9000.0, NODE, 1.0, 1.0, 1, 1) == 1.0
    assert not budgets[0].create_requests(9000.0)


def test_demand_counts_each_part_once_divided_by_the_servers_it_may_go_to():
    budget = BrokerBudget("b", DUTY, TIMING, 1)
    budget.update_warming_servers(0.0, {1: ResourceKey("one", 1.0), 2: ResourceKey("two", 1.0)})
    for part in (10, 11):
        for _ in range(5):  # looked at again and again while it waits
            budget.server_rate(100.0, 1, 0.5, 0.25, part, 2)
            budget.server_rate(100.0, 2, 0.5, 0.25, part, 2)
    (request,) = budget.create_requests(1000.0)
    rates = {demand.resource: demand.demand_rate for demand in request.demands}
    assert rates == pytest.approx({"one": 0.004, "two": 0.004})
    assert all(demand.own_rate == 0.5 and demand.acknowledged_request == 0 for demand in request.demands)


def test_many_servers_take_several_requests_the_largest_differences_first():
    budget = BrokerBudget("b", DUTY, TIMING, 1)
    budget.update_warming_servers(0.0, {i: ResourceKey(f"s{i:03}", 1.0) for i in range(400)})
    budget.server_rate(10.0, 300, 1.0, 1.0, 1, 1)
    requests = budget.create_requests(100.0)
    assert len(requests) == 8
    assert all(len(request.demands) == MAX_SERVERS for request in requests)
    assert requests[0].demands[0].resource == "s300"
    assert len({request.seq for request in requests}) == 8


def test_a_recovering_site_has_a_budget_as_a_server_has():
    allocator, budgets = fleet(2)
    for r in range(4):
        at = 2000.0 + r * 200.0
        for budget, demand in zip(budgets, (0.1, 4.0), strict=True):
            budget.recovering_site_rate(at, "east", 1.0, demand)
            for request in budget.create_requests(at):
                budget.apply_reply(at, allocator.handle_request(at, 5, request))
    assert [budget.recovering_site_rate(2700.0, "east", 1.0, 1.0) for budget in budgets] == pytest.approx([0.1, 1.9])
    assert not budgets[0].create_requests(2800.0) or budgets[0].sites  # reported once more, then it has recovered
    assert not budgets[0].create_requests(9000.0)
    assert not budgets[0].sites


def test_fair_rates_are_max_min_fair_and_sum_up_to_the_own_rates():
    book = {"a": RateDemand(2.0, 0.5), "b": RateDemand(1.0, 1.2), "c": RateDemand(1.0, 9.0), "d": RateDemand(0.0, 9.0)}
    parts = {b: fair_rate(book, b) for b in book}
    assert sum(parts.values()) == pytest.approx(4.0)
    assert parts["a"] == pytest.approx(0.5)
    assert parts["b"] == pytest.approx(1.2)
    assert parts["c"] - 1.0 == pytest.approx(parts["d"])


def test_messages_of_the_budget_are_decoded_or_rejected():
    ask = BudgetRequest("b", DUTY, 3, (BudgetDemand(SERVER, START, 1.0, 2.0, 0),))
    assert decode_peer_message(encode(ask)) == ask
    dealt = BudgetReply("d", DUTY, 9, 3, (BudgetGrant(SERVER, START, 2.0),))
    assert decode_peer_message(encode(dealt)) == dealt
    for server, own in ((SERVER, -1.0), (SERVER, float("nan")), ("", 1.0)):
        bad = BudgetDemand(server, START, own, 1.0, 0)
        with pytest.raises(MalformedMessageError):
            decode_peer_message(encode(BudgetRequest("b", DUTY, 3, (bad,))))


def test_allocations_of_silent_brokers_are_dropped():
    allocator, budgets = fleet(3)
    exchange(allocator, budgets, 2000.0, demands=[0.0, 9.0, 9.0], own_rates=[1.0] * 3)
    late = BrokerBudget("x", DUTY, TIMING, 9)
    for at in (2600.0 + 2 * TIMING.allocator_cap_ms, 2600.0 + 6 * TIMING.allocator_cap_ms):
        late.update_warming_servers(at, {1: ResourceKey("other", 1.0)})
        late.server_rate(at, 1, 1.0, 1.0, 1, 1)
        for request in late.create_requests(at):
            allocator.handle_request(at, 5, request)
    assert set(allocator.allocations) == {ResourceKey("other", 1.0)}


def test_durations_leave_time_for_the_drift_of_both_clocks():
    lengths = BudgetTiming(1000.0, 0.1)
    assert lengths.broker_grant_ms / (1 - 0.1) <= lengths.allocator_grant_ms / (1 + 0.1) + 1e-9
    assert lengths.allocator_cap_ms / (1 - 0.1) <= lengths.broker_cap_ms / (1 + 0.1) + 1e-9


# -- the decisions use the budget


class FixedBudget:
    """Allows the same rate everywhere, and records what it was asked."""

    def __init__(self, pace):
        self.pace, self.asked = pace, []

    def server_rate(self, now_ms, node, own, times, part, among):
        self.asked.append((node, own, times, part, among))
        return self.pace


def cold_bench(allowance):
    """One server, warm while the record is made, then started anew."""
    b = Harness(endpoints=[endpoint(10, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0, max_attempts=50)
    b.aggregator.slow_start.budget = allowance
    b.learn_latency(queries=10)
    b.step(api.EndpointUpdate(api.UpdateKind.DELTA, (endpoint(10, 0, started_ms=b.now),)))
    return b


def sent_in(b, ms):
    for _ in range(20):
        b.query(ALL, parts=1)
    b.actions.clear()
    return len(actions_of(api.Send, b.advance(ms)))


def test_a_cold_server_gets_what_was_dealt_in_the_place_of_the_own_share():
    own = sent_in(cold_bench(None), 900.0)
    much, little = FixedBudget(0.1), FixedBudget(1e-6)
    assert sent_in(cold_bench(much), 900.0) > own >= sent_in(cold_bench(little), 900.0)
    assert {(node, among) for node, *_, among in much.asked} == {(10, 1)}
    assert len({part for *_, part, _ in much.asked}) == 20  # each part that would go there is named
    assert all(0.2 * 2.0 * 0.75 <= times < 2.0 for _, _, times, _, _ in much.asked)


def test_a_server_that_died_in_own_sight_is_fed_by_the_own_share_whatever_was_dealt():
    b, much = (
        Harness(endpoints=[endpoint(10, 0)], cells_per_shard=1, cell_count=1, retry_budget_min=1000.0, max_attempts=50),
        FixedBudget(10.0),
    )
    b.aggregator.slow_start.budget = much
    b.learn_latency(queries=10)
    _, sends = b.query(ALL, parts=1)
    b.complete(actions_of(api.Send, sends)[0].part, api.Outcome.CONNECT_FAILED)
    b.advance(500.0)
    assert much.asked == []
    assert b.aggregator.slow_start.capacity_fraction(b.aggregator.endpoints.servers[10], b.now) == 0.2


def test_a_returning_site_of_ones_own_is_let_in_by_what_was_dealt():
    def pace(dealt):
        preference = LocalityPreference(site_policy(brokers=(4, 4)), 1)
        budget = type("Dealt", (), {"recovering_site_rate": lambda self, now, name, own, wanted: dealt(own, wanted)})()
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

    asked = []
    own = pace(lambda own, wanted: asked.append((own, wanted)) or own)
    assert pace(lambda own, wanted: 2.0 * own) == pytest.approx(2.0 * own)
    assert asked[-1][1] > 2.0 * asked[-1][0]


def test_clients_that_moved_to_a_few_brokers_while_all_was_cold_are_served_sooner():
    separate, shared = release_and_shift(1, shares_budget=False), release_and_shift(1, shares_budget=True)
    assert shared["ms"] < 0.9 * separate["ms"]
    assert shared["answered"] > separate["answered"]
    assert shared["peak"] < 1.0
    assert separate["peak"] < 1.0
