"""The encoding of the commands and messages of leases, and of their datagrams, stays the same.

A changed encoding would make brokers and voters of two versions misread each other during a rolling upgrade.
"""

import typing

import pytest

from badgerbend.lease_service import wire
from badgerbend.leases.messages import (
    BudgetDemand,
    BudgetGrant,
    BudgetReply,
    BudgetRequest,
    Candidacy,
    Command,
    GrantLease,
    LeaseId,
    LeaseReply,
    LeaseRequest,
    LeaseReturn,
    LeaseState,
    Message,
    PeerMessage,
    ProbeReport,
    ProbeResult,
    PutValue,
    ReleaseLease,
    SuspicionReport,
    decode,
    decode_command,
    decode_peer_message,
    encode,
)
from tests.test_wire_bytes_consensus import MESSAGES as CONSENSUS_MESSAGES
from tests.wire_bytes import assert_same_bytes, fixture_bytes, fixture_keys

COMMANDS = {
    "duties/command/grant": GrantLease(duty="probe:north", holder="b1", previous_epoch=17),
    "duties/command/free": ReleaseLease(duty="probe:north", epoch=18),
    "duties/command/put": PutValue(key="version", value=b"\x00v2\xff", previous_index=19),
    "duties/command/put-empty": PutValue(key="version", value=b"", previous_index=20),
}

MESSAGES = {
    "duties/message/acquire": LeaseRequest(
        source="b1",
        seq=41,
        address="10.0.0.1:7000",
        load=0.25,
        is_voter=True,
        candidacies=(
            Candidacy(duty="probe:north", epoch=18, is_local=True, is_failing=False),
            Candidacy(duty="deal", epoch=0, is_local=False, is_failing=True),
        ),
    ),
    "duties/message/release": LeaseReturn(
        source="b1",
        seq=42,
        returned_leases=(LeaseId(duty="probe:north", epoch=18), LeaseId(duty="deal", epoch=21)),
        is_departing=True,
    ),
    "duties/message/response": LeaseReply(
        source="v0",
        seq=43,
        leader="v1",
        is_leader=False,
        leases=(
            LeaseState(
                duty="probe:north", holder="b1", address="10.0.0.1:7000", epoch=18, renewed=True, should_yield=False
            ),
            LeaseState(duty="deal", holder="", address="", epoch=21, renewed=False, should_yield=True),
        ),
        request_delay_s=1.5,
    ),
    "duties/message/response-without-leader": LeaseReply(
        source="v0", seq=0, leader="", is_leader=False, leases=(), request_delay_s=0.0
    ),
}

PEER_MESSAGES = {
    "duties/act/suspects": SuspicionReport(source="b2", duty="probe:north", servers=("s1", "s2")),
    "duties/act/probe-results": ProbeReport(
        source="b1",
        duty="probe:north",
        epoch=18,
        results=(
            ProbeResult(server="s1", succeeded=True, latency_ms=12.5, age_ms=250.0),
            ProbeResult(server="s2", succeeded=False, latency_ms=1000.0, age_ms=0.5),
        ),
    ),
    "duties/act/allowance-request": BudgetRequest(
        source="b2",
        duty="deal",
        seq=44,
        demands=(
            BudgetDemand(
                resource="s3", started_ms=1700000000000.0, own_rate=0.125, demand_rate=0.75, acknowledged_request=40
            ),
        ),
    ),
    "duties/act/allowance-response": BudgetReply(
        source="b1",
        duty="deal",
        epoch=21,
        seq=44,
        grants=(BudgetGrant(resource="s3", started_ms=1700000000000.0, rate=0.5),),
    ),
}


@pytest.mark.parametrize("key", COMMANDS)
def test_command_keeps_its_bytes(key):
    assert_same_bytes(key, COMMANDS[key], encode, decode_command)


@pytest.mark.parametrize("key", MESSAGES)
def test_message_keeps_its_bytes(key):
    assert_same_bytes(key, MESSAGES[key], encode, decode)


@pytest.mark.parametrize("key", PEER_MESSAGES)
def test_peer_message_keeps_its_bytes(key):
    assert_same_bytes(key, PEER_MESSAGES[key], encode, decode_peer_message)


def test_reply_without_a_request_delay_is_decoded_with_the_default():
    expected = LeaseReply(source="v0", seq=7, leader="", is_leader=False, leases=(), request_delay_s=0.0)
    assert decode(bytes.fromhex("9603a2763007a0c290")) == expected


def test_every_command_and_message_has_a_fixture():
    assert {type(command) for command in COMMANDS.values()} == set(typing.get_args(Command))
    assert {type(message) for message in MESSAGES.values()} == set(typing.get_args(Message))
    assert {type(message) for message in PEER_MESSAGES.values()} == set(typing.get_args(PeerMessage))
    assert fixture_keys("duties/command/") == set(COMMANDS)
    assert fixture_keys("duties/message/") == set(MESSAGES)
    assert fixture_keys("duties/act/") == set(PEER_MESSAGES)


# -- datagrams: a one-byte tag before the message


@pytest.mark.parametrize("key", CONSENSUS_MESSAGES)
def test_datagram_between_voters(key):
    message = CONSENSUS_MESSAGES[key]
    expected = b"v" + fixture_bytes(key)
    assert wire.encode_consensus_message(message) == expected
    assert wire.decode(expected) == message


@pytest.mark.parametrize("key", MESSAGES)
def test_datagram_between_broker_and_voter(key):
    expected = b"s" + fixture_bytes(key)
    assert wire.encode_lease_message(MESSAGES[key]) == expected
    assert wire.decode(expected) == MESSAGES[key]


@pytest.mark.parametrize("key", PEER_MESSAGES)
def test_datagram_between_brokers(key):
    expected = b"a" + fixture_bytes(key)
    assert wire.encode_peer_message(PEER_MESSAGES[key]) == expected
    assert wire.decode(expected) == PEER_MESSAGES[key]
