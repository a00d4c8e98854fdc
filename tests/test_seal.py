"""Seals of datagrams: each is opened once, by a valid key, from the sender that closed it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend.net.seal import DatagramSealer, UnsealError

KEYS = (b"k" * 16, b"n" * 16)


def test_a_seal_is_opened_once_and_by_either_key_while_one_replaces_the_other():
    old = DatagramSealer(KEYS[:1], 10)
    both = DatagramSealer((KEYS[1], KEYS[0]), 10)
    new = DatagramSealer(KEYS[1:], 10)
    data = old.seal(b"hello", b"a:1")
    assert both.open(data, b"a:1") == b"hello"
    with pytest.raises(UnsealError, match="seen before"):
        both.open(data, b"a:1")
    assert new.open(both.seal(b"x", b"b:1"), b"b:1") == b"x"
    with pytest.raises(UnsealError, match="not sealed"):
        new.open(old.seal(b"x", b"a:1"), b"a:1")


@given(st.binary(max_size=50), st.data())
def test_a_changed_byte_or_another_sender_is_rejected(body, data):
    ours = DatagramSealer(KEYS[:1], 10)
    theirs = DatagramSealer(KEYS[:1], 20)
    sealed = bytearray(ours.seal(body, b"a:1"))
    with pytest.raises(UnsealError):
        theirs.open(bytes(sealed), b"other:1")
    place = data.draw(st.integers(0, len(sealed) - 1))
    sealed[place] ^= data.draw(st.integers(1, 255))
    with pytest.raises(UnsealError):
        theirs.open(bytes(sealed), b"a:1")
    with pytest.raises(UnsealError):
        theirs.open(bytes(sealed[:place]), b"a:1")


@given(st.permutations(range(30)))
def test_datagrams_may_overtake_each_other_but_come_once(order):
    ours = DatagramSealer(KEYS[:1], 10)
    theirs = DatagramSealer(KEYS[:1], 10)
    sealed = [ours.seal(bytes([i]), b"a") for i in range(30)]
    assert [theirs.open(sealed[i], b"a")[0] for i in order] == list(order)
    for one in sealed:
        with pytest.raises(UnsealError):
            theirs.open(one, b"a")


def test_datagrams_of_an_earlier_run_are_rejected_and_a_later_run_begins_anew():
    first = DatagramSealer(KEYS[:1], 10)
    second = DatagramSealer(KEYS[:1], 11)
    theirs = DatagramSealer(KEYS[:1], 1)
    early = [first.seal(b"x", b"a") for _ in range(3)]
    theirs.open(early[0], b"a")
    theirs.open(second.seal(b"y", b"a"), b"a")
    with pytest.raises(UnsealError, match="earlier life"):
        theirs.open(early[1], b"a")


def test_counters_far_behind_are_rejected():
    ours = DatagramSealer(KEYS[:1], 10)
    theirs = DatagramSealer(KEYS[:1], 10)
    first = ours.seal(b"x", b"a")
    for _ in range(2000):
        last = ours.seal(b"x", b"a")
    theirs.open(last, b"a")
    with pytest.raises(UnsealError, match="too old"):
        theirs.open(first, b"a")


def test_an_active_sender_keeps_its_counters_whoever_comes_after_it(monkeypatch):
    monkeypatch.setattr("badgerbend.net.seal.MAX_SENDERS", 3)
    ours = DatagramSealer(KEYS[:1], 10)
    theirs = DatagramSealer(KEYS[:1], 10)
    first = theirs.seal(b"ping", b"steady")
    ours.open(first, b"steady")
    for newcomer in (b"a", b"b", b"c", b"d"):
        ours.open(theirs.seal(b"ping", newcomer), newcomer)
        ours.open(theirs.seal(b"ping", b"steady"), b"steady")
    with pytest.raises(UnsealError):
        ours.open(first, b"steady")  # a replay
    assert len(ours.seen) == 3
