"""The bound on the memory of all connections of a server: it sheds where the most is taken, and never below a quota."""

import asyncio
import re

from hypothesis import given
from hypothesis import strategies as st

from badgerbend.net.memory_budget import MemoryBudget
from tests.platform_stage import run
from tests.sockets import until
from tests.test_crossings_clients import GET, ServerWithClients, read_to_end

MAX_BYTES, CONNECTIONS = 1000, 10
QUOTA = MAX_BYTES // CONNECTIONS


class Holder:
    """A connection that counts how often its input was shed."""

    def __init__(self, budget):
        self.memory, self.waiting_bytes, self.shed = budget, 0, 0

    def shed_waiting(self):
        assert self.waiting_bytes > QUOTA
        assert all(self.waiting_bytes >= other.waiting_bytes for other in self.memory._large_shares)
        self.shed += 1
        self.memory.set_waiting(self, 0)


steps = st.lists(st.tuples(st.integers(0, CONNECTIONS - 1), st.integers(0, 400), st.booleans()), max_size=60)


@given(steps)
def test_the_bound_is_exceeded_by_at_most_one_share_for_each_connection(drawn):
    budget = MemoryBudget(MAX_BYTES, CONNECTIONS)
    holders = [Holder(budget) for _ in range(CONNECTIONS)]
    serving = [0] * CONNECTIONS
    for number, size, is_request in drawn:
        if not is_request:
            budget.set_waiting(holders[number], size)
        elif budget.admits(size):
            budget.add_serving(size - serving[number])
            serving[number] = size
        assert budget.waiting_bytes == sum(holder.waiting_bytes for holder in holders)
        assert budget.serving_bytes == sum(serving)
        assert budget.waiting_bytes + budget.serving_bytes <= MAX_BYTES + CONNECTIONS * QUOTA


def test_the_connection_that_holds_most_is_shed_and_others_keep_their_input():
    budget = MemoryBudget(MAX_BYTES, CONNECTIONS)
    small, large, larger = (Holder(budget) for _ in range(3))
    budget.set_waiting(small, QUOTA)
    budget.set_waiting(large, 400)
    budget.set_waiting(larger, 600)
    assert (small.shed, large.shed, larger.shed) == (0, 0, 1)
    assert budget.waiting_bytes == QUOTA + 400


def test_a_request_within_a_share_is_admitted_whatever_is_held():
    budget = MemoryBudget(MAX_BYTES, CONNECTIONS)
    budget.add_serving(MAX_BYTES)
    assert budget.admits(QUOTA)
    assert not budget.admits(QUOTA + 1)
    budget.add_serving(-MAX_BYTES)
    assert budget.admits(QUOTA + 1)


def post(number, size):
    return b"POST /%d HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n" % (number, size) + b"z" * size


def statuses(got):
    return re.findall(rb"HTTP/1.1 (\d+)", got)


def test_a_connection_whose_input_is_shed_gets_its_refusals_in_order():
    async def main():
        async with ServerWithClients(max_memory_bytes=200_000, max_connections=20) as subject:
            small, _ = await subject.client((GET % 1) + (GET % 2))
            await until(lambda: subject.requests)
            large, connection = await subject.client()
            loop = asyncio.get_running_loop()
            sending = loop.create_task(loop.sock_sendall(large, b"".join(post(n, 60_000) for n in range(5))))
            await until(lambda: subject.server.memory.shed)
            await sending
            assert subject.server.memory.waiting_bytes < 100_000
            while subject.requests:
                subject.answer()
                await asyncio.sleep(0.05)
            got = statuses(await read_to_end(large))
            assert got[0] == b"200"
            assert got[1:] == [b"503"] * len(got[1:])
            assert len(got) > 1
            await until(lambda: not subject.server.lingering)
            received = await loop.sock_recv(small, 65_536)
            assert statuses(received) == [b"200", b"200"]
            small.close()
            await until(lambda: not subject.server.connections)
            assert subject.server.memory.waiting_bytes == subject.server.memory.serving_bytes == 0

    run(main)


def test_an_incomplete_request_that_is_shed_is_refused_at_once():
    async def main():
        async with ServerWithClients(max_memory_bytes=100_000, max_connections=20) as subject:
            clients = [(await subject.client(post(n, 60_000)[:-10]))[0] for n in range(2)]
            await until(lambda: subject.server.memory.shed)
            assert subject.server.memory.waiting_bytes <= 100_000
            done, waiting = await asyncio.wait(
                [asyncio.create_task(read_to_end(sock)) for sock in clients], return_when=asyncio.FIRST_COMPLETED
            )
            assert statuses(done.pop().result()) == [b"503"]
            for task in waiting:
                task.cancel()

    run(main)


def test_a_large_request_is_refused_while_open_ones_hold_the_memory():
    async def main():
        async with ServerWithClients(max_memory_bytes=100_000, max_connections=20) as subject:
            await subject.client(post(1, 60_000))
            await until(lambda: len(subject.requests) == 1)
            second, _ = await subject.client(post(2, 60_000))
            loop = asyncio.get_running_loop()
            assert statuses(await loop.sock_recv(second, 65_536)) == [b"503"]
            second.send(GET % 3)
            await until(lambda: len(subject.requests) == 2)
            subject.answer()
            await until(lambda: subject.server.memory.serving_bytes < 60_000)
            second.close()

    run(main)


def test_no_further_request_is_served_while_a_response_is_unsent():
    # Responses that a client did not read piled up: the next request was served however much was unsent.
    async def main():
        async with ServerWithClients() as subject:
            sock, connection = await subject.client(GET % 1 + GET % 2)
            await until(lambda: subject.requests)
            subject.answer(b"z" * 8_000_000)
            assert subject.server.memory.serving_bytes > 1_000_000
            await asyncio.sleep(0.1)
            assert not subject.requests
            loop, size = asyncio.get_running_loop(), 0
            while size < 8_000_000:
                size += len(await loop.sock_recv(sock, 1 << 20))
            await until(lambda: subject.requests)
            assert subject.server.memory.serving_bytes < 10_000
            subject.answer()

    run(main)
