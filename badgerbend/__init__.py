"""badgerbend: the decisions of an aggregator that serves a query from many shards."""

from badgerbend.decisions import Aggregator

__all__ = ["Aggregator"]
