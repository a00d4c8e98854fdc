"""The whole path over sockets: federated queries through the module's choices to rate servers and back."""

import asyncio

import pytest

from badgerbend.standin.subgraph import rates
from tests.replacing import replace_attribute
from tests.sockets import BrokerFixture, run, until

COMPARE = """query C($b: [Int!]!, $n: Int) {
  rateCompare(blocks: $b, amount: 1000, first: $n) { id lender monthly }
}"""
QUOTE = "{ fullQuote(blocks: [3, 4, 5], amount: 500, months: 24) { id m: monthly block } }"
MIXED = """{
  fullQuote(blocks: [1, 2], amount: 500) { id }
  cheap: rateCompare(blocks: [1, 2, 3, 4], amount: 500, first: 2) { ...row }
  again: rateCompare(blocks: [5, 6, 7, 8], amount: 700, first: 3) { ...row monthly }
}
fragment row on Rate { id lender }"""


def test_an_all_parts_query_has_every_row():
    async def main():
        async with BrokerFixture() as s:
            status, answer, _ = await s.client.query(QUOTE)
            assert status == 200
            assert "errors" not in answer
            expected = [{"id": r["id"], "m": r["monthly"], "block": b} for b in (3, 4, 5) for r in rates(b, 500.0, 24)]
            assert answer["data"]["fullQuote"] == expected
            assert answer["extensions"]["badgerbend"]["fields"]["fullQuote"] == {"whole": True, "parts": 3, "of": 3}

    run(main)


def test_an_any_m_query_is_ranked_over_the_parts_it_rests_on():
    async def main():
        async with BrokerFixture() as s:
            status, answer, _ = await s.client.query(COMPARE, {"b": [0, 1, 2, 3, 4, 5, 6, 7], "n": 40})
            rows = answer["data"]["rateCompare"]
            blocks = {int(r["id"].split(":")[0]) for r in rows}
            mark = answer["extensions"]["badgerbend"]["fields"]["rateCompare"]
            assert status == 200
            assert mark["whole"]
            assert mark["parts"] == len(blocks) >= 6
            want = [(r["monthly"], b) for b in sorted(blocks) for r in rates(b, 1000.0, 36)]
            assert [r["monthly"] for r in rows] == [m for m, _ in sorted(want)]
            assert set(rows[0]) == {"id", "lender", "monthly"}

    run(main)


def test_aliases_fragments_and_two_classes_in_one_operation():
    async def main():
        async with BrokerFixture() as s:
            _, answer, _ = await s.client.query(MIXED)
            assert "errors" not in answer
            assert [r["id"] for r in answer["data"]["fullQuote"]] == [f"{b}:{i}" for b in (1, 2) for i in range(4)]
            assert len(answer["data"]["cheap"]) == 2
            assert set(answer["data"]["cheap"][0]) == {"id", "lender"}
            assert len(answer["data"]["again"]) == 3
            assert answer["data"]["again"][0]["monthly"] > 0
            assert set(answer["extensions"]["badgerbend"]["fields"]) == {"fullQuote", "cheap", "again"}

    run(main)


def test_one_field_refused_and_one_answered():
    """No holder of block 9 is up: its quote is refused with advice, the compare beside it is answered."""

    async def main():
        async with BrokerFixture() as s:
            for cell in (9, 10, 11):
                s.world.crash(f"rates-{cell}")
            await until(lambda: len(s.broker.directory.addresses) and not s.broker.driver._events)
            text = """{ fullQuote(blocks: [9], amount: 1) { id }
                        rateCompare(blocks: [0, 1, 2, 3, 4, 5, 6, 9], amount: 1) { id } }"""
            status, answer, headers = await s.client.query(text, badgerbend_time_left_ms="800")
            assert status == 200
            assert answer["data"]["fullQuote"] is None
            assert len(answer["data"]["rateCompare"]) > 0
            (error,) = answer["errors"]
            assert error["path"] == ["fullQuote"]
            assert error["extensions"]["code"] == "REFUSED"
            assert error["extensions"]["retryAfterMs"] > 0
            assert int(headers[b"retry-after"]) >= 1
            assert answer["extensions"]["badgerbend"]["fields"]["rateCompare"]["whole"]

    run(main)


