"""The content of the feed and its digest."""

from badgerbend.feed.content import Content
from tests.feed_harness import change


def test_equal_content_has_equal_digests_for_any_order_of_changes():
    one, other = Content(), Content()
    one.apply([change("a", "1"), change("b", "2"), change("a", "3")])
    other.apply([change("c", "9"), change("b", "2"), change("a", "3"), change("c", None)])
    assert one.digest() == other.digest()
    other.apply([change("b", "20")])
    assert one.digest() != other.digest()


def test_digest_separates_keys_from_values():
    one, other = Content(), Content()
    one.apply([change("ab", "c")])
    other.apply([change("a", "bc")])
    assert one.digest() != other.digest()


def test_changes_are_undone_in_reverse_order():
    content = Content()
    content.apply([change("a", "1")])
    before = content.digest()
    undo = content.apply([change("a", "2"), change("a", None), change("b", "1"), change("a", "3")])
    content.apply(undo)
    assert content.digest() == before
    assert dict(content.items()) == {"a": b"1"}


def test_the_difference_between_contents_leads_from_one_to_the_other():
    one, other = Content(), Content()
    one.apply([change("a", "1"), change("b", "2")])
    other.apply([change("b", "3"), change("c", "4")])
    one.apply(one.changes_to(other))
    assert one.digest() == other.digest()
    assert dict(one.items()) == dict(other.items())
