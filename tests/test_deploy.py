"""The requirements of the platform on `run`: one process, no system call that its filter forbids, no file written."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

import msgspec
import pytest

from badgerbend.net.client import Pool
from badgerbend.standin.client import LIMITS
from badgerbend.standin.fault_proxy import free_port
from tests.platform_stage import file_of, query, run, surroundings
from tests.replacing import replaced
from tests.sockets import until

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
CONFINED = ROOT / "tests" / "confined.py"


def test_run_and_sim_replace_the_shell_by_one_process_from_the_built_environment():
    # A reload signal that arrives while the interpreter starts is ignored rather than fatal; the file is read later.
    assert DEPLOY["run"] == "trap '' HUP; exec .venv/bin/python -m badgerbend.platform"
    assert DEPLOY["sim"].startswith("exec ")
    assert not any(c in DEPLOY["sim"] for c in "&|;")
    # The file system is read-only at run time, so no bytecode could be cached then.
    assert "compileall" in DEPLOY["build"]
    assert not DEPLOY["packages"]


def test_the_paths_in_the_deploy_file_exist():
    for path in (*DEPLOY["policy"], *DEPLOY["node"]):
        assert (ROOT / path).exists(), path


@pytest.mark.parametrize("what", ["fork", "unix", "write", "sendfile", "splice", "execute"])
def test_the_filter_kills_a_process_that_makes_a_forbidden_call(what):
    done = subprocess.run([sys.executable, CONFINED, what], capture_output=True)
    assert done.returncode == -signal.SIGSYS, done.stderr


@pytest.fixture
def readable_directory():
    """A directory that any user may read, outside `tmp_path`.

    When a pytest session starts, it makes the root of all `tmp_path` directories accessible to its owner alone, even
    while a test of another session runs.
    """
    with tempfile.TemporaryDirectory() as name:
        os.chmod(name, 0o755)
        yield Path(name)


def test_run_serves_reloads_and_ends_under_the_filter(readable_directory):
    """Runs as an ordinary user if the test may change its user. Any forbidden call kills the process with SIGSYS."""

    async def main():
        agent, node = await surroundings()
        port = free_port()
        config = readable_directory / "config.json"
        config.write_bytes(file_of(agent.http.address[1], listen=port))
        os.chmod(config, 0o644)
        env = {"PATH": os.environ["PATH"], "ROUTER_CONFIG": str(config)}
        process = subprocess.Popen([sys.executable, CONFINED], env=env, stderr=subprocess.PIPE)
        pool = Pool("127.0.0.1", port, LIMITS)
        try:
            first = [await asyncio.to_thread(process.stderr.readline) for _ in range(2)]
            # A line that is not JSON is an error message, which the assertion shows.
            assert all(line.startswith(b"{") for line in first), first
            assert [msgspec.json.decode(line)["what"] for line in first] == ["list", "listening"], first
            await until(lambda: agent.watches)  # the list was read, and a watch on it is open
            body = query((1, 2, 3))
            head = (
                b"POST /quote/abc HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: q1\r\nX-Service-Class: quote\r\n"
                b"X-Account: acme\r\nX-Time-Left-Ms: 3000\r\nContent-Length: %d\r\n\r\n" % len(body)
            )
            reply = asyncio.get_running_loop().create_future()
            pool.request(head + body, reply.set_result)
            assert (await reply).status == 200
            node.stop()  # the next connection is refused
            reply = asyncio.get_running_loop().create_future()
            pool.request(replaced(head, b"q1", b"q2") + body, reply.set_result)
            assert (await reply).status == 503
            process.send_signal(signal.SIGHUP)
            await until(lambda: sum("since" not in path for path in agent.requests) == 2)
            process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait) == 0
            lines = [msgspec.json.decode(line) for line in process.stderr]
        finally:
            pool.close()
            process.kill()
            process.stderr.close()
        ends = [line for line in lines if line["what"] == "ended"]
        assert [line["id"] for line in ends] == ["q2"]  # a refused query can be traced by its id
        assert ends[0]["how"].startswith("refused: ")
        assert {row[3] for row in ends[0]["lost"]} >= {"CONNECT_FAILED"}
        await agent.close()

    run(main)
