"""Decides when connections take their turns, so that some of them cannot use up the time of all others.

In its turn a connection parses some of its input and serves at most one request. A connection whose client sends one
request at a time takes its turn in the next iteration of the event loop. Those with more input share a bounded time of
each iteration, and those whose clients have sent invalid requests share another one. While nothing else happens,
iterations follow each other at once, and these connections get all of the time.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from enum import IntEnum
from typing import Protocol

TURNS_S = 0.002  # of one iteration of the event loop, for the turns of one priority


class Priority(IntEnum):
    """How urgent the next turn of a connection is."""

    PROMPT = 0  # nothing waits behind the request that was served
    WAITING = 1  # further input waits
    INVALID = 2  # the client has sent an invalid request on this connection


class TurnTaker(Protocol):
    """A connection that waits for its turn."""

    def take_turn(self) -> None: ...


class TurnQueue:
    """The turns of the connections of one server. Each connection waits for at most one turn at a time."""

    def __init__(self) -> None:
        self._waiting: deque[TurnTaker] = deque()
        self._invalid: deque[TurnTaker] = deque()
        self._is_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting) + len(self._invalid)

    def add(self, connection: TurnTaker, priority: Priority) -> None:
        """Lets a connection take a turn, in the next iteration of the event loop at the earliest."""
        if priority is Priority.PROMPT:
            asyncio.get_running_loop().call_soon(connection.take_turn)
            return
        queue = self._waiting if priority is Priority.WAITING else self._invalid
        queue.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Gives each connection that waits a turn, in order, until the time of this iteration is used up."""
        self._is_scheduled = False
        if self._waiting:
            _take_turns(self._waiting)
        if self._invalid:
            _take_turns(self._invalid)
        if self._waiting or self._invalid:
            self._schedule()


def _take_turns(queue: deque[TurnTaker]) -> None:
    count = len(queue)  # those that are added meanwhile wait for the next iteration
    if count == 1:
        queue.popleft().take_turn()
        return
    ends_at = time.monotonic() + TURNS_S
    for _ in range(count):
        queue.popleft().take_turn()
        if time.monotonic() >= ends_at:
            return
