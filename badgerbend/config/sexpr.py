"""S-expressions with the place of every item, so that an error can name it. The grammar is lark's work."""

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
MOST_BYTES = 4 << 20
MOST_DEPTH = 64
MOST_DIGITS = 400  # characters of a number; Python refuses to convert whole numbers of some thousands


class SettingsError(Exception):
    """A settings file is wrong; the text names file, line, column, path and what was expected."""

    def __init__(self, file: str, line: int, column: int, path: str, problem: str) -> None:
        where = f"{file}:{line}:{column}"
        super().__init__(f"{where}: {path}: {problem}" if path else f"{where}: {problem}")
        self.file, self.line, self.column, self.path, self.problem = file, line, column, path, problem


@dataclass(frozen=True, slots=True)
class Symbol:
    name: str


Value = str | int | float | Symbol


@dataclass(frozen=True, slots=True)
class Atom:
    value: Value
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Form:
    """A parenthesised list."""

    items: tuple[Item, ...]
    line: int
    column: int


Item = Atom | Form

_PARSER = Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)
_ESCAPES = {"n": "\n", "t": "\t", '"': '"', "\\": "\\"}


def read(text: str, file: str) -> tuple[Item, ...]:
    """All items of a text. Raises SettingsError with the place of the first thing that cannot be read."""
    if len(text) > MOST_BYTES:
        raise SettingsError(file, 1, 1, "", f"longer than {MOST_BYTES} characters")
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
        what = "a string without its end" if text[err.pos_in_stream or 0] == '"' else "not readable"
        raise SettingsError(file, err.line, err.column, "", what) from err
    except UnexpectedInput as err:  # pragma: no cover - lark has no others today
        raise SettingsError(file, err.line, err.column, "", "not readable") from err
    return tuple(_item(child, file) for child in tree.children)


def _end(text: str) -> tuple[int, int]:
    return text.count("\n") + 1, len(text) - text.rfind("\n")


def _check_depth(text: str, file: str) -> None:
    """Refuses deep nesting before the recursive walk; a bracket in a string or comment only errs early."""
    depth = 0
    for number, line in enumerate(text.split("\n"), 1):
        for column, char in enumerate(line, 1):
            depth += (char == "(") - (char == ")")
            if depth > MOST_DEPTH:
                raise SettingsError(file, number, column, "", f"lists nested deeper than {MOST_DEPTH}")


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
        out, escaped = [], False
        for char in token[1:-1]:
            if escaped:
                if char not in _ESCAPES:
                    raise SettingsError(file, line, column, "", f"unknown escape \\{char} in a string")
                out.append(_ESCAPES[char])
            elif char != "\\":
                out.append(char)
            escaped = char == "\\" and not escaped
        return "".join(out)
    if token.type == "NUMBER":
        text = str(token)
        if len(text) > MOST_DIGITS:
            raise SettingsError(file, line, column, "", f"a number longer than {MOST_DIGITS} characters")
        return int(text) if text.lstrip("+-").isdigit() else float(text)
    return Symbol(str(token))
