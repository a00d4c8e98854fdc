"""Settings: what is right is read, what is wrong is named by file, line, column and path."""

import string

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerbend.config import decode, module, reading, settings, sexpr
from tests.replacing import replaced

GOOD = """; a comment
(broker
  (schema "schema.graphql")
  (layout (shards 24) (cells 12) (reach 4))
  (class compare (aim-ms 2000) (deadline-ms 4000) (need 0.75))
  (field rateCompare (class compare) (blocks blocks) (fetch rates) (rank-by monthly)))
"""


def test_a_good_file_is_read_with_its_defaults():
    got = reading.parse(GOOD, "x.conf")
    assert got.layout == settings.Layout(24, 12, 4)
    assert got.class_[0].need == 0.75
    assert got.field[0].rank_by == "monthly"
    told = module.module_settings(got)
    assert told.classes[0].minimum_weight == 0.75
    assert told.cell_count == 12
    assert not told.polls_endpoint_list


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [  # @ stands just before the place that the error must name
        ("(cells 12)", "@(celsl 12)", "broker > layout > celsl: unknown key; did you mean cells?"),
        ("(cells 12)", "(cells @twelve)", "expected a whole number >= 1 and <= 1e+06, found twelve"),
        ("(cells 12)", "(cells @0)", "broker > layout > cells: expected a whole number >= 1"),
        ("(layout (shards 24) (cells 12)", "@(layout (shards 24) (cells 3)", "reach 4 must not exceed cells 3"),
        ("(cells 12)", "(cells 12) @(cells 12)", "given twice, first in line 4"),
        ("(layout (shards 24) ", "@(layout ", "broker > layout: shards is missing"),
        ("(need 0.75)", "(need @1.5)", "broker > class compare > need: expected a number > 0 and <= 1"),
        ("(need 0.75)", "(effect @often)", "expected one of safe, keyed, unsafe"),
        ("(need 0.75)", "(need @1e999)", "a number too large"),
        ("(need 0.75)", "(need @(a b))", "found a list"),
        ("(cells 12)", f"(cells @{'9' * 5000})", "a number longer than 400 characters"),
        ("(need 0.75)", "@(need 0.1 0.2)", "expected one value, found 2"),
        ("(need 0.75)", "@need", "expected (key value ...)"),
        ("(rank-by monthly)))\n", "(rank-by monthly))\n@", "the file ends inside a list"),
        ("(rank-by monthly)))", "(rank-by monthly)))@)", "is not expected here"),
        ('"schema.graphql"', '@"schema.graphql', "a string without its end"),
        ("(broker", "@(braker", "expected (broker ...)"),
    ],
)
def test_what_is_wrong_is_named_with_its_place(old, new, says):
    assert old in GOOD
    check_place(replaced(GOOD, old, new), says)


def check_place(marked, says):
    """A text is refused with these words, at the place before which @ stands."""
    before = marked[: marked.index("@")]
    line, column = before.count("\n") + 1, len(before) - before.rfind("\n")
    with pytest.raises(sexpr.SettingsError) as caught:
        reading.parse(marked.replace("@", ""), "x.conf")
    assert says in str(caught.value)
    assert str(caught.value).startswith(f"x.conf:{line}:{column}: "), str(caught.value)


def test_a_field_of_an_unknown_class_is_named():
    with pytest.raises(sexpr.SettingsError, match="rateCompare has class other, which is none of compare"):
        reading.parse(replaced(GOOD, "(class compare) (blocks", "(class other) (blocks"), "x.conf")


FEED = """
  (feed (public-key "feed.pub") (region north) (configuration "configuration/brokers") (list true)
    (relay one (region north) (address "127.0.0.1:7970"))
    (relay two (region south) (address "127.0.0.1:7971"))))
"""
WITH_FEED = GOOD.rstrip().removesuffix(")") + FEED


