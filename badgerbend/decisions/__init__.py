"""All decisions of an aggregator: routing, redundancy, retries, hedging, admission and the completion of queries.

The package is pure: it reads no clock, opens no sockets and imports only the standard library. Its settings, events
and actions are defined in `badgerbend/api.py`.
"""

from badgerbend.decisions.aggregator import Aggregator

__all__ = ["Aggregator"]
