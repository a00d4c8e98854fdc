"""Prometheus remote read: the second front. Wire formats, matchers, placement of series, and the merge."""
