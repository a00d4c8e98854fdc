"""All decisions of an aggregator: routing, redundancy, retries, hedging, admission and how queries end.

The package is pure: it reads no clock, opens no socket and imports the standard library alone. Its settings, events
and actions are defined in `badgerbend/api.py`.
"""

from badgerbend.decisions.aggregator import Aggregator

__all__ = ["Aggregator"]
