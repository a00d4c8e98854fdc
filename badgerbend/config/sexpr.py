"""Parses S-expressions and keeps the position of every item, so that errors can state it. Lark does the parsing."""

from __future__ import annotations

from dataclasses import dataclass

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken

GRAMMAR = r"""
start: item*
?item: list | atom
list: "(" item* ")"
atom: STRING | NUMBER | SYMBOL
STRING: /"(\\.|[^"\\])*"/
NUMBER.2: /[+-]?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?(?=[\s();"]|$)/
SYMBOL: /[^\s();"]+/
COMMENT: /;[^\n]*/
%ignore COMMENT
%ignore /\s+/
"""
MAX_CHARACTERS = 4 << 20
MAX_DEPTH = 64
MAX_NUMBER_CHARACTERS = 400  # Python refuses to convert integers of several thousand digits


class SettingsError(Exception):
    """A settings file is invalid; the message states file, line, column, path and what was expected."""

    def __init__(self, file: str, line: int, column: int, path: str, problem: str) -> None:
        where = f"{file}:{line}:{column}"
        super().__init__(f"{where}: {path}: {problem}" if path else f"{where}: {problem}")
        self.file, self.line, self.column, self.path, self.problem = file, line, column, path, problem


@dataclass(frozen=True, slots=True)
class Symbol:
    """A word without quotes."""

    name: str


Value = str | int | float | Symbol


@dataclass(frozen=True, slots=True)
class Atom:
    """A string, number or symbol with its position."""

    value: Value
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Form:
    """A parenthesised list with the position of its opening bracket."""

    items: tuple[Item, ...]
    line: int
    column: int


Item = Atom | Form

_PARSER = Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)
_ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\"}


def read(text: str, file: str) -> tuple[Item, ...]:
    """All top-level items of a text. Raises SettingsError with the position of the first item that is invalid."""
    if len(text) > MAX_CHARACTERS:
        raise SettingsError(file, 1, 1, "", f"longer than {MAX_CHARACTERS} characters")
    _check_depth(text, file)
    try:
        tree = _PARSER.parse(text)
    except UnexpectedEOF as err:
        raise SettingsError(file, *_end(text), "", "the file ends inside a list") from err
    except UnexpectedToken as err:
        if err.token.type == "$END":
            raise SettingsError(file, *_end(text), "", "the file ends inside a list") from err
        raise SettingsError(file, err.line, err.column, "", f"{str(err.token)!r} is not expected here") from err
    except UnexpectedCharacters as err:
        problem = "a string without its end" if text[err.pos_in_stream or 0] == '"' else "not readable"
        raise SettingsError(file, err.line, err.column, "", problem) from err
    except UnexpectedInput as err:  # pragma: no cover - lark raises no other subclass today
        raise SettingsError(file, err.line, err.column, "", "not readable") from err
    return tuple(_item(child, file) for child in tree.children)


def _end(text: str) -> tuple[int, int]:
    return text.count("\n") + 1, len(text) - text.rfind("\n")


def _check_depth(text: str, file: str) -> None:
    """Rejects deep nesting before the recursive conversion.

    Brackets in strings and comments are counted too, so that a text may be rejected although its nesting is allowed.
    """
    depth = 0
    for number, line in enumerate(text.split("\n"), 1):
        for column, char in enumerate(line, 1):
            depth += (char == "(") - (char == ")")
            if depth > MAX_DEPTH:
                raise SettingsError(file, number, column, "", f"lists nested deeper than {MAX_DEPTH}")


def _item(node: Tree[Token] | Token, file: str) -> Item:
    assert isinstance(node, Tree)
    if node.data == "list":
        return Form(tuple(_item(c, file) for c in node.children), node.meta.line, node.meta.column)
    token = node.children[0]
    assert isinstance(token, Token)
    line, column = token.line or 1, token.column or 1
    return Atom(_value(token, file, line, column), line, column)


def _value(token: Token, file: str, line: int, column: int) -> Value:
    if token.type == "STRING":
        characters, escaped = [], False
        for char in token[1:-1]:
            if escaped:
                if char not in _ESCAPES:
                    raise SettingsError(file, line, column, "", f"unknown escape \\{char} in a string")
                characters.append(_ESCAPES[char])
            elif char != "\\":
                characters.append(char)
            escaped = char == "\\" and not escaped
        return "".join(characters)
    if token.type == "NUMBER":
        text = str(token)
        if len(text) > MAX_NUMBER_CHARACTERS:
            raise SettingsError(file, line, column, "", f"a number longer than {MAX_NUMBER_CHARACTERS} characters")
        return int(text) if text.lstrip("+-").isdigit() else float(text)
    return Symbol(str(token))
