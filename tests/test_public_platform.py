"""Guards against unintended changes of the platform's HTTP interface, names on the wire and log lines."""

import dataclasses
from enum import Enum
from types import SimpleNamespace

import msgspec

# When a class or an attribute used here is renamed, these imports have to follow.
from badgerbend.api import Outcome
from badgerbend.platform import names
from badgerbend.platform.config import ConfigError
from badgerbend.platform.log_observer import LogObserver
from badgerbend.runtime.ports import CompletedQuery
from tests.interfaces import answer_seen, compare, shape
from tests.platform_stage import Stage, query, run
from tests.sockets import until

REQUESTS = (
    ("health", b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"),
    ("other method", b"GET /quote HTTP/1.1\r\nHost: x\r\n\r\n"),
    ("no class", b"POST /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"),
)
HEADERS = (
    ("other class", {"X_Service_Class": "some"}),
    ("no id", {"X_Correlation_Id": None}),
    ("other tenant", {"X_Account": "nobody"}),
    ("no time left", {"X_Time_Left_Ms": None}),
    ("a retry", {"X_Repeat": "1"}),
)


def as_json(value):
    """Converts a table of names to JSON values; enum members are converted to their values."""
    if dataclasses.is_dataclass(value) or (isinstance(value, tuple) and hasattr(value, "_fields")):
        fields = dataclasses.fields(value) if dataclasses.is_dataclass(value) else ()
        listed = [getattr(value, field.name) for field in fields] or list(value)
        return [as_json(inner) for inner in listed]
    if isinstance(value, dict) and all(isinstance(inner, str) for inner in value.values()):
        return list(value.values())  # its keys are Python names
    if isinstance(value, dict):
        return {as_json(key): as_json(inner) for key, inner in value.items()}
    if isinstance(value, bytes):
        return value.decode()
    if isinstance(value, Enum):
        return value.value
    return value


def test_wire_names_and_their_order():
    tables = [value for name, value in vars(names).items() if name.isupper()]
    compare("platform_names", [as_json(value) for value in tables])


def test_answers_and_log_lines_of_the_service():
    async def main():
        answers, lines = {}, {}
        async with Stage() as stage:
            for what, request in REQUESTS:
                answers[what] = answer_seen(await stage.reply(request))
            answers["query"] = answer_seen(await stage.reply(stage.head(query((1, 2, 3)))))
            for what, changes in HEADERS:
                answers[what] = answer_seen(await stage.reply(stage.head(query((1, 2, 3)), **changes)))
            answers["keyed"] = answer_seen(await stage.reply(stage.head(query((1,)), b"accept")))
            answers["keyed without a key"] = answer_seen(
                await stage.reply(stage.head(query((1,)), b"accept", Idempotency_Key=None))
            )
            answers["other body"] = answer_seen(await stage.reply(stage.head(b"{}")))
            stage.service.reload(lambda: stage.config)
            stage.service.reload(raise_config_error)
            await until(lambda: any(what == "summary" for what, _ in stage.troubles))
            for what, values in stage.troubles:
                lines.setdefault(what, list(values))
        compare("platform_http", answers)
        compare("platform_lines", dict(sorted(lines.items())))

    run(main)


def raise_config_error():
    raise ConfigError("unusable")


def test_log_lines_of_queries_and_servers(capsys):
    observer = LogObserver(("quote",), "server-{}".format)
    for outcome in Outcome:
        observer.attempt_ended(SimpleNamespace(node=1), outcome, 2.0)
    for how in ("answered", "refused", "failed", "failed by the watch"):
        observer.query_ended(CompletedQuery(1, "q1", 0, how, "why", 3.0, 1, 0, ()))
    observer.report_fault("some kind", "some detail")
    observer.list_applied(7, 0.1, 0.2)
    observer.summary(cut=0)
    lines = [msgspec.json.decode(line) for line in capsys.readouterr().err.splitlines()]
    compare("platform_log", [{"what": line["what"], "keys": shape(line)} for line in lines])
