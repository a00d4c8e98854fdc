"""Forms to typed values: a msgspec Struct says which keys there are, of which type and within which bounds.

`(key value)` sets one field; a field whose type is a Struct takes `(key (inner ...) ...)`; one that is a tuple of
scalars takes `(key a b c)`; one that is a tuple of Structs takes `(key NAME (inner ...))` once for each, where
NAME fills the Struct's first field. Names are written with dashes. Unknown, doubled and missing keys are errors.
"""

from __future__ import annotations

import math
from difflib import get_close_matches
from types import NoneType, UnionType
from typing import Any, Literal, TypeVar, Union, get_args, get_origin

import msgspec

from badgerbend.config.sexpr import Atom, Form, Item, SettingsError, Symbol

T = TypeVar("T", bound=msgspec.Struct)


def decode(kind: type[T], form: Form, file: str, path: str) -> T:
    """The Struct that a form's items after its head describe. Raises SettingsError."""
    return _struct(kind, form.items[1:], form, file, path)


def dashed(name: str) -> str:
    return name.rstrip("_").replace("_", "-")


def _struct(kind: type[T], items: tuple[Item, ...], at: Form, file: str, path: str) -> T:
    fields = {dashed(f.name): f for f in msgspec.structs.fields(kind)}
    values: dict[str, Any] = {}
    seen: dict[str, Form] = {}
    for item in items:
        key = _head(item, file, path)
        assert isinstance(item, Form)
        if key not in fields:
            near = get_close_matches(key, fields, 1)
            hint = f"; did you mean {near[0]}?" if near else f"; known are {', '.join(fields)}"
            raise SettingsError(file, item.line, item.column, f"{path} > {key}", f"unknown key{hint}")
        field = fields[key]
        many = _many_structs(field.type)
        if many is not None:
            values.setdefault(field.name, []).append(_named(many, item, file, f"{path} > {key}"))
            continue
        if key in seen:
            first = seen[key]
            raise SettingsError(
                file, item.line, item.column, f"{path} > {key}", f"given twice, first in line {first.line}"
            )
        seen[key] = item
        values[field.name] = _value(field.type, item, file, f"{path} > {key}")
    for name, field in fields.items():
        if field.required and field.name not in values:
            raise SettingsError(file, at.line, at.column, path, f"{name} is missing")
        if isinstance(values.get(field.name), list):
            values[field.name] = tuple(values[field.name])
    try:
        return kind(**values)
    except ValueError as err:  # a Struct's own check of how its fields fit together
        raise SettingsError(file, at.line, at.column, path, str(err)) from err


def _head(item: Item, file: str, path: str) -> str:
    if not isinstance(item, Form) or not item.items:
        raise SettingsError(file, item.line, item.column, path, "expected (key value ...)")
    head = item.items[0]
    if not isinstance(head, Atom) or not isinstance(head.value, Symbol):
        raise SettingsError(file, head.line, head.column, path, "expected a key, a name without quotes")
    return head.value.name


def _plain(kind: Any) -> Any:
    """A type without Annotated and without `| None`."""
    while hasattr(kind, "__metadata__"):
        kind = kind.__origin__
    if get_origin(kind) in (Union, UnionType):
        rest = [a for a in get_args(kind) if a is not NoneType]
        return _plain(rest[0]) if len(rest) == 1 else kind
    return kind


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _many_structs(kind: Any) -> Any:
    kind = _plain(kind)
    if get_origin(kind) is tuple and _is_struct(_plain(get_args(kind)[0])):
        return _plain(get_args(kind)[0])
    return None


def _named(kind: Any, form: Form, file: str, path: str) -> Any:
    first = msgspec.structs.fields(kind)[0]
    if len(form.items) < 2 or not isinstance(form.items[1], Atom):
        raise SettingsError(file, form.line, form.column, path, f"expected its {dashed(first.name)} first")
    name = form.items[1]
    head = Form((Atom(Symbol(dashed(first.name)), name.line, name.column), name), name.line, name.column)
    label = name.value.name if isinstance(name.value, Symbol) else name.value
    return _struct(kind, (head, *form.items[2:]), form, file, f"{path} {label}")


