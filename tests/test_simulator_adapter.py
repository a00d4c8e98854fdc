"""The adapter on hand-built frames."""

import io
import struct

import pytest
from conftest import SETTINGS

from badgerbend import api, benchlink, platform_settings

FACTS = {
    "categories.count": "1",
    "categories.0.aimMs": "1000.0",
    "categories.0.hardLimitMs": "3000.0",
    "categories.0.idempotency": "read_like",
    "categories.0.lateValue": "0.3",
    "categories.0.value": "1.0",
    "specifics.wholeAt": "1.0",
    "specifics.minShare": "1.0",
    "specifics.followUp": "0",
    "specifics.sets": "2",
    "specifics.width": "2",
    "specifics.partsACall": "1",
    "me": "0",
    "zone": "0",
    "fleetSize": "2",
    "ceilings.maxAttempts": "3",
    "ceilings.maxOpen": "100",
    "ceilings.cancel": "true",
    "ceilings.secondCopies": "true",
    "ceilings.probing": "true",
    "ceilings.retryAfter": "false",
    "ceilings.maxRetryAfterMs": "1000.0",
    "overShareWorth": "0.1",
    "obligations.coldFrom": "0.2",
    "obligations.coldMs": "10000.0",
    "obligations.overloadFactor": "3.0",
    "obligations.fallMs": "1000.0",
    "something.new": "x",
}


def rec(code, fmt="", *values):
    return (bytes([code]) + struct.pack(">" + fmt, *values)).ljust(48, b"\0")


def frame(now, records, tail=b""):
    body = struct.pack(">d", now) + b"".join(records) + tail
    return struct.pack(">II", len(records), len(body)) + body


def lines(*rows):
    return b"".join(struct.pack(">HIdHBfB", cell, node, 0.0, 0, 0, 1.0, state) for cell, node, state in rows)


def boot(link, instance=3, facts=None, rows=((0, 71, 1), (1, 72, 1)), slot=0):
    text = "\n".join(f"{k}={v}" for k, v in (facts or FACTS).items()).encode()
    sheet = lines(*rows)
    records = [
        rec(8, "I", instance),
        rec(5, "QII", 9, 0, len(text)),
        rec(3, "III", slot, len(text), len(rows)),
        rec(2, "BQI", 2, 41, slot),
    ]
    return link.turn(frame(100.0, records, text + sheet))


def parse(reply):
    count, size = struct.unpack_from(">II", reply)
    assert size == len(reply) - 8
    return [reply[8 + i * 24 : 32 + i * 24] for i in range(count)], reply[8 + count * 24 :]


def submit(rid, shard, number, amount, left=3000.0, bits=1):
    return rec(4, "IQfdHBdHff", rid, 0, shard, left, bits, 0, 12.0, 0, number, amount)


def test_empty_batch():
    assert benchlink.Link().turn(frame(240.0, [])) == bytes(8)


def test_query_is_sent_and_answered():
    link = benchlink.Link()
    boot(link)
    acts, _ = parse(
        link.turn(frame(105.0, [rec(8, "I", 3), submit(1, -1, 7, 2), submit(2, 0, 7, 0.5), submit(3, 1, 7, 0.5)]))
    )
    assert acts[0][:5] == struct.pack(">BI", 78, 3)
    sends = [struct.unpack_from(">BIId", a) for a in acts if a[0] == 65]
    assert sorted((s[1], s[3] > 2000) for s in sends) == [(2, True), (3, True)]
    done = [rec(6, "IHIHdBB4f", s[1], 0, s[2], 0, 20.0, 1, 0, 0, 0, 0, 0) for s in sends]
    acts, _ = parse(link.turn(frame(125.0, [rec(8, "I", 3), *done])))
    assert [a for a in acts if a[0] == 77] == [struct.pack(">BIB18x", 77, 1, 1)]


def test_instances_share_nothing_and_a_slot_is_reused_in_one_batch():
    link = benchlink.Link()
    boot(link, 3, rows=((0, 71, 1), (1, 72, 1)))
    boot(link, 4, rows=((0, 81, 1), (1, 82, 1)))
    sheets = lines((0, 71, 0)) + lines((0, 81, 2))
    link.turn(
        frame(
            110.0,
            [
                rec(8, "I", 3),
                rec(3, "III", 0, 0, 1),
                rec(2, "BQI", 0, 42, 0),
                rec(8, "I", 4),
                rec(3, "III", 0, 22, 1),
                rec(2, "BQI", 0, 42, 0),
            ],
            sheets,
        )
    )
    assert {n.id for n in link.instances[3].endpoints.servers.values() if n.ready} == {72}
    assert {n.id for n in link.instances[4].endpoints.servers.values() if n.ready} == {82}


def test_exit_then_start_in_one_batch_begins_anew():
    link = benchlink.Link()
    boot(link)
    old = link.instances[3]
    text = "\n".join(f"{k}={v}" for k, v in FACTS.items()).encode()
    link.turn(
        frame(
            120.0,
            [
                rec(8, "I", 3),
                rec(10),
                rec(5, "QII", 10, 0, len(text)),
                rec(3, "III", 0, len(text), 1),
                rec(2, "BQI", 2, 43, 0),
            ],
            text + lines((0, 71, 1)),
        )
    )
    assert link.instances[3] is not old
    assert list(link.instances[3].endpoints.servers) == [71]


