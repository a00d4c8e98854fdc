"""`badgerbend duties` and `badgerbend voters`: what a person asks of a fleet's duties, and tells it."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop
from rich.console import Console
from rich.table import Table

from badgerbend.net.fetch import fetch
from badgerbend.net.seal import KeyFileError, read_key
from badgerbend.process import BAD_SETTINGS, CANNOT_START, stop
from badgerbend.wal.errors import StoreError
from badgerbend.wal.store import create_store, read_identity, read_store

duties = typer.Typer(no_args_is_help=True, help="Duties that one broker holds at a time: who holds them, hand-over.")
voters = typer.Typer(no_args_is_help=True, help="Those who agree on duties: their stores, their state, who votes.")
Ports = Annotated[list[int], typer.Option("--port", help="A broker's port; give it for each broker.")]
Port = Annotated[int, typer.Option(help="The broker's port.")]
Host = Annotated[str, typer.Option(help="The broker's host.")]
DutiesKey = Annotated[Path, typer.Option(help="The file with the duties' key.")]


@duties.command("list")
def duties_list(port: Port = 8080, host: Host = "127.0.0.1") -> None:
    """Shows who holds which duty, as a broker was last told."""
    status = _status(port, host)
    table = Table(title=f"{status['name']} at {port}; leader {status['leader'] or 'not known'}")
    for heading in ("duty", "holder", "epoch", "here for ms"):
        table.add_column(heading)
    for d in status["duties"]:
        table.add_row(d["duty"], d["holder"] or "nobody", str(d["epoch"]), str(d["for_ms"]) if d["may_act"] else "-")
    Console().print(table)


@duties.command("show")
def duties_show(port: Port = 8080, host: Host = "127.0.0.1") -> None:
    """Prints all that a broker knows of duties and votes, as JSON."""
    print(json.dumps(_status(port, host), indent=2))


@duties.command("hand-over")
def duties_hand_over(key: DutiesKey, port: Port = 8080, host: Host = "127.0.0.1") -> None:
    """Lets a broker give back what it holds; another takes it."""
    print(_command(port, host, "hand-over", key))


@voters.command("create")
def voters_create(
    folder: Annotated[Path, typer.Argument(help="A new folder for the voter's store.")],
    name: Annotated[str, typer.Option(help="The voter's name, as broker-0; never used by another.")],
    voter: Annotated[
        list[str], typer.Option(help="A voter the fleet begins with; once for each. None for one that joins later.")
    ] = [],  # noqa: B006
) -> None:
    """Makes a voter's store, once: in the same way on each of those that a fleet begins with."""
    if voter and name not in voter:
        stop(f"{name} is none of the voters that are named; for one that joins later name none", BAD_SETTINGS)
    try:
        create_store(folder, name, voter)
    except (StoreError, OSError) as err:
        stop(str(err), BAD_SETTINGS)
    print(f"{folder}: the store of {name}, " + (f"one of {len(voter)}" if voter else "to be added by the others"))


@voters.command("check")
def voters_check(folder: Path) -> None:
    """Reads a voter's store and changes nothing; status 2 where it would be refused."""
    try:
        owner = read_identity(folder)
        number, kept, length = read_store(folder)
    except (StoreError, OSError) as err:
        stop(str(err), BAD_SETTINGS)
    log_, names = kept.log, ", ".join(kept.log.configuration().voters) or "not known yet"
    print(f"{folder}: {owner.name}, term {kept.term}, voted for {kept.voted_for or 'nobody'}")
    print(
        f"log.{number}: {length} bytes, snapshot at {log_.snapshot_index}, last entry {log_.last_index}, voters {names}"
    )


@voters.command("status")
def voters_status(port: Ports = [8080], host: Host = "127.0.0.1") -> None:  # noqa: B006
    """Shows how voters stand with each other; status 1 if none of those asked leads."""
    table = Table(title="voters")
    for heading in ("broker", "role", "term", "leader", "commit", "last", "voters", "others: match, silent for ms"):
        table.add_column(heading)
    leads = 0
    for one in port:
        status = _status(one, host)
        vote = status["vote"]
        if vote is None:
            table.add_row(status["name"], "does not vote", *["-"] * 6)
            continue
        leads += vote["role"] == "leader"
        others = "; ".join(f"{n}: {o['match']}, {o['silent_ms']}" for n, o in vote["others"].items())
        role = f"{vote['role']}, votes no more: {vote['broken']}" if vote["broken"] else vote["role"]
        row = (vote["term"], vote["leader"], vote["commit"], vote["last"])
        table.add_row(status["name"], role, *map(str, row), " ".join(vote["voters"]), others)
    console = Console()
    (console if console.is_terminal else Console(width=140)).print(table)
    raise typer.Exit(0 if leads else 1)


@voters.command("add")
def voters_add(name: str, key: DutiesKey, port: Port = 8080, host: Host = "127.0.0.1") -> None:
    """Lets a broker vote that has a store of its own and runs; ask the leader's port."""
    print(_command(port, host, f"voters/add/{name}", key))


@voters.command("remove")
def voters_remove(name: str, key: DutiesKey, port: Port = 8080, host: Host = "127.0.0.1") -> None:
    """Lets a broker vote no longer, whether it runs or not; ask the leader's port."""
    print(_command(port, host, f"voters/remove/{name}", key))


def _status(port: int, host: str) -> Any:
    try:
        return uvloop.run(fetch(port, "/duties", host))
    except ConnectionError as err:
        stop(f"no answer from {host}:{port}: {err}", CANNOT_START)


def _command(port: int, host: str, path: str, key: Path) -> str:
    try:
        token = read_key(key).decode("latin-1")
        return str(uvloop.run(fetch(port, f"/duties/{path}", host, "POST", token))["said"])
    except (ConnectionError, KeyFileError) as err:
        stop(f"{host}:{port}: {err}", CANNOT_START)
