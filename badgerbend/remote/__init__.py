"""Prometheus remote read, the second protocol for clients: wire formats, matchers, placement of series, and merging."""
