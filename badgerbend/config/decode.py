"""Decodes forms into typed values; a msgspec Struct defines the keys, their types and their bounds.

`(key value)` sets one field. A field whose type is a Struct is written `(key (inner ...) ...)`, a tuple of scalars
`(key a b c)`. A tuple of Structs is written as one form `(key NAME (inner ...))` for each Struct, where NAME is the
value of its first field. Names are written with dashes. Unknown, repeated and missing keys are errors.
"""

from __future__ import annotations

import math
from difflib import get_close_matches
from types import NoneType, UnionType
from typing import Any, Literal, TypeVar, Union, get_args, get_origin

import msgspec

from badgerbend.config.sexpr import Atom, Form, Item, SettingsError, Symbol

StructType = TypeVar("StructType", bound=msgspec.Struct)


def decode(type_: type[StructType], form: Form, file: str, path: str) -> StructType:
    """Decodes the items after a form's head into a Struct. `path` names the form in errors. Raises SettingsError."""
    return _decode_struct(type_, form.items[1:], form, file, path)


def dashed(name: str) -> str:
    """The key of a field in a settings file: `class_` is `class`, `aim_ms` is `aim-ms`."""
    return name.rstrip("_").replace("_", "-")


def _decode_struct(type_: type[StructType], items: tuple[Item, ...], form: Form, file: str, path: str) -> StructType:
    fields = {dashed(f.name): f for f in msgspec.structs.fields(type_)}
    values: dict[str, Any] = {}
    seen: dict[str, Form] = {}
    for item in items:
        key = _key_of(item, file, path)
        assert isinstance(item, Form)
        if key not in fields:
            close_matches = get_close_matches(key, fields, 1)
            hint = f"; did you mean {close_matches[0]}?" if close_matches else f"; known are {', '.join(fields)}"
            raise SettingsError(file, item.line, item.column, f"{path} > {key}", f"unknown key{hint}")
        field = fields[key]
        struct_type = _repeated_struct(field.type)
        if struct_type is not None:
            values.setdefault(field.name, []).append(_decode_named_struct(struct_type, item, file, f"{path} > {key}"))
            continue
        if key in seen:
            first = seen[key]
            raise SettingsError(
                file, item.line, item.column, f"{path} > {key}", f"given twice, first in line {first.line}"
            )
        seen[key] = item
        values[field.name] = _decode_value(field.type, item, file, f"{path} > {key}")
    for name, field in fields.items():
        if field.required and field.name not in values:
            raise SettingsError(file, form.line, form.column, path, f"{name} is missing")
        if isinstance(values.get(field.name), list):
            values[field.name] = tuple(values[field.name])
    try:
        return type_(**values)
    except ValueError as err:  # raised by the Struct's __post_init__ where fields contradict each other
        raise SettingsError(file, form.line, form.column, path, str(err)) from err


def _key_of(item: Item, file: str, path: str) -> str:
    if not isinstance(item, Form) or not item.items:
        raise SettingsError(file, item.line, item.column, path, "expected (key value ...)")
    head = item.items[0]
    if not isinstance(head, Atom) or not isinstance(head.value, Symbol):
        raise SettingsError(file, head.line, head.column, path, "expected a key, a name without quotes")
    return head.value.name


def _bare_type(type_: Any) -> Any:
    """The type without Annotated and without `| None`."""
    while hasattr(type_, "__metadata__"):
        type_ = type_.__origin__
    if get_origin(type_) in (Union, UnionType):
        rest = [a for a in get_args(type_) if a is not NoneType]
        return _bare_type(rest[0]) if len(rest) == 1 else type_
    return type_


def _is_struct(type_: Any) -> bool:
    return isinstance(type_, type) and issubclass(type_, msgspec.Struct)


def _repeated_struct(type_: Any) -> Any:
    """The Struct type of a field that is a tuple of Structs; None for other fields."""
    type_ = _bare_type(type_)
    if get_origin(type_) is tuple and _is_struct(_bare_type(get_args(type_)[0])):
        return _bare_type(get_args(type_)[0])
    return None


