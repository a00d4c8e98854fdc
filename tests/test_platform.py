"""The platform's broker among stand-ins on loopback: clients, nodes, the list, signals, long life."""

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
from badgerbend.standin.framenode import FrameNode
from badgerbend.standin.rig import free_port
from tests.platform_stage import CELLS, SHARDS, Stage, file_of, query, run, surroundings
from tests.replacing import replaced
from tests.sockets import until

ROOT = Path(__file__).parent.parent


# -- configuration


def test_a_configuration_as_settings():
    got = config.parse(file_of(8500), {})
    s = got.settings
    assert (s.cell_count, s.cells_per_shard, s.parts_per_call, s.max_attempts, s.broker_count) == (3, 1, 4, 4, 1)
    assert [c.effect for c in s.classes] == ["safe", "safe", "keyed"]
    assert s.classes[1].complete_weight == 0.5
    assert s.tenants == (api.Tenant(1000.0),)
    assert s.connection_idle_ms == 30_000.0
    assert not s.polls_endpoint_list
    assert (got.classes, got.tenants, got.shards, got.streams) == (("quote", "some", "accept"), ("acme",), 18, 8)
    assert got.discovery == ("127.0.0.1", 8500)
    assert got.seed == 0x8C1F30D2
    assert got.limits.descriptors == 256


def test_variables_stand_in_where_the_file_is_silent(tmp_path):
    file = msgspec.json.decode(file_of(8500))
    del file["discovery"], file["name"]
    path = tmp_path / "config.json"
    path.write_bytes(msgspec.json.encode(file))
    env = {"ROUTER_CONFIG": str(path), "ROUTER_NAME": "n7", "ROUTER_DISCOVERY": "127.0.0.2:1"}
    got = config.load(env)
    assert (got.name, got.discovery) == ("n7", ("127.0.0.2", 1))
    path.write_bytes(file_of(8501))
    assert config.load(env).discovery == ("127.0.0.1", 8501)  # the file prevails: it is what a reload replaces


