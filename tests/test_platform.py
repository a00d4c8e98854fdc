"""The platform's broker among simulated clients, nodes and a discovery agent on loopback."""

import asyncio
import gc
import os
import signal
import subprocess
import sys
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from badgerbend import api
from badgerbend.discovery import members
from badgerbend.discovery.directory import Directory, ListReader, decode_rows
from badgerbend.platform import config, names
from badgerbend.standin.agent import Agent
from badgerbend.standin.fault_proxy import free_port
from badgerbend.standin.framenode import FrameNode
from tests.platform_stage import CELLS, SHARDS, Stage, file_of, query, run, surroundings
from tests.replacing import replaced
from tests.sockets import until

ROOT = Path(__file__).parent.parent


# -- configuration


def test_a_configuration_file_becomes_settings():
    result = config.parse(file_of(8500), {})
    s = result.settings
    assert (s.cell_count, s.cells_per_shard, s.parts_per_call, s.max_attempts, s.broker_count) == (3, 1, 4, 4, 1)
    assert [c.effect for c in s.classes] == ["safe", "safe", "keyed"]
    assert s.classes[1].complete_weight == 0.5
    assert s.tenants == (api.Tenant(1000.0),)
    assert s.connection_idle_ms == 30_000.0
    assert not s.polls_endpoint_list
    assert (result.classes, result.tenants, result.shards, result.streams) == (
        ("quote", "some", "accept"),
        ("acme",),
        18,
        8,
    )
    assert result.discovery == ("127.0.0.1", 8500)
    assert result.seed == 0x8C1F30D2
    assert result.limits.descriptors == 256


def test_environment_variables_supply_fields_missing_from_the_file(tmp_path):
    file = msgspec.json.decode(file_of(8500))
    del file["discovery"], file["name"]
    path = tmp_path / "config.json"
    path.write_bytes(msgspec.json.encode(file))
    env = {"ROUTER_CONFIG": str(path), "ROUTER_NAME": "n7", "ROUTER_DISCOVERY": "127.0.0.2:1"}
    result = config.load(env)
    assert (result.name, result.discovery) == ("n7", ("127.0.0.2", 1))
    path.write_bytes(file_of(8501))
    # The file takes precedence, because it is what a reload replaces.
    assert config.load(env).discovery == ("127.0.0.1", 8501)


INVALID_FILES = {
    "malformed": lambda f: b"{",
    "settings": lambda f: msgspec.json.encode({k: v for k, v in f.items() if k != "settings"}),
    "listen": lambda f: msgspec.json.encode(f | {"listen": "here"}),
    "discovery": lambda f: msgspec.json.encode(f | {"discovery": "127.0.0.1:0"}),
    "sockets": lambda f: msgspec.json.encode(f | {"limits": {"sockets": 3}}),
    "seed": lambda f: msgspec.json.encode(f | {"seed": "xyz"}),
    "known": lambda f: msgspec.json.encode(f | {"known": {"targets": 7}}),
    "specifics.ranges": lambda f: file_of(8500, settings={"specifics.ranges": 0}),
    "ceilings.streamsPerConn": lambda f: file_of(8500, settings={"ceilings.streamsPerConn": 1.5}),
    "categories.0.aimMs": lambda f: file_of(8500, settings={"categories.0.aimMs": "soon"}),
    "settings.tenants": lambda f: file_of(8500, settings={"tenants": [{"quotaPerS": 5}]}),
}


@pytest.mark.parametrize("field", INVALID_FILES)
def test_an_error_names_the_invalid_field(field):
    with pytest.raises(config.ConfigError, match=field.replace(".", r"\.")):
        config.parse(INVALID_FILES[field](msgspec.json.decode(file_of(8500))), {})


# -- clients


def test_a_query_is_answered_with_the_values_of_its_nodes():
    async def main():
        async with Stage() as s:
            status, result = await s.ask((1, 2, 7))
            parts = {part.shard: part for part in s.sent()}
            assert status == 200
            assert result["full"]
            assert set(parts) == {1, 2, 7}
            assert {p["tablet"]: p["cell"].encode() for p in result["pieces"]} == {
                n: p.value() for n, p in parts.items()
            }
            for uid, node in s.nodes.items():
                assert all(part.shard % CELLS == node.cell for part in node.parts()), uid
            assert {part.id for part in parts.values()} == {b"q1.1", b"q1.2", b"q1.7"}
            assert all(part.key is None and 0 < part.wait_ms <= 3000 and part.text == b"c41e77d0" for part in s.sent())

    run(main)


