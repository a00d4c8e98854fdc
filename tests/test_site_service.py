"""Tests of sites on real sockets: a short simulated day, drains by operators, and the validation of settings."""

import asyncio
import sys
from pathlib import Path

import msgspec
import pytest
import uvloop
from sockets import BrokerFixture, run, until

from badgerbend.broker import Broker
from badgerbend.cli import app
from badgerbend.config import settings as cfg
from badgerbend.config.fleet import Site, Sites
from badgerbend.config.reading import load, parse
from badgerbend.config.sexpr import SettingsError
from badgerbend.net.fetch import fetch
from badgerbend.standin.day import load_day, play
from tests.replacing import replaced

EXAMPLES = Path(__file__).parent.parent / "examples" / "sites"
KEY = "a key of enough letters"
SITES = Sites(
    (Site("north", (0,), 1), Site("south", (1,), 0)),
    server_parts_per_s=400.0,
    watch=0.0,
    step_ms=50.0,
    hold_ms=200.0,
    key="key",
)


def test_every_example_of_sites_can_be_loaded_as_a_day():
    days = [p for p in sorted(EXAMPLES.glob("*.conf")) if p.name != "broker.conf"]
    assert len(days) >= 9
    for path in days:
        assert load_day(path).settings == "broker.conf"
    assert load(EXAMPLES / "broker.conf").sites is not None


def test_a_short_day_without_a_site_keeps_the_rules_and_the_spill_limit(tmp_path):
    """Loses the northern one of two sites for 3 s, with four broker processes; its servers restart cold.

    Brokers reserve a larger part of the client's deadline for the answer than by default, since CI machines stall.
    """
    schema = (EXAMPLES / "../../badgerbend/standin/rates/schema.graphql").resolve()
    text = (EXAMPLES / "broker.conf").read_text()
    text = replaced(text, "../../badgerbend/standin/rates/schema.graphql", str(schema))
    text = replaced(text, "  (layout", "  (listen (answer-allowance-ms 800))\n  (layout")
    (tmp_path / "broker.conf").write_text(text)
    path = tmp_path / "short.conf"
    path.write_text((EXAMPLES / "short.conf").read_text())
    result = uvloop.run(play(load_day(path), path, None))
    assert not [c for r in result.rules for c in r.cases if r.name != "no query lost"]
    lost = next(r for r in result.rules if r.name == "no query lost")
    assert not [c for c in lost.cases if "late" not in c], "a stall of the machine delays answers but loses none"
    lost_seconds = [s for s in result.seconds if s.sites["north"].room == 0.0]
    assert lost_seconds
    assert all(s.sites["north"].own == 0 for s in lost_seconds[1:])
    assert sum(s.sites["south"].spilled for s in lost_seconds) > 50
    assert all(s.sites["south"].spilled <= s.sites["south"].limit for s in result.seconds)
    assert {name for status in result.brokers_hold.values() for name in (x["name"] for x in status["sites"])} == {
        "north",
        "south",
    }


class BrokerInFolder(Broker):
    """A broker whose key file is in a folder of the test."""

    folder = Path()

    def __init__(self, settings, graph):
        super().__init__(settings, graph, self.folder)


async def send_queries(fixture, count=40):
    text = "{ rateCompare(blocks: [1, 2, 3, 4], amount: 9000) { id } }"
    await asyncio.gather(*(fixture.client.query(text) for _ in range(count)))


def parts_received(fixture, zone):
    names = {s.name for s in fixture.world.servers.values() if s.zone == zone}
    return sum(len(r["parts"]) for r in fixture.seen("arrive") if r["server"] in names)


def test_a_site_is_drained_and_returned_by_operators_who_have_the_key(tmp_path):
    (tmp_path / "key").write_text(KEY + "\n")

    class BrokerWithKey(BrokerInFolder):
        folder = tmp_path

    async def main():
        async with BrokerFixture(count=24, broker=BrokerWithKey, sites=SITES) as fixture:
            await send_queries(fixture)
            assert parts_received(fixture, 0) > 100
            assert parts_received(fixture, 1) == 0
            for method, path, token, expected_status in (
                ("POST", "/sites/north/drain", None, "403"),
                ("POST", "/sites/north/drain", "wrong", "403"),
                ("POST", "/sites/west/drain", KEY, "404"),
                ("POST", "/sites/north/sink", KEY, "404"),
                ("GET", "/sites/north/drain", KEY, "405"),
            ):
                with pytest.raises(ConnectionError, match=expected_status):
                    await fetch(fixture.port, path, "127.0.0.1", method, token)
            status = await fetch(fixture.port, "/sites/north/drain", "127.0.0.1", "POST", KEY)
            assert status["sites"][0]["drained"]
            own = fixture.broker.site_service.preference.own
            while own.drain.retained_share > 0:
                await send_queries(fixture, 4)
                await asyncio.sleep(0.02)
            fixture.records.clear()
            answers = await asyncio.gather(
                *(fixture.client.query("{ fullQuote(blocks: [1, 2], amount: 9000) { id } }") for _ in range(10))
            )
            assert all("errors" not in a for _, a, _ in answers)
            assert parts_received(fixture, 1) > parts_received(fixture, 0)
            await fetch(fixture.port, "/sites/north/return", "127.0.0.1", "POST", KEY)
            while own.drain.retained_share < 1:
                await send_queries(fixture, 4)
                await asyncio.sleep(0.02)
            fixture.records.clear()
            await send_queries(fixture, 10)
            assert parts_received(fixture, 1) == 0 < parts_received(fixture, 0)
            fixture.broker._update_gauges()
            assert b'badgerbend_site{site="north",what="share"} 1.0' in fixture.broker.metrics.text()

    run(main)


