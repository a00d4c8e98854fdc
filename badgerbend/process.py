"""A broker as a process: its signals, what it says where it cannot start, and the statuses it ends with."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn

import typer

from badgerbend import log
from badgerbend.broker import Broker, tune_garbage_collector
from badgerbend.config.settings import Settings
from badgerbend.graphql.schema import Subgraph
from badgerbend.net.seal import KeyFileError
from badgerbend.wal.errors import StoreError

BAD_SETTINGS, CANNOT_START = 2, 3
Make = Callable[[Settings, Subgraph, Path], Broker]


def exit_with_error(text: str, status: int) -> NoReturn:
    """Ends a command with one line and a status."""
    print(f"badgerbend: {text}", file=sys.stderr)
    raise typer.Exit(status)


async def wait_for_stop_signal() -> None:
    """Until an interrupt or a request to end."""
    told = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, told.set)
    await told.wait()


async def serve(make: Make, settings: Settings, graph: Subgraph, folder: Path) -> int:
    """Runs one broker until told to end; the status to exit with."""
    log.configure(settings.log)
    try:
        broker = make(settings, graph, folder)
        await broker.start()
    except (ValueError, KeyFileError, StoreError) as err:
        print(f"badgerbend: cannot start: {err}", file=sys.stderr)
        return CANNOT_START
    except OSError as err:
        print(f"badgerbend: cannot listen, or read what the settings name: {err}", file=sys.stderr)
        return CANNOT_START
    tune_garbage_collector()
    await wait_for_stop_signal()
    await broker.stop()
    return 0
