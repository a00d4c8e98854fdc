"""Memory that a list takes in a broker: a process of its own takes it, so that sizes do not mix.

    PYTHONPATH=.:benchmarks python benchmarks/scale/list_memory.py FORM CELLS FIRST_ANSWER SECOND_ANSWER

The answers are files. Printed as JSON: what stays once the first list is in force, and the peak while the second is
taken over it.
"""

from __future__ import annotations

import gc
import os
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import msgspec

from badgerbend.net.client import Reply
from scale.list_reading import Reader
from scale.list_rows import FORMS, ListForm, Node, nodes_of, with_drain_toggled

BENCHMARKS = Path(__file__).parent.parent
WARM_NODES = 10  # read first, so that what the first list of all brings with it is not counted
MEGABYTE = 1_048_576


class ListMemory(msgspec.Struct):
    """Bytes beyond those of the process before it."""

    resident: int
    peak: int


def memory_of(form: ListForm, nodes: Sequence[Node], cells: int) -> ListMemory:
    """What a list of these nodes takes, measured in a process of its own."""
    with tempfile.TemporaryDirectory() as folder:
        files = [Path(folder, "first"), Path(folder, "second")]
        files[0].write_bytes(form.whole(nodes, 2).body)
        files[1].write_bytes(form.whole(with_drain_toggled(nodes, [0]), 3).body)
        command = [sys.executable, __file__, form.name, str(cells), *map(str, files)]
        path = os.pathsep.join([str(BENCHMARKS.parent), str(BENCHMARKS)])
        done = subprocess.run(command, env=os.environ | {"PYTHONPATH": path}, capture_output=True, text=True)
    if done.returncode:
        raise RuntimeError(done.stderr)
    return msgspec.json.decode(done.stdout, type=ListMemory)


def _status(field: str) -> int:
    """A size of this process that the kernel states, in bytes.

    Not by getrusage: its peak outlives exec, so that a child starts with that of its parent.
    """
    line = next(line for line in Path("/proc/self/status").read_text().splitlines() if line.startswith(f"{field}:"))
    return int(line.split()[1]) * 1024


def _resident() -> int:
    return _status("VmRSS")


def _peak() -> int:
    return _status("VmHWM")


def _answer(form: ListForm, file: str, version: int) -> Reply:
    reply = form.whole([], version)
    reply.body = Path(file).read_bytes()
    return reply


def main() -> None:
    name, cells, first, second = sys.argv[1:]
    form = next(form for form in FORMS if form.name == name)
    Reader(form, int(cells)).apply(form.whole(nodes_of(WARM_NODES, int(cells)), 1))
    gc.collect()
    before = _resident()
    reader = Reader(form, int(cells))
    reader.apply(_answer(form, first, 2))
    gc.collect()
    resident = _resident() - before
    reader.apply(_answer(form, second, 3))
    print(msgspec.json.encode(ListMemory(resident, _peak() - before)).decode())


if __name__ == "__main__":
    main()
