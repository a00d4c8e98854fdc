"""Guards the public names: settings, deploy file, stored documents and command line keep their names and defaults."""

import copy
import tomllib
from pathlib import Path
from typing import get_args

import msgspec
import pytest
import typer
from typer.testing import CliRunner

# A rename of a class or module changes these imports, and nothing else in this file.
from badgerbend import cli, platform_settings
from badgerbend.config.decode import dashed
from badgerbend.config.reading import parse as parse_settings
from badgerbend.config.settings import Settings
from badgerbend.config.sexpr import SettingsError
from badgerbend.discovery.keyed import NodeRow
from badgerbend.knowledge.record import KnowledgeRecord
from badgerbend.platform import config as platform_config
from badgerbend.platform.config import Limits as PlatformLimits
from badgerbend.snapshot.store import SnapshotBody
from badgerbend.wal.identity import StoreIdentity as VoterOwner
from tests.interfaces import RecordingMapping, compare, struct_schema
from tests.platform_stage import SETTINGS, file_of

ROOT = Path(__file__).parent.parent
EXAMPLES = ("badgerbend/standin/rates/broker.conf", "examples/sites/broker.conf")
OPTIONAL_PATHS = {
    "specifics.classPartial": "0.5,0.5,0.5",
    "obligations.minExtra": "1",
    "obligations.extraPerRequest": "0.5",
    "obligations.lookBackMs": "1000",
    "obligations.drainGraceMs": "250",
}


# -- settings as S-expressions


def known_keys(text, path):
    """The keys that the parser lists as known for the innermost form of `text`."""
    with pytest.raises(SettingsError) as error:
        parse_settings(text, "file")
    message = str(error.value)
    assert "; known are " in message, f"{path}: {message}"
    return message.partition("; known are ")[2].split(", ")


def forms(schema, path=()):
    """Yields each form that contains others as a path of pairs: its key, and whether the form begins with a name."""
    for key, inner in schema["fields"].items():
        subschemas = [inner, *inner.get("anyOf", ()), *([inner["items"]] if "items" in inner else [])]
        for subschema in subschemas:
            if "fields" in subschema:
                inner_path = (*path, (key, inner.get("type") == "array"))
                yield inner_path
                yield from forms(subschema, inner_path)


def test_settings_have_the_same_forms_fields_types_bounds_defaults_and_words():
    compare("settings", struct_schema(Settings, dashed))


def test_the_parser_knows_the_same_keys_in_every_form():
    known = {"broker": known_keys("(broker (qqqqqqqqqq 1))", "broker")}
    for path in forms(struct_schema(Settings, dashed)):
        text = "(qqqqqqqqqq 1)"
        for key, named in reversed(path):
            text = f"({key} {'one ' if named else ''}{text})"
        name = " ".join(key for key, _ in path)
        known[name] = known_keys(f"(broker {text})", name)
    compare("settings_keys", known)


@pytest.mark.parametrize("example", EXAMPLES)
def test_check_shows_the_same_settings_of_an_example(example):
    result = CliRunner().invoke(cli.app, ["check", str(ROOT / example), "--show"])
    assert result.exit_code == 0
    lines = "ROOT".join(result.output.split(str(ROOT))).splitlines()
    compare("check_show_" + Path(example).parent.name, lines)


# -- the platform's configuration and deploy file


def platform_paths():
    """All values of a complete platform configuration, including optional ones, by their path."""
    paths = platform_settings.flatten(SETTINGS)
    return paths | OPTIONAL_PATHS


def parse_outcome(file, key):
    """Whether the platform accepts a configuration file, and if not, whether its error names the key."""
    try:
        platform_config.parse(msgspec.json.encode(file), {})
    except platform_config.ConfigError as error:
        return "error names the key" if key in str(error) else "error"
    return "accepted"


def put(settings, path, value):
    """Sets the value at a path; None removes it."""
    *names, last = path.split(".")
    container = settings
    for name in names:
        container = container[int(name)] if isinstance(container, list) else container[name]
    if value is None:
        container.pop(last, None)
    else:
        container[last] = value


def test_the_platform_looks_up_the_same_keys():
    looked_up = {}
    for mode in ("push", "ask"):
        settings = RecordingMapping(platform_paths() | {"registryMode": mode})
        platform_settings.read_settings(settings)
        looked_up[mode] = sorted(settings.looked_up)
    compare("platform_keys", looked_up)


def test_the_platform_names_the_same_keys_in_its_errors():
    outcomes = {}
    complete = msgspec.json.decode(file_of(8500))
    for path in platform_paths():
        if path.endswith(".count"):
            continue
        for defect, value in (("missing", None), ("malformed", "?")):
            file = copy.deepcopy(complete)
            put(file["settings"], path, value)
            outcomes[f"{path} {defect}"] = parse_outcome(file, path)
    compare("platform_errors", outcomes)


def test_the_platform_file_has_the_same_members():
    outcomes = {}
    complete = msgspec.json.decode(file_of(8500))
    for name in complete:
        outcomes[f"{name} missing"] = parse_outcome(
            {key: value for key, value in complete.items() if key != name}, name
        )
        outcomes[f"{name} malformed"] = parse_outcome(complete | {name: ["?"]}, name)
    outcomes["known list malformed"] = parse_outcome(complete | {"known": {"targets": "?"}}, "known.targets")
    listed = {"limits": struct_schema(PlatformLimits), "told": outcomes}
    compare("platform_file", listed)


def test_the_deploy_file_has_the_same_keys_and_commands():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    code_paths = {"policy", "node"}  # paths of code, which change when packages are renamed
    compare("deploy", {key: "paths" if key in code_paths else value for key, value in deploy.items()})


# -- documents that are stored or sent under the names of their fields


def test_documents_with_field_names_keep_them():
    documents = {
        "voter's owner file": VoterOwner,
        "snapshot's body": SnapshotBody,
        "knowledge record": KnowledgeRecord,
        "row of the list in the feed": NodeRow,
    }
    compare("documents", {name: struct_schema(struct) for name, struct in documents.items()})


# -- the command line


def parameter(param):
    type_ = param.type_descriptor.annotation
    return {
        "kind": param.param_type_name,
        "options": [*param.opts, *param.secondary_opts],
        "type": getattr(type_, "__name__", str(type_)),
        "words": [str(word) for word in get_args(type_)],
        "required": param.required,
        "many": param.multiple,
        "values": param.nargs,
        "default": param.default if isinstance(param.default, bool | int | float | list | None) else str(param.default),
    }


def command_tree(command):
    subcommands = getattr(command, "commands", {})
    return {
        "parameters": [parameter(param) for param in command.params],
        "commands": {name: command_tree(inner) for name, inner in sorted(subcommands.items())},
    }


def test_commands_have_the_same_names_options_arguments_and_defaults():
    compare("commands", command_tree(typer.main.get_command(cli.app)))
