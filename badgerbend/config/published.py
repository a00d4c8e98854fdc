"""Applies a configuration published to many brokers to the settings of a running broker. Performs no I/O.

Forms that cannot change while a broker runs may be left out, since brokers differ in them. Where such a form is stated,
it must equal the broker's local setting.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from badgerbend.config.decode import dashed, decode
from badgerbend.config.reading import only_form
from badgerbend.config.settings import Settings
from badgerbend.config.sexpr import Atom, Form, SettingsError, Symbol

CHANGEABLE = frozenset(
    {
        "class_",
        "field",
        "entity",
        "servers",
        "attempts",
        "tenant",
        "documents",
        "advice",
        "max_open",
        "over_share_worth",
    }
)
# Fields of `servers` that apply to the connection pools, whose connections stay open when the configuration changes.
POOL_SERVER_FIELDS = frozenset({"connect_timeout_ms", "idle_ms", "max_answer_bytes"})
# Fields on which the preference among sites depends.
SITES_DEPENDENCIES = frozenset({"class_", "tenant", "servers", "over_share_worth"})
# Fields on which the budget for servers in slow start depends.
DUTIES_DEPENDENCIES = frozenset({"servers"})
CANNOT_CHANGE = "cannot change while the broker runs; it is read at the next start"

StructType = TypeVar("StructType", bound=msgspec.Struct)


def settings_in_force(local: Settings, text: str, file: str) -> Settings:
    """The effective settings of a broker whose local settings are `local`, under a published configuration.

    Raises SettingsError if the text is not valid settings, or if it changes a form that cannot change.
    """
    form = only_form(text, file, "broker")
    published = decode(Settings, form, file, "broker")
    merged = _with_fixed_fields(local, published, form, _fixed_fields(local), file, "broker")
    servers = _with_fixed_fields(
        local.servers, merged.servers, _forms_by_key(form).get("servers"), POOL_SERVER_FIELDS, file, "broker > servers"
    )
    return msgspec.structs.replace(merged, servers=servers)


def _fixed_fields(local: Settings) -> frozenset[str]:
    """The fields of the settings that cannot change: all except those listed as changeable."""
    fixed = frozenset(Settings.__struct_fields__) - CHANGEABLE
    if local.sites is not None:
        fixed |= SITES_DEPENDENCIES
    if local.duties is not None:
        fixed |= DUTIES_DEPENDENCIES
    return fixed


def _with_fixed_fields(
    local: StructType, published: StructType, form: Form | None, fixed: frozenset[str], file: str, path: str
) -> StructType:
    """`published` with the fixed fields of `local`. Raises SettingsError if a fixed field is stated differently."""
    stated = _forms_by_key(form) if form is not None else {}
    for name in sorted(fixed):
        key = dashed(name)
        if key in stated and getattr(published, name) != getattr(local, name):
            position = stated[key]
            raise SettingsError(file, position.line, position.column, f"{path} > {key}", CANNOT_CHANGE)
    values = {name: getattr(local, name) for name in fixed}
    try:
        return msgspec.structs.replace(published, **values)
    except ValueError as error:  # raised by the Struct's __post_init__ where fields contradict each other
        line, column = (form.line, form.column) if form is not None else (1, 1)
        raise SettingsError(file, line, column, path, str(error)) from error


def _forms_by_key(form: Form) -> dict[str, Form]:
    """The first form with each key."""
    forms: dict[str, Form] = {}
    for item in form.items[1:]:
        if isinstance(item, Form) and isinstance(item.items[0], Atom) and isinstance(item.items[0].value, Symbol):
            forms.setdefault(item.items[0].value.name, item)
    return forms