WRONG = {
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


@pytest.mark.parametrize("field", WRONG)
def test_what_is_wrong_is_named(field):
    with pytest.raises(config.ConfigError, match=field.replace(".", r"\.")):
        config.parse(WRONG[field](msgspec.json.decode(file_of(8500))), {})


# -- clients


def test_a_query_is_answered_with_what_its_nodes_made_for_it():
    async def main():
        async with Stage() as s:
            status, got = await s.ask((1, 2, 7))
            parts = {part.shard: part for part in s.sent()}
            assert status == 200
            assert got["full"]
            assert set(parts) == {1, 2, 7}
            assert {p["tablet"]: p["cell"].encode() for p in got["pieces"]} == {n: p.value() for n, p in parts.items()}
            for uid, node in s.nodes.items():
                assert all(part.shard % CELLS == node.cell for part in node.parts()), uid
            assert {part.id for part in parts.values()} == {b"q1.1", b"q1.2", b"q1.7"}
            assert all(part.key is None and 0 < part.wait_ms <= 3000 and part.text == b"c41e77d0" for part in s.sent())

    run(main)


def test_a_keyed_query_takes_its_key_to_the_nodes():
    async def main():
        async with Stage() as s:
            status, _ = await s.ask((4,), b"accept", Idempotency_Key="5c0f6e")
            assert status == 200
            assert [part.key for part in s.sent()] == [b"5c0f6e"]

    run(main)


def test_parts_that_go_to_one_node_in_one_turn_share_calls_up_to_the_settings():
    async def main():
        async with Stage(each=1) as s:
            status, _ = await s.ask(tuple(range(0, SHARDS, CELLS)))
            assert status == 200
            assert sorted(map(len, s.nodes["s0"].calls)) == [2, 4]

    run(main)


def test_an_answer_in_part_says_so_and_an_any_m_query_is_answered_at_m():
    async def main():
        async with Stage(behave=lambda part: part.served() if part.shard < 3 else None) as s:
            status, got = await s.ask((1, 2, 7, 8), b"some")
            assert status == 200
            assert got["full"]
            assert {p["tablet"] for p in got["pieces"]} == {1, 2}
            ids = {part.id for part in s.sent() if part.shard > 2}
            await until(lambda: ids <= {c for node in s.nodes.values() for c in node.cancelled})

    run(main)


BAD = {
    "no body": {"body": b""},
    "no json": {"body": b"{tablets"},
    "a list": {"body": b"[]"},
    "nested without end": {"body": b"[" * 60_000},
    "no parts": {"body": b'{"tablets":[],"statement":"x"}'},
    "no statement": {"body": b'{"tablets":[{"tablet":1,"fraction":1}]}'},
    "a shard that is none": {"body": query((1, 18))},
    "a shard below all": {"body": query((-1, 2))},
    "a shard that is text": {"body": b'{"tablets":[{"tablet":"1","fraction":1}],"statement":"x"}'},
    "a shard that is half": {"body": b'{"tablets":[{"tablet":1.5,"fraction":1}],"statement":"x"}'},
    "a shard twice": {"body": query((1, 1))},
    "weights beyond 1": {"body": b'{"tablets":[{"tablet":1,"fraction":7}],"statement":"x"}'},
    "a weight below 0": {"body": replaced(replaced(query((1, 2)), b"0.5},", b"-0.5},"), b":0.5", b":1.5")},
    "weights short of 1": {"body": b'{"tablets":[{"tablet":1,"fraction":0.4}],"statement":"x"}'},
    "a weight that is no number": {"body": b'{"tablets":[{"tablet":1,"fraction":NaN}],"statement":"x"}'},
    "a guess beyond reason": {"body": b'{"tablets":[{"tablet":1,"fraction":1,"guess":-4}],"statement":"x"}'},
    "a token of 3": {"body": b'{"tablets":[{"tablet":1,"fraction":1,"token":"abc"}],"statement":"x"}'},
    "a class that is none": {"cls": b"nosuch"},
    "two classes": {"X_Service_Class": "accept"},
    "no id": {"X_Correlation_Id": None},
    "an empty id": {"X_Correlation_Id": ""},
    "an id with a line's marks": {"X_Correlation_Id": "a b,c"},
    "an id without end": {"X_Correlation_Id": "a" * 5000},
    "no time": {"X_Time_Left_Ms": None},
    "a time in words": {"X_Time_Left_Ms": "soon"},
    "a time below 0": {"X_Time_Left_Ms": "-5"},
    "no time left": {"X_Time_Left_Ms": "0"},
    "a time beyond reason": {"X_Time_Left_Ms": "9" * 40},
    "an account that is none": {"X_Account": "nobody"},
    "no key where one is needed": {"cls": b"accept", "Idempotency_Key": None},
    "a key with a line's marks": {"cls": b"accept", "Idempotency_Key": "a,b=1 2"},
    "a length below 0": {"Content_Length": "-3"},
    "a length in words": {"Content_Length": "ten"},
    "a huge length": {"Content_Length": "60000000"},
    "a length beyond all": {"Content_Length": "9" * 30},
    "a length and chunks": {"Transfer_Encoding": "chunked"},
    "heads without end": {"X_More": "a" * 70_000},
}


@pytest.mark.parametrize("what", BAD)
def test_what_cannot_be_used_gets_an_error_reaches_no_node_and_harms_nobody(what):
    async def main():
        async with Stage() as s:
            try:
                status, _ = await s.ask(**BAD[what])
                assert 400 <= status < 500
            except ConnectionError:
                assert what in ("a length beyond all", "a huge length", "heads without end")
            assert not s.sent()
            assert not s.service.front.open
            assert not s.service.driver.queries
            assert (await s.ask())[0] == 200

    run(main)


def test_raw_bytes_that_are_no_http_get_an_error():
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


def test_an_id_that_is_open_is_refused_to_another_and_the_first_goes_on():
    async def main():
        held = []
        async with Stage(behave=held.append) as s:
            first = asyncio.ensure_future(s.ask((1,), X_Correlation_Id="same"))
            await until(lambda: held)
            assert (await s.ask((1,), X_Correlation_Id="same"))[0] == 409
            held[0].served()
            assert (await first)[0] == 200
            assert len(s.sent()) == 1
            assert not s.service.front.open

    run(main)


def test_a_request_not_whole_in_time_and_a_silent_connection_are_turned_away(monkeypatch):
    async def main():
        async with Stage() as s:
            silent = await asyncio.open_connection("127.0.0.1", s.port)
            half = await asyncio.open_connection("127.0.0.1", s.port)
            half[1].write(s.head(query((1,)))[:-10])
            asked = await asyncio.open_connection("127.0.0.1", s.port)
            asked[1].write(s.head(query((1,))))
            assert (await asked[0].readline()).startswith(b"HTTP/1.1 200")
            await until(lambda: len(s.service.server.connections) == 3)
            connections = list(s.service.server.connections)
            for connection in connections:
                connection.since -= 2.1
            await until(lambda: len(s.service.server.connections) == 1)
            assert await silent[0].read() == b""
            assert (await half[0].read()).startswith(b"HTTP/1.1 408")
            for connection in connections:
                connection.since -= 5.0
            await until(lambda: not s.service.server.connections)
            for _, writer in (silent, half, asked):
                writer.close()

    run(main)


def test_bytes_come_slowly_does_not_make_a_first_request_longer():
    """Each piece of a first request does not start its time anew: it counts from the connection's start."""

    async def main():
        async with Stage() as s:
            _, writer = await asyncio.open_connection("127.0.0.1", s.port)
            await until(lambda: s.service.server.connections)
            (connection,) = s.service.server.connections
            began = connection.since
            for piece in (b"POST /qu", b"ote/abc HT", b"TP/1.1\r\nHost"):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.01)
            await until(lambda: connection.reading)
            assert connection.since == began
            writer.close()

    run(main)