def _decode_named_struct(type_: Any, form: Form, file: str, path: str) -> Any:
    """Decodes `(key NAME (inner ...))`."""
    first = msgspec.structs.fields(type_)[0]
    if len(form.items) < 2 or not isinstance(form.items[1], Atom):
        raise SettingsError(file, form.line, form.column, path, f"expected its {dashed(first.name)} first")
    name = form.items[1]
    head = Form((Atom(Symbol(dashed(first.name)), name.line, name.column), name), name.line, name.column)
    label = name.value.name if isinstance(name.value, Symbol) else name.value
    return _decode_struct(type_, (head, *form.items[2:]), form, file, f"{path} {label}")


def _decode_value(type_: Any, form: Form, file: str, path: str) -> Any:
    plain = _bare_type(type_)
    if _is_struct(plain):
        return _decode_struct(plain, form.items[1:], form, file, path)
    if get_origin(plain) is tuple:
        inner = get_args(plain)[0]
        return tuple(_decode_scalar(inner, item, file, path) for item in form.items[1:])
    if len(form.items) != 2:
        raise SettingsError(file, form.line, form.column, path, f"expected one value, found {len(form.items) - 1}")
    return _decode_scalar(type_, form.items[1], file, path)


def _decode_scalar(type_: Any, item: Item, file: str, path: str) -> Any:
    def error(problem: str) -> SettingsError:
        return SettingsError(file, item.line, item.column, path, problem)

    if isinstance(item, Form):
        raise error(f"expected {_expected(type_)}, found a list")
    parsed: Any = item.value
    plain = _bare_type(type_)
    if isinstance(parsed, Symbol):
        if plain is bool and parsed.name in ("true", "false"):
            parsed = parsed.name == "true"
        elif plain is not str and get_origin(plain) is not Literal:
            raise error(f"expected {_expected(type_)}, found {parsed.name}")
        else:
            parsed = parsed.name
    if isinstance(parsed, float) and not math.isfinite(parsed):
        raise error(f"expected {_expected(type_)}, found a number too large")
    try:
        return msgspec.convert(parsed, type_, strict=True)
    except msgspec.ValidationError as err:
        shown = f'"{parsed}"' if isinstance(parsed, str) else parsed
        raise error(f"expected {_expected(type_)}, found {shown} ({str(err).lower()})") from err


def _expected(type_: Any) -> str:
    plain = _bare_type(type_)
    if get_origin(plain) is Literal:
        return "one of " + ", ".join(map(str, get_args(plain)))
    bounds = []
    for meta in getattr(type_, "__metadata__", ()):
        for sign, name in ((">", "gt"), (">=", "ge"), ("<", "lt"), ("<=", "le")):
            if (bound := getattr(meta, name, None)) is not None:
                bounds.append(f"{sign} {bound:g}")
    name = {bool: "true or false", int: "a whole number", float: "a number", str: "a text"}.get(plain, str(plain))
    return f"{name} {' and '.join(bounds)}".rstrip()


def show(value: msgspec.Struct, indent: int = 0, skip: int = 0) -> str:
    """Every value as settings text; a value that equals its default is marked by a comment.

    The first `skip` fields are left out.
    """
    pad, lines = "  " * indent, []
    for field in msgspec.structs.fields(value)[skip:]:
        current, name = getattr(value, field.name), dashed(field.name)
        note = "" if field.required or current != _default(field) else "  ; default"
        if isinstance(current, msgspec.Struct):
            lines.append(f"{pad}({name}\n{show(current, indent + 1)}\n{pad})")
        elif isinstance(current, tuple) and current and isinstance(current[0], msgspec.Struct):
            lines += [
                f"{pad}({name} {_text(_first_value(one))}\n{show(one, indent + 1, skip=1)}\n{pad})" for one in current
            ]
        elif current is None or (current == () and _repeated_struct(field.type) is not None):
            lines.append(f"{pad}; ({name} none){note}")
        else:
            words = " ".join(_text(v) for v in (current if isinstance(current, tuple) else (current,)))
            lines.append(f"{pad}({name}{' ' if words else ''}{words}){note}")
    return "\n".join(lines)


def _first_value(value: msgspec.Struct) -> Any:
    return getattr(value, msgspec.structs.fields(value)[0].name)


def _default(field: msgspec.structs.FieldInfo) -> Any:
    return field.default_factory() if field.default is msgspec.NODEFAULT else field.default


def _text(value: Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
    return repr(value)
