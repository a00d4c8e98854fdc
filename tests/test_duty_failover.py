"""Failover of a duty among broker processes: at most one broker acts on it at a time, whatever fails.

A proxy between the processes records their datagrams, from which the audit finds who acted. The tests wait for
recorded events and not for fixed times.
"""

import asyncio
import signal

import uvloop

from badgerbend.lease_service import wire
from badgerbend.leases.messages import LeaseReply, LeaseReturn, ProbeReport
from badgerbend.net.fetch import fetch
from badgerbend.net.seal import DatagramSealer
from badgerbend.net.udp import sender_id
from badgerbend.standin.duty_audit import audit_duties, decode_datagram
from badgerbend.standin.scene import Scene, Stage
from tests.sockets import until

TIMEOUT_S = 100.0  # ends a test that hangs; no other verdict depends on it


def run_scene(tmp_path, main, scene):
    """Runs `main` on the started stage of a scene. Returns the auditor's judgement and the brokers' exit statuses.

    Fails if a rule of the auditor was broken, or had nothing to check.
    """

    async def run_stage():
        async with asyncio.timeout(TIMEOUT_S):
            stage = Stage(scene, tmp_path, {"probe_every_ms": 40.0})
            try:
                await stage.start()
                await main(stage)
            finally:
                exit_statuses = await stage.stop()
            return audit_duties(stage.lines), exit_statuses

    judged, exit_statuses = uvloop.run(run_stage())
    assert [(finding.name, finding.cases) for finding in judged.findings if finding.cases] == []
    assert all(finding.checked for finding in judged.findings)
    return judged, exit_statuses


def has_acted(stage, name, since):
    """Whether a broker has sent a report of health checks, since this line, to the process that suspects servers."""
    return any(row["from"] == name and row["k"] == "passed" and row["to"] == "doubter" for row in stage.lines[since:])


def was_notified_as_holder(stage, name):
    """Whether a broker holds the lease on health checks according to the last reply of a leader to it."""
    messages = (
        decode_datagram(row["data"]) for row in reversed(stage.lines) if row["to"] == name and row["k"] == "passed"
    )
    leases = (lease for m in messages if isinstance(m, LeaseReply) and m.is_leader for lease in m.leases)
    return next((lease.holder == name for lease in leases if lease.duty == "probe"), False)


def has_returned_lease(stage, name, since):
    """Whether a broker has sent all other voters its departure and the return of its lease on health checks."""
    messages = ((row["to"], decode_datagram(row["data"])) for row in stage.lines[since:] if row["from"] == name)
    returns = ((to, m) for to, m in messages if isinstance(m, LeaseReturn) and m.is_departing)
    notified = {to for to, message in returns if "probe" in {lease.duty for lease in message.returned_leases}}
    return notified >= set(stage.voters) - {name}


async def wait_for_new_holder(stage, old):
    """Waits until a report of a broker other than `old` arrives, and returns the holder."""
    since = len(stage.lines)
    await until(lambda: any(has_acted(stage, name, since) for name in stage.names if name != old))
    return stage.holder()


def test_one_broker_acts_at_a_time_when_the_holder_stalls_stops_is_killed_or_is_partitioned(tmp_path):
    async def main(stage):
        old = stage.holder()  # stalls for longer than its lease, and resumes
        stage.processes[old].send(signal.SIGSTOP)
        new = await wait_for_new_holder(stage, old)
        since = len(stage.lines)
        stage.processes[old].send(signal.SIGCONT)
        await until(lambda: any(row["from"] == old for row in stage.lines[since:]))  # it sends again, but no reports
        await until(lambda: has_acted(stage, new, since))
        assert not has_acted(stage, old, since)

        old = new  # shuts down: the duty is handed over at once instead of after the lease
        since = len(stage.lines)
        ended = asyncio.ensure_future(stage.processes[old].terminate())
        new = await wait_for_new_holder(stage, old)
        assert await ended == 0
        assert any(row["from"] == old and row["to"] in stage.voters for row in stage.lines[since:])
        await stage.processes[old].start()

        old = new  # is killed
        await stage.processes[old].kill()
        new = await wait_for_new_holder(stage, old)
        await stage.processes[old].start()

        old = new  # is partitioned from all other brokers, voters included, but from nothing else
        stage.proxy.between([old], [name for name in stage.names if name != old], cut=True)
        new = await wait_for_new_holder(stage, old)
        stage.proxy.heal()
        since = len(stage.lines)
        await until(lambda: any(row["from"] == old and row["to"] in stage.voters for row in stage.lines[since:]))
        await until(lambda: has_acted(stage, new, len(stage.lines) - 50 if len(stage.lines) > 50 else 0))

    judged, exit_statuses = run_scene(tmp_path, main, Scene(seconds=1.0, drift=0.01))
    assert len(judged.holdings) >= 5
    assert exit_statuses == [0] * 5


