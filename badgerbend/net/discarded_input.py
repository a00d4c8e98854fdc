"""Reads and discards what a peer sends after the last request that is served, within bounds.

The last response on a connection is followed by a lingering close: the write side is shut down, and further input is
read and discarded. Closing a socket with unread bytes would reset the connection, and the reset can overtake the
response.
"""

from __future__ import annotations

import asyncio

# While responses are pending, input is discarded at this rate at most, to leave time for other connections.
DISCARD_BYTES, DISCARD_INTERVAL_S = 1_048_576, 0.01
LINGER_S, LINGER_BYTES = 0.5, 262_144  # bounds of a lingering close: the response needs time to reach the client


class DiscardedInput:
    """The input of one connection that is discarded. lingering: a lingering close has begun."""

    def __init__(self, loop: asyncio.AbstractEventLoop, transport: asyncio.Transport) -> None:
        self.loop, self.transport = loop, transport
        self.lingering = False
        self.discarded_bytes = 0  # in the lingering close, or before it
        self._bytes_in_interval = 0
        self._is_paused = False
        self._timer: asyncio.TimerHandle | None = None  # of the lingering close, or of a pause

    def discard(self, count: int) -> None:
        """Counts bytes that were read and dropped."""
        self.discarded_bytes += count
        if self.lingering:
            if self.discarded_bytes > LINGER_BYTES:
                self.transport.abort()
            return
        self._bytes_in_interval += count
        if self._bytes_in_interval > DISCARD_BYTES and not self._is_paused:
            self._is_paused = True
            self.transport.pause_reading()
            self._timer = self.loop.call_later(DISCARD_INTERVAL_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._is_paused and not self.transport.is_closing():
            self._is_paused, self._bytes_in_interval = False, 0
            self.transport.resume_reading()

    def linger(self) -> None:
        """Starts a lingering close, which ends once the peer closes or a bound is reached."""
        self.cancel_timer()
        self._resume_reading()
        self.lingering, self.discarded_bytes = True, 0
        try:
            self.transport.write_eof()
        except OSError:  # the peer has reset the connection, and the loop has yet to read that
            self.transport.abort()
        else:
            self._timer = self.loop.call_later(LINGER_S, self._linger_timeout)

    def _linger_timeout(self) -> None:
        """Waits on while data is unsent, for a slow client; the sweep aborts a client that does not read at all."""
        if self.transport.get_write_buffer_size() > 0:
            self._timer = self.loop.call_later(LINGER_S, self._linger_timeout)
        else:
            self.transport.abort()

    def cancel_timer(self) -> None:
        """Ends the timer; the connection is lost, or lingers."""
        if self._timer is not None:
            self._timer.cancel()
