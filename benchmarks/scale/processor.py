"""Measuring processor time of this process, with a broker's settings of the garbage collector."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from badgerbend.platform.service import settle_memory


def cpu_ms(action: Callable[[], object]) -> float:
    """Returns the milliseconds of processor time that one call takes."""
    began = time.process_time()
    action()
    return (time.process_time() - began) * 1000.0


@contextmanager
def broker_gc_settings() -> Iterator[None]:
    """Sets the garbage collector as a started broker does, and restores its settings afterwards."""
    thresholds = gc.get_threshold()
    settle_memory()
    try:
        yield
    finally:
        gc.unfreeze()
        gc.set_threshold(*thresholds)
