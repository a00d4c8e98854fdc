"""badgerbend: the decisions of an aggregator that spreads queries over shards and merges the answers."""

from badgerbend.decisions import Aggregator

__all__ = ["Aggregator"]
