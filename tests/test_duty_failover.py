"""Brokers as processes with a rig between them: who acts, judged by what passed. Waits are for that, not for times."""

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

LIMIT_S = 100.0  # a test that hangs fails by this; no verdict rests on it otherwise


def play(tmp_path, main, scene):
    async def staged():
        async with asyncio.timeout(LIMIT_S):
            stage = Stage(scene, tmp_path, {"probe_every_ms": 40.0})
            try:
                await stage.start()
                await main(stage)
            finally:
                ends = await stage.stop()
            return audit_duties(stage.lines), ends

    judged, ends = uvloop.run(staged())
    assert [(f.name, f.cases) for f in judged.findings if f.cases] == []
    assert all(f.checked for f in judged.findings)
    return judged, ends


def acts_of(stage, name, since):
    return any(r["from"] == name and r["k"] == "passed" and r["to"] == "doubter" for r in stage.lines[since:])


def told_to_hold(stage, name):
    """Whether a leader's last word to a broker said that it holds the lease of probing."""
    messages = (decode_datagram(r["data"]) for r in reversed(stage.lines) if r["to"] == name and r["k"] == "passed")
    leases = (lease for m in messages if isinstance(m, LeaseReply) and m.is_leader for lease in m.leases)
    return next((lease.holder == name for lease in leases if lease.duty == "probe"), False)


def gave_back(stage, name, since):
    """Whether a broker has told all other voters that it departs, and that it returns its lease of probing."""
    messages = ((r["to"], decode_datagram(r["data"])) for r in stage.lines[since:] if r["from"] == name)
    returns = ((to, m) for to, m in messages if isinstance(m, LeaseReturn) and m.is_departing)
    notified = {to for to, message in returns if "probe" in {lease.duty for lease in message.returned_leases}}
    return notified >= set(stage.voters) - {name}


async def another_holds(stage, old):
    """Until somebody else's acts arrive; who that is."""
    since = len(stage.lines)
    await until(lambda: any(acts_of(stage, n, since) for n in stage.names if n != old))
    return stage.holder()


def test_the_holder_stops_ends_is_killed_and_cut_off_and_one_acts_at_a_time(tmp_path):
    async def main(stage):
        old = stage.holder()  # it stands still, for longer than its lease, and goes on
        stage.processes[old].send(signal.SIGSTOP)
        new = await another_holds(stage, old)
        since = len(stage.lines)
        stage.processes[old].send(signal.SIGCONT)
        await until(lambda: any(r["from"] == old for r in stage.lines[since:]))  # it speaks again, and acts no more
        await until(lambda: acts_of(stage, new, since))
        assert not acts_of(stage, old, since)

        old = new  # it is told to end: what it holds goes on at once, and not after its lease
        since = len(stage.lines)
        ended = asyncio.ensure_future(stage.processes[old].terminate())
        new = await another_holds(stage, old)
        assert await ended == 0
        assert any(r["from"] == old and r["to"] in stage.voters for r in stage.lines[since:])
        await stage.processes[old].start()

        old = new
        await stage.processes[old].kill()
        new = await another_holds(stage, old)
        await stage.processes[old].start()

        old = new  # cut off from the others, voters or not, and from nobody else
        stage.proxy.between([old], [n for n in stage.names if n != old], cut=True)
        new = await another_holds(stage, old)
        stage.proxy.heal()
        since = len(stage.lines)
        await until(lambda: any(r["from"] == old and r["to"] in stage.voters for r in stage.lines[since:]))
        await until(lambda: acts_of(stage, new, len(stage.lines) - 50 if len(stage.lines) > 50 else 0))

    judged, ends = play(tmp_path, main, Scene(seconds=1.0, drift=0.01))
    assert len(judged.holdings) >= 5
    assert ends == [0] * 5


def test_the_leader_goes_and_two_of_three_voters_and_the_duty_is_held_again(tmp_path):
    async def main(stage):
        leader = stage.leader()
        await stage.processes[leader].kill()

        def leads(since):
            found = [decode_datagram(r["data"]) for r in stage.lines[since:] if r["k"] == "passed"]
            return {m.source for m in found if isinstance(m, LeaseReply) and m.is_leader}

        since = len(stage.lines)
        await until(lambda: leads(since) - {leader})
        await stage.processes[leader].start()
        pair = [*[n for n in stage.voters if n != stage.leader()][:1], stage.leader()]
        holder = stage.holder()
        await asyncio.gather(*(stage.processes[n].kill() for n in pair))
        since = len(stage.lines)
        await until(lambda: sum(r["to"] in stage.voters for r in stage.lines[since:]) > 100)
        assert not leads(since)  # no majority: nobody is given anything, and whoever held has stopped or will
        await asyncio.gather(*(stage.processes[n].start() for n in pair))
        since = len(stage.lines)
        await until(lambda: any(acts_of(stage, n, since) for n in stage.names))
        assert holder in stage.names

    play(tmp_path, main, Scene(seconds=1.0, brokers=4))


def test_a_rolling_restart_hands_all_over_and_a_forged_act_takes_no_effect(tmp_path):
    async def main(stage):
        for name in stage.names:
            since, acted, held = len(stage.lines), stage.holder() == name, told_to_hold(stage, name)
            assert await stage.processes[name].terminate() == 0
            if acted:  # back only once another acts: a leader elected a moment ago would choose it once more
                await another_holds(stage, name)
                assert gave_back(stage, name, since) or not held
            await stage.processes[name].start()
        since = len(stage.lines)
        await until(lambda: any(acts_of(stage, n, since) for n in stage.names))
        # an act under an epoch of the far future, from one without the key; and an old datagram once more
        name = stage.names[0]
        target, endpoint = stage.proxy.endpoints[name].real, stage.proxy.endpoints["doubter"].transport
        act = wire.encode_peer_message(ProbeReport("doubter", "probe", 1 << 40, ()))
        endpoint.sendto(
            DatagramSealer((b"another key, not theirs",), 1).seal(act, sender_id(stage.reporter.own_address)), target
        )
        said = [r["data"] for r in stage.lines if (r["from"], r["to"]) == ("doubter", name)]
        endpoint.sendto(said[-1], target)
        port = stage.processes[name].settings.listen.port
        while (await fetch(port, "/duties"))["refused"] < 2:
            await asyncio.sleep(0.01)
        since = len(stage.lines)
        await until(lambda: any(acts_of(stage, n, since) for n in stage.names))

    judged, ends = play(tmp_path, main, Scene(seconds=1.0, brokers=4))
    assert len({h.holder for h in judged.holdings}) >= 2
    assert ends == [0] * 4
