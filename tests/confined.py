"""Runs the platform's `run` in this process under a system-call filter that kills it if it makes a forbidden call.

Started as `python tests/confined.py`, with a broker's environment variables. The filter forbids the system calls that
the platform forbids, and opening files for writing, because the platform's file system is read-only. Installing it
needs no privileges, and it applies to this process alone.
"""

from __future__ import annotations

import ctypes
import os
import platform
import socket
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

# BPF instructions: load a word, jump if equal, jump if any bit is set, return.
LOAD, JUMP_EQ, JUMP_ANY, RETURN = 0x20, 0x15, 0x45, 0x06
ALLOW, KILL = 0x7FFF0000, 0x80000000
NUMBER, ARCH, ARGS = 0, 4, 16  # offsets in `struct seccomp_data`
CLONE_THREAD = 0x10000
WRITES = os.O_WRONLY | os.O_RDWR | os.O_CREAT
CALLS = {  # architecture and system call numbers by machine, from the kernel's tables
    "x86_64": (
        0xC000003E,
        {
            "socket": 41,
            "clone": 56,
            "fork": 57,
            "vfork": 58,
            "execve": 59,
            "sendfile": 40,
            "splice": 275,
            "execveat": 322,
            "openat": 257,
            "open": 2,
            "creat": 85,
            "mkdir": 83,
            "unlink": 87,
            "rename": 82,
            "mkdirat": 258,
            "unlinkat": 263,
            "clone3": 435,
        },
    ),
    "aarch64": (
        0xC00000B7,
        {
            "socket": 198,
            "clone": 220,
            "execve": 221,
            "sendfile": 71,
            "splice": 76,
            "execveat": 281,
            "openat": 56,
            "mkdirat": 34,
            "unlinkat": 35,
            "clone3": 435,
        },
    ),
}
IO_URING = (425, 426, 427)  # the same on all architectures


def program(machine: str) -> bytes:
    """Returns the filter as BPF code. Each rule compares the call number, and some rules an argument as well."""
    arch, calls = CALLS[machine]
    ops: list[tuple[int, int, int, int]] = [
        (LOAD, 0, 0, ARCH),
        (JUMP_EQ, 1, 0, arch),
        (RETURN, 0, 0, KILL),
        (LOAD, 0, 0, NUMBER),
    ]
    refused = [calls[n] for n in calls if n not in ("socket", "clone", "clone3", "openat", "open")]
    for number in (*refused, *IO_URING):
        ops += [(JUMP_EQ, 0, 1, number), (RETURN, 0, 0, KILL)]
    # clone3 passes its flags by pointer, which a filter cannot read. It fails with ENOSYS, so that the C library falls
    # back to clone when it starts a thread.
    ops += [(JUMP_EQ, 0, 1, calls["clone3"]), (RETURN, 0, 0, 0x00050000 | 38)]
    # These calls are allowed or forbidden by the low word of one argument.
    ops += [
        (JUMP_EQ, 0, 4, calls["clone"]),
        (LOAD, 0, 0, ARGS),
        (JUMP_ANY, 1, 0, CLONE_THREAD),
        (RETURN, 0, 0, KILL),
        (RETURN, 0, 0, ALLOW),
    ]
    ops += [
        (JUMP_EQ, 0, 4, calls["socket"]),
        (LOAD, 0, 0, ARGS),
        (JUMP_EQ, 1, 0, socket.AF_INET),
        (RETURN, 0, 0, KILL),
        (RETURN, 0, 0, ALLOW),
    ]
    for name, flags_index in (("openat", 2), ("open", 1)):
        if name in calls:
            ops += [
                (JUMP_EQ, 0, 4, calls[name]),
                (LOAD, 0, 0, ARGS + 8 * flags_index),
                (JUMP_ANY, 0, 1, WRITES),
                (RETURN, 0, 0, KILL),
                (RETURN, 0, 0, ALLOW),
            ]
    ops.append((RETURN, 0, 0, ALLOW))
    return b"".join(struct.pack("HBBI", *op) for op in ops)


def confine() -> None:
    """Installs the filter for this process. Raises OSError if the kernel refuses it."""
    libc = ctypes.CDLL(None, use_errno=True)
    code = program(platform.machine())
    buffer = ctypes.create_string_buffer(code, len(code))
    program_header = ctypes.create_string_buffer(struct.pack("HxxxxxxP", len(code) // 8, ctypes.addressof(buffer)))
    for call in ((38, 1, 0, 0, 0), (22, 2, ctypes.addressof(program_header), 0, 0)):  # no new privileges; the filter
        if libc.prctl(call[0], *(ctypes.c_ulong(a) for a in call[1:])):
            raise OSError(ctypes.get_errno(), "cannot install the system-call filter")


if __name__ == "__main__":
    from badgerbend.platform.__main__ import main

    if os.getuid() == 0:  # run as an ordinary user; modules that it may not read were imported above
        os.setgroups([])
        os.setgid(65534)
        os.setuid(65534)
    confine()
    match sys.argv[1:]:  # makes one forbidden call, for the test of the filter
        case ["fork"]:
            os.fork()
        case ["unix"]:
            socket.socket(socket.AF_UNIX)
        case ["write"]:
            open("/tmp/never", "w")  # noqa: SIM115
        case ["sendfile"]:
            os.sendfile(1, 0, 0, 1)
        case ["splice"]:
            os.splice(0, 1, 1)
        case ["execute"]:
            os.execv("/bin/true", ["true"])
        case _:
            sys.exit(main())
