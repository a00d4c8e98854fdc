"""Runs a broker as a process: signal handling, startup errors and exit statuses.

Used by the command line and by the programs in `standin`.
"""

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

BAD_SETTINGS, CANNOT_START = 2, 3  # exit statuses
BrokerFactory = Callable[[Settings, Subgraph, Path], Broker]


def exit_with_error(text: str, status: int) -> NoReturn:
    """Prints one line to standard error and exits with the status."""
    print(f"badgerbend: {text}", file=sys.stderr)
    raise typer.Exit(status)


async def wait_for_stop_signal() -> None:
    """Waits for SIGINT or SIGTERM."""
    stop_requested = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()


async def serve(create_broker: BrokerFactory, settings: Settings, graph: Subgraph, folder: Path) -> int:
    """Runs one broker until SIGINT or SIGTERM; returns the exit status."""
    log.configure(settings.log)
    try:
        broker = create_broker(settings, graph, folder)
        await broker.start()
    except (ValueError, KeyFileError, StoreError) as err:
        print(f"badgerbend: cannot start: {err}", file=sys.stderr)
        return CANNOT_START
    except OSError as err:
        print(f"badgerbend: cannot listen, or cannot read a file named in the settings: {err}", file=sys.stderr)
        return CANNOT_START
    tune_garbage_collector()
    await wait_for_stop_signal()
    await broker.stop()
    return 0
