"""Processor time of this process: how it is taken, and the garbage collector's settings while it is."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from badgerbend.platform.service import settle_memory


def spent_ms(action: Callable[[], object]) -> float:
    """Milliseconds of processor time that one call takes."""
    began = time.process_time()
    action()
    return (time.process_time() - began) * 1000.0


@contextmanager
def collector_of_a_broker() -> Iterator[None]:
    """The garbage collector as a started broker sets it; as it was before, afterwards."""
    thresholds = gc.get_threshold()
    settle_memory()
    try:
        yield
    finally:
        gc.unfreeze()
        gc.set_threshold(*thresholds)
