"""The configuration in force in one process: checked when it comes, put in force between two turns of the loop. Pure.

What has begun under a configuration ends under it: it holds its generation until it is done.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

Settings = TypeVar("Settings")


class UnusableConfigurationError(Exception):
    """A configuration that this process cannot use; the text names the line and the field."""


@dataclass(frozen=True, slots=True, eq=False)
class Generation(Generic[Settings]):
    """Settings and the revision of the feed that brought them."""

    revision: int
    settings: Settings


class ActiveConfiguration(Generic[Settings]):
    """`read` makes settings of a configuration's bytes and raises UnusableConfiguration."""

    def __init__(self, read: Callable[[bytes], Settings], first: Settings) -> None:
        self.read = read
        self.current = Generation(0, first)
        self.rejected: tuple[int, str] | None = None  # the last revision that was not usable, and why
        self._next: Generation[Settings] | None = None

    def stage(self, revision: int, data: bytes) -> str:
        """Checks a configuration; what is wrong with it, or nothing. It is in force after the next `activate`."""
        try:
            settings = self.read(data)
        except UnusableConfigurationError as error:
            self.rejected = (revision, str(error))
            return str(error)
        self.rejected = None
        self._next = Generation(revision, settings)
        return ""

    def activate(self) -> bool:
        """Between two turns of the loop: whether another generation is in force now."""
        if self._next is None:
            return False
        self.current, self._next = self._next, None
        return True
