"""The summary of a relay's followers for the publisher, of bounded size. This module does no I/O."""

from __future__ import annotations

from collections.abc import Iterable

from badgerbend.feed.messages import MAX_LAGGARDS, Summary
from badgerbend.feed.session import Session, SessionPhase


def summarize(relay: str, revision: int, sessions: Iterable[Session]) -> Summary:
    """Summarize how many followers have applied this revision, and name those that are the furthest behind."""
    established = [session for session in sessions if session.phase is not SessionPhase.AWAITING_HELLO]
    behind = [session for session in established if session.applied_revision < revision or session.rejected_revision]
    behind.sort(key=lambda session: session.applied_revision)
    return Summary(
        relay=relay,
        revision=revision,
        followers=len(established),
        applied=sum(session.applied_revision >= revision for session in established),
        rejected=sum(session.rejected_revision > 0 for session in established),
        oldest_applied=min((session.applied_revision for session in established), default=revision),
        laggards=tuple(session.as_laggard() for session in behind[:MAX_LAGGARDS]),
    )
