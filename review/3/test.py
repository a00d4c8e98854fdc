"""Bad clients that send many requests at once: does the broker stay inside its limit of memory?"""

from __future__ import annotations

import asyncio
import contextlib
import random
import subprocess
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stage  # noqa: E402

BAD_CLIENTS, USUAL_CLIENTS = 100, 10
LIMITS = {"cores": 1.0, "memory_mb": 88, "sockets": 576}
SECONDS = 15.0


def behave(part: stage.Part) -> None:
    """A sound node: it serves each part after some work."""
    asyncio.get_running_loop().call_later(random.uniform(0.09, 0.13), part.serve)


def memory_kb(pid: int) -> int:
    """The memory of a process that is its own: without what it shares with files."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("RssAnon")).split()[1])


async def usual(scene: stage.Stage, answers: list[int], lost: list[str]) -> None:
    """A usual client: one request after the other, until the broker is gone."""
    with contextlib.suppress(ConnectionError):
        reader, writer = await asyncio.open_connection(stage.HOST, scene.port)
        while True:
            name, shards = stage.new_id(), random.sample(range(stage.SHARDS), 3)
            scene.record.add("usual client sends", name, *shards)
            writer.write(stage.request(name, shards, 3000))
            try:
                answers.append((await stage.read_answer(reader))[0])
            except asyncio.IncompleteReadError:
                lost.append(name)
                scene.record.add("usual client has lost", name)
                return
            scene.record.add("usual client gets", name, answers[-1])
            await asyncio.sleep(random.uniform(0.1, 0.3))


async def play() -> bool:
    """Plays the case; returns whether the rule held."""
    answers: list[int] = []
    lost: list[str] = []
    over = False
    async with stage.Stage(FOLDER, behave, limits=LIMITS) as scene:
        assert scene.process is not None
        pid = scene.process.pid
        peak = before = memory_kb(pid)
        clients = [asyncio.create_task(usual(scene, answers, lost)) for _ in range(USUAL_CLIENTS)]
        await asyncio.sleep(1.0)
        bad = subprocess.Popen([sys.executable, str(FOLDER / "bad_clients.py"), str(scene.port), str(BAD_CLIENTS)])
        try:
            ends_at = time.monotonic() + SECONDS
            while time.monotonic() < ends_at and not over:
                await asyncio.sleep(0.02)
                now = memory_kb(pid)
                scene.record.add("platform sees", now, "kB")
                peak, over = max(peak, now), now > LIMITS["memory_mb"] * 1024
            if over:
                scene.record.add("OVER THE LIMIT: the platform kills the broker at", peak, "kB")
                scene.process.kill()
                await asyncio.wait(clients, timeout=3.0)
        finally:
            bad.kill()
            bad.wait()
            for task in clients:
                task.cancel()
    print(
        f"memory {before} kB before, at most {peak} kB of {LIMITS['memory_mb'] * 1024} kB; usual clients got "
        f"{len(answers)} answers and lost {len(lost)} open requests"
    )
    return not over


stage.main(play)
