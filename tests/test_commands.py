"""The command line as a user meets it, each command a process of its own."""

import os
import re
import signal
import socket
import subprocess
import sys

import msgspec
import pytest

from tests.replacing import replaced
from tests.sockets import EXAMPLE

LIMIT_S = 120


def badgerbend(*words, **more):
    command = [sys.executable, "-m", "badgerbend", *map(str, words)]
    return subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S, **more)


def test_check_says_what_is_wrong_and_where(tmp_path):
    good = badgerbend("check", EXAMPLE)
    assert good.returncode == 0
    assert "fits; 5 fields" in good.stdout
    shown = badgerbend("check", EXAMPLE, "--show")
    assert "(port 8080)  ; default" in shown.stdout
    assert "(parts-per-call 4)" in shown.stdout
    bad = tmp_path / "bad.conf"
    bad.write_text(replaced(EXAMPLE.read_text(), "(reach 3)", "(reach 0)"))
    got = badgerbend("check", bad)
    assert got.returncode == 2
    assert re.search(r"bad\.conf:5:\d+: broker > layout > reach: expected", got.stderr)
    bad.write_text(EXAMPLE.read_text())
    got = badgerbend("check", bad)
    assert got.returncode == 2
    assert "schema" in got.stderr
    schema = (EXAMPLE.parent / "schema.graphql").read_text()
    (tmp_path / "schema.graphql").write_text(replaced(schema, "  fullQuote(", "  other("))
    got = badgerbend("check", bad)
    assert got.returncode == 2
    assert "root field Query.other has no (field other ...)" in got.stderr


def test_sdl_prints_what_a_router_composes():
    got = badgerbend("sdl", EXAMPLE)
    assert got.returncode == 0
    assert got.stdout.startswith("extend schema @link(")
    assert 'type Rate @key(fields: "id")' in got.stdout
    assert "_entities" not in got.stdout


def test_a_taken_port_ends_the_start_with_a_word(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        conf = tmp_path / "broker.conf"
        (tmp_path / "schema.graphql").write_text((EXAMPLE.parent / "schema.graphql").read_text())
        conf.write_text(replaced(EXAMPLE.read_text(), "(port 8080)", f"(port {taken.getsockname()[1]})"))
        got = badgerbend("run", conf)
        assert got.returncode == 3
        assert "cannot listen" in got.stderr


def test_a_broker_runs_answers_and_stops_when_told(tmp_path):
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    command = [sys.executable, "-m", "badgerbend", "demo", "--hold", "--port", str(port)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, env={**os.environ, "PYTHONUNBUFFERED": "1"})
    try:
        for line in process.stdout:
            if line.startswith("left up at"):
                break
        got = badgerbend("query", "{ fullQuote(blocks: [2], amount: 9) { id } }", "--port", port)
        assert got.returncode == 0
        assert msgspec.json.decode(got.stdout)["data"]["fullQuote"][3] == {"id": "2:3"}
        got = badgerbend("query", "{ nothing }", "--port", port)
        assert got.returncode == 1
        assert "Cannot query field" in got.stdout
        process.send_signal(signal.SIGTERM)
        assert process.wait(LIMIT_S) == 0
    finally:
        process.kill()
    got = badgerbend("query", "{ a }", "--port", port)
    assert got.returncode == 3
    assert "no answer from" in got.stderr


SHORT = """(day (seconds 3) (seed 5) (brokers 1) (servers 12)
  (flow q (fields fullQuote rateCompare) (per-s 10) (deadline-ms 3000))
  (flow s (fields signLease) (per-s 5) (deadline-ms 3000))
  (trouble crash (at 0.5) (for 1) (part 0.1)) (trouble broker-crash (at 1.5) (for 0.2)))"""


def test_a_day_is_played_judged_and_reported(tmp_path):
    day, report = tmp_path / "day.conf", tmp_path / "report.json"
    day.write_text(SHORT)
    got = badgerbend("day", day, "--report", report, "--keep", tmp_path / "kept")
    assert got.stdout.rstrip().endswith("rules broken: 0 of 6"), got.stdout + got.stderr
    assert got.returncode == 0
    found = msgspec.json.decode(report.read_bytes())
    assert found["service"]["fullQuote"]["states"]["whole"] > 0
    assert [r["name"] for r in found["rules"]][0] == "no query lost"
    assert (tmp_path / "kept" / "clients.jsonl").stat().st_size > 0


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ("(trouble crash", "(trouble crush", "trouble crush is none of"),
        ("(seconds 3)", "(seconds none)", "expected a number > 0"),
        ("(fields signLease)", "", "fields is missing"),
    ],
)
def test_a_wrong_day_is_refused_with_its_place(tmp_path, old, new, says):
    day = tmp_path / "day.conf"
    day.write_text(replaced(SHORT, old, new))
    got = badgerbend("day", day)
    assert got.returncode == 2
    assert says in got.stderr
    assert "day.conf:" in got.stderr
