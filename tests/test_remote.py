"""Remote read: wire formats against handwritten bytes, and the merge against a simple reference implementation."""

import math
import struct

import cramjam
import google_crc32c
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend.remote import codec, xor
from badgerbend.remote import remote_pb2 as pb
from badgerbend.remote.frames import BadFrame, FrameReader, frame
from badgerbend.remote.matchers import EQ, NEQ, NRE, RE, BadMatcher, compile_matcher, match_all
from badgerbend.remote.merge import LimitExceeded, Limits, merge_series, to_chunks
from badgerbend.remote.placement import shard_of, shards_of
from badgerbend.remote.series import BadPart, Chunk, Series, validate_order

# -- Bytes written by hand from the specifications.
REQUEST = bytes.fromhex(
    "0a 17"  # queries, 23 bytes
    "08 e8 07"  # start 1000
    "10 d0 0f"  # end 2000
    "1a 0f"  # a matcher, 15 bytes
    "08 02"  # =~
    "12 03 6a 6f 62"  # job
    "1a 06 61 70 69 7c 64 62"  # api|db
    "12 02 01 00"  # accepted: chunks, samples
)


def test_a_handwritten_request_is_parsed():
    result = pb.ReadRequest.FromString(REQUEST)
    (query,) = result.queries
    assert (query.start_timestamp_ms, query.end_timestamp_ms) == (1000, 2000)
    assert [(m.type, m.name, m.value) for m in query.matchers] == [(RE, "job", "api|db")]
    assert list(result.accepted_response_types) == [1, 0]
    assert result.SerializeToString() == REQUEST


def test_histograms_pass_through_without_being_decoded():
    body = bytes.fromhex("22 03 08 96 01")  # field 4 with arbitrary content
    assert pb.TimeSeries.FromString(body).SerializeToString() == body


def test_handwritten_snappy_blocks_are_decompressed():
    assert bytes(cramjam.snappy.decompress_raw(b"\x05\x10hello")) == b"hello"  # one literal
    assert bytes(cramjam.snappy.decompress_raw(b"\x0a\x00a\x15\x01")) == b"a" * 10  # a literal, then a copy of it
    assert bytes(cramjam.snappy.decompress_raw(bytes(cramjam.snappy.compress_raw(REQUEST)))) == REQUEST


@pytest.mark.parametrize(
    ("data", "checksum"),
    [(b"123456789", 0xE3069283), (bytes(32), 0x8A9136AA), (b"\xff" * 32, 0x62A8AB43), (bytes(range(32)), 0x46DD794E)],
)
def test_checksums_match_published_values(data, checksum):
    assert google_crc32c.value(data) == checksum
    assert frame(data) == bytes([len(data)]) + checksum.to_bytes(4, "big") + data


@given(st.lists(st.binary(max_size=300), max_size=5), st.integers(1, 64))
def test_frames_are_read_from_pieces_of_any_size(messages, piece_size):
    stream, reader, result = b"".join(map(frame, messages)), FrameReader(1000), []
    for start in range(0, len(stream), piece_size):
        result += reader.feed(stream[start : start + piece_size])
    reader.end()
    assert result == messages


@pytest.mark.parametrize(
    "stream",
    [frame(b"abc")[:-1] + b"x", b"\x05\0\0\0\0hello", b"\xff" * 11, frame(b"x" * 101)],
)
def test_a_malformed_stream_is_an_error(stream):
    with pytest.raises(BadFrame):
        list(FrameReader(100).feed(stream))


def test_a_truncated_stream_is_an_error_at_its_end():
    reader = FrameReader(100)
    assert list(reader.feed(frame(b"abc") + b"\x05")) == [b"abc"]
    with pytest.raises(BadFrame, match="within a frame"):
        reader.end()


CHUNKS = [
    (  # two equal samples 15 s apart: count, time 1000 as a varint, 1.0, 15000 as a varint, one 0 bit
        [(1000, 1.0), (16_000, 1.0)],
        "0002 d00f 3ff0000000000000 9875 00",
    ),
    (  # 1.0 to 2.0: the bits differ in 3ff^400 = 7ff: 1 leading zero, 11 bits, 52 trailing; 11 00001 001011 11111111111
        [(0, 1.0), (1, 2.0)],
        "0002 00 3ff0000000000000 01 c2 5f ff",
    ),
    (  # constant interval: neither the third sample's delta (0) nor its value (0) has changed
        [(0, 0.0), (10, 0.0), (20, 0.0)],
        "0003 00 0000000000000000 0a 00",
    ),
    (  # delta grown by one: 0 for the second value; then 10 and 14 bits for the change, and 0 for the third value
        [(0, 0.0), (10, 0.0), (21, 0.0)],
        "0003 00 0000000000000000 0a 40 00 80",
    ),
]


