"""The demonstration: a fleet and a broker on loopback answer federated queries, also while servers are lost."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from badgerbend import log
from badgerbend.broker import Broker, read_subgraph
from badgerbend.config.reading import load
from badgerbend.config.settings import Log
from badgerbend.process import wait_for_stop_signal
from badgerbend.standin.client import Client
from badgerbend.standin.work import Model
from badgerbend.standin.world import World

SETTINGS = Path(__file__).parent / "rates" / "broker.conf"
DEMO_QUERIES = [
    (
        "a full-quote and a rate-compare in one operation",
        """{
  quote: fullQuote(blocks: [1, 2], amount: 30000) { id lender monthly }
  cheapest: rateCompare(blocks: [0, 1, 2, 3, 4, 5, 6, 7], amount: 30000, first: 3) { id lender monthly }
}""",
    ),
    (
        "a report, the best rows with their terms from a second step",
        "{ quoteReport(blocks: [4, 5, 6], amount: 12000, first: 3) { id monthly terms { fee deposit } } }",
    ),
    ("a hold, which may be repeated for a while", 'mutation { holdRate(block: 3, rate: "3:1") { id server } }'),
    (
        "what a federation router asks",
        '{ _entities(representations: [{__typename: "Rate", id: "9:2"}]) { ... on Rate { id lender apr } } }',
    ),
]


async def show_demo(hold: bool, port: int) -> int:
    """Runs the demonstration and returns its exit status: 0 if all answers were correct, 3 if the port is taken.

    hold: whether fleet and broker stay up until they are interrupted.
    """
    console = Console(width=100)
    log.configure(Log(form="console", level="warning"))
    world = World(24, 12, 3, 1, lambda line: None)
    await world.start(12, 2, Model(part_ms=15.0))
    settings = load(SETTINGS)
    address = world.registry.http.address
    settings = msgspec.structs.replace(
        settings,
        listen=msgspec.structs.replace(settings.listen, port=port),
        discovery=msgspec.structs.replace(settings.discovery, port=address[1]),
    )
    broker = Broker(settings, read_subgraph(settings, SETTINGS))
    try:
        bound = await broker.start()
    except OSError as err:
        console.print(f"cannot listen on port {port}: {err}")
        await world.close()
        return 3
    console.print(f"12 rate servers and a broker are up; GraphQL is at http://127.0.0.1:{bound}/graphql")
    client = Client(bound)
    while broker.watch.refreshed_at is None:
        await asyncio.sleep(0.01)
    failures = 0
    for title, text in DEMO_QUERIES:
        failures += await _run_query(console, client, title, text)
    console.print(
        "\n[bold]Two of twelve servers crash; the server list still shows them. The same query, ten times.[/bold]"
    )
    world.crash("rates-1", update_list=False)
    world.crash("rates-5", update_list=False)
    text = "{ rateCompare(blocks: [0,1,2,3,4,5,6,7], amount: 30000, first: 1) { id } }"
    answers = [await client.query(text, badgerbend_time_left_ms="3000") for _ in range(10)]
    successful = [a for _, a, _ in answers if "errors" not in a]
    whole = sum(a["extensions"]["badgerbend"]["fields"]["rateCompare"]["whole"] for a in successful)
    console.print(f"whole answers: {whole} of 10")
    failures += whole < 10
    client.close()
    if hold:
        console.print(f"\nleft up at http://127.0.0.1:{bound}/graphql until interrupted")
        await wait_for_stop_signal()
    await broker.stop()
    await world.close()
    return 1 if failures else 0


async def _run_query(console: Console, client: Client, title: str, text: str) -> int:
    console.print(f"\n[bold]{title}[/bold]")
    console.print(text, highlight=False, markup=False)
    status, answer, _ = await client.query(text, badgerbend_time_left_ms="3000")
    for field, rows in (answer.get("data") or {}).items():
        console.print(_table(field, rows if isinstance(rows, list) else [rows]))
    states = answer.get("extensions", {}).get("badgerbend", {}).get("fields", {})
    for field, state in states.items():
        console.print(f"{field}: {'whole' if state['whole'] else 'in part'}, {state['parts']} of {state['of']} parts")
    for error in answer.get("errors", []):
        console.print(f"error: {error}", highlight=False)
    return int(status != 200 or "errors" in answer)


def _table(title: str, rows: list[Any]) -> Table:
    table = Table(title=title, title_justify="left")
    for name in rows[0] if rows and rows[0] else ():
        table.add_column(name)
    for row in rows:
        table.add_row(*(str(v) for v in (row or {}).values()))
    return table


async def run_fleet(shards: int, cells: int, reach: int, servers: int, zones: int, port: int) -> int:
    """Runs servers and their server list until a stop signal; returns the exit status."""
    world = World(shards, cells, reach, 1, lambda line: None)
    try:
        await world.start(servers, zones, Model(), port)
    except OSError as err:
        print(f"cannot listen on port {port}: {err}")
        return 3
    print(f"{servers} rate servers; their list is at http://127.0.0.1:{port}/v1/health/service/rates", flush=True)
    await wait_for_stop_signal()
    await world.close()
    return 0
