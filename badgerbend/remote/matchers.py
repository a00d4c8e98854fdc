"""Which series a query asks for: equality and anchored RE2 expressions on labels; a missing label is an empty one.

RE2 takes time in proportion to its input whatever the expression, so there is none that hangs; what remains is the room
that an expression takes, which has a limit.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import re2

EQ, NEQ, RE, NRE = range(4)
MOST_PATTERN = 4096  # characters
MOST_MEMORY = 1 << 20  # bytes that RE2 may take for one expression
SPECIAL = frozenset(r"\.+*?()[]{}^$")


class BadMatcher(ValueError):
    """A matcher that cannot be served, in words for the client."""


@dataclass(frozen=True, slots=True)
class Matcher:
    """One condition on one label."""

    kind: int
    name: str
    value: str
    pattern: Any = field(default=None, compare=False, repr=False)

    def fits(self, labels: Mapping[str, str]) -> bool:
        have = labels.get(self.name, "")
        if self.kind in (EQ, NEQ):
            return (have == self.value) == (self.kind == EQ)
        return (self.pattern.fullmatch(have) is not None) == (self.kind == RE)

    def values(self) -> frozenset[str] | None:
        """The only values that fit, where they can be named: of an equality, or of literals beside each other."""
        if self.kind == EQ:
            return frozenset((self.value,))
        if self.kind == RE and not SPECIAL & set(self.value):
            return frozenset(self.value.split("|"))
        return None


def matcher(kind: int, name: str, value: str) -> Matcher:
    """A checked matcher. Raises BadMatcher."""
    if not name:
        raise BadMatcher("a matcher without a label's name")
    if kind in (EQ, NEQ):
        return Matcher(kind, name, value)
    if kind not in (RE, NRE):
        raise BadMatcher(f"matcher type {kind} on {name} is none of = != =~ !~")
    if len(value) > MOST_PATTERN:
        raise BadMatcher(f"the expression on {name} has {len(value)} characters, {MOST_PATTERN} are allowed")
    options = re2.Options()
    options.max_mem, options.dot_nl, options.log_errors, options.never_capture = MOST_MEMORY, True, False, True
    try:
        return Matcher(kind, name, value, re2.compile(value, options))
    except re2.error as err:
        said = err.args[0].decode("utf-8", "replace") if isinstance(err.args[0], bytes) else str(err)
        raise BadMatcher(f"the expression on {name}: {said}") from err


def fit(matchers: list[Matcher], labels: Mapping[str, str]) -> bool:
    """Whether a series is asked for."""
    return all(m.fits(labels) for m in matchers)
