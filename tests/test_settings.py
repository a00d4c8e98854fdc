"""Parsing of settings: valid files are decoded, and errors state file, line, column and path."""

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


def test_a_valid_file_is_parsed_with_its_defaults():
    parsed = reading.parse(GOOD, "x.conf")
    assert parsed.layout == settings.Layout(24, 12, 4)
    assert parsed.class_[0].need == 0.75
    assert parsed.field[0].rank_by == "monthly"
    module_settings = module.module_settings(parsed)
    assert module_settings.classes[0].minimum_weight == 0.75
    assert module_settings.cell_count == 12
    assert not module_settings.polls_endpoint_list


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [  # "@" marks the position that the error must state
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
def test_an_error_states_position_and_path(old, new, message):
    assert old in GOOD
    check_error(replaced(GOOD, old, new), message)


def check_error(marked, message):
    """Checks that a text is rejected with this message at the position marked by "@"."""
    before = marked[: marked.index("@")]
    line, column = before.count("\n") + 1, len(before) - before.rfind("\n")
    with pytest.raises(sexpr.SettingsError) as raised:
        reading.parse(marked.replace("@", ""), "x.conf")
    assert message in str(raised.value)
    assert str(raised.value).startswith(f"x.conf:{line}:{column}: "), str(raised.value)


def test_the_error_for_an_unknown_class_names_the_field():
    with pytest.raises(sexpr.SettingsError, match="rateCompare has class other, which is none of compare"):
        reading.parse(replaced(GOOD, "(class compare) (blocks", "(class other) (blocks"), "x.conf")


FEED = """
  (feed (public-key "feed.pub") (region north) (configuration "configuration/brokers") (list true)
    (relay one (region north) (address "127.0.0.1:7970"))
    (relay two (region south) (address "127.0.0.1:7971"))))
"""
WITH_FEED = GOOD.rstrip().removesuffix(")") + FEED


def test_a_feed_is_followed_only_if_it_is_set():
    assert reading.parse(GOOD, "x.conf").feed is None
    parsed = reading.parse(WITH_FEED, "x.conf").feed
    assert parsed.configuration == "configuration/brokers"
    assert [r.name for r in parsed.relay] == ["one", "two"]
    without = replaced(WITH_FEED, '(configuration "configuration/brokers")', "")
    assert reading.parse(without, "x.conf").feed.configuration == "configuration/broker"
    assert parsed.list
    assert not reading.parse(replaced(WITH_FEED, "(list true)", ""), "x.conf").feed.list
    shown = decode.show(reading.parse(WITH_FEED, "x.conf"))
    assert reading.parse(f"(broker\n{shown}\n)", "shown").feed == parsed


@pytest.mark.parametrize(
    ("old", "new", "message"),
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
def test_an_error_in_a_feed_states_position_and_path(old, new, message):
    assert old in WITH_FEED
    check_error(replaced(WITH_FEED, old, new), message)


def test_a_feed_needs_relays_with_distinct_names():
    first = WITH_FEED.index("(feed")
    duplicated = replaced(WITH_FEED, "(relay two", "(relay one")
    check_error(f"{duplicated[:first]}@{duplicated[first:]}", "broker > feed: two relays are named one")
    no_relays = GOOD.rstrip().removesuffix(")") + '\n @(feed (public-key "feed.pub") (region north)))'
    check_error(no_relays, "broker > feed: relay is missing")


def test_printed_settings_can_be_parsed():
    parsed = reading.parse(GOOD, "x.conf")
    assert reading.parse(f"(broker\n{decode.show(parsed)}\n)", "shown") == parsed


def test_a_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(sexpr.SettingsError, match="cannot be read"):
        reading.load(tmp_path / "none.conf")


def test_deep_nesting_is_rejected_without_recursion():
    with pytest.raises(sexpr.SettingsError, match="nested deeper"):
        sexpr.read("(" * 100_000, "deep")


@given(st.text(alphabet=string.printable + "é\u2028", max_size=80))
def test_any_text_is_parsed_or_rejected_with_a_position(text):
    try:
        sexpr.read(text, "any")
    except sexpr.SettingsError as err:
        assert err.line >= 1
        assert err.column >= 1


whole, real = st.integers(-(10**9), 10**9), st.floats(allow_nan=False, allow_infinity=False)
atoms = st.one_of(whole, real, st.text(max_size=20))


@given(st.recursive(atoms, lambda inner: st.lists(inner, max_size=4), max_leaves=20))
def test_written_items_can_be_parsed(tree):
    def write(node):
        if isinstance(node, list):
            return "(" + " ".join(map(write, node)) + ")"
        return decode._text(node)

    def strip(item):
        return [strip(i) for i in item.items] if isinstance(item, sexpr.Form) else item.value

    (item,) = sexpr.read(write(tree), "w")
    assert strip(item) == tree
