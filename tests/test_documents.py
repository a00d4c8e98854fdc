"""Documents that are deep, huge or malicious are refused before they cost anything; wrong answers do not count."""

import msgspec
import pytest
from graphql import execute_sync
from hypothesis import given, settings
from hypothesis import strategies as st

from badgerbend.broker import read_subgraph
from badgerbend.config.reading import load
from badgerbend.config.settings import Documents
from badgerbend.graphql.checks import fits
from badgerbend.graphql.documents import DocumentCache, Rejected
from badgerbend.graphql.front import _resolve
from badgerbend.standin.subgraph import Subgraph
from tests.sockets import EXAMPLE, BrokerFixture, run

GRAPH = read_subgraph(load(EXAMPLE), EXAMPLE)
ONE = "fullQuote(blocks: [1], amount: 5) { id }"


def doubling(levels):
    """Fragments that each spread the next twice: 2 ** levels fields when written out."""
    parts = ["{ fullQuote(blocks: [1], amount: 5) { ...F0 } }"]
    parts += [f"fragment F{i} on Rate {{ ...F{i + 1} ...F{i + 1} }}" for i in range(levels)]
    return "\n".join([*parts, f"fragment F{levels} on Rate {{ id }}"])


BAD = {
    "deep": ("{" + "a{" * 5000 + "b" + "}" * 5001, "nested deeper"),
    "deep lists": ("{ a(b: " + "[" * 100_000 + ") }", "nested deeper"),
    "introspection in circles": (
        "{ __schema { types { fields { type { fields { type { fields { type { fields { name } } } } } } } } } }",
        "introspection depth",
    ),
    "many tokens": ("{ " + "id " * 3000 + "}", "tokens"),
    "many aliases": ("{ " + " ".join(f"a{i}: {ONE}" for i in range(21)) + " }", "root fields"),
    "doubling fragments": (doubling(30), "more than 500 fields"),
    "a circle of fragments": (
        "{ fullQuote(blocks: [1], amount: 5) { ...A } } fragment A on Rate { ...B } fragment B on Rate { ...A }",
        "contains itself",
    ),
    "no such field": ("{ fullQuote(blocks: [1], amount: 5) { nothing } }", "Cannot query field"),
    "a subscription": ("subscription { a }", ""),
    "two operations": ("query A { __typename } query B { __typename }", "several operations"),
    "not closed": ("{ fullQuote", "Syntax Error"),
    "empty": ("   ", "Syntax Error"),
}


@pytest.mark.parametrize("name", BAD)
def test_a_bad_document_is_refused_before_it_costs_anything(name):
    text, says = BAD[name]
    with pytest.raises(Rejected) as caught:
        DocumentCache(GRAPH, Documents()).get(text, None)
    assert says in str(caught.value)


def test_the_cache_is_bounded_and_keeps_what_is_used():
    cache = DocumentCache(GRAPH, Documents(cached=3))
    for n in (1, 2, 3, 1, 4, 1, 5, 1):
        cache.get(f"{{ fullQuote(blocks: [{n}], amount: 5) {{ id }} }}", None)
    assert cache.misses == 5
    assert len(cache.kept) == 3


@settings(max_examples=150, deadline=None)
@given(st.text(alphabet='{}()[]:!$@."# \nabfragmenton_qu1,|&', max_size=60))
def test_any_text_is_planned_or_refused(text):
    try:
        DocumentCache(GRAPH, Documents()).get(text, None)
    except Rejected as err:
        assert err.errors


def test_blocks_and_arguments_out_of_range_are_the_clients_fault():
    async def main():
        async with BrokerFixture() as s:
            for text in (
                "{ fullQuote(blocks: [], amount: 5) { id } }",
                "{ fullQuote(blocks: [24], amount: 5) { id } }",
                "{ fullQuote(blocks: [-1], amount: 5) { id } }",
                "{ rateCompare(blocks: [1], amount: 5, first: -1) { id } }",
            ):
                _, answer, _ = await s.client.query(text)
                assert answer["errors"][0]["extensions"]["code"] == "BAD_USER_INPUT", text
                assert answer["data"] == {text.split("(")[0].strip("{ "): None}
            assert not s.seen("arrive")

    run(main)


