"""Validation of all kinds of published changes: configurations with line and field, endpoints with the field."""

from __future__ import annotations

import msgspec

from badgerbend.config.feed import NODE_PREFIX
from badgerbend.discovery.directory import ROW_ERRORS
from badgerbend.discovery.keyed import parse_row
from badgerbend.feed.messages import Change
from badgerbend.publication_validation.configurations import validate_configuration


def validate_change(change: Change) -> str:
    """Return the reason to reject a change, or an empty string. This is a `feed.publisher.ChangeCheck`."""
    return validate_endpoint(change) or validate_configuration(change)


def validate_endpoint(change: Change) -> str:
    """Return what is wrong with the endpoint list's entry of a server, or an empty string.

    Brokers decide whether the server's cell belongs to the layout.
    """
    if not change.key.startswith(NODE_PREFIX) or change.value is None:
        return ""
    name = change.key.removeprefix(NODE_PREFIX)
    if not name:
        return f"{change.key}: a server needs a name"
    try:
        parse_row((name, msgspec.json.decode(change.value)))
    except ROW_ERRORS as error:
        return f"{change.key}: {error}"
    return ""
