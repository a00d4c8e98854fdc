"""Brokers as separate processes: writes their settings, starts them, waits for them, signals and ends them."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

from badgerbend.config import decode
from badgerbend.config.settings import Settings
from badgerbend.standin.client import Client

READY_S = 20.0
STOP_S = 15.0


async def wait_until_ready(port: int) -> None:
    """Waits until the broker at this port answers queries. Raises TimeoutError."""
    async with asyncio.timeout(READY_S):
        while True:
            client = Client(port)
            with contextlib.suppress(ConnectionError):
                await client.query("{ _service { sdl } }")
                client.close()
                return
            client.close()
            await asyncio.sleep(0.05)


class BrokerProcess:
    """One broker process. before and after: the arguments of the interpreter's -m around the path of the settings."""

    def __init__(self, settings: Settings, conf: Path, before: list[str], after: list[str] | None = None) -> None:
        self.settings, self.conf = settings, conf
        self.before, self.after = before, after or []
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process and waits until it answers queries. Raises TimeoutError."""
        await self.launch()
        await wait_until_ready(self.settings.listen.port)

    async def launch(self) -> None:
        """Writes the settings and starts the process, without waiting for it to serve."""
        self.conf.write_text(f"(broker\n{decode.show(self.settings, 1)}\n)\n", encoding="utf-8")
        with open(self.conf.with_suffix(".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *self.before, str(self.conf), *self.after, stderr=log, stdout=log
            )

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def send(self, number: int) -> None:
        """Sends a signal, unless the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            if self.process is not None:
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Sends SIGKILL and waits for the process to end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def terminate(self) -> int:
        """Sends SIGTERM, waits for the process to end and returns its status; kills it if it does not end in time."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        assert self.process is not None
        try:
            return await asyncio.wait_for(self.process.wait(), STOP_S)
        except TimeoutError:
            await self.kill()
            return -signal.SIGKILL
