"""What is believed of others: old, absurd and lying records, and a snapshot that may be torn anywhere."""

import contextlib
import os
import random
from pathlib import Path

import msgspec
import pytest
from conftest import ALL, ANY, Bench, line
from hypothesis import given, settings
from hypothesis import strategies as st

from badgerbend import api
from badgerbend.disk import write_atomically
from badgerbend.knowledge.record import (
    MAX_RECORD_BYTES,
    AnswerLatency,
    KnowledgeRecord,
    RecordError,
    ServerObservation,
    aged,
    decode,
    encode,
    make_record,
)
from badgerbend.knowledge.trust import PeerTrust, TrustPolicy
from badgerbend.snapshot.store import SnapshotError, decode_snapshot, encode_snapshot, read_snapshot

NAMES = {f"s{i}": i for i in range(10)}


def record(times, usual=20.0, age=500.0, dead=(), broker=0):
    servers = tuple(ServerObservation(name, ms, age, name in dead) for name, ms in times.items())
    return KnowledgeRecord(1, broker, 0, 0, servers, tuple(AnswerLatency(age, usual, False) for _ in range(40)))


TRUE = {f"s{i}": 20.0 for i in range(8)} | {"s8": 160.0, "s9": 160.0}


def slow(prior):
    return {s.node for s in prior.nodes if s.time_ms > 30.0}


# -- the module
def learn(bench, *seen, answers=()):
    bench.do(api.Observations(tuple(api.EndpointObservation(*s, False) for s in seen), tuple(answers)))


def test_a_prior_is_taken_where_nothing_was_seen_and_the_first_own_answer_ends_it():
    bench = Bench()
    learn(bench, (10, 300.0, 100.0), answers=[(200.0, 20.0, False)] * 30)
    node = bench.agg.endpoints.servers[10]
    assert bench.agg.latency.late_ms == 60.0 and node.peer_observed and node.response_time_ms == 300.0
    assert bench.agg.observations() == api.Observations((), ())  # what was told is never told on
    node.response_time_ms, node.response_time_at_ms, node.peer_observed = 25.0, bench.now - 5000.0, False
    learn(bench, (10, 300.0, 0.0))
    assert node.response_time_ms == 25.0  # fresh news against an own answer of five seconds ago


def test_old_news_fades_as_own_old_answers_do_and_answers_end_with_their_window():
    bench = Bench()
    learn(bench, (10, 300.0, 300_000.0), answers=[(300_000.0, 20.0, False)] * 30)
    assert bench.agg.latency.late_ms == 0.0 and not bench.agg.latency.distribution.latencies_ms
    bench.agg.latency.typical_ms = 20.0
    assert bench.agg.latency.response_time_ms(bench.agg.endpoints.servers[10], bench.now) == pytest.approx(
        20.0, abs=0.1
    )


def test_news_of_before_a_servers_start_is_none():
    bench = Bench(lines=[line(10, 0, started=900.0)])
    learn(bench, (10, 300.0, 500.0))  # seen at 500, the server started at 900; it is 1000 now
    assert not bench.agg.endpoints.servers[10].peer_observed


def test_a_prior_moves_the_choice_and_nothing_else():
    def sends(told):
        bench = Bench()
        if told:
            learn(bench, (10, 400.0, 0.0), answers=[(100.0, 20.0, False)] * 30)
        before = len(bench.log)
        for _ in range(12):
            bench.query(ALL)
        sent = [a for a in bench.log[before:] if isinstance(a, api.Send)]
        return sum(1 for a in sent if a.node == 10), len(sent)

    (cold, all_cold), (told, all_told) = sends(False), sends(True)
    assert told < cold and all_told == all_cold
    assert ANY != ALL


def test_what_is_known_is_told_with_its_age():
    bench = Bench()
    _, acts = bench.query(ALL)
    bench.wait(30.0)
    for send in [a for a in acts if isinstance(a, api.Send)]:
        bench.finish(send.part)
    bench.wait(1000.0)
    known = bench.agg.observations()
    assert known.nodes and all(s.age_ms >= 999.0 and not s.dead for s in known.nodes)
    assert all(ms >= 29.0 and age >= 999.0 for age, ms, _ in known.answers)


# -- records
json = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=3) | st.integers(-(2**60), 2**60),
    lambda x: (
        st.lists(x, max_size=4)
        | st.dictionaries(st.sampled_from([f for f in KnowledgeRecord.__struct_fields__]), x, max_size=7)
    ),
)


@given(json | st.binary(max_size=80))
def test_any_bytes_are_a_record_or_refused(value):
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
def test_absurd_records_are_refused(bad):
    with pytest.raises(RecordError):
        decode(encode(bad))


def test_a_record_is_bounded_and_ages():
    seen = tuple(api.EndpointObservation(i, 5.0, float(i), False) for i in range(5000))
    rows = tuple((1.0, 5.0, False) for _ in range(900))
    out = make_record(api.Observations(seen, rows), {i: f"server-{i}" for i in range(5000)}, 1, 0, 7, {(2, 4): 3})
    assert len(out.servers) == 2000 and max(s.age_ms for s in out.servers) == 1999.0 and len(out.answers) == 400
    data = encode(out)
    assert len(data) < MAX_RECORD_BYTES and decode(data) == out
    assert aged(out, 250.0).servers[0].age_ms == 250.0
    assert aged(out, -50.0).servers[0].age_ms == 0.0  # nothing becomes younger


