"""Seals of datagrams: each is opened once, by a valid key, from the sender that closed it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend.net.seal import Seal, UnsealError

KEYS = (b"k" * 16, b"n" * 16)


def test_a_seal_is_opened_once_and_by_either_key_while_one_replaces_the_other():
    old = Seal(KEYS[:1], 10)
    both = Seal((KEYS[1], KEYS[0]), 10)
    new = Seal(KEYS[1:], 10)
    data = old.close(b"hello", b"a:1")
    assert both.open(data, b"a:1") == b"hello"
    with pytest.raises(UnsealError, match="seen before"):
        both.open(data, b"a:1")
    assert new.open(both.close(b"x", b"b:1"), b"b:1") == b"x"
    with pytest.raises(UnsealError, match="not sealed"):
        new.open(old.close(b"x", b"a:1"), b"a:1")


@given(st.binary(max_size=50), st.data())
def test_a_changed_byte_or_another_sender_is_rejected(body, data):
    ours = Seal(KEYS[:1], 10)
    theirs = Seal(KEYS[:1], 20)
    sealed = bytearray(ours.close(body, b"a:1"))
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
    ours = Seal(KEYS[:1], 10)
    theirs = Seal(KEYS[:1], 10)
    sealed = [ours.close(bytes([i]), b"a") for i in range(30)]
    assert [theirs.open(sealed[i], b"a")[0] for i in order] == list(order)
    for one in sealed:
        with pytest.raises(UnsealError):
            theirs.open(one, b"a")


def test_datagrams_of_an_earlier_run_are_rejected_and_a_later_run_begins_anew():
    first = Seal(KEYS[:1], 10)
    second = Seal(KEYS[:1], 11)
    theirs = Seal(KEYS[:1], 1)
    early = [first.close(b"x", b"a") for _ in range(3)]
    theirs.open(early[0], b"a")
    theirs.open(second.close(b"y", b"a"), b"a")
    with pytest.raises(UnsealError, match="earlier life"):
        theirs.open(early[1], b"a")


def test_counters_far_behind_are_rejected():
    ours = Seal(KEYS[:1], 10)
    theirs = Seal(KEYS[:1], 10)
    first = ours.close(b"x", b"a")
    for _ in range(2000):
        last = ours.close(b"x", b"a")
    theirs.open(last, b"a")
    with pytest.raises(UnsealError, match="too old"):
        theirs.open(first, b"a")


def test_an_active_sender_keeps_its_counters_whoever_comes_after_it(monkeypatch):
    monkeypatch.setattr("badgerbend.net.seal.SENDERS", 3)
    ours = Seal(KEYS[:1], 10)
    theirs = Seal(KEYS[:1], 10)
    first = theirs.close(b"ping", b"steady")
    ours.open(first, b"steady")
    for newcomer in (b"a", b"b", b"c", b"d"):
        ours.open(theirs.close(b"ping", newcomer), newcomer)
        ours.open(theirs.close(b"ping", b"steady"), b"steady")
    with pytest.raises(UnsealError):
        ours.open(first, b"steady")  # a replay
    assert len(ours.seen) == 3