def test_the_idempotency_key_of_a_query_is_sent_to_the_nodes():
    async def main():
        async with Stage() as s:
            status, _ = await s.ask((4,), b"accept", Idempotency_Key="5c0f6e")
            assert status == 200
            assert [part.key for part in s.sent()] == [b"5c0f6e"]

    run(main)


def test_parts_for_one_node_in_one_turn_share_calls_up_to_the_limit():
    async def main():
        async with Stage(each=1) as s:
            status, _ = await s.ask(tuple(range(0, SHARDS, CELLS)))
            assert status == 200
            assert sorted(map(len, s.nodes["s0"].calls)) == [2, 4]

    run(main)


def test_a_class_that_needs_some_parts_is_answered_once_it_has_them():
    async def main():
        async with Stage(behave=lambda part: part.served() if part.shard < 3 else None) as s:
            status, result = await s.ask((1, 2, 7, 8), b"some")
            assert status == 200
            assert result["full"]
            assert {p["tablet"] for p in result["pieces"]} == {1, 2}
            ids = {part.id for part in s.sent() if part.shard > 2}
            await until(lambda: ids <= {c for node in s.nodes.values() for c in node.cancelled})

    run(main)


INVALID_REQUESTS = {
    "no body": {"body": b""},
    "not json": {"body": b"{tablets"},
    "a list": {"body": b"[]"},
    "nested too deeply": {"body": b"[" * 60_000},
    "no parts": {"body": b'{"tablets":[],"statement":"x"}'},
    "no statement": {"body": b'{"tablets":[{"tablet":1,"fraction":1}]}'},
    "an unknown shard": {"body": query((1, 18))},
    "a negative shard": {"body": query((-1, 2))},
    "a shard that is a string": {"body": b'{"tablets":[{"tablet":"1","fraction":1}],"statement":"x"}'},
    "a fractional shard": {"body": b'{"tablets":[{"tablet":1.5,"fraction":1}],"statement":"x"}'},
    "a shard twice": {"body": query((1, 1))},
    "a weight above 1": {"body": b'{"tablets":[{"tablet":1,"fraction":7}],"statement":"x"}'},
    "a negative weight": {"body": replaced(replaced(query((1, 2)), b"0.5},", b"-0.5},"), b":0.5", b":1.5")},
    "a sum of weights below 1": {"body": b'{"tablets":[{"tablet":1,"fraction":0.4}],"statement":"x"}'},
    "a weight that is not a number": {"body": b'{"tablets":[{"tablet":1,"fraction":NaN}],"statement":"x"}'},
    "a guess out of range": {"body": b'{"tablets":[{"tablet":1,"fraction":1,"guess":-4}],"statement":"x"}'},
    "a token that is too short": {"body": b'{"tablets":[{"tablet":1,"fraction":1,"token":"abc"}],"statement":"x"}'},
    "an unknown class": {"cls": b"nosuch"},
    "two classes": {"X_Service_Class": "accept"},
    "no id": {"X_Correlation_Id": None},
    "an empty id": {"X_Correlation_Id": ""},
    "an id with separators": {"X_Correlation_Id": "a b,c"},
    "an id that is too long": {"X_Correlation_Id": "a" * 5000},
    "no time left header": {"X_Time_Left_Ms": None},
    "a time left that is not a number": {"X_Time_Left_Ms": "soon"},
    "a negative time left": {"X_Time_Left_Ms": "-5"},
    "no time left": {"X_Time_Left_Ms": "0"},
    "a time left out of range": {"X_Time_Left_Ms": "9" * 40},
    "an unknown account": {"X_Account": "nobody"},
    "a missing idempotency key": {"cls": b"accept", "Idempotency_Key": None},
    "an idempotency key with separators": {"cls": b"accept", "Idempotency_Key": "a,b=1 2"},
    "a negative length": {"Content_Length": "-3"},
    "a length that is not a number": {"Content_Length": "ten"},
    "a huge length": {"Content_Length": "60000000"},
    "a length out of range": {"Content_Length": "9" * 30},
    "a length and chunks": {"Transfer_Encoding": "chunked"},
    "headers that are too long": {"X_More": "a" * 70_000},
}