def test_a_client_that_leaves_ends_its_query_and_its_attempts():
    async def main():
        held = []
        async with Stage(behave=held.append) as s:
            _, writer = await asyncio.open_connection("127.0.0.1", s.port)
            writer.write(s.head(query((1, 2))))
            await until(lambda: len(held) == 2)
            writer.transport.abort()
            await until(lambda: {c for n in s.nodes.values() for c in n.cancelled} == {p.id for p in held})
            assert not s.service.front.open
            assert not s.service.driver.queries
            for part in held:
                part.served()  # crosses the cancel
            assert (await asyncio.wait_for(_ask_beside(s, held), 20))[0] == 200
            assert not [v for w, v in s.troubles if w == "trouble"]

    async def _ask_beside(s, held):
        known = len(held)
        asked = asyncio.ensure_future(s.ask((1, 2)))
        await until(lambda: len(held) == known + 2)
        for part in held[known:]:
            part.served()
        return await asked

    run(main)


def test_chunks_pipelined_requests_and_a_kept_connection():
    async def main():
        async with Stage() as s:
            body = query((1,))
            chunked = s.head(b"", Content_Length=None, Transfer_Encoding="chunked")
            chunked += b"%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (5, body[:5], len(body) - 5, body[5:])
            reader, writer = await asyncio.open_connection("127.0.0.1", s.port)
            writer.write(chunked + s.head(query((2,))))
            got = b""
            while got.count(b"pieces") < 2:
                got += await reader.read(4096)
            assert got.index(b'"tablet":1') < got.index(b'"tablet":2')
            writer.write(s.head(query((4,))) + b"\xff\xff\xff")  # what follows cannot be read: its answer still comes
            assert b'"tablet":4' in await reader.read()
            writer.close()

    run(main)


def test_refusals_and_failures_as_clients_read_them():
    async def main():
        ends = {}
        async with Stage(behave=lambda part: part.connection.send(part.answer(ends["now"]))) as s:
            ends["now"] = b"skipped"
            assert (await s.ask((1,)))[0] == 503
            ends["now"] = b"broke"
            assert (await s.ask((1,)))[0] == 503  # safe: harmless to ask again
            assert (await s.ask((1,), b"accept", X_Time_Left_Ms="300"))[0] == 502  # it may have run

    run(main)


