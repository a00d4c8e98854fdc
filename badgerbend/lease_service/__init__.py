"""Leases on duties over the network.

This package connects `badgerbend.leases` to sockets, clocks and files: a broker's candidacies and duties, its voter if
it has one, and the status, commands and metrics of both.
"""
