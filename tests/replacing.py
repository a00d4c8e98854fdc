"""Replaces attributes and pieces of text for tests, and fails if the original is not there."""

from __future__ import annotations

from typing import Any, TypeVar

Text = TypeVar("Text", str, bytes)


class NothingToReplaceError(AssertionError):
    """The original is missing, or does not occur as often as the test expects."""


def replace_attribute(owner: object, name: str, value: Any) -> None:
    """Replace an existing attribute of the owner. Raises NothingToReplaceError.

    The old value is not restored, so this is for objects of the test itself or where `monkeypatch` is not available.
    """
    if not hasattr(owner, name):
        raise NothingToReplaceError(f"{type(owner).__name__} has no {name}")
    setattr(owner, name, value)


def replaced(text: Text, old: Text, new: Text, times: int = 1) -> Text:
    """Return the text with all of the `times` occurrences of `old` replaced. Raises NothingToReplaceError."""
    count = text.count(old)
    if count != times:
        raise NothingToReplaceError(f"{old!r} occurs {count} times in the text, not {times}")
    return text.replace(old, new)
