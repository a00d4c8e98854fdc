"""How much work of other sites a site may be given: a limit that holds for the sum of brokers that share nothing.

A site of capacity C, with a load L of its own and spilled work s_1 .. s_F from the F brokers that stand elsewhere,
shall take  s = s_1 + .. + s_F <= p (C - L),  p the stated share of its spare room. None of the brokers knows L or the
others' s. What each sees is U, the share of the site's capacity in use by everyone, as its servers report it:
U C = L + s. So each keeps its own

    s_i <= p (1 - U) C / F + p s_i(now),

and the sum over the F brokers is  s <= p (C - U C) + p s = p (C - L - s) + p s = p (C - L), whoever of them needs how
much. It is exact only where U and s_i are read over the same time: so `evidence` takes both over one window.

At the limit each settles at  e = p / (1 - p) (1 - U) C / F,  the same for all: the rule above is  e + p (s_i - e).  A
split that chance made uneven would even out slowly, so a broker above e yields faster than it must, which only lowers
the sum.

C comes from settings (the pace of a warm server) and from the list (who is there, how warm). Stated too high by a
factor c, the sum settles at  p c / (1 - p + p c) (C - L),  less than all of the spare room whatever c is. Where servers
report no load, each broker takes the site's own brokers to be as busy as itself.
"""

from __future__ import annotations

import math

BURST_MS = 250.0  # an allowance saved up so long can be spent at once
YIELD = 0.5  # of the pace above the even one that the rule would leave
LEAST = 2.0  # and never less than this: below, a query of several parts would never go


def allowance(
    room: float, used: float | None, own_pace: float, spilled_pace: float, share: float, brokers: int, others: int
) -> float:
    """Parts a millisecond that this broker may send to a site that is not its own.

    room: the site's capacity now; used: the share of it in use, None where it is not reported; own_pace: this
    broker's whole demand; spilled_pace: what of it goes there now; brokers, others: how many stand there and elsewhere.
    """
    if not others:
        return 0.0
    if used is None:
        return max(share * (room - own_pace * brokers), 0.0) / others
    spare = max(1.0 - used, 0.0) * room / others
    even = share / (1.0 - share) * spare if share < 1.0 else math.inf
    above = max(spilled_pace - even, 0.0)
    return share * (spare + spilled_pace - above * YIELD)


class Bucket:
    """A pace kept: what is allowed saves up, to a bound, and each sending takes one."""

    __slots__ = ("at", "level", "pace")

    def __init__(self) -> None:
        self.pace, self.level, self.at = 0.0, 0.0, 0.0

    def set(self, now_ms: float, pace: float) -> None:
        self.fill(now_ms)
        self.pace = pace

    def fill(self, now_ms: float) -> float:
        most = max(self.pace * BURST_MS, LEAST if self.pace else 0.0)
        if now_ms > self.at:
            self.level += self.pace * (now_ms - self.at)
            self.at = now_ms
        self.level = min(self.level, most)
        return self.level

    def take(self, now_ms: float) -> None:
        self.fill(now_ms)
        self.level -= 1.0
