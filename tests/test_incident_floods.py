"""Guards against clients that send at full speed: memory that grows, and usual clients that are answered late.

All forms are played by `benchmarks/floods.py`; see docs/incidents/2026-12-06-floods.md.
"""

import pytest

from tests.floods import Play
from tests.platform_stage import run

SECONDS = 3.0
MEMORY_MB = 192
INPUT_FRACTION = 0.25  # of the memory: an eighth for the input of all connections, and as much again in their shares


@pytest.mark.parametrize("form", ["unknown path", "no JSON"])
def test_input_of_one_connection_takes_no_more_memory_than_is_set_aside(form):
    # Input that waited was one buffer, of which several copies were held while it grew and was used up.
    async def main():
        result = await Play(form, seconds=SECONDS, memory_mb=MEMORY_MB, descriptors=1024).run()
        assert result.peak_kb - result.start_kb <= INPUT_FRACTION * MEMORY_MB * 1024
        assert result.beside.lost == []

    run(main)
