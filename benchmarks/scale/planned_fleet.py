"""The planned fleet: the numbers from which the scenarios of the scale benchmarks are derived."""

from __future__ import annotations

BROKERS = 1_900
NODES = 13_000
ZONES = 8
RESTARTS_PER_DAY = 5_100  # machines restarted or replaced, on an ordinary day
FAILURES_PER_DAY = 28
CONFIGURATIONS_PER_DAY = 3_200  # changes of configuration, in force everywhere within 4 s
DAY_S = 86_400.0

NODES_PER_BROKER = NODES / BROKERS
# All machines, brokers and nodes alike, are equally likely to be restarted.
RESTARTS_PER_MACHINE_S = (RESTARTS_PER_DAY + FAILURES_PER_DAY) / (BROKERS + NODES) / DAY_S


def restarts_expected(machines: int, seconds: float) -> float:
    """Returns how many of the machines are restarted, replaced or fail in a number of seconds of an ordinary day."""
    return machines * seconds * RESTARTS_PER_MACHINE_S


def nodes_for(brokers: int) -> int:
    """Returns the number of nodes in a smaller fleet with the same proportion of nodes to brokers."""
    return round(brokers * NODES_PER_BROKER)
