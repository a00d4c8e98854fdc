"""Guards against bad clients that bring a broker over its limit of memory (docs/incidents/2026-12-04-memory.md).

All forms are played by `benchmarks/memory_faults.py`.
"""

import pytest

from tests.memory_faults import CASES, play
from tests.platform_stage import run

SECONDS = 2.5
PLAYED = (
    "pipelined_large",
    "pipelined_small_headers",
    "half_tiny_chunks",
    "endless_trailers",
    "huge_chunked_body",
    "large_and_gone, quick nodes",
    "agent, large",
)


@pytest.mark.parametrize("name", PLAYED)
def test_bad_clients_do_not_bring_a_broker_over_its_memory(name):
    async def main():
        result = await play(CASES[name], SECONDS)
        assert result.peak_kb <= result.limit_kb
        assert result.lost == []
        assert result.statuses[200] > 50

    run(main)
