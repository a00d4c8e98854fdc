"""What this process has used so far."""

from __future__ import annotations

import os
from pathlib import Path

PAGE = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Memory of this process now."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


def peak_bytes() -> int:
    """The most memory it has had."""
    line = next(line for line in Path("/proc/self/status").read_text().splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024