def test_a_lost_site_is_ejected_and_connections_are_opened_before_it_returns(tmp_path):
    (tmp_path / "key").write_text(KEY)

    class BrokerWithKey(BrokerInFolder):
        folder = tmp_path

    async def main():
        async with BrokerFixture(count=24, broker=BrokerWithKey, sites=SITES) as fixture:
            await send_queries(fixture)
            north = [s.name for s in fixture.world.servers.values() if s.zone == 0]
            for name in north:
                fixture.world.crash(name)
            own = fixture.broker.site_service.preference.own
            await until(lambda: own.state.value == "out")
            _, answer, _ = await fixture.client.query("{ fullQuote(blocks: [1, 2], amount: 9000) { id } }")
            assert "errors" not in answer
            for name in north:
                await fixture.world.restart(name)
            await until(lambda: len(own.preconnected) == len(north))
            assert own.state.value != "in"

            async def send_until_active():
                while own.state.value != "in":
                    await send_queries(fixture, 4)
                    await asyncio.sleep(0.02)

            await send_until_active()
            assert not fixture.seen("fell")

    run(main)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("(zones 1)", "(zones 0)", "zone 0 stands in two sites"),
        ("(site south", "(site north", "two sites are named north"),
        ("(site south (zones 1) (brokers 2))", "(site south (zones 1) (brokers 3))", "5 brokers together"),
        ("(identity (index 0) (count 4) (zone 0))", "(identity (index 0) (count 4) (zone 7))", "zone 7 is in no site"),
        ("(spill 0.8)", "(spill 1.8)", "broker > sites > spill: expected a number > 0 and <= 1"),
        ("(spill 0.8)", "(spil 0.8)", "did you mean spill?"),
        ("(site north (zones 0) (brokers 2))", "(site north (zones 0) (brokers 2) (near east))", "no other site"),
        ("(spill 0.8)", "(hold-ms 9000) (hold-most-ms 100)", "hold-most-ms must not be less than hold-ms"),
    ],
)
def test_inconsistent_settings_of_sites_are_rejected_with_their_location(old, new, message):
    text = (EXAMPLES / "broker.conf").read_text()
    assert old in text
    with pytest.raises(SettingsError) as err:
        parse(replaced(text, old, new), "x.conf")
    assert message in str(err.value)
    assert str(err.value).startswith("x.conf:")


def test_a_key_that_is_too_short_is_rejected(tmp_path, monkeypatch):
    (tmp_path / "key").write_text("short")
    text = replaced((EXAMPLES / "broker.conf").read_text(), "(spill 0.8)", '(key "key")')
    schema = (EXAMPLES / "../../badgerbend/standin/rates/schema.graphql").resolve()
    text = replaced(text, "../../badgerbend/standin/rates/schema.graphql", str(schema))
    (tmp_path / "broker.conf").write_text(text)
    from typer.testing import CliRunner

    result = CliRunner().invoke(app, ["run", str(tmp_path / "broker.conf")])
    assert result.exit_code == 3


def test_sites_are_shown_and_drained_from_the_command_line(tmp_path):
    (tmp_path / "key").write_text(KEY)

    class BrokerWithKey(BrokerInFolder):
        folder = tmp_path

    async def main():
        async with BrokerFixture(count=24, broker=BrokerWithKey, sites=SITES) as fixture:
            await send_queries(fixture, 5)

            async def command(*args):
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "badgerbend",
                    "site",
                    *args,
                    "--port",
                    str(fixture.port),
                    stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.PIPE,
                )
                out, err = await process.communicate()
                return process.returncode, out.decode(), err.decode()

            status, out, _ = await command("status")
            assert status == 0
            assert "north" in out
            assert "south" in out
            status, out, _ = await command("drain", "north", "--key", str(tmp_path / "key"))
            assert status == 0
            assert "drained" in out
            assert fixture.broker.site_service.preference.own.drain.drained
            (tmp_path / "other").write_text("another key of letters")
            status, _, err = await command("return", "north", "--key", str(tmp_path / "other"))
            assert status == 3
            assert "403" in err
            assert fixture.broker.site_service.preference.own.drain.drained

    run(main)


def test_settings_with_replaced_fields_are_validated_again():
    base = load(EXAMPLES / "broker.conf")
    with pytest.raises(ValueError, match="in no site"):
        msgspec.structs.replace(base, identity=cfg.Identity(0, 4, 9)).__post_init__()