def test_no_room_is_said_at_once():
    async def main():
        async with Stage(behave=lambda part: None, settings={"ceilings.maxOpen": 4}) as s:
            first = asyncio.ensure_future(s.ask((1, 2)))
            await until(lambda: s.sent())
            assert (await s.ask((1, 2)))[0] == 503
            first.cancel()
            assert len(s.service.front.open) == 1

    run(main)


def test_floods_of_silent_connections_leave_the_usual_clients_served():
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


def test_clients_that_ask_once_and_keep_their_connections_leave_room_for_others():
    """Each of many clients asked once and held its connection for good: the rest found none free until the broker
    closed some for being idle, seconds later."""

    async def main():
        async with Stage() as s:
            kept = s.service.server.limits.max_keep_alive
            assert kept < s.config.limits.descriptors / 3
            held, closed = [], 0
            for _ in range(kept + 20):
                reader, writer = await asyncio.open_connection("127.0.0.1", s.port)
                writer.write(s.head(query((1,))))
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                assert b" 200 " in head
                await reader.readexactly(int(head.split(b"content-length: ")[1].split(b"\r")[0]))
                if b"connection: close" in head:
                    closed += 1
                    assert await reader.read() == b""
                held.append(writer)
            server = s.service.server
            assert closed == 20
            assert len(server.connections) - server.lingering <= kept + 1
            await until(lambda: len(server.connections) <= kept + 1)  # they linger no longer than their bound
            for writer in held:
                writer.close()

    run(main)


# -- nodes


SPOILS = {
    "noise": lambda p: b"\x9c\x02\xff" * 9,
    "an unknown id": lambda p: p.answer(b"served", p.value()).replace(b"q", b"z"),
    "an unknown end": lambda p: p.answer(b"sorted", p.value()),
    "three gigabytes": lambda p: (3 << 30).to_bytes(4, "little") + b"a%s served 7 -\n" % p.id + b"x" * 5000,
    "a length that does not fit": lambda p: (40_000).to_bytes(4, "little") + p.answer(b"served", p.value())[4:],
    "no end of line": lambda p: (40_000).to_bytes(4, "little") + b"a" + b"x" * 2000,
}


@pytest.mark.parametrize("what", SPOILS)
def test_a_spoilt_answer_is_no_answer_and_the_part_is_tried_elsewhere(what):
    async def main():
        spoilt = []

        def behave(part):
            if not spoilt:
                spoilt.append(part)
                part.connection.send(SPOILS[what](part))
            else:
                part.served()

        async with Stage(behave=behave) as s:
            status, got = await s.ask((1,))
            assert status == 200
            assert got["pieces"][0]["cell"].encode() == spoilt[0].value()
            first = spoilt[0].connection
            await until(lambda: first.transport is None)  # it is of no further use
            assert [v["kind"] for w, v in s.troubles if w == "trouble"] == ["spoilt answer"]

    run(main)


def test_a_good_answer_with_a_report_that_cannot_be_read_counts():
    async def main():
        async with Stage(behave=lambda p: p.connection.send(p.answer(b"served", p.value(), b"{\xff,,"))) as s:
            assert (await s.ask((1,)))[0] == 200

    run(main)


def test_a_node_that_dies_and_comes_back():
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
        async with Stage(known=True, told=False) as s:
            s.agent.silent = True
            assert (await s.ask())[0] == 200

    run(main)


def test_the_agent_has_its_chance_to_answer_before_the_first_client_is_taken():
    # What the agent has counts as told from a process's first moment. A slow one listened with the known list in force
    # by the time that the grace of a drain was over, and sent by it until the agent's answer had been read.
    async def main():
        async with Stage(known=True, told=False, drained=("s0", "s1", "s2")) as s:
            assert s.heard_first
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
def test_a_changed_row_without_all_its_fields_still_takes_a_server_out_of_service(row):
    async def main():
        async with Stage() as s:
            await until(lambda: s.agent.waiting)
            known, numbers = lambda: s.service.driver.module.endpoints.servers, {uid: s.number(uid) for uid in s.nodes}
            await until(lambda: len(known()) == len(numbers))
            s.agent.rev += 1
            s.agent.changes.append((s.agent.rev, row))
            await until(lambda: numbers["s0"] not in known())
            assert numbers["s3"] in known()

    run(main)