@pytest.mark.parametrize("what", INVALID_REQUESTS)
def test_an_invalid_request_gets_an_error_and_has_no_other_effect(what):
    async def main():
        async with Stage() as s:
            try:
                status, _ = await s.ask(**INVALID_REQUESTS[what])
                assert 400 <= status < 500
            except ConnectionError:
                assert what in ("a length out of range", "a huge length", "headers that are too long")
            assert not s.sent()
            assert not s.service.front.open
            assert not s.service.driver.queries
            assert (await s.ask())[0] == 200

    run(main)


def test_bytes_that_are_not_http_get_an_error():
    async def main():
        async with Stage() as s:
            for noise in (b"\x16\x03\x01\x02" * 50, b"hello\r\n\r\n", b"POST / HTTP/9.9\r\n\r\n"):
                reader, writer = await asyncio.open_connection("127.0.0.1", s.port)
                writer.write(noise)
                assert (await reader.read()).startswith(b"HTTP/1.1 400")
                writer.close()
            for method, path, status in ((b"GET", b"/quote/x", 405), (b"POST", b"/", 404), (b"POST", b"*", 404)):
                reply = await s.reply(b"%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" % (method, path))
                assert reply.status == status

    run(main)


def test_a_second_request_with_an_open_id_is_rejected_and_the_first_continues():
    async def main():
        received_parts = []
        async with Stage(behave=received_parts.append) as s:
            first = asyncio.ensure_future(s.ask((1,), X_Correlation_Id="same"))
            await until(lambda: received_parts)
            assert (await s.ask((1,), X_Correlation_Id="same"))[0] == 409
            received_parts[0].served()
            assert (await first)[0] == 200
            assert len(s.sent()) == 1
            assert not s.service.front.open

    run(main)


def test_an_incomplete_request_and_a_silent_connection_time_out(monkeypatch):
    async def main():
        async with Stage() as s:
            silent = await asyncio.open_connection("127.0.0.1", s.port)
            half = await asyncio.open_connection("127.0.0.1", s.port)
            half[1].write(s.head(query((1,)))[:-10])
            served = await asyncio.open_connection("127.0.0.1", s.port)
            served[1].write(s.head(query((1,))))
            assert (await served[0].readline()).startswith(b"HTTP/1.1 200")
            await until(lambda: len(s.service.server.connections) == 3)
            connections = list(s.service.server.connections)
            for connection in connections:
                connection.phase_started_at -= 2.1
            await until(lambda: len(s.service.server.connections) == 1)
            assert await silent[0].read() == b""
            assert (await half[0].read()).startswith(b"HTTP/1.1 408")
            for connection in connections:
                connection.phase_started_at -= 5.0
            await until(lambda: not s.service.server.connections)
            for _, writer in (silent, half, served):
                writer.close()

    run(main)


def test_bytes_that_arrive_slowly_do_not_extend_the_timeout_of_a_first_request():
    """Guards against a timeout that restarts with each piece of a first request: it counts from when the connection was
    opened."""

    async def main():
        async with Stage() as s:
            _, writer = await asyncio.open_connection("127.0.0.1", s.port)
            await until(lambda: s.service.server.connections)
            (connection,) = s.service.server.connections
            began = connection.phase_started_at
            for piece in (b"POST /qu", b"ote/abc HT", b"TP/1.1\r\nHost"):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.01)
            await until(lambda: connection.http.receiving)
            assert connection.phase_started_at == began
            writer.close()

    run(main)


def test_the_query_and_attempts_of_a_disconnected_client_are_cancelled():
    async def main():
        received_parts = []
        async with Stage(behave=received_parts.append) as s:
            _, writer = await asyncio.open_connection("127.0.0.1", s.port)
            writer.write(s.head(query((1, 2))))
            await until(lambda: len(received_parts) == 2)
            writer.transport.abort()
            await until(lambda: {c for n in s.nodes.values() for c in n.cancelled} == {p.id for p in received_parts})
            assert not s.service.front.open
            assert not s.service.driver.queries
            for part in received_parts:
                part.served()  # these answers cross the cancellations
            assert (await asyncio.wait_for(_answer_another_query(s, received_parts), 20))[0] == 200
            assert not [v for w, v in s.troubles if w == "trouble"]

    async def _answer_another_query(s, received_parts):
        known = len(received_parts)
        query_task = asyncio.ensure_future(s.ask((1, 2)))
        await until(lambda: len(received_parts) == known + 2)
        for part in received_parts[known:]:
            part.served()
        return await query_task

    run(main)