# -- trust
def test_the_middle_of_three_is_what_two_honest_peers_say():
    lies = [
        {n: 20.0 if n in ("s8", "s9") else 900.0 for n in TRUE},  # every sound server slow, the slow ones fast
        {n: 0.0 for n in TRUE},
        {n: 1e9 for n in TRUE},
        {},
        {f"ghost{i}": 1.0 for i in range(2000)},
    ]
    for lie in lies:
        trust = PeerTrust()
        told = {"a": record(TRUE), "b": record(TRUE | {"s8": 120.0}), "liar": record(lie, usual=1e8)}
        assert slow(trust.combine(told, NAMES, 0.0)) == {8, 9}, lie


def test_one_liar_of_two_can_hide_a_slow_server_and_slander_none():
    for lie in ({n: 900.0 for n in TRUE}, {n: 1.0 for n in TRUE}):
        prior = PeerTrust().combine({"a": record(TRUE), "liar": record(lie)}, NAMES, 0.0)
        assert slow(prior) <= {8, 9}


def test_a_sole_witness_may_call_few_servers_slow():
    assert slow(PeerTrust().combine({"a": record(TRUE)}, NAMES, 0.0)) == {8, 9}
    half = TRUE | {f"s{i}": 160.0 for i in range(5)}
    assert len(slow(PeerTrust().combine({"a": record(half)}, NAMES, 0.0))) == 3  # of ten, though it says seven
    assert len(slow(PeerTrust().combine({"own": record(half)}, NAMES, 0.0, own=True))) == 7


@settings(max_examples=200, deadline=None)
@given(
    st.dictionaries(st.sampled_from(sorted(TRUE)), st.floats(0, 1e9), max_size=10),
    st.floats(0.001, 1e9),
    st.floats(0, 59_000),
)
def test_the_worst_that_one_liar_in_three_can_do_lies_between_what_the_others_say(lie, usual, age):
    first, second = TRUE | {"s1": 28.0}, TRUE | {"s8": 100.0}
    told = {"a": record(first), "b": record(second), "liar": record(lie, usual, age)}
    trust = PeerTrust()
    for s in trust.combine(told, NAMES, 0.0).nodes:
        name = f"s{s.node}"
        low, high = sorted((first[name], second[name]))
        assert min(low, 20.0) - 1e-6 <= s.time_ms <= max(high, 20.0) + 1e-6
        assert s.age_ms >= 500.0 - 1e-6 or age < 500.0


def test_stale_news_is_not_taken():
    prior = PeerTrust().combine({p: record(TRUE, age=300_000.0) for p in "abc"}, NAMES, 0.0)
    assert not prior.nodes


def test_a_peer_that_proves_wrong_loses_its_say_for_a_while():
    trust, rules = PeerTrust(), TrustPolicy()
    trust.combine({"a": record(TRUE), "b": record(TRUE | {"s1": 199.0})}, NAMES, 0.0)
    for node in range(10):
        trust.check_answer(node, 20.0 if node < 8 else 160.0, 20.0, 100.0)
    assert trust.is_trusted("a", 100.0) and trust.is_trusted("b", 100.0)
    trust, lie = PeerTrust(), {n: 200.0 if t == 20.0 else 20.0 for n, t in TRUE.items()}
    trust.combine({"b": record(TRUE), "liar": record(lie)}, NAMES, 0.0)
    lost = [p for node in range(10) for p in trust.check_answer(node, TRUE[f"s{node}"], 20.0, 100.0)]
    assert lost == ["liar"] and trust.is_trusted("b", 100.0)
    over = 100.0 + rules.distrust_ms
    assert not trust.is_trusted("liar", over - 1) and trust.is_trusted("liar", over)
    assert slow(trust.combine({"b": record(TRUE), "liar": record({})}, NAMES, 200.0)) == {8, 9}


# -- snapshots
GOOD = record(TRUE)


def test_a_snapshot_comes_back_as_old_as_its_absence(tmp_path):
    path = tmp_path / "seen"
    write_atomically(path, encode_snapshot(GOOD, 1000.0))
    assert read_snapshot(path, 1007.5).servers[0].age_ms == 500.0 + 7500.0
    with pytest.raises(SnapshotError, match="gone back"):
        read_snapshot(path, 999.0)
    with pytest.raises(FileNotFoundError):
        read_snapshot(tmp_path / "none", 0.0)


@given(st.data())
def test_torn_truncated_and_flipped_files_are_refused(data):
    good = encode_snapshot(GOOD, 1000.0)
    cut = data.draw(st.integers(0, len(good) - 1))
    for bad in (good[:cut], good + b"x", good[:cut] + b"\x00" * (len(good) - cut) + b"0"):
        with pytest.raises(SnapshotError):
            decode_snapshot(bad, 1001.0)
    flipped = bytearray(good)
    flipped[cut] ^= 1 << data.draw(st.integers(0, 7))
    with pytest.raises(SnapshotError):
        decode_snapshot(bytes(flipped), 1001.0)


