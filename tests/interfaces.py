"""Collects the public interfaces of the running program and compares them with the committed lists.

The committed lists are the contract with operators, clients and dashboards. A failing comparison means that a name, a
default or a message on which they rely has changed; the remedy is to restore the old one, not to edit the list.
"""

import ast
import difflib
import json
from collections.abc import Mapping
from pathlib import Path

import msgspec

import badgerbend

PACKAGE = Path(badgerbend.__file__).parent
LISTS = Path(__file__).parent / "data" / "interfaces"


def as_text(listed):
    """A list in the format of the committed files, in which the order of keys is significant."""
    return json.dumps(listed, indent=1, ensure_ascii=False) + "\n"


def committed(name):
    return json.loads((LISTS / f"{name}.json").read_text(encoding="utf-8"))


def compare(name, listed):
    """Asserts that a list equals the committed one; a failure shows the lines that differ."""
    expected = (LISTS / f"{name}.json").read_text(encoding="utf-8")
    running = as_text(listed)
    difference = difflib.unified_diff(expected.splitlines(), running.splitlines(), "committed", "running", lineterm="")
    assert running == expected, "\n".join(difference)


# -- shapes of JSON values


def shape(value):
    """The keys of a JSON value at all levels; the shapes of an array's items are merged into one."""
    if isinstance(value, Mapping):
        return {str(key): shape(inner) for key, inner in value.items()}
    if isinstance(value, list | tuple):
        merged = None
        for item in value:
            merged = merge_shapes(merged, shape(item))
        return [merged]
    return "value"


def merge_shapes(first, second):
    if isinstance(first, dict) and isinstance(second, dict):
        return first | {key: merge_shapes(first.get(key), inner) for key, inner in second.items()}
    if isinstance(first, list) and isinstance(second, list):
        return [merge_shapes(first[0], second[0])]
    if first is None or first == "value":
        return first if second is None else second
    return first


def answer_seen(reply):
    """The parts of an HTTP answer on which a client can rely: status, names of headers, and the keys of its JSON."""
    content_type = reply.headers.get(b"content-type", b"").decode()
    contract = {
        "status": reply.status,
        "headers": sorted(name.decode() for name in reply.headers),
        "content-type": content_type,
    }
    if "json" in content_type:
        contract["json"] = shape(msgspec.json.decode(reply.body))
    return contract


# -- schemas of msgspec structs, with the names under which fields are encoded


def struct_schema(struct, name_of=str):
    """The JSON schema of a struct without the names and docstrings of classes, which are private."""
    schema = msgspec.json.schema(struct)
    return _inline(schema, schema.get("$defs", {}), name_of)


def _inline(schema, definitions, name_of):
    if "$ref" in schema:
        rest = {key: value for key, value in schema.items() if key != "$ref"}
        return _inline(definitions[schema["$ref"].rpartition("/")[2]] | rest, definitions, name_of)
    inlined = {}
    for key, value in schema.items():
        if key == "properties":
            inlined["fields"] = {name_of(name): _inline(inner, definitions, name_of) for name, inner in value.items()}
        elif key == "required":
            inlined["required"] = [name_of(name) for name in value]
        elif key == "default" and isinstance(value, Mapping):
            inlined["default"] = {name_of(name): inner for name, inner in value.items()}
        elif key in ("anyOf", "prefixItems"):
            inlined[key] = [_inline(inner, definitions, name_of) for inner in value]
        elif key == "items" and isinstance(value, Mapping):
            inlined["items"] = _inline(value, definitions, name_of)
        elif key not in ("title", "description", "$defs"):
            inlined[key] = value
    return inlined


# -- string literals of the code


def literals():
    """All string literals in the package's code except docstrings; bytes literals are included as text."""
    literal_values = set()
    for path in sorted(PACKAGE.rglob("*.py")):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        bare = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and id(node) not in bare:
                if isinstance(node.value, str):
                    literal_values.add(node.value)
                elif isinstance(node.value, bytes):
                    literal_values.add(node.value.decode("latin-1"))
    return literal_values


# -- recording of the keys of settings that are read


class RecordingMapping(dict):
    """A mapping that records the keys that are looked up in it, in the order of their first use."""

    def __init__(self, values):
        super().__init__(values)
        self.looked_up = {}

    def __getitem__(self, key):
        self.looked_up[key] = None
        return super().__getitem__(key)

    def get(self, key, default=None):
        self.looked_up[key] = None
        return super().get(key, default)

    def __contains__(self, key):
        self.looked_up[key] = None
        return super().__contains__(key)