def test_of_two_rows_for_one_server_the_one_that_drains_holds():
    directory = Directory(CELLS, members.row_parser(names.MEMBERS, ("here",), ("m",)), shared_clock=True)
    row = {"uid": "s0", "endpoint": "127.0.0.1:9", "az": "here", "model": "m", "pod_group": 0, "state": "up"}
    for states in (("up", "draining"), ("draining", "up")):
        rows = decode_rows(msgspec.json.encode([row | {"state": state} for state in states]))
        view, wrong = directory.read(rows, 0.0, 0.0)
        assert [line.state for line in view.endpoints] == [api.EndpointState.DRAINING]
        assert len(wrong) == 1


def test_a_row_that_repeats_what_is_known_takes_back_the_one_before_it():
    directory = Directory(CELLS, members.row_parser(names.MEMBERS, ("here",), ("m",)), shared_clock=True)
    row = {"uid": "s0", "endpoint": "127.0.0.1:9", "az": "here", "model": "m", "pod_group": 0, "state": "draining"}
    directory.read(decode_rows(msgspec.json.encode([row])), 0.0, 0.0)
    reading = ListReader(
        directory, decode_rows(msgspec.json.encode([row | {"state": "up"}, row])), 1.0, 1.0, whole=False
    )
    list(reading.read_slices())
    reading.apply()
    assert [line.state for view in reading.updates() for line in view.endpoints] == []
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
def test_rows_that_are_none_at_all_stop_no_list(row):
    leaving = members.departure_parser(names.MEMBERS)
    directory = Directory(
        CELLS, members.row_parser(names.MEMBERS, ("here",), ("m",)), shared_clock=True, parse_departure=leaving
    )
    good = {"uid": "s0", "endpoint": "127.0.0.1:9", "az": "here", "model": "m", "pod_group": 0, "state": "up"}
    directory.read(decode_rows(msgspec.json.encode([good])), 0.0, 0.0)
    news = [row, good | {"uid": "s1", "state": "draining"}]
    reading = ListReader(directory, decode_rows(msgspec.json.encode(news)), 1.0, 1.0, whole=False)
    list(reading.read_slices())
    reading.apply()
    assert directory.servers["s1"].endpoint.state == api.EndpointState.DRAINING
    assert len(reading.errors) == 1
    assert directory.servers["s0"].endpoint.state == api.EndpointState.READY


def test_without_any_list_it_is_not_ready():
    async def main():
        async with Stage(each=0, told=False) as s:
            get = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"
            assert (await s.reply(get)).status == 503
            for cell in range(CELLS):
                await s.add(f"new{cell}", cell)
            await until(lambda: len(s.service.directory.servers) == CELLS)
            assert (await s.reply(get)).status == 200

    run(main)


def test_the_watch_follows_on_and_a_drained_node_gets_nothing_new():
    async def main():
        async with Stage(each=2) as s:
            await until(lambda: s.agent.waiting)
            s.agent.put("s0", s.nodes["s0"].port, 0, "draining")
            await until(lambda: s.service.directory.servers["s0"].endpoint.state is api.EndpointState.DRAINING)
            for _ in range(10):
                assert (await s.ask((0, 3)))[0] == 200
            assert not s.nodes["s0"].parts()
            assert s.nodes["s3"].parts()
            s.agent.put("s0", s.nodes["s0"].port, 0, "removed")
            await until(lambda: "s0" not in s.service.directory.servers)
            whole = [path for path in s.agent.asked if "since" not in path]
            assert len(whole) == 1
            assert s.agent.asked[1].startswith("/catalog/members?since=")

    run(main)


def test_version_nought_is_a_version_and_is_watched():
    """The list's first version can be 0: taking it for none asked for the whole list again, without end."""

    async def main():
        async with Stage(each=0, told=False) as s:
            node = FrameNode()
            s.nodes["s0"] = node
            row = s.agent.put("s0", await node.start(), 0)
            s.agent.rev, s.agent.changes, s.agent.members = 0, [], {"s0": row}
            await until(lambda: "s0" in s.service.directory.servers and s.agent.waiting)
            assert s.agent.asked[-1].startswith("/catalog/members?since=0&")

    run(main)


