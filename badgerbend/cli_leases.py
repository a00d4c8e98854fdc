"""The commands `badgerbend duties` and `badgerbend voters`: status of leases and voters, and operators' changes."""

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
from badgerbend.process import BAD_SETTINGS, CANNOT_START, exit_with_error
from badgerbend.wal.errors import StoreError
from badgerbend.wal.identity import read_identity
from badgerbend.wal.store import create_store, read_store

duties = typer.Typer(no_args_is_help=True, help="Duties that one broker holds at a time: who holds them, hand-over.")
voters = typer.Typer(no_args_is_help=True, help="Those who agree on duties: their stores, their state, who votes.")
Ports = Annotated[list[int], typer.Option("--port", help="A broker's port; give it for each broker.")]
Port = Annotated[int, typer.Option(help="The broker's port.")]
Host = Annotated[str, typer.Option(help="The broker's host.")]
DutiesKey = Annotated[Path, typer.Option(help="The file with the duties' key.")]

REPORT_WIDTH = 140  # columns where the output is no terminal


@duties.command("list")
def duties_list(port: Port = 8080, host: Host = "127.0.0.1") -> None:
    """Shows who holds which duty, as a broker was last told."""
    status = _status(port, host)
    table = Table(title=f"{status['name']} at {port}; leader {status['leader'] or 'not known'}")
    for heading in ("duty", "holder", "epoch", "here for ms"):
        table.add_column(heading)
    for duty in status["duties"]:
        remaining_ms = str(duty["for_ms"]) if duty["may_act"] else "-"
        table.add_row(duty["duty"], duty["holder"] or "nobody", str(duty["epoch"]), remaining_ms)
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
        exit_with_error(
            f"{name} is none of the voters that are named; for one that joins later name none", BAD_SETTINGS
        )
    try:
        create_store(folder, name, voter)
    except (StoreError, OSError) as err:
        exit_with_error(str(err), BAD_SETTINGS)
    print(f"{folder}: the store of {name}, " + (f"one of {len(voter)}" if voter else "to be added by the others"))


@voters.command("check")
def voters_check(folder: Path) -> None:
    """Reads a voter's store and changes nothing; status 2 where it would be refused."""
    try:
        identity = read_identity(folder)
        segment, state, size = read_store(folder)
    except (StoreError, OSError) as err:
        exit_with_error(str(err), BAD_SETTINGS)
    log = state.log
    names = ", ".join(log.configuration().voters) or "not known yet"
    print(f"{folder}: {identity.name}, term {state.term}, voted for {state.voted_for or 'nobody'}")
    print(f"log.{segment}: {size} bytes, snapshot at {log.snapshot_index}, last entry {log.last_index}, voters {names}")


@voters.command("status")
def voters_status(port: Ports = [8080], host: Host = "127.0.0.1") -> None:  # noqa: B006
    """Shows how voters stand with each other; status 1 if none of those asked leads."""
    table = Table(title="voters")
    for heading in ("broker", "role", "term", "leader", "commit", "last", "voters", "others: match, silent for ms"):
        table.add_column(heading)
    statuses = [_status(broker_port, host) for broker_port in port]
    for status in statuses:
        table.add_row(*_voter_row(status))
    console = Console()
    if not console.is_terminal:
        console = Console(width=REPORT_WIDTH)
    console.print(table)
    has_leader = any(status["vote"] is not None and status["vote"]["role"] == "leader" for status in statuses)
    raise typer.Exit(0 if has_leader else 1)


def _voter_row(status: Any) -> list[str]:
    voter = status["vote"]
    if voter is None:
        return [status["name"], "does not vote", *["-"] * 6]
    role = f"{voter['role']}, votes no more: {voter['broken']}" if voter["broken"] else voter["role"]
    followers = [f"{name}: {state['match']}, {state['silent_ms']}" for name, state in voter["others"].items()]
    counts = [str(voter[key]) for key in ("term", "leader", "commit", "last")]
    return [status["name"], role, *counts, " ".join(voter["voters"]), "; ".join(followers)]


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
        exit_with_error(f"no answer from {host}:{port}: {err}", CANNOT_START)


def _command(port: int, host: str, path: str, key: Path) -> str:
    try:
        token = read_key(key).decode("latin-1")
        return str(uvloop.run(fetch(port, f"/duties/{path}", host, "POST", token))["said"])
    except (ConnectionError, KeyFileError) as err:
        exit_with_error(f"{host}:{port}: {err}", CANNOT_START)
