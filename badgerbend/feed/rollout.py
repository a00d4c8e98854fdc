"""Progress of a revision on its way to all followers, summed up from the relays' summaries. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from badgerbend.feed.messages import Laggard, Summary


@dataclass(frozen=True, slots=True)
class RolloutProgress:
    """How many of the known followers have applied a revision, or cannot use it, and some that lag."""

    revision: int
    followers: int
    applied: int
    rejected: int
    laggards: tuple[Laggard, ...]
    silent_relays: tuple[str, ...]  # whose last summary is too old to count


class SummaryTable:
    """The latest summary of each relay, and when it arrived."""

    def __init__(self) -> None:
        self._latest: dict[str, tuple[float, Summary]] = {}

    def record(self, now: float, summary: Summary) -> None:
        """Keep a relay's latest summary."""
        self._latest[summary.relay] = (now, summary)

    def progress(self, now: float, revision: int, summary_ttl: float) -> RolloutProgress:
        """Sum up the summaries that arrived within `summary_ttl` seconds."""
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
    """Followers that surely have a revision: all of them if none is older, else those at the relay's own revision."""
    if summary.oldest_applied >= revision:
        return summary.followers
    return summary.applied if summary.revision >= revision else 0
