"""Lists of the public interfaces as the running program has them, and their comparison with the committed lists.

The committed lists are the contract with operators, clients and dashboards. A test that fails here means that a name,
a default or a word changed for them; the remedy is to give the old name back, not to edit the list.
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
    """A list as it is committed; the order of keys counts."""
    return json.dumps(listed, indent=1, ensure_ascii=False) + "\n"


def committed(name):
    return json.loads((LISTS / f"{name}.json").read_text(encoding="utf-8"))


def compare(name, listed):
    """Fails with the lines that differ from the committed list."""
    expected = (LISTS / f"{name}.json").read_text(encoding="utf-8")
    found = as_text(listed)
    difference = difflib.unified_diff(expected.splitlines(), found.splitlines(), "committed", "running", lineterm="")
    assert found == expected, "\n".join(difference)


# -- shapes of JSON values


def shape(value):
    """The recursive key set of a JSON value; the items of an array are taken together."""
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
    """What a client can rely on in an HTTP answer: status, headers, and the key set of JSON."""
    kind = reply.headers.get(b"content-type", b"").decode()
    seen = {
        "status": reply.status,
        "headers": sorted(name.decode() for name in reply.headers),
        "content-type": kind,
    }
    if "json" in kind:
        seen["json"] = shape(msgspec.json.decode(reply.body))
    return seen


# -- schemas of msgspec structs, by the names they have when encoded


def struct_schema(kind, name_of=str):
    """The JSON schema of a struct without the names and docstrings of classes."""
    schema = msgspec.json.schema(kind)
    return _inline(schema, schema.get("$defs", {}), name_of)


def _inline(schema, definitions, name_of):
    if "$ref" in schema:
        rest = {key: value for key, value in schema.items() if key != "$ref"}
        return _inline(definitions[schema["$ref"].rpartition("/")[2]] | rest, definitions, name_of)
    plain = {}
    for key, value in schema.items():
        if key == "properties":
            plain["fields"] = {name_of(name): _inline(inner, definitions, name_of) for name, inner in value.items()}
        elif key == "required":
            plain["required"] = [name_of(name) for name in value]
        elif key == "default" and isinstance(value, Mapping):
            plain["default"] = {name_of(name): inner for name, inner in value.items()}
        elif key in ("anyOf", "prefixItems"):
            plain[key] = [_inline(inner, definitions, name_of) for inner in value]
        elif key == "items" and isinstance(value, Mapping):
            plain["items"] = _inline(value, definitions, name_of)
        elif key not in ("title", "description", "$defs"):
            plain[key] = value
    return plain


# -- words that stand as literals in the code


def literals():
    """All texts and byte strings in the package's code, docstrings left out; byte strings as text."""
    found = set()
    for path in sorted(PACKAGE.rglob("*.py")):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        bare = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and id(node) not in bare:
                if isinstance(node.value, str):
                    found.add(node.value)
                elif isinstance(node.value, bytes):
                    found.add(node.value.decode("latin-1"))
    return found


# -- settings looked up


class RecordingMapping(dict):
    """A mapping that keeps the keys looked up in it, in order of their first use."""

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
