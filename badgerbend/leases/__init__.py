"""Leases on duties.

A duty is work that one broker at a time does for the whole fleet: the broker that holds the lease on it. Every lease
on a duty has a higher epoch than the one before, so that receivers can reject messages of an earlier holder (fencing).

This package opens no socket or file and reads no clock; `badgerbend.lease_service` does.
"""
