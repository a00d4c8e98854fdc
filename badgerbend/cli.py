"""The command line. Commands parse options and print results; the other packages do the work."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop
from rich.console import Console
from rich.table import Table

from badgerbend.broker import Broker, read_subgraph
from badgerbend.cli_leases import duties, voters
from badgerbend.config import decode
from badgerbend.config.reading import form_name, load
from badgerbend.config.settings import Settings
from badgerbend.config.sexpr import SettingsError
from badgerbend.graphql.schema import SchemaError, Subgraph
from badgerbend.knowledge.record import KnowledgeRecord
from badgerbend.net.fetch import fetch
from badgerbend.process import BAD_SETTINGS, CANNOT_START, exit_with_error, serve
from badgerbend.snapshot.store import SnapshotError, read_snapshot

app = typer.Typer(add_completion=False, no_args_is_help=True, help="An aggregator that spreads queries over shards.")
GAP_S = 6.0  # seconds after each event of a scene in which the longest gap between acts is measured
Config = Annotated[Path, typer.Argument(help="The settings file.")]


def main() -> None:
    app()


def _load_or_exit(config: Path) -> tuple[Settings, Subgraph]:
    """The settings and the schema they name. Ends the process with an error message where one is invalid."""
    try:
        settings = load(config)
        return settings, read_subgraph(settings, config)
    except SettingsError as err:
        exit_with_error(str(err), BAD_SETTINGS)
    except (SchemaError, OSError, UnicodeDecodeError) as err:
        exit_with_error(f"{config}: schema: {err}", BAD_SETTINGS)


def _run(command: Coroutine[Any, Any, int]) -> None:
    """Runs a command and ends the process with the status that it returns."""
    raise typer.Exit(uvloop.run(command))


@app.command()
def run(config: Config) -> None:
    """Runs a broker until it is interrupted or told to end."""
    settings, graph = _load_or_exit(config)
    _run(serve(Broker, settings, graph, config.parent))


@app.command()
def check(config: Config, show: Annotated[bool, typer.Option(help="Print every value in force.")] = False) -> None:
    """Checks settings and schema without starting anything."""
    settings, graph = _load_or_exit(config)
    if show:
        print(f"(broker\n{decode.show(settings, 1)}\n)")
    else:
        print(f"{config}: fits; {len(graph.fields)} fields, {len(settings.class_)} classes")


@app.command()
def sdl(config: Config) -> None:
    """Prints the subgraph's document, as routers compose it."""
    print(_load_or_exit(config)[1].sdl, end="")


@app.command()
def query(
    text: Annotated[str, typer.Argument(help="A GraphQL document, or @FILE.")],
    port: Annotated[int, typer.Option(help="The broker's port.")] = 8080,
    host: Annotated[str, typer.Option(help="The broker's host.")] = "127.0.0.1",
    variables: Annotated[str, typer.Option(help="Variables as JSON.")] = "{}",
    time_left_ms: Annotated[int, typer.Option(help="How long to wait for the answer.")] = 5000,
    tenant: Annotated[str | None, typer.Option(help="The tenant to ask as.")] = None,
) -> None:
    """Asks a broker and prints its answer; status 1 where the answer has errors."""
    from badgerbend.standin.client import Client

    try:
        document = Path(text[1:]).read_text(encoding="utf-8") if text.startswith("@") else text
        variable_values = json.loads(variables)
    except (OSError, ValueError) as err:
        exit_with_error(str(err), BAD_SETTINGS)

    async def send_query() -> int:
        headers = {"badgerbend-time-left-ms": str(time_left_ms)} | ({"badgerbend-tenant": tenant} if tenant else {})
        client = Client(port, host)
        try:
            _, answer, _ = await client.query(document, variable_values, **headers)
        except ConnectionError as err:
            print(f"badgerbend: no answer from {host}:{port}: {err}", file=sys.stderr)
            return CANNOT_START
        finally:
            client.close()
        print(json.dumps(answer, indent=2))
        return 1 if answer.get("errors") else 0

    _run(send_query())


@app.command()
def peers(
    port: Annotated[int, typer.Option(help="The broker's port.")] = 8080,
    host: Annotated[str, typer.Option(help="The broker's host.")] = "127.0.0.1",
) -> None:
    """Shows whom a broker holds for alive, and what it has learned."""
    try:
        status = uvloop.run(fetch(port, "/peers", host))
    except ConnectionError as err:
        exit_with_error(f"no answer from {host}:{port}: {err}", CANNOT_START)
    table = Table(title=f"pulls {status.get('pulls', 0)}, servers learned {status.get('learned', 0)}")
    for heading in ("name", "address", "state", "incarnation", "believed"):
        table.add_column(heading)
    for member in status["members"]:
        table.add_row(*(str(member[h]) for h in ("name", "address", "state", "incarnation", "believed")))
    Console().print(table)


