"""Memory use of this process."""

from __future__ import annotations

import os
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Returns the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def peak_bytes() -> int:
    """Returns the peak of the resident memory of this process."""
    line = next(line for line in Path("/proc/self/status").read_text().splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024
