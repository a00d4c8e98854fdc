"""Replacements that fail when what they replace is not there: of an attribute, and of a piece of text."""

from __future__ import annotations

from typing import Any, TypeVar

Text = TypeVar("Text", str, bytes)


class NothingToReplaceError(AssertionError):
    """What a test replaces is not there, or not as often as the test says."""


def replace_attribute(owner: object, name: str, value: Any) -> None:
    """Put a value in the place of an attribute that the owner has; for the test's own objects, or where no
    `monkeypatch` is at hand, as it is not put back. Raises NothingToReplaceError."""
    if not hasattr(owner, name):
        raise NothingToReplaceError(f"{type(owner).__name__} has no {name}")
    setattr(owner, name, value)


def replaced(text: Text, old: Text, new: Text, times: int = 1) -> Text:
    """Give the text with `old`, which it has so many times, replaced. Raises NothingToReplaceError."""
    found = text.count(old)
    if found != times:
        raise NothingToReplaceError(f"{old!r} stands {found} times in the text, not {times}")
    return text.replace(old, new)