@pytest.mark.parametrize(
    "rubbish",
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
def test_rubbish_from_the_agent_keeps_the_last_list(rubbish):
    async def main():
        async with Stage() as s:
            s.agent.answer = rubbish
            s.agent.put("s0", s.nodes["s0"].port, 0)  # ends the call that waits
            await until(lambda: s.service.observer.troubles["list not read"] >= 2)
            assert len(s.service.directory.servers) == CELLS * 2
            assert (await s.ask())[0] == 200
            s.agent.answer = None
            s.agent.put("s1", s.nodes["s1"].port, 1, "draining")
            await until(lambda: s.service.directory.servers["s1"].endpoint.state is api.EndpointState.DRAINING)

    run(main)


def test_a_restart_and_a_new_address_are_seen_by_the_one_clock():
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


def test_a_reload_moves_to_another_agent_without_losing_list_or_queries():
    async def main():
        held = []
        async with Stage(behave=held.append) as s:
            asked = asyncio.ensure_future(s.ask((1,)))
            await until(lambda: held)
            other = Agent()
            port = await other.start()
            for uid, node in s.nodes.items():
                other.put(uid, node.port, node.cell)
            s.service.reload(lambda: config.parse(file_of(port), {}))
            await s.agent.close()
            assert len(s.service.directory.servers) == CELLS * 2
            await until(lambda: other.waiting)
            other.put("s0", s.nodes["s0"].port, 0, "draining")
            await until(lambda: s.service.directory.servers["s0"].endpoint.state is api.EndpointState.DRAINING)
            held[0].served()
            assert (await asked)[0] == 200
            await other.close()

    run(main)


def test_a_configuration_that_cannot_be_used_changes_nothing():
    async def main():
        async with Stage() as s:
            await until(lambda: s.agent.waiting)
            s.service.reload(lambda: config.parse(b"{", {}))
            assert [v["kind"] for w, v in s.troubles if w == "trouble"] == ["configuration not taken"]
            s.agent.put("s0", s.nodes["s0"].port, 0, "draining")
            await until(lambda: s.service.directory.servers["s0"].endpoint.state is api.EndpointState.DRAINING)
            other = replace(s.config, limits=msgspec.structs.replace(s.config.limits, cores=0.5))
            s.service.reload(lambda: other)
            assert s.troubles[-2][1] == {"kind": "takes effect at the next start only", "detail": "limits"}

    run(main)


def test_ending_serves_on_kept_connections_for_the_grace_and_then_closes_them_between_requests_only():
    """Clients use the connections they have while another broker starts: closing those at the signal to end left
    them none for half a second."""

    async def main():
        held = []
        async with Stage(behave=held.append) as s:

            async def served(reader, writer, shard):
                known = len(held)
                writer.write(s.head(query((shard,))))
                await until(lambda: len(held) > known)
                held[-1].served()
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r")[0]))
                return head, body

            kept = await asyncio.open_connection("127.0.0.1", s.port)
            await served(*kept, 1)
            ending = asyncio.ensure_future(s.service.end())
            await until(lambda: s.service.ending)
            head, body = await served(*kept, 2)
            assert b"200" in head
            assert b"close" not in head
            assert b'"full":true' in body
            new = await asyncio.open_connection("127.0.0.1", s.port)
            new[1].write(s.head(query((4,))))  # is open when the grace is over
            await until(lambda: held[-1].shard == 4)
            assert await kept[0].read() == b""  # closed between requests
            held[-1].served()
            answer = await new[0].read()
            assert b"200" in answer
            assert b"connection: close" in answer
            assert b'"full":true' in answer
            assert await ending == 0
            for _, writer in (kept, new):
                writer.close()

    run(main)


def _process(tmp_path, file):
    path = tmp_path / "config.json"
    path.write_bytes(file)
    env = {"PATH": os.environ["PATH"], "ROUTER_CONFIG": str(path)}
    return subprocess.Popen([sys.executable, "-m", "badgerbend.platform"], cwd=ROOT, env=env, stderr=subprocess.PIPE)


def test_a_process_that_is_told_to_end_ends_well(tmp_path):
    async def main():
        agent, node = await surroundings()
        port = free_port()
        process = _process(tmp_path, file_of(agent.http.address[1], listen=port))
        try:
            lines = [msgspec.json.decode(await asyncio.to_thread(process.stderr.readline)) for _ in range(2)]
            assert [line["what"] for line in lines] == ["list", "listening"]  # the agent's word before any client
            await until(lambda: agent.waiting)
            process.send_signal(signal.SIGHUP)
            await until(lambda: sum("since" not in path for path in agent.asked) == 2)  # heard anew
            process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait) == 0
        finally:
            process.kill()
            process.stderr.close()
        node.stop()
        await agent.close()

    run(main)


