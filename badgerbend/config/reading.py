"""Reads settings files: their text, their single top-level form, and the typed settings in it."""

from __future__ import annotations

from pathlib import Path

from badgerbend.config.decode import decode
from badgerbend.config.settings import Settings
from badgerbend.config.sexpr import Atom, Form, SettingsError, Symbol, read


def load(path: str | Path) -> Settings:
    """The settings in a file that consists of one form `(broker ...)`.

    Raises SettingsError if the settings are invalid or the file cannot be read.
    """
    return parse(read_text(path), str(path))


def read_text(path: str | Path) -> str:
    """The text of a settings file. Raises SettingsError if the file cannot be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise SettingsError(str(path), 1, 1, "", f"cannot be read: {err}") from err


def parse(text: str, file: str) -> Settings:
    """Like `load`, but from a text; `file` is the name that errors state."""
    return decode(Settings, only_form(text, file, "broker"), file, "broker")


def only_form(text: str, file: str, name: str) -> Form:
    """The single top-level form of a file, which must begin with `name`. Raises SettingsError."""
    items = read(text, file)
    if not items:
        raise SettingsError(file, 1, 1, "", f"expected ({name} ...), found nothing")
    form = items[0]
    head = form.items[0] if isinstance(form, Form) and form.items else None
    if not isinstance(form, Form) or not isinstance(head, Atom) or head.value != Symbol(name):
        raise SettingsError(file, form.line, form.column, "", f"expected ({name} ...)")
    if len(items) > 1:
        raise SettingsError(file, items[1].line, items[1].column, "", f"expected nothing after ({name} ...)")
    return form


def form_name(path: str | Path) -> str:
    """The name of a file's first form, such as `day`; empty if there is none. Raises SettingsError."""
    items = read(read_text(path), str(path))
    form = items[0] if items else None
    head = form.items[0] if isinstance(form, Form) and form.items else None
    return head.value.name if isinstance(head, Atom) and isinstance(head.value, Symbol) else ""
