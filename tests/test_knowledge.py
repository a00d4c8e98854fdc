"""Tests of knowledge records and of the trust in peers whose records are old, absurd or wrong."""

import contextlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgerbend import api
from badgerbend.knowledge.policy import TrustPolicy
from badgerbend.knowledge.record import (
    MAX_RECORD_BYTES,
    KnowledgeRecord,
    RecordError,
    ServerObservation,
    aged,
    decode,
    encode,
    make_record,
)
from badgerbend.knowledge.trust import PeerTrust
from tests.knowledge_records import LATENCIES_MS, NAMES, record, slow_nodes

# -- records
random_documents = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=3) | st.integers(-(2**60), 2**60),
    lambda x: (
        st.lists(x, max_size=4)
        | st.dictionaries(st.sampled_from(list(KnowledgeRecord.__struct_fields__)), x, max_size=7)
    ),
)


@given(random_documents | st.binary(max_size=80))
def test_any_bytes_are_a_record_or_rejected(value):
    data = value if isinstance(value, bytes) else msgspec.msgpack.encode(value)
    with contextlib.suppress(RecordError):
        PeerTrust().combine({"p": decode(data)}, NAMES, 0.0)


@pytest.mark.parametrize(
    "bad",
    [
        KnowledgeRecord(2, 0, 0, 0, (), ()),
        KnowledgeRecord(1, 0, 0, 0, (ServerObservation("s", float("nan"), 1.0),), ()),
        KnowledgeRecord(1, 0, 0, 0, (ServerObservation("s", float("inf"), 1.0),), ()),
        KnowledgeRecord(1, 0, 0, 0, (ServerObservation("s", -1.0, 1.0),), ()),
        KnowledgeRecord(1, 0, 0, 0, (ServerObservation("s", 1.0, -1.0),), ()),
        KnowledgeRecord(1, 0, 0, 0, tuple(ServerObservation(f"x{i}", 1.0, 1.0) for i in range(3000)), ()),
        KnowledgeRecord(1, 0, 999, 0, (), ()),
    ],
)
def test_records_with_values_out_of_range_are_rejected(bad):
    with pytest.raises(RecordError):
        decode(encode(bad))


def test_a_record_is_bounded_and_ages():
    observed = tuple(api.EndpointObservation(i, 5.0, float(i), False) for i in range(5000))
    rows = tuple((1.0, 5.0, False) for _ in range(900))
    made = make_record(api.Observations(observed, rows), {i: f"server-{i}" for i in range(5000)}, 1, 0, 7, {(2, 4): 3})
    assert len(made.servers) == 2000
    assert max(s.age_ms for s in made.servers) == 1999.0
    assert len(made.answers) == 400
    data = encode(made)
    assert len(data) < MAX_RECORD_BYTES
    assert decode(data) == made
    assert aged(made, 250.0).servers[0].age_ms == 250.0
    assert aged(made, -50.0).servers[0].age_ms == 0.0  # no observation becomes younger


# -- trust
def test_of_three_peers_one_liar_cannot_change_which_servers_look_slow():
    lies = [
        {n: 20.0 if n in ("s8", "s9") else 900.0 for n in LATENCIES_MS},  # healthy servers are slow, and slow ones fast
        dict.fromkeys(LATENCIES_MS, 0.0),
        dict.fromkeys(LATENCIES_MS, 1000000000.0),
        {},
        {f"ghost{i}": 1.0 for i in range(2000)},
    ]
    for lie in lies:
        trust = PeerTrust()
        records = {"a": record(LATENCIES_MS), "b": record(LATENCIES_MS | {"s8": 120.0}), "liar": record(lie, usual=1e8)}
        assert slow_nodes(trust.combine(records, NAMES, 0.0)) == {8, 9}, lie


def test_of_two_peers_one_liar_can_hide_a_slow_server_but_make_none_look_slow():
    for lie in (dict.fromkeys(LATENCIES_MS, 900.0), dict.fromkeys(LATENCIES_MS, 1.0)):
        prior = PeerTrust().combine({"a": record(LATENCIES_MS), "liar": record(lie)}, NAMES, 0.0)
        assert slow_nodes(prior) <= {8, 9}


def test_a_sole_peer_can_make_only_few_servers_look_slow():
    assert slow_nodes(PeerTrust().combine({"a": record(LATENCIES_MS)}, NAMES, 0.0)) == {8, 9}
    half = LATENCIES_MS | {f"s{i}": 160.0 for i in range(5)}
    assert len(slow_nodes(PeerTrust().combine({"a": record(half)}, NAMES, 0.0))) == 3  # of ten; the peer claims seven
    assert len(slow_nodes(PeerTrust().combine({"own": record(half)}, NAMES, 0.0, is_own=True))) == 7


@settings(max_examples=200, deadline=None)
@given(
    st.dictionaries(st.sampled_from(sorted(LATENCIES_MS)), st.floats(0, 1e9), max_size=10),
    st.floats(0.001, 1e9),
    st.floats(0, 59_000),
)
def test_one_liar_in_three_gets_a_result_between_what_the_others_state(lie, usual, age):
    first = LATENCIES_MS | {"s1": 28.0}
    second = LATENCIES_MS | {"s8": 100.0}
    records = {"a": record(first), "b": record(second), "liar": record(lie, usual, age)}
    trust = PeerTrust()
    for s in trust.combine(records, NAMES, 0.0).nodes:
        name = f"s{s.node}"
        low, high = sorted((first[name], second[name]))
        assert min(low, 20.0) - 1e-6 <= s.response_time_ms <= max(high, 20.0) + 1e-6
        assert s.age_ms >= 500.0 - 1e-6 or age < 500.0


def test_stale_observations_are_not_used():
    prior = PeerTrust().combine({p: record(LATENCIES_MS, age=300_000.0) for p in "abc"}, NAMES, 0.0)
    assert not prior.nodes


def test_a_peer_that_was_wrong_is_ignored_for_a_while():
    trust = PeerTrust()
    policy = TrustPolicy()
    trust.combine({"a": record(LATENCIES_MS), "b": record(LATENCIES_MS | {"s1": 199.0})}, NAMES, 0.0)
    for node in range(10):
        trust.check_answer(node, 20.0 if node < 8 else 160.0, 20.0, 100.0)
    assert trust.is_trusted("a", 100.0)
    assert trust.is_trusted("b", 100.0)
    trust = PeerTrust()
    lie = {n: 200.0 if t == 20.0 else 20.0 for n, t in LATENCIES_MS.items()}
    trust.combine({"b": record(LATENCIES_MS), "liar": record(lie)}, NAMES, 0.0)
    distrusted = [p for node in range(10) for p in trust.check_answer(node, LATENCIES_MS[f"s{node}"], 20.0, 100.0)]
    assert distrusted == ["liar"]
    assert trust.is_trusted("b", 100.0)
    end_ms = 100.0 + policy.distrust_ms
    assert not trust.is_trusted("liar", end_ms - 1)
    assert trust.is_trusted("liar", end_ms)
    assert slow_nodes(trust.combine({"b": record(LATENCIES_MS), "liar": record({})}, NAMES, 200.0)) == {8, 9}