def test_other_versions_foreign_files_and_folders_are_refused(tmp_path):
    good = encode_snapshot(GOOD, 1000.0)
    for bad in (good[:8] + b"\x00\x09" + good[10:], b"PNG" + good, os.urandom(200), b""):
        (tmp_path / "f").write_bytes(bad)
        with pytest.raises(SnapshotError):
            read_snapshot(tmp_path / "f", 1001.0)
    (tmp_path / "d").mkdir()
    with pytest.raises(SnapshotError):
        read_snapshot(tmp_path / "d", 0.0)
    with open(tmp_path / "huge", "wb") as huge:
        huge.truncate(1 << 40)
    with pytest.raises(SnapshotError, match="too large"):
        read_snapshot(tmp_path / "huge", 0.0)


class Crash(BaseException):
    """The process ends here."""


@pytest.mark.parametrize("seed", range(60))
def test_a_crash_at_any_call_leaves_the_old_snapshot_or_the_new(tmp_path, seed, monkeypatch):
    """Every call to the system may be the last; a write may have put only some of its bytes on the disk."""
    rng, path = random.Random(seed), tmp_path / "seen"
    write_atomically(path, encode_snapshot(GOOD, 1000.0))
    new = msgspec.structs.replace(GOOD, open_parts=9)
    left = rng.randrange(9)

    def dying(real, partly=False):
        def call(*args):
            nonlocal left
            left -= 1
            if left < 0:
                if partly:
                    real(args[0], bytes(args[1])[: rng.randrange(len(args[1]) + 1)])
                raise Crash
            if partly and rng.random() < 0.5:
                return real(args[0], bytes(args[1])[: rng.randrange(1, len(args[1]) + 1)])
            return real(*args)

        return call

    with monkeypatch.context() as patch:
        for name in ("open", "fsync", "replace"):
            patch.setattr(os, name, dying(getattr(os, name)))
        patch.setattr(os, "write", dying(os.write, partly=True))
        try:
            write_atomically(path, encode_snapshot(new, 1001.0))
            done = True
        except Crash:
            done = False
    found = read_snapshot(path, 1002.0)
    assert found.open_parts in ((9,) if done else (0, 9))
    assert not path.with_name("seen.new").exists()


def test_a_folder_that_cannot_be_written_keeps_the_old_file(tmp_path):
    path = tmp_path / "seen"
    write_atomically(path, encode_snapshot(GOOD, 1000.0))
    path.with_name("seen.new").mkdir()
    with pytest.raises(OSError):
        write_atomically(path, encode_snapshot(GOOD, 1001.0))
    assert path.read_bytes() == encode_snapshot(GOOD, 1000.0)
    assert isinstance(path, Path)


# -- the six rules in this light
def test_a_server_that_drains_or_is_gone_stays_so_whatever_a_peer_says():
    bench = Bench()
    bench.do(
        api.EndpointUpdate(
            api.UpdateKind.DELTA, (line(10, 0, api.EndpointState.DRAINING), line(11, 1, api.EndpointState.REMOVED))
        )
    )
    before = len(bench.log)
    learn(bench, (10, 1.0, 0.0), (11, 1.0, 0.0), (99, 1.0, 0.0))
    for _ in range(10):
        bench.query(ALL, parts=2, shard=2)
    assert {a.node for a in bench.log[before:] if isinstance(a, api.Send)} <= {12, 13}
    assert 99 not in bench.agg.endpoints.servers  # a server that only a peer names


@pytest.mark.parametrize("told", [0.0, 1.0, 1e6])
def test_a_herd_of_new_brokers_that_all_learn_the_same_pushes_no_cold_server_over(told):
    """Six brokers, one cold server among four: what they send it together stays under its share of the bound."""
    sent = 0
    for seed in range(6):
        lines = [line(10 + c, c) for c in range(3)] + [line(13, 3, started=1000.0)]
        bench = Bench(
            lines, seed=seed, broker_count=6, overload_factor=2.0, slow_start_from=0.2, slow_start_ms=10_000.0
        )
        if told:
            bench.now += 1.0
            sound = [(node, 20.0, 0.5) for node in (10, 11, 12)]
            learn(bench, *sound, (13, told, 0.5), answers=[(0.5, 20.0, False)] * 30)
        before = len(bench.log)
        for _ in range(20):  # 20 queries of 4 parts in a second: 20 parts a server if all were warm
            _, acts = bench.query(ALL)
            bench.wait(20.0)
            for send in [a for a in acts if isinstance(a, api.Send)]:
                bench.finish(send.part)
            bench.wait(30.0)
        sent += sum(1 for a in bench.log[before:] if isinstance(a, api.Send) and a.node == 13)
    warm = 6 * 20  # what a warm server is sent by all in that second
    assert sent <= 2.0 * 0.3 * warm  # the bound at the warmth it reaches by then
