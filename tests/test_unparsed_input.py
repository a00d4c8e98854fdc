"""Input that waits to be parsed: its order, the times of its receipt, and the memory that it takes."""

from hypothesis import given
from hypothesis import strategies as st

from badgerbend.net.unparsed_input import SMALL_BYTES, TIME_RESOLUTION_S, UnparsedInput

steps = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.sampled_from([1, 7, 300, SMALL_BYTES - 1, SMALL_BYTES, 70_000]), st.booleans()),
        st.tuples(st.just("take"), st.sampled_from([1, 5, 2048, 100_000]), st.booleans()),
    ),
    max_size=60,
)


@given(steps)
def test_bytes_come_out_in_order_and_never_with_a_later_time(drawn):
    subject, model, now, counter = UnparsedInput(), [], 0.0, 0
    for kind, size, pauses in drawn:
        now += TIME_RESOLUTION_S * 2 if pauses else 0.0
        if kind == "append":
            data = bytes((counter + i) % 251 for i in range(min(size, 300))) + b"z" * max(size - 300, 0)
            counter += 1
            subject.append(data, now)
            model += [(byte, now) for byte in data]
        elif model:
            data, received_at = subject.take(size)
            assert 0 < len(data) <= size
            expected, model = model[: len(data)], model[len(data) :]
            assert data == bytes(byte for byte, _ in expected)
            assert all(at - TIME_RESOLUTION_S <= received_at <= at for _, at in expected)
        assert len(subject) == len(model)
        assert bool(subject) == bool(model)
        assert subject.held_bytes >= len(subject)
    subject.clear()
    assert len(subject) == subject.held_bytes == 0


def test_what_was_taken_of_a_piece_counts_until_the_piece_is_used_up():
    subject = UnparsedInput()
    subject.append(b"z" * 100_000, 0.0)
    subject.take(99_999)
    assert len(subject) == 1
    assert subject.held_bytes == 100_000
    subject.take(1)
    assert subject.held_bytes == 0
