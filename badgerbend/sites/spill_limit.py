"""The limit on spill-over to a site, which holds for the sum over brokers that do not communicate.

Let a site have capacity C, a load L of its own, and spilled load s_1 .. s_F from the F brokers at other sites. The
limit is  s = s_1 + .. + s_F <= p (C - L),  where p is the configured share of the site's spare capacity. No broker
knows L or the s of the others. Each broker observes U, the fraction of the site's capacity in use by all brokers, as
the site's servers report it:  U C = L + s.  Each broker therefore limits its own load to

    s_i <= p (1 - U) C / F + p s_i(now),

and the sum over the F brokers is  s <= p (C - U C) + p s = p (C - L - s) + p s = p (C - L),  however the demand is
distributed between them. This is exact only if U and s_i are averaged over the same time, so `health` uses one window
for both.

At the limit the load of each broker converges to  e = p / (1 - p) (1 - U) C / F,  the same for all, since the rule
above equals  e + p (s_i - e).  An uneven split would even out slowly, so a broker above e yields faster than the rule
requires, which only lowers the sum.

C follows from settings (the rate of a warm server) and the endpoint list (which servers are ready, and how warm). If it
is overstated by a factor c, the sum converges to  p c / (1 - p + p c) (C - L),  which is less than the whole spare
capacity for any c. If servers report no utilization, each broker assumes that the site's own brokers have as much
demand as itself.
"""

from __future__ import annotations

import math

YIELD_FACTOR = 0.5  # fraction of the rate above the even share that a broker gives up beyond what the rule requires


def spill_allowance(
    capacity: float,
    utilization: float | None,
    demand_rate: float,
    spill_rate: float,
    spill_share: float,
    local_brokers: int,
    foreign_brokers: int,
) -> float:
    """The rate, in parts per millisecond, at which this broker may send to a site that is not its own.

    capacity: that of the site now, in parts per millisecond; utilization: the fraction of the capacity in use, None if
    it is not reported; demand_rate: this broker's whole demand; spill_rate: the part of it that goes to the site now;
    spill_share: the share of the site's spare capacity that is available to other sites; local_brokers,
    foreign_brokers: the number of brokers at the site and elsewhere.
    """
    if not foreign_brokers:
        return 0.0
    if utilization is None:
        return max(spill_share * (capacity - demand_rate * local_brokers), 0.0) / foreign_brokers
    spare = max(1.0 - utilization, 0.0) * capacity / foreign_brokers
    even_rate = spill_share / (1.0 - spill_share) * spare if spill_share < 1.0 else math.inf
    above_even_rate = max(spill_rate - even_rate, 0.0)
    return spill_share * (spare + spill_rate - above_even_rate * YIELD_FACTOR)