def test_a_second_step_brings_details_of_the_best():
    async def main():
        async with BrokerFixture() as s:
            text = "{ quoteReport(blocks: [1,2,3,4], amount: 900, first: 3) { id block t: terms { fee wording } } }"
            _, answer, _ = await s.client.query(text)
            rows = answer["data"]["quoteReport"]
            assert "errors" not in answer
            assert len(rows) == 3
            assert rows[0]["t"] == {"fee": 25.0, "wording": f"Terms of {rows[0]['id']}"}
            with_terms = {r["block"] for r in rows if r["t"]}
            assert 1 <= len(with_terms) <= 2  # the class fetches two more parts
            _, plain, _ = await s.client.query("{ quoteReport(blocks: [1,2], amount: 900) { id } }")
            assert len(plain["data"]["quoteReport"]) == 8
            assert not s.broker.driver.queries

    run(main)


def test_mutations_run_one_after_the_other_and_once():
    async def main():
        async with BrokerFixture() as s:
            text = 'mutation { a: signLease(block: 2, rate: "2:1") { id } b: holdRate(block: 3, rate: "3:0") { rate } }'
            _, answer, _ = await s.client.query(text, idempotency_key="k1")
            assert answer["data"] == {"a": {"id": "signLease:2:1"}, "b": {"rate": "3:0"}}
            ran = [p["field"] for r in s.seen("ran") for p in r["parts"]]
            assert ran == ["a", "b"]
            assert all(p["key"] == "k1" for r in s.seen("arrive") for p in r["parts"])

    run(main)


def test_the_broker_is_a_subgraph():
    async def main():
        async with BrokerFixture() as s:
            _, answer, _ = await s.client.query("{ _service { text: sdl } }")
            assert 'type Rate @key(fields: "id")' in answer["data"]["_service"]["text"]
            assert "@link" in answer["data"]["_service"]["text"]
            text = """query E($r: [_Any!]!) { _entities(representations: $r) {
                __typename ... on Rate { id lender } ... on RateBlock { rates(amount: 100) { id } } } }"""
            asked = [
                {"__typename": "Rate", "id": "5:2"},
                {"__typename": "RateBlock", "id": "7"},
                {"__typename": "Rate", "id": "5:99"},
                {"__typename": "Rate", "id": "1:0"},
            ]
            _, answer, _ = await s.client.query(text, {"r": asked})
            got = answer["data"]["_entities"]
            assert got[0] == {"__typename": "Rate", "id": "5:2", "lender": rates(5, 1.0, 1)[2]["lender"]}
            assert len(got[1]["rates"]) == 4
            assert got[2] is None
            assert got[3]["id"] == "1:0"
            _, answer, _ = await s.client.query(text, {"r": [{"__typename": "Rate", "id": "99:1"}]})
            assert answer["errors"][0]["extensions"]["code"] == "BAD_USER_INPUT"

    run(main)


def test_a_client_that_leaves_ends_its_query_and_the_servers_see_it():
    async def main():
        async with BrokerFixture() as s:
            for server in s.world.servers.values():
                server.machine.model.part_ms = 60_000.0
            call = s.client.ask(QUOTE, None, {}, lambda reply: None)
            await until(lambda: s.seen("ran"))  # three parts that ride on one call
            call.abort()
            await until(lambda: len(s.seen("called off")) == len(s.seen("ran")))
            assert not s.broker.driver.queries
            assert not s.broker.front.operations
            arrived = len(s.seen("arrive"))
            await asyncio.sleep(0.3)
            assert len(s.seen("arrive")) == arrived

    run(main)


def test_silent_servers_end_in_a_refusal_before_the_clients_time_is_up():
    async def main():
        async with BrokerFixture() as s:
            for server in s.world.servers.values():
                server.faults.silent = True
            _, answer, _ = await s.client.query(QUOTE)
            assert answer["errors"][0]["extensions"]["code"] == "REFUSED"

    run(main)


def test_an_answer_after_the_clients_deadline_is_not_written():
    async def main():
        async with BrokerFixture() as s:
            front, clock = s.broker.front, s.broker.front.now_ms
            for server in s.world.servers.values():
                server.machine.model.part_ms = 100.0
            asked = asyncio.ensure_future(s.client.query(QUOTE, badgerbend_time_left_ms="3000"))
            await until(lambda: s.seen("ran"))
            replace_attribute(front, "now_ms", lambda: clock() + 3000.0)  # as if the loop had stood still
            with pytest.raises(ConnectionError):
                await asked
            assert front.late == 1
            assert not front.operations

    run(main)