def test_variables_directives_and_introspection():
    async def main():
        async with BrokerFixture() as s:
            text = """query Q($b: [Int!]! = [2], $with: Boolean!, $m: Int) {
              fullQuote(blocks: $b, amount: 5, months: $m) { id months lender @include(if: $with) }
              other: fullQuote(blocks: [1], amount: 5) @skip(if: $with) { id } }"""
            _, answer, _ = await s.client.query(text, {"with": True, "m": 12})
            assert set(answer["data"]) == {"fullQuote"}
            assert answer["data"]["fullQuote"][0]["months"] == 12
            assert "lender" in answer["data"]["fullQuote"][0]
            _, answer, _ = await s.client.query(text, {"with": False})
            assert set(answer["data"]) == {"fullQuote", "other"}
            assert answer["data"]["fullQuote"][0]["months"] == 36
            assert "lender" not in answer["data"]["fullQuote"][0]
            _, answer, _ = await s.client.query("{ __schema { queryType { name } } }")
            assert answer["data"]["__schema"]["queryType"]["name"] == "Query"
            _, answer, _ = await s.client.query(text, {"with": "yes"})
            assert "errors" in answer
            assert "data" not in answer

    run(main)


@pytest.mark.parametrize("how", ["half", "text", "huge", "short", "types", "null", "errors"])
def test_a_wrong_answer_does_not_count_and_another_holder_is_asked(how):
    async def main():
        async with BrokerFixture(servers={"parts_per_call": 1}) as s:
            for i in (4, 5):
                s.world.servers[f"rates-{i}"].faults.answer = how
            for _ in range(4):
                _, answer, _ = await s.client.query("{ fullQuote(blocks: [4], amount: 5) { id monthly } }")
                assert "errors" not in answer, answer
                assert [r["id"] for r in answer["data"]["fullQuote"]] == [f"4:{i}" for i in range(4)]

    run(main)


def test_where_all_holders_answer_wrongly_nothing_is_made_up():
    async def main():
        async with BrokerFixture() as s:
            for server in s.world.servers.values():
                server.faults.answer = "types"
            _, answer, _ = await s.client.query("{ fullQuote(blocks: [4], amount: 5) { id monthly } }")
            assert answer["data"] == {"fullQuote": None}
            assert answer["errors"][0]["extensions"]["code"] == "REFUSED"

    run(main)


RATE = ["id", "block", "lender", "months", "monthly", "apr", "x: id", "l2: lender", "__typename"]
selections = st.lists(
    st.sampled_from([*RATE, "... on Rate { block }", "...F", "t: terms { fee w: wording }", "terms { deposit }"]),
    min_size=1,
    max_size=6,
    unique=True,
)


@settings(max_examples=200, deadline=None)
@given(selections, st.sampled_from(["good", "null", "text", "missing", "more", "bool"]), st.data())
def test_checked_rows_are_what_the_executor_makes_of_them(chosen, flaw, data):
    """The short way and graphql-core's executor agree: on the answer where rows pass, on an error where they do not."""
    row = " ".join(chosen)
    fragment = " fragment F on Rate { apr f: lender }" if "...F" in chosen else ""
    text = f"{{ fullQuote(blocks: [1], amount: 5) {{ {row} }} }}{fragment}"
    prepared = DocumentCache(GRAPH, Documents()).get(text, None)
    (root,) = prepared.fields
    asked = '_entities(representations: [{__typename: "RateBlock", id: "1"}])'
    text = f"{{ {asked} {{ ... on RateBlock {{ rates(amount: 5) {{ {row} }} }} }} }}{fragment}"
    shown = Subgraph("s", [1]).execute(text, {})
    assert not shown.errors, shown.errors
    rows = msgspec.json.decode(msgspec.json.encode(shown.data["_entities"][0]["rates"]))
    key = data.draw(st.sampled_from(sorted(rows[0])))
    if flaw == "missing":
        del rows[0][key]
    elif flaw == "more":
        rows[0]["else"] = 1
    elif flaw != "good":
        rows[0][key] = {"null": None, "text": "words", "bool": True}[flaw]
    if not root.direct:
        return
    passed = all(fits(row, root.checks, len(root.checks)) for row in rows)
    full = execute_sync(GRAPH.schema, prepared.document, {"fullQuote": rows}, field_resolver=_resolve)
    if passed:
        assert not full.errors
        assert full.data["fullQuote"] == rows
    if flaw == "good":
        assert passed
    if full.errors:
        assert not passed
