"""Plays clients that send much and close their connection at once, and records attempts that begin too late."""

import asyncio
import random
import socket
import time
from dataclasses import dataclass

from badgerbend.standin.framenode import Part
from tests.broker_process import HOST, BrokerProcess, request
from tests.floods import SharedCore
from tests.memory_clients import RESET
from tests.memory_faults import SETTINGS, limits, slow

ALLOWED_S = 0.1  # an attempt may begin this long after its client closed the connection
TICK_S = 0.002
QUIET_S = 1.0
TEXT = "c41e77d0"


def answers_late(part):
    asyncio.get_running_loop().call_later(random.uniform(0.02, 0.06), Part.served, part)


def breaks(part):
    """Fails, so that the broker makes further attempts."""
    asyncio.get_running_loop().call_later(0.03, part.connection.send, part.answer(b"broke"))


NODES = {"slow": slow, "quick": answers_late, "failing": breaks, "hanging": lambda part: None}


@dataclass(frozen=True, slots=True)
class Departure:
    """count: requests of each client. text_bytes: of each request. end: how clients end their connections.

    stay_s: how long a client stays once it has begun to send.
    """

    count: int = 300
    text_bytes: int = 8
    end: str = "close"
    clients: int = 8
    nodes: str = "slow"
    stay_s: float = 0.05


@dataclass(slots=True)
class Result:
    """late: attempts that began too late, with the seconds after the close. begun: all attempts."""

    begun: int
    late: list


class Play:
    """One departure of some clients from a broker process. busy: processes that share its core."""

    def __init__(self, case, busy=0):
        self.case, self.busy, self.closed_at = case, busy, {}
        self.awake_at = time.monotonic()
        self.received_after = {}  # when the loop was awake last before an attempt was read, by its part

    async def run(self):
        changes = {"limits": {"cores": 1.0, **limits(88, 576)}, "settings": SETTINGS}
        async with BrokerProcess(each=2, behave=self._behave, **changes) as broker:
            ticking = asyncio.create_task(self._tick())
            with SharedCore(broker.process.pid, self.busy):
                await broker.ask(request("first"))
                await asyncio.gather(*(self._client(broker, number) for number in range(self.case.clients)))
                await asyncio.sleep(QUIET_S)
            ticking.cancel()
            return self._judged(broker)

    async def _tick(self):
        """Notes when this process was awake, which reads late what nodes have received while it was busy."""
        while True:
            self.awake_at = time.monotonic()
            await asyncio.sleep(TICK_S)

    def _behave(self, part):
        self.received_after[part] = self.awake_at
        NODES[self.case.nodes](part)

    def _judged(self, broker):
        late, begun = [], 0
        for arrival in broker.arrivals:
            closed_at = self.closed_at.get(arrival.request.partition("-")[0])
            if closed_at is not None:
                begun += 1
                after_s = self.received_after[arrival.part] - closed_at
                if after_s > ALLOWED_S:
                    late.append((arrival.request, round(after_s, 3)))
        return Result(begun, late)

    async def _client(self, broker, number):
        """Sends as much as the sockets take in the time, and leaves."""
        case, loop = self.case, asyncio.get_running_loop()
        text = TEXT * (case.text_bytes // len(TEXT))
        data = b"".join(
            request(f"c{number}-{index}", [1, 2], deadline_ms=3000, text=text).data for index in range(case.count)
        )
        client = socket.socket()
        client.setblocking(False)
        await loop.sock_connect(client, (HOST, broker.port))
        leave_at = loop.time() + case.stay_s
        view = memoryview(data)
        while view and loop.time() < leave_at:
            try:
                view = view[client.send(view) :]
            except BlockingIOError:
                await asyncio.sleep(0.001)
        await asyncio.sleep(max(leave_at - loop.time(), 0.0))
        self._leave(client)
        self.closed_at[f"c{number}"] = time.monotonic()

    def _leave(self, client):
        if self.case.end == "reset":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        if self.case.end == "close, answers read":
            try:
                while client.recv(1 << 20):
                    pass
            except BlockingIOError:
                pass
        client.close()
