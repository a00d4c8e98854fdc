"""Cold allowance dealt between brokers as processes, while servers start cold and the dealer stands still."""

import asyncio
import signal

from badgerbend.lease_service import wire
from badgerbend.lease_service.budget_exchange import SLOW_START_DUTY
from badgerbend.leases.messages import BudgetDemand, BudgetGrant, BudgetReply, BudgetRequest
from badgerbend.net.seal import HEAD, MAC_BYTES
from badgerbend.standin.acts import judge_deals, message_of
from badgerbend.standin.client import Client
from badgerbend.standin.scene import Scene
from tests.sockets import until
from tests.test_scenes import play

QUERY = "{ fullQuote(blocks: [0], amount: 5) { id } }"


def deals(stage, since):
    """What was dealt, by whom and to whom."""
    found = [(r, message_of(r["data"])) for r in stage.lines[since:] if r["k"] == "passed"]
    return [(str(r["from"]), str(r["to"]), m) for r, m in found if isinstance(m, BudgetReply) and m.grants]


def owns(stage, name):
    """Its share of each thing, as last stated."""
    out = {}
    for row in stage.lines:
        message = message_of(row["data"]) if row["from"] == name else None
        if isinstance(message, BudgetRequest):
            out |= {n.resource: n.own_rate for n in message.demands}
    return out


class Traffic:
    """Many clients at one broker, one now and then at the others."""

    def __init__(self, stage, busy):
        self.ends, self.tasks = [], []
        for name, process in stage.processes.items():
            client = Client(process.settings.listen.port)
            for _ in range(6 if name == busy else 1):
                self.tasks.append(asyncio.ensure_future(self.asks(client, 0.01 if name == busy else 0.3)))

    async def asks(self, client, pause_s):
        while True:
            try:
                status, answer, _ = await client.query(QUERY)
                self.ends.append("refused" if status != 200 or "errors" in answer else "answered")
            except ConnectionError:
                self.ends.append("broken")
            await asyncio.sleep(pause_s)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def test_the_busy_broker_gets_what_others_leave_and_a_dealer_that_stood_still_does_no_harm(tmp_path):
    seen = {}

    async def main(stage):
        busy = stage.names[0]  # it votes, and so is not the one whom the duty goes to in the end
        traffic = Traffic(stage, busy)

        async def all_cold():
            for name in stage.world.servers:
                await stage.world.restart(name)

        def more(since):  # an act that gave the busy broker more than its share
            mine = owns(stage, busy)
            return [
                d
                for d in deals(stage, since)
                if d[1] == busy and any(s.rate > 1.2 * mine.get(s.resource, 1e9) > 0 for s in d[2].grants)
            ]

        async def until_more(but=""):
            """Until it got more by another's word than `but`. Servers start anew as often as they grow warm before."""
            since = len(stage.lines)
            while not [d for d in more(since) if d[0] != but]:
                await all_cold()
                for _ in range(400):
                    if [d for d in more(since) if d[0] != but]:
                        break
                    await asyncio.sleep(0.01)
            return [d for d in more(since) if d[0] != but][0][0]

        await until(lambda: traffic.ends.count("answered") > 200)
        dealer = await until_more(but=busy)
        stage.processes[dealer].send(signal.SIGSTOP)
        await until_more(but=dealer)
        since = len(stage.lines)
        stage.processes[dealer].send(signal.SIGCONT)
        await until(lambda: any(r["from"] == dealer for r in stage.lines[since:]))
        await until_more()
        await traffic.stop()
        seen.update(ends=traffic.ends, dealt=judge_deals(stage.lines, 1000.0))

    judged, _ = play(tmp_path, main, Scene(seconds=1.0, brokers=4, voters=3, drift=0.01))
    finding = seen["dealt"]
    assert finding.checked > 20 and finding.cases == []
    assert {h.duty for h in judged.holdings} >= {SLOW_START_DUTY}
    assert seen["ends"].count("broken") == 0 and seen["ends"].count("answered") > 200


def line(t, source, to, message):
    data = bytes(HEAD.size) + wire.encode_peer_message(message) + bytes(MAC_BYTES)
    return {"k": "passed", "t": t, "from": source, "to": to, "data": data}


def test_the_auditor_finds_a_deal_beyond_the_shares():
    def lines(pace):
        asks = [
            line(
                float(i),
                f"b{i}",
                "d",
                BudgetRequest(f"b{i}", SLOW_START_DUTY, 1, (BudgetDemand("s", 1.0, 1.0, 5.0, 0),)),
            )
            for i in range(3)
        ]
        return [*asks, line(10.0, "d", "b1", BudgetReply("d", SLOW_START_DUTY, 4, 1, (BudgetGrant("s", 1.0, pace),)))]

    assert judge_deals(lines(1.0), 1000.0).cases == []
    assert len(judge_deals(lines(1.5), 1000.0).cases) == 1
    less = line(9.0, "d", "b0", BudgetReply("d", SLOW_START_DUTY, 4, 1, (BudgetGrant("s", 1.0, 0.5),)))
    assert judge_deals([*lines(1.5), less], 1000.0).cases == []  # what one gave up another may have
    late = line(5000.0, "d", "b2", BudgetReply("d", SLOW_START_DUTY, 4, 1, (BudgetGrant("s", 1.0, 9.0),)))
    assert judge_deals([*lines(1.0), late], 1000.0).cases == []  # over before it came