def test_chunked_and_pipelined_requests_on_a_persistent_connection():
    async def main():
        async with Stage() as s:
            body = query((1,))
            chunked = s.head(b"", Content_Length=None, Transfer_Encoding="chunked")
            chunked += b"%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (5, body[:5], len(body) - 5, body[5:])
            reader, writer = await asyncio.open_connection("127.0.0.1", s.port)
            writer.write(chunked + s.head(query((2,))))
            result = b""
            while result.count(b"pieces") < 2:
                result += await reader.read(4096)
            assert result.index(b'"tablet":1') < result.index(b'"tablet":2')
            writer.write(
                s.head(query((4,))) + b"\xff\xff\xff"
            )  # invalid bytes after a request do not prevent its answer
            assert b'"tablet":4' in await reader.read()
            writer.close()

    run(main)


def test_status_codes_of_rejected_and_failed_queries():
    async def main():
        ends = {}
        async with Stage(behave=lambda part: part.connection.send(part.answer(ends["now"]))) as s:
            ends["now"] = b"skipped"
            assert (await s.ask((1,)))[0] == 503
            ends["now"] = b"broke"
            assert (await s.ask((1,)))[0] == 503  # a safe query: retrying it is harmless
            assert (await s.ask((1,), b"accept", X_Time_Left_Ms="300"))[0] == 502  # it may have run

    run(main)


def test_a_query_beyond_the_capacity_is_rejected_at_once():
    async def main():
        async with Stage(behave=lambda part: None, settings={"ceilings.maxOpen": 4}) as s:
            first = asyncio.ensure_future(s.ask((1, 2)))
            await until(lambda: s.sent())
            assert (await s.ask((1, 2)))[0] == 503
            first.cancel()
            assert len(s.service.front.open) == 1

    run(main)


def test_clients_are_served_during_a_flood_of_silent_connections():
    async def main():
        async with Stage() as s:
            most = s.service.server.limits.max_connections
            assert most + s.service.transport.limits.connections < s.config.limits.descriptors - 16
            silent = [await asyncio.open_connection("127.0.0.1", s.port) for _ in range(most + 30)]
            assert (await s.ask())[0] == 200
            assert len(s.service.server.connections) <= most
            assert not s.service.server.rejected_connections
            for _, writer in silent:
                writer.close()

    run(main)


def test_idle_persistent_connections_are_limited_to_leave_room_for_others():
    """Guards against clients that send one request each and keep their connections open: other clients found no free
    connection until the broker closed some idle ones seconds later."""

    async def main():
        async with Stage() as s:
            max_kept = s.service.server.limits.max_keep_alive
            assert max_kept < s.config.limits.descriptors / 3
            writers, closed = [], 0
            for _ in range(max_kept + 20):
                reader, writer = await asyncio.open_connection("127.0.0.1", s.port)
                writer.write(s.head(query((1,))))
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                assert b" 200 " in head
                await reader.readexactly(int(head.split(b"content-length: ")[1].split(b"\r")[0]))
                if b"connection: close" in head:
                    closed += 1
                    assert await reader.read() == b""
                writers.append(writer)
            server = s.service.server
            assert closed == 20
            assert len(server.connections) - server.lingering <= max_kept + 1
            await until(lambda: len(server.connections) <= max_kept + 1)  # connections linger for a limited time only
            for writer in writers:
                writer.close()

    run(main)


# -- nodes


INVALID_ANSWERS = {
    "noise": lambda p: b"\x9c\x02\xff" * 9,
    "an unknown id": lambda p: p.answer(b"served", p.value()).replace(b"q", b"z"),
    "an unknown outcome": lambda p: p.answer(b"sorted", p.value()),
    "three gigabytes": lambda p: (3 << 30).to_bytes(4, "little") + b"a%s served 7 -\n" % p.id + b"x" * 5000,
    "a length that does not match": lambda p: (40_000).to_bytes(4, "little") + p.answer(b"served", p.value())[4:],
    "no end of line": lambda p: (40_000).to_bytes(4, "little") + b"a" + b"x" * 2000,
}


@pytest.mark.parametrize("what", INVALID_ANSWERS)
def test_after_an_invalid_answer_the_part_is_retried_elsewhere(what):
    async def main():
        invalid = []

        def behave(part):
            if not invalid:
                invalid.append(part)
                part.connection.send(INVALID_ANSWERS[what](part))
            else:
                part.served()

        async with Stage(behave=behave) as s:
            status, result = await s.ask((1,))
            assert status == 200
            assert result["pieces"][0]["cell"].encode() == invalid[0].value()
            first = invalid[0].connection
            await until(lambda: first.transport is None)  # the connection was closed
            assert [v["kind"] for w, v in s.troubles if w == "trouble"] == ["spoilt answer"]

    run(main)


