"""Progress of the rollout of a revision to all followers, from the summaries of relays. This module does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.feed.messages import Laggard, Summary


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """How many of the known followers have applied a revision or cannot use it, and some of those that lag."""

    revision: int
    followers: int
    applied: int
    rejected: int
    laggards: tuple[Laggard, ...]
    silent_relays: tuple[str, ...]  # relays whose last summary is too old


class SummaryTable:
    """The latest summary of each relay, with the time at which it was received."""

    def __init__(self) -> None:
        self._latest: dict[str, tuple[float, Summary]] = {}

    def record(self, now: float, summary: Summary) -> None:
        """Store the latest summary of a relay."""
        self._latest[summary.relay] = (now, summary)

    def progress(self, now: float, revision: int, summary_ttl: float) -> RolloutProgress:
        """Add up the summaries that were received within the last `summary_ttl` seconds."""
        fresh: list[Summary] = []
        silent: list[str] = []
        for relay, (received_at, summary) in sorted(self._latest.items()):
            if now - received_at <= summary_ttl:
                fresh.append(summary)
            else:
                silent.append(relay)
        return RolloutProgress(
            revision=revision,
            followers=sum(summary.followers for summary in fresh),
            applied=sum(_applied(summary, revision) for summary in fresh),
            rejected=sum(summary.rejected for summary in fresh),
            laggards=tuple(laggard for summary in fresh for laggard in summary.laggards),
            silent_relays=tuple(silent),
        )


def _applied(summary: Summary, revision: int) -> int:
    """Return a lower bound of the number of followers that have applied a revision.

    It is the number of all followers if none is behind the revision, else the number of those at the relay's revision.
    """
    if summary.oldest_applied >= revision:
        return summary.followers
    return summary.applied if summary.revision >= revision else 0