@pytest.mark.parametrize(("samples", "expected_hex"), CHUNKS)
def test_handwritten_chunks_are_decoded_and_encoded(samples, expected_hex):
    data = bytes.fromhex(expected_hex)
    assert list(xor.decode(data)) == samples
    assert xor.encode(samples) == data


TIMES = st.lists(st.integers(0, 1 << 45), min_size=1, max_size=200, unique=True).map(sorted)


@given(TIMES, st.randoms(use_true_random=False))
def test_encoded_chunks_decode_to_the_same_samples(times, rng):
    kinds = (
        lambda: 0.0,
        lambda: rng.gauss(0, 1),
        lambda: math.inf,
        lambda: -0.0,
        lambda: float(rng.randrange(1000)),
        lambda: struct.unpack(">d", rng.randbytes(8))[0],
    )
    samples = [(t, rng.choice(kinds)()) for t in times]
    decoded_samples = list(xor.decode(xor.encode(samples)))
    assert [t for t, _ in decoded_samples] == times
    assert [struct.pack(">d", v) for _, v in decoded_samples] == [struct.pack(">d", v) for _, v in samples]


@given(st.binary(max_size=200))
def test_invalid_bytes_raise_only_bad_chunk(data):
    try:
        for _ in xor.decode(data):
            pass
    except xor.BadChunk:
        pass


# -- Matchers and placement.
def test_matchers_are_anchored_and_treat_a_missing_label_as_empty():
    labels = {"job": "api", "pod": "a\nb"}
    assert match_all(
        [compile_matcher(EQ, "job", "api"), compile_matcher(NEQ, "job", "db"), compile_matcher(EQ, "zone", "")], labels
    )
    assert match_all(
        [compile_matcher(RE, "job", "a.*|x"), compile_matcher(RE, "pod", "a.b"), compile_matcher(NRE, "zone", ".+")],
        labels,
    )
    for kind, name, value in ((RE, "job", "ap"), (RE, "job", "pi"), (NEQ, "zone", ""), (NRE, "job", "api")):
        assert not match_all([compile_matcher(kind, name, value)], labels)


@pytest.mark.parametrize(
    ("kind", "name", "value", "message"),
    [
        (RE, "job", "a(", "missing"),
        (RE, "job", r"(a)\1", "invalid escape"),
        (RE, "job", "a" * 5000, "5000 characters"),
        (7, "job", "a", "none of"),
        (EQ, "", "a", "without"),
        (RE, "job", "((a{1,100}){1,100}){1,100}", "job"),
    ],
)
def test_invalid_matchers_are_rejected_with_a_message(kind, name, value, message):
    with pytest.raises(BadMatcher, match=message):
        compile_matcher(kind, name, value)


def test_an_expression_prone_to_backtracking_does_not_hang():
    assert not compile_matcher(RE, "job", "(a+)+b").matches({"job": "a" * 100_000})


NAMES, VALUES = ("job", "name", "pod"), ("", "a", "b", "c", "a|b", ".*", "[ab]")


@given(
    st.lists(st.tuples(st.sampled_from([EQ, NEQ, RE, NRE]), *map(st.sampled_from, (NAMES, VALUES))), max_size=4),
    st.dictionaries(st.sampled_from(NAMES), st.sampled_from(["", "a", "b", "c", "a|b"])),
    st.integers(1, 50),
)
def test_a_matching_series_is_always_on_a_shard_that_is_queried(rows, labels, shards):
    matchers = [compile_matcher(*row) for row in rows]
    shards_queried = shards_of(matchers, ("job", "name"), shards)
    if match_all(matchers, labels):
        assert shard_of(labels, ("job", "name"), shards) in shards_queried


def test_equalities_on_placement_labels_query_one_shard_and_literals_few():
    equalities = [compile_matcher(EQ, "job", "api"), compile_matcher(EQ, "name", "up")]
    assert len(shards_of(equalities, ("job", "name"), 1000)) == 1
    literals = [compile_matcher(RE, "job", "api|db|web"), compile_matcher(EQ, "name", "up")]
    assert len(shards_of(literals, ("job", "name"), 1000)) == 3
    assert len(shards_of([compile_matcher(EQ, "job", "api")], ("job", "name"), 1000)) == 1000
    assert shards_of([*equalities, compile_matcher(EQ, "job", "db")], ("job", "name"), 1000) == []


