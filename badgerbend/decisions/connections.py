"""Decides which idle connections can be trusted, from the results of earlier attempts on idle connections.

A middlebox between broker and servers may silently drop connections that have been idle for some time. The next part
sent on such a connection is lost, with a reset or without any response. If the number of attempts lost on
connections beyond some idle time exceeds the share `LOSS_SHARE` of these attempts by more than `LOSS_EXCESS`,
connections with a longer idle time are closed before a send, for half a minute. The trade-off is an additional
handshake for each of them, so this is not done while handshakes fail.
"""

from __future__ import annotations

from collections import deque
from itertools import pairwise
from math import inf

from badgerbend import api
from badgerbend.decisions.queries import Attempt, PartState
from badgerbend.decisions.servers import Server
from badgerbend.decisions.timing import REFRESH_INTERVAL_MS

RECENT_ATTEMPTS = 40
"""Number of attempts on idle connections that the threshold is derived from."""

LOSS_SHARE = 0.2
"""A larger share of lost attempts is neither chance nor caused by a few servers that went down."""

LOSS_EXCESS = 4.0
"""Number of losses in excess of that share which sets a threshold: five losses in a row do not, six do."""

DISTRUST_MS = 30_000.0
"""How long a threshold applies, so that connections are trusted again once they are no longer dropped."""

HANDSHAKE_WEIGHT = 0.05
"""Weight of the latest handshake in the share of failed ones; about the last twenty determine it."""


class ConnectionMonitor:
    """Decides whether idle connections are trusted.

    idle_threshold_ms: connections idle for longer are not trusted, until `distrusted_until_ms`.
    handshake_failure_share: running mean of the share of handshakes that timed out.
    """

    def __init__(self, settings: api.Settings) -> None:
        self._closed_after_ms = settings.connection_idle_ms
        self._recent: deque[Attempt] = deque(maxlen=RECENT_ATTEMPTS)
        self.idle_threshold_ms = inf
        self.distrusted_until_ms = -inf
        self.handshake_failure_share = 0.0

    def idle_ms(self, server: Server, now_ms: float) -> float:
        """How long the connection to a server has been idle; infinite if a new one is needed."""
        idle_ms = 0.0 if server.in_flight else now_ms - server.connection_used_ms
        return idle_ms if idle_ms < self._closed_after_ms else inf

    def distrusts(self, idle_ms: float, part: PartState, now_ms: float) -> bool:
        """Whether a part must not be sent on a connection that has been idle for so long.

        A part that must not run twice is not sent on a connection that has been idle for more than a second: it cannot
        be retried, so its loss can only be prevented.
        """
        if idle_ms == inf or self.handshake_failure_share >= LOSS_SHARE:
            return False
        if part.runs_once and idle_ms > REFRESH_INTERVAL_MS:
            return True
        return self.idle_threshold_ms <= idle_ms and now_ms < self.distrusted_until_ms

    def mark_used(self, server: Server, now_ms: float) -> None:
        """Records that the connection to a server was used or is known to work."""
        server.connection_used_ms = now_ms

    def mark_unusable(self, server: Server) -> None:
        """Records that the connection to a server must not be trusted."""
        server.connection_used_ms = -inf

    def record_handshake(self, *, failed: bool) -> None:
        """Updates the share of failed handshakes with a new connection."""
        self.handshake_failure_share += (failed - self.handshake_failure_share) * HANDSHAKE_WEIGHT

    def record_result(self, attempt: Attempt, now_ms: float, *, lost: bool) -> None:
        """Records whether an attempt was lost or late. If one that was late is answered after all, distrust ends."""
        wrongly_lost = bool(attempt.lost) and not lost and self.idle_threshold_ms <= attempt.idle_ms < inf
        if attempt.lost is None and attempt.idle_ms < inf:
            self._recent.append(attempt)
        attempt.lost = lost
        if wrongly_lost:
            self.distrusted_until_ms = -inf
        if lost or wrongly_lost:
            self._find_threshold(now_ms)

    def _find_threshold(self, now_ms: float) -> None:
        """Sets the threshold to the idle time beyond which losses exceed `LOSS_SHARE` by the most."""
        rows = sorted(((attempt.idle_ms, bool(attempt.lost)) for attempt in self._recent), reverse=True)
        excess = 0.0
        largest_excess = LOSS_EXCESS
        for (idle_ms, lost), (next_idle_ms, _) in pairwise([*rows, (0.0, False)]):
            excess += lost - LOSS_SHARE
            if lost and idle_ms > 0 and excess > largest_excess:
                largest_excess = excess
                self.idle_threshold_ms = (idle_ms + next_idle_ms) / 2
                self.distrusted_until_ms = now_ms + DISTRUST_MS
