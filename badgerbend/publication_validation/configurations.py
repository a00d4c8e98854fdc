"""Validation of published configurations; errors name the line and the field."""

from __future__ import annotations

from badgerbend.config.feed import CONFIGURATION_PREFIX
from badgerbend.config.reading import parse
from badgerbend.config.sexpr import SettingsError
from badgerbend.feed.messages import Change


def validate_configuration(change: Change) -> str:
    """Return what is wrong with a published configuration, with line and field, or an empty string.

    Only keys under CONFIGURATION_PREFIX are validated. Each value is a settings text `(broker ...)`. A running broker
    decides itself whether it can use a valid configuration. This is a `feed.publisher.ChangeCheck`.
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