@pytest.mark.parametrize(
    "change",
    [
        ("me", None),
        ("fleetSize", "two"),
        ("ceilings.cancel", "yes"),
        ("specifics.wholeAt", "1.0,0.5"),
        ("categories.0.idempotency", "?"),
    ],
)
def test_a_bad_setting_is_named_in_one_line(change):
    key, value = change
    facts = {k: v for k, v in FACTS.items() if k != key} | ({key: value} if value else {})
    acts, tail = parse(boot(benchlink.Link(), facts=facts))
    assert [a[0] for a in acts] == [78, 74]
    assert key in tail.decode()
    assert "\n" not in tail.decode()


def test_an_exception_becomes_a_panic_with_its_text(monkeypatch):
    link = benchlink.Link()
    boot(link)

    def broken(now, events):
        raise ZeroDivisionError("by nothing")

    monkeypatch.setattr(link.instances[3], "step", broken)
    acts, tail = parse(link.turn(frame(130.0, [rec(8, "I", 3), rec(1, "Q", 0)])))
    assert acts[-1][0] == 74
    assert b"ZeroDivisionError: by nothing" in tail


@pytest.mark.parametrize(
    "bad",
    [
        frame(1.0, [rec(8, "I", 3), rec(99)]),
        frame(1.0, [rec(1, "Q", 0)]),
        frame(1.0, [rec(3, "III", 0, 0, 5)]),
        frame(float("nan"), []),
        struct.pack(">IId", 9, 8, 1.0),
    ],
)
def test_impossible_frames_are_named(bad):
    with pytest.raises(benchlink.WireError, match="record|header"):
        benchlink.Link().turn(bad)


def test_truncated_input_is_an_error_and_its_end_is_not():
    sink = io.BytesIO()
    benchlink.serve(io.BytesIO(frame(1.0, []) * 2), sink)
    assert sink.getvalue() == bytes(16)
    with pytest.raises(benchlink.WireError):
        benchlink.serve(io.BytesIO(frame(1.0, [])[:-3]), io.BytesIO())


def test_every_action_has_its_record():
    reply = benchlink.Reply()
    reply.write(
        [
            api.Send(1, 2, 3.0),
            api.SetTimer(1.0, 2),
            api.Cancel(1, 0),
            api.Answer(1, False),
            api.Reject(1, 5.0),
            api.Fail(1),
            api.StartHealthCheck(2),
            api.CloseIdleConnections(2),
            api.SendToPeer(None, b"hi 7"),
            api.FollowEndpointList(True),
            api.FetchEndpointList(),
            api.Log("two servers known"),
        ]
    )
    acts, tail = parse(reply.frame())
    assert [a[0] for a in acts] == [65, 69, 68, 77, 66, 67, 70, 71, 72, 75, 76, 73]
    assert acts[8][:13] == struct.pack(">BIII", 72, 0xFFFFFFFF, 0, 4)
    assert tail == b"hi 7two servers known"


def test_settings_reach_the_module():
    got = platform_settings.read_settings(FACTS)
    assert (got.cell_count, got.cells_per_shard, got.retry_budget_min, got.retry_budget_window_ms) == (2, 2, None, None)
    assert got.classes[0].effect == "safe"
    assert type(got) is type(SETTINGS)


def test_settings_of_partial_answers_connections_and_asking_reach_the_module():
    got = platform_settings.read_settings(
        FACTS
        | {
            "specifics.classPartial": "0.9",
            "ceilings.connIdleMs": "15000.0",
            "ceilings.connectTimeoutMs": "250.0",
            "registryMode": "ask",
            "obligations.mustAskInMs": "10000.0",
        }
    )
    assert got.classes[0].partial_value == 0.9
    assert (got.connection_idle_ms, got.connect_timeout_ms, got.max_poll_interval_ms) == (15000.0, 250.0, 10000.0)
    assert got.polls_endpoint_list
    assert not got.tenants
    absent = platform_settings.read_settings(FACTS)
    assert absent.classes[0].partial_value == 1.0
    assert absent.connection_idle_ms == absent.connect_timeout_ms == absent.max_poll_interval_ms == float("inf")


@pytest.mark.parametrize(
    "change",
    [
        {"specifics.classPartial": "0.9,0.9"},
        {"specifics.classPartial": "nan"},
        {"ceilings.connIdleMs": "-1"},
        {"ceilings.connectTimeoutMs": "soon"},
        {"registryMode": "ask"},
        {"registryMode": "ask", "obligations.mustAskInMs": "0"},
    ],
)
def test_absurd_settings_of_these_are_named(change):
    with pytest.raises(platform_settings.SettingError, match="classPartial|connIdleMs|connectTimeoutMs|mustAskInMs"):
        platform_settings.read_settings(FACTS | change)
