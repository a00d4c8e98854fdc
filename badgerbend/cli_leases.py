"""The commands `badgerbend duties` and `badgerbend voters`: the status of leases and voters, and changes to them."""

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

duties = typer.Typer(no_args_is_help=True, help="Show which broker holds which duty, and hand duties over.")
voters = typer.Typer(no_args_is_help=True, help="Manage the voters: their stores, their status and their membership.")
Ports = Annotated[list[int], typer.Option("--port", help="A broker's port; repeat the option for each broker.")]
Port = Annotated[int, typer.Option(help="The broker's port.")]
Host = Annotated[str, typer.Option(help="The broker's host.")]
DutiesKey = Annotated[Path, typer.Option(help="The file with the duties' key.")]

REPORT_WIDTH = 140  # columns, if the output is not a terminal


@duties.command("list")
def duties_list(port: Port = 8080, host: Host = "127.0.0.1") -> None:
    """Shows which broker holds which duty, as last reported to the queried broker."""
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
    """Prints the complete status of a broker's leases and voter as JSON."""
    print(json.dumps(_status(port, host), indent=2))


@duties.command("hand-over")
def duties_hand_over(key: DutiesKey, port: Port = 8080, host: Host = "127.0.0.1") -> None:
    """Makes a broker return its leases, so that other brokers take over its duties."""
    print(_command(port, host, "hand-over", key))


@voters.command("create")
def voters_create(
    folder: Annotated[Path, typer.Argument(help="A new folder for the voter's store.")],
    name: Annotated[str, typer.Option(help="The voter's name, such as broker-0; no other voter may ever have had it.")],
    voter: Annotated[
        list[str], typer.Option(help="An initial voter; repeat for each. Omit it for a voter that joins later.")
    ] = [],  # noqa: B006
) -> None:
    """Creates a voter's store. Run it once on each initial voter, with the same list of voters."""
    if voter and name not in voter:
        exit_with_error(
            f"{name} is none of the voters given with --voter; omit --voter for a voter that joins later", BAD_SETTINGS
        )
    try:
        create_store(folder, name, voter)
    except (StoreError, OSError) as err:
        exit_with_error(str(err), BAD_SETTINGS)
    print(f"{folder}: the store of {name}, " + (f"one of {len(voter)}" if voter else "to be added by the others"))


@voters.command("check")
def voters_check(folder: Path) -> None:
    """Reads a voter's store without changing it. The exit status is 2 if the store cannot be used."""
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
    """Shows the state of the voters. The exit status is 1 if none of the queried brokers leads."""
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
    """Adds a running broker that has a store to the voters. Send it to the leader's port."""
    print(_command(port, host, f"voters/add/{name}", key))


@voters.command("remove")
def voters_remove(name: str, key: DutiesKey, port: Port = 8080, host: Host = "127.0.0.1") -> None:
    """Removes a broker from the voters, whether it runs or not. Send it to the leader's port."""
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