# -- The merge.
LABELS = st.sampled_from([(("a", "1"),), (("a", "1"), ("b", "1")), (("a", "2"),), (("b", "é"),)])
SAMPLES = st.dictionaries(st.integers(0, 60), st.sampled_from([0.0, 1.0, 2.5, math.nan, -1.0]), min_size=1)
PARTS = st.lists(st.dictionaries(LABELS, SAMPLES), max_size=4)


def part(series, size):
    """Yields a part's series in chunks of `size` samples."""
    for labels in sorted(series):
        samples = sorted(series[labels].items())
        pieces = [samples[start : start + size] for start in range(0, len(samples), size)]
        yield Series(labels, [Chunk(s[0][0], s[-1][0], xor.encode(s)) for s in pieces])


def reference_merge(parts):
    """The expected result: all parts' samples, decoded and sorted, with one value for each timestamp."""
    out = {}
    for series in parts:
        for labels, samples in series.items():
            for timestamp, value in samples.items():
                best_by_time = out.setdefault(labels, {})
                best = max(
                    [best_by_time.get(timestamp, value), value], key=lambda v: (not math.isnan(v), struct.pack(">d", v))
                )
                best_by_time[timestamp] = best
    return {
        labels: [(t, struct.pack(">d", samples[t])) for t in sorted(samples)] for labels, samples in sorted(out.items())
    }


def decoded(stream):
    return {s.labels: [(t, struct.pack(">d", v)) for b in s.chunks for t, v in xor.decode(b.data)] for s in stream}


@given(PARTS, st.integers(1, 30))
def test_the_merge_equals_a_reference_merge_in_any_order_of_parts(parts, size):
    expected = reference_merge(parts)
    for order in (parts, parts[::-1]):
        result = decoded(merge_series([validate_order(part(p, size), "part") for p in order], Limits()))
        assert result == expected
        assert list(result) == list(expected)


def test_chunks_that_do_not_overlap_pass_through_unchanged():
    early, late = to_chunks([(t, 1.0) for t in range(240)]), to_chunks([(t, 1.0) for t in range(240, 480)])
    labels = (("a", "1"),)
    (series,) = merge_series([[Series(labels, early)], [Series(labels, late)], [Series(labels, early)]], Limits())
    assert [b.data for b in series.chunks] == [b.data for b in early + late]


@pytest.mark.parametrize(
    "series",
    [
        [Series((("b", "1"), ("a", "1")), [])],
        [Series((("a", "1"), ("a", "2")), [])],
        [Series((("a", "2"),), []), Series((("a", "1"),), [])],
        [Series((("a", "1"),), []), Series((("a", "1"),), [])],
        [Series((("a", "1"),), [Chunk(5, 4, b"")])],
        [Series((("a", "1"),), [Chunk(0, 5, b""), Chunk(5, 9, b"")])],
    ],
)
def test_a_part_out_of_order_is_an_error_of_that_part(series):
    with pytest.raises(BadPart, match="server 7"):
        list(validate_order(series, "server 7"))


def test_limits_are_enforced_during_the_merge():
    many = [Series((("a", f"{i:03}"),), to_chunks([(0, 1.0), (1, 1.0)])) for i in range(100)]
    yielded = []
    with pytest.raises(LimitExceeded, match="more than 10 series"):
        yielded.extend(s for s in merge_series([many], Limits(series=10)))
    with pytest.raises(LimitExceeded, match="more than 21 samples"):
        list(merge_series([many], Limits(samples=21)))
    pair = [Series((("a", "1"),), to_chunks([(t, 1.0) for t in range(start, start + 50)])) for start in (0, 1)]
    with pytest.raises(LimitExceeded, match="overlap"):
        list(merge_series([[pair[0]], [pair[1]]], Limits(overlapping=99)))


def test_a_corrupt_chunk_in_an_overlap_is_an_error_of_its_part():
    good = to_chunks([(t, 1.0) for t in range(10)])
    corrupt = [Chunk(3, 12, good[0].data[:10])]
    with pytest.raises(BadPart, match="invalid chunk"):
        list(merge_series([[Series((("a", "1"),), good)], [Series((("a", "1"),), corrupt)]], Limits()))


# -- Requests and answers.
def packed_request(**fields):
    return bytes(cramjam.snappy.compress_raw(pb.ReadRequest(**fields).SerializeToString()))