def test_a_bad_configuration_ends_the_start_with_one_line_that_names_the_field(tmp_path):
    process = _process(tmp_path, file_of(8500, settings={"ceilings.maxAttempts": "many"}))
    _, err = process.communicate()
    assert process.returncode == 2
    assert err.count(b"\n") == 1
    assert b"ceilings.maxAttempts" in err


# -- long life


def test_what_is_kept_for_an_id_goes_with_it():
    """Nodes, clients, ids and keys turn over by the hundreds: what is held afterwards is what was held before."""

    async def main():
        async with Stage(each=1) as s:
            service = s.service

            def kept():
                module, driver, transport = service.driver.module, service.driver, service.transport
                return {
                    "directory": len(service.directory.servers) + len(service.directory.names),
                    "addresses": len(service.directory.addresses),
                    "channels": len(transport.channels) + len(transport.retired) + len(transport.addresses),
                    "open": transport.open,
                    "clients": len(service.server.connections),
                    "driver": len(driver.queries) + len(driver._owners) + len(driver._tries) + len(driver._out),
                    "parts": driver.open_parts,
                    "front": len(service.front.open),
                    "module": sum(map(len, vars(module.queries).values())),
                    "tasks": len(asyncio.all_tasks()),
                }

            async def turn(i):
                cell = i % CELLS
                await s.add(f"n{i}", cell)
                await until(lambda: f"n{i}" in service.directory.servers)
                assert (await s.ask((cell, cell + 3), Connection="close", Idempotency_Key=f"k{i}"))[0] == 200
                old = f"n{i - CELLS}" if i >= CELLS else f"s{cell}"
                s.agent.put(old, s.nodes[old].port, cell, "removed")
                await until(lambda: old not in service.directory.servers)
                s.nodes.pop(old).stop()

            async def settled():
                service.transport.sweep(asyncio.get_running_loop().time())
                await until(lambda: not service.server.connections and len(service.transport.channels) == CELLS)

            for i in range(30):
                await turn(i)
            for cell in range(CELLS):
                await s.ask((cell,), Connection="close")
            await settled()
            before, due = kept(), len(service.driver._due)
            for i in range(30, 230):
                await turn(i)
            for cell in range(CELLS):
                await s.ask((cell,), Connection="close")
            await settled()
            assert kept() == before
            nodes = service.driver.module.endpoints.servers
            assert len(nodes) <= 2 * CELLS
            assert len(service.driver._due) <= due + 1000

    run(main)


def test_requests_and_connections_need_no_garbage_collector():
    """Each request, and each connection, was a cycle that stayed until a collection of the oldest generation."""

    async def main():
        async with Stage() as s:
            kinds = {"_Pending", "Exchange", "_Query", "QueryState", "PartState", "_Connection", "Channel"}

            def alive():
                return Counter(type(o).__name__ for o in gc.get_objects() if type(o).__name__ in kinds)

            async def asked():
                for _ in range(5):
                    assert (await s.ask((1, 2, 3), Connection="close"))[0] == 200
                await until(lambda: not s.service.server.connections)
                await asyncio.sleep(0.05)

            await asked()
            gc.collect()
            gc.disable()
            try:
                before = alive()
                await asked()
                after = alive()
            finally:
                gc.enable()
            assert after - before <= Counter(Channel=CELLS * 2)

    run(main)
