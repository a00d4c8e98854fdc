"""Broker processes share the slow-start budget while servers restart and the allocator stalls."""

import asyncio
import signal

from badgerbend.lease_service import wire
from badgerbend.lease_service.budget_exchange import SLOW_START_DUTY
from badgerbend.leases.messages import BudgetDemand, BudgetGrant, BudgetReply, BudgetRequest
from badgerbend.net.seal import HEADER, MAC_BYTES
from badgerbend.standin.client import Client
from badgerbend.standin.duty_audit import audit_budgets, decode_datagram
from badgerbend.standin.scene import Scene
from tests.sockets import until
from tests.test_duty_failover import run_scene

QUERY = "{ fullQuote(blocks: [0], amount: 5) { id } }"


def grants(stage, since):
    """Returns the delivered replies that contain grants: sender, receiver and message."""
    delivered = [(row, decode_datagram(row["data"])) for row in stage.lines[since:] if row["k"] == "passed"]
    return [
        (str(row["from"]), str(row["to"]), message)
        for row, message in delivered
        if isinstance(message, BudgetReply) and message.grants
    ]


def own_rates(stage, name):
    """Returns a broker's own rate for each resource, as last reported."""
    rates = {}
    for row in stage.lines:
        message = decode_datagram(row["data"]) if row["from"] == name else None
        if isinstance(message, BudgetRequest):
            rates |= {demand.resource: demand.own_rate for demand in message.demands}
    return rates


class Traffic:
    """Many busy clients at one broker, and one client with few queries at each of the others."""

    def __init__(self, stage, busy):
        self.outcomes = []
        self.tasks = []
        for name, process in stage.processes.items():
            client = Client(process.settings.listen.port)
            for _ in range(6 if name == busy else 1):
                self.tasks.append(asyncio.ensure_future(self.send_queries(client, 0.01 if name == busy else 0.3)))

    async def send_queries(self, client, pause_s):
        while True:
            try:
                status, answer, _ = await client.query(QUERY)
                self.outcomes.append("rejected" if status != 200 or "errors" in answer else "answered")
            except ConnectionError:
                self.outcomes.append("broken")
            await asyncio.sleep(pause_s)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def test_the_busy_broker_is_granted_what_others_leave_unused_and_a_stalled_allocator_does_no_harm(tmp_path):
    results = {}

    async def main(stage):
        busy = stage.names[0]  # a voter, so that other brokers are preferred as holders of the lease
        traffic = Traffic(stage, busy)

        async def restart_servers():
            for name in stage.world.servers:
                await stage.world.restart(name)

        def large_grants(since):
            """Returns the senders of replies that granted the busy broker more than its own rate."""
            own = own_rates(stage, busy)
            return [
                sender
                for sender, receiver, reply in grants(stage, since)
                if receiver == busy
                and any(grant.rate > 1.2 * own.get(grant.resource, 1e9) > 0 for grant in reply.grants)
            ]

        def large_grants_of_others(since, excluded):
            return [sender for sender in large_grants(since) if sender != excluded]

        async def until_large_grant(excluded=""):
            """Waits for such a reply of a sender other than `excluded`, and returns the sender.

            The servers are restarted again if they have warmed up by then.
            """
            since = len(stage.lines)
            while not large_grants_of_others(since, excluded):
                await restart_servers()
                for _ in range(400):
                    if large_grants_of_others(since, excluded):
                        break
                    await asyncio.sleep(0.01)
            return large_grants_of_others(since, excluded)[0]

        await until(lambda: traffic.outcomes.count("answered") > 200)
        allocator = await until_large_grant(excluded=busy)
        stage.processes[allocator].send(signal.SIGSTOP)
        await until_large_grant(excluded=allocator)
        since = len(stage.lines)
        stage.processes[allocator].send(signal.SIGCONT)
        await until(lambda: any(row["from"] == allocator for row in stage.lines[since:]))
        await until_large_grant()
        await traffic.stop()
        results.update(outcomes=traffic.outcomes, finding=audit_budgets(stage.lines, 1000.0))

    judged, _ = run_scene(tmp_path, main, Scene(seconds=1.0, brokers=4, voters=3, drift=0.01))
    finding = results["finding"]
    assert finding.checked > 20
    assert finding.cases == []
    assert {holding.duty for holding in judged.holdings} >= {SLOW_START_DUTY}
    assert results["outcomes"].count("broken") == 0
    assert results["outcomes"].count("answered") > 200


def delivered_datagram(t, source, to, message):
    """Returns the proxy's record of a datagram that arrived."""
    data = bytes(HEADER.size) + wire.encode_peer_message(message) + bytes(MAC_BYTES)
    return {"k": "passed", "t": t, "from": source, "to": to, "data": data}


def test_the_auditor_finds_grants_beyond_the_own_rates():
    def lines(rate):
        requests = [
            delivered_datagram(
                float(i),
                f"b{i}",
                "d",
                BudgetRequest(f"b{i}", SLOW_START_DUTY, 1, (BudgetDemand("s", 1.0, 1.0, 5.0, 0),)),
            )
            for i in range(3)
        ]
        return [
            *requests,
            delivered_datagram(
                10.0, "d", "b1", BudgetReply("d", SLOW_START_DUTY, 4, 1, (BudgetGrant("s", 1.0, rate),))
            ),
        ]

    assert audit_budgets(lines(1.0), 1000.0).cases == []
    assert len(audit_budgets(lines(1.5), 1000.0).cases) == 1
    less = delivered_datagram(9.0, "d", "b0", BudgetReply("d", SLOW_START_DUTY, 4, 1, (BudgetGrant("s", 1.0, 0.5),)))
    assert audit_budgets([*lines(1.5), less], 1000.0).cases == []  # one broker may use what another gave up
    late = delivered_datagram(5000.0, "d", "b2", BudgetReply("d", SLOW_START_DUTY, 4, 1, (BudgetGrant("s", 1.0, 9.0),)))
    assert audit_budgets([*lines(1.0), late], 1000.0).cases == []  # the grant has expired before it arrives
