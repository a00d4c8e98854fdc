"""A process that runs several stand-in servers, controlled by lines of JSON on standard input. A day starts it.

The first line describes the servers, and the process answers with their ports on standard output. Each further line
is a command for some of the servers, see `_execute`.
"""

from __future__ import annotations

import asyncio
import gc
import sys
import time
from typing import Any

import msgspec
import uvloop

from badgerbend.standin.server import RateServer
from badgerbend.standin.work import Model


async def _open_stdin() -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=1 << 24)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def serve() -> None:
    reader = await _open_stdin()
    first = msgspec.json.decode(await reader.readline())
    with open(first["records"], "wb", buffering=1 << 16) as sink:
        encoder = msgspec.json.Encoder()

        def record(line: dict[str, Any]) -> None:
            line.setdefault("t", time.monotonic() * 1000.0)
            sink.write(encoder.encode(line) + b"\n")

        model = msgspec.convert(first["model"], Model)
        servers = {}
        for i, row in enumerate(first["servers"]):
            server = RateServer(row["name"], row["cell"], row["zone"], row["blocks"], model, first["seed"] + i, record)
            servers[server.name] = server
            await server.start(cold=False)
        print(msgspec.json.encode({s.name: s.port for s in servers.values()}).decode(), flush=True)
        gc.freeze()
        while line := await reader.readline():
            command = msgspec.json.decode(line)
            for name in command.get("names", servers):
                if name in servers:
                    await _execute(servers[name], command)


async def _execute(server: RateServer, command: dict[str, Any]) -> None:
    match command["do"]:
        case "crash":
            server.crash()
        case "restart":
            server.crash()
            await server.start(cold=True)
        case "revive":
            if not server.up and not server.overloaded:
                await server.start(cold=True)
        case "set":  # sets attributes of `Faults` by name
            for name, value in command["faults"].items():
                setattr(server.faults, name, frozenset(value) if name == "bad_for" else value)
        case "slower":
            server.machine.slowdown = command["by"]
        case "pause":
            server.faults.pause_until = server.now() + command["ms"]
        case "poison":
            server.poison = command["amount"]
        case other:
            raise ValueError(f"unknown command {other}")


if __name__ == "__main__":
    uvloop.run(serve())