def test_values_that_no_answer_can_hold_fail_their_attempts():
    # Values of up to 64 KB were kept for each part of each open query, and written as one answer of a megabyte.
    def behave(part):
        part.connection.send(part.answer(b"served", b"v" * 30_000))

    async def main():
        async with Stage(behave=behave, limits={"cores": 1.0, "memory_mb": 32, "sockets": 1024}) as s:
            memory = s.service.server.memory
            assert (await s.ask((1, 2)))[0] == 200
            status, _ = await s.ask((1, 2, 3), X_Time_Left_Ms="500")
            assert status in (502, 503)
            assert [w for w, v in s.troubles if w == "trouble" and v["kind"] == "value too large"]
            await until(lambda: memory.serving_bytes == 0)
            memory.add_serving(memory.max_bytes)
            status, _ = await s.ask((1, 2), X_Time_Left_Ms="500")  # values beyond a connection's share
            assert status in (502, 503)

    run(main)


def test_the_body_of_an_open_request_is_not_kept_beside_its_decoded_copy():
    async def main():
        async with Stage(behave=lambda part: None) as s:
            asking = asyncio.ensure_future(s.ask((1, 2)))
            await until(lambda: s.sent())
            (connection,) = s.service.server.connections
            assert connection.http.serving.body == connection.active.body == b""
            asking.cancel()

    run(main)


def test_a_valid_answer_with_an_unreadable_report_counts():
    async def main():
        async with Stage(behave=lambda p: p.connection.send(p.answer(b"served", p.value(), b"{\xff,,"))) as s:
            assert (await s.ask((1,)))[0] == 200

    run(main)


def test_a_node_that_stops_and_restarts_is_used_again():
    async def main():
        async with Stage(each=2) as s:
            assert (await s.ask((0,)))[0] == 200
            dead = next(n for n in s.nodes.values() if n.parts())
            port = dead.port
            dead.stop()
            await until(lambda: s.service.transport.open == 0)
            for _ in range(6):
                assert (await s.ask((0,)))[0] == 200
            await dead.start(port)
            before = len(dead.parts())
            name = next(uid for uid, n in s.nodes.items() if n is dead)
            s.agent.put(name, port, dead.cell)
            while len(dead.parts()) == before:
                assert (await s.ask((0,)))[0] == 200

    run(main)


# -- the list


def test_a_broker_starts_from_the_known_list_while_the_agent_is_silent():
    async def main():
        async with Stage(known=True, wait_for_list=False) as s:
            s.agent.silent = True
            assert (await s.ask())[0] == 200

    run(main)


def test_the_broker_waits_for_the_agent_before_it_serves_clients():
    # The broker counts as notified of what the agent has from the start of its process. Guards against a slow process
    # that listened with the known list when the drain grace period was already over, and sent parts to draining servers
    # until it had read the agent's answer.
    async def main():
        async with Stage(known=True, wait_for_list=False, drained=("s0", "s1", "s2")) as s:
            assert s.has_list_at_start
            assert (await s.ask())[0] == 200
            assert {s.service.directory.servers[f"s{i}"].endpoint.state for i in range(3)} == {
                api.EndpointState.DRAINING
            }
            assert not any(s.nodes[f"s{i}"].parts() for i in range(3))

    run(main)


@pytest.mark.parametrize(
    "row",
    [
        {"uid": "s0", "state": "removed"},
        {"uid": "s0", "state": "draining", "pod_group": "x"},
        {"uid": "s0", "state": "resting", "pod_group": 0, "endpoint": "127.0.0.1:9"},
    ],
)
def test_a_changed_row_that_lacks_fields_still_takes_a_server_out_of_service(row):
    async def main():
        async with Stage() as s:
            await until(lambda: s.agent.watches)
            known, numbers = lambda: s.service.driver.module.endpoints.servers, {uid: s.number(uid) for uid in s.nodes}
            await until(lambda: len(known()) == len(numbers))
            s.agent.rev += 1
            s.agent.changes.append((s.agent.rev, row))
            await until(lambda: numbers["s0"] not in known())
            assert numbers["s3"] in known()

    run(main)


