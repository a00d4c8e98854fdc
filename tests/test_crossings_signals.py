"""Signals that cross with a broker's start, its first question and its end; processes on loopback, forced by events."""

import asyncio
import os
import resource
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import msgspec
import pytest

from badgerbend.standin.fault_proxy import free_port
from tests.platform_stage import CELLS, file_of, query, run, surroundings
from tests.replacing import replaced
from tests.sockets import until

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
RUN = replaced(DEPLOY["run"], ".venv/bin/python", sys.executable)
HELD = "import os\nopen(os.environ['HELD']).read()\n"  # a start that stands still until its pipe is closed


class Started:
    """A broker as `run` of the deploy file starts it, from a configuration that comes by a named pipe."""

    def __init__(self, folder, held=False):
        self.config, self.held = folder / "config.json", folder / "held"
        for pipe in (self.config, self.held):
            os.mkfifo(pipe)
        (folder / "sitecustomize.py").write_text(HELD if held else "")
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": f"{folder}:{ROOT}",
            "ROUTER_CONFIG": str(self.config),
            "HELD": str(self.held),
        }
        self.process = subprocess.Popen(["/bin/sh", "-c", RUN], cwd=ROOT, env=env, stderr=subprocess.PIPE)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()

    async def opened(self, pipe):
        """Once the process reads the pipe."""
        return await asyncio.to_thread(open, pipe, "wb")

    def reading(self):
        """Whether it still has its configuration open: a second file would be read as the end of the first."""
        fds = Path(f"/proc/{self.process.pid}/fd")
        return any(os.path.realpath(fd) == str(self.config.resolve()) for fd in fds.iterdir())

    async def tell(self, file):
        with await self.opened(self.config) as pipe:
            pipe.write(file)

    async def line(self):
        return msgspec.json.decode(await asyncio.to_thread(self.process.stderr.readline))

    async def until_line(self, what):
        while (line := await self.line())["what"] != what:
            pass
        return line

    async def ended(self):
        return await asyncio.to_thread(self.process.wait)


def test_a_reload_signalled_while_the_program_is_loaded_does_not_end_it(tmp_path):
    async def main():
        agent, node = await surroundings()
        async with Started(tmp_path, held=True) as started:
            held = await started.opened(started.held)
            started.process.send_signal(signal.SIGHUP)  # before any line of the program has run
            held.close()
            await started.tell(file_of(agent.http.address[1], listen=free_port()))
            assert (await started.until_line("listening"))["servers"] == CELLS
            started.process.send_signal(signal.SIGTERM)
            assert await started.ended() == 0
        node.stop()
        await agent.close()

    run(main)


def test_a_reload_signalled_while_the_configuration_is_read_is_carried_out_once_it_can_be(tmp_path):
    async def main():
        (old, node), (new, other) = await surroundings(), await surroundings()
        port = free_port()
        async with Started(tmp_path) as started:
            config = await started.opened(started.config)
            started.process.send_signal(signal.SIGHUP)
            config.write(file_of(old.http.address[1], listen=port))
            config.close()
            await until(lambda: not started.reading())
            await started.tell(file_of(new.http.address[1], listen=port))  # read by the reload
            await started.until_line("reloaded")
            await started.until_line("listening")
            await until(lambda: new.watches)
            assert not old.watches
        for one in (node, other):
            one.stop()
        for agent in (old, new):
            await agent.close()

    run(main)


@pytest.mark.parametrize("before", ["reload", "nothing"])
def test_told_to_end_during_its_first_question_it_ends_at_once_and_never_listens(tmp_path, before):
    async def main():
        agent, node = await surroundings()
        agent.silent = True
        file = file_of(agent.http.address[1], listen=free_port(), settings={"obligations.drainGraceMs": 60_000.0})
        async with Started(tmp_path) as started:
            await started.tell(file)
            await until(lambda: agent.requests)
            if before == "reload":  # twice, and each asks anew
                for count in (2, 3):
                    started.process.send_signal(signal.SIGHUP)
                    await started.tell(file)
                    await until(lambda count=count: len(agent.requests) == count)
            started.process.send_signal(signal.SIGTERM)
            assert await started.ended() == 0
            lines = [msgspec.json.decode(line)["what"] for line in started.process.stderr]
            assert "ended before it listened" in lines
            assert "listening" not in lines
        node.stop()
        await agent.close()

    run(main)


def test_a_reload_after_the_signal_to_end_and_one_that_cannot_be_used_change_nothing(tmp_path):
    async def main():
        agent, node = await surroundings()
        port = free_port()
        file = file_of(agent.http.address[1], listen=port)
        async with Started(tmp_path) as started:
            await started.tell(file)
            await started.until_line("listening")
            started.process.send_signal(signal.SIGHUP)
            await started.tell(file_of(agent.http.address[1], listen=port, settings={"ceilings.maxAttempts": "many"}))
            refused = await started.until_line("trouble")
            assert refused["kind"] == "configuration not taken"
            assert "ceilings.maxAttempts" in refused["detail"]
            started.process.send_signal(signal.SIGTERM)
            await started.until_line("ending")
            started.process.send_signal(signal.SIGHUP)
            await started.tell(file)
            await started.until_line("reloaded")
            assert await started.ended() == 0
        node.stop()
        await agent.close()

    run(main)


def test_a_start_with_a_long_old_list_and_a_silent_agent_costs_under_a_tenth_of_ten_seconds(tmp_path):
    # Nine in ten restarts are to be ready within 10 s, on a tenth of a core too: all its work is under a second.
    async def main():
        agent, node = await surroundings()
        agent.silent = True
        for i in range(1024):
            agent.put(f"long-{i}", node.port, i % CELLS)
        file = msgspec.json.format(file_of(agent.http.address[1], agent.full_list(), listen=free_port()))
        async with Started(tmp_path) as started:
            await started.tell(file)
            assert (await started.until_line("listening"))["servers"] == 1024 + CELLS
            stat = Path(f"/proc/{started.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            assert (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK") < 0.9
        node.stop()
        await agent.close()

    run(main)


def test_idle_clients_that_fill_the_descriptors_while_discovery_is_down_cost_neither_list_nor_request(tmp_path):
    async def main():
        agent, node = await surroundings()
        port = free_port()
        async with Started(tmp_path) as started:
            await started.tell(file_of(agent.http.address[1], agent.full_list(), listen=port, limits={"sockets": 128}))
            await started.until_line("listening")
            resource.prlimit(started.process.pid, resource.RLIMIT_NOFILE, (128, 128))
            await until(lambda: agent.watches)
            agent.silent, agent.watches = True, []
            for connection in list(agent.http.connections):
                connection.abort()  # discovery is down: the agent answers no more, and a new connection is needed
            idle = []
            for _ in range(300):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                idle.append(writer)
            agent.silent = False
            agent.put("s0", node.port, 0, "draining")
            while "s0" not in (await started.until_line("list"))["names"]:
                pass
            body = query((1, 2))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                b"POST /quote/abc HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: q1\r\nX-Service-Class: quote\r\n"
                b"X-Account: acme\r\nX-Time-Left-Ms: 3000\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            )
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            for one in (*idle, writer):
                one.close()
        node.stop()
        await agent.close()

    run(main)
