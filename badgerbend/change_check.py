"""The publisher's check of all that it publishes: configurations by line and field, rows of servers by field."""

from __future__ import annotations

import msgspec

from badgerbend.config.feed import NODE_PREFIX
from badgerbend.configuration_check import check_configuration
from badgerbend.discovery.directory import NO_ROW
from badgerbend.discovery.keyed import entry
from badgerbend.feed.messages import Change


def check_change(change: Change) -> str:
    """What is wrong with a change of the feed, or nothing: the `check` of a `feed.publisher.Publisher`."""
    return check_node(change) or check_configuration(change)


def check_node(change: Change) -> str:
    """What is wrong with a server's row, or nothing. Whether its cell is one of the layout's is for brokers to say."""
    if not change.key.startswith(NODE_PREFIX) or change.value is None:
        return ""
    name = change.key.removeprefix(NODE_PREFIX)
    if not name:
        return f"{change.key}: a server needs a name"
    try:
        entry((name, msgspec.json.decode(change.value)))
    except NO_ROW as error:
        return f"{change.key}: {error}"
    return ""
