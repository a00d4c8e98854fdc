"""Preference among sites: locality, limits on spill-over, and the recovery of a site after an outage.

All modules here are pure: they take events and the time, return decisions, and draw random numbers from a seed.
"""
