"""The lease service's datagrams, settings and commands."""

import subprocess
import sys
from dataclasses import replace

import pytest

from badgerbend.config.fleet import Duties, VoterAt
from badgerbend.config.reading import parse
from badgerbend.config.sexpr import SettingsError
from badgerbend.consensus.messages import MalformedMessageError
from badgerbend.discovery.members import parse_address
from badgerbend.lease_service import wire
from badgerbend.lease_service.service import lease_timing
from badgerbend.leases.messages import ReleaseLease, SuspicionReport, encode
from tests.sockets import EXAMPLE


def test_what_is_no_datagram_of_leases_is_rejected():
    for body in (
        b"",
        b"s",
        b"x" + encode(SuspicionReport("a", "b", ())),
        b"a" + encode(ReleaseLease("probe", 1)) + b"?",
        b"v\xc1",
    ):
        with pytest.raises(MalformedMessageError):
            wire.decode(body)
    assert wire.decode(wire.encode_peer_message(SuspicionReport("a", "probe", ("s",)))) == SuspicionReport(
        "a", "probe", ("s",)
    )
    for text in ("here", "here:", ":1", "here:0", "here:x"):
        with pytest.raises(ValueError, match="HOST:PORT"):
            parse_address(text)


# -- settings and commands

THREE = tuple(VoterAt(f"broker-{i}", f"127.0.0.1:{7000 + i}") for i in range(3))
WRONG = {
    "2 voters; 1, 3, 5 or 7": {"voter": THREE[:2]},
    "two voters have the name broker-0": {"voter": (THREE[0], VoterAt("broker-0", "127.0.0.1:9"), THREE[1])},
    "two voters have the address": {"voter": (THREE[0], THREE[1], VoterAt("x", THREE[0].address))},
    "at least twice stall-ms": {"lease_ms": 900.0},
    "three times beat-ms": {"election_ms": 200.0},
    "advertise here is not HOST:PORT": {"advertise": "here"},
    "key takes one file": {"key": ()},
}


@pytest.mark.parametrize("text", WRONG)
def test_settings_that_do_not_fit_are_named(text):
    with pytest.raises(ValueError, match=text):
        Duties(**{"key": ("k",), "voter": THREE} | WRONG[text])


def test_settings_as_they_are_written():
    text = EXAMPLE.read_text().rstrip().removesuffix(")")
    voters = " ".join(f'(voter {v.name} (address "{v.address}"))' for v in THREE)
    got = parse(f'{text} (duties (key "k") {voters} (store "v") (lease-ms 3000) (clock-rate 0.02)))', "f").duties
    assert got == Duties(("k",), THREE, store="v", lease_ms=3000.0, clock_rate=0.02)
    timing = lease_timing(got)
    assert (timing.lease_duration_s, timing.holder_lease_s, timing.leader_lease_s) == (3.0, 3.0 * 0.98, 3.0 * 1.02)
    assert replace(timing, clock_drift_bound=0.0).holder_lease_s == 3.0
    with pytest.raises(SettingsError, match="address nowhere is not HOST:PORT"):
        parse(f'{text} (duties (key "k") (voter a (address "nowhere"))))', "f")


def badgerbend(*words):
    return subprocess.run([sys.executable, "-m", "badgerbend", *map(str, words)], capture_output=True, text=True)


def test_a_voter_s_store_is_made_checked_and_refused_by_command(tmp_path):
    folder = tmp_path / "v0"
    made = badgerbend("voters", "create", folder, "--name", "broker-0", "--voter", "broker-0", "--voter", "broker-1")
    assert made.returncode == 0 and "the store of broker-0, one of 2" in made.stdout
    again = badgerbend("voters", "create", folder, "--name", "broker-0")
    assert again.returncode == 2 and "made once" in again.stderr and again.stderr.count("\n") == 1
    checked = badgerbend("voters", "check", folder)
    assert checked.returncode == 0 and "term 0, voted for nobody" in checked.stdout and "broker-1" in checked.stdout
    data = bytearray((folder / "log.1").read_bytes())
    data[-1] ^= 1
    (folder / "log.1").write_bytes(data)
    spoilt = badgerbend("voters", "check", folder)
    assert spoilt.returncode == 2 and "log.1: damaged at byte" in spoilt.stderr and spoilt.stderr.count("\n") == 1
    other = badgerbend("voters", "create", tmp_path / "x", "--name", "broker-9", "--voter", "broker-0")
    assert other.returncode == 2 and "is none of the voters" in other.stderr
    silent = badgerbend("duties", "list", "--port", 1)
    assert silent.returncode == 3 and "no answer from 127.0.0.1:1" in silent.stderr
