"""The errors of a voter's store."""

from __future__ import annotations

from pathlib import Path

REPLACE_VOTER = (
    "remove this voter from the others (badgerbend voters remove) and add it under a new name, in a new folder"
)


class StoreError(Exception):
    """A store cannot be used. The message is one line.

    path: the affected file or folder. problem: what is wrong. remedy: what an operator should do, or empty if the
    problem makes it obvious.
    """

    def __init__(self, path: Path, problem: str, remedy: str = "") -> None:
        super().__init__(f"{path}: {problem}; {remedy}" if remedy else f"{path}: {problem}")
        self.path = path
        self.problem = problem
        self.remedy = remedy


class StoreExistsError(StoreError):
    """The folder in which a store should be created is not empty."""

    def __init__(self, path: Path) -> None:
        super().__init__(path, "not empty", "a voter's store is made once, in a folder of its own")


class StoreMissingError(StoreError):
    """The folder, or a file that every store has, is missing."""


class StoreLockedError(StoreError):
    """Another process has the store open."""

    def __init__(self, path: Path) -> None:
        super().__init__(path, "another process has the store open", "stop that process first")


class StoreOwnerError(StoreError):
    """The store belongs to another voter. owner: the voter it belongs to. expected: the voter that opened it."""

    def __init__(self, path: Path, owner: str, expected: str) -> None:
        super().__init__(path, f"the store belongs to voter {owner}, but this voter is {expected}")
        self.owner = owner
        self.expected = expected


class StoreVersionError(StoreError):
    """A file has the format of another version of the program; it is left unchanged.

    found: the format version of the file. supported: the version that this program reads.
    """

    def __init__(self, path: Path, found: int, supported: int) -> None:
        super().__init__(
            path, f"format version {found}, this program reads {supported}", "start the program version that wrote it"
        )
        self.found = found
        self.supported = supported


class StoreDamagedError(StoreError):
    """A file does not contain the data that was acknowledged, so the voter may have forgotten a promise."""

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(path, problem, REPLACE_VOTER)


class StoreStoppedError(OSError):
    """The store rejects writes because an earlier write or sync failed.

    path: the segment that was written. reason: the system's message for that failure.
    """

    def __init__(self, path: Path, failure: OSError) -> None:
        super().__init__(f"writing stopped after a failure on {path}: {failure.strerror}")
        self.path = path
        self.reason = failure.strerror
