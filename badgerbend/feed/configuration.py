"""The active configuration of one process: validated when it arrives, activated between two turns of the loop. Pure.

Work that began under a configuration ends under it: it holds its generation until it is done.
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


@dataclass(frozen=True, slots=True)
class RejectedConfiguration:
    """The revision of a configuration that cannot be used, and why."""

    revision: int
    reason: str


class ActiveConfiguration(Generic[Settings]):
    """The generation in use. `read` makes settings of bytes and raises UnusableConfigurationError."""

    def __init__(self, read: Callable[[bytes], Settings], first: Settings) -> None:
        self.read = read
        self.current = Generation(0, first)
        self.rejected: RejectedConfiguration | None = None  # the newest configuration, if it cannot be used
        self._staged: Generation[Settings] | None = None

    def stage(self, revision: int, data: bytes) -> str:
        """Validate a configuration for the next `activate`; return what is wrong with it, or nothing."""
        try:
            settings = self.read(data)
        except UnusableConfigurationError as error:
            self.rejected = RejectedConfiguration(revision, str(error))
            return str(error)
        self.rejected = None
        self._staged = Generation(revision, settings)
        return ""

    def activate(self) -> bool:
        """Use what was staged, between two turns of the loop; whether there was anything."""
        if self._staged is None:
            return False
        self.current = self._staged
        self._staged = None
        return True