def make_query(start=0, end=1000, kind=EQ, name="job", value="api"):
    return pb.Query(
        start_timestamp_ms=start, end_timestamp_ms=end, matchers=[pb.LabelMatcher(type=kind, name=name, value=value)]
    )


def test_a_decoded_request_is_encoded_unchanged():
    body = bytes(cramjam.snappy.compress_raw(REQUEST))
    queries, kind = codec.decode_request(body, codec.ReadLimits())
    assert kind == codec.CHUNKS
    assert queries[0].matchers[0] == compile_matcher(RE, "job", "api|db")
    decoded_again, kind = codec.decode_request(codec.encode_request(queries, codec.SAMPLES), codec.ReadLimits())
    assert decoded_again == queries
    assert kind == codec.SAMPLES


@pytest.mark.parametrize(
    ("body", "message"),
    [
        (b"", "no snappy block"),
        (b"\xff" * 9, "no snappy block"),
        (b"\x05\x10hell", "no snappy block"),
        (bytes(cramjam.snappy.compress_raw(b"\xff\xff")), "no ReadRequest"),
        (b"\x80\x80\x80\x80\x08", "bytes unpacked, 1048576 are allowed"),
        (packed_request(queries=[make_query(5, 4)]), "before its start"),
        (packed_request(queries=[make_query(0, 1 << 60)]), "spans"),
        (packed_request(queries=[pb.Query()]), "0 matchers"),
        (packed_request(queries=[make_query(kind=RE, value="(")]), "query 0: the expression on job"),
        (packed_request(queries=[make_query()] * 65), "65 queries"),
        (packed_request(queries=[make_query()], accepted_response_types=[9]), "none of them is known"),
    ],
)
def test_an_invalid_request_is_rejected_with_a_message(body, message):
    with pytest.raises(codec.BadRequest, match=message):
        codec.decode_request(body, codec.ReadLimits())


def test_both_response_types_carry_the_same_series_and_long_series_span_frames():
    samples = [(t * 1000, math.sin(t)) for t in range(4000)]
    expected = [Series((("a", "1"),), to_chunks(samples)), Series((("a", "2"),), to_chunks([(0, 1.0)]))]
    frames = list(codec.encode_frames(0, expected, 10_000))
    assert len(frames) > 3
    assert max(map(len, frames)) < 12_000
    messages = list(FrameReader(2 << 20).feed(b"".join(frames)))
    assert [s for _, s in codec.decode_frames(messages)] == expected
    (query,), _ = codec.decode_request(packed_request(queries=[make_query(0, 10**9)]), codec.ReadLimits())
    body = codec.encode_samples([expected], [query])
    result = [s for _, s in codec.decode_samples(body, 1 << 24)]
    assert [s.labels for s in result] == [s.labels for s in expected]
    assert result[0].chunks == expected[0].chunks


def test_samples_outside_the_requested_times_are_omitted():
    (query,), _ = codec.decode_request(packed_request(queries=[make_query(10, 20)]), codec.ReadLimits())
    series = [
        Series((("a", "1"),), to_chunks([(t, 1.0) for t in range(100)])),
        Series((("b", "1"),), to_chunks([(5, 1.0)])),
    ]
    answer = pb.ReadResponse.FromString(bytes(cramjam.snappy.decompress_raw(codec.encode_samples([series], [query]))))
    (one,) = answer.results[0].timeseries
    assert [s.timestamp for s in one.samples] == list(range(10, 21))


def test_histograms_pass_as_chunks_and_are_rejected_as_samples():
    chunk = Chunk(0, 5, b"\0\1whatever", 2)
    series = Series((("a", "1"),), [chunk])
    messages = list(FrameReader(1000).feed(b"".join(codec.encode_frames(3, merge_series([[series]], Limits())))))
    assert list(codec.decode_frames(messages)) == [(3, series)]
    (query,), _ = codec.decode_request(packed_request(queries=[make_query()]), codec.ReadLimits())
    with pytest.raises(BadPart, match="streamed chunks only"):
        codec.encode_samples([[series]], [query])


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\x02\x04\xff\xff",
        bytes(
            cramjam.snappy.compress_raw(
                pb.ReadResponse(
                    results=[
                        pb.QueryResult(
                            timeseries=[pb.TimeSeries(samples=[pb.Sample(timestamp=2), pb.Sample(timestamp=1)])]
                        )
                    ]
                ).SerializeToString()
            )
        ),
    ],
)
def test_an_invalid_answer_of_a_server_is_an_error_of_its_part(body):
    with pytest.raises(BadPart):
        list(codec.decode_samples(body, 1000))
