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


class LargeGrants:
    """The replies that granted a busy broker more than its own rate. Each datagram is decoded once, as it comes.

    senders: by the position of the reply among the proxy's records.
    """

    def __init__(self, stage, traffic):
        self.lines, self.traffic = stage.lines, traffic
        self.senders = {}
        self._own_rates = {}  # by broker and resource, as last reported
        self._read = 0

    def read(self):
        while self._read < len(self.lines):
            row = self.lines[self._read]
            message = decode_datagram(row["data"])
            if isinstance(message, BudgetRequest):
                self._own_rates |= {(row["from"], demand.resource): demand.own_rate for demand in message.demands}
            is_reply = row["k"] == "passed" and row["to"] == self.traffic.busy and isinstance(message, BudgetReply)
            if is_reply and any(self._is_large(row["to"], grant) for grant in message.grants):
                self.senders[self._read] = row["from"]
            self._read += 1

    def _is_large(self, broker, grant):
        return grant.rate > 1.2 * self._own_rates.get((broker, grant.resource), 1e9) > 0

    def of_others(self, since, excluded):
        """The senders that are not excluded, of those after a position."""
        self.read()
        return [sender for position, sender in self.senders.items() if position >= since and sender not in excluded]


class Traffic:
    """Many clients, which move between two brokers, and one client with few queries at each broker.

    A broker's own rate follows its share of the traffic, so that only one whose traffic has just come needs more.
    """

    def __init__(self, stage, first, second):
        self.clients = {name: Client(process.settings.listen.port) for name, process in stage.processes.items()}
        self.busy, self.idle = first, second
        self.outcomes = []
        self.tasks = [asyncio.ensure_future(self.send_queries(name, 0.3)) for name in self.clients]
        self.tasks += [asyncio.ensure_future(self.send_queries(None, 0.01)) for _ in range(6)]

    def move(self):
        self.busy, self.idle = self.idle, self.busy

    async def send_queries(self, name, pause_s):
        """Sends queries to a broker, or to the busy one at the time."""
        while True:
            try:
                status, answer, _ = await self.clients[name or self.busy].query(QUERY)
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
        # Voters, so that other brokers are preferred as holders of the lease.
        traffic = Traffic(stage, stage.names[0], stage.names[1])
        large_grants = LargeGrants(stage, traffic)

        async def restart_servers():
            for name in stage.world.servers:
                await stage.world.restart(name)

        async def until_large_grant(excluded=()):
            """Waits for such a reply of a sender that is not excluded, and returns the sender.

            The clients move, and the servers are restarted again if they have warmed up by then.
            """
            since = len(stage.lines)
            while not large_grants.of_others(since, excluded):
                traffic.move()
                await restart_servers()
                for _ in range(400):
                    if large_grants.of_others(since, excluded):
                        break
                    await asyncio.sleep(0.01)
            return large_grants.of_others(since, excluded)[0]

        await until(lambda: traffic.outcomes.count("answered") > 200)
        allocator = await until_large_grant(excluded=(traffic.busy, traffic.idle))
        stage.processes[allocator].send(signal.SIGSTOP)
        await until_large_grant(excluded=(allocator,))
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
