"""Why a voter's store cannot be used."""

from __future__ import annotations

from pathlib import Path

REPLACE_VOTER = (
    "remove this voter from the others (badgerbend voters remove) and add it under a new name, in a new folder"
)


class StoreError(Exception):
    """A store cannot be used. Its text is one line.

    path: the file or folder concerned. problem: what is wrong. remedy: what an operator should do; empty where the
    problem says it.
    """

    def __init__(self, path: Path, problem: str, remedy: str = "") -> None:
        super().__init__(f"{path}: {problem}; {remedy}" if remedy else f"{path}: {problem}")
        self.path = path
        self.problem = problem
        self.remedy = remedy


class StoreExistsError(StoreError):
    """A store is to be created in a folder that is not empty."""

    def __init__(self, path: Path) -> None:
        super().__init__(path, "not empty", "a voter's store is made once, in a folder of its own")


class StoreMissingError(StoreError):
    """The folder, or a file that every store has, is not there."""


class StoreLockedError(StoreError):
    """Another process has the store open."""

    def __init__(self, path: Path) -> None:
        super().__init__(path, "another process has it open", "end that one first")


class StoreOwnerError(StoreError):
    """The store was made for another voter. owner: whom it was made for. expected: who opened it."""

    def __init__(self, path: Path, owner: str, expected: str) -> None:
        super().__init__(path, f"the store of {owner}, and this is {expected}")
        self.owner = owner
        self.expected = expected


class StoreVersionError(StoreError):
    """A file was written by another version of the program, and is left as it is.

    found: the version that the file states. supported: the one that this program reads.
    """

    def __init__(self, path: Path, found: int, supported: int) -> None:
        super().__init__(path, f"version {found}, this reads {supported}", "start the program that wrote it")
        self.found = found
        self.supported = supported


class StoreDamagedError(StoreError):
    """A file does not hold what was acknowledged, so that the voter may have forgotten a promise."""

    def __init__(self, path: Path, problem: str) -> None:
        super().__init__(path, problem, REPLACE_VOTER)


class StoreStoppedError(OSError):
    """Nothing more is written to a store after a write or a sync that failed.

    path: the segment concerned. reason: what the system said of the failure.
    """

    def __init__(self, path: Path, failure: OSError) -> None:
        super().__init__(f"nothing more is written after {path}: {failure.strerror}")
        self.path = path
        self.reason = failure.strerror
