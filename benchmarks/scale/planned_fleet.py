"""The fleet to come and what a broker may spend on control: the numbers that the scale tests' scenarios derive from."""

from __future__ import annotations

BROKERS = 1_900
NODES = 13_000
ZONES = 8
RESTARTS_PER_DAY = 5_100  # machines restarted or replaced, on an ordinary day
FAILURES_PER_DAY = 28
CONFIGURATIONS_PER_DAY = 3_200  # changes of configuration, in force everywhere within 4 s
DAY_S = 86_400.0

NODES_PER_BROKER = NODES / BROKERS
# No machine is likelier to be restarted than another: each waits for its turn among all of them.
RESTARTS_PER_MACHINE_S = (RESTARTS_PER_DAY + FAILURES_PER_DAY) / (BROKERS + NODES) / DAY_S


def restarts_expected(machines: int, seconds: float) -> float:
    """How many of so many machines are restarted, replaced or fail within so many ordinary seconds."""
    return machines * seconds * RESTARTS_PER_MACHINE_S


def nodes_beside(brokers: int) -> int:
    """Nodes of a smaller fleet of the same make."""
    return round(brokers * NODES_PER_BROKER)
