"""The active configuration of one process.

A configuration is validated when it is received and activated between two iterations of the event loop. Work that has
started under a configuration also finishes under it, because it keeps a reference to its generation. This module does
no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

Settings = TypeVar("Settings")


class UnusableConfigurationError(Exception):
    """Raised for a configuration that this process cannot use; the text names the line and the field."""


@dataclass(frozen=True, slots=True, eq=False)
class Generation(Generic[Settings]):
    """Settings and the revision of the feed that contained them."""

    revision: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class RejectedConfiguration:
    """The revision of a configuration that cannot be used, and why."""

    revision: int
    reason: str


class ActiveConfiguration(Generic[Settings]):
    """The generation in use. `read` decodes settings from bytes and may raise UnusableConfigurationError."""

    def __init__(self, read: Callable[[bytes], Settings], first: Settings) -> None:
        self.read = read
        self.current = Generation(0, first)
        self.rejected: RejectedConfiguration | None = None  # set while the newest configuration cannot be used
        self._staged: Generation[Settings] | None = None

    def stage(self, revision: int, data: bytes) -> str:
        """Validate a configuration for the next `activate`. Returns the error text, or an empty string."""
        try:
            settings = self.read(data)
        except UnusableConfigurationError as error:
            self.rejected = RejectedConfiguration(revision, str(error))
            return str(error)
        self.rejected = None
        self._staged = Generation(revision, settings)
        return ""

    def activate(self) -> bool:
        """Make the staged configuration the current one. Returns whether a configuration was staged."""
        if self._staged is None:
            return False
        self.current = self._staged
        self._staged = None
        return True