def test_of_two_rows_for_one_server_the_draining_one_prevails():
    directory = Directory(CELLS, members.row_parser(names.MEMBERS, ("here",), ("m",)), shared_clock=True)
    row = {"uid": "s0", "endpoint": "127.0.0.1:9", "az": "here", "model": "m", "pod_group": 0, "state": "up"}
    for states in (("up", "draining"), ("draining", "up")):
        rows = decode_rows(msgspec.json.encode([row | {"state": state} for state in states]))
        view, errors = directory.read(rows, 0.0, 0.0)
        assert [line.state for line in view.endpoints] == [api.EndpointState.DRAINING]
        assert len(errors) == 1


def test_a_row_equal_to_the_known_state_reverts_an_earlier_row():
    directory = Directory(CELLS, members.row_parser(names.MEMBERS, ("here",), ("m",)), shared_clock=True)
    row = {"uid": "s0", "endpoint": "127.0.0.1:9", "az": "here", "model": "m", "pod_group": 0, "state": "draining"}
    directory.read(decode_rows(msgspec.json.encode([row])), 0.0, 0.0)
    reader = ListReader(
        directory, decode_rows(msgspec.json.encode([row | {"state": "up"}, row])), 1.0, 1.0, is_complete=False
    )
    list(reader.read_slices())
    reader.apply()
    assert [line.state for view in reader.updates() for line in view.endpoints] == []
    assert directory.servers["s0"].endpoint.state == api.EndpointState.DRAINING


@pytest.mark.parametrize(
    "row",
    [
        {"uid": ["s0"], "state": "removed"},
        {"uid": {}, "state": "draining"},
        {"uid": "s0", "state": ["up"]},
        {"state": "x"},
        [],
        None,
        7,
    ],
)
def test_invalid_rows_do_not_stop_the_rest_of_a_list(row):
    leaving = members.departure_parser(names.MEMBERS)
    directory = Directory(
        CELLS, members.row_parser(names.MEMBERS, ("here",), ("m",)), shared_clock=True, parse_departure=leaving
    )
    good = {"uid": "s0", "endpoint": "127.0.0.1:9", "az": "here", "model": "m", "pod_group": 0, "state": "up"}
    directory.read(decode_rows(msgspec.json.encode([good])), 0.0, 0.0)
    changes = [row, good | {"uid": "s1", "state": "draining"}]
    reader = ListReader(directory, decode_rows(msgspec.json.encode(changes)), 1.0, 1.0, is_complete=False)
    list(reader.read_slices())
    reader.apply()
    assert directory.servers["s1"].endpoint.state == api.EndpointState.DRAINING
    assert len(reader.errors) == 1
    assert directory.servers["s0"].endpoint.state == api.EndpointState.READY


def test_a_broker_without_a_list_is_not_ready():
    async def main():
        async with Stage(each=0, wait_for_list=False) as s:
            get = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
            assert (await s.reply(get)).status == 503
            for cell in range(CELLS):
                await s.add(f"new{cell}", cell)
            await until(lambda: len(s.service.directory.servers) == CELLS)
            assert (await s.reply(get)).status == 200

    run(main)


def test_the_watch_continues_and_a_drained_node_receives_nothing_new():
    async def main():
        async with Stage(each=2) as s:
            await until(lambda: s.agent.watches)
            s.agent.put("s0", s.nodes["s0"].port, 0, "draining")
            await until(lambda: s.service.directory.servers["s0"].endpoint.state is api.EndpointState.DRAINING)
            for _ in range(10):
                assert (await s.ask((0, 3)))[0] == 200
            assert not s.nodes["s0"].parts()
            assert s.nodes["s3"].parts()
            s.agent.put("s0", s.nodes["s0"].port, 0, "removed")
            await until(lambda: "s0" not in s.service.directory.servers)
            whole = [path for path in s.agent.requests if "since" not in path]
            assert len(whole) == 1
            assert s.agent.requests[1].startswith("/catalog/members?since=")

    run(main)


