"""Memory that a list of nodes uses in a broker, measured in a separate process for each list.

    PYTHONPATH=.:benchmarks python benchmarks/scale/list_memory.py FORM CELLS FIRST_ANSWER SECOND_ANSWER

The answers are files. The output is JSON: the resident memory once the first list is in force, and the peak while the
second list is applied over it.
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

from badgerbend.net.calls import Reply
from scale.list_reading import BrokerList
from scale.list_rows import FORMS, ListForm, Node, make_nodes, with_drain_toggled

BENCHMARKS = Path(__file__).parent.parent
WARM_UP_NODES = 10  # applied first, so that one-time allocations of the process are not counted
MEGABYTE = 1_048_576


class ListMemory(msgspec.Struct):
    """Bytes in addition to the memory of the process before it applied the list."""

    resident: int
    peak: int


def memory_of(form: ListForm, nodes: Sequence[Node], cells: int) -> ListMemory:
    """Measures the memory for a list of these nodes in a separate process."""
    with tempfile.TemporaryDirectory() as folder:
        files = [Path(folder, "first"), Path(folder, "second")]
        files[0].write_bytes(form.whole(nodes, 2).body)
        files[1].write_bytes(form.whole(with_drain_toggled(nodes, [0]), 3).body)
        command = [sys.executable, __file__, form.name, str(cells), *map(str, files)]
        environment = os.environ | {
            "PYTHONPATH": os.pathsep.join([str(BENCHMARKS.parent), str(BENCHMARKS)]),
            "PYTHONPYCACHEPREFIX": str(Path(folder, "bytecode")),
            "PYTHONDONTWRITEBYTECODE": "",
        }
        # The modules are compiled in advance: a process that compiles them reuses the compiler's memory for the list.
        subprocess.run([sys.executable, "-c", "import scale.list_memory"], env=environment, check=True)
        result = subprocess.run(command, env=environment, capture_output=True, text=True)
    if result.returncode:
        raise RuntimeError(result.stderr)
    return msgspec.json.decode(result.stdout, type=ListMemory)


def _status_bytes(field: str) -> int:
    """Returns a field of this process's status in `/proc`, in bytes.

    getrusage is not used: its peak survives exec, so that a child process would start with the peak of its parent.
    """
    line = next(line for line in Path("/proc/self/status").read_text().splitlines() if line.startswith(f"{field}:"))
    return int(line.split()[1]) * 1024


def _resident() -> int:
    return _status_bytes("VmRSS")


def _peak() -> int:
    return _status_bytes("VmHWM")


def _read_answer(form: ListForm, file: str, version: int) -> Reply:
    reply = form.whole([], version)
    reply.body = Path(file).read_bytes()
    return reply


def main() -> None:
    name, cells, first, second = sys.argv[1:]
    form = next(form for form in FORMS if form.name == name)
    BrokerList(form, int(cells)).apply(form.whole(make_nodes(WARM_UP_NODES, int(cells)), 1))
    gc.collect()
    before = _resident()
    broker_list = BrokerList(form, int(cells))
    broker_list.apply(_read_answer(form, first, 2))
    gc.collect()
    resident = _resident() - before
    broker_list.apply(_read_answer(form, second, 3))
    print(msgspec.json.encode(ListMemory(resident, _peak() - before)).decode())


if __name__ == "__main__":
    main()
