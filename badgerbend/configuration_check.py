"""The publisher's check of configurations: what is wrong with one, by line and field, before any broker gets it."""

from __future__ import annotations

from badgerbend.config.feed import CONFIGURATION_PREFIX
from badgerbend.config.reading import parse
from badgerbend.config.sexpr import SettingsError
from badgerbend.feed.messages import Change


def check_configuration(change: Change) -> str:
    """What is wrong with a change of the feed, or nothing: the `check` of a `feed.publisher.Publisher`.

    It judges values of keys under CONFIGURATION_PREFIX, each a settings text `(broker ...)`. Whether a broker that
    runs can use one is for that broker to say.
    """
    if not change.key.startswith(CONFIGURATION_PREFIX) or change.value is None:
        return ""
    try:
        parse(change.value.decode(), change.key)
    except UnicodeDecodeError as error:
        return f"{change.key}: not UTF-8 at byte {error.start}"
    except SettingsError as error:
        return str(error)
    return ""
