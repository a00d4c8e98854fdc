"""The state that all components of the membership protocol share."""

from __future__ import annotations

import random
from dataclasses import dataclass

from badgerbend.membership.config import SwimConfig
from badgerbend.membership.health import LocalHealth
from badgerbend.membership.members import LocalMember, MembershipTable
from badgerbend.membership.timers import TimerQueue


@dataclass(frozen=True, slots=True)
class SwimContext:
    """The parameters, tables, timers and random number generator of one member."""

    config: SwimConfig
    local: LocalMember
    members: MembershipTable
    health: LocalHealth
    timers: TimerQueue
    rng: random.Random