def test_version_zero_is_watched_like_any_other():
    """Guards against taking version 0 for no version: the complete list was then requested in an endless loop."""

    async def main():
        async with Stage(each=0, wait_for_list=False) as s:
            node = FrameNode()
            s.nodes["s0"] = node
            row = s.agent.put("s0", await node.start(), 0)
            s.agent.rev, s.agent.changes, s.agent.members = 0, [], {"s0": row}
            await until(lambda: "s0" in s.service.directory.servers and s.agent.watches)
            assert s.agent.requests[-1].startswith("/catalog/members?since=0&")

    run(main)


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"[]",
        b"{}",
        b'{"rev":9,"all":true,"targets":[]}',
        b'{"rev":"x","all":true,"targets":[]}',
        b"\xff\xfe",
        b'{"rev":9,"all":true,"targets":[{"uid":"a"},7,null]}',
    ],
)
def test_an_invalid_answer_of_the_agent_keeps_the_last_list(answer):
    async def main():
        async with Stage() as s:
            s.agent.answer = answer
            s.agent.put("s0", s.nodes["s0"].port, 0)  # ends the long poll
            await until(lambda: s.service.observer.faults["list not read"] >= 2)
            assert len(s.service.directory.servers) == CELLS * 2
            assert (await s.ask())[0] == 200
            s.agent.answer = None
            s.agent.put("s1", s.nodes["s1"].port, 1, "draining")
            await until(lambda: s.service.directory.servers["s1"].endpoint.state is api.EndpointState.DRAINING)

    run(main)


def test_a_restart_and_a_new_address_use_the_shared_clock():
    async def main():
        async with Stage() as s:
            boot = int(time.time() * 1000) - 3000
            other = FrameNode()
            s.nodes["other"] = other
            s.agent.put("s0", await other.start(), 0, boot_ms=boot)
            await until(lambda: s.service.directory.servers["s0"].address[1] == other.port)
            known = s.service.directory.servers["s0"]
            assert known.number == 1
            assert 2900 < s.service.schedule.now_ms() - known.started_ms < 60_000

    run(main)


# -- signals


def test_a_reload_switches_to_another_agent_and_keeps_list_and_queries():
    async def main():
        received_parts = []
        async with Stage(behave=received_parts.append) as s:
            query_task = asyncio.ensure_future(s.ask((1,)))
            await until(lambda: received_parts)
            other = Agent()
            port = await other.start()
            for uid, node in s.nodes.items():
                other.put(uid, node.port, node.cell)
            s.service.reload(lambda: config.parse(file_of(port), {}))
            await s.agent.close()
            assert len(s.service.directory.servers) == CELLS * 2
            await until(lambda: other.watches)
            other.put("s0", s.nodes["s0"].port, 0, "draining")
            await until(lambda: s.service.directory.servers["s0"].endpoint.state is api.EndpointState.DRAINING)
            received_parts[0].served()
            assert (await query_task)[0] == 200
            await other.close()

    run(main)


def test_an_invalid_configuration_changes_nothing():
    async def main():
        async with Stage() as s:
            await until(lambda: s.agent.watches)
            s.service.reload(lambda: config.parse(b"{", {}))
            assert [v["kind"] for w, v in s.troubles if w == "trouble"] == ["configuration not taken"]
            s.agent.put("s0", s.nodes["s0"].port, 0, "draining")
            await until(lambda: s.service.directory.servers["s0"].endpoint.state is api.EndpointState.DRAINING)
            other = replace(s.config, limits=msgspec.structs.replace(s.config.limits, cores=0.5))
            s.service.reload(lambda: other)
            assert s.troubles[-2][1] == {"kind": "takes effect at the next start only", "detail": "limits"}

    run(main)


def test_shutdown_serves_open_connections_for_the_grace_period_and_closes_them_between_requests():
    """Guards against closing connections at the signal to end: clients keep using them while another broker starts, and
    had none for half a second."""

    async def main():
        received_parts = []
        async with Stage(behave=received_parts.append) as s:

            async def served(reader, writer, shard):
                known = len(received_parts)
                writer.write(s.head(query((shard,))))
                await until(lambda: len(received_parts) > known)
                received_parts[-1].served()
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r")[0]))
                return head, body

            persistent = await asyncio.open_connection("127.0.0.1", s.port)
            await served(*persistent, 1)
            ending = asyncio.ensure_future(s.service.end())
            await until(lambda: s.service.ending)
            head, body = await served(*persistent, 2)
            assert b"200" in head
            assert b"close" not in head
            assert b'"full":true' in body
            new = await asyncio.open_connection("127.0.0.1", s.port)
            new[1].write(s.head(query((4,))))  # this request is open when the grace period ends
            await until(lambda: received_parts[-1].shard == 4)
            assert await persistent[0].read() == b""  # closed between requests
            received_parts[-1].served()
            answer = await new[0].read()
            assert b"200" in answer
            assert b"connection: close" in answer
            assert b'"full":true' in answer
            assert await ending == 0
            for _, writer in (persistent, new):
                writer.close()

    run(main)


