"""The limit on spill-over to a site, which holds for the sum over brokers that do not communicate.

A site of capacity C, with a load L of its own and spilled work s_1 .. s_F from the F brokers that stand elsewhere,
shall take  s = s_1 + .. + s_F <= p (C - L),  where p is the configured share of its spare capacity. No broker knows L
or the others' s. What each observes is U, the fraction of the site's capacity in use by all, as its servers report it:
U C = L + s. So each keeps its own

    s_i <= p (1 - U) C / F + p s_i(now),

and the sum over the F brokers is  s <= p (C - U C) + p s = p (C - L - s) + p s = p (C - L), whichever of them need how
much. It is exact only where U and s_i are read over the same time, so `health` reads both over one window.

At the limit each broker settles at  e = p / (1 - p) (1 - U) C / F,  the same for all: the rule above is
e + p (s_i - e).  An uneven split would even out slowly, so a broker above e yields faster than it must, which only
lowers the sum.

C comes from settings (the rate of a warm server) and from the endpoint list (which servers are ready, how warm). If it
is overstated by a factor c, the sum settles at  p c / (1 - p + p c) (C - L),  less than all of the spare capacity
whatever c is. Where servers report no utilization, each broker assumes that the site's own brokers are as busy as
itself.
"""

from __future__ import annotations

import math

YIELD = 0.5  # of the rate above the even share: how much of it a broker gives up beyond what the rule demands


def spill_allowance(
    capacity: float,
    utilization: float | None,
    demand_rate: float,
    spill_rate: float,
    spill_share: float,
    local_brokers: int,
    foreign_brokers: int,
) -> float:
    """Parts a millisecond that this broker may send to a site that is not its own.

    capacity: of the site now, in parts a millisecond; utilization: the fraction of it in use, None where it is not
    reported; demand_rate: this broker's whole demand; spill_rate: what of it goes to the site now; spill_share: the
    share of the site's spare capacity for work of other sites; local_brokers, foreign_brokers: how many brokers stand
    there and elsewhere.
    """
    if not foreign_brokers:
        return 0.0
    if utilization is None:
        return max(spill_share * (capacity - demand_rate * local_brokers), 0.0) / foreign_brokers
    spare = max(1.0 - utilization, 0.0) * capacity / foreign_brokers
    even = spill_share / (1.0 - spill_share) * spare if spill_share < 1.0 else math.inf
    above_even = max(spill_rate - even, 0.0)
    return spill_share * (spare + spill_rate - above_even * YIELD)
