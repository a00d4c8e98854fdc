"""Leases on duties: work that one broker at a time does for all. Epochs of leases only grow, and fence late acts off.

Nothing here opens a socket or a file, or reads a clock; `badgerbend.lease_service` does.
"""
