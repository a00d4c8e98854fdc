"""A configuration published to many brokers, as one that runs takes it: what may change there, and what stays. Pure.

Forms that cannot change while a broker runs may be left out, since brokers differ in them; one that is stated must be
the broker's own.
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
POOL_FIELDS = frozenset({"connect_timeout_ms", "idle_ms", "max_answer_bytes"})  # of servers: connections stay open
SITES_FIELDS = frozenset({"class_", "tenant", "servers", "over_share_worth"})  # what preference among sites rests on
DUTIES_FIELDS = frozenset({"servers"})  # what cold allowance rests on
FIXED = "cannot change while the broker runs; it is read at the next start"

StructType = TypeVar("StructType", bound=msgspec.Struct)


def settings_in_force(own: Settings, text: str, file: str) -> Settings:
    """The settings of a broker that runs with `own`, under a published configuration.

    Raises SettingsError for a text that is no settings, and for one that changes what cannot change.
    """
    form = only_form(text, file, "broker")
    published = decode(Settings, form, file, "broker")
    kept = _keep(own, published, form, _fixed_fields(own), file, "broker")
    servers = _keep(own.servers, kept.servers, _forms(form).get("servers"), POOL_FIELDS, file, "broker > servers")
    return msgspec.structs.replace(kept, servers=servers)


def _fixed_fields(own: Settings) -> frozenset[str]:
    """Fields of the settings that cannot change: all those that are not known to be changeable."""
    fixed = frozenset(Settings.__struct_fields__) - CHANGEABLE
    if own.sites is not None:
        fixed |= SITES_FIELDS
    if own.duties is not None:
        fixed |= DUTIES_FIELDS
    return fixed


def _keep(
    own: StructType, published: StructType, form: Form | None, fixed: frozenset[str], file: str, path: str
) -> StructType:
    """`published` with its fixed fields as they are in `own`. Raises SettingsError where one is stated otherwise."""
    stated = _forms(form) if form is not None else {}
    for name in sorted(fixed):
        key = dashed(name)
        if key in stated and getattr(published, name) != getattr(own, name):
            place = stated[key]
            raise SettingsError(file, place.line, place.column, f"{path} > {key}", FIXED)
    values = {name: getattr(own, name) for name in fixed}
    try:
        return msgspec.structs.replace(published, **values)
    except ValueError as error:  # the Struct's own check of how its fields fit together
        line, column = (form.line, form.column) if form is not None else (1, 1)
        raise SettingsError(file, line, column, path, str(error)) from error


def _forms(form: Form) -> dict[str, Form]:
    """The first form of each key."""
    found: dict[str, Form] = {}
    for item in form.items[1:]:
        if isinstance(item, Form) and isinstance(item.items[0], Atom) and isinstance(item.items[0].value, Symbol):
            found.setdefault(item.items[0].value.name, item)
    return found
