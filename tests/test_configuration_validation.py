"""The publisher rejects an invalid configuration before any broker receives it, and names the line and field."""

import pytest

from badgerbend.feed.messages import Change
from badgerbend.publication_validation.configurations import validate_configuration
from tests.feed_harness import Control, FeedHarness, change
from tests.replacing import replaced
from tests.test_settings import GOOD

KEY = "configuration/broker"


def new_validating_harness():
    control = Control(check=validate_configuration)
    control.grant()
    harness = FeedHarness(control)
    harness.follower("f")
    return harness


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        (
            "(deadline-ms 4000)",
            "(deadline-ms soon)",
            f"{KEY}:5:45: broker > class compare > deadline-ms: expected a number > 0, found soon",
        ),
        ("(need 0.75)", "(need 1.5)", f"{KEY}:5:57: broker > class compare > need: expected a number > 0 and <= 1"),
        ("(cells 12)", "(cells 3)", f"{KEY}:4:3: broker > layout: reach 4 must not exceed cells 3"),
        ("(cells 12)", f"(cells {'9' * 5000})", f"{KEY}:4:30: a number longer than 400 characters"),
        ("(rank-by monthly)))", "(rank-by monthly))", f"{KEY}:7:1: the file ends inside a list"),
    ],
)
def test_an_invalid_configuration_is_rejected_by_line_and_field_before_any_broker_receives_it(old, new, reason):
    assert old in GOOD
    harness = new_validating_harness()
    harness.publish(change(KEY, GOOD))
    (problem,) = harness.publish(change("node/1", "ready"), change(KEY, replaced(GOOD, old, new)))
    assert problem.key == KEY, problem.reason
    assert problem.reason.startswith(reason), problem.reason
    harness.pass_time(5.0)
    assert harness.control.machine.log.revision == 1
    assert len(harness.installed["f"]) == 1
    assert harness.followers["f"].log.content.get(KEY) == GOOD.encode()
    assert harness.followers["f"].log.content.get("node/1") is None  # a batch is published completely or not at all


def test_bytes_that_are_not_utf_8_are_rejected():
    assert validate_configuration(Change(KEY, b"(broker \xff)")) == f"{KEY}: not UTF-8 at byte 8"


def test_removals_and_other_keys_are_not_validated():
    assert validate_configuration(Change(KEY, None)) == ""
    assert validate_configuration(Change("node/1", b"(broker")) == ""
    assert validate_configuration(Change("configuration", b"(broker")) == ""