knowledge = typer.Typer(no_args_is_help=True, help="What a broker has seen, as its snapshot holds it.")
app.add_typer(knowledge, name="knowledge")


@knowledge.command("show")
def knowledge_show(file: Path) -> None:
    """Prints a snapshot: servers slowest first, with the age of each item."""
    from badgerbend.knowledge import report

    Console().print(report.record_table(_load_snapshot_or_exit(file)))


@knowledge.command("diff")
def knowledge_diff(first: Path, second: Path) -> None:
    """Prints the servers that two snapshots see differently; status 1 if there are any."""
    from badgerbend.knowledge import report

    comparison = report.compare_records(_load_snapshot_or_exit(first), _load_snapshot_or_exit(second))
    Console().print(comparison.table)
    raise typer.Exit(1 if comparison.differences else 0)


def _load_snapshot_or_exit(file: Path) -> KnowledgeRecord:
    try:
        return read_snapshot(file, time.time())
    except (SnapshotError, OSError) as err:
        exit_with_error(f"{file}: {err}", BAD_SETTINGS)


sites = typer.Typer(no_args_is_help=True, help="Sites: what a broker holds of them, and work moved by hand.")
app.add_typer(sites, name="site")
app.add_typer(duties, name="duties")
app.add_typer(voters, name="voters")
Ports = Annotated[list[int], typer.Option("--port", help="A broker's port; give it for each broker.")]
Key = Annotated[Path, typer.Option(help="The file with the sites' key.")]


@sites.command("status")
def site_status(port: Ports = [8080], host: str = "127.0.0.1") -> None:  # noqa: B006
    """Shows each site as brokers see it."""
    _request_sites([(p, "GET", "/sites", None) for p in port], host)


@sites.command("drain")
def site_drain(name: str, key: Key, port: Ports = [8080], host: str = "127.0.0.1") -> None:  # noqa: B006
    """Moves a site's work to the others, step by step and as far as it fits; nothing is refused for it."""
    _request_sites([(p, "POST", f"/sites/{name}/drain", key) for p in port], host)


@sites.command("return")
def site_return(name: str, key: Key, port: Ports = [8080], host: str = "127.0.0.1") -> None:  # noqa: B006
    """Ends a drain: the work comes back by steps."""
    _request_sites([(p, "POST", f"/sites/{name}/return", key) for p in port], host)


def _request_sites(requests: list[tuple[int, str, str, Path | None]], host: str) -> None:
    """Sends each request (port, method, path, key file) to its broker and prints the sites in its answer."""
    failed = 0
    for port, method, path, key in requests:
        try:
            token = key.read_text(encoding="utf-8").strip() if key is not None else None
            _print_sites(port, uvloop.run(fetch(port, path, host, method, token)))
        except (ConnectionError, OSError, UnicodeDecodeError) as err:
            print(f"badgerbend: {host}:{port}: {err}", file=sys.stderr)
            failed += 1
    raise typer.Exit(CANNOT_START if failed else 0)


def _print_sites(port: int, status: dict[str, Any]) -> None:
    keeps = status["keeps"]
    table = Table(
        title=f"broker at {port}, own site {status['own']}: demand {status['demand_per_s']} parts/s, "
        f"keeps {keeps['by_load']:.0%} by load, {keeps['by_time']:.0%} by time"
    )
    columns = (
        "name",
        "tier",
        "state",
        "share",
        "turns",
        "success",
        "used",
        "room_per_s",
        "sent_per_s",
        "spilled_per_s",
        "allowed_per_s",
        "failing",
    )
    for heading in columns:
        table.add_column(heading.replace("_per_s", "/s"))
    for site in status["sites"]:
        state = f"{site['state']}, drained" if site["drained"] else site["state"]
        row = site | {"state": state}
        table.add_row(*("-" if row[h] is None else str(row[h]) for h in columns))
    console = Console()
    if not console.is_terminal:
        console = Console(width=140)  # wide enough that rows written to a file or a pipe are not wrapped
    console.print(table)
    for row in status["refusals"]:
        console.print(f"refused: {row['count']} of class {row['class']}, tenant {row['tenant']}: {row['reason']}")