def test_a_feed_is_off_unless_it_is_set():
    assert reading.parse(GOOD, "x.conf").feed is None
    got = reading.parse(WITH_FEED, "x.conf").feed
    assert got.configuration == "configuration/brokers"
    assert [r.name for r in got.relay] == ["one", "two"]
    without = replaced(WITH_FEED, '(configuration "configuration/brokers")', "")
    assert reading.parse(without, "x.conf").feed.configuration == "configuration/broker"
    assert got.list
    assert not reading.parse(replaced(WITH_FEED, "(list true)", ""), "x.conf").feed.list
    shown = decode.show(reading.parse(WITH_FEED, "x.conf"))
    assert reading.parse(f"(broker\n{shown}\n)", "shown").feed == got


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ("(public-key", "@(public-kay", "broker > feed > public-kay: unknown key; did you mean public-key?"),
        ('(feed (public-key "feed.pub")', "@(feed", "broker > feed: public-key is missing"),
        ('(feed (public-key "feed.pub") (region north)', '@(feed (public-key "f")', "broker > feed: region is missing"),
        ("(list true)", "(list @yes)", "broker > feed > list: expected true or false, found yes"),
        ('"configuration/brokers"', "@7", "broker > feed > configuration: expected a text"),
        (
            '(feed (public-key "feed.pub") (region north) (configuration "configuration/brokers")',
            '@(feed (public-key "feed.pub") (region north) (configuration "brokers")',
            "is not configuration/NAME",
        ),
        ('(relay two (region south) (address "127.0.0.1:7971"))', "@(relay two (region south))", "address is missing"),
        (
            '(relay two (region south) (address "127.0.0.1:7971")',
            '@(relay two (region south) (address "7971")',
            "broker > feed > relay two: address 7971 is not HOST:PORT",
        ),
    ],
)
def test_what_is_wrong_with_a_feed_is_named_with_its_place(old, new, says):
    assert old in WITH_FEED
    check_place(replaced(WITH_FEED, old, new), says)


def test_a_feed_needs_relays_with_names_of_their_own():
    first = WITH_FEED.index("(feed")
    twice = replaced(WITH_FEED, "(relay two", "(relay one")
    check_place(f"{twice[:first]}@{twice[first:]}", "broker > feed: two relays are named one")
    none = GOOD.rstrip().removesuffix(")") + '\n @(feed (public-key "feed.pub") (region north)))'
    check_place(none, "broker > feed: relay is missing")


def test_what_is_shown_can_be_read_back():
    got = reading.parse(GOOD, "x.conf")
    assert reading.parse(f"(broker\n{decode.show(got)}\n)", "shown") == got


def test_a_missing_file_is_an_error_of_its_own(tmp_path):
    with pytest.raises(sexpr.SettingsError, match="cannot be read"):
        reading.load(tmp_path / "none.conf")


def test_deep_nesting_is_refused_before_it_is_walked():
    with pytest.raises(sexpr.SettingsError, match="nested deeper"):
        sexpr.read("(" * 100_000, "deep")


@given(st.text(alphabet=string.printable + "é\u2028", max_size=80))
def test_any_text_is_read_or_refused_with_a_place(text):
    try:
        sexpr.read(text, "any")
    except sexpr.SettingsError as err:
        assert err.line >= 1
        assert err.column >= 1


whole, real = st.integers(-(10**9), 10**9), st.floats(allow_nan=False, allow_infinity=False)
atoms = st.one_of(whole, real, st.text(max_size=20))


@given(st.recursive(atoms, lambda inner: st.lists(inner, max_size=4), max_leaves=20))
def test_what_is_written_is_read_back(tree):
    def write(node):
        if isinstance(node, list):
            return "(" + " ".join(map(write, node)) + ")"
        return decode._text(node)

    def strip(item):
        return [strip(i) for i in item.items] if isinstance(item, sexpr.Form) else item.value

    (item,) = sexpr.read(write(tree), "w")
    assert strip(item) == tree
