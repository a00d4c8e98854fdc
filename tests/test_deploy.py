"""What the platform asks of `run`: one process, nothing that its filter refuses, a file system it cannot write to."""

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


def test_run_and_sim_end_by_exec_in_one_process_of_what_build_leaves():
    # A signal to reload that comes while the interpreter starts is ignored, not fatal; the file is read after it.
    assert DEPLOY["run"] == "trap '' HUP; exec .venv/bin/python -m badgerbend.platform"
    assert DEPLOY["sim"].startswith("exec ")
    assert not any(c in DEPLOY["sim"] for c in "&|;")
    assert "compileall" in DEPLOY["build"]  # the file system is read-only later: nothing could be kept then
    assert not DEPLOY["packages"]


def test_what_is_named_in_the_deploy_file_is_there():
    for path in (*DEPLOY["policy"], *DEPLOY["node"]):
        assert (ROOT / path).exists(), path


@pytest.mark.parametrize("what", ["fork", "unix", "write", "sendfile", "splice", "execute"])
def test_the_filter_kills_what_it_is_for(what):
    done = subprocess.run([sys.executable, CONFINED, what], capture_output=True)
    assert done.returncode == -signal.SIGSYS, done.stderr


@pytest.fixture
def readable_directory():
    """A directory that any user may read, outside `tmp_path`.

    Each pytest session takes the root of all `tmp_path` back to its owner alone when it starts, also while a test of
    another session runs.
    """
    with tempfile.TemporaryDirectory() as name:
        os.chmod(name, 0o755)
        yield Path(name)


def test_run_serves_reloads_and_ends_under_the_filter(readable_directory):
    """As an ordinary user where the test may become one. Anything refused, and the process is gone by SIGSYS."""

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
            assert all(line.startswith(b"{") for line in first), first  # otherwise an error in words, shown as it is
            assert [msgspec.json.decode(line)["what"] for line in first] == ["list", "listening"], first
            await until(lambda: agent.watches)  # the list was read, and is watched
            body = query((1, 2, 3))
            head = (
                b"POST /quote/abc HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: q1\r\nX-Service-Class: quote\r\n"
                b"X-Account: acme\r\nX-Time-Left-Ms: 3000\r\nContent-Length: %d\r\n\r\n" % len(body)
            )
            done = asyncio.get_running_loop().create_future()
            pool.request(head + body, done.set_result)
            assert (await done).status == 200
            node.stop()  # and what it does when a connection is refused
            done = asyncio.get_running_loop().create_future()
            pool.request(replaced(head, b"q1", b"q2") + body, done.set_result)
            assert (await done).status == 503
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
        assert [line["id"] for line in ends] == ["q2"]  # an answer that was refused can be followed by its id
        assert ends[0]["how"].startswith("refused: ")
        assert {row[3] for row in ends[0]["lost"]} >= {"CONNECT_FAILED"}
        await agent.close()

    run(main)
