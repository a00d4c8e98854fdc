"""The slow-start budget shared by brokers as processes, while servers restart and the allocator stalls."""

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
from tests.test_duty_failover import play

QUERY = "{ fullQuote(blocks: [0], amount: 5) { id } }"


def grants(stage, since):
    """Replies with grants: sender, receiver and message."""
    found = [(r, decode_datagram(r["data"])) for r in stage.lines[since:] if r["k"] == "passed"]
    return [(str(r["from"]), str(r["to"]), m) for r, m in found if isinstance(m, BudgetReply) and m.grants]


def own_rates(stage, name):
    """A broker's own rate for each resource, as last reported."""
    rates = {}
    for row in stage.lines:
        message = decode_datagram(row["data"]) if row["from"] == name else None
        if isinstance(message, BudgetRequest):
            rates |= {demand.resource: demand.own_rate for demand in message.demands}
    return rates


class Traffic:
    """Many clients at one broker, one now and then at the others."""

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
    seen = {}

    async def main(stage):
        busy = stage.names[0]  # a voter: the lease goes to others in the end
        traffic = Traffic(stage, busy)

        async def restart_servers():
            for name in stage.world.servers:
                await stage.world.restart(name)

        def large_grants(since):
            """Senders of replies that granted the busy broker more than its own rate."""
            own = own_rates(stage, busy)
            return [
                sender
                for sender, receiver, reply in grants(stage, since)
                if receiver == busy
                and any(grant.rate > 1.2 * own.get(grant.resource, 1e9) > 0 for grant in reply.grants)
            ]

        def others(since, but):
            return [sender for sender in large_grants(since) if sender != but]

        async def until_large_grant(but=""):
            """Waits for such a reply of another sender than `but`, and returns the sender.

            Servers are restarted again whenever they have warmed up before.
            """
            since = len(stage.lines)
            while not others(since, but):
                await restart_servers()
                for _ in range(400):
                    if others(since, but):
                        break
                    await asyncio.sleep(0.01)
            return others(since, but)[0]

        await until(lambda: traffic.outcomes.count("answered") > 200)
        allocator = await until_large_grant(but=busy)
        stage.processes[allocator].send(signal.SIGSTOP)
        await until_large_grant(but=allocator)
        since = len(stage.lines)
        stage.processes[allocator].send(signal.SIGCONT)
        await until(lambda: any(r["from"] == allocator for r in stage.lines[since:]))
        await until_large_grant()
        await traffic.stop()
        seen.update(outcomes=traffic.outcomes, finding=audit_budgets(stage.lines, 1000.0))

    judged, _ = play(tmp_path, main, Scene(seconds=1.0, brokers=4, voters=3, drift=0.01))
    finding = seen["finding"]
    assert finding.checked > 20
    assert finding.cases == []
    assert {holding.duty for holding in judged.holdings} >= {SLOW_START_DUTY}
    assert seen["outcomes"].count("broken") == 0
    assert seen["outcomes"].count("answered") > 200


def line(t, source, to, message):
    data = bytes(HEADER.size) + wire.encode_peer_message(message) + bytes(MAC_BYTES)
    return {"k": "passed", "t": t, "from": source, "to": to, "data": data}


def test_the_auditor_finds_grants_beyond_the_own_rates():
    def lines(rate):
        requests = [
            line(
                float(i),
                f"b{i}",
                "d",
                BudgetRequest(f"b{i}", SLOW_START_DUTY, 1, (BudgetDemand("s", 1.0, 1.0, 5.0, 0),)),
            )
            for i in range(3)
        ]
        return [
            *requests,
            line(10.0, "d", "b1", BudgetReply("d", SLOW_START_DUTY, 4, 1, (BudgetGrant("s", 1.0, rate),))),
        ]

    assert audit_budgets(lines(1.0), 1000.0).cases == []
    assert len(audit_budgets(lines(1.5), 1000.0).cases) == 1
    less = line(9.0, "d", "b0", BudgetReply("d", SLOW_START_DUTY, 4, 1, (BudgetGrant("s", 1.0, 0.5),)))
    assert audit_budgets([*lines(1.5), less], 1000.0).cases == []  # another may use what one gave up
    late = line(5000.0, "d", "b2", BudgetReply("d", SLOW_START_DUTY, 4, 1, (BudgetGrant("s", 1.0, 9.0),)))
    assert audit_budgets([*lines(1.0), late], 1000.0).cases == []  # expired before it arrived
