"""The leading voter's registry of the candidates for each duty: which are eligible, and which is placed best.

The registry is discarded when the leader changes. Safety does not depend on it: whichever candidate is chosen, a grant
takes effect only if the duty is free in the lease table.

If hundreds of candidates sent requests often enough for their failure to be detected quickly, the leader would spend a
tenth of a core on them. Therefore only a few candidates per duty, the frequent candidates, send a request at every
candidacy interval. The others are told to wait longer, and replace frequent candidates that stop sending requests.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from badgerbend.leases.messages import MAX_REQUEST_DELAY_S, Candidacy, LeaseRequest
from badgerbend.leases.timing import LeaseTiming

CANDIDATE_TTL_INTERVALS = 3.0  # after so many intervals without a request a candidate is no longer eligible
MAX_FREQUENT_CANDIDATES = 16  # per duty: enough to choose from, also after the loss of a site
MAX_REQUEST_INTERVALS = 10.0  # in candidacy intervals: the longest delay for the other candidates
MAX_BACKOFF_S = 60.0  # a failed holder is not eligible for a time that doubles with each failure, up to this
LOAD_STEP = 10.0  # parts in flight: candidates whose loads fall into the same step count as equally loaded


@dataclass(slots=True)
class Candidate:
    """One broker's candidacy for one duty. Times are seconds of the leading voter's clock."""

    address: str
    is_local: bool
    is_voter: bool
    load: float
    received_at: float  # when its last request arrived
    is_failing: bool = False
    failures: int = 0  # how many leases it lost because its work on the duty had no effect
    backoff_until: float = -math.inf

    def placement(self) -> tuple[bool, bool]:
        """The sort key of a placement; lower is better: first at the duty's own site, then not a voter.

        Load is left out, since it changes too often to justify a hand-over.
        """
        return (not self.is_local, self.is_voter)

    def update(self, now: float, request: LeaseRequest, candidacy: Candidacy) -> None:
        """Updates the candidate from a new request."""
        self.address = request.address
        self.is_local = candidacy.is_local
        self.is_voter = request.is_voter
        self.load = request.load
        self.received_at = now
        self.is_failing = candidacy.is_failing

    def back_off(self, now: float, unit_s: float) -> None:
        """Makes the candidate ineligible for a while, because its work on the duty had no effect.

        unit_s: half of the first backoff, in seconds.
        """
        self.failures += 1
        self.backoff_until = now + min(unit_s * 2.0**self.failures, MAX_BACKOFF_S)


class CandidateRegistry:
    """All candidates, by duty and broker. seed: for the random choice among equally good candidates."""

    def __init__(self, timing: LeaseTiming, seed: int) -> None:
        self.timing = timing
        self.by_duty: dict[str, dict[str, Candidate]] = {}
        self.frequent: dict[str, set[str]] = {}  # by duty: the brokers that send requests at every interval
        self._rng = random.Random(seed)

    def clear(self) -> None:
        """Removes all candidates. The random generator keeps its state."""
        self.by_duty = {}
        self.frequent = {}

    # -- recording requests

    def record(self, now: float, request: LeaseRequest, candidacy: Candidacy) -> None:
        """Records one candidacy of a request."""
        candidates = self.by_duty.setdefault(candidacy.duty, {})
        candidate = candidates.get(request.source)
        if candidate is None:
            candidate = Candidate(request.address, candidacy.is_local, request.is_voter, request.load, now)
            candidates[request.source] = candidate
        candidate.update(now, request, candidacy)
        self._admit_to_frequent(now, candidacy.duty, request.source)

    def remove(self, broker: str) -> None:
        """Removes all candidacies of a broker until its next request."""
        for candidates in self.by_duty.values():
            candidates.pop(broker, None)

    def _admit_to_frequent(self, now: float, duty: str, broker: str) -> None:
        """Makes a candidate a frequent one if there is a free place or if it can replace a worse placed one."""
        candidates = self.by_duty[duty]
        frequent = self.frequent.setdefault(duty, set())
        frequent -= {name for name in frequent if name not in candidates or not self._is_fresh(now, candidates[name])}
        if broker not in frequent and len(frequent) >= MAX_FREQUENT_CANDIDATES:
            worst = max(frequent, key=lambda name: (candidates[name].placement(), name))
            if candidates[worst].placement() > candidates[broker].placement():
                frequent.discard(worst)
        if len(frequent) < MAX_FREQUENT_CANDIDATES:
            frequent.add(broker)

    # -- queries

    def find(self, duty: str, broker: str) -> Candidate | None:
        """Returns a broker's candidacy for a duty, or None."""
        return self.by_duty.get(duty, {}).get(broker)

    def request_delay_s(self, request: LeaseRequest) -> float:
        """Returns the delay before the sender's next request: 0 if it is a frequent candidate for any duty."""
        duties = [candidacy.duty for candidacy in request.candidacies]
        if any(request.source in self.frequent.get(duty, ()) for duty in duties):
            return 0.0
        fewest = min((len(self.by_duty.get(duty, ())) for duty in duties), default=0)
        intervals = min(fewest / MAX_FREQUENT_CANDIDATES, MAX_REQUEST_INTERVALS)
        return min(self.timing.candidacy_interval_s * intervals, MAX_REQUEST_DELAY_S)

    def infrequent(self, duty: str) -> list[str]:
        """Returns the candidates that are not frequent ones and would learn of a new holder late."""
        return sorted(self.by_duty.get(duty, {}).keys() - self.frequent.get(duty, set()))

    # -- placement

    def choose(self, now: float, duty: str) -> str | None:
        """Returns the best placed eligible candidate, or None. Ties go to the lower load, then to a random choice.

        A candidate that reports that it fails at the duty is chosen only if there is no other.
        """
        eligible = self.eligible(now, duty)
        if not eligible:
            return None
        healthy = {name: candidate for name, candidate in eligible.items() if not candidate.is_failing}
        ranks = {
            name: (*candidate.placement(), int(candidate.load / LOAD_STEP))
            for name, candidate in (healthy or eligible).items()
        }
        best = min(ranks.values())
        return self._rng.choice(sorted(name for name, rank in ranks.items() if rank == best))

    def eligible(self, now: float, duty: str) -> dict[str, Candidate]:
        """Returns the candidates that sent a request lately and are not in backoff. Drops those silent for long."""
        candidates = self.by_duty.get(duty, {})
        retention_s = max(self._ttl_s, MAX_BACKOFF_S)  # dropping a candidate would end its backoff early
        for name in [name for name, candidate in candidates.items() if now - candidate.received_at > retention_s]:
            del candidates[name]
        return {
            name: candidate
            for name, candidate in candidates.items()
            if self._is_fresh(now, candidate) and now >= candidate.backoff_until
        }

    def has_healthy_alternative(self, now: float, duty: str, holder: str) -> bool:
        """Returns whether a broker other than the holder is eligible and does not fail at the duty."""
        eligible = self.eligible(now, duty)
        return any(name != holder and not candidate.is_failing for name, candidate in eligible.items())

    def has_better_placed(self, now: float, duty: str, holder: str) -> bool:
        """Returns whether an eligible candidate that does not fail at the duty is better placed than the holder.

        The holder has to be eligible itself.
        """
        eligible = self.eligible(now, duty)
        if holder not in eligible:
            return False
        placement = eligible[holder].placement()
        return any(candidate.placement() < placement for candidate in eligible.values() if not candidate.is_failing)

    @property
    def _ttl_s(self) -> float:
        return CANDIDATE_TTL_INTERVALS * self.timing.candidacy_interval_s

    def _is_fresh(self, now: float, candidate: Candidate) -> bool:
        return now - candidate.received_at <= self._ttl_s
