"""Tests that the encodings of a knowledge record and of the snapshot file stay the same, byte by byte."""

import pytest

from badgerbend.knowledge.record import AnswerLatency, KnowledgeRecord, ServerObservation, decode, encode
from badgerbend.snapshot import store
from tests.wire_bytes import DATA, assert_same_bytes, fixture_keys

RECORD = KnowledgeRecord(
    version=1,
    broker=3,
    zone=2,
    open_parts=17,
    servers=(
        ServerObservation(name="s1", time_ms=12.5, age_ms=250.0, dead=False),
        ServerObservation(name="s2", time_ms=40.0, age_ms=900.0, dead=True),
    ),
    answers=(
        AnswerLatency(age_ms=125.0, latency_ms=11.25, censored=False),
        AnswerLatency(age_ms=130.0, latency_ms=80.5, censored=True),
    ),
    chosen=((8, 4, 2), (9, 5, 3)),
)
RECORDS = {
    "knowledge/record": RECORD,
    "knowledge/record-empty": KnowledgeRecord(
        version=1, broker=0, zone=0, open_parts=0, servers=(), answers=(), chosen=()
    ),
}
WRITTEN_S = 1700000000.25
SNAPSHOT = DATA / "broker-snapshot.bin"


@pytest.mark.parametrize("key", RECORDS)
def test_record_keeps_its_bytes(key):
    assert_same_bytes(key, RECORDS[key], encode, decode)


def test_every_record_has_a_fixture():
    assert fixture_keys("knowledge/") == set(RECORDS)


def test_snapshot_is_written_with_the_same_bytes():
    assert store.encode_snapshot(RECORD, WRITTEN_S) == SNAPSHOT.read_bytes()


def test_snapshot_is_read():
    assert store.decode_snapshot(SNAPSHOT.read_bytes(), WRITTEN_S) == RECORD


def test_ages_in_a_snapshot_file_increase_by_the_time_since_it_was_written(tmp_path):
    path = tmp_path / "snapshot"
    path.write_bytes(SNAPSHOT.read_bytes())
    record = store.read_snapshot(path, WRITTEN_S + 2.0)
    assert record.servers == (
        ServerObservation(name="s1", time_ms=12.5, age_ms=2250.0, dead=False),
        ServerObservation(name="s2", time_ms=40.0, age_ms=2900.0, dead=True),
    )
    assert record.answers == (
        AnswerLatency(age_ms=2125.0, latency_ms=11.25, censored=False),
        AnswerLatency(age_ms=2130.0, latency_ms=80.5, censored=True),
    )
    assert record.chosen == ((8, 4, 2), (9, 5, 3))
