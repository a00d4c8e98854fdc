"""Signals that arrive during a broker's start, first discovery request and end; real processes over loopback."""

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
BLOCK_START = "import os\nopen(os.environ['START_GATE']).read()\n"  # blocks the start until its pipe is closed


class StartedBroker:
    """A broker, started by `run` of the deploy file, that reads its configuration from a named pipe."""

    def __init__(self, folder, blocked=False):
        self.config, self.start_gate = folder / "config.json", folder / "start_gate"
        for pipe in (self.config, self.start_gate):
            os.mkfifo(pipe)
        (folder / "sitecustomize.py").write_text(BLOCK_START if blocked else "")
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": f"{folder}:{ROOT}",
            "ROUTER_CONFIG": str(self.config),
            "START_GATE": str(self.start_gate),
        }
        self.process = subprocess.Popen(["/bin/sh", "-c", RUN], cwd=ROOT, env=env, stderr=subprocess.PIPE)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()

    async def open_for_writing(self, pipe):
        """Opens the pipe once the process opens it for reading."""
        return await asyncio.to_thread(open, pipe, "wb")

    def reads_configuration(self):
        """Whether the process still has its configuration open: a second file would be read as the end of the first."""
        fds = Path(f"/proc/{self.process.pid}/fd")
        return any(os.path.realpath(fd) == str(self.config.resolve()) for fd in fds.iterdir())

    async def write_configuration(self, file):
        with await self.open_for_writing(self.config) as pipe:
            pipe.write(file)

    async def next_line(self):
        return msgspec.json.decode(await asyncio.to_thread(self.process.stderr.readline))

    async def until_line(self, what):
        while (line := await self.next_line())["what"] != what:
            pass
        return line

    async def wait(self):
        return await asyncio.to_thread(self.process.wait)


def test_a_reload_signal_while_the_program_is_loaded_does_not_end_it(tmp_path):
    async def main():
        agent, node = await surroundings()
        async with StartedBroker(tmp_path, blocked=True) as started:
            gate = await started.open_for_writing(started.start_gate)
            started.process.send_signal(signal.SIGHUP)  # before any line of the program ran
            gate.close()
            await started.write_configuration(file_of(agent.http.address[1], listen=free_port()))
            assert (await started.until_line("listening"))["servers"] == CELLS
            started.process.send_signal(signal.SIGTERM)
            assert await started.wait() == 0
        node.stop()
        await agent.close()

    run(main)


def test_a_reload_signal_while_the_configuration_is_read_takes_effect_afterwards(tmp_path):
    async def main():
        (old, node), (new, other) = await surroundings(), await surroundings()
        port = free_port()
        async with StartedBroker(tmp_path) as started:
            config = await started.open_for_writing(started.config)
            started.process.send_signal(signal.SIGHUP)
            config.write(file_of(old.http.address[1], listen=port))
            config.close()
            await until(lambda: not started.reads_configuration())
            await started.write_configuration(file_of(new.http.address[1], listen=port))  # read by the reload
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
def test_a_broker_terminated_during_its_first_discovery_request_ends_at_once_and_never_listens(tmp_path, before):
    async def main():
        agent, node = await surroundings()
        agent.silent = True
        file = file_of(agent.http.address[1], listen=free_port(), settings={"obligations.drainGraceMs": 60_000.0})
        async with StartedBroker(tmp_path) as started:
            await started.write_configuration(file)
            await until(lambda: agent.requests)
            if before == "reload":  # each of two reloads sends a new discovery request
                for count in (2, 3):
                    started.process.send_signal(signal.SIGHUP)
                    await started.write_configuration(file)
                    await until(lambda count=count: len(agent.requests) == count)
            started.process.send_signal(signal.SIGTERM)
            assert await started.wait() == 0
            lines = [msgspec.json.decode(line)["what"] for line in started.process.stderr]
            assert "ended before it listened" in lines
            assert "listening" not in lines
        node.stop()
        await agent.close()

    run(main)


def test_an_invalid_reload_and_a_reload_after_sigterm_change_nothing(tmp_path):
    async def main():
        agent, node = await surroundings()
        port = free_port()
        file = file_of(agent.http.address[1], listen=port)
        async with StartedBroker(tmp_path) as started:
            await started.write_configuration(file)
            await started.until_line("listening")
            started.process.send_signal(signal.SIGHUP)
            await started.write_configuration(
                file_of(agent.http.address[1], listen=port, settings={"ceilings.maxAttempts": "many"})
            )
            refused = await started.until_line("trouble")
            assert refused["kind"] == "configuration not taken"
            assert "ceilings.maxAttempts" in refused["detail"]
            started.process.send_signal(signal.SIGTERM)
            await started.until_line("ending")
            started.process.send_signal(signal.SIGHUP)
            await started.write_configuration(file)
            await started.until_line("reloaded")
            assert await started.wait() == 0
        node.stop()
        await agent.close()

    run(main)


def test_a_start_with_a_long_stored_list_and_a_silent_agent_takes_less_than_a_second_of_cpu_time(tmp_path):
    # Nine in ten restarts must be ready within 10 s on a tenth of a core, so a start may use less than 1 s of CPU time.
    async def main():
        agent, node = await surroundings()
        agent.silent = True
        for i in range(1024):
            agent.put(f"long-{i}", node.port, i % CELLS)
        file = msgspec.json.format(file_of(agent.http.address[1], agent.full_list(), listen=free_port()))
        async with StartedBroker(tmp_path) as started:
            await started.write_configuration(file)
            assert (await started.until_line("listening"))["servers"] == 1024 + CELLS
            stat = Path(f"/proc/{started.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            assert (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK") < 0.9
        node.stop()
        await agent.close()

    run(main)


def test_idle_clients_that_use_all_descriptors_during_a_discovery_outage_block_no_list_and_no_request(tmp_path):
    async def main():
        agent, node = await surroundings()
        port = free_port()
        async with StartedBroker(tmp_path) as started:
            await started.write_configuration(
                file_of(agent.http.address[1], agent.full_list(), listen=port, limits={"sockets": 128})
            )
            await started.until_line("listening")
            resource.prlimit(started.process.pid, resource.RLIMIT_NOFILE, (128, 128))
            await until(lambda: agent.watches)
            agent.silent, agent.watches = True, []
            for connection in list(agent.http.connections):
                connection.abort()  # discovery is down: the agent does not answer, and a new connection to it is needed
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
