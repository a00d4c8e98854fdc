"""The command line as a user runs it, with each command in its own process."""

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


def badgerbend(*arguments, **options):
    command = [sys.executable, "-m", "badgerbend", *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S, **options)


def test_check_reports_errors_with_their_position(tmp_path):
    good = badgerbend("check", EXAMPLE)
    assert good.returncode == 0
    assert "fits; 5 fields" in good.stdout
    printed = badgerbend("check", EXAMPLE, "--show")
    assert "(port 8080)  ; default" in printed.stdout
    assert "(parts-per-call 4)" in printed.stdout
    bad = tmp_path / "bad.conf"
    bad.write_text(replaced(EXAMPLE.read_text(), "(reach 3)", "(reach 0)"))
    result = badgerbend("check", bad)
    assert result.returncode == 2
    assert re.search(r"bad\.conf:5:\d+: broker > layout > reach: expected", result.stderr)
    bad.write_text(EXAMPLE.read_text())
    result = badgerbend("check", bad)
    assert result.returncode == 2
    assert "schema" in result.stderr
    schema = (EXAMPLE.parent / "schema.graphql").read_text()
    (tmp_path / "schema.graphql").write_text(replaced(schema, "  fullQuote(", "  other("))
    result = badgerbend("check", bad)
    assert result.returncode == 2
    assert "root field Query.other has no (field other ...)" in result.stderr


def test_sdl_prints_the_document_that_a_router_composes():
    result = badgerbend("sdl", EXAMPLE)
    assert result.returncode == 0
    assert result.stdout.startswith("extend schema @link(")
    assert 'type Rate @key(fields: "id")' in result.stdout
    assert "_entities" not in result.stdout


def test_start_fails_with_a_message_if_the_port_is_in_use(tmp_path):
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        conf = tmp_path / "broker.conf"
        (tmp_path / "schema.graphql").write_text((EXAMPLE.parent / "schema.graphql").read_text())
        conf.write_text(replaced(EXAMPLE.read_text(), "(port 8080)", f"(port {occupied.getsockname()[1]})"))
        result = badgerbend("run", conf)
        assert result.returncode == 3
        assert "cannot listen" in result.stderr


def test_a_broker_answers_queries_and_stops_on_sigterm(tmp_path):
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    command = [sys.executable, "-m", "badgerbend", "demo", "--hold", "--port", str(port)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, env={**os.environ, "PYTHONUNBUFFERED": "1"})
    try:
        for line in process.stdout:
            if line.startswith("left up at"):
                break
        result = badgerbend("query", "{ fullQuote(blocks: [2], amount: 9) { id } }", "--port", port)
        assert result.returncode == 0
        assert msgspec.json.decode(result.stdout)["data"]["fullQuote"][3] == {"id": "2:3"}
        result = badgerbend("query", "{ nothing }", "--port", port)
        assert result.returncode == 1
        assert "Cannot query field" in result.stdout
        process.send_signal(signal.SIGTERM)
        assert process.wait(LIMIT_S) == 0
    finally:
        process.kill()
    result = badgerbend("query", "{ a }", "--port", port)
    assert result.returncode == 3
    assert "no answer from" in result.stderr


SHORT = """(day (seconds 3) (seed 5) (brokers 1) (servers 12)
  (flow q (fields fullQuote rateCompare) (per-s 10) (deadline-ms 3000))
  (flow s (fields signLease) (per-s 5) (deadline-ms 3000))
  (trouble crash (at 0.5) (for 1) (part 0.1)) (trouble broker-crash (at 1.5) (for 0.2)))"""


def test_a_day_is_played_checked_and_reported(tmp_path):
    day, report = tmp_path / "day.conf", tmp_path / "report.json"
    day.write_text(SHORT)
    result = badgerbend("day", day, "--report", report, "--keep", tmp_path / "kept")
    assert result.stdout.rstrip().endswith("rules broken: 0 of 6"), result.stdout + result.stderr
    assert result.returncode == 0
    findings = msgspec.json.decode(report.read_bytes())
    assert findings["service"]["fullQuote"]["states"]["whole"] > 0
    assert [r["name"] for r in findings["rules"]][0] == "no query lost"
    assert (tmp_path / "kept" / "clients.jsonl").stat().st_size > 0


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("(trouble crash", "(trouble crush", "trouble crush is none of"),
        ("(seconds 3)", "(seconds none)", "expected a number > 0"),
        ("(fields signLease)", "", "fields is missing"),
    ],
)
def test_an_invalid_day_is_rejected_with_its_position(tmp_path, old, new, message):
    day = tmp_path / "day.conf"
    day.write_text(replaced(SHORT, old, new))
    result = badgerbend("day", day)
    assert result.returncode == 2
    assert message in result.stderr
    assert "day.conf:" in result.stderr