def _value(kind: Any, form: Form, file: str, path: str) -> Any:
    plain = _plain(kind)
    if _is_struct(plain):
        return _struct(plain, form.items[1:], form, file, path)
    if get_origin(plain) is tuple:
        inner = get_args(plain)[0]
        return tuple(_scalar(inner, item, file, path) for item in form.items[1:])
    if len(form.items) != 2:
        raise SettingsError(file, form.line, form.column, path, f"expected one value, found {len(form.items) - 1}")
    return _scalar(kind, form.items[1], file, path)


def _scalar(kind: Any, item: Item, file: str, path: str) -> Any:
    def wrong(problem: str) -> SettingsError:
        return SettingsError(file, item.line, item.column, path, problem)

    if isinstance(item, Form):
        raise wrong(f"expected {_expected(kind)}, found a list")
    raw: Any = item.value
    plain = _plain(kind)
    if isinstance(raw, Symbol):
        if plain is bool and raw.name in ("true", "false"):
            raw = raw.name == "true"
        elif plain is not str and get_origin(plain) is not Literal:
            raise wrong(f"expected {_expected(kind)}, found {raw.name}")
        else:
            raw = raw.name
    if isinstance(raw, float) and not math.isfinite(raw):
        raise wrong(f"expected {_expected(kind)}, found a number too large")
    try:
        return msgspec.convert(raw, kind, strict=True)
    except msgspec.ValidationError as err:
        shown = f'"{raw}"' if isinstance(raw, str) else raw
        raise wrong(f"expected {_expected(kind)}, found {shown} ({str(err).lower()})") from err


def _expected(kind: Any) -> str:
    plain = _plain(kind)
    if get_origin(plain) is Literal:
        return "one of " + ", ".join(map(str, get_args(plain)))
    bounds = []
    for meta in getattr(kind, "__metadata__", ()):
        for sign, name in ((">", "gt"), (">=", "ge"), ("<", "lt"), ("<=", "le")):
            if (bound := getattr(meta, name, None)) is not None:
                bounds.append(f"{sign} {bound:g}")
    name = {bool: "true or false", int: "a whole number", float: "a number", str: "a text"}.get(plain, str(plain))
    return f"{name} {' and '.join(bounds)}".rstrip()


def show(value: msgspec.Struct, indent: int = 0, skip: int = 0) -> str:
    """Every value in force as settings text; one that equals its default says so in a comment."""
    pad, lines = "  " * indent, []
    for field in msgspec.structs.fields(value)[skip:]:
        got, name = getattr(value, field.name), dashed(field.name)
        note = "" if field.required or got != _default(field) else "  ; default"
        if isinstance(got, msgspec.Struct):
            lines.append(f"{pad}({name}\n{show(got, indent + 1)}\n{pad})")
        elif isinstance(got, tuple) and got and isinstance(got[0], msgspec.Struct):
            lines += [f"{pad}({name} {_text(_first(one))}\n{show(one, indent + 1, skip=1)}\n{pad})" for one in got]
        elif got is None or (got == () and _many_structs(field.type) is not None):
            lines.append(f"{pad}; ({name} none){note}")
        else:
            texts = " ".join(_text(v) for v in (got if isinstance(got, tuple) else (got,)))
            lines.append(f"{pad}({name}{' ' if texts else ''}{texts}){note}")
    return "\n".join(lines)


def _first(value: msgspec.Struct) -> Any:
    return getattr(value, msgspec.structs.fields(value)[0].name)


def _default(field: msgspec.structs.FieldInfo) -> Any:
    return field.default_factory() if field.default is msgspec.NODEFAULT else field.default


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
    return repr(value)
