"""The candidates for each duty, as the leading voter knows them: who is eligible, and who of them is placed best. Pure.

All of it is forgotten with a change of leader. Nothing of safety rests on it: a grant takes effect only if the table of
leases has the duty free, whoever is chosen here.

A leader that heard hundreds of candidates as often as it should hear of their failure would spend a tenth of a core on
that. So only a few per duty, the frequent candidates, send requests at every candidacy interval; the others are told to
wait longer, and take the place of a frequent one that falls silent.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from badgerbend.leases.messages import MAX_REQUEST_DELAY_S, Candidacy, LeaseRequest
from badgerbend.leases.timing import LeaseTiming

CANDIDATE_TTL_INTERVALS = 3.0  # candidacy intervals without a request, after which a candidate is not eligible
MAX_FREQUENT_CANDIDATES = 16  # per duty: enough to choose from, and to outlast the loss of a site
MAX_REQUEST_INTERVALS = 10.0  # candidacy intervals: how long the other candidates may be told to wait
MAX_BACKOFF_S = 60.0  # seconds that a failed holder is not eligible; twice as long for each failure, up to this
LOAD_STEP = 10.0  # parts in flight at a broker: a smaller difference is no reason to prefer one


@dataclass(slots=True)
class Candidate:
    """One broker's candidacy for one duty. Times are seconds of the leading voter's clock."""

    address: str
    is_local: bool
    is_voter: bool
    load: float
    received_at: float  # when its last request came
    is_failing: bool = False
    failures: int = 0  # leases that it lost because its acts had no effect
    backoff_until: float = -math.inf

    def placement(self) -> tuple[bool, bool]:
        """Lower is better: at the duty's site, and no voter. Load changes too often to be a reason for a hand-over."""
        return (not self.is_local, self.is_voter)

    def update(self, now: float, request: LeaseRequest, candidacy: Candidacy) -> None:
        """Takes over what a new request states."""
        self.address = request.address
        self.is_local = candidacy.is_local
        self.is_voter = request.is_voter
        self.load = request.load
        self.received_at = now
        self.is_failing = candidacy.is_failing

    def back_off(self, now: float, unit_s: float) -> None:
        """Makes it ineligible for a while, after its acts had no effect. unit_s: half the first pause, in seconds."""
        self.failures += 1
        self.backoff_until = now + min(unit_s * 2.0**self.failures, MAX_BACKOFF_S)


class CandidateRegistry:
    """All candidates, by duty and broker. seed: of the choice among equals."""

    def __init__(self, timing: LeaseTiming, seed: int) -> None:
        self.timing = timing
        self.by_duty: dict[str, dict[str, Candidate]] = {}
        self.frequent: dict[str, set[str]] = {}  # by duty: the brokers that send requests at every interval
        self._rng = random.Random(seed)

    def clear(self) -> None:
        """Forgets all candidates; the random choices go on as before."""
        self.by_duty = {}
        self.frequent = {}

    # -- what is received

    def record(self, now: float, request: LeaseRequest, candidacy: Candidacy) -> None:
        """Takes in one candidacy of a request."""
        candidates = self.by_duty.setdefault(candidacy.duty, {})
        candidate = candidates.get(request.source)
        if candidate is None:
            candidate = Candidate(request.address, candidacy.is_local, request.is_voter, request.load, now)
            candidates[request.source] = candidate
        candidate.update(now, request, candidacy)
        self._admit_to_frequent(now, candidacy.duty, request.source)

    def remove(self, broker: str) -> None:
        """Ends all candidacies of a broker, until its next request."""
        for candidates in self.by_duty.values():
            candidates.pop(broker, None)

    def _admit_to_frequent(self, now: float, duty: str, broker: str) -> None:
        """A candidate becomes a frequent one if there is a place, or a worse placed one that has to give way."""
        candidates = self.by_duty[duty]
        frequent = self.frequent.setdefault(duty, set())
        frequent -= {name for name in frequent if name not in candidates or not self._is_fresh(now, candidates[name])}
        if broker not in frequent and len(frequent) >= MAX_FREQUENT_CANDIDATES:
            worst = max(frequent, key=lambda name: (candidates[name].placement(), name))
            if candidates[worst].placement() > candidates[broker].placement():
                frequent.discard(worst)
        if len(frequent) < MAX_FREQUENT_CANDIDATES:
            frequent.add(broker)

    # -- what is known

    def find(self, duty: str, broker: str) -> Candidate | None:
        """A broker's candidacy for a duty, if it has one."""
        return self.by_duty.get(duty, {}).get(broker)

    def request_delay_s(self, request: LeaseRequest) -> float:
        """How long the sender of a request may wait before the next: 0 if it is a frequent candidate for any duty."""
        duties = [candidacy.duty for candidacy in request.candidacies]
        if any(request.source in self.frequent.get(duty, ()) for duty in duties):
            return 0.0
        fewest = min((len(self.by_duty.get(duty, ())) for duty in duties), default=0)
        intervals = min(fewest / MAX_FREQUENT_CANDIDATES, MAX_REQUEST_INTERVALS)
        return min(self.timing.candidacy_interval_s * intervals, MAX_REQUEST_DELAY_S)

    def infrequent(self, duty: str) -> list[str]:
        """The candidates that are not frequent ones, and would learn late of a new holder."""
        return sorted(self.by_duty.get(duty, {}).keys() - self.frequent.get(duty, set()))

    # -- placement

    def choose(self, now: float, duty: str) -> str | None:
        """The best placed eligible candidate, the least loaded of equals, at random among what is left.

        One whose acts have no effect is chosen only if there is no other.
        """
        eligible = self.eligible(now, duty)
        if not eligible:
            return None
        sound = {name: candidate for name, candidate in eligible.items() if not candidate.is_failing}
        ranks = {
            name: (*candidate.placement(), int(candidate.load / LOAD_STEP))
            for name, candidate in (sound or eligible).items()
        }
        best = min(ranks.values())
        return self._rng.choice(sorted(name for name, rank in ranks.items() if rank == best))

    def eligible(self, now: float, duty: str) -> dict[str, Candidate]:
        """The candidates that sent a request lately and are not in backoff; drops those not heard from for long."""
        candidates = self.by_duty.get(duty, {})
        retention_s = max(self._ttl_s, MAX_BACKOFF_S)  # a candidate in backoff is kept, or it would end its backoff
        for name in [name for name, candidate in candidates.items() if now - candidate.received_at > retention_s]:
            del candidates[name]
        return {
            name: candidate
            for name, candidate in candidates.items()
            if self._is_fresh(now, candidate) and now >= candidate.backoff_until
        }

    def has_sound_alternative(self, now: float, duty: str, holder: str) -> bool:
        """Whether another broker than the holder is eligible, and its acts have an effect."""
        eligible = self.eligible(now, duty)
        return any(name != holder and not candidate.is_failing for name, candidate in eligible.items())

    def has_better_placed(self, now: float, duty: str, holder: str) -> bool:
        """Whether an eligible candidate whose acts have an effect is better placed than an eligible holder."""
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