def _process(tmp_path, file):
    path = tmp_path / "config.json"
    path.write_bytes(file)
    env = {"PATH": os.environ["PATH"], "ROUTER_CONFIG": str(path)}
    return subprocess.Popen([sys.executable, "-m", "badgerbend.platform"], cwd=ROOT, env=env, stderr=subprocess.PIPE)


def test_a_process_shuts_down_cleanly_on_sigterm(tmp_path):
    async def main():
        agent, node = await surroundings()
        port = free_port()
        process = _process(tmp_path, file_of(agent.http.address[1], listen=port))
        try:
            lines = [msgspec.json.decode(await asyncio.to_thread(process.stderr.readline)) for _ in range(2)]
            assert [line["what"] for line in lines] == [
                "list",
                "listening",
            ]  # the list is applied before clients are served
            await until(lambda: agent.watches)
            process.send_signal(signal.SIGHUP)
            await until(
                lambda: sum("since" not in path for path in agent.requests) == 2
            )  # the complete list was requested again
            process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait) == 0
        finally:
            process.kill()
            process.stderr.close()
        node.stop()
        await agent.close()

    run(main)


def test_an_invalid_configuration_ends_the_start_with_one_line_that_names_the_field(tmp_path):
    process = _process(tmp_path, file_of(8500, settings={"ceilings.maxAttempts": "many"}))
    _, err = process.communicate()
    assert process.returncode == 2
    assert err.count(b"\n") == 1
    assert b"ceilings.maxAttempts" in err


# -- long-running processes


def test_state_kept_for_ids_does_not_grow():
    """Guards against state that grows as nodes, clients, ids and keys are replaced by the hundreds."""

    async def main():
        async with Stage(each=1) as s:
            service = s.service

            def state_sizes():
                module, driver, transport = service.driver.module, service.driver, service.transport
                return {
                    "directory": len(service.directory.servers) + len(service.directory.names),
                    "addresses": len(service.directory.addresses),
                    "channels": len(transport.channels) + len(transport.retired) + len(transport.addresses),
                    "open": transport.open,
                    "clients": len(service.server.connections),
                    "driver": len(driver.queries)
                    + len(driver._query_of_part)
                    + len(driver._attempt_counts)
                    + len(driver._in_flight),
                    "parts": driver.open_parts,
                    "front": len(service.front.open),
                    "module": sum(map(len, vars(module.queries).values())),
                    "tasks": len(asyncio.all_tasks()),
                }

            async def replace_node(i):
                cell = i % CELLS
                await s.add(f"n{i}", cell)
                await until(lambda: f"n{i}" in service.directory.servers)
                assert (await s.ask((cell, cell + 3), Connection="close", Idempotency_Key=f"k{i}"))[0] == 200
                old = f"n{i - CELLS}" if i >= CELLS else f"s{cell}"
                s.agent.put(old, s.nodes[old].port, cell, "removed")
                await until(lambda: old not in service.directory.servers)
                s.nodes.pop(old).stop()

            async def settle():
                service.transport.sweep(asyncio.get_running_loop().time())
                await until(lambda: not service.server.connections and len(service.transport.channels) == CELLS)

            for i in range(30):
                await replace_node(i)
            for cell in range(CELLS):
                await s.ask((cell,), Connection="close")
            await settle()
            before, due = state_sizes(), len(service.driver._timers)
            for i in range(30, 230):
                await replace_node(i)
            for cell in range(CELLS):
                await s.ask((cell,), Connection="close")
            await settle()
            assert state_sizes() == before
            nodes = service.driver.module.endpoints.servers
            assert len(nodes) <= 2 * CELLS
            assert len(service.driver._timers) <= due + 1000

    run(main)


def test_requests_and_connections_form_no_reference_cycles():
    """Guards against reference cycles in requests and connections: they stay in memory until a collection of the
    oldest generation."""

    async def main():
        async with Stage() as s:
            kinds = {"_OpenRequest", "Exchange", "_Query", "QueryState", "PartState", "ServerConnection", "Channel"}

            def alive():
                return Counter(type(o).__name__ for o in gc.get_objects() if type(o).__name__ in kinds)

            async def send_queries():
                for _ in range(5):
                    assert (await s.ask((1, 2, 3), Connection="close"))[0] == 200
                await until(lambda: not s.service.server.connections)
                await asyncio.sleep(0.05)

            await send_queries()
            gc.collect()
            gc.disable()
            try:
                before = alive()
                await send_queries()
                after = alive()
            finally:
                gc.enable()
            assert after - before <= Counter(Channel=CELLS * 2)

    run(main)