@app.command()
def demo(
    hold: Annotated[bool, typer.Option(help="Leave broker and fleet up until interrupted.")] = False,
    port: Annotated[int, typer.Option(help="The broker's port; 0 takes a free one.")] = 0,
) -> None:
    """Starts a fleet of stand-in rate servers and a broker on loopback, asks, and shows the answers."""
    from badgerbend.standin.demo import show_demo

    _run(show_demo(hold, port))


@app.command()
def fleet(
    shards: Annotated[int, typer.Option(min=1)] = 24,
    cells: Annotated[int, typer.Option(min=1)] = 12,
    reach: Annotated[int, typer.Option(min=1)] = 3,
    servers: Annotated[int, typer.Option(min=1, max=500)] = 12,
    zones: Annotated[int, typer.Option(min=1, max=8)] = 2,
    registry_port: Annotated[int, typer.Option(min=0, max=65535)] = 8500,
) -> None:
    """Runs stand-in rate servers and their list, for a broker started by `run`."""
    from badgerbend.standin.demo import run_fleet

    _run(run_fleet(shards, cells, reach, servers, zones, registry_port))


@app.command()
def day(
    file: Annotated[Path, typer.Argument(help="The day's file.")],
    report: Annotated[Path | None, typer.Option(help="Write the findings as JSON.")] = None,
    keep: Annotated[Path | None, typer.Option(help="Keep the records of the sockets in this folder.")] = None,
    policy: Annotated[
        str,
        typer.Option(help="module; baselines: least, all (of r), anywhere, unlimited, priority (of sites)."),
    ] = "module",
) -> None:
    """Plays a scripted day, or a scene of duties, with brokers as processes; status 1 if a rule was broken."""
    from badgerbend.standin.day import load_day, play

    try:
        if form_name(file) == "scene":
            _play_scene(file, report, keep)
        plan = load_day(file)
    except SettingsError as err:
        exit_with_error(str(err), BAD_SETTINGS)
    result = uvloop.run(play(plan, file, keep, policy))
    console = Console(width=110)
    table = Table(title=f"{file}: {plan.seconds:g} s, {plan.brokers} brokers, {plan.servers} servers (loopback)")
    for heading in ("rule", "checked", "broken", "first case"):
        table.add_column(heading)
    for rule in result.rules:
        table.add_row(rule.name, str(rule.checked), str(len(rule.cases)), rule.cases[0] if rule.cases else "")
    console.print(table)
    for line in result.service_lines():
        console.print(line, highlight=False)
    if report is not None:
        report.write_text(json.dumps(result.as_json(), indent=2) + "\n", encoding="utf-8")
    broken = sum(1 for r in result.rules if r.cases)
    print(f"rules broken: {broken} of {len(result.rules)}")
    raise typer.Exit(1 if broken else 0)


def _play_scene(file: Path, report: Path | None, keep: Path | None) -> None:
    """Plays a scene of duties, prints its findings, and ends the process with status 1 if a rule was broken."""
    from badgerbend.standin.duty_audit import format_rows
    from badgerbend.standin.scene import load_scene, play

    try:
        scene = load_scene(file)
    except SettingsError as err:
        exit_with_error(str(err), BAD_SETTINGS)
    result = uvloop.run(play(scene, keep))
    console = Console(width=110)
    holdings = Table(title=f"{file}: {scene.seconds:g} s, {scene.brokers} brokers, {scene.voters} voters (loopback)")
    for heading in ("duty", "epoch", "holder", "first act, s", "last", "acts", "stale"):
        holdings.add_column(heading)
    for row in format_rows(result.audit.holdings, result.began):
        holdings.add_row(*row)
    console.print(holdings)
    for number, (at, what) in enumerate(result.events):
        gap = result.longest_gap_ms(number, GAP_S)
        console.print(f"{(at - result.began) / 1000:6.2f} s {what}: no act for {gap:.0f} ms within {GAP_S:g} s")
    broken = [f"{f.name}: {case}" for f in result.audit.findings for case in f.cases]
    for line in broken:
        console.print(line, highlight=False)
    if report is not None:
        report.write_text(json.dumps(result.as_json(), indent=2) + "\n", encoding="utf-8")
    print(f"rules broken: {sum(1 for f in result.audit.findings if f.cases)} of {len(result.audit.findings)}")
    raise typer.Exit(1 if broken else 0)


if __name__ == "__main__":
    main()
