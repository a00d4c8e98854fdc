"""Label matchers of a query: equality and anchored RE2 expressions. A missing label counts as an empty one.

RE2 matches in time linear in its input whatever the expression, so no expression can hang the broker. The memory that
an expression needs is limited.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import re2

EQ, NEQ, RE, NRE = range(4)
MAX_PATTERN_CHARACTERS = 4096
MAX_PATTERN_MEMORY = 1 << 20  # bytes that RE2 may use for one expression
SPECIAL_CHARACTERS = frozenset(r"\.+*?()[]{}^$")


class BadMatcher(ValueError):
    """A matcher is invalid; the message is sent to the client."""


@dataclass(frozen=True, slots=True)
class Matcher:
    """A condition on the value of one label."""

    kind: int
    name: str
    value: str
    pattern: Any = field(default=None, compare=False, repr=False)

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Whether a series with these labels satisfies the condition."""
        label_value = labels.get(self.name, "")
        if self.kind in (EQ, NEQ):
            return (label_value == self.value) == (self.kind == EQ)
        return (self.pattern.fullmatch(label_value) is not None) == (self.kind == RE)

    def values(self) -> frozenset[str] | None:
        """All values that match, for an equality or an alternation of literals; None if they cannot be listed."""
        if self.kind == EQ:
            return frozenset((self.value,))
        if self.kind == RE and not SPECIAL_CHARACTERS & set(self.value):
            return frozenset(self.value.split("|"))
        return None


def compile_matcher(kind: int, name: str, value: str) -> Matcher:
    """Validates a matcher and compiles its expression. Raises BadMatcher."""
    if not name:
        raise BadMatcher("a matcher without a label's name")
    if kind in (EQ, NEQ):
        return Matcher(kind, name, value)
    if kind not in (RE, NRE):
        raise BadMatcher(f"matcher type {kind} on {name} is none of = != =~ !~")
    if len(value) > MAX_PATTERN_CHARACTERS:
        raise BadMatcher(f"the expression on {name} has {len(value)} characters, {MAX_PATTERN_CHARACTERS} are allowed")
    options = re2.Options()
    options.max_mem, options.dot_nl, options.log_errors, options.never_capture = MAX_PATTERN_MEMORY, True, False, True
    try:
        return Matcher(kind, name, value, re2.compile(value, options))
    except re2.error as err:
        message = err.args[0].decode("utf-8", "replace") if isinstance(err.args[0], bytes) else str(err)
        raise BadMatcher(f"the expression on {name}: {message}") from err


def match_all(matchers: list[Matcher], labels: Mapping[str, str]) -> bool:
    """Whether a series with these labels satisfies all matchers."""
    return all(m.matches(labels) for m in matchers)