def test_a_duty_gets_a_holder_again_after_the_loss_of_the_leader_and_then_of_two_of_three_voters(tmp_path):
    async def main(stage):
        leader = stage.leader()
        await stage.processes[leader].kill()

        def leaders(since):
            """Returns the voters that have replied as the leader since this line."""
            messages = [decode_datagram(row["data"]) for row in stage.lines[since:] if row["k"] == "passed"]
            return {message.source for message in messages if isinstance(message, LeaseReply) and message.is_leader}

        since = len(stage.lines)
        await until(lambda: leaders(since) - {leader})
        await stage.processes[leader].start()
        pair = [*[name for name in stage.voters if name != stage.leader()][:1], stage.leader()]
        holder = stage.holder()
        await asyncio.gather(*(stage.processes[name].kill() for name in pair))
        since = len(stage.lines)
        await until(lambda: sum(row["to"] in stage.voters for row in stage.lines[since:]) > 100)
        assert not leaders(since)  # without a majority no lease is granted or renewed, so that the holder stops
        await asyncio.gather(*(stage.processes[name].start() for name in pair))
        since = len(stage.lines)
        await until(lambda: any(has_acted(stage, name, since) for name in stage.names))
        assert holder in stage.names

    run_scene(tmp_path, main, Scene(seconds=1.0, brokers=4))


def test_a_rolling_restart_hands_the_duty_over_and_a_forged_report_has_no_effect(tmp_path):
    async def main(stage):
        for name in stage.names:
            since, is_acting, was_holder = len(stage.lines), stage.holder() == name, was_notified_as_holder(stage, name)
            assert await stage.processes[name].terminate() == 0
            if is_acting:  # restart it only when another acts: a leader elected just now could choose it again
                await wait_for_new_holder(stage, name)
                assert has_returned_lease(stage, name, since) or not was_holder
            await stage.processes[name].start()
        since = len(stage.lines)
        await until(lambda: any(has_acted(stage, name, since) for name in stage.names))
        # A report under a very high epoch, sealed with a wrong key, and a replayed datagram.
        name = stage.names[0]
        target, endpoint = stage.proxy.endpoints[name].real, stage.proxy.endpoints["doubter"].transport
        report = wire.encode_peer_message(ProbeReport("doubter", "probe", 1 << 40, ()))
        endpoint.sendto(
            DatagramSealer((b"another key, not theirs",), 1).seal(report, sender_id(stage.reporter.own_address)), target
        )
        recorded = [row["data"] for row in stage.lines if (row["from"], row["to"]) == ("doubter", name)]
        endpoint.sendto(recorded[-1], target)
        port = stage.processes[name].settings.listen.port
        while (await fetch(port, "/duties"))["refused"] < 2:
            await asyncio.sleep(0.01)
        since = len(stage.lines)
        await until(lambda: any(has_acted(stage, name, since) for name in stage.names))

    judged, exit_statuses = run_scene(tmp_path, main, Scene(seconds=1.0, brokers=4))
    assert len({holding.holder for holding in judged.holdings}) >= 2
    assert exit_statuses == [0] * 4
