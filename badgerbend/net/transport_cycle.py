"""Lets the memory of a connection be freed as soon as it has ended."""

from __future__ import annotations

import asyncio

READ_CALLBACK = "_read_ready_cb"


def _ignore_input() -> None:
    """Takes the place of the method with which a transport reads."""


def break_reference_cycle(transport: asyncio.BaseTransport | None) -> None:
    """Breaks the cycle of a transport whose connection is lost.

    A socket transport of asyncio keeps its own method for reading, and so refers to itself. With its socket it would
    stay in memory until a collection of garbage, which is rare. Other transports are left as they are.
    """
    if hasattr(transport, READ_CALLBACK):
        setattr(transport, READ_CALLBACK, _ignore_input)
