"""The simulator's adapter, tested with frames that are built here."""

import io
import struct

import pytest
from conftest import SETTINGS

from badgerbend import api, benchlink, platform_settings

SETTINGS_LINES = {
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


def record(code, fmt="", *values):
    return (bytes([code]) + struct.pack(">" + fmt, *values)).ljust(48, b"\0")


def frame(now, records, payload=b""):
    body = struct.pack(">d", now) + b"".join(records) + payload
    return struct.pack(">II", len(records), len(body)) + body


def endpoint_list(*rows):
    """An encoded endpoint list. rows: cell, node and state."""
    return b"".join(struct.pack(">HIdHBfB", cell, node, 0.0, 0, 0, 1.0, state) for cell, node, state in rows)


def start(adapter, instance=3, settings=None, rows=((0, 71, 1), (1, 72, 1)), slot=0):
    """Starts an instance with an endpoint list; returns the reply."""
    text = "\n".join(f"{k}={v}" for k, v in (settings or SETTINGS_LINES).items()).encode()
    endpoints = endpoint_list(*rows)
    records = [
        record(8, "I", instance),
        record(5, "QII", 9, 0, len(text)),
        record(3, "III", slot, len(text), len(rows)),
        record(2, "BQI", 2, 41, slot),
    ]
    return adapter.process_batch(frame(100.0, records, text + endpoints))


def parse(reply):
    """The action records and the payload of a reply."""
    count, size = struct.unpack_from(">II", reply)
    assert size == len(reply) - 8
    return [reply[8 + i * 24 : 32 + i * 24] for i in range(count)], reply[8 + count * 24 :]


def submit(record_id, shard, number, weight, time_left_ms=3000.0, flags=1):
    return record(4, "IQfdHBdHff", record_id, 0, shard, time_left_ms, flags, 0, 12.0, 0, number, weight)


def test_empty_batch():
    assert benchlink.Adapter().process_batch(frame(240.0, [])) == bytes(8)


def test_query_is_sent_and_answered():
    adapter = benchlink.Adapter()
    start(adapter)
    actions, _ = parse(
        adapter.process_batch(
            frame(105.0, [record(8, "I", 3), submit(1, -1, 7, 2), submit(2, 0, 7, 0.5), submit(3, 1, 7, 0.5)])
        )
    )
    assert actions[0][:5] == struct.pack(">BI", 78, 3)
    sends = [struct.unpack_from(">BIId", a) for a in actions if a[0] == 65]
    assert sorted((s[1], s[3] > 2000) for s in sends) == [(2, True), (3, True)]
    done = [record(6, "IHIHdBB4f", s[1], 0, s[2], 0, 20.0, 1, 0, 0, 0, 0, 0) for s in sends]
    actions, _ = parse(adapter.process_batch(frame(125.0, [record(8, "I", 3), *done])))
    assert [a for a in actions if a[0] == 77] == [struct.pack(">BIB18x", 77, 1, 1)]


def test_instances_share_nothing_and_a_slot_is_reused_in_one_batch():
    adapter = benchlink.Adapter()
    start(adapter, 3, rows=((0, 71, 1), (1, 72, 1)))
    start(adapter, 4, rows=((0, 81, 1), (1, 82, 1)))
    endpoints = endpoint_list((0, 71, 0)) + endpoint_list((0, 81, 2))
    adapter.process_batch(
        frame(
            110.0,
            [
                record(8, "I", 3),
                record(3, "III", 0, 0, 1),
                record(2, "BQI", 0, 42, 0),
                record(8, "I", 4),
                record(3, "III", 0, 22, 1),
                record(2, "BQI", 0, 42, 0),
            ],
            endpoints,
        )
    )
    assert {n.id for n in adapter.instances[3].endpoints.servers.values() if n.ready} == {72}
    assert {n.id for n in adapter.instances[4].endpoints.servers.values() if n.ready} == {82}


def test_a_stop_and_a_start_in_one_batch_create_a_new_instance():
    adapter = benchlink.Adapter()
    start(adapter)
    old = adapter.instances[3]
    text = "\n".join(f"{k}={v}" for k, v in SETTINGS_LINES.items()).encode()
    adapter.process_batch(
        frame(
            120.0,
            [
                record(8, "I", 3),
                record(10),
                record(5, "QII", 10, 0, len(text)),
                record(3, "III", 0, len(text), 1),
                record(2, "BQI", 2, 43, 0),
            ],
            text + endpoint_list((0, 71, 1)),
        )
    )
    assert adapter.instances[3] is not old
    assert list(adapter.instances[3].endpoints.servers) == [71]


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
def test_an_invalid_setting_is_named_in_a_single_line(change):
    key, value = change
    settings = {k: v for k, v in SETTINGS_LINES.items() if k != key} | ({key: value} if value else {})
    actions, payload = parse(start(benchlink.Adapter(), settings=settings))
    assert [a[0] for a in actions] == [78, 74]
    assert key in payload.decode()
    assert "\n" not in payload.decode()


def test_an_exception_is_reported_with_its_text(monkeypatch):
    adapter = benchlink.Adapter()
    start(adapter)

    def broken(now, events):
        raise ZeroDivisionError("by nothing")

    monkeypatch.setattr(adapter.instances[3], "step", broken)
    actions, payload = parse(adapter.process_batch(frame(130.0, [record(8, "I", 3), record(1, "Q", 0)])))
    assert actions[-1][0] == 74
    assert b"ZeroDivisionError: by nothing" in payload


@pytest.mark.parametrize(
    "bad",
    [
        frame(1.0, [record(8, "I", 3), record(99)]),
        frame(1.0, [record(1, "Q", 0)]),
        frame(1.0, [record(3, "III", 0, 0, 5)]),
        frame(float("nan"), []),
        struct.pack(">IId", 9, 8, 1.0),
    ],
)
def test_an_invalid_frame_is_an_error_that_names_its_place(bad):
    with pytest.raises(benchlink.WireError, match="record|header"):
        benchlink.Adapter().process_batch(bad)


def test_truncated_input_is_an_error_and_the_end_of_input_is_not():
    sink = io.BytesIO()
    benchlink.serve(io.BytesIO(frame(1.0, []) * 2), sink)
    assert sink.getvalue() == bytes(16)
    with pytest.raises(benchlink.WireError):
        benchlink.serve(io.BytesIO(frame(1.0, [])[:-3]), io.BytesIO())


def test_every_action_has_a_record():
    reply = benchlink.Reply()
    reply.add_actions(
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
    actions, payload = parse(reply.frame())
    assert [a[0] for a in actions] == [65, 69, 68, 77, 66, 67, 70, 71, 72, 75, 76, 73]
    assert actions[8][:13] == struct.pack(">BIII", 72, 0xFFFFFFFF, 0, 4)
    assert payload == b"hi 7two servers known"


def test_settings_reach_the_decisions():
    settings = platform_settings.read_settings(SETTINGS_LINES)
    assert (
        settings.cell_count,
        settings.cells_per_shard,
        settings.retry_budget_min,
        settings.retry_budget_window_ms,
    ) == (2, 2, None, None)
    assert settings.classes[0].effect == "safe"
    assert type(settings) is type(SETTINGS)


def test_settings_of_partial_answers_connections_and_polling_reach_the_decisions():
    settings = platform_settings.read_settings(
        SETTINGS_LINES
        | {
            "specifics.classPartial": "0.9",
            "ceilings.connIdleMs": "15000.0",
            "ceilings.connectTimeoutMs": "250.0",
            "registryMode": "ask",
            "obligations.mustAskInMs": "10000.0",
        }
    )
    assert settings.classes[0].partial_value == 0.9
    assert (settings.connection_idle_ms, settings.connect_timeout_ms, settings.max_poll_interval_ms) == (
        15000.0,
        250.0,
        10000.0,
    )
    assert settings.polls_endpoint_list
    assert not settings.tenants
    defaults = platform_settings.read_settings(SETTINGS_LINES)
    assert defaults.classes[0].partial_value == 1.0
    assert defaults.connection_idle_ms == defaults.connect_timeout_ms == defaults.max_poll_interval_ms == float("inf")


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
def test_invalid_values_of_these_settings_are_named(change):
    with pytest.raises(platform_settings.SettingError, match="classPartial|connIdleMs|connectTimeoutMs|mustAskInMs"):
        platform_settings.read_settings(SETTINGS_LINES | change)
